//! Limits on how many attempts a member may hold, from its window, cold start and load.

use super::member::Member;
use super::{
    fade, Balancer, CROWDED, DECAY_US, INITIAL_WINDOW, LOW_WORTH, LOW_WORTH_ROOM, MAX_TURNS_AHEAD, MIN_AGE,
    PRIMARY_READ_SHARE, WARMUP_GROWTH,
};
use crate::interface::{ClassId, MemberId, Micros};

impl Balancer {
    /// Fraction of its capacity that a member is assumed to have reached since its start.
    pub(super) fn capacity_share(&self, now: Micros, m: &Member) -> f64 {
        let rules = &self.settings.rules;
        let Some(since) = m.entry.since else { return 1.0 };
        let warm = (now - since) as f64 / rules.warm_up_time.max(1) as f64;
        rules.initial_capacity_share + (1.0 - rules.initial_capacity_share) * warm.clamp(0.0, 1.0)
    }

    /// The number of attempts that a member may hold on average. A cold member's limit is derived from its
    /// reached capacity and what warm members hold; it is reduced until the member has answered.
    pub(super) fn concurrency_limit(&self, now: Micros, m: &Member) -> f64 {
        let share = self.capacity_share(now, m);
        if share >= 1.0 {
            return m.window;
        }
        let (proven, most) = (Some(m.heard) > m.entry.since, self.settings.rules.overload_multiple);
        let least = if proven && m.load <= CROWDED { most } else { 0.0 };
        let spare = (most / 2.0 * (1.0 + WARMUP_GROWTH * share * share)).max(least);
        m.window.min(share * m.weight() * self.mean_concurrency(now) * spare).max(1e-6)
    }

    /// The mean number of this driver's attempts that a warm member of weight one has held recently, by
    /// successful answers.
    pub(super) fn mean_concurrency(&self, now: Micros) -> f64 {
        // A driver that started recently has seen only part of the time span that the decayed sum covers.
        let seen = DECAY_US * (1.0 - (-((now - self.started_at).max(MIN_AGE) as f64) / DECAY_US).exp());
        fade(self.recent_work, now) / seen / self.warm_weight.0.max(0.01)
    }

    /// Whether a member may get another attempt. A limit below one is enforced by spacing attempts in time,
    /// with one in flight at once; requests of more worth may be sent ahead of their slot.
    pub(super) fn admits(&self, now: Micros, m: &Member, class: ClassId, merit: f64) -> bool {
        let limit = self.concurrency_limit(now, m);
        if limit >= 1.0 {
            let low = merit < self.mean_worth_per_work * LOW_WORTH;
            return (m.active_attempts().count() as f64) < if low { limit * LOW_WORTH_ROOM } else { limit };
        }
        let cold = self.capacity_share(now, m) < 1.0;
        let ahead = if cold {
            0.0
        } else {
            (merit / self.mean_worth_per_work.max(1e-12) - 1.0).clamp(-1.0, MAX_TURNS_AHEAD)
        };
        let few = (m.active_attempts().count() as f64) < 1.0 + ahead.max(0.0);
        few && (now - m.last_slot) as f64 >= self.send_interval(now, class, m) * (1.0 - ahead)
    }

    /// Whether primaries in general are overloaded. In a large fleet a driver gets too few answers from a
    /// single primary to notice its overload in time.
    pub(super) fn primaries_overloaded(&self, now: Micros) -> bool {
        f64::from(self.settings.fleet_size) > INITIAL_WINDOW && fade(self.primary_load, now) > CROWDED
    }

    /// Whether a primary has more room than the requests that only it can serve are likely to need.
    pub(super) fn has_room_to_spare(&self, now: Micros, id: MemberId) -> bool {
        let m = self
            .members
            .get(&id)
            .filter(|m| m.is_usable() && m.load <= CROWDED && !self.primaries_overloaded(now));
        m.is_some_and(|m| {
            m.active_attempts().count() as f64 + 1.0 <= self.concurrency_limit(now, m) * PRIMARY_READ_SHARE
        })
    }

    /// The time between two attempts at a member whose limit is below one. A cold member's limit bounds its
    /// work; a warm member's bounds the attempts it holds, estimated by its latest answer times.
    pub(super) fn send_interval(&self, now: Micros, class: ClassId, m: &Member) -> f64 {
        let strain = if self.capacity_share(now, m) < 1.0 { 0.0 } else { fade((m.load, m.heard), now) };
        let takes = strain * self.settings.classes[class.0].latency_target as f64;
        (self.work[class.0].max(takes) / self.concurrency_limit(now, m)).min(DECAY_US)
    }
}
