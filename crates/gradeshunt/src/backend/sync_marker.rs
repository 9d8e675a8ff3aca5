//! Answers that may be second copies of earlier ones: an empty query behind such an answer shows whose it is.
//!
//! No answer names its request. But answers come in the order of the commands, and db hosts answer an empty query at once: behind the
//! request's own answer EmptyQueryResponse follows alone, behind a copy the request's own answer comes before it.

use std::collections::hash_map::DefaultHasher;
use std::hash::{Hash, Hasher};

use leadmast::{Ending, Micros};
use slog::debug;

use super::connection::{Server, Stage, Unwritten};
use super::jobs::Job;
use super::reply::Reply;
use super::Backend;
use crate::deadlines::Due;
use crate::exchange::{AnswerCheck, ConnectionEnd, Exchange};
use crate::ids::ServerId;
use crate::pg::{Malformed, Message, Writer};
use crate::turn::Turn;

/// Answers that a connection remembers: a second copy that comes behind more than these is not known for one.
pub(super) const ANSWERS_KEPT: usize = 8;
/// How long an answer is held back for its marker. A request's own answer comes within its work, a marker at once.
const MARKER_TIMEOUT: Micros = 250_000;

/// An empty query that is out behind an answer that may be a copy.
#[derive(Debug)]
pub(super) struct SyncMarker {
    /// The latest answer to the request that waits for the marker; `None` once that request has ended without it.
    held: Option<Reply>,
    /// Until when that answer is held back.
    by: Micros,
    /// An answer that comes before the marker's: the one that was held back for it was a copy.
    before: Reply,
    /// Such an answer has come whole.
    overtaken: bool,
    /// EmptyQueryResponse has come; ReadyForQuery is still to come.
    answered: bool,
}

impl SyncMarker {
    /// Whether a request waits for it.
    pub(super) fn holds_answer(&self) -> bool {
        self.held.is_some()
    }

    /// Takes a message of an answer that comes before the marker's. One such answer belongs to the request before the marker.
    fn take_before(&mut self, message: &Message) -> Result<(), Malformed> {
        if self.overtaken {
            return match message.tag {
                b'S' | b'N' | b'A' => Ok(()),
                _ => Err(Malformed("more answers than requests")),
            };
        }
        if self.before.is_full() {
            return Err(Malformed("a long answer where an empty query's is due"));
        }
        if self.before.take(message)? {
            self.overtaken = true;
            let own_answer = std::mem::take(&mut self.before);
            self.held = self.held.take().map(|_| own_answer);
        }
        Ok(())
    }
}

/// What a message is on a connection whose marker is out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Marked {
    /// One that waits for no further step.
    Taken,
    /// The end of the marker: the request that waits for it has its own answer now.
    Ended(AnswerCheck),
    /// No marker is out.
    Other,
}

/// What tells one answer from another; `None` while it is not whole, and where some of it was passed on already.
fn digest(reply: &Reply) -> Option<u64> {
    if reply.ending().is_none() || reply.passed.is_some() {
        return None;
    }
    let mut hasher = DefaultHasher::new();
    reply.bytes.hash(&mut hasher);
    reply.position.map(f64::to_bits).hash(&mut hasher);
    Some(hasher.finish())
}

impl Server {
    /// Whether an answer is the same as a recent one here, so that it may be a second copy of that. Errors that tell a position are
    /// known for copies without a marker; those that turn a request away are not looked into, for they come in numbers.
    pub(super) fn may_be_copy(&self, reply: &Reply) -> bool {
        let is_looked_into = match reply.ending() {
            Some(Ending::Ok) => true,
            Some(Ending::Error) => reply.told_error().is_none(),
            _ => false,
        };
        is_looked_into && digest(reply).is_some_and(|digest| self.answers.contains(&digest))
    }

    /// Whether it has an answer now that may be a copy.
    pub(super) fn has_doubtful_answer(&self) -> bool {
        matches!(&self.stage, Stage::Busy { reply, .. } if self.may_be_copy(reply))
    }

    /// Remembers an answer, whose second copy may come behind other answers.
    pub(super) fn remember_answer(&mut self, reply: &Reply) {
        self.answers.extend(digest(reply));
        if self.answers.len() > ANSWERS_KEPT {
            self.answers.pop_front();
        }
    }

    /// Whether nothing stands unread but what belongs before its marker or to that.
    pub(super) fn is_quiet(&self) -> bool {
        self.polled.is_quiet() || (self.marker.is_some() && !self.polled.has_hung_up())
    }
}

/// Takes a message of a connection, whose marker may be out.
pub(super) fn take_marked(
    marker: &mut Option<SyncMarker>,
    stage: &mut Stage,
    message: &Message,
) -> Result<Marked, Malformed> {
    let Some(out) = marker else { return Ok(Marked::Other) };
    match message.tag {
        b'I' if out.before.is_empty() && !out.answered => out.answered = true,
        b'Z' if out.answered => {
            let found = if out.overtaken { AnswerCheck::Copy } else { AnswerCheck::Own };
            let held = marker.take().and_then(|marker| marker.held);
            let (Some(held), Stage::Busy { reply, .. }) = (held, stage) else { return Ok(Marked::Taken) };
            *reply = held;
            return Ok(Marked::Ended(found));
        }
        // What a db host tells of itself, as behind any answer.
        b'S' | b'N' | b'A' if out.answered => {}
        _ if out.answered => return Err(Malformed("more than an empty query's answer")),
        _ => out.take_before(message)?,
    }
    Ok(Marked::Taken)
}

impl Backend {
    /// Writes a marker behind an answer that may be a copy, and holds that back until the marker is answered; a load report is taken as
    /// it is, for an old one is none the worse. Behind an answer that came before its request was sent there can be no marker: it is
    /// no answer.
    pub(super) fn hold_for_marker(&mut self, turn: &mut Turn, exchange: &mut Exchange, id: ServerId) {
        let Some(s) = self.servers.get_mut(&id) else { return };
        let Stage::Busy { job, reply, ready_by } = &mut s.stage else { return };
        if !job.is_written() {
            return self.answer_malformed(turn, exchange, id, "an answer before its request");
        }
        let fresh = || Reply { form: reply.form, ..Reply::default() };
        let (before, next) = (fresh(), fresh());
        let is_probe = matches!(job, Job::Probe { .. });
        let held = (!is_probe).then(|| std::mem::replace(reply, next));
        *ready_by = None;
        let by = turn.now + MARKER_TIMEOUT;
        s.marker = Some(SyncMarker { held, by, before, overtaken: false, answered: false });
        debug!(turn.log, "answer held back: it may be a copy"; "member" => s.member.0);
        turn.deadlines.set(by, Due::Server(id));
        let pushed = s.outbound.push(&Writer::default().query(&[b""]).0);
        let written = if pushed {
            self.flush(turn, exchange, id)
        } else {
            Err(Unwritten::Broken(std::io::ErrorKind::OutOfMemory.into()))
        };
        match written {
            Ok(()) if is_probe => self.connection_ready(turn, exchange, id),
            Ok(()) => {}
            Err(why) => self.unwritten(turn, exchange, id, why),
        }
    }

    /// Whether an answer has been held back for long enough.
    pub(super) fn is_marker_due(&self, now: Micros, id: ServerId) -> bool {
        let marker = self.servers.get(&id).and_then(|s| s.marker.as_ref());
        marker.is_some_and(|marker| marker.holds_answer() && marker.by <= now)
    }

    /// The marker is late. What may be another request's value is not served, and its request is not sent again beside one that may be
    /// at work here: it fails. The connection may be used on: answers before the marker's are nobody's. Behind what may be another
    /// request's error that connection is given up, so that the request may be sent again.
    pub(super) fn marker_due(&mut self, turn: &mut Turn, exchange: &mut Exchange, id: ServerId) {
        let Some(s) = self.servers.get_mut(&id) else { return };
        let (member, by) = (s.member, turn.now);
        exchange.note_answer_check(turn, member, AnswerCheck::Unknown);
        let held = s.marker.as_mut().and_then(|marker| marker.held.take());
        if held.is_some_and(|reply| reply.error.is_some()) {
            return self.answer_copied(turn, exchange, id);
        }
        let Stage::Busy { mut job, .. } = std::mem::replace(&mut s.stage, Stage::Trailing { by }) else {
            return;
        };
        job.leave_connection(ConnectionEnd::AwaitsReady);
        let reply = Reply { may_be_copy: true, ..Reply::default() };
        self.end(turn, exchange, member, job, Ending::Error, reply);
        self.connection_ready(turn, exchange, id);
    }
}
