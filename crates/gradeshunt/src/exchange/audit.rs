//! What was done, judged by the rules: attempts as they were written and final answers as they were given. Denials, violations
//! and retries are counted for operators here.

use leadmast::invariant::{violates_answer_time, violates_drain, Rule, Written};
use leadmast::permission::AttemptDenial;
use leadmast::{Effect, Ending, MemberId, Micros, RequestId};
use slog::{debug, error, info, warn};

use super::endings::name;
use super::messages::AnswerCheck;
use super::reason::FinalReason;
use super::state::Exchange;
use crate::ids::AttemptId;
use crate::turn::Turn;

impl Exchange {
    /// An attempt is written whole; it tells its db host so much of its client's time.
    pub fn dispatched(&mut self, turn: &Turn, attempt: AttemptId, told: Option<Micros>) {
        if !attempt.is_forward() {
            self.figures.dispatches += 1;
        }
        let at = turn.clock.now();
        let Some(r) = self.requests.get_mut(&attempt.request) else { return };
        // Nobody waits for it: this must not be.
        if r.left.is_some() && !r.written {
            self.tally.sent_after_gone += 1;
            self.figures.sent_after_gone += 1;
        }
        r.written = true;
        // A try at another proxy is no attempt: that one keeps the rules for those that it makes.
        if attempt.is_forward() {
            return;
        }
        let repeat_until = r.may_have_run_since().and_then(|since| match r.effect {
            Effect::Safe => None,
            Effect::Unsafe => Some(None),
            Effect::Keyed { window, .. } => Some(Some(since + window)),
        });
        let written = Written {
            at,
            told,
            deadline: r.deadline,
            client_left: r.left,
            repeat_until,
            settled_at: r.settled_at,
            others_out: r.others_out(attempt.number),
            number: attempt.number,
            attempts: self.limits.attempts,
            second_copies: self.limits.second_copies,
        };
        for rule in written.violations() {
            self.violated(turn, rule, Some(attempt));
        }
        self.trace_repeat(turn, attempt, at);
    }

    /// The first byte of an attempt is written, to a db host that was told at `told` to take nothing new, if it was.
    pub fn begun_at_host(&mut self, turn: &Turn, attempt: AttemptId, told: Option<Micros>) {
        if violates_drain(turn.clock.now(), told, self.drain_grace) {
            self.violated(turn, Rule::Drain, Some(attempt));
        }
    }

    /// A request has its final answer.
    pub(super) fn audit_answer(&mut self, turn: &Turn, id: RequestId, reason: Option<FinalReason>) {
        let Some(r) = self.requests.get(&id) else { return };
        // The time for which a request stands behind others on its connection does not count, nor that of a value that moves.
        let counts = reason != Some(FinalReason::Expired) && !r.begun;
        if counts && violates_answer_time(turn.clock.now(), r.deadline) {
            self.violated(turn, Rule::AnswerInTime, None);
        }
    }

    /// A rule was violated: this must not be, and operators are told.
    pub fn violated(&mut self, turn: &Turn, rule: Rule, attempt: Option<AttemptId>) {
        self.figures.violations.record(rule);
        let (request, number) = (attempt.map(|a| a.request.0), attempt.map(|a| a.number));
        error!(turn.log, "a rule was violated"; "number" => number, "request" => request, "rule" => rule.name());
    }

    /// An attempt was not begun, or not written.
    pub fn denied(&mut self, turn: &Turn, attempt: AttemptId, denial: AttemptDenial) {
        *self.figures.denials.entry(denial.name()).or_default() += 1;
        debug!(turn.log, "attempt denied"; "why" => denial.name(), "number" => attempt.number,
            "request" => attempt.request.0);
    }

    /// An answer that might have been a second copy was looked into.
    pub fn note_answer_check(&mut self, turn: &Turn, member: MemberId, found: AnswerCheck) {
        *self.figures.answer_checks.entry(found.name()).or_default() += 1;
        match found {
            AnswerCheck::Own => {}
            AnswerCheck::Copy => warn!(turn.log, "a db host sent an answer twice"; "member" => member.0),
            AnswerCheck::Unknown => {
                info!(turn.log, "no answer to an empty query behind what may be a copy"; "member" => member.0)
            }
        }
    }

    /// An attempt begins; a further one follows `after`.
    pub(super) fn note_retry(&mut self, after: Option<Ending>) {
        if let Some(ending) = after {
            *self.figures.retries.entry(name(ending)).or_default() += 1;
        }
    }

    /// A request is not served, for this reason.
    pub(super) fn note_reason(&mut self, turn: &Turn, id: RequestId, refused: bool, reason: FinalReason) {
        let outcome = if refused { "refused" } else { "failed" };
        *self.figures.unserved.entry((outcome, reason.name())).or_default() += 1;
        let attempts = self.requests.get(&id).map(|r| r.sends);
        debug!(turn.log, "not served"; "why" => reason.name(), "outcome" => outcome, "attempts" => attempts,
            "request" => id.0);
    }

    /// Tells of all earlier attempts of a request of which another one is written.
    pub(super) fn trace_repeat(&self, turn: &Turn, attempt: AttemptId, at: Micros) {
        let Some(r) = self.requests.get(&attempt.request) else { return };
        for earlier in &r.ended_attempts {
            let trace = &earlier.trace;
            debug!(turn.log, "repeat written"; "at" => at, "earlier_ended" => earlier.ended,
                "earlier_ending" => name(earlier.ending), "earlier_connection_end" => ?trace.connection_end,
                "earlier_written" => trace.written, "earlier_leased" => trace.leased,
                "earlier_connection" => trace.connection.map(|c| c.0), "earlier_begun" => earlier.since,
                "earlier" => earlier.number, "number" => attempt.number, "request" => attempt.request.0);
        }
    }
}
