//! Opens one connection for each waiting job, and retries after a pause where the system temporarily lacks
//! resources.

use std::io;

use leadmast::{Ending, MemberId, Micros};
use slog::warn;

use super::reply::Reply;
use super::Backend;
use crate::deadlines::DeadlineKind;
use crate::exchange::Exchange;
use crate::transient::is_transient;
use crate::turn::Turn;

/// Pause before a connect is retried that failed for lack of system resources.
const CONNECT_RETRY_DELAY: Micros = 10_000;

impl Backend {
    /// Opens a connection for the newest waiting job. Where the system temporarily lacks resources, the job
    /// keeps waiting: if its attempt failed at once, all further attempts would follow and fail before the
    /// shortage had passed.
    pub(super) fn open_for_waiting(&mut self, turn: &mut Turn, exchange: &mut Exchange, member: MemberId) {
        match self.open_within_limit(turn, member) {
            Ok(()) => {}
            Err(e) if is_transient(&e) => self.schedule_connect_retry(turn, member, &e),
            Err(e) => {
                warn!(turn.log, "cannot open a connection to a db host"; "error" => e.to_string());
                self.end_latest_waiting(turn, exchange, member);
            }
        }
    }

    /// Retries the connections that could not be opened for lack of system resources.
    pub fn connect_due(&mut self, turn: &mut Turn, exchange: &mut Exchange, member: MemberId) {
        let Some(host) = self.hosts.get_mut(&member) else { return };
        host.retry_connect_at = None;
        for _ in 0..host.waiting.len().saturating_sub(host.starting) {
            self.open_for_waiting(turn, exchange, member);
        }
    }

    /// Opens a connection, and first closes an idle one if the limit is reached.
    fn open_within_limit(&mut self, turn: &mut Turn, member: MemberId) -> io::Result<()> {
        if self.servers.len() >= self.max_connections && !self.close_oldest_idle(turn) {
            return Err(io::Error::other("too many connections"));
        }
        match self.open(turn, member) {
            // The process's limit of file descriptors may be lower than the configured number of connections.
            Err(_) if self.close_oldest_idle(turn) => self.open(turn, member),
            opened => opened,
        }
    }

    fn schedule_connect_retry(&mut self, turn: &mut Turn, member: MemberId, why: &io::Error) {
        let Some(host) = self.hosts.get_mut(&member) else { return };
        if host.retry_connect_at.is_some() {
            return;
        }
        warn!(turn.log, "cannot open a connection to a db host"; "again" => true, "error" => why.to_string());
        let at = turn.now + CONNECT_RETRY_DELAY;
        host.retry_connect_at = Some(at);
        turn.deadlines.set(at, DeadlineKind::RetryConnect(member));
    }

    /// Ends the newest waiting job. The fault is this machine's, not the db host's, and nothing was sent.
    fn end_latest_waiting(&mut self, turn: &mut Turn, exchange: &mut Exchange, member: MemberId) {
        let job = self.hosts.get_mut(&member).and_then(|host| host.waiting.pop_back());
        if let Some(job) = job {
            self.end_job(turn, exchange, member, job, Ending::Moot, Reply::default());
        }
    }
}
