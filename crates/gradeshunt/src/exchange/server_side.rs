//! Events from the backend: parts of long answers, and attempts and probes that have ended.

use std::rc::Rc;

use leadmast::permission::settled_at;
use leadmast::{Ending, Event, Micros, Note, Outcome, Probed, RequestId};
use slog::warn;

use super::endings::immediate_outcome;
use super::messages::{Answer, AttemptEnd, FinalAnswer, HostReply};
use super::reason::FinalReason;
use super::state::Exchange;
use super::trace::{ConnectionEnd, EndedAttempt};
use crate::deadlines::DeadlineKind;
use crate::ids::AttemptId;
use crate::log_limit::ClientLine;
use crate::site_loss;
use crate::turn::Turn;

impl Exchange {
    /// The number of bytes of a long answer that the frontend can take. After 0,
    /// [`Resume`](super::messages::BackendCommand::Resume) follows once there is room.
    pub fn answer_room(&mut self, attempt: AttemptId) -> usize {
        let Some(r) = self.requests.get_mut(&attempt.request).filter(|r| !r.is_over) else { return 0 };
        r.awaits_room = r.room == 0;
        r.room
    }

    /// Whether another attempt may follow one that ends at `at`.
    pub fn may_be_followed(&self, attempt: AttemptId, at: Micros) -> bool {
        self.requests.get(&attempt.request).is_some_and(|r| !r.is_over && at < r.deadline)
    }

    /// Passes on a part of a long answer. The client has begun to read it, so that no deadline ends it any
    /// more. The balancer gets the attempt's outcome with the first part: the length of a value says nothing
    /// about its db host, and a db host that is busy sending would otherwise be taken for unhealthy.
    pub fn pass_on_part(&mut self, turn: &mut Turn, attempt: AttemptId, bytes: Vec<u8>, note: Option<Note>) {
        let id = attempt.request;
        let Some(r) = self.requests.get_mut(&id).filter(|r| !r.is_over) else { return };
        let Some(active) = r.active_attempt.as_ref().filter(|o| o.number == attempt.number) else { return };
        let (member, elapsed) = (active.member, turn.now - active.begun_at);
        r.room = r.room.saturating_sub(bytes.len());
        r.queued_bytes += bytes.len();
        self.answers.push_back((id, Answer::Part(bytes)));
        if !std::mem::replace(&mut r.answer_begun, true) {
            turn.deadlines.clear(r.deadline + self.answer_slack, DeadlineKind::Overdue(id));
            // The balancer does not know of requests that another proxy serves.
            if r.forward.is_none() {
                let last = true;
                self.report_outcome(
                    turn,
                    Outcome { last, elapsed, note, ..immediate_outcome(attempt, member, Ending::Ok) },
                );
            }
        }
    }

    /// An attempt has ended, at a db host or at another proxy.
    pub fn attempt_ended(&mut self, turn: &mut Turn, end: AttemptEnd) {
        let AttemptEnd { attempt: AttemptId { request: id, number }, ending, note, reply: host_reply, trace } =
            end;
        let Some(r) = self.requests.get_mut(&id) else { return };
        let Some(active) = r.active_attempt.take_if(|o| o.number == number) else { return };
        // Reads the clock for the time of the close: the turn may have begun long before.
        if trace.connection_end == ConnectionEnd::Reset {
            r.settled_at = r.settled_at.max(Some(settled_at(turn.clock.now())));
        }
        let settled_at = r.settled_at;
        if r.forward.is_some() {
            return self.forward_ended(turn, id, active, ending, host_reply);
        }
        r.last_error = None;
        r.last_ending = Some(ending);
        r.ended_attempts.push(EndedAttempt {
            number,
            begun_at: active.begun_at,
            ended_at: turn.now,
            ending,
            trace,
        });
        if !ending.never_ran() {
            r.outcome_unknown_since.get_or_insert(active.begun_at);
        }
        let rejected_as_write = matches!(host_reply, HostReply::ReadOnly);
        if rejected_as_write {
            self.count_as_write(turn, id);
        }
        let Some(r) = self.requests.get_mut(&id) else { return };
        let (over, begun) = (r.is_over, r.answer_begun);
        let answer = match host_reply {
            HostReply::Answer(bytes) => Some((FinalAnswer::Served(bytes), None)),
            _ if begun => Some((FinalAnswer::Interrupted, Some(FinalReason::AnswerInterrupted))),
            HostReply::StatementError(bytes) => {
                Some((FinalAnswer::Failed(Some(bytes)), Some(FinalReason::Statement)))
            }
            HostReply::PossibleDuplicate => {
                Some((FinalAnswer::Failed(None), Some(FinalReason::AnswerUnclear)))
            }
            HostReply::Error(bytes) => {
                r.last_error = Some(bytes);
                None
            }
            HostReply::Nothing
            | HostReply::ReadOnly
            | HostReply::Refused { .. }
            | HostReply::ShuttingDown => None,
        };
        let last = over || answer.is_some();
        let interrupted = matches!(answer, Some((FinalAnswer::Interrupted, _)));
        if let Some((answer, reason)) = answer {
            self.give_final_answer(turn, id, answer, reason);
        }
        self.remove_if_done(id);
        // The balancer had its outcome when the answer began.
        if begun {
            *self.summary_counts.endings.entry("broken").or_default() += u32::from(interrupted);
            return;
        }
        // An error of the statement itself must not lower the db host's health.
        let verdict = last && ending == Ending::Error && !over;
        let ending = if verdict { Ending::Cancelled } else { ending };
        let elapsed = turn.now - active.begun_at;
        let outcome = immediate_outcome(AttemptId { request: id, number }, active.member, ending);
        self.report_outcome(turn, Outcome { last, elapsed, note, settled_at, rejected_as_write, ..outcome });
    }

    /// A db host has refused a request as a write. If its class is for reads, the class is wrong, and the request
    /// is not repeated once an attempt may have run.
    fn count_as_write(&mut self, turn: &mut Turn, id: RequestId) {
        let Some(r) = self.requests.get_mut(&id) else { return };
        let effect = self.effects_once_refused_as_writes.get(r.class.0).copied().unwrap_or_default();
        if std::mem::replace(&mut r.effect, effect) == effect {
            return;
        }
        self.figures.reads_refused_as_writes += 1;
        if let Some(suppressed) = turn.log_limit.admit(ClientLine::ReadRefusedAsWrite, turn.now) {
            warn!(turn.log, "db host refused a read as a write"; "request" => id.0, "class" => r.class.0,
                "suppressed" => suppressed);
        }
        self.answers.push_back((id, Answer::Writes(Rc::clone(&r.body))));
    }

    /// A probe has ended.
    pub fn probe_ended(&mut self, turn: &mut Turn, probed: Probed) {
        site_loss::record_ending(&mut self.sites, turn.now, probed.member, probed.ending, probed.elapsed);
        self.handle_event(turn, Event::Probed(probed));
    }
}
