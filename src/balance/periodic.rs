//! The periodic round: detects silent members, sheds held requests, probes suspects and asks for the member
//! list.

use super::member::Member;
use super::{
    brief_hold, Balancer, ACTIVE_FOR, FIRST_ATTEMPT_HOLD_SHARE, FOREVER, LOW_WORTH, MAX_PROBE_GAP,
    PROBE_GAP_PACES, SUSPECT_TRIED_AFTER,
};
use crate::interface::{Action, MemberId, Micros};

impl Balancer {
    /// Runs one round: silent members, requests that can't be served in time, probes of suspects, the member
    /// list.
    pub(super) fn run_round(&mut self, now: Micros, actions: &mut Vec<Action>) {
        self.probe_due = FOREVER;
        self.suspect_silent(now);
        self.shed(now, actions);
        self.probe_suspects(now, actions);
        self.ask_for_list(now, actions);
        self.groups_with_held.clone().into_iter().for_each(|group| self.dispatch(now, group, actions));
        let active = |m: &Member| !m.in_flight.is_empty() || m.suspect || now - m.heard <= ACTIVE_FOR;
        self.active_members.retain(|id| self.members.get(id).is_some_and(active));
    }

    /// Asks for the member list if that is due.
    fn ask_for_list(&mut self, now: Micros, actions: &mut Vec<Action>) {
        if self.next_list_call.take_if(|at| now >= *at).is_some() {
            self.list_calls.call_made(now);
            actions.push(Action::Watch);
        }
    }

    /// Marks members as suspects that hold attempts and have not answered for several usual answer times. If
    /// most members are silent, the cause is likely to be elsewhere and none is marked.
    pub(super) fn suspect_silent(&mut self, now: Micros) {
        let mut silent = Vec::new();
        for (id, m) in self.active_members.iter().filter_map(|id| self.members.get(id).map(|m| (id, m))) {
            let Some((sent, _)) = m.active_attempts().next() else { continue };
            let usual = m.active_attempts().map(|(_, c)| self.work[c.0]).fold(0.0, f64::max);
            let patience =
                usual * m.relative_latency.max(1.0) * (2.0 + 4.0 / m.active_attempts().count() as f64);
            if !m.suspect && (now - sent.max(m.heard).max(self.stalled_until)) as f64 > patience {
                silent.push(*id);
            }
        }
        if silent.len() * 2 <= self.active_members.len().max(2) {
            silent.into_iter().for_each(|id| self.mark_suspect(now, id, false));
        }
    }

    /// Gives up held requests that can no longer be served in time, and all requests at their deadline.
    pub(super) fn shed(&mut self, now: Micros, actions: &mut Vec<Action>) {
        let mut lost = Vec::new();
        for g in self.groups_with_held.iter().filter_map(|g| self.groups.get(g)) {
            for (id, r) in g.held.iter().filter_map(|id| self.requests.get(id).map(|r| (id, r))) {
                let c = &self.settings.classes[r.class.0];
                let best = ((self.work[r.class.0] / 2.0) as Micros).min(c.latency_target / 2);
                // If a late answer earns little, refuse early enough that a retry has time.
                let hold = r.arrived + brief_hold(c);
                // Otherwise a request without any attempt is not held for most of its time.
                let vain = r.arrived + ((r.deadline - r.arrived) as f64 * FIRST_ATTEMPT_HOLD_SHARE) as Micros;
                let patient = if r.attempts.is_empty() { vain } else { r.deadline };
                let useful = r.deadline.min(hold + best).min(r.first_sent + c.latency_target);
                let end = if c.late_worth > LOW_WORTH { patient } else { useful };
                if r.in_flight() == 0 && r.is_settled(now) && now + best + self.min_round_gap > end {
                    lost.push(*id);
                }
            }
        }
        lost.extend(self.deadlines.iter().take_while(|d| d.0 <= now).map(|d| d.1));
        lost.into_iter().for_each(|id| self.give_up(now, id, actions));
    }

    /// Probes the suspects that are due. Probes may fail while a member serves requests, so after a while the
    /// suspicion is cleared and requests are sent again.
    pub(super) fn probe_suspects(&mut self, now: Micros, actions: &mut Vec<Action>) {
        for id in self.active_members.clone() {
            let ill = |m: &&mut Member| m.suspect && !m.closed_by_list && !m.held_out;
            let Some(m) = self.members.get_mut(&id).filter(ill) else { continue };
            let due = now >= m.probe_due;
            if due {
                m.probe_due = now
                    + (now - m.health_changed_at).clamp(self.min_round_gap * PROBE_GAP_PACES, MAX_PROBE_GAP);
                if now - m.health_changed_at > SUSPECT_TRIED_AFTER {
                    m.recover(now);
                }
            }
            self.probe_due = self.probe_due.min(m.probe_due);
            let _ = due && self.probe(now, id, actions);
        }
    }

    /// Sends a probe, unless one is in flight or the probe budget is used up.
    pub(super) fn probe(&mut self, now: Micros, id: MemberId, actions: &mut Vec<Action>) -> bool {
        let Some(m) = self.members.get_mut(&id).filter(|m| m.probe_sent_at.is_none()) else { return false };
        let granted = self.settings.allowed.probes && self.probe_tokens >= 1.0;
        if granted {
            (self.probe_tokens, m.probe_sent_at) = (self.probe_tokens - 1.0, Some(now));
            actions.push(Action::Probe { member: id });
        }
        granted
    }
}
