//! Processes the messages that clients send, one at a time.

use std::hash::BuildHasher;
use std::rc::Rc;

use leadmast::Micros;
use slog::{debug, info};

use super::close_reason::CloseReason;
use super::session::{Stage, CLOSE_STALL_TIMEOUT, MESSAGE_TIMEOUT};
use super::statements::QueryOutcome;
use super::{Frontend, RequestOwner, MAX_UNREAD_BYTES};
use crate::exchange::Exchange;
use crate::ids::SessionId;
use crate::log_limit::ClientLine;
use crate::pg::{self, sqlstate, Malformed, Startup, Writer};
use crate::routing::Origin;
use crate::turn::{EventSource, Turn};

/// The process ID (of BackendKeyData) that identifies a session in a cancel request.
fn process_id(id: SessionId) -> u32 {
    id.0 as u32
}

/// Maximum number of messages of one connection that are processed in one turn.
const MESSAGES_PER_TURN: usize = 32;

impl Frontend {
    /// Processes buffered messages until a request is in progress or too many answers are unread, then
    /// writes.
    pub(super) fn process_messages(&mut self, turn: &mut Turn, exchange: &mut Exchange, id: SessionId) {
        for n in 0..=MESSAGES_PER_TURN {
            let Some(s) = self.sessions.get_mut(&id) else { return };
            if s.disconnected {
                return self.abandon_session(turn, exchange, id);
            }
            if s.outbound.len() > MAX_UNREAD_BYTES {
                break;
            }
            if n == MESSAGES_PER_TURN {
                turn.defer(EventSource::Session(id));
                break;
            }
            let processed = match s.stage {
                Stage::Startup => self.process_startup(turn, exchange, id),
                Stage::Ready => self.process_message(turn, exchange, id),
                Stage::Waiting(_) | Stage::Closing | Stage::Lingering => break,
            };
            match processed {
                Ok(true) => {}
                Ok(false) => break,
                Err(Malformed(what)) => {
                    if let Some(suppressed) = turn.log_limit.admit(ClientLine::ProtocolViolation, turn.now) {
                        info!(turn.log, "client broke the protocol"; "suppressed" => suppressed,
                            "session" => id.0, "what" => what);
                    }
                    let error = Writer::default().error("FATAL", sqlstate::PROTOCOL_VIOLATION, what, None);
                    self.close_with(turn, id, error, CloseReason::ProtocolViolation);
                }
            }
        }
        let moved = self.flush(turn, id);
        self.report_unread_bytes(exchange, id, 0);
        self.set_message_deadline(turn, id, moved);
        self.close_if_draining(turn, id);
    }

    /// Sets the deadline for the rest of an incomplete message. Each message has one deadline, which further
    /// bytes do not extend. `moved` says that the client has just received something.
    fn set_message_deadline(&mut self, turn: &mut Turn, id: SessionId, moved: bool) {
        let Some(s) = self.sessions.get(&id) else { return };
        let is_stalled = s.outbound.len() > MAX_UNREAD_BYTES;
        let due = match s.stage {
            Stage::Startup | Stage::Closing | Stage::Lingering => return,
            Stage::Ready if is_stalled && self.drain.has_ended_reading(s, turn.now) => {
                s.deadline.filter(|_| !moved).or(Some(turn.now + CLOSE_STALL_TIMEOUT))
            }
            Stage::Ready if is_stalled => None,
            // The time counts from the message's first byte, however long the message waited behind a request
            // in progress.
            Stage::Ready => {
                let due = s.inbound.first_arrival().map(|arrived| arrived + MESSAGE_TIMEOUT);
                due.map(|due| due.min(self.drain.of(s).message_due_at().unwrap_or(Micros::MAX)))
            }
            Stage::Waiting(_) => None,
        };
        self.set_deadline(turn, id, due);
    }

    /// Processes the startup packet, if it is complete. Returns whether to continue with the next message.
    fn process_startup(
        &mut self,
        turn: &mut Turn,
        exchange: &mut Exchange,
        id: SessionId,
    ) -> Result<bool, Malformed> {
        let Some(s) = self.sessions.get_mut(&id) else { return Ok(false) };
        let Some((startup, size)) = pg::parse_startup(s.inbound.bytes())? else { return Ok(false) };
        s.inbound.consume(size);
        let w = Writer::default();
        match startup {
            // Neither TLS nor GSSAPI is supported; the client may continue in plain text.
            Startup::Encryption => Ok(s.outbound.push(b"N")),
            // The protocol has no answer to a cancel request, whether it succeeds or not.
            Startup::Cancel { process, secret } => {
                self.cancel(turn, exchange, process, secret);
                self.close_with(turn, id, w, CloseReason::CancelRequest);
                Ok(false)
            }
            Startup::Unsupported => {
                let error =
                    w.error("FATAL", sqlstate::FEATURE_NOT_SUPPORTED, "unsupported frontend protocol", None);
                self.close_with(turn, id, error, CloseReason::UnsupportedProtocol);
                Ok(false)
            }
            Startup::Session { minor, options, parameters } => {
                let named = |name: &str| {
                    parameters.iter().find(|p| p.0 == name).map(|p| p.1.clone()).unwrap_or_default()
                };
                let (user, database) = (named("user"), named("database"));
                // As in PostgreSQL, the database defaults to the user name.
                let database = if database.is_empty() { user.clone() } else { database };
                s.origin = Origin { user, database, application_name: named("application_name") };
                if s.is_peer() && !self.admit_peer(turn, id) {
                    return Ok(false);
                }
                let Some(s) = self.sessions.get_mut(&id) else { return Ok(false) };
                let w = if minor > 0 || !options.is_empty() { w.negotiate_version(&options) } else { w };
                s.stage = Stage::Ready;
                let fits = s
                    .outbound
                    .push(&w.startup_reply(process_id(id), self.secret_hasher.hash_one(id) as u32).0);
                self.set_deadline(turn, id, None);
                Ok(fits)
            }
        }
    }

    /// Cancels the request in progress of the session that was given this process ID and secret key, if there
    /// is one.
    fn cancel(&mut self, turn: &mut Turn, exchange: &mut Exchange, process: u32, secret: u32) {
        let has_key =
            |id: &SessionId| process_id(*id) == process && self.secret_hasher.hash_one(*id) as u32 == secret;
        let session = self.sessions.iter().find(|(id, _)| has_key(id)).map(|(_, s)| &s.stage);
        if let Some(Stage::Waiting(request)) = session {
            exchange.cancel(turn, *request);
        }
    }

    /// Processes the next message, if it is complete. Returns whether to continue with the one after it.
    fn process_message(
        &mut self,
        turn: &mut Turn,
        exchange: &mut Exchange,
        id: SessionId,
    ) -> Result<bool, Malformed> {
        let Some(s) = self.sessions.get_mut(&id) else { return Ok(false) };
        let Some(message) = pg::parse_message(s.inbound.bytes(), pg::FRONTEND_MESSAGE_TYPES)? else {
            return Ok(false);
        };
        let (tag, size) = (message.tag, message.size);
        let text = if tag == b'Q' { pg::parse_string(message.body)?.to_vec() } else { Vec::new() };
        let arrived = s.inbound.consume(size).unwrap_or(turn.now);
        s.last_active = turn.now;
        s.has_sent_query |= tag == b'Q';
        let skipping = s.skips_until_sync;
        let w = Writer::default();
        let reply = match tag {
            // Terminate while the last answer is not completely written: the session closes once it is.
            b'X' if !s.outbound.is_empty() => {
                self.close_with(turn, id, w, CloseReason::Terminate);
                return Ok(false);
            }
            b'X' => {
                s.disconnected = true;
                return Ok(true);
            }
            b'S' => {
                s.skips_until_sync = false;
                w.ready()
            }
            _ if skipping => return Ok(true),
            b'Q' => match self.process_query(turn, id, text, arrived) {
                Ok(QueryOutcome::Reply(w)) => w,
                Ok(QueryOutcome::Request(call, name)) => {
                    let request = exchange.submit(turn, *call);
                    debug!(turn.log, "request taken"; "session" => id.0, "id" => &*name, "request" => request.0);
                    self.ids.begin(Rc::clone(&name));
                    self.owners.insert(request, RequestOwner { session: id, id: name });
                    if let Some(s) = self.sessions.get_mut(&id) {
                        s.stage = Stage::Waiting(request);
                    }
                    return Ok(true);
                }
                Err(what) => w.error("ERROR", sqlstate::INVALID_PARAMETER, &what, None).ready(),
            },
            b'P' | b'B' | b'D' | b'E' | b'C' | b'H' => {
                s.skips_until_sync = tag != b'H';
                w.error("ERROR", sqlstate::FEATURE_NOT_SUPPORTED, "only simple queries are supported", None)
            }
            b'F' => w
                .error("ERROR", sqlstate::FEATURE_NOT_SUPPORTED, "function calls are not supported", None)
                .ready(),
            // Copy messages outside a copy are ignored, as PostgreSQL does.
            b'd' | b'c' | b'f' => return Ok(true),
            _ => return Err(Malformed("invalid frontend message type")),
        };
        let Some(s) = self.sessions.get_mut(&id) else { return Ok(false) };
        Ok(s.outbound.push(&reply.0))
    }
}
