//! Assigns held requests to members, those of the highest worth first.

use std::collections::BTreeSet;

use super::member::Member;
use super::{
    decayed, Attempt, Balancer, Request, LAG_DECAY, NEVER, OVERLOAD_LATENCY_SHARE, PROBE_WAIT_HALF_GAPS,
    TIMEOUT_FACTORS,
};
use crate::interface::{Action, Effect, GroupId, MemberId, Micros, ReadLevel, RequestId, ZoneId};
use crate::permission::{may_begin, AttemptLimits, PossibleExecution, RequestState};

impl Balancer {
    /// Sends the requests that the group holds as far as members have room, in order of worth per work.
    pub(super) fn dispatch(&mut self, now: Micros, group: GroupId, actions: &mut Vec<Action>) {
        let Some(g) = self.groups.get(&group) else { return };
        let primary = g.primary;
        let requests = g.held.iter().filter_map(|id| self.requests.get(id).map(|r| (*id, r)));
        let requests = requests.filter(|(_, r)| r.is_settled(now));
        let mut held: Vec<_> =
            requests.map(|(id, r)| (self.worth_per_work(now, r), (r.arrived, id))).collect();
        // Of equal requests the newest comes first: under overload it has the most time left.
        held.sort_by(|a, b| b.0.total_cmp(&a.0).then(b.1.cmp(&a.1)));
        let mut without_room = BTreeSet::new();
        for (worth_per_work, (_, id)) in held {
            // If a request found no room, later requests of the same kind are worth no more and are skipped:
            // many may wait for a primary, and trying each would be slow.
            let kind = self.requests.get(&id).map(|r| (r.class, r.primary_only));
            if without_room.contains(&kind) {
                continue;
            }
            let Some(mut r) = self.requests.remove(&id) else { continue };
            let among = self.eligible(now, &r);
            let only_primary = among.iter().all(|to| primary == Some(*to));
            // While primaries are overloaded, reads that could fall back on the primary leave it to requests
            // that only it can serve.
            let read = self.settings.classes[r.class.0].read;
            let leave_primary =
                matches!(read, ReadLevel::Bounded(_) | ReadLevel::Any) && self.primaries_overloaded(now);
            if only_primary && (self.wait_for_probe(now, id, &mut r, actions) || leave_primary) {
                self.requests.insert(id, r);
                continue;
            }
            let primary_required = matches!(read, ReadLevel::Write | ReadLevel::Fresh);
            let worth_per_work =
                if only_primary && !primary_required { worth_per_work / 2.0 } else { worth_per_work };
            let mut target = self.pick(now, r.class, worth_per_work, &among);
            // If the replicas have no room, a primary with room to spare takes reads too. Otherwise the few
            // replicas that are recent enough would be overloaded.
            if let (None, false, Some(p)) =
                (target, only_primary, primary.filter(|p| self.has_room_to_spare(now, *p)))
            {
                target = self.pick(now, r.class, worth_per_work / 2.0, &[p]);
            }
            // Session reads are not skipped, since they differ in the position they need.
            if target.is_none() && read != ReadLevel::Session {
                without_room.insert(kind);
            }
            let target = target.filter(|to| self.may_send(now, &r, self.members[to].entry.zone));
            self.requests.insert(id, r);
            if let Some(to) = target {
                self.groups.entry(group).or_default().held.remove(&id);
                self.send(now, id, to, actions);
            }
        }
        if self.groups.get(&group).is_none_or(|g| g.held.is_empty()) {
            self.groups_with_held.remove(&group);
        }
    }

    /// Dispatches requests that have waited for a connection's close to take effect or for a probe. The
    /// former are not shed earlier, because they could not have been sent.
    pub(super) fn dispatch_due_requests(&mut self, now: Micros, actions: &mut Vec<Action>) {
        if self.dispatch_due.first().is_none_or(|(at, _)| now < *at) {
            return;
        }
        let later = self.dispatch_due.split_off(&(now + 1, RequestId(0)));
        let due = std::mem::replace(&mut self.dispatch_due, later);
        let group_of = |(_, id): &(Micros, RequestId)| self.requests.get(id).map(|r| r.group);
        let groups: BTreeSet<_> = due.iter().filter_map(group_of).collect();
        groups.into_iter().for_each(|group| self.dispatch(now, group, actions));
    }

    /// Makes a read wait for one probe's answer if replicas are excluded only because their positions are not
    /// known to be recent enough. With many drivers, primaries would be overloaded by such reads.
    pub(super) fn wait_for_probe(
        &mut self,
        now: Micros,
        id: RequestId,
        r: &mut Request,
        actions: &mut Vec<Action>,
    ) -> bool {
        let Some(required) = self.required_position(now, r).filter(|n| *n > NEVER && r.in_flight() == 0)
        else {
            return false;
        };
        if let Some(replica) = r.probed_replica {
            let m = self.members.get(&replica);
            return m.and_then(|m| m.probe_sent_at).is_some_and(|sent| now < self.probe_wait_end(sent));
        }
        // Drawn at random among the replicas that are likely to be recent enough, so that not all drivers
        // probe the same one.
        let possibly_recent = |m: &Member| {
            m.estimated_position(now, LAG_DECAY) >= required
                && now - m.position_reported_at > self.min_round_gap * 2
        };
        let likely = self.replicas(r.group, possibly_recent);
        let Some(to) = self.rng.choice(&likely).copied() else { return false };
        if self.members[&to].probe_sent_at.is_none() && !self.probe(now, to, actions) {
            return false;
        }
        r.probed_replica = Some(to);
        let asked_at = self.members[&to].probe_sent_at.unwrap_or(now);
        self.dispatch_due.insert((self.probe_wait_end(asked_at), id));
        true
    }

    /// The time until which reads wait for a probe that was sent at `sent`.
    fn probe_wait_end(&self, sent: Micros) -> Micros {
        sent + self.min_round_gap * PROBE_WAIT_HALF_GAPS / 2
    }

    /// Worth per work. A late request counts with what it can still earn.
    pub(super) fn worth_per_work(&self, now: Micros, r: &Request) -> f64 {
        // Lateness is estimated by the work alone: a queue at the primary must not make its writes look late.
        let c = &self.settings.classes[r.class.0];
        let late = now + self.work[r.class.0] as Micros > r.first_sent + c.latency_target;
        let share = r.tenant_share.map_or(self.settings.over_share_worth, |_| 1.0);
        c.worth * share * if late { c.late_worth } else { 1.0 } / self.work[r.class.0]
    }

    /// Whether the class's effect, the attempt limit and the settings permit another attempt in this zone.
    pub(super) fn may_send(&self, now: Micros, r: &Request, zone: ZoneId) -> bool {
        let allowed = &self.settings.allowed;
        let doubt = r.first_uncertain().map(|first| PossibleExecution {
            sent_at: r.uncertain_since.map_or(first.sent, |at| at.min(first.sent)),
            zone: Some(first.zone),
        });
        let request = RequestState {
            effect: r.effect,
            deadline: r.deadline,
            answered: r.answered,
            // When a client leaves, the driver reports it and the request is closed before.
            client_left: false,
            attempts_begun: r.attempts.len() as u32,
            in_flight: r.in_flight() as u32,
            possible_execution: doubt,
            settled_at: r.settled_at,
        };
        let limits = AttemptLimits {
            max_attempts: allowed.max_attempts,
            second_copies: allowed.second_copies,
            margin: self.settings.tick,
        };
        may_begin(now, &request, &limits, Some(zone)).is_ok()
    }

    pub(super) fn send(&mut self, now: Micros, id: RequestId, to: MemberId, actions: &mut Vec<Action>) {
        let Some(r) = self.requests.get(&id) else { return };
        let (attempt, work) = (r.attempts.len() as u32, self.work[r.class.0]);
        let Some(m) = self.members.get(&to) else { return };
        let gap = if self.concurrency_limit(now, m) < 1.0 {
            self.send_interval(now, r.class, m) as Micros
        } else {
            0
        };
        let (Some(m), Some(r)) = (self.members.get_mut(&to), self.requests.get_mut(&id)) else { return };
        m.last_slot = if gap > 0 { now.max(m.last_slot + gap) } else { m.last_slot };
        m.work_sent = (decayed(m.work_sent, now) + work, now);
        self.active_members.insert(to);
        r.uncertain_since = r.uncertain_since.or(r.first_uncertain().map(|a| a.sent));
        r.attempts.push(Attempt { zone: m.entry.zone, sent: now, ending: None });
        m.in_flight.insert((now, id, attempt), r.class);
        if let (Some(b), true) = (r.bucket, r.sequence > 0) {
            self.buckets[b].unsettled_write = self.buckets[b].unsettled_write.max(Some(r.sequence));
        }
        // A connection may stall while its member goes on serving, so a first attempt waits only as long as
        // nearly all answers take.
        let tail_factor = if m.load > OVERLOAD_LATENCY_SHARE { TIMEOUT_FACTORS.1 } else { self.tail_factor };
        let usual_maximum = (work * m.relative_latency.max(1.0) * tail_factor) as Micros;
        let first = attempt == 0 && r.effect != Effect::Unsafe;
        let timeout = if first {
            usual_maximum.max(self.min_round_gap).min(r.deadline - now)
        } else {
            r.deadline - now
        };
        actions.push(Action::Send { request: id, member: to, timeout });
    }
}
