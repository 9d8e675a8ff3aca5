//! The rules as invariants: what was done is judged by what was true when it was done, and violations are counted by rule.
//!
//! [`permission`](crate::permission) says beforehand what may be done. Here the same rules are stated from the other side, from
//! times taken at the system call itself, so that a path that did not ask, or acted late on the answer it got, is found. No
//! I/O and no clock. A sound program counts none.

use crate::interface::Micros;

/// A client may have left this long before an attempt of its request begins.
const LEFT_GRACE: Micros = 100_000;
/// The time told to a db host may exceed what is left to the client by this much.
const TOLD_SLACK: Micros = 150_000;
/// A final answer may come this long after its request's time.
const ANSWER_SLACK: Micros = 500_000;

/// A rule that can be violated.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rule {
    /// One attempt is out at a time, unless settings allow a second copy.
    OneAttempt,
    /// No more attempts of a request than the settings allow.
    AttemptLimit,
    /// What may have run is repeated only within its window, and never where its class forbids it.
    Repeat,
    /// Nothing new goes to a draining or gone host after the grace.
    Drain,
    /// No attempt begins long after its client has left.
    ClientLeft,
    /// The time told to a db host is no more than what its client has left.
    DeadlineTold,
    /// A request has its final answer in its time.
    AnswerInTime,
    /// No connection is closed by the proxy over a request that it has read and not answered.
    ClosedUnanswered,
    /// No pooled connection is used after its db host may have dropped it.
    ExpiredConnection,
}

/// How many rules there are.
const RULES: usize = 9;

impl Rule {
    /// All of them.
    pub const ALL: [Rule; RULES] = [
        Rule::OneAttempt,
        Rule::AttemptLimit,
        Rule::Repeat,
        Rule::Drain,
        Rule::ClientLeft,
        Rule::DeadlineTold,
        Rule::AnswerInTime,
        Rule::ClosedUnanswered,
        Rule::ExpiredConnection,
    ];

    /// Its name in the log and the figures.
    pub fn name(self) -> &'static str {
        match self {
            Rule::OneAttempt => "one_attempt",
            Rule::AttemptLimit => "attempt_limit",
            Rule::Repeat => "repeat",
            Rule::Drain => "drain",
            Rule::ClientLeft => "client_left",
            Rule::DeadlineTold => "deadline_told",
            Rule::AnswerInTime => "answer_in_time",
            Rule::ClosedUnanswered => "closed_unanswered",
            Rule::ExpiredConnection => "expired_connection",
        }
    }
}

/// How often each rule was violated.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Violations([u64; RULES]);

impl Violations {
    /// Counts a violation.
    pub fn record(&mut self, rule: Rule) {
        self.0[rule as usize] += 1;
    }

    /// How often this rule was violated.
    pub fn of(&self, rule: Rule) -> u64 {
        self.0[rule as usize]
    }

    /// Each rule with its count.
    pub fn by_rule(&self) -> impl Iterator<Item = (Rule, u64)> + '_ {
        Rule::ALL.into_iter().map(|rule| (rule, self.of(rule)))
    }

    /// All violations.
    pub fn sum(&self) -> u64 {
        self.0.iter().sum()
    }
}

/// An attempt whose last byte was handed to the system at `at`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Written {
    /// When that was.
    pub at: Micros,
    /// The time that it tells its db host, where it tells one.
    pub told: Option<Micros>,
    /// When its client gives up.
    pub deadline: Micros,
    /// When its client left, if it has.
    pub client_left: Option<Micros>,
    /// Until when it may run, where an earlier attempt may have: `Some(None)` where it never may.
    pub repeat_until: Option<Option<Micros>>,
    /// When the closes of its request's earlier connections have settled, where any was closed.
    pub settled_at: Option<Micros>,
    /// Attempts of its request that were out beside it.
    pub others_out: u32,
    /// Its number, from 0 on.
    pub number: u32,
    /// How many attempts the settings allow.
    pub attempts: u32,
    /// Whether they allow a second one beside the first.
    pub second_copies: bool,
}

impl Written {
    /// The rules that it violates.
    pub fn violations(&self) -> Vec<Rule> {
        let told_too_much = self.told.is_some_and(|told| self.at + told > self.deadline + TOLD_SLACK);
        let left_before = self.client_left.is_some_and(|left| self.at > left + LEFT_GRACE);
        let repeated = match self.repeat_until {
            None => false,
            Some(None) => true,
            Some(Some(until)) => self.at > until,
        };
        let beside_another = self.others_out > 0 || self.settled_at.is_some_and(|settled| self.at < settled);
        let found = [
            (Rule::OneAttempt, beside_another && !self.second_copies),
            (Rule::AttemptLimit, self.number >= self.attempts),
            (Rule::Repeat, repeated),
            (Rule::ClientLeft, left_before),
            (Rule::DeadlineTold, told_too_much),
        ];
        found.into_iter().filter(|(_, violated)| *violated).map(|(rule, _)| rule).collect()
    }
}

/// Whether the first byte of an attempt, written at `at`, violates the rule on drains: its db host was told to drain, or to be
/// gone, at `told`.
pub fn violates_drain(at: Micros, told: Option<Micros>, grace: Micros) -> bool {
    told.is_some_and(|told| at > told + grace)
}

/// Whether a final answer given at `at` comes too late for a client that gives up at `deadline`.
pub fn violates_answer_time(at: Micros, deadline: Micros) -> bool {
    at > deadline + ANSWER_SLACK
}
