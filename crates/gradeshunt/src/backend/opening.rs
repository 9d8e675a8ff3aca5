//! Connections are opened for jobs that wait, one for each: again after a while where the system lacks something for it.

use std::io;

use leadmast::{Ending, MemberId, Micros};
use slog::warn;

use super::reply::Reply;
use super::Backend;
use crate::deadlines::DeadlineKind;
use crate::exchange::Exchange;
use crate::transient::is_transient;
use crate::turn::Turn;

/// Pause before another try where the system lacked something for a connection.
const CONNECT_PAUSE: Micros = 10_000;

impl Backend {
    /// Opens a connection for the job that has come last to wait for one. Where the system lacks something for that it goes on
    /// waiting: an attempt that failed at once would be followed by all others before the want has passed.
    pub(super) fn open_for_waiting(&mut self, turn: &mut Turn, exchange: &mut Exchange, member: MemberId) {
        match self.open_with_room(turn, member) {
            Ok(()) => {}
            Err(e) if is_transient(&e) => self.connect_later(turn, member, &e),
            Err(e) => {
                warn!(turn.log, "no connection to spare for a db host"; "error" => e.to_string());
                self.end_latest_waiting(turn, exchange, member);
            }
        }
    }

    /// It is time to open those connections again for which the system lacked something.
    pub fn connect_due(&mut self, turn: &mut Turn, exchange: &mut Exchange, member: MemberId) {
        let Some(host) = self.hosts.get_mut(&member) else { return };
        host.connect_at = None;
        for _ in 0..host.waiting.len().saturating_sub(host.starting) {
            self.open_for_waiting(turn, exchange, member);
        }
    }

    /// Opens a connection, and closes an idle one for it where there is no room.
    fn open_with_room(&mut self, turn: &mut Turn, member: MemberId) -> io::Result<()> {
        if self.servers.len() >= self.most && !self.close_oldest_idle(turn) {
            return Err(io::Error::other("too many connections"));
        }
        match self.open(turn, member) {
            // The system may have fewer descriptors than the configuration says.
            Err(_) if self.close_oldest_idle(turn) => self.open(turn, member),
            opened => opened,
        }
    }

    fn connect_later(&mut self, turn: &mut Turn, member: MemberId, why: &io::Error) {
        let Some(host) = self.hosts.get_mut(&member) else { return };
        if host.connect_at.is_some() {
            return;
        }
        warn!(turn.log, "no connection to spare for a db host"; "again" => true, "error" => why.to_string());
        let at = turn.now + CONNECT_PAUSE;
        host.connect_at = Some(at);
        turn.deadlines.set(at, DeadlineKind::RetryConnect(member));
    }

    /// The latest waiting job ends: the fault is this machine's, not the db host's, and nothing was sent.
    fn end_latest_waiting(&mut self, turn: &mut Turn, exchange: &mut Exchange, member: MemberId) {
        let job = self.hosts.get_mut(&member).and_then(|host| host.waiting.pop_back());
        if let Some(job) = job {
            self.end(turn, exchange, member, job, Ending::Moot, Reply::default());
        }
    }
}
