//! Reads what db hosts send: handles complete messages, and passes on long answers in parts.

use std::io;

use leadmast::{Ending, Micros};

use super::connection::{HostConnection, Stage};
use super::discard::Discarded;
use super::jobs::Job;
use super::reply::ReplyProgress;
use super::sync_marker::{handle_marker_message, MarkerStep};
use super::Backend;
use crate::deadlines::DeadlineKind;
use crate::exchange::{AnswerCheck, AnswerForm, ConnectionEnd, Exchange};
use crate::ids::ServerId;
use crate::pg::{self, Malformed};
use crate::ring::Transfer;
use crate::turn::{EventSource, Turn};

/// Time for ReadyForQuery after a complete answer, before the client is answered without it. The db host may
/// send ParameterStatus messages in between.
pub(super) const READY_GRACE: Micros = 3_000;
/// Time for ReadyForQuery after which the connection is closed.
const READY_TIMEOUT: Micros = 500_000;
/// Bytes of a long answer that are read at a time.
const READ_SIZE: usize = 32 * 1024;
/// Reads from one connection per turn.
const MAX_READS_PER_TURN: usize = 8;

impl HostConnection {
    /// Called when no complete message is left. Limits the wait for ReadyForQuery after a complete answer, so
    /// that the client does not wait for what is not part of its answer. An answer that may be a duplicate
    /// does not count.
    fn await_ready(&mut self, turn: &mut Turn, id: ServerId) {
        let is_doubtful = self.marker.is_some() || self.may_hold_duplicate();
        if let Stage::Busy { reply, ready_by: ready_by @ None, .. } = &mut self.stage {
            if reply.ending().is_some() && !is_doubtful {
                *ready_by = Some(turn.now + READY_GRACE);
                turn.deadlines.set(turn.now + READY_GRACE, DeadlineKind::Server(id));
            }
        }
    }
}

impl Backend {
    /// Writes to a connection and reads from it, as far as its share of a turn allows.
    pub fn handle_socket_ready(&mut self, turn: &mut Turn, exchange: &mut Exchange, id: ServerId) {
        if let Err(why) = self.flush(turn, exchange, id) {
            return self.write_failed(turn, exchange, id, why);
        }
        // What has arrived of a long answer may be passed on now, if its client has read what came before.
        if self.connections.get(&id).is_some_and(HostConnection::is_streaming) {
            if let Err(Malformed(what)) = self.handle_messages(turn, exchange, id) {
                return self.answer_malformed(turn, exchange, id, what);
            }
        }
        for _ in 0..MAX_READS_PER_TURN {
            if !self.read_once(turn, exchange, id) {
                return;
            }
        }
        turn.defer(EventSource::Server(id));
    }

    /// Reads once from a connection and handles what has arrived. Returns whether more may be read now.
    fn read_once(&mut self, turn: &mut Turn, exchange: &mut Exchange, id: ServerId) -> bool {
        let Some(s) = self.connections.get_mut(&id) else { return false };
        if s.is_streaming() {
            // What the frontend cannot take yet is left in the db host's connection; `BackendCommand::Resume`
            // follows.
            if s.inbound.len() >= READ_SIZE {
                return false;
            }
            s.inbound.reserve(READ_SIZE);
        }
        let end = match s.inbound.read_from(&s.polled.socket) {
            Ok(Transfer::Blocked) => return false,
            Ok(Transfer::Bytes(_)) => None,
            Ok(Transfer::End) => Some("closed by the db host".to_owned()),
            Err(e) if e.kind() == io::ErrorKind::NotConnected => return false,
            Err(e) => Some(e.to_string()),
        };
        if let Err(Malformed(what)) = self.handle_messages(turn, exchange, id) {
            self.answer_malformed(turn, exchange, id, what);
            return false;
        }
        let Some(why) = end else { return true };
        // Reading meets the end again once the frontend has taken the data before it.
        let has_rest = |s: &HostConnection| s.is_streaming() && !s.inbound.is_empty();
        if !self.connections.get(&id).is_some_and(has_rest) {
            self.connection_failed(turn, exchange, id, &why);
        }
        false
    }

    /// Handles the complete messages that have arrived.
    pub(super) fn handle_messages(
        &mut self,
        turn: &mut Turn,
        exchange: &mut Exchange,
        id: ServerId,
    ) -> Result<(), Malformed> {
        loop {
            if self.pass_on_part(turn, exchange, id) {
                continue;
            }
            let Some(s) = self.connections.get_mut(&id) else { return Ok(()) };
            if matches!(s.stage, Stage::AwaitsClose { .. }) {
                // What arrives for an abandoned attempt is dropped.
                s.inbound.consume(s.inbound.len());
                return Ok(());
            }
            if let Some(marker) = &mut s.marker {
                if marker.discard(&mut s.inbound)? == Discarded::NeedsMore {
                    return Ok(());
                }
            }
            if let Stage::Busy { job: Job::Attempt { .. }, reply, .. } = &mut s.stage {
                if reply.is_full() {
                    return Ok(());
                }
                match reply.progress {
                    _ if reply.form == AnswerForm::Result => {}
                    ReplyProgress::Described => {
                        if let Some(size) = pg::long_row_size(s.inbound.bytes())? {
                            reply.progress = ReplyProgress::Streaming(size);
                            continue;
                        }
                    }
                    ReplyProgress::Streaming(_) => return Ok(()),
                    ReplyProgress::Nothing | ReplyProgress::Row | ReplyProgress::Complete => {}
                }
            }
            let Some(message) = pg::parse_message(s.inbound.bytes(), pg::BACKEND_MESSAGE_TYPES)? else {
                // An incomplete message would be taken for the beginning of the next request's answer.
                if matches!(s.stage, Stage::Idle { .. }) && !s.inbound.is_empty() {
                    return Err(Malformed("incomplete message between requests"));
                }
                s.await_ready(turn, id);
                return Ok(());
            };
            let (tag, size) = (message.tag, message.size);
            let step = handle_marker_message(&mut s.marker, &mut s.stage, &message)?;
            if step != MarkerStep::NotForMarker {
                s.inbound.consume(size);
                match step {
                    MarkerStep::AnswerChecked(found) => {
                        exchange.record_answer_check(turn, s.member, found);
                        self.connection_ready(turn, exchange, id);
                    }
                    MarkerStep::DuplicateDiscarded => {
                        exchange.record_answer_check(turn, s.member, AnswerCheck::Duplicate)
                    }
                    MarkerStep::Handled | MarkerStep::NotForMarker => {}
                }
                continue;
            }
            let is_ready = match &mut s.stage {
                Stage::Starting { .. } => match tag {
                    b'R' if message.body != [0; 4] => {
                        return Err(Malformed("the db host requires password authentication"))
                    }
                    b'E' => {
                        let code = pg::parse_error_code(message.body)?.to_owned();
                        self.startup_refused(turn, exchange, id, &code);
                        return Ok(());
                    }
                    b'R' | b'S' | b'K' | b'N' | b'v' => false,
                    b'Z' => true,
                    _ => return Err(Malformed("unexpected message during startup")),
                },
                Stage::AwaitsReady { .. } if tag == b'Z' => true,
                Stage::Idle { .. }
                | Stage::Resetting
                | Stage::AwaitsClose { .. }
                | Stage::AwaitsReady { .. } => match tag {
                    b'S' | b'N' => false,
                    _ => return Err(Malformed("unexpected message between requests")),
                },
                Stage::Busy { reply, .. } => reply.handle_message(&message)?,
            };
            s.inbound.consume(size);
            if is_ready && s.must_hold_answer() {
                self.hold_for_marker(turn, exchange, id);
            } else if is_ready {
                self.connection_ready(turn, exchange, id);
            }
        }
    }

    /// Passes on what has arrived of a long answer, as far as the frontend can take it. Returns whether some
    /// was passed on.
    fn pass_on_part(&mut self, turn: &mut Turn, exchange: &mut Exchange, id: ServerId) -> bool {
        let Some(s) = self.connections.get_mut(&id) else { return false };
        let host = self.hosts.get_mut(&s.member);
        let Stage::Busy { job: Job::Attempt { id: attempt, .. }, reply, .. } = &mut s.stage else {
            return false;
        };
        if reply.form == AnswerForm::Result {
            // A result that may still fail as a whole is not passed on in parts.
            if reply.error.is_some() || (reply.last_passed_on.is_none() && !reply.is_full()) {
                return false;
            }
            let n = reply.bytes.len().min(exchange.answer_room(*attempt));
            if n == 0 {
                return false;
            }
            let rest = reply.bytes.split_off(n);
            let part = std::mem::replace(&mut reply.bytes, rest);
            reply.held.set(reply.bytes.len());
            reply.last_passed_on = Some(turn.now);
            let note = host.and_then(|host| host.note(turn, reply));
            exchange.pass_on_part(turn, *attempt, part, note);
            return true;
        }
        let ReplyProgress::Streaming(left) = reply.progress else { return false };
        if s.inbound.is_empty() {
            return false;
        }
        let n = left.min(s.inbound.len()).min(exchange.answer_room(*attempt));
        if n == 0 {
            return false;
        }
        // Sends the messages before the row first.
        let mut bytes = std::mem::take(&mut reply.bytes);
        reply.held.set(0);
        bytes.extend(&s.inbound.bytes()[..n]);
        s.inbound.consume(n);
        reply.last_passed_on = Some(turn.now);
        reply.progress = if n == left { ReplyProgress::Row } else { ReplyProgress::Streaming(left - n) };
        let note = host.and_then(|host| host.note(turn, reply));
        exchange.pass_on_part(turn, *attempt, bytes, note);
        true
    }

    /// An answer is complete but ReadyForQuery is late: answers the client without it. After a value the
    /// connection waits for ReadyForQuery, unless the answer came before the whole request was sent. After an
    /// error the connection is closed, since another attempt may follow, and to the db host this one is out
    /// for as long as the connection is open.
    pub(super) fn end_without_ready(&mut self, turn: &mut Turn, exchange: &mut Exchange, id: ServerId) {
        let Some((member, mut job, reply)) = self.take_job(id) else { return };
        // A duplicate is not this attempt's reply, and does not make the db host unhealthy.
        let ending = reply.ending().unwrap_or(Ending::Error);
        match self.connections.get_mut(&id) {
            Some(s) if ending == Ending::Ok && !s.has_more_to_send() => {
                job.set_connection_end(ConnectionEnd::AwaitsReady);
                let by = turn.now + READY_TIMEOUT;
                s.stage = Stage::AwaitsReady { by };
                turn.deadlines.set(by, DeadlineKind::Server(id));
            }
            _ => self.close(turn, id),
        }
        self.end_job(turn, exchange, member, job, ending, reply);
    }
}
