//! A connection to a db host: its stages, how it is opened, and how bytes are written to it.

use std::collections::VecDeque;
use std::io;
use std::net::SocketAddr;

use leadmast::permission::AttemptDenial;
use leadmast::{Ending, MemberId, Micros};

use super::ending::AbandonedAttempt;
use super::jobs::Job;
use super::reply::{Reply, ReplyProgress};
use super::sync_marker::SyncMarker;
use super::Backend;
use crate::deadlines::DeadlineKind;
use crate::exchange::{AttemptId, ConnectionEnd, Exchange};
use crate::ids::ServerId;
use crate::pg::Writer;
use crate::placing::{is_peer, PEER_USER};
use crate::ring::{Ring, Transfer};
use crate::turn::{EventSource, Polled, Turn};

/// User and database of connections to db hosts, which accept any.
const USER: &str = "portal";
const DATABASE: &str = "crm";
/// The fraction of the db hosts' idle time-out after which this side closes an idle connection: well before
/// the db host does, so that no request is written to a connection that is just being closed.
const IDLE_SHARE: f64 = 0.6;

/// Number of recent error answers that a connection remembers. A duplicate that arrives after more answers is
/// not recognized.
const ERRORS_KEPT: usize = 8;

/// Size of the kernel's send buffer for a connection to a db host. The proxy cannot withdraw bytes in it: a
/// db host that has stopped reading receives them whenever it reads again, however late.
const SEND_BUFFER: usize = 32 * 1024;

#[derive(Debug)]
pub(super) enum Stage {
    /// Connecting, then exchanging startup messages.
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
        /// The time by which ReadyForQuery must follow a complete answer.
        ready_by: Option<Micros>,
    },
    /// Its attempt was given up and the sending direction is shut down. The attempt counts as out until the
    /// db host has closed the connection too.
    AwaitsClose {
        given_up: AbandonedAttempt,
        by: Micros,
    },
    /// Its job was taken, and it is about to be reset, so that the kernel does not deliver the rest of the
    /// request.
    Resetting,
    /// Its job has ended with a complete answer, and ReadyForQuery is still to come.
    AwaitsReady {
        by: Micros,
    },
}

/// How far a busy connection's request has been written.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct WriteProgress {
    /// The wait time that the statement states to the db host, rounded as it is written.
    pub(super) stated_wait: Option<Micros>,
    /// The time until which the stated wait time is accurate enough.
    pub(super) wait_accurate_until: Option<Micros>,
    /// Whether its first byte has been written.
    pub(super) begun: bool,
}

/// Why a request could not be written completely.
pub(super) enum WriteFailure {
    /// A rule forbids it; nothing of the request has run.
    Denied(AttemptDenial),
    Io(io::Error),
}

pub(super) struct HostConnection {
    pub(super) polled: Polled,
    pub(super) member: MemberId,
    /// The address it is connected to. Its db host may be listed under another one by now.
    pub(super) addr: SocketAddr,
    pub(super) inbound: Ring,
    pub(super) outbound: Ring,
    pub(super) stage: Stage,
    pub(super) write_progress: WriteProgress,
    /// The latest error answers on this connection, with the positions that they reported.
    pub(super) errors: VecDeque<(String, f64)>,
    /// Digests of the latest answers on this connection.
    pub(super) answers: VecDeque<u64>,
    /// Whether a request or a probe has been written to this connection.
    pub(super) has_carried_request: bool,
    /// The empty query that is not answered yet, if any.
    pub(super) marker: Option<SyncMarker>,
}

impl HostConnection {
    /// Whether a reply equals an earlier error answer on this connection, including its position. Positions
    /// usually advance, so that an error with an unchanged position may be a duplicate, which says nothing
    /// about its request.
    pub(super) fn repeats_error(&self, reply: &Reply) -> bool {
        reply.error_with_position().is_some_and(|error| self.errors.contains(&error))
    }

    /// Remembers an answer, so that a duplicate that arrives after other answers is recognized.
    fn remember(&mut self, reply: &Reply) {
        self.remember_answer(reply);
        self.errors.extend(reply.error_with_position());
        if self.errors.len() > ERRORS_KEPT {
            self.errors.pop_front();
        }
    }

    /// Whether bytes written to this connection have not left this machine. An answer that arrives before
    /// that is early, and the rest must not be sent after it.
    pub(super) fn has_more_to_send(&self) -> bool {
        !self.outbound.is_empty() || self.polled.has_unsent_bytes()
    }

    /// Whether part of its job has not left this machine.
    pub(super) fn has_unsent_job(&self) -> bool {
        match &self.stage {
            Stage::Busy { job, .. } => !job.is_written() || self.polled.has_unsent_bytes(),
            _ => false,
        }
    }

    /// Whether a long answer is being passed on in parts.
    pub(super) fn is_streaming(&self) -> bool {
        match &self.stage {
            Stage::Busy { reply, .. } => {
                matches!(reply.progress, ReplyProgress::Streaming(_)) || reply.is_full()
            }
            _ => false,
        }
    }
}

impl Backend {
    pub(super) fn open(&mut self, turn: &mut Turn, member: MemberId) -> io::Result<()> {
        let Some(host) = self.hosts.get_mut(&member) else { return Ok(()) };
        let id = ServerId(self.next_connection);
        self.next_connection += 1;
        let polled = Polled::connect(turn, host.addr, EventSource::Server(id))?;
        polled.limit_send_buffer(SEND_BUFFER);
        let by = turn.now + self.connection_settings.connect_timeout;
        let mut s = HostConnection {
            polled,
            member,
            addr: host.addr,
            inbound: Ring::default(),
            outbound: Ring::default(),
            stage: Stage::Starting { by },
            write_progress: WriteProgress::default(),
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

    /// A connection has been established or has received an answer. Ends its job, and uses it for the oldest
    /// waiting job, or else pools it.
    pub(super) fn connection_ready(&mut self, turn: &mut Turn, exchange: &mut Exchange, id: ServerId) {
        let Some((member, former)) = self.make_idle(turn, id) else { return };
        let has_rest = self.has_rest_of_request(id, &former);
        if has_rest {
            self.reset(turn, id);
        }
        if let Stage::Busy { mut job, reply, .. } = former {
            job.set_connection_end(if has_rest { ConnectionEnd::Reset } else { ConnectionEnd::Kept });
            let ending = reply.ending().unwrap_or(Ending::Reset);
            self.end_job(turn, exchange, member, job, ending, reply);
        }
        if has_rest || !self.keep_if_reusable(turn, id) {
            return self.fail_surplus_job(turn, exchange, member, Ending::ConnectFailed);
        }
        self.write_oldest_waiting_job(turn, exchange, member, id);
    }

    /// Puts a connection into the pool. Returns its db host and its previous stage.
    fn make_idle(&mut self, turn: &mut Turn, id: ServerId) -> Option<(MemberId, Stage)> {
        let s = self.servers.get_mut(&id)?;
        let member = s.member;
        let until = turn.now + (self.connection_settings.idle_timeout as f64 * IDLE_SHARE) as Micros;
        let former = std::mem::replace(&mut s.stage, Stage::Idle { since: turn.now, until });
        turn.deadlines.set(until, DeadlineKind::Server(id));
        let host = self.hosts.get_mut(&member)?;
        host.idle.push(id);
        match &former {
            Stage::Starting { by } => {
                host.starting -= 1;
                turn.deadlines.clear(*by, DeadlineKind::Server(id));
            }
            Stage::AwaitsReady { by } => turn.deadlines.clear(*by, DeadlineKind::Server(id)),
            Stage::Busy { reply, .. } => s.remember(reply),
            Stage::Idle { .. } | Stage::AwaitsClose { .. } | Stage::Resetting => {}
        }
        Some((member, former))
    }

    /// Whether bytes of the last request would still be sent if the connection were used again. An answer may
    /// arrive before its request is written completely, and the rest must not be sent. The kernel is asked
    /// only after errors: a value is made from the complete request.
    fn has_rest_of_request(&self, id: ServerId, former: &Stage) -> bool {
        let is_error = matches!(former, Stage::Busy { reply, .. } if reply.error.is_some());
        let holds_rest = |s: &HostConnection| !s.outbound.is_empty() || (is_error && s.has_more_to_send());
        self.servers.get(&id).is_some_and(holds_rest)
    }

    /// Closes a connection that may not be used for another request; returns whether it may. Bytes after an
    /// answer belong to no request, least of all to the next one: the answer before them is valid, but the
    /// connection cannot be used again.
    fn keep_if_reusable(&mut self, turn: &mut Turn, id: ServerId) -> bool {
        let has_surplus = self.servers.get(&id).is_none_or(|s| !s.inbound.is_empty());
        if has_surplus || self.reuse_denial(turn.now, id).is_some() {
            self.close(turn, id);
            return false;
        }
        true
    }

    /// Writes the oldest waiting job that may still be written to this connection.
    fn write_oldest_waiting_job(
        &mut self,
        turn: &mut Turn,
        exchange: &mut Exchange,
        member: MemberId,
        id: ServerId,
    ) {
        while let Some(job) = self.hosts.get_mut(&member).and_then(|h| h.waiting.pop_front()) {
            // Events are handled before deadlines, so that the job's own deadline may have passed while the
            // connection was being opened.
            if let Some(denial) = self.job_denial(turn.now, member, &job) {
                self.end_denied(turn, exchange, member, job, denial);
                continue;
            }
            self.take_idle(turn, id);
            return self.write(turn, exchange, id, job);
        }
    }

    /// Writes outbound bytes as far as the connection takes them and the rules permit at that moment.
    pub(super) fn flush(
        &mut self,
        turn: &mut Turn,
        exchange: &mut Exchange,
        id: ServerId,
    ) -> Result<(), WriteFailure> {
        loop {
            if let Some(denial) = self.write_denial(turn.clock.now(), id) {
                return Err(WriteFailure::Denied(denial));
            }
            let Some(s) = self.servers.get_mut(&id) else { return Ok(()) };
            match s.outbound.write_to(&s.polled.socket) {
                Ok(Transfer::Bytes(_)) => self.note_written(turn, exchange, id),
                Ok(_) => return Ok(()),
                // The connection is not established yet.
                Err(e) if e.kind() == io::ErrorKind::NotConnected => return Ok(()),
                Err(e) => return Err(WriteFailure::Io(e)),
            }
        }
    }

    /// Records that bytes of a job were written, possibly its first or last ones. Bytes after its last one
    /// are the proxy's own.
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
        if !std::mem::replace(&mut s.write_progress.begun, true) {
            let closed = self.hosts.get(&s.member).and_then(|host| host.closed_since);
            exchange.first_byte_written(turn, attempt, closed);
        }
        if is_last {
            let WriteProgress { stated_wait, wait_accurate_until, .. } = s.write_progress;
            exchange.attempt_written(turn, attempt, stated_wait);
            self.bring_deadline_forward(turn, attempt, wait_accurate_until);
        }
    }

    /// Moves an attempt's deadline forward to `by`. From then on, bytes that are still in the kernel's send
    /// buffer state too long a wait time to the db host.
    fn bring_deadline_forward(&mut self, turn: &mut Turn, attempt: AttemptId, by: Option<Micros>) {
        let (Some(by), Some((due, _))) = (by, self.attempts.get_mut(&attempt)) else { return };
        if by < *due {
            turn.deadlines.clear(*due, DeadlineKind::Attempt(attempt));
            turn.deadlines.set(by, DeadlineKind::Attempt(attempt));
            *due = by;
        }
    }
}
