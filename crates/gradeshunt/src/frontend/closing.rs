//! Writes to clients and closes their connections, so that each gets its last message.

use std::net::Shutdown;

use leadmast::invariant::Rule;
use leadmast::Micros;
use slog::debug;

use super::close_reason::CloseReason;
use super::session::{Stage, CLOSE_STALL_TIMEOUT, DELIVERY_CHECK_INTERVAL, LINGER, MAX_DELIVERY_TIME};
use super::Frontend;
use crate::deadlines::DeadlineKind;
use crate::exchange::Exchange;
use crate::ids::SessionId;
use crate::pg::{sqlstate, Writer};
use crate::ring::Transfer;
use crate::turn::{EventSource, Turn};

impl Frontend {
    /// Handles an expired deadline of a session: the client took too long to send a message, or to close.
    pub fn session_due(&mut self, turn: &mut Turn, id: SessionId) {
        let Some(s) = self.sessions.get(&id).filter(|s| s.deadline.is_some_and(|due| due <= turn.now)) else {
            return;
        };
        match s.stage {
            Stage::Closing if s.outbound.is_empty() => return self.finish_writing(turn, id),
            Stage::Closing | Stage::Lingering => return self.close(turn, id),
            Stage::Startup | Stage::Ready | Stage::Waiting(_) => {}
        }
        let (code, what) = (sqlstate::PROTOCOL_VIOLATION, "no whole message in time");
        self.close_with(
            turn,
            id,
            Writer::default().error("FATAL", code, what, None),
            CloseReason::MessageTimeout,
        );
    }

    /// Writes buffered output until the socket would block. Returns whether any was written.
    pub(super) fn flush(&mut self, turn: &mut Turn, id: SessionId) -> bool {
        let Some(s) = self.sessions.get_mut(&id) else { return false };
        let mut moved = false;
        loop {
            match s.outbound.write_to(&s.polled.socket) {
                Ok(Transfer::Bytes(_)) => moved = true,
                Ok(_) => break,
                Err(_) => {
                    // The connection is broken. The session is closed when it is next processed.
                    s.disconnected = true;
                    turn.defer(EventSource::Session(id));
                    return moved;
                }
            }
        }
        match s.stage {
            Stage::Closing if s.outbound.is_empty() && s.delivery_until.is_none() => {
                self.finish_writing(turn, id)
            }
            // Each progress extends the deadline, so that a slow client that keeps reading gets the whole
            // message.
            Stage::Closing if moved => self.set_deadline(turn, id, Some(turn.now + CLOSE_STALL_TIMEOUT)),
            _ => {}
        }
        moved
    }

    /// Shuts down the sending side of a connection whose last message is written. The client may still be
    /// sending, and a close over unread bytes resets the connection: where they are left unread, the shutdown
    /// waits until the system has sent everything, since it would discard the rest.
    fn finish_writing(&mut self, turn: &mut Turn, id: SessionId) {
        let Some(s) = self.sessions.get_mut(&id) else { return };
        let until = *s.delivery_until.get_or_insert(turn.now + MAX_DELIVERY_TIME);
        let resets = s.leaves_unread && !s.polled.is_quiet();
        if resets && turn.now < until && s.polled.has_unsent_bytes() {
            return self.set_deadline(turn, id, Some(turn.now + DELIVERY_CHECK_INTERVAL));
        }
        s.stage = Stage::Lingering;
        let _ = s.polled.socket.shutdown(Shutdown::Write);
        self.set_deadline(turn, id, Some(turn.now + LINGER));
    }

    /// Writes the last message of a connection and closes the connection once the client has had time to read
    /// it.
    pub(super) fn close_with(&mut self, turn: &mut Turn, id: SessionId, last: Writer, reason: CloseReason) {
        let Some(s) = self.sessions.get_mut(&id).filter(|s| !s.is_closing()) else { return };
        s.stage = Stage::Closing;
        s.leaves_unread = reason.leaves_unread();
        s.inbound.clear();
        let _ = s.outbound.push(&last.0);
        self.record_close(turn, id, reason);
        self.set_deadline(turn, id, Some(turn.now + CLOSE_STALL_TIMEOUT));
        self.flush(turn, id);
    }

    /// Closes a connection whose client has disconnected or can't be served any further, and withdraws its
    /// request.
    pub(super) fn abandon_session(&mut self, turn: &mut Turn, exchange: &mut Exchange, id: SessionId) {
        let waiting = self.sessions.get(&id).and_then(|s| match s.stage {
            Stage::Waiting(request) => Some(request),
            Stage::Startup | Stage::Ready | Stage::Closing | Stage::Lingering => None,
        });
        self.check_abandoned(turn, exchange, id);
        if let Some(request) = waiting {
            self.release_departed(turn, exchange, request);
            exchange.client_gone(turn, request);
        }
        self.close(turn, id);
    }

    /// Counts and logs that the proxy closes a client's connection.
    pub(super) fn record_close(&mut self, turn: &Turn, id: SessionId, reason: CloseReason) {
        *self.close_counts.entry(reason.name()).or_default() += 1;
        debug!(turn.log, "client closed"; "why" => reason.name(), "session" => id.0);
    }

    /// Records a violation if a session closes while its request is in progress, unless the client ended the
    /// connection.
    pub(super) fn check_abandoned(&self, turn: &Turn, exchange: &mut Exchange, id: SessionId) {
        let abandoned =
            self.sessions.get(&id).is_some_and(|s| matches!(s.stage, Stage::Waiting(_)) && !s.disconnected);
        if abandoned {
            exchange.record_violation(turn, Rule::ClosedUnanswered, None);
        }
    }

    /// Replaces the session's deadline; `None` removes it.
    pub(super) fn set_deadline(&mut self, turn: &mut Turn, id: SessionId, due: Option<Micros>) {
        let Some(s) = self.sessions.get_mut(&id) else { return };
        if let Some(at) = s.deadline {
            turn.deadlines.clear(at, DeadlineKind::Session(id));
        }
        s.deadline = due;
        if let Some(at) = due {
            turn.deadlines.set(at, DeadlineKind::Session(id));
        }
    }

    /// Closes the connection immediately.
    pub(super) fn close(&mut self, turn: &mut Turn, id: SessionId) {
        self.set_deadline(turn, id, None);
        if let Some(s) = self.sessions.remove(&id) {
            s.polled.close(turn);
        }
    }
}
