//! Sends clients away: in standby, and after SIGTERM.
//!
//! While the proxy drains, a client's connection passes through three steps:
//!
//! 1. It is read as before, and closed once nothing is in progress, read in part, unread or unwritten.
//! 2. From a time on that [`DrainingClient::reading_ends_at`] gives, no further message of it is begun, because
//!    a client that always has a further request under way is never found in such a moment. The rest of a
//!    message that has been read in part is read, and whatever was read is answered. What follows stays in the
//!    socket: the client may safely send a request that was never read again elsewhere.
//! 3. Once everything that was read is answered, it is closed.
//!
//! The step follows from the times of the drain alone. A connection that is not closed yet is read as before
//! when the proxy leaves standby.

use leadmast::permission::{may_close, ClientState, DrainingClient};
use leadmast::Micros;
use slog::debug;

use super::close_reason::CloseReason;
use super::peers::stopping_error;
use super::session::{Session, Stage};
use super::Frontend;
use crate::ids::SessionId;
use crate::pg::{self, Writer};
use crate::turn::{EventSource, Turn};

/// Why the proxy sends its clients away, and since when.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Drain {
    /// When an operator put the proxy into standby: requests are still served, and clients are closed between
    /// requests. SIGTERM does not end it.
    standby_since: Option<Micros>,
    /// Whether the proxy closes its clients after SIGTERM, which it never stops doing.
    pub(super) is_closing: bool,
    /// After SIGTERM: the time by which every accepted request is answered.
    latest_deadline: Option<Micros>,
    /// After SIGTERM: the time from which no further message is begun.
    last_read: Option<Micros>,
}

impl Drain {
    /// Whether clients are being closed between requests.
    pub(super) fn is_active(&self) -> bool {
        self.is_closing || self.is_in_standby()
    }

    /// Whether an operator has put the proxy into standby.
    pub(super) fn is_in_standby(&self) -> bool {
        self.standby_since.is_some()
    }

    /// The drain's times for one connection.
    pub(super) fn of(&self, session: &Session) -> DrainingClient {
        DrainingClient {
            accepted_at: session.accepted_at,
            has_sent_request: session.has_sent_query,
            standby_since: self.standby_since,
            latest_deadline: self.latest_deadline,
            last_read: self.last_read,
        }
    }

    /// Whether no further message of a connection is begun at `now`.
    pub(super) fn has_ended_reading(&self, session: &Session, now: Micros) -> bool {
        self.of(session).reading_ends_at().is_some_and(|end| end <= now)
    }
}

impl Session {
    /// Returns how many bytes complete a message that has been read in part, as far as its header tells, or 0
    /// if the first message in the buffer is complete or none has begun.
    pub(super) fn missing_bytes(&mut self) -> usize {
        match self.stage {
            Stage::Startup => pg::missing_from_startup(self.inbound.bytes()),
            Stage::Ready | Stage::Waiting(_) => {
                pg::missing_from_message(self.inbound.bytes(), pg::FRONTEND_MESSAGE_TYPES)
            }
            Stage::Closing | Stage::Lingering => 0,
        }
    }
}

impl Frontend {
    /// Enters or leaves standby; in standby, clients are closed between requests. Entering it again does not
    /// begin it anew. A process that closes after SIGTERM does not leave it.
    pub fn set_standby(&mut self, turn: &mut Turn, standby: bool) {
        if standby {
            self.drain.standby_since.get_or_insert(turn.now);
        } else if !self.drain.is_closing {
            self.drain.standby_since = None;
        }
        self.defer_all_sessions(turn);
    }

    /// Bounds the deadline of every request by `at`. After SIGTERM the platform kills the process when its
    /// grace period ends, so no request may be held longer.
    pub fn set_drain_deadline(&mut self, at: Micros) {
        self.drain.latest_deadline = Some(at);
    }

    /// Ends the reading of clients after SIGTERM: no message is begun from `at` on, so that the process leaves
    /// with everything answered that it has read.
    pub fn set_last_read(&mut self, at: Micros) {
        self.drain.last_read = Some(at);
    }

    /// Starts to close clients between requests after SIGTERM.
    pub(super) fn start_closing(&mut self, turn: &mut Turn) {
        self.drain.is_closing = true;
        self.defer_all_sessions(turn);
    }

    /// Gives every client a share of a turn, in which it is closed or read as the drain asks for.
    fn defer_all_sessions(&mut self, turn: &mut Turn) {
        self.sessions.keys().for_each(|id| turn.defer(EventSource::Session(*id)));
    }

    /// Closes the clients that a draining proxy may close now.
    pub(super) fn close_drained_clients(&mut self, turn: &mut Turn) {
        let ids: Vec<_> = self.sessions.keys().copied().collect();
        ids.into_iter().for_each(|id| self.close_if_draining(turn, id));
    }

    /// While the proxy drains, closes a client whose requests are answered: one that has nothing unread, or
    /// that is not read any more. A client that has sent no request yet is given time, because its request is
    /// usually in transit.
    pub(super) fn close_if_draining(&mut self, turn: &mut Turn, id: SessionId) {
        let Some(s) = self.sessions.get(&id) else { return };
        if !self.drain.is_active() || s.is_closing() {
            return;
        }
        // No time for other proxies: they resend a request that crosses the close to another proxy.
        let may_ask_yet = !s.is_peer() && self.drain.of(s).awaits_first_request(turn.now);
        let reading_ended = self.drain.has_ended_reading(s, turn.now);
        let facts = ClientState { reading_ended, ..s.close_facts(may_ask_yet) };
        if let Err(denial) = may_close(&facts) {
            debug!(turn.log, "client kept while draining"; "session" => id.0, "why" => denial.name(),
                "bytes_read" => s.inbound.len(), "reading_ended" => reading_ended);
            return;
        }
        let last = if s.is_peer() { stopping_error() } else { Writer::default() };
        self.close_with(turn, id, last, CloseReason::Draining);
    }

    /// Returns how many bytes of a client may be read now, or `None` if all that follows stays unread.
    pub(super) fn read_limit(&mut self, now: Micros, id: SessionId) -> Option<usize> {
        let s = self.sessions.get_mut(&id)?;
        if s.is_closing() || !self.drain.has_ended_reading(s, now) {
            return Some(usize::MAX);
        }
        Some(s.missing_bytes()).filter(|missing| *missing > 0)
    }
}

#[cfg(test)]
mod tests;
