//! What db hosts send: whole messages are worked off, long answers passed on in parts.

use std::io;

use leadmast::{Ending, Micros};

use super::connection::{Server, Stage};
use super::discard::Discarded;
use super::jobs::Job;
use super::reply::Shape;
use super::sync_marker::{take_marked, Marked};
use super::Backend;
use crate::deadlines::DeadlineKind;
use crate::exchange::{AnswerCheck, ConnectionEnd, Exchange, Form};
use crate::ids::ServerId;
use crate::pg::{self, Malformed};
use crate::ring::Transfer;
use crate::turn::{EventSource, Turn};

/// How long ReadyForQuery may take behind a whole answer. What a db host tells of itself may come in between.
pub(super) const READY_GRACE: Micros = 3_000;
/// How long ReadyForQuery may take until the connection is given up.
const READY_TIMEOUT: Micros = 500_000;
/// How much of a long answer is read at a time.
const READ_SIZE: usize = 32 * 1024;
/// Reads of one connection in one turn.
const READS_PER_TURN: usize = 8;

impl Server {
    /// Nothing more has come for now. Where an answer is whole, its ReadyForQuery is not awaited for long: the client must not wait for
    /// what is not its answer. What may be a copy is none.
    fn await_ready(&mut self, turn: &mut Turn, id: ServerId) {
        let is_doubtful = self.marker.is_some() || self.has_doubtful_answer();
        if let Stage::Busy { reply, ready_by: ready_by @ None, .. } = &mut self.stage {
            if reply.ending().is_some() && !is_doubtful {
                *ready_by = Some(turn.now + READY_GRACE);
                turn.deadlines.set(turn.now + READY_GRACE, DeadlineKind::Server(id));
            }
        }
    }
}

impl Backend {
    pub fn ready(&mut self, turn: &mut Turn, exchange: &mut Exchange, id: ServerId) {
        if let Err(why) = self.flush(turn, exchange, id) {
            return self.unwritten(turn, exchange, id, why);
        }
        for _ in 0..READS_PER_TURN {
            let Some(s) = self.servers.get_mut(&id) else { return };
            if s.is_passing() {
                // What the client side can't take yet stays with the db host; it says when it can.
                if s.inbound.len() >= READ_SIZE {
                    return;
                }
                s.inbound.reserve(READ_SIZE);
            }
            let moved = s.inbound.read_from(&s.polled.socket);
            let end = match moved {
                Ok(Transfer::Blocked) => return,
                Ok(Transfer::Bytes(_)) => None,
                Ok(Transfer::End) => Some("closed by the db host".to_owned()),
                Err(e) if e.kind() == io::ErrorKind::NotConnected => return,
                Err(e) => Some(e.to_string()),
            };
            if let Err(Malformed(what)) = self.read(turn, exchange, id) {
                return self.answer_malformed(turn, exchange, id, what);
            }
            if let Some(why) = end {
                // The end is met again once the client side has taken what came before it.
                if self.servers.get(&id).is_some_and(|s| s.is_passing() && !s.inbound.is_empty()) {
                    return;
                }
                return self.connection_failed(turn, exchange, id, &why);
            }
        }
        turn.unfinished.push(EventSource::Server(id));
    }

    /// Works off the whole messages that have come.
    pub(super) fn read(
        &mut self,
        turn: &mut Turn,
        exchange: &mut Exchange,
        id: ServerId,
    ) -> Result<(), Malformed> {
        loop {
            if self.forward_part(turn, exchange, id) {
                continue;
            }
            let Some(s) = self.servers.get_mut(&id) else { return Ok(()) };
            if matches!(s.stage, Stage::Ending { .. }) {
                // What comes for an attempt that was given up is nobody's.
                s.inbound.consume(s.inbound.len());
                return Ok(());
            }
            if let Some(marker) = &mut s.marker {
                if marker.discard(&mut s.inbound)? == Discarded::AllThatCame {
                    return Ok(());
                }
            }
            if let Stage::Busy { job: Job::Attempt { .. }, reply, .. } = &mut s.stage {
                if reply.is_full() {
                    return Ok(());
                }
                match reply.shape {
                    _ if reply.form == Form::Result => {}
                    Shape::Described => {
                        if let Some(size) = pg::long_row_size(s.inbound.bytes())? {
                            reply.shape = Shape::Passing(size);
                            continue;
                        }
                    }
                    Shape::Passing(_) => return Ok(()),
                    Shape::Nothing | Shape::Row | Shape::Complete => {}
                }
            }
            let Some(message) = pg::parse_message(s.inbound.bytes(), pg::BACKEND_MESSAGE_TYPES)? else {
                // Half a message would pass for the beginning of the next request's answer.
                if matches!(s.stage, Stage::Idle { .. }) && !s.inbound.is_empty() {
                    return Err(Malformed("half a message between requests"));
                }
                s.await_ready(turn, id);
                return Ok(());
            };
            let (tag, size) = (message.tag, message.size);
            let marked = take_marked(&mut s.marker, &mut s.stage, &message)?;
            if marked != Marked::Other {
                s.inbound.consume(size);
                match marked {
                    Marked::Ended(found) => {
                        exchange.note_answer_check(turn, s.member, found);
                        self.connection_ready(turn, exchange, id);
                    }
                    Marked::Discarded => exchange.note_answer_check(turn, s.member, AnswerCheck::Copy),
                    Marked::Taken | Marked::Other => {}
                }
                continue;
            }
            let up = match &mut s.stage {
                Stage::Starting { .. } => match tag {
                    b'R' if message.body != [0; 4] => return Err(Malformed("it asks for a password")),
                    b'E' => {
                        let code = pg::parse_error_code(message.body)?.to_owned();
                        self.startup_refused(turn, exchange, id, &code);
                        return Ok(());
                    }
                    b'R' | b'S' | b'K' | b'N' | b'v' => false,
                    b'Z' => true,
                    _ => return Err(Malformed("unexpected message during startup")),
                },
                Stage::Trailing { .. } if tag == b'Z' => true,
                Stage::Idle { .. } | Stage::Spent | Stage::Ending { .. } | Stage::Trailing { .. } => {
                    match tag {
                        b'S' | b'N' => false,
                        _ => return Err(Malformed("unexpected message between requests")),
                    }
                }
                Stage::Busy { reply, .. } => reply.take(&message)?,
            };
            s.inbound.consume(size);
            if up && s.must_hold_answer() {
                self.hold_for_marker(turn, exchange, id);
            } else if up {
                self.connection_ready(turn, exchange, id);
            }
        }
    }

    /// Passes on what has come of a long answer, as far as the client side can take it; true where some was.
    fn forward_part(&mut self, turn: &mut Turn, exchange: &mut Exchange, id: ServerId) -> bool {
        let Some(s) = self.servers.get_mut(&id) else { return false };
        let host = self.hosts.get_mut(&s.member);
        let Stage::Busy { job: Job::Attempt { id: attempt, .. }, reply, .. } = &mut s.stage else {
            return false;
        };
        if reply.form == Form::Result {
            // One that may still fail as a whole is not begun.
            if reply.error.is_some() || (reply.passed.is_none() && !reply.is_full()) {
                return false;
            }
            let n = reply.bytes.len().min(exchange.room(*attempt));
            if n == 0 {
                return false;
            }
            let rest = reply.bytes.split_off(n);
            let part = std::mem::replace(&mut reply.bytes, rest);
            reply.held.set(reply.bytes.len());
            reply.passed = Some(turn.now);
            let note = host.and_then(|host| host.note(turn, reply));
            exchange.part(turn, *attempt, part, note);
            return true;
        }
        let Shape::Passing(left) = reply.shape else { return false };
        if s.inbound.is_empty() {
            return false;
        }
        let n = left.min(s.inbound.len()).min(exchange.room(*attempt));
        if n == 0 {
            return false;
        }
        // What stands before the row goes first.
        let mut bytes = std::mem::take(&mut reply.bytes);
        reply.held.set(0);
        bytes.extend(&s.inbound.bytes()[..n]);
        s.inbound.consume(n);
        reply.passed = Some(turn.now);
        reply.shape = if n == left { Shape::Row } else { Shape::Passing(left - n) };
        let note = host.and_then(|host| host.note(turn, reply));
        exchange.part(turn, *attempt, bytes, note);
        true
    }

    /// An answer is whole, and its ReadyForQuery late: the client does not wait for that. The connection does behind a value,
    /// unless that came before the whole request was sent. Behind an error it is closed: another attempt may follow, and to its db host
    /// this one is out as long as the connection is open.
    pub(super) fn end_before_ready(&mut self, turn: &mut Turn, exchange: &mut Exchange, id: ServerId) {
        let Some((member, mut job, reply)) = self.take_job(id) else { return };
        // A copy is no reply of this attempt, and makes no db host unhealthy.
        let ending = reply.ending().unwrap_or(Ending::Error);
        match self.servers.get_mut(&id) {
            Some(s) if ending == Ending::Ok && !s.has_more_to_send() => {
                job.leave_connection(ConnectionEnd::AwaitsReady);
                let by = turn.now + READY_TIMEOUT;
                s.stage = Stage::Trailing { by };
                turn.deadlines.set(by, DeadlineKind::Server(id));
            }
            _ => self.close(turn, id),
        }
        self.end(turn, exchange, member, job, ending, reply);
    }
}
