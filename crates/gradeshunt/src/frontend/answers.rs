//! Delivers answers to clients; long answers are streamed in parts.

use leadmast::invariant::Rule;
use leadmast::RequestId;

use super::close_reason::CloseReason;
use super::session::{Session, Stage};
use super::Frontend;
use crate::exchange::{Exchange, FinalAnswer};
use crate::ids::SessionId;
use crate::pg::{sqlstate, Writer};
use crate::turn::{EventSource, Turn};

impl Frontend {
    /// Passes one part of a long answer on to the client.
    pub fn forward_part(
        &mut self,
        turn: &mut Turn,
        exchange: &mut Exchange,
        request: RequestId,
        bytes: &[u8],
    ) {
        let Some(id) = self.owners.get(&request).map(|o| o.session) else { return };
        let Some(s) = self.sessions.get_mut(&id) else { return };
        if !s.outbound.push(bytes) {
            return self.abandon_session(turn, exchange, id);
        }
        self.flush(turn, id);
        self.report_unread_bytes(exchange, id, bytes.len());
    }

    /// Reports the number of bytes that the client has not read yet, so that the server side continues a long
    /// answer only while there is room for it.
    pub(super) fn report_unread_bytes(&self, exchange: &mut Exchange, id: SessionId, received: usize) {
        if let Some(Session { stage: Stage::Waiting(request), outbound, .. }) = self.sessions.get(&id) {
            exchange.update_unread(*request, received, outbound.len());
        }
    }

    /// A db host has refused a statement as a write, though its class is for reads: statements of its shape
    /// count as writes from now on.
    pub fn record_write(&mut self, request: RequestId, statement: &[u8]) {
        if let (Some(router), Ok(statement)) = (&mut self.router, std::str::from_utf8(statement)) {
            router.refute_read(statement);
        }
        let session = self.owners.get(&request).and_then(|owner| self.sessions.get_mut(&owner.session));
        if let Some(session) = session {
            session.may_write = true;
        }
    }

    /// Writes the final answer of a request and makes the session ready for its next request.
    pub fn answer(
        &mut self,
        turn: &mut Turn,
        exchange: &mut Exchange,
        request: RequestId,
        answer: FinalAnswer,
    ) {
        let Some(id) = self.release_request(request) else { return };
        let Some(s) = self.sessions.get_mut(&id) else { return };
        (s.stage, s.last_active) = (Stage::Ready, turn.now);
        // A write has committed by now if it did at all; one that failed counts too, because it may have
        // executed.
        if std::mem::take(&mut s.may_write) {
            s.last_write = Some(turn.now);
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
            // The client would read an error message as bytes of the truncated value.
            FinalAnswer::Interrupted => return self.close_with(turn, id, w, CloseReason::ValueTruncated),
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
            // The client has not read its earlier answers, and no complete message fits behind them. The
            // assertion at `MAX_UNREAD_BYTES` rules this out.
            exchange.record_violation(turn, Rule::ClosedUnanswered, None);
            return self.close(turn, id);
        }
        // Flush before reading: a client that sends Terminate right behind its request still gets its answer.
        self.flush(turn, id);
        // Between an answer and the next read is the moment at which the fewest requests cross a close.
        self.close_if_draining(turn, id);
        // The next request, which may still be unread in the socket, waits for the client's next share: a
        // request that is answered at once would be followed by all that the client has sent.
        turn.defer(EventSource::Session(id));
    }

    /// Forgets a finished request and frees its id; returns the session that waited for it.
    fn release_request(&mut self, request: RequestId) -> Option<SessionId> {
        let owner = self.owners.remove(&request)?;
        self.ids.end(&owner.id);
        Some(owner.session)
    }

    /// Forgets a request whose client has left. Its id stays taken if the request may have run.
    pub(super) fn release_departed(&mut self, turn: &Turn, exchange: &Exchange, request: RequestId) {
        let Some(owner) = self.owners.remove(&request) else { return };
        self.ids.end(&owner.id);
        if let Some(until) = exchange.id_retired_until(turn, request) {
            self.ids.retire(owner.id, until);
        }
    }
}
