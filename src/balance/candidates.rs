//! Tracks members' positions and roles, determines which members may serve a request, and chooses one of
//! them.

use super::member::Member;
use super::{Balancer, Request, DECAY_US, ERROR_SHARE_LIMIT, FOREVER, LAG_FADES_IN, NEVER};
use crate::interface::{ClassId, GroupId, MemberId, Micros, ReadLevel, Report};

impl Balancer {
    /// Records the report in the answer to a request or probe sent at `asked`, if the answer contained one.
    pub(super) fn learn_answer(&mut self, asked: Micros, id: MemberId, report: Option<Report>) {
        let Some(report) = report else { return };
        self.learn(asked, report.position.map_or(asked, |p| p.min(asked)), id, report);
    }

    /// Records a member's position and role. A report may be older than the probe that requested it, so the
    /// role is taken to be valid as of the report's own position.
    pub(super) fn learn(&mut self, now: Micros, as_of: Micros, id: MemberId, told: Report) {
        let Some(m) = self.members.get_mut(&id) else { return };
        if let Some(p) = told.position {
            m.position = m.position.max(p);
            m.position_reported_at = now;
        }
        let group = m.entry.group;
        let Some(primary) = told.primary else { return };
        if m.role.is_some_and(|(_, at)| at > as_of) {
            return;
        }
        m.role = Some((primary, as_of));
        let known = self.groups.get(&group).and_then(|g| g.primary);
        if primary && known != Some(id) {
            let rival = known.and_then(|k| self.members.get(&k)).and_then(|k| k.role);
            if rival.is_none_or(|(claims, at)| !claims || at < as_of) {
                self.groups.entry(group).or_default().primary = Some(id);
            }
        } else if !primary && known == Some(id) {
            self.groups.entry(group).or_default().primary = None;
        }
    }

    /// The position that a replica must have reached to serve the request; `None` if only the primary can.
    pub(super) fn required_position(&self, now: Micros, r: &Request) -> Option<Micros> {
        let unsettled = r.bucket.is_some_and(|b| self.buckets[b].open.is_some());
        match self.settings.classes[r.class.0].read {
            ReadLevel::Write | ReadLevel::Fresh => None,
            _ if r.primary_only => None,
            ReadLevel::Session if unsettled => None,
            ReadLevel::Session => Some(r.position_needed.unwrap_or(NEVER)),
            ReadLevel::Bounded(bound) => Some(now - bound),
            ReadLevel::Any => Some(NEVER),
        }
    }

    /// The members that may serve the request now: suitable replicas, or else the primary.
    pub(super) fn eligible(&self, now: Micros, r: &Request) -> Vec<MemberId> {
        let primary = self.groups.get(&r.group).and_then(|g| g.primary);
        let primary = primary.filter(|p| self.members.get(p).is_some_and(Member::is_usable));
        let c = &self.settings.classes[r.class.0];
        let mut found = match self.required_position(now, r) {
            Some(need) => self.replicas(r.group, |m| m.position >= need),
            // While no primary is known, a write tries replicas until its deadline: a member that is not the
            // primary rejects it at no cost, and the rejection tells the member's role.
            None if primary.is_none() && c.read == ReadLevel::Write => {
                let gap = c.deadline / i64::from(self.settings.allowed.max_attempts.max(1));
                self.replicas(r.group, |m| m.role.is_none_or(|(_, at)| now - at > gap))
            }
            None => Vec::new(),
        };
        // Where members check reads themselves, a replica that lags slightly is tried, or else one that may
        // have caught up by now: a rejected attempt costs little.
        let slack = self.settings.lag_policy.tolerated_lag().filter(|_| r.checked);
        for past in [FOREVER, LAG_FADES_IN] {
            if let (true, Some(need), Some(slack)) = (found.is_empty(), self.required_position(now, r), slack)
            {
                found = self.replicas(r.group, |m| m.estimated_position(now, past) + slack >= need);
            }
        }
        found.extend(primary.filter(|_| found.is_empty()));
        found
    }

    pub(super) fn replicas(&self, group: GroupId, fit: impl Fn(&Member) -> bool) -> Vec<MemberId> {
        let Some(g) = self.groups.get(&group) else { return Vec::new() };
        let fits = |id: &&MemberId| self.members.get(id).is_some_and(|m| m.is_usable() && fit(m));
        g.members.iter().filter(|id| Some(**id) != g.primary).filter(fits).copied().collect()
    }

    /// Power of two choices: draws two members by weight and health and takes the one with less work of this
    /// driver. Always taking the best member would make all idle drivers choose the same one.
    pub(super) fn pick(
        &mut self,
        now: Micros,
        class: ClassId,
        merit: f64,
        among: &[MemberId],
    ) -> Option<MemberId> {
        let weigh = |m: &Member| {
            let errors = m.failure_rate * (-((now - m.heard) as f64) / DECAY_US).exp();
            let errors = if errors > ERROR_SHARE_LIMIT { 0.02 } else { 1.0 - errors };
            m.weight() * self.capacity_share(now, m) * errors / m.relative_latency.max(0.2)
        };
        let open = among.iter().filter_map(|id| self.members.get(id).map(|m| (*id, m)));
        let open = open.filter(|(_, m)| now >= m.paused_until && self.admits(now, m, class, merit));
        let open: Vec<_> = open.map(|(id, m)| (weigh(m), m.in_flight.len(), id)).collect();
        let mut lots: Vec<_> = open.iter().map(|o| (-self.rng.f64().max(1e-12).ln() / o.0, o)).collect();
        lots.sort_by(|a, b| a.0.total_cmp(&b.0));
        let load = |o: &(f64, usize, MemberId)| o.1 as f64 / o.0;
        lots.iter().take(2).map(|l| l.1).min_by(|a, b| load(a).total_cmp(&load(b))).map(|o| o.2)
    }
}
