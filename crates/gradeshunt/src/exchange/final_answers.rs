//! Final answers. Each request gets exactly one, and is removed once its last attempt has ended as well.

use leadmast::{Event, RequestId};
use slog::error;

use super::messages::{Answer, FinalAnswer};
use super::reason::FinalReason;
use super::state::Exchange;
use crate::deadlines::DeadlineKind;
use crate::turn::Turn;

impl Exchange {
    /// Fails a request that the balancer has not answered in time.
    pub fn answer_overdue(&mut self, turn: &mut Turn, id: RequestId) {
        if self.requests.get(&id).is_some_and(|r| !r.is_over) {
            error!(turn.log, "no final answer by the deadline; failing the request"; "request" => id.0);
            self.give_final_answer(turn, id, FinalAnswer::Failed(None), Some(FinalReason::Overdue));
            self.handle_event(turn, Event::Gone { request: id });
        }
    }

    /// Answers all open requests because the process is shutting down: as failed where an attempt may have
    /// run, else as refused. A client that has part of an answer must see that it is incomplete.
    pub fn answer_all_at_shutdown(&mut self, turn: &mut Turn) {
        let open: Vec<_> = self.requests.iter().filter(|(_, r)| !r.is_over).map(|(id, _)| *id).collect();
        for id in open {
            let Some(r) = self.requests.get(&id) else { continue };
            let retry_after = self.retry_after(r.class);
            let answer = match (r.answer_begun, r.outcome_unknown_since.is_some() || r.written) {
                (true, _) => FinalAnswer::Interrupted,
                (false, true) => FinalAnswer::Failed(None),
                (false, false) => FinalAnswer::Refused { retry_after },
            };
            self.give_final_answer(turn, id, answer, Some(FinalReason::Leaving));
            self.handle_event(turn, Event::Gone { request: id });
        }
    }

    /// Whether every request has its final answer.
    pub fn is_idle(&self) -> bool {
        self.requests.values().all(|r| r.is_over)
    }

    /// Gives a request its final answer; `reason` says why it is not served.
    pub(super) fn give_final_answer(
        &mut self,
        turn: &mut Turn,
        id: RequestId,
        answer: FinalAnswer,
        reason: Option<FinalReason>,
    ) {
        let stats_key = self
            .requests
            .get(&id)
            .filter(|r| !r.is_over)
            .map(|r| (r.class.0, r.tenant_index, r.exceeds_share));
        if stats_key.is_some() {
            self.check_answer_time(turn, id, reason);
            let refused = matches!(answer, FinalAnswer::Refused { .. });
            reason.into_iter().for_each(|reason| self.record_reason(turn, id, refused, reason));
        }
        if !self.mark_over(turn, id) {
            return;
        }
        let Some((class, tenant, beyond)) = stats_key else { return };
        let tenant = &mut self.figures.tenants[tenant];
        let tenant = if beyond { &mut tenant.beyond } else { &mut tenant.within };
        let finals = &mut self.summary_counts.final_answers;
        for count in [Some(finals), Some(tenant), self.figures.classes.get_mut(class)].into_iter().flatten() {
            match &answer {
                FinalAnswer::Served(_) => count.served += 1,
                FinalAnswer::Refused { .. } => count.refused += 1,
                FinalAnswer::Failed(_) | FinalAnswer::Cancelled | FinalAnswer::Interrupted => {
                    count.failed += 1
                }
            }
        }
        self.answers.push_back((id, Answer::Final(answer)));
    }

    /// Marks a request as over; returns false if it already was.
    pub(super) fn mark_over(&mut self, turn: &mut Turn, id: RequestId) -> bool {
        let Some(r) = self.requests.get_mut(&id).filter(|r| !r.is_over) else { return false };
        r.is_over = true;
        turn.deadlines.clear(r.deadline + self.answer_slack, DeadlineKind::Overdue(id));
        self.remove_if_done(id);
        true
    }

    /// Removes a request that is over and has no attempt out.
    pub(super) fn remove_if_done(&mut self, id: RequestId) {
        if self.requests.get(&id).is_some_and(|r| r.is_over && r.active_attempt.is_none()) {
            self.requests.remove(&id);
        }
    }
}
