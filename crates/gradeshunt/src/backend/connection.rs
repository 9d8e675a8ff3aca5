//! One connection to a db host: its stages, how it is opened and comes up, and how bytes are written to it.

use std::collections::VecDeque;
use std::io;
use std::net::SocketAddr;

use leadmast::permission::AttemptDenial;
use leadmast::{Ending, MemberId, Micros};

use super::ending::GivenUp;
use super::jobs::Job;
use super::reply::{Reply, Shape};
use super::sync_marker::SyncMarker;
use super::Backend;
use crate::deadlines::DeadlineKind;
use crate::exchange::{AttemptId, ConnectionEnd, Exchange};
use crate::ids::ServerId;
use crate::pg::Writer;
use crate::placing::{is_peer, PEER_USER};
use crate::ring::{Ring, Transfer};
use crate::turn::{EventSource, Polled, Turn};

/// User and database that the proxy names to db hosts, which accept any.
const USER: &str = "portal";
const DATABASE: &str = "crm";
/// The share of a db host's idle time after which a connection is dropped here: well before the host drops
/// it, or a request would be written to a connection that is just being closed.
const IDLE_SHARE: f64 = 0.6;

/// Errors that a connection remembers, in answers: a second copy that comes behind more than these is not known for one.
const ERRORS_KEPT: usize = 8;

/// What the system is to hold at most of what is written to a db host. What it holds is out of the proxy's hands: a db host that
/// reads nothing gets it whenever it reads on, however late that is.
const SEND_BUFFER: usize = 32 * 1024;

#[derive(Debug)]
pub(super) enum Stage {
    /// Coming up: connecting, then exchanging startup messages.
    Starting {
        by: Micros,
    },
    Idle {
        since: Micros,
        until: Micros,
    },
    Busy {
        job: Job,
        reply: Reply,
        /// By when ReadyForQuery has to follow an answer that is whole.
        ready_by: Option<Micros>,
    },
    /// Its attempt was given up and its sending is ended; the attempt counts as out until the db host has ended the connection too.
    Ending {
        given_up: GivenUp,
        by: Micros,
    },
    /// Its job was taken from it; it is reset at once. What the system holds of the request is not delivered any more.
    Spent,
    /// Its job has ended with a whole answer; ReadyForQuery is still to come.
    Trailing {
        by: Micros,
    },
}

/// How far the request of a busy connection is written.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Sending {
    /// The time that it tells its db host, and until when that is true enough.
    pub(super) told: Option<Micros>,
    pub(super) told_until: Option<Micros>,
    /// Its first byte is written.
    pub(super) begun: bool,
}

/// Why a request could not be written to its end.
pub(super) enum Unwritten {
    /// A rule forbids it: nothing of it has run.
    Denied(AttemptDenial),
    Broken(io::Error),
}

pub(super) struct Server {
    pub(super) polled: Polled,
    pub(super) member: MemberId,
    /// Where it leads to: its db host may be listed elsewhere since.
    pub(super) addr: SocketAddr,
    pub(super) inbound: Ring,
    pub(super) outbound: Ring,
    pub(super) stage: Stage,
    pub(super) sending: Sending,
    /// The latest errors that were answers here, with the positions that they told.
    pub(super) errors: VecDeque<(String, f64)>,
    /// What tells the latest answers here from others.
    pub(super) answers: VecDeque<u64>,
    /// A request or a probe was written here.
    pub(super) has_carried_request: bool,
    /// An empty query that is out.
    pub(super) marker: Option<SyncMarker>,
}

impl Server {
    /// Whether a reply is the same as an error that was an answer here before. Positions move on as a rule, so one that stands still between
    /// two errors may be a copy's, which tells nothing of its request.
    pub(super) fn repeats_error(&self, reply: &Reply) -> bool {
        reply.told_error().is_some_and(|error| self.errors.contains(&error))
    }

    /// Remembers an answer, whose second copy may come behind other answers.
    fn remember(&mut self, reply: &Reply) {
        self.remember_answer(reply);
        self.errors.extend(reply.told_error());
        if self.errors.len() > ERRORS_KEPT {
            self.errors.pop_front();
        }
    }

    /// Whether some of what was written here has not left this machine: an answer that comes before is early, and the rest must not
    /// follow it.
    pub(super) fn has_more_to_send(&self) -> bool {
        !self.outbound.is_empty() || self.polled.has_unsent_bytes()
    }

    /// Whether some of its job has not left this machine.
    pub(super) fn holds_unsent_job(&self) -> bool {
        match &self.stage {
            Stage::Busy { job, .. } => !job.is_written() || self.polled.has_unsent_bytes(),
            _ => false,
        }
    }

    /// Whether a long row is being passed on.
    pub(super) fn is_passing(&self) -> bool {
        match &self.stage {
            Stage::Busy { reply, .. } => matches!(reply.shape, Shape::Passing(_)) || reply.is_full(),
            _ => false,
        }
    }
}

impl Backend {
    pub(super) fn open(&mut self, turn: &mut Turn, member: MemberId) -> io::Result<()> {
        let Some(host) = self.hosts.get_mut(&member) else { return Ok(()) };
        let id = ServerId(self.next);
        self.next += 1;
        let polled = Polled::connect(turn, host.addr, EventSource::Server(id))?;
        polled.limit_send_buffer(SEND_BUFFER);
        let by = turn.now + self.connections.connect_timeout;
        let mut s = Server {
            polled,
            member,
            addr: host.addr,
            inbound: Ring::default(),
            outbound: Ring::default(),
            stage: Stage::Starting { by },
            sending: Sending::default(),
            errors: VecDeque::new(),
            answers: VecDeque::new(),
            has_carried_request: false,
            marker: None,
        };
        let startup = if is_peer(member) {
            Writer::default().startup(PEER_USER, DATABASE, Some(&self.own_name))
        } else {
            Writer::default().startup(USER, DATABASE, None)
        };
        if !s.outbound.push(&startup.0) {
            return Err(io::ErrorKind::OutOfMemory.into());
        }
        host.starting += 1;
        host.servers += 1;
        turn.deadlines.set(by, DeadlineKind::Server(id));
        self.servers.insert(id, s);
        Ok(())
    }

    /// A connection has come up, or answered: its job ends, and the oldest waiting one gets it, or else the pool.
    pub(super) fn connection_ready(&mut self, turn: &mut Turn, exchange: &mut Exchange, id: ServerId) {
        let Some((member, former)) = self.make_idle(turn, id) else { return };
        let has_rest = self.has_rest_of_request(id, &former);
        if has_rest {
            self.reset(turn, id);
        }
        if let Stage::Busy { mut job, reply, .. } = former {
            job.leave_connection(if has_rest { ConnectionEnd::Reset } else { ConnectionEnd::Kept });
            let ending = reply.ending().unwrap_or(Ending::Reset);
            self.end(turn, exchange, member, job, ending, reply);
        }
        if has_rest || !self.keep_if_reusable(turn, id) {
            return self.fail_surplus_job(turn, exchange, member, Ending::ConnectFailed);
        }
        self.write_oldest_waiting(turn, exchange, member, id);
    }

    /// Takes a connection into the pool; its db host, and its stage until now.
    fn make_idle(&mut self, turn: &mut Turn, id: ServerId) -> Option<(MemberId, Stage)> {
        let s = self.servers.get_mut(&id)?;
        let member = s.member;
        let until = turn.now + (self.connections.idle as f64 * IDLE_SHARE) as Micros;
        let former = std::mem::replace(&mut s.stage, Stage::Idle { since: turn.now, until });
        turn.deadlines.set(until, DeadlineKind::Server(id));
        let host = self.hosts.get_mut(&member)?;
        host.idle.push(id);
        match &former {
            Stage::Starting { by } => {
                host.starting -= 1;
                turn.deadlines.clear(*by, DeadlineKind::Server(id));
            }
            Stage::Trailing { by } => turn.deadlines.clear(*by, DeadlineKind::Server(id)),
            Stage::Busy { reply, .. } => s.remember(reply),
            Stage::Idle { .. } | Stage::Ending { .. } | Stage::Spent => {}
        }
        Some((member, former))
    }

    /// Whether bytes written before would follow on a connection that is used again. An answer may come before its request is written
    /// whole: the rest must not follow. The system is asked only behind errors: a value was made from the whole request.
    fn has_rest_of_request(&self, id: ServerId, former: &Stage) -> bool {
        let is_error = matches!(former, Stage::Busy { reply, .. } if reply.error.is_some());
        let holds_rest = |s: &Server| !s.outbound.is_empty() || (is_error && s.has_more_to_send());
        self.servers.get(&id).is_some_and(holds_rest)
    }

    /// Closes a connection that may not carry another request; whether it may. What comes behind an answer belongs to no request, least of
    /// all to the next. The answer before it stands; the connection is of no further use.
    fn keep_if_reusable(&mut self, turn: &mut Turn, id: ServerId) -> bool {
        let has_surplus = self.servers.get(&id).is_none_or(|s| !s.inbound.is_empty());
        if has_surplus || self.reuse_denial(turn.now, id).is_some() {
            self.close(turn, id);
            return false;
        }
        true
    }

    /// The oldest job that waits for a connection gets this one, if it may still be written.
    fn write_oldest_waiting(
        &mut self,
        turn: &mut Turn,
        exchange: &mut Exchange,
        member: MemberId,
        id: ServerId,
    ) {
        while let Some(job) = self.hosts.get_mut(&member).and_then(|h| h.waiting.pop_front()) {
            // Events are worked off before deadlines: its own may have passed while the connection came up.
            if let Some(denial) = self.job_denial(turn.now, member, &job) {
                self.end_denied(turn, exchange, member, job, denial);
                continue;
            }
            self.take_idle(turn, id);
            return self.write(turn, exchange, id, job);
        }
    }

    /// Writes what is to be written, as far as the connection takes it and the rules permit it at that moment.
    pub(super) fn flush(
        &mut self,
        turn: &mut Turn,
        exchange: &mut Exchange,
        id: ServerId,
    ) -> Result<(), Unwritten> {
        loop {
            if let Some(denial) = self.write_denial(turn.clock.now(), id) {
                return Err(Unwritten::Denied(denial));
            }
            let Some(s) = self.servers.get_mut(&id) else { return Ok(()) };
            match s.outbound.write_to(&s.polled.socket) {
                Ok(Transfer::Bytes(_)) => self.note_written(turn, exchange, id),
                Ok(_) => return Ok(()),
                // Still connecting.
                Err(e) if e.kind() == io::ErrorKind::NotConnected => return Ok(()),
                Err(e) => return Err(Unwritten::Broken(e)),
            }
        }
    }

    /// Bytes of a job were written: maybe its first, maybe its last. What is written behind its last is the proxy's own.
    fn note_written(&mut self, turn: &mut Turn, exchange: &mut Exchange, id: ServerId) {
        let Some(s) = self.servers.get_mut(&id) else { return };
        let Stage::Busy { job, .. } = &mut s.stage else { return };
        if job.is_written() {
            return;
        }
        let is_last = s.outbound.is_empty();
        if is_last {
            job.note_written(turn.clock.now());
        }
        let Job::Attempt { id: attempt, .. } = *job else { return };
        if !std::mem::replace(&mut s.sending.begun, true) {
            let closed = self.hosts.get(&s.member).and_then(|host| host.closed_since);
            exchange.begun_at_host(turn, attempt, closed);
        }
        if is_last {
            let Sending { told, told_until, .. } = s.sending;
            exchange.dispatched(turn, attempt, told);
            self.look_by(turn, attempt, told_until);
        }
    }

    /// Looks at an attempt at this time, where nothing of it falls due before: what the system still holds then tells its db host too
    /// much time.
    fn look_by(&mut self, turn: &mut Turn, attempt: AttemptId, by: Option<Micros>) {
        let (Some(by), Some((due, _))) = (by, self.attempts.get_mut(&attempt)) else { return };
        if by < *due {
            turn.deadlines.clear(*due, DeadlineKind::Attempt(attempt));
            turn.deadlines.set(by, DeadlineKind::Attempt(attempt));
            *due = by;
        }
    }
}
