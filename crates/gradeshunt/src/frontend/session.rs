//! One client connection: its state and deadline, reading, writing and closing.

use std::net::Shutdown;

use leadmast::{Micros, RequestId};
use slog::warn;

use super::closing::CloseReason;
use super::Frontend;
use crate::deadlines::DeadlineKind;
use crate::exchange::Exchange;
use crate::ids::SessionId;
use crate::inbound::InputBuffer;
use crate::log_limit::ClientLine;
use crate::memory;
use crate::pg::{sqlstate, Writer};
use crate::ring::{Ring, Transfer, INITIAL_RING_SIZE};
use crate::routing::Origin;
use crate::turn::{EventSource, Polled, Turn};

/// Maximum number of reads of one connection in one turn.
const READS_PER_TURN: usize = 8;

/// How long a client may take to send one message, the startup message included, from its first byte.
pub(super) const MESSAGE_TIMEOUT: Micros = 2_500_000;

/// How long a connection stays open for reading after its last byte was written, so that a reset does not
/// destroy what the client has yet to read.
pub(super) const LINGER: Micros = 1_000_000;

/// How long at most the end of the last message may wait in the system for a client that is slow to receive it,
/// and how often that is looked at.
pub(super) const MAX_DELIVERY_TIME: Micros = 10_000_000;
pub(super) const DELIVERY_CHECK_INTERVAL: Micros = 50_000;

/// How long the last message of a closing connection may make no progress while the client does not read.
pub(super) const CLOSE_STALL_TIMEOUT: Micros = 5_000_000;

/// The state of a session.
pub(super) enum Stage {
    /// The startup message has not arrived.
    Startup,
    /// No request is in progress.
    Ready,
    /// A request is in progress.
    Waiting(RequestId),
    /// The last message is being written.
    Closing,
    /// The last message is written and the sending side is shut down; the client has yet to close. The
    /// shutdown happens only once, because each shutdown wakes the poll.
    Lingering,
}

/// The connection of a client or of another proxy.
pub(super) struct Session {
    pub(super) polled: Polled,
    pub(super) inbound: InputBuffer,
    pub(super) outbound: Ring,
    pub(super) stage: Stage,
    /// Whether bytes that arrive once the session is closing stay unread: they may be a request, which the
    /// client may safely send again only if it was never read.
    pub(super) leaves_unread: bool,
    /// Whether the connection is a client's or another proxy's, by the listener that accepted it.
    pub(super) source: gradeshunt_placement::Source,
    /// Whether messages are ignored until Sync, because an unsupported one was answered with an error.
    pub(super) skips_until_sync: bool,
    /// Whether the client has ended the connection, or the connection is broken.
    pub(super) disconnected: bool,
    /// Whether the client has sent a query.
    pub(super) has_sent_query: bool,
    /// When the session was accepted.
    pub(super) accepted_at: Micros,
    /// When the session was accepted, last received a message or last got an answer.
    pub(super) last_active: Micros,
    /// The time since which the connection, and what the client sent on it, may have waited in the listen
    /// backlog. Taken at the first read.
    pub(super) backlogged_since: Option<Micros>,
    /// Once the last message is written: the time until which the system may take to send it.
    pub(super) delivery_until: Option<Micros>,
    /// When the session's deadline expires, if one is set.
    pub(super) deadline: Option<Micros>,
    /// The user, database and application of the startup message.
    pub(super) origin: Origin,
    /// Whether the plain statement in progress may write.
    pub(super) may_write: bool,
    /// When the last plain statement that may have written was answered.
    pub(super) last_write: Option<Micros>,
}

impl Session {
    /// Whether the connection is another proxy's.
    pub(super) fn is_peer(&self) -> bool {
        self.source == gradeshunt_placement::Source::Proxy
    }

    /// Whether the session buffers a large request that is not in progress yet.
    fn adds_large_request(&self) -> bool {
        self.inbound.len() > INITIAL_RING_SIZE && !matches!(self.stage, Stage::Waiting(_))
    }

    /// Whether the session's last message is being written or already is.
    pub(super) fn is_closing(&self) -> bool {
        matches!(self.stage, Stage::Closing | Stage::Lingering)
    }
}

/// What became of the reads of one share.
#[derive(Clone, Copy, Debug, Default)]
struct InputRead {
    /// Whether the socket had nothing more to read.
    drained: bool,
    /// Whether the ring was full before the last read.
    was_full: bool,
    /// Whether no further message is begun, because the proxy drains.
    withheld: bool,
}

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

    /// Reads from a session whose socket is ready, and processes what was read.
    pub fn ready(&mut self, turn: &mut Turn, exchange: &mut Exchange, id: SessionId) {
        let Some(input) = self.read_input(turn, id) else { return };
        // The end of the connection may stand behind what is still unread.
        if let Some(s) = self.sessions.get_mut(&id).filter(|_| !input.drained) {
            s.disconnected |= s.polled.has_hung_up();
        }
        self.process_messages(turn, exchange, id);
        // While the ring was full the socket was not read until it would block, and the edge-triggered poll
        // reports readiness only once.
        if input.was_full && self.sessions.get(&id).is_some_and(|s| !s.inbound.is_full()) {
            turn.defer(EventSource::Session(id));
        }
        // A message that was read in part has become the first one, and its rest may be read now.
        if input.withheld && self.sessions.get_mut(&id).is_some_and(|s| s.missing_bytes() > 0) {
            turn.defer(EventSource::Session(id));
        }
    }

    /// Reads what a session's share of a turn allows. Returns `None` if the session is closed or turned away.
    fn read_input(&mut self, turn: &mut Turn, id: SessionId) -> Option<InputRead> {
        let waited = self.sessions.get_mut(&id)?.backlogged_since.take();
        let arrived = waited.unwrap_or(turn.now - turn.unread_for);
        let mut input = InputRead::default();
        for _ in 0..READS_PER_TURN {
            let limit = self.read_limit(turn.now, id);
            let s = self.sessions.get_mut(&id)?;
            if s.is_closing() && s.leaves_unread {
                return Some(input);
            }
            let Some(limit) = limit else {
                s.inbound.record_unread(&s.polled.socket, arrived);
                input.withheld = true;
                return Some(input);
            };
            input.was_full = s.inbound.is_full();
            match s.inbound.read_at_most(&s.polled.socket, limit, arrived) {
                Ok(Transfer::Bytes(_)) if s.is_closing() => s.inbound.clear(),
                Ok(Transfer::Bytes(_))
                    if s.adds_large_request() && memory::total_buffered() > self.max_buffered =>
                {
                    self.turn_away_for_memory(turn, id);
                    return None;
                }
                Ok(Transfer::Bytes(_)) => {}
                Ok(Transfer::Blocked) if s.inbound.is_full() => {
                    s.inbound.record_unread(&s.polled.socket, arrived);
                    return Some(input);
                }
                Ok(Transfer::Blocked) => {
                    input.drained = true;
                    return Some(input);
                }
                Ok(Transfer::End) | Err(_) => {
                    s.disconnected = true;
                    return Some(input);
                }
            }
        }
        let s = self.sessions.get_mut(&id)?;
        s.inbound.record_unread(&s.polled.socket, arrived);
        turn.defer(EventSource::Session(id));
        Some(input)
    }

    /// Closes a client that is sending a large request: refusing it is better than having the process killed
    /// for its memory use.
    fn turn_away_for_memory(&mut self, turn: &mut Turn, id: SessionId) {
        if let Some(suppressed) = turn.log_limit.admit(ClientLine::TooMuchBuffered, turn.now) {
            warn!(turn.log, "too much in buffers, turning a client away"; "suppressed" => suppressed,
                "bytes" => memory::total_buffered());
        }
        let error = Writer::default().error("FATAL", sqlstate::TOO_MANY_CONNECTIONS, "out of memory", None);
        self.close_with(turn, id, error, CloseReason::OutOfMemory);
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
