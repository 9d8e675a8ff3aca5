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
use crate::deadlines::DeadlineKind;
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
    position: MarkerPosition,
    /// EmptyQueryResponse has arrived; ReadyForQuery is still to come.
    answered: bool,
}

/// The position of an empty query among the requests of its connection.
#[derive(Debug)]
enum MarkerPosition {
    /// Before the next request: what arrives before the marker's answer belongs to no request.
    BeforeRequest(Discard),
    /// After an answer that may be a duplicate and is held back until the marker is answered.
    AfterAnswer(Box<HeldAnswer>),
}

/// An answer that may be a duplicate, and what arrives after it.
#[derive(Debug)]
struct HeldAnswer {
    /// The latest answer that arrived for the request.
    held: Reply,
    /// The time until which that answer is held back.
    by: Micros,
    /// An answer that arrives before the marker's, which shows that the held answer was a duplicate.
    next_answer: Reply,
    /// Whether such an answer has arrived completely.
    is_duplicate: bool,
}

impl SyncMarker {
    /// A marker that precedes the next request.
    pub(super) fn before_request() -> SyncMarker {
        SyncMarker { position: MarkerPosition::BeforeRequest(Discard::default()), answered: false }
    }

    /// Discards what belongs to no request.
    pub(super) fn discard(&mut self, inbound: &mut Ring) -> Result<Discarded, Malformed> {
        match &mut self.position {
            MarkerPosition::BeforeRequest(discard) if !self.answered => discard.take(inbound),
            _ => Ok(Discarded::UpToMarker),
        }
    }

    /// The time until which a held answer waits for this marker.
    fn held_until(&self) -> Option<Micros> {
        match &self.position {
            MarkerPosition::AfterAnswer(held) => Some(held.by),
            MarkerPosition::BeforeRequest(_) => None,
        }
    }

    /// Stops holding an answer back and returns it. What arrives before the marker's answer is discarded from
    /// now on.
    fn release_held(&mut self) -> Option<Reply> {
        let position = MarkerPosition::BeforeRequest(Discard::default());
        match std::mem::replace(&mut self.position, position) {
            MarkerPosition::AfterAnswer(held) => Some(held.held),
            MarkerPosition::BeforeRequest(_) => None,
        }
    }
}

impl HeldAnswer {
    /// Takes a message that arrives before the marker's answer. One such answer is the request's own.
    fn handle_next_answer(&mut self, message: &Message) -> Result<(), Malformed> {
        if self.is_duplicate {
            return match message.tag {
                b'S' | b'N' | b'A' => Ok(()),
                _ => Err(Malformed("more answers than requests")),
            };
        }
        if self.next_answer.is_full() {
            return Err(Malformed("a long answer instead of the answer to an empty query"));
        }
        if self.next_answer.handle_message(message)? {
            self.is_duplicate = true;
            self.held = std::mem::take(&mut self.next_answer);
        }
        Ok(())
    }
}

/// The meaning of a message on a connection that may have a marker out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum MarkerStep {
    /// It belongs to the marker or to the held answer; nothing further is to be done.
    Handled,
    /// The end of a marker before a request; a duplicate of an earlier answer was discarded before it.
    DuplicateDiscarded,
    /// The end of a marker after a held answer: the request has its own answer now.
    AnswerChecked(AnswerCheck),
    /// No marker is out.
    NotForMarker,
}

/// A digest that identifies an answer; `None` while the answer is incomplete, or if some of it was already
/// passed on.
fn answer_digest(reply: &Reply) -> Option<u64> {
    if reply.ending().is_none() || reply.last_passed_on.is_some() {
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
        let is_checked = match reply.ending() {
            Some(Ending::Ok) => true,
            Some(Ending::Error) => reply.error_with_position().is_none(),
            _ => false,
        };
        is_checked && answer_digest(reply).is_some_and(|digest| self.answers.contains(&digest))
    }

    /// Whether the current answer may be a duplicate.
    pub(super) fn may_hold_duplicate(&self) -> bool {
        matches!(&self.stage, Stage::Busy { reply, .. } if self.may_be_copy(reply))
    }

    /// Whether the complete answer is to be held back for a marker.
    pub(super) fn must_hold_answer(&self) -> bool {
        let repeats_error = matches!(&self.stage, Stage::Busy { reply, .. } if self.repeats_error(reply));
        repeats_error || self.may_hold_duplicate()
    }

    /// Remembers an answer, so that a duplicate that arrives after other answers is recognized.
    pub(super) fn remember_answer(&mut self, reply: &Reply) {
        self.answers.extend(answer_digest(reply));
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
pub(super) fn handle_marker_message(
    marker: &mut Option<SyncMarker>,
    stage: &mut Stage,
    message: &Message,
) -> Result<MarkerStep, Malformed> {
    let Some(SyncMarker { position, answered }) = marker else {
        return Ok(MarkerStep::NotForMarker);
    };
    match (message.tag, position) {
        (b'Z', _) if *answered => return Ok(end_marker(marker, stage)),
        // The db host may send status messages, as after any answer.
        (b'S' | b'N' | b'A', _) if *answered => {}
        (_, _) if *answered => {
            return Err(Malformed("unexpected message after the answer to an empty query"))
        }
        (b'I', MarkerPosition::BeforeRequest(_)) => *answered = true,
        (b'I', MarkerPosition::AfterAnswer(held)) if held.next_answer.is_empty() => *answered = true,
        (_, MarkerPosition::AfterAnswer(held)) => held.handle_next_answer(message)?,
        (_, MarkerPosition::BeforeRequest(_)) => {
            return Err(Malformed("the answer to an empty query is missing"))
        }
    }
    Ok(MarkerStep::Handled)
}

/// Handles the end of a marker's answer.
fn end_marker(marker: &mut Option<SyncMarker>, stage: &mut Stage) -> MarkerStep {
    match (marker.take().map(|marker| marker.position), stage) {
        (Some(MarkerPosition::AfterAnswer(held)), Stage::Busy { reply, .. }) => {
            let found = if held.is_duplicate { AnswerCheck::Duplicate } else { AnswerCheck::Own };
            *reply = held.held;
            MarkerStep::AnswerChecked(found)
        }
        (Some(MarkerPosition::BeforeRequest(discard)), _) if discard.has_answer() => {
            MarkerStep::DuplicateDiscarded
        }
        _ => MarkerStep::Handled,
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
        let (next_answer, empty) = (fresh(), fresh());
        let is_probe = matches!(job, Job::Probe { .. });
        *ready_by = None;
        let by = turn.now + MARKER_TIMEOUT;
        let position = if is_probe {
            MarkerPosition::BeforeRequest(Discard::default())
        } else {
            let held = std::mem::replace(reply, empty);
            MarkerPosition::AfterAnswer(Box::new(HeldAnswer { held, by, next_answer, is_duplicate: false }))
        };
        s.marker = Some(SyncMarker { position, answered: false });
        debug!(turn.log, "answer held back: it may duplicate an earlier one"; "member" => s.member.0);
        turn.deadlines.set(by, DeadlineKind::Server(id));
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
        marker.and_then(SyncMarker::held_until).is_some_and(|by| by <= now)
    }

    /// The marker was not answered in time. A value that may belong to another request is not served. Its
    /// request fails rather than being sent again, since it may still be running on this connection. The
    /// connection may be used again: answers before the marker's are discarded. After an error that may
    /// belong to another request the connection is given up, so that the request may be sent again.
    pub(super) fn marker_due(&mut self, turn: &mut Turn, exchange: &mut Exchange, id: ServerId) {
        let Some(s) = self.servers.get_mut(&id) else { return };
        let (member, by) = (s.member, turn.now);
        exchange.record_answer_check(turn, member, AnswerCheck::Unknown);
        let held = s.marker.as_mut().and_then(SyncMarker::release_held);
        if held.is_some_and(|reply| reply.error.is_some()) {
            return self.handle_copied_error(turn, exchange, id);
        }
        let Stage::Busy { mut job, .. } = std::mem::replace(&mut s.stage, Stage::AwaitsReady { by }) else {
            return;
        };
        job.set_connection_end(ConnectionEnd::AwaitsReady);
        let reply = Reply { may_be_duplicate: true, ..Reply::default() };
        self.end_job(turn, exchange, member, job, Ending::Error, reply);
        self.connection_ready(turn, exchange, id);
    }
}
