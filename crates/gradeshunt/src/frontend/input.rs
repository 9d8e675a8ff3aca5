//! Reads what clients send, each in shares of a turn.

use slog::warn;

use super::close_reason::CloseReason;
use super::Frontend;
use crate::exchange::Exchange;
use crate::ids::SessionId;
use crate::log_limit::ClientLine;
use crate::memory;
use crate::pg::{sqlstate, Writer};
use crate::ring::Transfer;
use crate::turn::{EventSource, Turn};

/// Maximum number of reads of one connection in one turn.
const READS_PER_TURN: usize = 8;

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
}
