//! Empty queries between requests: the order of answers shows which of them belong to no request.
//!
//! No answer names its request. But answers come in the order of the commands, and db hosts answer an empty query at once. So each request
//! that follows another one on a connection has an empty query before it: what comes before EmptyQueryResponse, such as a second copy of an
//! earlier answer, is nobody's. An answer that is the same as an earlier one all the same has an empty query behind it: behind the
//! request's own answer EmptyQueryResponse follows alone, behind a copy the request's own answer comes before it.

use std::collections::hash_map::DefaultHasher;
use std::hash::{Hash, Hasher};

use leadmast::{Ending, Micros};
use slog::debug;

use super::connection::{Server, Stage, Unwritten};
use super::discard::{Discard, Discarded};
use super::jobs::Job;
use super::reply::Reply;
use super::Backend;
use crate::deadlines::DeadlineKind;
use crate::exchange::{AnswerCheck, ConnectionEnd, Exchange};
use crate::ids::ServerId;
use crate::pg::{Malformed, Message, Writer};
use crate::placing::is_peer;
use crate::ring::Ring;
use crate::turn::Turn;

/// Answers that a connection remembers: a second copy that comes behind more than these is not known for one.
pub(super) const ANSWERS_KEPT: usize = 8;
/// How long an answer is held back for its marker. A request's own answer comes within its work, a marker at once.
const MARKER_TIMEOUT: Micros = 250_000;

/// An empty query that is out.
#[derive(Debug)]
pub(super) struct SyncMarker {
    place: MarkerPlace,
    /// EmptyQueryResponse has come; ReadyForQuery is still to come.
    answered: bool,
}

/// Where an empty query stands among the requests of its connection.
#[derive(Debug)]
enum MarkerPlace {
    /// Before the next request: what comes before its answer is nobody's.
    BeforeRequest(Discard),
    /// Behind an answer that may be a copy, whose request waits for it.
    BehindAnswer(Box<HeldAnswer>),
}

/// An answer that may be a copy, and what comes behind it.
#[derive(Debug)]
struct HeldAnswer {
    /// The latest answer to its request.
    held: Reply,
    /// Until when that is held back.
    by: Micros,
    /// An answer that comes before the marker's: the one that was held back for it was a copy.
    before: Reply,
    /// Such an answer has come whole.
    overtaken: bool,
}

impl SyncMarker {
    /// An empty query before the next request.
    pub(super) fn before_request() -> SyncMarker {
        SyncMarker { place: MarkerPlace::BeforeRequest(Discard::default()), answered: false }
    }

    /// Reads over what is nobody's.
    pub(super) fn discard(&mut self, inbound: &mut Ring) -> Result<Discarded, Malformed> {
        match &mut self.place {
            MarkerPlace::BeforeRequest(discard) if !self.answered => discard.take(inbound),
            _ => Ok(Discarded::UpToMarker),
        }
    }

    /// Until when a request waits for it.
    fn holds_until(&self) -> Option<Micros> {
        match &self.place {
            MarkerPlace::BehindAnswer(held) => Some(held.by),
            MarkerPlace::BeforeRequest(_) => None,
        }
    }

    /// Its request waits no longer: what comes before its answer is nobody's from now on.
    fn give_up_held(&mut self) -> Option<Reply> {
        let place = MarkerPlace::BeforeRequest(Discard::default());
        match std::mem::replace(&mut self.place, place) {
            MarkerPlace::BehindAnswer(held) => Some(held.held),
            MarkerPlace::BeforeRequest(_) => None,
        }
    }
}

impl HeldAnswer {
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
            self.held = std::mem::take(&mut self.before);
        }
        Ok(())
    }
}

/// What a message is on a connection whose marker may be out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Marked {
    /// One that waits for no further step.
    Taken,
    /// The end of a marker before a request: a second copy of an earlier answer came before it.
    Discarded,
    /// The end of a marker behind an answer: the request that waits for it has its own answer now.
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
    /// Whether an answer is the same as a recent one here, so that it may be a second copy of that, also before its end: errors that tell a
    /// position are looked into once they are whole, and others that turn a request away are not, for they come in numbers.
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

    /// Whether its whole answer is to be held back for a marker.
    pub(super) fn must_hold_answer(&self) -> bool {
        let repeats_error = matches!(&self.stage, Stage::Busy { reply, .. } if self.repeats_error(reply));
        repeats_error || self.has_doubtful_answer()
    }

    /// Remembers an answer, whose second copy may come behind other answers.
    pub(super) fn remember_answer(&mut self, reply: &Reply) {
        self.answers.extend(digest(reply));
        if self.answers.len() > ANSWERS_KEPT {
            self.answers.pop_front();
        }
    }

    /// What the next request begins with: a marker, unless it is the first one here, since a second copy of an earlier answer may be under
    /// way. A marker that is out already does as well, for it was written behind that answer. Other proxies answer once, and an empty
    /// query may be refused there.
    pub(super) fn begin_request(&mut self) -> Writer {
        let is_first = !std::mem::replace(&mut self.has_carried_request, true);
        if is_first || self.marker.is_some() || is_peer(self.member) {
            return Writer::default();
        }
        self.marker = Some(SyncMarker::before_request());
        Writer::default().query(&[b""])
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
    let Some(SyncMarker { place, answered }) = marker else { return Ok(Marked::Other) };
    match (message.tag, place) {
        (b'Z', _) if *answered => return Ok(end_marker(marker, stage)),
        // What a db host tells of itself, as behind any answer.
        (b'S' | b'N' | b'A', _) if *answered => {}
        (_, _) if *answered => return Err(Malformed("more than an empty query's answer")),
        (b'I', MarkerPlace::BeforeRequest(_)) => *answered = true,
        (b'I', MarkerPlace::BehindAnswer(held)) if held.before.is_empty() => *answered = true,
        (_, MarkerPlace::BehindAnswer(held)) => held.take_before(message)?,
        (_, MarkerPlace::BeforeRequest(_)) => return Err(Malformed("no empty query's answer")),
    }
    Ok(Marked::Taken)
}

/// A marker's answer has come whole.
fn end_marker(marker: &mut Option<SyncMarker>, stage: &mut Stage) -> Marked {
    match (marker.take().map(|marker| marker.place), stage) {
        (Some(MarkerPlace::BehindAnswer(held)), Stage::Busy { reply, .. }) => {
            let found = if held.overtaken { AnswerCheck::Copy } else { AnswerCheck::Own };
            *reply = held.held;
            Marked::Ended(found)
        }
        (Some(MarkerPlace::BeforeRequest(discard)), _) if discard.has_answer() => Marked::Discarded,
        _ => Marked::Taken,
    }
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
        *ready_by = None;
        let by = turn.now + MARKER_TIMEOUT;
        let place = if is_probe {
            MarkerPlace::BeforeRequest(Discard::default())
        } else {
            let held = std::mem::replace(reply, next);
            MarkerPlace::BehindAnswer(Box::new(HeldAnswer { held, by, before, overtaken: false }))
        };
        s.marker = Some(SyncMarker { place, answered: false });
        debug!(turn.log, "answer held back: it may be a copy"; "member" => s.member.0);
        turn.deadlines.set(by, DeadlineKind::Server(id));
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
        marker.and_then(SyncMarker::holds_until).is_some_and(|by| by <= now)
    }

    /// The marker is late. What may be another request's value is not served, and its request is not sent again beside one that may be
    /// at work here: it fails. The connection may be used on: answers before the marker's are nobody's. Behind what may be another
    /// request's error that connection is given up, so that the request may be sent again.
    pub(super) fn marker_due(&mut self, turn: &mut Turn, exchange: &mut Exchange, id: ServerId) {
        let Some(s) = self.servers.get_mut(&id) else { return };
        let (member, by) = (s.member, turn.now);
        exchange.note_answer_check(turn, member, AnswerCheck::Unknown);
        let held = s.marker.as_mut().and_then(SyncMarker::give_up_held);
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
