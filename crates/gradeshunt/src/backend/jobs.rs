//! Jobs for db hosts, which are attempts and probes: how a job begins, is written to a connection, is given
//! up and ends.

use std::io;
use std::rc::Rc;

use leadmast::invariant::Rule;
use leadmast::permission::{
    may_begin_at_host, may_write, remaining_time_to_send, AttemptDenial, HostState, RemainingTime, WriteState,
};
use leadmast::{Ending, MemberId, Micros, Probed};
use slog::{debug, info};

use super::connection::{HostConnection, Stage, WriteFailure, WriteProgress};
use super::ending::AbandonedAttempt;
use super::hosts::Host;
use super::load_report::parse_load_report;
use super::reply::Reply;
use super::Backend;
use crate::deadlines::DeadlineKind;
use crate::exchange::{
    ending_name, AnswerForm, AttemptEnd, AttemptId, AttemptTrace, Body, ConnectionEnd, Exchange, HostReply,
};
use crate::ids::ServerId;
use crate::pg::{self, sqlstate};
use crate::placing::is_peer;
use crate::turn::Turn;

/// Time for which the process may be suspended between reading its clock and writing.
const SUSPENSION_TOLERANCE: Micros = 150_000;

/// A use of a connection.
#[derive(Debug)]
pub(super) enum Job {
    Attempt {
        id: AttemptId,
        body: Rc<Body>,
        since: Micros,
        until: Micros,
        /// The time after which nothing of it may be written; it may still be answered.
        write_by: Micros,
        trace: Box<AttemptTrace>,
    },
    Probe {
        since: Micros,
        /// When its last byte was passed to the kernel.
        written: Option<Micros>,
    },
}

impl Job {
    /// Records when its last byte was passed to the kernel.
    pub(super) fn note_written(&mut self, at: Micros) {
        match self {
            Job::Attempt { trace, .. } => trace.written_at = Some(at),
            Job::Probe { written, .. } => *written = Some(at),
        }
    }

    /// Whether its last byte was passed to the kernel. Before, the db host cannot have run it; afterwards it
    /// may have. The connection's outbound buffer does not show this, since the proxy also writes messages of
    /// its own there.
    pub(super) fn is_written(&self) -> bool {
        match self {
            Job::Attempt { trace, .. } => trace.written_at.is_some(),
            Job::Probe { written, .. } => written.is_some(),
        }
    }

    /// The ending of a job without an answer: `written` if the job was written completely, else `unwritten`,
    /// since nothing of it can have run.
    pub(super) fn ending_without_answer(&self, written: Ending, unwritten: Ending) -> Ending {
        if self.is_written() {
            written
        } else {
            unwritten
        }
    }

    /// Records the state of its connection at its end.
    pub(super) fn set_connection_end(&mut self, end: ConnectionEnd) {
        if let Job::Attempt { trace, .. } = self {
            trace.connection_end = end;
        }
    }
}

/// The place of a job: in a db host's queue for a connection, or on a connection.
#[derive(Clone, Copy, Debug)]
pub(super) enum JobPlace {
    Waiting(MemberId),
    On(ServerId),
}

impl Backend {
    pub(super) fn begin_job(&mut self, turn: &mut Turn, exchange: &mut Exchange, member: MemberId, job: Job) {
        if let Some(denial) = self.job_denial(turn.now, member, &job) {
            return self.end_denied(turn, exchange, member, job, denial);
        }
        match &job {
            Job::Attempt { id, write_by, .. } => {
                turn.deadlines.set(*write_by, DeadlineKind::Attempt(*id));
                self.attempts.insert(*id, (*write_by, JobPlace::Waiting(member)));
            }
            Job::Probe { since, .. } => {
                let until = since + self.connection_settings.connect_timeout;
                turn.deadlines.set(until, DeadlineKind::Probe(member));
                self.probes.insert(member, (until, JobPlace::Waiting(member)));
            }
        }
        if let Some(id) = self.take_reusable(turn, member) {
            return self.write(turn, exchange, id, job);
        }
        if let Some(host) = self.hosts.get_mut(&member) {
            host.waiting.push_back(job);
        }
        self.open_for_waiting_job(turn, exchange, member);
    }

    /// Why a job may not begin or be written to a connection, or `None` if it may.
    pub(super) fn job_denial(&self, now: Micros, member: MemberId, job: &Job) -> Option<AttemptDenial> {
        let host = self.hosts.get(&member).map_or(HostState::Unknown, Host::standing);
        let allowed = match job {
            Job::Attempt { until, write_by, .. } => {
                let (until, write_by) = (*until, *write_by);
                may_write(
                    now,
                    &WriteState {
                        answer_deadline: until,
                        write_by,
                        remaining_valid_until: None,
                        first_byte_written: false,
                        host,
                    },
                )
            }
            Job::Probe { .. } => may_begin_at_host(host),
        };
        allowed.err()
    }

    /// Why the rest of a connection's request may not be written, or `None` if it may.
    pub(super) fn write_denial(&self, now: Micros, id: ServerId) -> Option<AttemptDenial> {
        let s = self.connections.get(&id)?;
        let Stage::Busy { job, .. } = &s.stage else { return None };
        let Job::Attempt { until, write_by, .. } = job else { return None };
        if job.is_written() {
            return None;
        }
        let host = self.hosts.get(&s.member).map_or(HostState::Unknown, Host::standing);
        let WriteProgress { wait_accurate_until: told_until, begun, .. } = s.write_progress;
        may_write(
            now,
            &WriteState {
                answer_deadline: *until,
                write_by: *write_by,
                remaining_valid_until: told_until,
                first_byte_written: begun,
                host,
            },
        )
        .err()
    }

    /// Ends a job that was not written or not written completely.
    pub(super) fn end_denied(
        &mut self,
        turn: &mut Turn,
        exchange: &mut Exchange,
        member: MemberId,
        job: Job,
        denial: AttemptDenial,
    ) {
        if let Job::Attempt { id, .. } = &job {
            exchange.record_denial(turn, *id, denial);
        }
        self.end_job(turn, exchange, member, job, Ending::Moot, Reply::default());
    }

    /// Handles a request that cannot be written completely.
    pub(super) fn write_failed(
        &mut self,
        turn: &mut Turn,
        exchange: &mut Exchange,
        id: ServerId,
        why: WriteFailure,
    ) {
        match why {
            WriteFailure::Io(e) => self.connection_failed(turn, exchange, id, &e.to_string()),
            WriteFailure::Denied(denial) => {
                let Some((member, job, _)) = self.take_job(id) else { return };
                info!(turn.log, "attempt not fully written"; "member" => member.0, "why" => denial.name());
                self.close(turn, id);
                self.end_denied(turn, exchange, member, job, denial);
            }
        }
    }

    pub(super) fn write(&mut self, turn: &mut Turn, exchange: &mut Exchange, id: ServerId, mut job: Job) {
        let Some(s) = self.connections.get_mut(&id) else { return };
        if matches!(s.stage, Stage::Idle { until, .. } if turn.clock.now() > until + SUSPENSION_TOLERANCE) {
            exchange.record_violation(turn, Rule::ExpiredConnection, None);
        }
        let mut write_progress = WriteProgress::default();
        let begin = s.begin_request();
        let pushed = match &mut job {
            Job::Attempt { id: attempt, body, until, write_by, trace, .. } => {
                (trace.connection, trace.assigned_at) = (Some(id), Some(turn.now));
                if let Some(a) = self.attempts.get_mut(attempt) {
                    turn.deadlines.clear(a.0, DeadlineKind::Attempt(*attempt));
                    let due = (*until).min(*write_by);
                    turn.deadlines.set(due, DeadlineKind::Attempt(*attempt));
                    *a = (due, JobPlace::On(id));
                }
                let (before, after) = body.split_at_wait();
                let now = turn.clock.now();
                let RemainingTime { remaining, valid_for: holds_for } =
                    remaining_time_to_send(*until - now, body.len());
                let wait_ms = (remaining / 1000).max(1);
                // A plain statement does not tell the db host how long the client waits.
                if body.states_wait() {
                    let wait_accurate_until = Some(now + holds_for);
                    write_progress = WriteProgress {
                        stated_wait: Some(wait_ms * 1000),
                        wait_accurate_until,
                        begun: false,
                    };
                }
                let wait = wait_ms.to_string();
                let query = match after {
                    Some(after) => begin.query(&[before, wait.as_bytes(), after]),
                    None => begin.query(&[before]),
                };
                s.outbound.push(&query.0)
            }
            Job::Probe { .. } => {
                if let Some(p) = self.probes.get_mut(&s.member) {
                    p.1 = JobPlace::On(id);
                }
                s.outbound.push(&begin.query(&[b"SHOW pressure"]).0)
            }
        };
        let form = match &job {
            Job::Attempt { body, .. } => body.form,
            Job::Probe { .. } => AnswerForm::Value,
        };
        s.stage = Stage::Busy { job, reply: Reply { form, ..Reply::default() }, ready_by: None };
        s.write_progress = write_progress;
        let flushed = if pushed {
            self.flush(turn, exchange, id)
        } else {
            Err(WriteFailure::Io(io::Error::other("the request is too long")))
        };
        if let Err(why) = flushed {
            self.write_failed(turn, exchange, id, why);
        }
    }

    /// Whether the db host cannot have received an attempt completely yet: bytes in the kernel's send buffer
    /// arrive only once the db host reads.
    pub(super) fn is_unsent(&self, id: AttemptId) -> bool {
        match self.attempts.get(&id) {
            Some((_, JobPlace::Waiting(_))) => true,
            Some((_, JobPlace::On(server))) => {
                self.connections.get(server).is_some_and(HostConnection::has_unsent_job)
            }
            None => false,
        }
    }

    /// The time until which an attempt is waited for if it has been sent completely. Such an attempt may
    /// outlast the window for writing it and the wait time that its statement states.
    pub(super) fn awaited_until(&self, now: Micros, id: AttemptId) -> Option<Micros> {
        let (_, JobPlace::On(server)) = self.attempts.get(&id)? else { return None };
        let Stage::Busy { job: Job::Attempt { until, .. }, .. } = &self.connections.get(server)?.stage else {
            return None;
        };
        (now < *until && !self.is_unsent(id)).then_some(*until)
    }

    /// Stops waiting for an attempt. Its connection cannot be used again.
    pub(super) fn give_up(
        &mut self,
        turn: &mut Turn,
        exchange: &mut Exchange,
        id: AttemptId,
        ending: Ending,
    ) {
        let Some((_, place)) = self.attempts.get(&id).copied() else { return };
        self.cancel_job(
            turn,
            exchange,
            place,
            ending,
            |j| matches!(j, Job::Attempt { id: i, .. } if *i == id),
        );
    }

    pub(super) fn cancel_job(
        &mut self,
        turn: &mut Turn,
        exchange: &mut Exchange,
        place: JobPlace,
        ending: Ending,
        is_match: impl Fn(&Job) -> bool,
    ) {
        match place {
            JobPlace::Waiting(member) => {
                let Some(host) = self.hosts.get_mut(&member) else { return };
                let Some(at) = host.waiting.iter().position(is_match) else { return };
                let Some(job) = host.waiting.remove(at) else { return };
                // Its connection keeps connecting, for the next job. Nothing of an attempt was sent.
                let ending = match job {
                    // The job waited for this machine's resources, which says nothing about the db host.
                    _ if host.retry_connect_at.is_some() => Ending::Moot,
                    Job::Probe { .. } => ending,
                    Job::Attempt { since, .. } => {
                        unsent_ending(ending, turn.now - since, self.connection_settings.connect_timeout)
                    }
                };
                self.end_job(turn, exchange, member, job, ending, Reply::default());
            }
            JobPlace::On(id) => {
                let Some((member, job, reply)) = self.take_job(id) else { return };
                // A complete answer counts even though ReadyForQuery is missing.
                let job_ending = reply.ending().unwrap_or(job.ending_without_answer(ending, Ending::Moot));
                // Nobody waits for a cancelled attempt, and no other attempt follows it.
                if ending == Ending::Cancelled {
                    self.close(turn, id);
                    return self.end_job(turn, exchange, member, job, job_ending, reply);
                }
                self.abandon_with_connection(
                    turn,
                    exchange,
                    id,
                    AbandonedAttempt { job, ending: job_ending, reply },
                );
            }
        }
    }

    /// Ends a job and reports its one outcome. All jobs end here.
    pub(super) fn end_job(
        &mut self,
        turn: &mut Turn,
        exchange: &mut Exchange,
        member: MemberId,
        job: Job,
        ending: Ending,
        reply: Reply,
    ) {
        match job {
            Job::Attempt { id, trace, .. } => {
                if let Some((until, _)) = self.attempts.remove(&id) {
                    turn.deadlines.clear(until, DeadlineKind::Attempt(id));
                }
                debug!(turn.log, "attempt ended"; "request" => id.request.0, "number" => id.number,
                    "member" => member.0, "ending" => ending_name(ending));
                let note = self.hosts.get_mut(&member).and_then(|host| host.note(turn, &reply));
                let host_reply = match ending {
                    Ending::Ok => HostReply::Answer(reply.bytes),
                    Ending::Error if reply.error.as_deref().is_some_and(sqlstate::is_statement_error) => {
                        HostReply::StatementError(reply.bytes)
                    }
                    Ending::Error
                        if is_peer(member) && reply.error.as_deref() == Some(sqlstate::PROXY_LEAVING) =>
                    {
                        HostReply::ShuttingDown
                    }
                    Ending::Error if reply.may_be_duplicate => HostReply::PossibleDuplicate,
                    Ending::Full if reply.error.is_some() => {
                        HostReply::Refused { retry_after: pg::parse_retry_after(&reply.bytes) }
                    }
                    Ending::Miss if reply.error.as_deref() == Some(sqlstate::READ_ONLY) => {
                        HostReply::ReadOnly
                    }
                    // A malformed answer is not passed on: its error message may be incomplete, and the
                    // client would get no usable answer.
                    Ending::Error if reply.error.is_some() => HostReply::Error(reply.bytes),
                    _ => HostReply::Nothing,
                };
                self.report_verified_positions(turn, exchange, member);
                exchange.attempt_ended(
                    turn,
                    AttemptEnd { attempt: id, ending, note, reply: host_reply, trace: *trace },
                );
            }
            Job::Probe { since, .. } => {
                if let Some((until, _)) = self.probes.remove(&member) {
                    turn.deadlines.clear(until, DeadlineKind::Probe(member));
                }
                let report = reply.row.filter(|_| ending == Ending::Ok);
                let host = self.hosts.get_mut(&member);
                let report = report.zip(host).and_then(|(row, host)| {
                    parse_load_report(&row, &self.fields, |ms, primary| {
                        host.convert_position(turn, ms, primary)
                    })
                });
                exchange.probe_ended(turn, Probed { member, ending, elapsed: turn.now - since, report });
                self.report_verified_positions(turn, exchange, member);
            }
        }
    }
}

/// The ending of an attempt that is given up while its connection is being opened. Most attempts are given up
/// before the connect time-out, so half of that time without a connection already counts as a failed connect:
/// otherwise a host that is out of reach would never be noticed.
pub(super) fn unsent_ending(ending: Ending, waited: Micros, connect_timeout: Micros) -> Ending {
    if ending == Ending::Timeout && waited >= connect_timeout / 2 {
        Ending::ConnectFailed
    } else {
        Ending::Moot
    }
}
