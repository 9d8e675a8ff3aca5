//! Checks attempts as they are written and final answers as they are given against the rules. Counts denials,
//! violations and retries for operators.

use leadmast::invariant::{violates_answer_time, violates_drain, Rule, WrittenAttempt};
use leadmast::permission::AttemptDenial;
use leadmast::{Effect, Ending, MemberId, Micros, RequestId};
use slog::{debug, error, info, warn};

use super::endings::ending_name;
use super::messages::AnswerCheck;
use super::reason::FinalReason;
use super::state::Exchange;
use crate::ids::AttemptId;
use crate::turn::Turn;

impl Exchange {
    /// Called when an attempt has been written completely. `told` is the wait time that its statement states
    /// to the db host.
    pub fn attempt_written(&mut self, turn: &Turn, attempt: AttemptId, told: Option<Micros>) {
        if !attempt.is_forward() {
            self.figures.dispatches += 1;
        }
        let at = turn.clock.now();
        let Some(r) = self.requests.get_mut(&attempt.request) else { return };
        // The client left before anything was written, so this attempt should not have been written.
        if r.client_left_at.is_some() && !r.written {
            self.summary_counts.sent_after_gone += 1;
            self.figures.sent_after_gone += 1;
        }
        r.written = true;
        // Forwarding to another proxy is not an attempt: that proxy checks the rules for the attempts that it
        // makes.
        if attempt.is_forward() {
            return;
        }
        let repeat_until = r.may_have_run_since().and_then(|since| match r.effect {
            Effect::Safe => None,
            Effect::Unsafe => Some(None),
            Effect::Keyed { window, .. } => Some(Some(since + window)),
        });
        let written = WrittenAttempt {
            at,
            remaining_sent: told,
            deadline: r.deadline,
            client_left: r.client_left_at,
            repeat_until,
            settled_at: r.settled_at,
            others_in_flight: r.others_out(attempt.number),
            attempt: attempt.number,
            max_attempts: self.limits.max_attempts,
            second_copies: self.limits.second_copies,
        };
        for rule in written.violations() {
            self.record_violation(turn, rule, Some(attempt));
        }
        self.log_earlier_attempts(turn, attempt, at);
    }

    /// Called when the first byte of an attempt has been written. `told` is the time at which the db host was
    /// reported to accept no new requests, if it was.
    pub fn first_byte_written(&mut self, turn: &Turn, attempt: AttemptId, told: Option<Micros>) {
        if violates_drain(turn.clock.now(), told, self.drain_grace) {
            self.record_violation(turn, Rule::Drain, Some(attempt));
        }
    }

    /// Checks a final answer's time against the request's deadline.
    pub(super) fn check_answer_time(&mut self, turn: &Turn, id: RequestId, reason: Option<FinalReason>) {
        let Some(r) = self.requests.get(&id) else { return };
        // Excluded: requests that expired while queued behind others on their connection, and long answers
        // that are being passed on.
        let counts = reason != Some(FinalReason::Expired) && !r.answer_begun;
        if counts && violates_answer_time(turn.clock.now(), r.deadline) {
            self.record_violation(turn, Rule::AnswerInTime, None);
        }
    }

    /// Counts and logs the violation of a rule. Violations indicate a fault of the proxy.
    pub fn record_violation(&mut self, turn: &Turn, rule: Rule, attempt: Option<AttemptId>) {
        self.figures.violations.record(rule);
        let (request, number) = (attempt.map(|a| a.request.0), attempt.map(|a| a.number));
        error!(turn.log, "a rule was violated"; "number" => number, "request" => request, "rule" => rule.name());
    }

    /// Counts and logs an attempt that the rules did not allow to begin or to be written.
    pub fn record_denial(&mut self, turn: &Turn, attempt: AttemptId, denial: AttemptDenial) {
        *self.figures.denials.entry(denial.name()).or_default() += 1;
        debug!(turn.log, "attempt denied"; "why" => denial.name(), "number" => attempt.number,
            "request" => attempt.request.0);
    }

    /// Counts the result of checking a possibly duplicated answer.
    pub fn record_answer_check(&mut self, turn: &Turn, member: MemberId, found: AnswerCheck) {
        *self.figures.answer_checks.entry(found.name()).or_default() += 1;
        match found {
            AnswerCheck::Own => {}
            AnswerCheck::Duplicate => warn!(turn.log, "db host sent an answer twice"; "member" => member.0),
            AnswerCheck::Unknown => {
                info!(turn.log, "db host did not answer in time whether an answer is a duplicate"; "member" => member.0)
            }
        }
    }

    /// Counts a further attempt by the ending of the one before it, `after`.
    pub(super) fn count_retry(&mut self, after: Option<Ending>) {
        if let Some(ending) = after {
            *self.figures.retries.entry(ending_name(ending)).or_default() += 1;
        }
    }

    /// Counts and logs why a request is not served.
    pub(super) fn record_reason(&mut self, turn: &Turn, id: RequestId, refused: bool, reason: FinalReason) {
        let outcome = if refused { "refused" } else { "failed" };
        *self.figures.unserved.entry((outcome, reason.name())).or_default() += 1;
        let attempts = self.requests.get(&id).map(|r| r.attempts_begun);
        debug!(turn.log, "request not served"; "why" => reason.name(), "outcome" => outcome, "attempts" => attempts,
            "request" => id.0);
    }

    /// Logs all earlier attempts of a request when another one is written.
    pub(super) fn log_earlier_attempts(&self, turn: &Turn, attempt: AttemptId, at: Micros) {
        let Some(r) = self.requests.get(&attempt.request) else { return };
        for earlier in &r.ended_attempts {
            let trace = &earlier.trace;
            debug!(turn.log, "repeat written"; "at" => at, "earlier_ended" => earlier.ended_at,
                "earlier_ending" => ending_name(earlier.ending), "earlier_connection_end" => ?trace.connection_end,
                "earlier_written" => trace.written, "earlier_leased" => trace.leased,
                "earlier_connection" => trace.connection.map(|c| c.0), "earlier_begun" => earlier.begun_at,
                "earlier" => earlier.number, "number" => attempt.number, "request" => attempt.request.0);
        }
    }
}
