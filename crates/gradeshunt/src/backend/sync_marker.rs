//! Sync markers: empty queries between requests, whose answers show which other answers belong to no request.
//!
//! No answer names its request, but answers arrive in the order of the commands, and db hosts answer an empty
//! query at once. So an empty query precedes each request except the first on a connection: whatever arrives
//! before EmptyQueryResponse, such as a duplicate of an earlier answer, is discarded. If an answer
//! nevertheless equals an earlier one, the proxy sends another empty query after it. If EmptyQueryResponse
//! comes next, the answer was the request's own; if the answer was a duplicate, the request's own answer
//! comes first.

use std::collections::hash_map::DefaultHasher;
use std::hash::{Hash, Hasher};

use leadmast::{Ending, Micros};
use slog::debug;

use super::connection::{HostConnection, Stage, WriteFailure};
use super::discard::{Discard, Discarded};
use super::jobs::Job;
use super::reply::Reply;
use super::Backend;
use crate::deadlines::Due;
use crate::exchange::{AnswerCheck, ConnectionEnd, Exchange};
use crate::ids::ServerId;
use crate::pg::{Malformed, Message, Writer};
use crate::placing::is_peer;
use crate::ring::Ring;
use crate::turn::Turn;

/// Number of recent answers that a connection remembers. A duplicate that arrives after more answers is not
/// recognized.
pub(super) const ANSWERS_KEPT: usize = 8;
/// Time for which an answer is held back until its marker is answered. If it was a duplicate, the request's
/// own answer may take as long as its execution; the marker itself is answered at once.
const MARKER_TIMEOUT: Micros = 250_000;

/// An empty query that is not answered yet.
#[derive(Debug)]
pub(super) struct SyncMarker {
    place: MarkerPlace,
    /// EmptyQueryResponse has arrived; ReadyForQuery is still to come.
    answered: bool,
}

/// The position of an empty query among the requests of its connection.
#[derive(Debug)]
enum MarkerPlace {
    /// Before the next request: what arrives before the marker's answer belongs to no request.
    BeforeRequest(Discard),
    /// After an answer that may be a duplicate and is held back until the marker is answered.
    BehindAnswer(Box<HeldAnswer>),
}

/// An answer that may be a duplicate, and what arrives after it.
#[derive(Debug)]
struct HeldAnswer {
    /// The latest answer that arrived for the request.
    held: Reply,
    /// The time until which that answer is held back.
    by: Micros,
    /// An answer that arrives before the marker's, which shows that the held answer was a duplicate.
    before: Reply,
    /// Whether such an answer has arrived completely.
    overtaken: bool,
}

impl SyncMarker {
    /// A marker that precedes the next request.
    pub(super) fn before_request() -> SyncMarker {
        SyncMarker { place: MarkerPlace::BeforeRequest(Discard::default()), answered: false }
    }

    /// Discards what belongs to no request.
    pub(super) fn discard(&mut self, inbound: &mut Ring) -> Result<Discarded, Malformed> {
        match &mut self.place {
            MarkerPlace::BeforeRequest(discard) if !self.answered => discard.take(inbound),
            _ => Ok(Discarded::UpToMarker),
        }
    }

    /// The time until which a held answer waits for this marker.
    fn holds_until(&self) -> Option<Micros> {
        match &self.place {
            MarkerPlace::BehindAnswer(held) => Some(held.by),
            MarkerPlace::BeforeRequest(_) => None,
        }
    }

    /// Stops holding an answer back and returns it. What arrives before the marker's answer is discarded from
    /// now on.
    fn give_up_held(&mut self) -> Option<Reply> {
        let place = MarkerPlace::BeforeRequest(Discard::default());
        match std::mem::replace(&mut self.place, place) {
            MarkerPlace::BehindAnswer(held) => Some(held.held),
            MarkerPlace::BeforeRequest(_) => None,
        }
    }
}

impl HeldAnswer {
    /// Takes a message that arrives before the marker's answer. One such answer is the request's own.
    fn take_before(&mut self, message: &Message) -> Result<(), Malformed> {
        if self.overtaken {
            return match message.tag {
                b'S' | b'N' | b'A' => Ok(()),
                _ => Err(Malformed("more answers than requests")),
            };
        }
        if self.before.is_full() {
            return Err(Malformed("a long answer instead of the answer to an empty query"));
        }
        if self.before.take(message)? {
            self.overtaken = true;
            self.held = std::mem::take(&mut self.before);
        }
        Ok(())
    }
}

/// The meaning of a message on a connection that may have a marker out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Marked {
    /// It belongs to the marker or to the held answer; nothing further is to be done.
    Taken,
    /// The end of a marker before a request; a duplicate of an earlier answer was discarded before it.
    Discarded,
    /// The end of a marker after a held answer: the request has its own answer now.
    Ended(AnswerCheck),
    /// No marker is out.
    Other,
}

/// A digest that identifies an answer; `None` while the answer is incomplete, or if some of it was already
/// passed on.
fn digest(reply: &Reply) -> Option<u64> {
    if reply.ending().is_none() || reply.passed.is_some() {
        return None;
    }
    let mut hasher = DefaultHasher::new();
    reply.bytes.hash(&mut hasher);
    reply.position.map(f64::to_bits).hash(&mut hasher);
    Some(hasher.finish())
}

impl HostConnection {
    /// Whether an answer equals a recent one on this connection, so that it may be a duplicate; also known
    /// before its ReadyForQuery. Excluded are errors that report a position, which `repeats_error` checks
    /// once they are complete, and other refusals, which are too frequent.
    pub(super) fn may_be_copy(&self, reply: &Reply) -> bool {
        let is_looked_into = match reply.ending() {
            Some(Ending::Ok) => true,
            Some(Ending::Error) => reply.told_error().is_none(),
            _ => false,
        };
        is_looked_into && digest(reply).is_some_and(|digest| self.answers.contains(&digest))
    }

    /// Whether the current answer may be a duplicate.
    pub(super) fn has_doubtful_answer(&self) -> bool {
        matches!(&self.stage, Stage::Busy { reply, .. } if self.may_be_copy(reply))
    }

    /// Whether the complete answer is to be held back for a marker.
    pub(super) fn must_hold_answer(&self) -> bool {
        let repeats_error = matches!(&self.stage, Stage::Busy { reply, .. } if self.repeats_error(reply));
        repeats_error || self.has_doubtful_answer()
    }

    /// Remembers an answer, so that a duplicate that arrives after other answers is recognized.
    pub(super) fn remember_answer(&mut self, reply: &Reply) {
        self.answers.extend(digest(reply));
        if self.answers.len() > ANSWERS_KEPT {
            self.answers.pop_front();
        }
    }

    /// Returns the messages that precede the next request: a marker, since a duplicate of an earlier answer
    /// may be under way. None is needed for the first request on a connection, nor if a marker is already
    /// out, since that was written after the earlier answers. Other proxies answer only once and may refuse
    /// an empty query.
    pub(super) fn begin_request(&mut self) -> Writer {
        let is_first = !std::mem::replace(&mut self.has_carried_request, true);
        if is_first || self.marker.is_some() || is_peer(self.member) {
            return Writer::default();
        }
        self.marker = Some(SyncMarker::before_request());
        Writer::default().query(&[b""])
    }

    /// Whether nothing is unread except for what may precede or belong to a marker that is out.
    pub(super) fn is_quiet(&self) -> bool {
        self.polled.is_quiet() || (self.marker.is_some() && !self.polled.has_hung_up())
    }
}

/// Handles a message on a connection that may have a marker out.
pub(super) fn take_marked(
    marker: &mut Option<SyncMarker>,
    stage: &mut Stage,
    message: &Message,
) -> Result<Marked, Malformed> {
    let Some(SyncMarker { place, answered }) = marker else { return Ok(Marked::Other) };
    match (message.tag, place) {
        (b'Z', _) if *answered => return Ok(end_marker(marker, stage)),
        // The db host may send status messages, as after any answer.
        (b'S' | b'N' | b'A', _) if *answered => {}
        (_, _) if *answered => {
            return Err(Malformed("unexpected message after the answer to an empty query"))
        }
        (b'I', MarkerPlace::BeforeRequest(_)) => *answered = true,
        (b'I', MarkerPlace::BehindAnswer(held)) if held.before.is_empty() => *answered = true,
        (_, MarkerPlace::BehindAnswer(held)) => held.take_before(message)?,
        (_, MarkerPlace::BeforeRequest(_)) => {
            return Err(Malformed("the answer to an empty query is missing"))
        }
    }
    Ok(Marked::Taken)
}

/// Handles the end of a marker's answer.
fn end_marker(marker: &mut Option<SyncMarker>, stage: &mut Stage) -> Marked {
    match (marker.take().map(|marker| marker.place), stage) {
        (Some(MarkerPlace::BehindAnswer(held)), Stage::Busy { reply, .. }) => {
            let found = if held.overtaken { AnswerCheck::Duplicate } else { AnswerCheck::Own };
            *reply = held.held;
            Marked::Ended(found)
        }
        (Some(MarkerPlace::BeforeRequest(discard)), _) if discard.has_answer() => Marked::Discarded,
        _ => Marked::Taken,
    }
}

impl Backend {
    /// Writes a marker after an answer that may be a duplicate, and holds the answer back until the marker is
    /// answered. A load report is accepted as it is, since an old one does no harm. An answer that arrived
    /// before its request was written completely cannot be checked this way, and is treated as malformed.
    pub(super) fn hold_for_marker(&mut self, turn: &mut Turn, exchange: &mut Exchange, id: ServerId) {
        let Some(s) = self.servers.get_mut(&id) else { return };
        let Stage::Busy { job, reply, ready_by } = &mut s.stage else { return };
        if !job.is_written() {
            return self.answer_malformed(turn, exchange, id, "an answer before its request was written");
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
        debug!(turn.log, "answer held back: it may duplicate an earlier one"; "member" => s.member.0);
        turn.deadlines.set(by, Due::Server(id));
        let pushed = s.outbound.push(&Writer::default().query(&[b""]).0);
        let written = if pushed {
            self.flush(turn, exchange, id)
        } else {
            Err(WriteFailure::Io(std::io::ErrorKind::OutOfMemory.into()))
        };
        match written {
            Ok(()) if is_probe => self.connection_ready(turn, exchange, id),
            Ok(()) => {}
            Err(why) => self.write_failed(turn, exchange, id, why),
        }
    }

    /// Whether the time for which an answer is held back has passed.
    pub(super) fn is_marker_due(&self, now: Micros, id: ServerId) -> bool {
        let marker = self.servers.get(&id).and_then(|s| s.marker.as_ref());
        marker.and_then(SyncMarker::holds_until).is_some_and(|by| by <= now)
    }

    /// The marker was not answered in time. A value that may belong to another request is not served. Its
    /// request fails rather than being sent again, since it may still be running on this connection. The
    /// connection may be used again: answers before the marker's are discarded. After an error that may
    /// belong to another request the connection is given up, so that the request may be sent again.
    pub(super) fn marker_due(&mut self, turn: &mut Turn, exchange: &mut Exchange, id: ServerId) {
        let Some(s) = self.servers.get_mut(&id) else { return };
        let (member, by) = (s.member, turn.now);
        exchange.record_answer_check(turn, member, AnswerCheck::Unknown);
        let held = s.marker.as_mut().and_then(SyncMarker::give_up_held);
        if held.is_some_and(|reply| reply.error.is_some()) {
            return self.answer_copied(turn, exchange, id);
        }
        let Stage::Busy { mut job, .. } = std::mem::replace(&mut s.stage, Stage::AwaitsReady { by }) else {
            return;
        };
        job.set_connection_end(ConnectionEnd::AwaitsReady);
        let reply = Reply { may_be_copy: true, ..Reply::default() };
        self.end_job(turn, exchange, member, job, Ending::Error, reply);
        self.connection_ready(turn, exchange, id);
    }
}
