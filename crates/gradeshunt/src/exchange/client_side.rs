//! Events from the frontend: new requests, clients that disconnect or cancel, and how much of an answer they
//! have read.

use leadmast::permission::{id_retired_until, may_accept};
use leadmast::{Arrival, Effect, Event, Micros, RequestId};

use super::messages::{BackendCommand, FinalAnswer, IncomingRequest, ANSWER_BUFFER_SIZE};
use super::reason::FinalReason;
use super::request::Request;
use super::state::Exchange;
use crate::deadlines::DeadlineKind;
use crate::ids::AttemptId;
use crate::turn::Turn;

impl Exchange {
    /// Takes a request. Every request gets exactly one final answer.
    pub fn submit(&mut self, turn: &mut Turn, incoming: IncomingRequest) -> RequestId {
        let id = RequestId(self.next_request);
        self.next_request += 1;
        let IncomingRequest {
            class,
            group,
            key,
            deadline,
            since_write,
            repeat,
            checked,
            tenant,
            source,
            body,
        } = incoming;
        self.summary_counts.requests += 1;
        // The balancer answers by the deadline. This timer answers the client should it fail to.
        turn.deadlines.set(deadline + self.answer_slack, DeadlineKind::Overdue(id));
        let place = tenant.map_or(self.figures.tenants.len() - 1, |t| t.0);
        let effect = self.effects.get(class.0).copied().unwrap_or(Effect::Unsafe);
        let request = Request::new(class, effect, group, tenant, place, deadline, body);
        self.requests.insert(id, request);
        let refused = FinalAnswer::Refused { retry_after: self.retry_after(class) };
        // The client's wait time ended while the request was queued: nobody would receive an attempt's
        // answer.
        if may_accept(turn.now, deadline).is_err() {
            self.summary_counts.expired_unsent += 1;
            self.figures.expired_unsent += 1;
            self.give_final_answer(turn, id, refused, Some(FinalReason::Expired));
            return id;
        }
        if self.sites.as_mut().is_some_and(|s| !s.admits(group, class, tenant)) {
            self.give_final_answer(turn, id, refused, Some(FinalReason::SitePlan));
            return id;
        }
        let arrival =
            Arrival { request: id, class, group, key, deadline, since_write, repeat, checked, tenant };
        self.forward_or_serve(turn, source, arrival);
        id
    }

    /// The client has disconnected.
    pub fn client_gone(&mut self, turn: &mut Turn, id: RequestId) {
        let Some(r) = self.requests.get_mut(&id) else { return };
        r.client_left_at = Some(turn.now);
        let (written, begun, forwarded) = (r.any_attempt_written, r.answer_begun, r.forward.is_some());
        let attempt =
            r.active_attempt.as_ref().map(|active| AttemptId { request: id, number: active.number });
        if self.mark_over(turn, id) {
            // The balancer has already had its outcome for a long answer that has begun, so that attempt is
            // abandoned here. An attempt that is not sent yet is withdrawn regardless of the `mayCancel`
            // setting, since nothing has reached a db host. A home proxy notices the closed connection and
            // applies the setting itself.
            let abandon = begun || forwarded;
            self.backend_commands.extend(attempt.map(if abandon {
                BackendCommand::Cancel
            } else {
                BackendCommand::CancelIfUnsent
            }));
            self.summary_counts.clients_gone += 1;
            self.summary_counts.gone_unsent += u32::from(!written);
            self.figures.gone_unsent += u64::from(!written);
            self.handle_event(turn, Event::Gone { request: id });
        }
    }

    /// Until when no other request may have the id of this one, if its client leaves now.
    pub fn id_retired_until(&self, turn: &Turn, id: RequestId) -> Option<Micros> {
        let r = self.requests.get(&id)?;
        id_retired_until(turn.now, r.effect, r.any_attempt_written, r.deadline)
    }

    /// The client has cancelled a request and waits for the confirmation. An answer that has begun is still
    /// sent to its end.
    pub fn cancel(&mut self, turn: &mut Turn, id: RequestId) {
        let Some(r) = self.requests.get_mut(&id).filter(|r| !r.is_over && !r.answer_begun) else { return };
        r.client_left_at = Some(turn.now);
        let forwarded = r.forward.is_some();
        let attempt =
            r.active_attempt.as_ref().map(|active| AttemptId { request: id, number: active.number });
        self.give_final_answer(turn, id, FinalAnswer::Cancelled, Some(FinalReason::Cancelled));
        self.backend_commands.extend(attempt.map(if forwarded {
            BackendCommand::Cancel
        } else {
            BackendCommand::CancelIfUnsent
        }));
        self.handle_event(turn, Event::Gone { request: id });
    }

    /// The frontend has received `received` more bytes of a long answer, and buffers `buffered` bytes that its
    /// client has yet to read.
    pub fn update_unread(&mut self, id: RequestId, received: usize, buffered: usize) {
        let Some(r) = self.requests.get_mut(&id).filter(|r| !r.is_over) else { return };
        r.queued_bytes = r.queued_bytes.saturating_sub(received);
        r.room = ANSWER_BUFFER_SIZE.saturating_sub(buffered + r.queued_bytes);
        if let (Some(active), true) = (&r.active_attempt, r.awaits_room && r.room > 0) {
            r.awaits_room = false;
            self.backend_commands
                .push_back(BackendCommand::Resume(AttemptId { request: id, number: active.number }));
        }
    }
}
