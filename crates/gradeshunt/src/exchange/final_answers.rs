//! Final answers: each request gets one, and is forgotten when its last attempt has ended, too.

use leadmast::{Event, RequestId};
use slog::error;

use super::messages::{Answer, Final};
use super::reason::FinalReason;
use super::state::Exchange;
use crate::deadlines::DeadlineKind;
use crate::turn::Turn;

impl Exchange {
    /// The time for a final answer is over: one that the module has not answered fails.
    pub fn overdue(&mut self, turn: &mut Turn, id: RequestId) {
        if self.requests.get(&id).is_some_and(|r| !r.over) {
            error!(turn.log, "overdue: the module gave no final answer, failing the request"; "request" => id.0);
            self.finish(turn, id, Final::Failed(None), Some(FinalReason::Overdue));
            self.tell(turn, Event::Gone { request: id });
        }
    }

    /// The process ends: what is still open is answered, as a failure where it may have run. Of a value that has begun the
    /// client has to see that it is not whole.
    pub fn end_all(&mut self, turn: &mut Turn) {
        let open: Vec<_> = self.requests.iter().filter(|(_, r)| !r.over).map(|(id, _)| *id).collect();
        for id in open {
            let Some(r) = self.requests.get(&id) else { continue };
            let retry_after = self.retry_after(r.class);
            let answer = match (r.begun, r.doubt_since.is_some() || r.written) {
                (true, _) => Final::Broken,
                (false, true) => Final::Failed(None),
                (false, false) => Final::Refused { retry_after },
            };
            self.finish(turn, id, answer, Some(FinalReason::Leaving));
            self.tell(turn, Event::Gone { request: id });
        }
    }

    /// Whether every request has its final answer.
    pub fn is_idle(&self) -> bool {
        self.requests.values().all(|r| r.over)
    }

    /// Gives a request its final answer, and why where it is not served.
    pub(super) fn finish(
        &mut self,
        turn: &mut Turn,
        id: RequestId,
        answer: Final,
        reason: Option<FinalReason>,
    ) {
        let of = self.requests.get(&id).filter(|r| !r.over).map(|r| (r.class.0, r.tenant, r.beyond));
        if of.is_some() {
            self.audit_answer(turn, id, reason);
            let refused = matches!(answer, Final::Refused { .. });
            reason.into_iter().for_each(|reason| self.note_reason(turn, id, refused, reason));
        }
        if !self.end(turn, id) {
            return;
        }
        let Some((class, tenant, beyond)) = of else { return };
        let tenant = &mut self.figures.tenants[tenant];
        let tenant = if beyond { &mut tenant.beyond } else { &mut tenant.within };
        let finals = &mut self.tally.finals;
        for count in [Some(finals), Some(tenant), self.figures.classes.get_mut(class)].into_iter().flatten() {
            match &answer {
                Final::Served(_) => count.served += 1,
                Final::Refused { .. } => count.refused += 1,
                Final::Failed(_) | Final::Cancelled | Final::Broken => count.failed += 1,
            }
        }
        self.answers.push_back((id, Answer::Final(answer)));
    }

    /// Marks a request as over; false where it already was.
    pub(super) fn end(&mut self, turn: &mut Turn, id: RequestId) -> bool {
        let Some(r) = self.requests.get_mut(&id).filter(|r| !r.over) else { return false };
        r.over = true;
        turn.deadlines.clear(r.deadline + self.slack, DeadlineKind::Overdue(id));
        self.forget_if_done(id);
        true
    }

    /// Forgets a request that is over, once no attempt of it is out.
    pub(super) fn forget_if_done(&mut self, id: RequestId) {
        if self.requests.get(&id).is_some_and(|r| r.over && r.out.is_none()) {
            self.requests.remove(&id);
        }
    }
}
