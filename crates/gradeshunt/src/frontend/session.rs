//! One client's connection: its state, its deadline, how bytes are read and written, and how it closes.

use std::net::Shutdown;

use leadmast::{Micros, RequestId};
use slog::warn;

use super::closing::CloseReason;
use super::Frontend;
use crate::deadlines::Due;
use crate::exchange::Exchange;
use crate::ids::SessionId;
use crate::inbound::Inbound;
use crate::memory;
use crate::pg::{sqlstate, Writer};
use crate::ring::{Moved, Ring, SMALL};
use crate::routing::Origin;
use crate::turn::{Polled, Source, Turn};

/// Reads of one connection in one turn.
const READS_PER_TURN: usize = 8;

/// How long a client may take over one message, its startup message too.
pub(super) const MESSAGE_TIMEOUT: Micros = 2_500_000;

/// How long a closing connection is read on, so that what was written last is not lost to a reset: from its last byte.
pub(super) const LINGER: Micros = 1_000_000;

/// How long no byte of what was written last may move, where a client is slow to read it.
pub(super) const CLOSE_STALL_TIMEOUT: Micros = 5_000_000;

pub(super) enum Stage {
    /// Awaiting the startup message.
    Startup,
    /// Between requests.
    Ready,
    /// A request is out.
    Waiting(RequestId),
    /// The last message is being written.
    Closing,
    /// It is written, and sending shut down, once: each time wakes the poll. The client is to close too.
    Lingering,
}

pub(super) struct Session {
    pub(super) polled: Polled,
    pub(super) inbound: Inbound,
    pub(super) outbound: Ring,
    pub(super) stage: Stage,
    /// What still comes behind the last message stays unread: it may be a request, which is sent again only where it was not read.
    pub(super) leaves_unread: bool,
    /// Whether it is a client's or another proxy's. It follows from the address at which it came in.
    pub(super) source: gradeshunt_placement::Source,
    /// An unsupported message was answered with an error: all is passed over until Sync.
    pub(super) skipping: bool,
    pub(super) ended: bool,
    /// It has sent a query.
    pub(super) asked: bool,
    /// When it was last of use.
    pub(super) since: Micros,
    /// Since when it may have stood in the backlog with what it sent, until that is read.
    pub(super) waited_since: Option<Micros>,
    pub(super) due: Option<Micros>,
    /// Who it is.
    pub(super) origin: Origin,
    /// Whether what is out may write, and when the last one that might was answered.
    pub(super) writing: bool,
    pub(super) wrote: Option<Micros>,
}

impl Session {
    /// Whether it is another proxy's.
    pub(super) fn is_peer(&self) -> bool {
        self.source == gradeshunt_placement::Source::Proxy
    }

    /// Whether its last message is written, or is being written.
    pub(super) fn is_ending(&self) -> bool {
        matches!(self.stage, Stage::Closing | Stage::Lingering)
    }
}

impl Frontend {
    /// A deadline of a session: it took too long over a message, or to close.
    pub fn session_due(&mut self, turn: &mut Turn, id: SessionId) {
        let Some(s) = self.sessions.get(&id).filter(|s| s.due.is_some_and(|due| due <= turn.now)) else {
            return;
        };
        if s.is_ending() {
            return self.close(turn, id);
        }
        let (code, what) = (sqlstate::PROTOCOL_VIOLATION, "no whole message in time");
        self.close_with(turn, id, Writer::default().error("FATAL", code, what, None), CloseReason::Slow);
    }

    pub fn ready(&mut self, turn: &mut Turn, exchange: &mut Exchange, id: SessionId) {
        let mut full = false;
        let waited = self.sessions.get_mut(&id).and_then(|s| s.waited_since.take());
        let arrived = waited.unwrap_or(turn.now - turn.unread);
        for n in 0..=READS_PER_TURN {
            let Some(s) = self.sessions.get_mut(&id) else { return };
            if s.is_ending() && s.leaves_unread {
                s.ended |= s.polled.has_hung_up();
                break;
            }
            if n == READS_PER_TURN {
                s.inbound.note_unread(&s.polled.socket, arrived);
                turn.again.push(Source::Session(id));
                break;
            }
            full = s.inbound.is_full();
            match s.inbound.fill(&s.polled.socket, arrived) {
                Ok(Moved::Some(_)) if s.is_ending() => s.inbound.clear(),
                Ok(Moved::Some(_)) => {
                    // Better one long request turned away than the process killed for memory.
                    let waiting = matches!(s.stage, Stage::Waiting(_));
                    if s.inbound.len() > SMALL && !waiting && memory::total_buffered() > self.most_memory {
                        warn!(turn.log, "too much in buffers, turning a client away"; "bytes" => memory::total_buffered());
                        let w = Writer::default();
                        let error = w.error("FATAL", sqlstate::TOO_MANY_CONNECTIONS, "out of memory", None);
                        return self.close_with(turn, id, error, CloseReason::Memory);
                    }
                }
                // What has come fills the ring, and hides whether the client is still there.
                Ok(Moved::Nothing) if s.inbound.is_full() && s.polled.has_hung_up() => {
                    s.ended = true;
                    break;
                }
                Ok(Moved::Nothing) if s.inbound.is_full() => {
                    s.inbound.note_unread(&s.polled.socket, arrived);
                    break;
                }
                Ok(Moved::Nothing) => break,
                Ok(Moved::End) | Err(_) => {
                    s.ended = true;
                    break;
                }
            }
        }
        self.work(turn, exchange, id);
        // A full ring hid what else is readable, and the poll tells of that only once.
        if full && self.sessions.get(&id).is_some_and(|s| !s.inbound.is_full()) {
            turn.again.push(Source::Session(id));
        }
    }

    pub(super) fn flush(&mut self, turn: &mut Turn, id: SessionId) {
        let Some(s) = self.sessions.get_mut(&id) else { return };
        let mut moved = false;
        loop {
            match s.outbound.drain(&s.polled.socket) {
                Ok(Moved::Some(_)) => moved = true,
                Ok(_) => break,
                Err(_) => {
                    // Read readiness tells of the close, too; this is only the first to notice.
                    s.ended = true;
                    return turn.again.push(Source::Session(id));
                }
            }
        }
        match s.stage {
            // The client may still be sending: closing at once would reset what it has yet to read.
            Stage::Closing if s.outbound.is_empty() => {
                s.stage = Stage::Lingering;
                let _ = s.polled.socket.shutdown(Shutdown::Write);
                self.set_due(turn, id, Some(turn.now + LINGER));
            }
            // As long as a slow client reads, it gets the rest.
            Stage::Closing if moved => self.set_due(turn, id, Some(turn.now + CLOSE_STALL_TIMEOUT)),
            _ => {}
        }
    }

    /// Writes the last message of a connection and closes it once the client has had it.
    pub(super) fn close_with(&mut self, turn: &mut Turn, id: SessionId, last: Writer, reason: CloseReason) {
        let Some(s) = self.sessions.get_mut(&id).filter(|s| !s.is_ending()) else { return };
        s.stage = Stage::Closing;
        s.leaves_unread = reason.leaves_unread();
        s.inbound.clear();
        let _ = s.outbound.push(&last.0);
        self.note_close(turn, id, reason);
        self.set_due(turn, id, Some(turn.now + CLOSE_STALL_TIMEOUT));
        self.flush(turn, id);
    }

    /// Closes a connection whose client has left, or can't be served on; its request is withdrawn.
    pub(super) fn abandon_session(&mut self, turn: &mut Turn, exchange: &mut Exchange, id: SessionId) {
        let waiting = self.sessions.get(&id).and_then(|s| match s.stage {
            Stage::Waiting(request) => Some(request),
            Stage::Startup | Stage::Ready | Stage::Closing | Stage::Lingering => None,
        });
        self.audit_abandoned(turn, exchange, id);
        if let Some(request) = waiting {
            self.release_request(request);
            exchange.gone(turn, request);
        }
        self.close(turn, id);
    }

    pub(super) fn set_due(&mut self, turn: &mut Turn, id: SessionId, due: Option<Micros>) {
        let Some(s) = self.sessions.get_mut(&id) else { return };
        if let Some(at) = s.due {
            turn.deadlines.clear(at, Due::Session(id));
        }
        s.due = due;
        if let Some(at) = due {
            turn.deadlines.set(at, Due::Session(id));
        }
    }

    pub(super) fn close(&mut self, turn: &mut Turn, id: SessionId) {
        self.set_due(turn, id, None);
        if let Some(s) = self.sessions.remove(&id) {
            s.polled.close(turn);
        }
    }
}
