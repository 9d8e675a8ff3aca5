//! The server side: connections to db hosts, their pool, attempts and probes.

mod connection;
mod discard;
mod ending;
mod failures;
mod hosts;
mod jobs;
mod load_report;
mod opening;
mod pool;
mod reading;
mod reply;
mod sync_marker;
#[cfg(test)]
mod tests;

use std::collections::BTreeMap;

use leadmast::settings::{Connections, Names};
use leadmast::{Ending, MemberId, Micros};

use self::connection::{Server, Stage};
use self::hosts::Host;
pub use self::hosts::Listed;
use self::jobs::{Job, Place};
use crate::deadlines::DeadlineKind;
use crate::exchange::{AttemptId, Exchange, Order};
use crate::ids::ServerId;
use crate::pg::Malformed;
use crate::turn::Turn;

/// How long no byte of a long answer may move.
const STALL_TIMEOUT: Micros = 5_000_000;

/// The server side.
pub struct Backend {
    connections: Connections,
    fields: Vec<String>,
    most: usize,
    /// Who the proxy is to others of its group.
    own_name: String,
    hosts: BTreeMap<MemberId, Host>,
    servers: BTreeMap<ServerId, Server>,
    attempts: BTreeMap<AttemptId, (Micros, Place)>,
    probes: BTreeMap<MemberId, (Micros, Place)>,
    /// Those that told a position before primaries had shown the distance of the clocks at the start.
    unshown: Vec<MemberId>,
    next: u64,
}

impl Backend {
    pub fn new(connections: Connections, names: &Names) -> Self {
        Backend {
            connections,
            fields: names.fields.clone(),
            most: 0,
            own_name: String::new(),
            hosts: BTreeMap::new(),
            servers: BTreeMap::new(),
            attempts: BTreeMap::new(),
            probes: BTreeMap::new(),
            unshown: Vec::new(),
            next: 0,
        }
    }

    /// Holds `most` connections at most.
    pub fn limit(&mut self, turn: &mut Turn, most: usize) {
        self.most = most;
        while self.servers.len() > most && self.close_oldest_idle(turn) {}
    }

    // ---- Orders ----

    pub fn carry_out(&mut self, turn: &mut Turn, exchange: &mut Exchange, order: Order) {
        match order {
            Order::Start { attempt, member, body, until, write_by } => {
                let write_by = write_by.min(until);
                let job = Job::Attempt {
                    id: attempt,
                    body,
                    since: turn.now,
                    until,
                    write_by,
                    trace: Box::default(),
                };
                self.begin(turn, exchange, member, job);
            }
            // One at a time: the one that is out answers for both.
            Order::Probe(member) if self.probes.contains_key(&member) => {}
            Order::Probe(member) => {
                self.begin(turn, exchange, member, Job::Probe { since: turn.now, written: None });
            }
            Order::Resume(id) => {
                if let Some((_, Place::On(server))) = self.attempts.get(&id).copied() {
                    match self.read(turn, exchange, server) {
                        Ok(()) => self.ready(turn, exchange, server),
                        Err(Malformed(what)) => self.answer_malformed(turn, exchange, server, what),
                    }
                }
            }
            Order::Abandon(id) => self.give_up(turn, exchange, id, Ending::Cancelled),
            Order::Withdraw(id) => {
                if self.is_unsent(id) {
                    self.give_up(turn, exchange, id, Ending::Cancelled);
                }
            }
            Order::CloseIdle(member) => self.close_idle(turn, member),
        }
    }

    // ---- Deadlines ----

    /// An attempt has waited long enough.
    pub fn attempt_due(&mut self, turn: &mut Turn, exchange: &mut Exchange, id: AttemptId) {
        // A long answer that has begun is waited for as long as it moves.
        if let Some((until, Place::On(server))) = self.attempts.get_mut(&id) {
            let passed = self.servers.get(server).and_then(|s| match &s.stage {
                Stage::Busy { reply, .. } => reply.passed,
                _ => None,
            });
            if let Some(at) = passed.map(|at| at + STALL_TIMEOUT).filter(|at| *at > turn.now) {
                *until = at;
                return turn.deadlines.set(at, DeadlineKind::Attempt(id));
            }
        }
        if let (Some(until), Some(attempt)) = (self.goes_on_until(turn.now, id), self.attempts.get_mut(&id)) {
            attempt.0 = until;
            return turn.deadlines.set(until, DeadlineKind::Attempt(id));
        }
        self.give_up(turn, exchange, id, Ending::Timeout);
    }

    pub fn probe_due(&mut self, turn: &mut Turn, exchange: &mut Exchange, member: MemberId) {
        let Some((_, place)) = self.probes.get(&member).copied() else { return };
        // A machine that vanished leaves its connections open and silent: the pool's are no better.
        self.close_idle(turn, member);
        self.cancel_job(turn, exchange, place, Ending::Timeout, |j| matches!(j, Job::Probe { .. }));
    }

    pub fn server_due(&mut self, turn: &mut Turn, exchange: &mut Exchange, id: ServerId) {
        match self.servers.get(&id).map(|s| &s.stage) {
            Some(Stage::Starting { by }) if *by <= turn.now => {
                self.connection_failed(turn, exchange, id, "not up in time")
            }
            Some(Stage::Idle { until, .. }) if *until <= turn.now => self.close(turn, id),
            Some(Stage::Busy { ready_by: Some(by), .. }) if *by <= turn.now => {
                self.end_before_ready(turn, exchange, id)
            }
            Some(Stage::Busy { .. }) if self.is_marker_due(turn.now, id) => {
                self.marker_due(turn, exchange, id)
            }
            Some(Stage::Trailing { by }) if *by <= turn.now => self.close(turn, id),
            Some(Stage::Ending { by, .. }) if *by <= turn.now => self.finish_ending(turn, exchange, id),
            _ => {}
        }
    }
}
