//! State of one member as the balancer knows it: health, position and concurrency window.

use std::collections::BTreeMap;

use super::{
    decayed, DecayingSum, DECAY_US, INITIAL_WINDOW, MIN_RESTART_TIME, NEVER, OVERLOAD_LATENCY_SHARE,
};
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
    pub(super) last_answer_at: Micros,
    /// Moving average of answer times relative to their classes' usual ones.
    pub(super) relative_latency: f64,
    /// Moving average of answer times as a fraction of their classes' latency targets.
    pub(super) load: f64,
    /// Moving average of the share of failed attempts.
    pub(super) failure_rate: f64,
    pub(super) window: f64,
    /// When the last send slot was used. A window below one is enforced by spacing attempts in time.
    pub(super) last_slot: Micros,
    pub(super) window_shrunk_at: Micros,
    /// No new attempts until this time, because the member rejected some for lack of room.
    pub(super) paused_until: Micros,
    /// Decayed sum of the work that this driver has sent to the member.
    pub(super) work_sent: DecayingSum,
    /// Whether the member is suspected to have failed; suspects get no new attempts.
    pub(super) suspect: bool,
    /// When it became a suspect or last recovered.
    pub(super) health_changed_at: Micros,
    /// Whether connections were refused or broke while it is a suspect: its process may be down, and cold once
    /// it has restarted.
    pub(super) may_be_down: bool,
    /// When one of its connections last broke while it still answered on others.
    pub(super) connection_broken_at: Micros,
    /// Decayed count of refused connects.
    pub(super) refused_connects: DecayingSum,
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
            last_answer_at: NEVER,
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
    pub(super) fn estimated_position(&self, now: Micros, lag_decay: Micros) -> Micros {
        let (age, lag) =
            ((now - self.position_reported_at) as f64, self.position_reported_at - self.position);
        now - (lag as f64 * (-age / lag_decay as f64).exp()) as Micros
    }

    /// Updates the answer time average and adapts the window. Answer times close to the latency target mean
    /// that requests queue at the member; the window then shrinks, at most once per answer time.
    pub(super) fn record_latency(
        &mut self,
        now: Micros,
        elapsed: Micros,
        ratio: f64,
        age: f64,
        min_window: f64,
    ) {
        let weight_of_new = 1.0 - (-age).exp();
        self.load += weight_of_new.max(0.1) * (ratio - self.load);
        let overloaded = OVERLOAD_LATENCY_SHARE * (1.0 + weight_of_new);
        if self.load > overloaded && now - self.window_shrunk_at > elapsed {
            self.shrink_window(now, (-0.07 - 0.2 * age).exp(), min_window);
        } else if self.load <= overloaded && self.window < 1.0 {
            self.window *= (0.4 * age.max(0.1)).exp();
        } else if self.load <= overloaded && self.in_flight.len() as f64 + 2.0 > self.window {
            self.window += 1.0 / self.window;
        }
    }

    /// Shrinks the window from its used part: the attempts in flight or, if there are none, the recent mean.
    pub(super) fn shrink_window(&mut self, now: Micros, to: f64, min_window: f64) {
        let mean = 2.0 * decayed(self.work_sent, now) / DECAY_US;
        let used = if self.in_flight.is_empty() { mean } else { self.in_flight.len() as f64 + 1.0 };
        self.window = (self.window.min(used) * to).max(min_window).max(1e-6);
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
            if self.may_be_down && now - self.health_changed_at > MIN_RESTART_TIME {
                (self.entry.since, self.last_slot) = (self.entry.since.max(Some(now)), now);
            }
            self.health_changed_at = now;
        }
    }
}
