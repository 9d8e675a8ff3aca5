//! One member as the balancer knows it: its health, its position, its window.

use std::collections::BTreeMap;

use super::{fade, Recent, CROWDED, DECAY_US, INITIAL_WINDOW, NEVER, RESTART_TAKES};
use crate::interface::{ClassId, Entry, Micros, RequestId};

/// The least weight that a member counts with, whatever the list says.
const MIN_WEIGHT: f64 = 0.01;

/// What is known of one member.
#[derive(Default)]
pub(super) struct Member {
    pub(super) entry: Entry,
    /// The rule on drains forbids sends: listed as draining, or gone where that binds.
    pub(super) barred: bool,
    pub(super) held_out: bool,
    pub(super) position: Micros,
    pub(super) heard_position: Micros,
    /// Its last word on its role, and as of when.
    pub(super) role: Option<(bool, Micros)>,
    /// Attempts out there, oldest first.
    pub(super) out: BTreeMap<(Micros, RequestId, u32), ClassId>,
    pub(super) heard: Micros,
    /// Answer times against those of the class at large; answer times against aims; share of failures.
    pub(super) slow: f64,
    pub(super) strain: f64,
    pub(super) errors: f64,
    pub(super) window: f64,
    /// Below one the window thins in time: when its last turn was used.
    pub(super) turn: Micros,
    pub(super) cut_at: Micros,
    /// Nothing new until then: it turned work away unseen.
    pub(super) pause: Micros,
    /// What we send it, as attempts held in the mean, and as of when.
    pub(super) busy: Recent,
    /// Nothing new goes to a suspect.
    pub(super) suspect: bool,
    /// Since when it is not well, and whether it refused connections, so may come back cold.
    pub(super) ill_since: Micros,
    pub(super) down: bool,
    /// When a connection of it last broke while it was heard otherwise; connects refused of late.
    pub(super) last_broken: Micros,
    pub(super) refused: Recent,
    pub(super) probe_due: Micros,
    /// When the probe that is still out was sent.
    pub(super) probing: Option<Micros>,
}

impl Member {
    pub(super) fn new(entry: Entry, fleet: u32) -> Self {
        Member {
            entry,
            position: NEVER,
            heard_position: NEVER,
            heard: NEVER,
            slow: 1.0,
            window: (INITIAL_WINDOW / f64::from(fleet.max(1))).max(2.0),
            turn: NEVER,
            pause: NEVER,
            ill_since: NEVER,
            last_broken: NEVER,
            ..Member::default()
        }
    }

    /// What it told of its data and its role was of another group.
    pub(super) fn forget_data(&mut self) {
        (self.position, self.heard_position, self.role) = (NEVER, NEVER, None);
    }

    /// Where its position should be by now if its lag fades within `past`; one never heard of counts as recent.
    pub(super) fn outlook(&self, now: Micros, past: Micros) -> Micros {
        let (age, lag) = ((now - self.heard_position) as f64, self.heard_position - self.position);
        now - (lag as f64 * (-age / past as f64).exp()) as Micros
    }

    /// Answer times near the aim mean a queue there: the window shrinks, at most once an answer time.
    pub(super) fn strain(&mut self, now: Micros, elapsed: Micros, ratio: f64, age: f64, least: f64) {
        let fresh = 1.0 - (-age).exp();
        self.strain += fresh.max(0.1) * (ratio - self.strain);
        let crowded = CROWDED * (1.0 + fresh);
        if self.strain > crowded && now - self.cut_at > elapsed {
            self.cut(now, (-0.07 - 0.2 * age).exp(), least);
        } else if self.strain <= crowded && self.window < 1.0 {
            self.window *= (0.4 * age.max(0.1)).exp();
        } else if self.strain <= crowded && self.out.len() as f64 + 2.0 > self.window {
            self.window += 1.0 / self.window;
        }
    }

    /// The window shrinks from what is used: what is out there or, where that is mostly nothing, the mean.
    pub(super) fn cut(&mut self, now: Micros, to: f64, least: f64) {
        let mean = 2.0 * fade(self.busy, now) / DECAY_US;
        let used = if self.out.is_empty() { mean } else { self.out.len() as f64 + 1.0 };
        self.window = (self.window.min(used) * to).max(least).max(1e-6);
        self.cut_at = now;
    }

    /// Attempts out there, oldest first; those from before its latest recovery wait on connections that are silent.
    pub(super) fn held(&self) -> impl Iterator<Item = (Micros, ClassId)> + '_ {
        self.out.range((self.ill_since, RequestId(0), 0)..).map(|(at, class)| (at.0, *class))
    }

    /// Its weight as listed, or the least one.
    pub(super) fn weight(&self) -> f64 {
        self.entry.weight.max(MIN_WEIGHT)
    }

    /// Whether it may get new requests.
    pub(super) fn usable(&self) -> bool {
        !self.barred && !self.suspect && !self.held_out
    }

    /// An answer clears a suspect; one that was down that long may have started anew, and counts as cold.
    pub(super) fn recover(&mut self, now: Micros) {
        if self.suspect {
            self.suspect = false;
            // Not below one: suspicions in a row must not thin it to nothing.
            self.window = self.window.min((self.window / 2.0).max(1.0));
            if self.down && now - self.ill_since > RESTART_TAKES {
                (self.entry.since, self.turn) = (self.entry.since.max(Some(now)), now);
            }
            self.ill_since = now;
        }
    }
}
