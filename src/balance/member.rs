//! State of one member as the balancer knows it: health, position and concurrency window.

use std::collections::BTreeMap;

use super::{fade, Recent, CROWDED, DECAY_US, INITIAL_WINDOW, NEVER, RESTART_TAKES};
use crate::interface::{ClassId, Entry, Micros, RequestId};

/// Lower bound of a member's weight, whatever the list says.
const MIN_WEIGHT: f64 = 0.01;

/// What is known about one member.
#[derive(Default)]
pub(super) struct Member {
    pub(super) entry: Entry,
    /// Whether the drain rule forbids new attempts: the member is listed as draining, or is gone where that
    /// counts.
    pub(super) closed_by_list: bool,
    pub(super) held_out: bool,
    pub(super) position: Micros,
    pub(super) position_reported_at: Micros,
    /// The role that the member last reported, and the time as of which it is valid.
    pub(super) role: Option<(bool, Micros)>,
    /// Attempts in flight at the member, oldest first.
    pub(super) in_flight: BTreeMap<(Micros, RequestId, u32), ClassId>,
    pub(super) heard: Micros,
    /// Moving averages: answer time relative to the class's usual one; answer time as a fraction of the
    /// latency target; failure rate.
    pub(super) relative_latency: f64,
    pub(super) load: f64,
    pub(super) failure_rate: f64,
    pub(super) window: f64,
    /// When the last send slot was used. A window below one is enforced by spacing attempts in time.
    pub(super) last_slot: Micros,
    pub(super) window_shrunk_at: Micros,
    /// No new attempts until this time, because the member rejected some for lack of room.
    pub(super) paused_until: Micros,
    /// Work that this driver sends to the member (decayed sum).
    pub(super) work_sent: Recent,
    /// Whether the member is suspected to have failed; suspects get no new attempts.
    pub(super) suspect: bool,
    /// When it became a suspect or last recovered, and whether it refused connections, in which case it may
    /// have restarted and be cold.
    pub(super) health_changed_at: Micros,
    pub(super) refuses_connections: bool,
    /// When one of its connections last broke while it still answered on others; decayed count of refused
    /// connects.
    pub(super) connection_broken_at: Micros,
    pub(super) refused_connects: Recent,
    pub(super) probe_due: Micros,
    /// When the probe that is in flight was sent.
    pub(super) probe_sent_at: Option<Micros>,
}

impl Member {
    pub(super) fn new(entry: Entry, fleet: u32) -> Self {
        Member {
            entry,
            position: NEVER,
            position_reported_at: NEVER,
            heard: NEVER,
            relative_latency: 1.0,
            window: (INITIAL_WINDOW / f64::from(fleet.max(1))).max(2.0),
            last_slot: NEVER,
            paused_until: NEVER,
            health_changed_at: NEVER,
            connection_broken_at: NEVER,
            ..Member::default()
        }
    }

    /// Forgets the position and the role, which belonged to another group.
    pub(super) fn reset_replication_state(&mut self) {
        (self.position, self.position_reported_at, self.role) = (NEVER, NEVER, None);
    }

    /// Estimates the member's current position, assuming that its lag decays with the time constant `past`. A
    /// member without any report is assumed to be up to date.
    pub(super) fn estimated_position(&self, now: Micros, past: Micros) -> Micros {
        let (age, lag) =
            ((now - self.position_reported_at) as f64, self.position_reported_at - self.position);
        now - (lag as f64 * (-age / past as f64).exp()) as Micros
    }

    /// Updates the answer time average and adapts the window. Answer times close to the latency target mean
    /// that requests queue at the member; the window then shrinks, at most once per answer time.
    pub(super) fn strain(&mut self, now: Micros, elapsed: Micros, ratio: f64, age: f64, least: f64) {
        let fresh = 1.0 - (-age).exp();
        self.load += fresh.max(0.1) * (ratio - self.load);
        let crowded = CROWDED * (1.0 + fresh);
        if self.load > crowded && now - self.window_shrunk_at > elapsed {
            self.shrink_window(now, (-0.07 - 0.2 * age).exp(), least);
        } else if self.load <= crowded && self.window < 1.0 {
            self.window *= (0.4 * age.max(0.1)).exp();
        } else if self.load <= crowded && self.in_flight.len() as f64 + 2.0 > self.window {
            self.window += 1.0 / self.window;
        }
    }

    /// Shrinks the window from its used part: the attempts in flight or, if there are none, the recent mean.
    pub(super) fn shrink_window(&mut self, now: Micros, to: f64, least: f64) {
        let mean = 2.0 * fade(self.work_sent, now) / DECAY_US;
        let used = if self.in_flight.is_empty() { mean } else { self.in_flight.len() as f64 + 1.0 };
        self.window = (self.window.min(used) * to).max(least).max(1e-6);
        self.window_shrunk_at = now;
    }

    /// Attempts in flight, oldest first, without those sent before the latest suspicion or recovery: their
    /// connections are likely to have stalled.
    pub(super) fn active_attempts(&self) -> impl Iterator<Item = (Micros, ClassId)> + '_ {
        self.in_flight.range((self.health_changed_at, RequestId(0), 0)..).map(|(at, class)| (at.0, *class))
    }

    /// The listed weight, at least [`MIN_WEIGHT`].
    pub(super) fn weight(&self) -> f64 {
        self.entry.weight.max(MIN_WEIGHT)
    }

    /// Whether the member may get new attempts.
    pub(super) fn is_usable(&self) -> bool {
        !self.closed_by_list && !self.suspect && !self.held_out
    }

    /// Clears a suspicion. A member that was down for long may have restarted and counts as cold.
    pub(super) fn recover(&mut self, now: Micros) {
        if self.suspect {
            self.suspect = false;
            // Not below one: repeated suspicions must not shrink the window towards zero.
            self.window = self.window.min((self.window / 2.0).max(1.0));
            if self.refuses_connections && now - self.health_changed_at > RESTART_TAKES {
                (self.entry.since, self.last_slot) = (self.entry.since.max(Some(now)), now);
            }
            self.health_changed_at = now;
        }
    }
}
