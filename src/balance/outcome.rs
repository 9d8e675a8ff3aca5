//! Processes the results of attempts: updates members' health, and retries, refuses or closes requests.

use super::{
    brief_hold, decayed, Balancer, Request, MIN_FLEET_WINDOW, MIN_WINDOW_SHARE, OVERLOAD_LATENCY_SHARE,
    PROBE_DELAY_GAPS, SLOW_ANSWER_SHARE, SPARSE_ANSWER_INTERVAL, TIMEOUT_FACTORS,
};
use crate::interface::{
    Action, ClassId, Effect, Ending, GroupId, MemberId, Micros, Outcome, RequestId, Scope, ZoneId,
};

impl Balancer {
    /// Updates the member's failure rate, answer times and concurrency window from the result of an attempt.
    pub(super) fn update_health(&mut self, now: Micros, outcome: &Outcome, class: ClassId) {
        let Outcome { member: id, ending, elapsed, .. } = *outcome;
        let (mean_concurrency, fleet) =
            (self.mean_concurrency(now), f64::from(self.settings.fleet_size.max(1)));
        let share = elapsed as f64 / (self.settings.classes[class.0].latency_target as f64).max(1.0);
        let Some(m) = self.members.get_mut(&id) else { return };
        // If the client waited only briefly, a timeout says little about the member.
        let late =
            matches!(ending, Ending::Timeout | Ending::Cancelled) && share > 2.0 * OVERLOAD_LATENCY_SHARE;
        let primary = self.groups.get(&m.entry.group).is_some_and(|g| g.primary == Some(id));
        if primary && (late || matches!(ending, Ending::Ok | Ending::Full)) {
            let latency_share = if ending == Ending::Full { 1.0 } else { share.min(2.0) };
            let fresh =
                (1.0 - ((self.primary_load.1 - now) as f64 / SPARSE_ANSWER_INTERVAL as f64).exp()).max(0.1);
            self.primary_load = (self.primary_load.0 + fresh * (latency_share - self.primary_load.0), now);
        }
        // The time that this result stands for: rarer results get a larger weight, limited to a few seconds'
        // worth.
        let age = ((now - m.last_answer_at) as f64 / SPARSE_ANSWER_INTERVAL as f64).min(3.0);
        let fresh = 1.0 - (-age).exp();
        if matches!(ending, Ending::Ok | Ending::Error | Ending::Miss | Ending::Full) {
            m.last_answer_at = now;
        }
        let min_window =
            (m.weight() * mean_concurrency * MIN_WINDOW_SHARE).max((MIN_FLEET_WINDOW / fleet).min(1.0));
        let (ratio, recently) =
            (elapsed as f64 / self.work[class.0], now - self.min_round_gap * PROBE_DELAY_GAPS);
        if ending == Ending::ConnectFailed && elapsed < self.min_round_gap * PROBE_DELAY_GAPS {
            m.refused_connects = (decayed(m.refused_connects, now) + 1.0, now);
        }
        match ending {
            Ending::Ok => {
                self.recent_work = (decayed(self.recent_work, now) + self.work[class.0], now);
                m.recover(now);
                let is_slow = ratio / m.relative_latency.max(1.0) > self.tail_factor;
                self.tail_factor = (self.tail_factor + if is_slow { 2.0 } else { -2.0 * SLOW_ANSWER_SHARE })
                    .clamp(TIMEOUT_FACTORS.0, TIMEOUT_FACTORS.1);
                m.failure_rate *= 0.9 - 0.2 * fresh;
                m.relative_latency += (0.2 * fresh).max(0.05) * (ratio - m.relative_latency);
                m.record_latency(now, elapsed, share, age, min_window);
                let growth = if m.load > OVERLOAD_LATENCY_SHARE { 0.0 } else { 0.03 };
                self.work[class.0] *= 1.0 + if ratio < 1.0 { -0.03 } else { growth };
            }
            Ending::Error => m.failure_rate += (0.5 * fresh).max(0.1) * (1.0 - m.failure_rate),
            Ending::Miss => m.recover(now),
            Ending::Full => {
                m.shrink_window(now, 0.7, min_window);
                (m.last_slot, m.paused_until) = (now, now + self.min_round_gap * PROBE_DELAY_GAPS / 2);
            }
            Ending::ConnectFailed if now < self.connections_scarce_until => {
                m.paused_until = now + self.min_round_gap * PROBE_DELAY_GAPS
            }
            // Single connections may break while the process goes on serving. The member is suspected if
            // another one breaks before it answers again.
            Ending::ConnectFailed | Ending::Reset
                if m.last_answer_at > m.connection_broken_at.max(recently) =>
            {
                m.connection_broken_at = now
            }
            // A member that is down refuses connections at once. One that does not respond is unreachable and
            // need not have restarted.
            Ending::ConnectFailed => {
                self.mark_suspect(now, id, elapsed < self.min_round_gap * PROBE_DELAY_GAPS)
            }
            Ending::Reset => self.mark_suspect(now, id, true),
            // The attempt ended at its deadline, so its answer would have taken at least this long.
            Ending::Timeout | Ending::Cancelled => {
                m.relative_latency += (0.2 * fresh).max(0.05) * (ratio - m.relative_latency).max(0.0);
                if late {
                    m.record_latency(now, elapsed, share, age, min_window);
                }
            }
            Ending::Moot => {}
        }
    }

    /// Marks a member as a suspect, which gets no new attempts. Requests that wait for it get a second
    /// attempt where that is permitted.
    pub(super) fn mark_suspect(&mut self, now: Micros, id: MemberId, down: bool) {
        let Some(m) = self.members.get_mut(&id) else { return };
        if !m.suspect {
            (m.suspect, m.may_be_down, m.health_changed_at, m.probe_due) =
                (true, false, now, now + self.min_round_gap * PROBE_DELAY_GAPS);
        }
        m.may_be_down |= down;
        for id in m.in_flight.keys().map(|k| k.1).collect::<Vec<_>>() {
            let Some(r) = self.requests.get(&id).filter(|r| !r.answered && r.in_flight() == 1) else {
                continue;
            };
            let (group, zone) = (r.group, self.repeat_zone(r));
            if self.may_send(now, r, zone) && self.take_retry_token() {
                self.enqueue(group, id);
            }
        }
    }

    /// The zone in which another attempt is most likely to be permitted: that of the first attempt that may
    /// have executed.
    fn repeat_zone(&self, r: &Request) -> ZoneId {
        r.first_uncertain().map_or(self.settings.zone, |first| first.zone)
    }

    /// Queues a request until a member has room for it.
    pub(super) fn enqueue(&mut self, group: GroupId, id: RequestId) {
        self.groups.entry(group).or_default().held.insert(id);
        self.groups_with_held.insert(group);
    }

    /// Takes a token from the retry budget; returns `false` if none is left.
    pub(super) fn take_retry_token(&mut self) -> bool {
        let enough = self.retry_tokens >= 1.0;
        self.retry_tokens -= if enough { 1.0 } else { 0.0 };
        enough
    }

    /// Holds a request for another attempt, or gives it up, after all its attempts have ended without an
    /// answer.
    pub(super) fn retry_or_give_up(
        &mut self,
        now: Micros,
        id: RequestId,
        ending: Ending,
        without_token: bool,
        actions: &mut Vec<Action>,
    ) {
        let Some(r) = self.requests.get_mut(&id) else { return };
        r.primary_only |= ending == Ending::Miss;
        let (group, r) = (r.group, &self.requests[&id]);
        let at = r.settled_at.map_or(now, |settled| settled.max(now));
        let permitted = self.may_send(at, r, self.repeat_zone(r));
        if permitted && (without_token || self.take_retry_token()) {
            self.enqueue(group, id);
            self.dispatch_due.extend((at > now).then_some((at, id)));
        } else {
            self.give_up(now, id, actions);
        }
    }

    /// Sends the final answer: a refusal if a retry is harmless, otherwise a failure.
    pub(super) fn give_up(&mut self, now: Micros, id: RequestId, actions: &mut Vec<Action>) {
        let Some(r) = self.requests.get_mut(&id).filter(|r| !r.answered) else { return };
        r.answered = true;
        r.tenant_share.iter().for_each(|(t, gap)| self.tenant_share_times[*t] -= gap);
        if r.first_uncertain().is_none()
            || matches!(r.effect, Effect::Safe | Effect::Keyed { scope: Scope::All, .. })
        {
            let a = &self.settings.allowed;
            let hold = brief_hold(&self.settings.classes[r.class.0]);
            let retry_after = a.retry_after.then_some(hold.min(a.max_retry_after));
            actions.push(Action::Refuse { request: id, retry_after });
        } else {
            actions.push(Action::Fail { request: id });
        }
        self.close(now, id, actions);
    }

    /// Ends a request: cancels the attempts in flight and marks its bucket's write as settled.
    pub(super) fn close(&mut self, now: Micros, id: RequestId, actions: &mut Vec<Action>) {
        let Some(r) = self.requests.get_mut(&id) else { return };
        let first = self.deadlines.remove(&(r.deadline, id));
        if let Some(at) = r.settled_at {
            self.dispatch_due.remove(&(at, id));
        }
        r.answered = true;
        self.groups.entry(r.group).or_default().held.remove(&id);
        let cancel = first && self.settings.allowed.cancel;
        let out = r.attempts.iter().zip(0..).filter(|(a, _)| cancel && a.ending.is_none());
        actions.extend(out.map(|(_, attempt)| Action::Cancel { request: id, attempt }));
        if r.in_flight() > 0 {
            return;
        }
        // A write whose answer was lost must not block its bucket's reads forever: replicas whose position is
        // past this moment have applied it.
        if let Some(b) =
            r.bucket.map(|b| &mut self.buckets[b]).filter(|b| b.unsettled_write == Some(r.sequence))
        {
            (b.unsettled_write, b.position) = (None, b.position.max(now));
        }
        self.requests.remove(&id);
    }
}
