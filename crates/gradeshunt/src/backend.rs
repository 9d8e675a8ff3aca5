//! The backend: connections to db hosts and their pool, attempts and probes.

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

use leadmast::settings::{ConnectionSettings, Names};
use leadmast::{Ending, MemberId, Micros};

use self::connection::{HostConnection, Stage};
use self::hosts::Host;
pub use self::hosts::ListedHost;
use self::jobs::{Job, JobPlace};
use crate::deadlines::DeadlineKind;
use crate::exchange::{AttemptId, BackendCommand, Exchange};
use crate::ids::ServerId;
use crate::turn::{EventSource, Turn};

/// A long answer is given up after this time without progress.
const STALL_TIMEOUT: Micros = 5_000_000;

/// Runs attempts and probes on connections to db hosts and, for forwarded requests, to other proxies.
pub struct Backend {
    connection_settings: ConnectionSettings,
    fields: Vec<String>,
    max_connections: usize,
    /// The name by which the other proxies of the group know this one.
    own_name: String,
    hosts: BTreeMap<MemberId, Host>,
    connections: BTreeMap<ServerId, HostConnection>,
    attempts: BTreeMap<AttemptId, (Micros, JobPlace)>,
    probes: BTreeMap<MemberId, (Micros, JobPlace)>,
    /// Db hosts that reported a position before primaries had shown the offset between the clocks.
    unverified_positions: Vec<MemberId>,
    next_connection: u64,
}

impl Backend {
    pub fn new(connections: ConnectionSettings, names: &Names) -> Self {
        Backend {
            connection_settings: connections,
            fields: names.fields.clone(),
            max_connections: 0,
            own_name: String::new(),
            hosts: BTreeMap::new(),
            connections: BTreeMap::new(),
            attempts: BTreeMap::new(),
            probes: BTreeMap::new(),
            unverified_positions: Vec::new(),
            next_connection: 0,
        }
    }

    /// Sets the maximum number of connections, and closes idle ones above it.
    pub fn set_max_connections(&mut self, turn: &mut Turn, most: usize) {
        self.max_connections = most;
        while self.connections.len() > most && self.close_oldest_idle(turn) {}
    }

    // ---- Commands ----

    pub fn execute(&mut self, turn: &mut Turn, exchange: &mut Exchange, command: BackendCommand) {
        match command {
            BackendCommand::Start { attempt, member, body, until, write_by } => {
                let write_by = write_by.min(until);
                let job = Job::Attempt {
                    id: attempt,
                    body,
                    since: turn.now,
                    until,
                    write_by,
                    trace: Box::default(),
                };
                self.begin_job(turn, exchange, member, job);
            }
            // One probe at a time per db host: the one that is out answers this one too.
            BackendCommand::Probe(member) if self.probes.contains_key(&member) => {}
            BackendCommand::Probe(member) => {
                self.begin_job(turn, exchange, member, Job::Probe { since: turn.now, written: None });
            }
            BackendCommand::Resume(id) => {
                // In a share of its own: a client that reads as fast as its db host sends would have the whole
                // answer passed on at once.
                if let Some((_, JobPlace::On(server))) = self.attempts.get(&id) {
                    turn.defer(EventSource::Server(*server));
                }
            }
            BackendCommand::Cancel(id) => self.give_up(turn, exchange, id, Ending::Cancelled),
            BackendCommand::CancelIfUnsent(id) => {
                if self.is_unsent(id) {
                    self.give_up(turn, exchange, id, Ending::Cancelled);
                }
            }
            BackendCommand::CloseIdle(member) => self.close_idle(turn, member),
        }
    }

    // ---- Deadlines ----

    /// The time limit of an attempt has passed.
    pub fn attempt_due(&mut self, turn: &mut Turn, exchange: &mut Exchange, id: AttemptId) {
        // A long answer that has begun is read for as long as it makes progress.
        if let Some((until, JobPlace::On(server))) = self.attempts.get_mut(&id) {
            let last_passed_on = self.connections.get(server).and_then(|s| match &s.stage {
                Stage::Busy { reply, .. } => reply.last_passed_on,
                _ => None,
            });
            if let Some(at) = last_passed_on.map(|at| at + STALL_TIMEOUT).filter(|at| *at > turn.now) {
                *until = at;
                return turn.deadlines.set(at, DeadlineKind::Attempt(id));
            }
        }
        if let (Some(until), Some(attempt)) = (self.awaited_until(turn.now, id), self.attempts.get_mut(&id)) {
            attempt.0 = until;
            return turn.deadlines.set(until, DeadlineKind::Attempt(id));
        }
        self.give_up(turn, exchange, id, Ending::Timeout);
    }

    pub fn probe_due(&mut self, turn: &mut Turn, exchange: &mut Exchange, member: MemberId) {
        let Some((_, place)) = self.probes.get(&member).copied() else { return };
        // A machine that has vanished leaves its connections open but silent, and the pooled ones are no
        // better than the probe's.
        self.close_idle(turn, member);
        self.cancel_job(turn, exchange, place, Ending::Timeout, |j| matches!(j, Job::Probe { .. }));
    }

    pub fn connection_due(&mut self, turn: &mut Turn, exchange: &mut Exchange, id: ServerId) {
        match self.connections.get(&id).map(|s| &s.stage) {
            Some(Stage::Starting { by }) if *by <= turn.now => {
                self.connection_failed(turn, exchange, id, "connecting timed out")
            }
            Some(Stage::Idle { until, .. }) if *until <= turn.now => self.close(turn, id),
            Some(Stage::Busy { ready_by: Some(by), .. }) if *by <= turn.now => {
                self.end_without_ready(turn, exchange, id)
            }
            Some(Stage::Busy { .. }) if self.is_marker_due(turn.now, id) => {
                self.marker_timed_out(turn, exchange, id)
            }
            Some(Stage::AwaitsReady { by }) if *by <= turn.now => self.close(turn, id),
            Some(Stage::AwaitsClose { by, .. }) if *by <= turn.now => {
                self.finish_abandoned(turn, exchange, id)
            }
            _ => {}
        }
    }
}
