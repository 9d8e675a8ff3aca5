//! How much a member may hold: windows, cold starts, crowding.

use super::member::Member;
use super::{
    fade, Balancer, CROWDED, DECAY_US, INITIAL_WINDOW, LOW_WORTH, LOW_WORTH_ROOM, MAX_TURNS_AHEAD, MIN_AGE,
    PRIMARY_READ_SHARE, WARMUP_GROWTH,
};
use crate::interface::{ClassId, MemberId, Micros};

impl Balancer {
    /// Share of its capacity that a member may have reached since its start.
    pub(super) fn share(&self, now: Micros, m: &Member) -> f64 {
        let rules = &self.settings.rules;
        let Some(since) = m.entry.since else { return 1.0 };
        let warm = (now - since) as f64 / rules.cold.max(1) as f64;
        rules.cold_share + (1.0 - rules.cold_share) * warm.clamp(0.0, 1.0)
    }

    /// Attempts that a member may hold in the mean: a cold one its share of what warm ones bear, by half until it answers.
    pub(super) fn concurrency_limit(&self, now: Micros, m: &Member) -> f64 {
        let share = self.share(now, m);
        if share >= 1.0 {
            return m.window;
        }
        let (proven, most) = (Some(m.heard) > m.entry.since, self.settings.rules.fall_multiple);
        let least = if proven && m.strain <= CROWDED { most } else { 0.0 };
        let spare = (most / 2.0 * (1.0 + WARMUP_GROWTH * share * share)).max(least);
        m.window.min(share * m.weight() * self.borne(now) * spare).max(1e-6)
    }

    /// Attempts of ours that a warm member of weight one holds in the mean, as served of late.
    pub(super) fn borne(&self, now: Micros) -> f64 {
        // A young driver has seen only so much of the time that its memory spans.
        let seen = DECAY_US * (1.0 - (-((now - self.born).max(MIN_AGE) as f64) / DECAY_US).exp());
        fade(self.served, now) / seen / self.warm.0.max(0.01)
    }

    /// Whether a member takes one more. A limit below one attempt is kept in time, one out at a time; what is worth more may go ahead.
    pub(super) fn admits(&self, now: Micros, m: &Member, class: ClassId, merit: f64) -> bool {
        let limit = self.concurrency_limit(now, m);
        if limit >= 1.0 {
            let low = merit < self.merit * LOW_WORTH;
            return (m.held().count() as f64) < if low { limit * LOW_WORTH_ROOM } else { limit };
        }
        let cold = self.share(now, m) < 1.0;
        let ahead =
            if cold { 0.0 } else { (merit / self.merit.max(1e-12) - 1.0).clamp(-1.0, MAX_TURNS_AHEAD) };
        let few = (m.held().count() as f64) < 1.0 + ahead.max(0.0);
        few && (now - m.turn) as f64 >= self.gap(now, class, m) * (1.0 - ahead)
    }

    /// Whether primaries at large are crowded: of one alone a driver of a large fleet hears too seldom to tell in time.
    pub(super) fn crowded(&self, now: Micros) -> bool {
        f64::from(self.settings.fleet) > INITIAL_WINDOW && fade(self.crowd, now) > CROWDED
    }

    /// Whether a primary has more room than what only it can do is likely to need.
    pub(super) fn spares(&self, now: Micros, id: MemberId) -> bool {
        let m = self.members.get(&id).filter(|m| m.usable() && m.strain <= CROWDED && !self.crowded(now));
        m.is_some_and(|m| {
            m.held().count() as f64 + 1.0 <= self.concurrency_limit(now, m) * PRIMARY_READ_SHARE
        })
    }

    /// The time between two turns: a cold member's limit bounds its work, a warm one's what it holds, by its latest answers.
    pub(super) fn gap(&self, now: Micros, class: ClassId, m: &Member) -> f64 {
        let strain = if self.share(now, m) < 1.0 { 0.0 } else { fade((m.strain, m.heard), now) };
        let takes = strain * self.settings.classes[class.0].aim as f64;
        (self.work[class.0].max(takes) / self.concurrency_limit(now, m)).min(DECAY_US)
    }
}
