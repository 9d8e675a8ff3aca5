//! Answers on their way to clients, long ones in parts.

use leadmast::invariant::Rule;
use leadmast::RequestId;

use super::closing::CloseReason;
use super::session::{Session, Stage};
use super::Frontend;
use crate::exchange::{Exchange, FinalAnswer};
use crate::ids::SessionId;
use crate::pg::{sqlstate, Writer};
use crate::turn::Turn;

impl Frontend {
    /// A part of a long answer.
    pub fn part(&mut self, turn: &mut Turn, exchange: &mut Exchange, request: RequestId, bytes: &[u8]) {
        let Some(id) = self.owners.get(&request).map(|o| o.session) else { return };
        let Some(s) = self.sessions.get_mut(&id) else { return };
        if !s.outbound.push(bytes) {
            return self.abandon_session(turn, exchange, id);
        }
        self.flush(turn, id);
        self.report_unread(exchange, id, bytes.len());
    }

    /// Lets the server side go on with a long answer as far as there is room for it here.
    pub(super) fn report_unread(&self, exchange: &mut Exchange, id: SessionId, got: usize) {
        if let Some(Session { stage: Stage::Waiting(request), outbound, .. }) = self.sessions.get(&id) {
            exchange.update_unread(*request, got, outbound.len());
        }
    }

    /// The final answer of a request.
    pub fn answer(
        &mut self,
        turn: &mut Turn,
        exchange: &mut Exchange,
        request: RequestId,
        answer: FinalAnswer,
    ) {
        let Some(id) = self.release_request(request) else { return };
        let Some(s) = self.sessions.get_mut(&id) else { return };
        (s.stage, s.since) = (Stage::Ready, turn.now);
        // What was committed was so by now; one that failed may have run as well.
        if std::mem::take(&mut s.writing) {
            s.wrote = Some(turn.now);
        }
        let w = Writer::default();
        let w = match answer {
            FinalAnswer::Served(bytes) => Writer(bytes),
            FinalAnswer::Refused { retry_after } => {
                let after = retry_after.map(|t| ((t + 999) / 1000).to_string());
                w.error(
                    "ERROR",
                    sqlstate::TOO_MANY_CONNECTIONS,
                    "no db host can take this now",
                    after.as_deref(),
                )
            }
            // An error would pass for bytes of the value that was cut.
            FinalAnswer::Interrupted => return self.close_with(turn, id, w, CloseReason::ValueCut),
            FinalAnswer::Cancelled => {
                w.error("ERROR", sqlstate::QUERY_CANCELED, "canceling statement due to user request", None)
            }
            FinalAnswer::Failed(Some(error)) => Writer(error),
            FinalAnswer::Failed(None) => {
                w.error("ERROR", sqlstate::SYSTEM_ERROR, "no db host has answered in time", None)
            }
        };
        let fits = s.outbound.push(&w.ready().0);
        if !fits {
            // The client has not read its earlier answers; nothing whole can follow them. The assertion at the ring's limits says
            // that this can't be.
            exchange.record_violation(turn, Rule::ClosedUnanswered, None);
            return self.close(turn, id);
        }
        // Before anything else is read: a client that takes its leave right behind its request gets its answer.
        self.flush(turn, id);
        // What the client sent meanwhile may still stand unread in its socket.
        self.ready(turn, exchange, id);
    }

    /// A request is over: nobody waits for it, and its id is free.
    pub(super) fn release_request(&mut self, request: RequestId) -> Option<SessionId> {
        let owner = self.owners.remove(&request)?;
        self.ids.remove(&owner.id);
        Some(owner.session)
    }
}
