//! Jobs for db hosts, attempts and probes: how each begins, is written to a connection, is given up and ends.

use std::io;
use std::rc::Rc;

use leadmast::invariant::Rule;
use leadmast::permission::{
    may_begin_at, may_write, time_to_tell, AttemptDenial, HostStanding, Telling, WriteFacts,
};
use leadmast::{Ending, MemberId, Micros, Probed};
use slog::{debug, info};

use super::connection::{Sending, Server, Stage, Unwritten};
use super::ending::GivenUp;
use super::hosts::Host;
use super::load_report::report_of;
use super::reply::Reply;
use super::Backend;
use crate::deadlines::DeadlineKind;
use crate::exchange::{name, AttemptId, AttemptTrace, Body, ConnectionEnd, Ended, Exchange, Form, Said};
use crate::ids::ServerId;
use crate::pg::{self, sqlstate};
use crate::placing::is_peer;
use crate::turn::Turn;

/// A process may be held up for this long between reading its clock and writing.
const HELD_UP: Micros = 150_000;

/// What a connection is used for.
#[derive(Debug)]
pub(super) enum Job {
    Attempt {
        id: AttemptId,
        body: Rc<Body>,
        since: Micros,
        until: Micros,
        /// Until when it may be written at all; afterwards it may only end.
        write_by: Micros,
        trace: Box<AttemptTrace>,
    },
    Probe {
        since: Micros,
        /// When its last byte was handed to the system.
        written: Option<Micros>,
    },
}

impl Job {
    /// Notes that its last byte was handed to the system.
    pub(super) fn note_written(&mut self, at: Micros) {
        match self {
            Job::Attempt { trace, .. } => trace.written = Some(at),
            Job::Probe { written, .. } => *written = Some(at),
        }
    }

    /// Whether its last byte was handed to the system: until then its db host can't have run it, from then on it may have. The buffer of
    /// its connection tells neither, for the proxy writes messages of its own there.
    pub(super) fn is_written(&self) -> bool {
        match self {
            Job::Attempt { trace, .. } => trace.written.is_some(),
            Job::Probe { written, .. } => written.is_some(),
        }
    }

    /// How it ends where it was written; before, nothing of it can have run, and it ends as `unwritten`.
    pub(super) fn ending_without_answer(&self, written: Ending, unwritten: Ending) -> Ending {
        if self.is_written() {
            written
        } else {
            unwritten
        }
    }

    /// It ends, and this becomes of its connection.
    pub(super) fn leave_connection(&mut self, end: ConnectionEnd) {
        if let Job::Attempt { trace, .. } = self {
            trace.connection_end = end;
        }
    }
}

/// Where a job stands.
#[derive(Clone, Copy, Debug)]
pub(super) enum Place {
    Waiting(MemberId),
    On(ServerId),
}

impl Backend {
    pub(super) fn begin(&mut self, turn: &mut Turn, exchange: &mut Exchange, member: MemberId, job: Job) {
        if let Some(denial) = self.job_denial(turn.now, member, &job) {
            return self.end_denied(turn, exchange, member, job, denial);
        }
        match &job {
            Job::Attempt { id, write_by, .. } => {
                turn.deadlines.set(*write_by, DeadlineKind::Attempt(*id));
                self.attempts.insert(*id, (*write_by, Place::Waiting(member)));
            }
            Job::Probe { since, .. } => {
                let until = since + self.connections.connect_timeout;
                turn.deadlines.set(until, DeadlineKind::Probe(member));
                self.probes.insert(member, (until, Place::Waiting(member)));
            }
        }
        if let Some(id) = self.lease(turn, member) {
            return self.write(turn, exchange, id, job);
        }
        if let Some(host) = self.hosts.get_mut(&member) {
            host.waiting.push_back(job);
        }
        self.open_for_waiting(turn, exchange, member);
    }

    /// Why a job may not begin, or its connection not be used for it.
    pub(super) fn job_denial(&self, now: Micros, member: MemberId, job: &Job) -> Option<AttemptDenial> {
        let host = self.hosts.get(&member).map_or(HostStanding::Unknown, Host::standing);
        let allowed = match job {
            Job::Attempt { until, write_by, .. } => {
                let (until, write_by) = (*until, *write_by);
                may_write(now, &WriteFacts { until, write_by, told_until: None, begun: false, host })
            }
            Job::Probe { .. } => may_begin_at(host),
        };
        allowed.err()
    }

    /// Why more of the request of a connection may not be written.
    pub(super) fn write_denial(&self, now: Micros, id: ServerId) -> Option<AttemptDenial> {
        let s = self.servers.get(&id)?;
        let Stage::Busy { job, .. } = &s.stage else { return None };
        let Job::Attempt { until, write_by, .. } = job else { return None };
        if job.is_written() {
            return None;
        }
        let host = self.hosts.get(&s.member).map_or(HostStanding::Unknown, Host::standing);
        let Sending { told_until, begun, .. } = s.sending;
        may_write(now, &WriteFacts { until: *until, write_by: *write_by, told_until, begun, host }).err()
    }

    /// A job ends that was not written, or not to its end.
    pub(super) fn end_denied(
        &mut self,
        turn: &mut Turn,
        exchange: &mut Exchange,
        member: MemberId,
        job: Job,
        denial: AttemptDenial,
    ) {
        if let Job::Attempt { id, .. } = &job {
            exchange.denied(turn, *id, denial);
        }
        self.end(turn, exchange, member, job, Ending::Moot, Reply::default());
    }

    /// The request of a connection can't be written to its end.
    pub(super) fn unwritten(
        &mut self,
        turn: &mut Turn,
        exchange: &mut Exchange,
        id: ServerId,
        why: Unwritten,
    ) {
        match why {
            Unwritten::Broken(e) => self.connection_failed(turn, exchange, id, &e.to_string()),
            Unwritten::Denied(denial) => {
                let Some((member, job, _)) = self.take_job(id) else { return };
                info!(turn.log, "attempt not written to its end"; "member" => member.0, "why" => denial.name());
                self.close(turn, id);
                self.end_denied(turn, exchange, member, job, denial);
            }
        }
    }

    pub(super) fn write(&mut self, turn: &mut Turn, exchange: &mut Exchange, id: ServerId, mut job: Job) {
        let Some(s) = self.servers.get_mut(&id) else { return };
        if matches!(s.stage, Stage::Idle { until, .. } if turn.clock.now() > until + HELD_UP) {
            exchange.violated(turn, Rule::ExpiredConnection, None);
        }
        let mut sending = Sending::default();
        let begin = s.begin_request();
        let pushed = match &mut job {
            Job::Attempt { id: attempt, body, until, write_by, trace, .. } => {
                (trace.connection, trace.leased) = (Some(id), Some(turn.now));
                if let Some(a) = self.attempts.get_mut(attempt) {
                    turn.deadlines.clear(a.0, DeadlineKind::Attempt(*attempt));
                    let due = (*until).min(*write_by);
                    turn.deadlines.set(due, DeadlineKind::Attempt(*attempt));
                    *a = (due, Place::On(id));
                }
                let (before, after) = body.around_wait();
                let now = turn.clock.now();
                let Telling { told, holds_for } = time_to_tell(*until - now, body.len());
                let told_ms = (told / 1000).max(1);
                // Of a plain statement the db host is told nothing.
                if body.tells_wait() {
                    let told_until = Some(now + holds_for);
                    sending = Sending { told: Some(told_ms * 1000), told_until, begun: false };
                }
                let wait = told_ms.to_string();
                let query = match after {
                    Some(after) => begin.query(&[before, wait.as_bytes(), after]),
                    None => begin.query(&[before]),
                };
                s.outbound.push(&query.0)
            }
            Job::Probe { .. } => {
                if let Some(p) = self.probes.get_mut(&s.member) {
                    p.1 = Place::On(id);
                }
                s.outbound.push(&begin.query(&[b"SHOW pressure"]).0)
            }
        };
        let form = match &job {
            Job::Attempt { body, .. } => body.form,
            Job::Probe { .. } => Form::Value,
        };
        s.stage = Stage::Busy { job, reply: Reply { form, ..Reply::default() }, ready_by: None };
        s.sending = sending;
        let flushed = if pushed {
            self.flush(turn, exchange, id)
        } else {
            Err(Unwritten::Broken(io::Error::other("the request is too long")))
        };
        if let Err(why) = flushed {
            self.unwritten(turn, exchange, id, why);
        }
    }

    /// Whether nothing of an attempt can have reached its db host as a whole statement yet: what the system has taken of it arrives
    /// only once the db host reads.
    pub(super) fn is_unsent(&self, id: AttemptId) -> bool {
        match self.attempts.get(&id) {
            Some((_, Place::Waiting(_))) => true,
            Some((_, Place::On(server))) => self.servers.get(server).is_some_and(Server::holds_unsent_job),
            None => false,
        }
    }

    /// An attempt whose window ends, or the time that it tells, may go on if it has arrived by then; until when it is waited for.
    pub(super) fn goes_on_until(&self, now: Micros, id: AttemptId) -> Option<Micros> {
        let (_, Place::On(server)) = self.attempts.get(&id)? else { return None };
        let Stage::Busy { job: Job::Attempt { until, .. }, .. } = &self.servers.get(server)?.stage else {
            return None;
        };
        (now < *until && !self.is_unsent(id)).then_some(*until)
    }

    /// Stops waiting for an attempt, whose connection can't be used again.
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
        place: Place,
        ending: Ending,
        is_it: impl Fn(&Job) -> bool,
    ) {
        match place {
            Place::Waiting(member) => {
                let Some(host) = self.hosts.get_mut(&member) else { return };
                let Some(at) = host.waiting.iter().position(is_it) else { return };
                let Some(job) = host.waiting.remove(at) else { return };
                // Its connection goes on coming up, for the next one. Of an attempt nothing was sent.
                let ending = match job {
                    // It waited for this machine, and tells nothing of the db host.
                    _ if host.connect_at.is_some() => Ending::Moot,
                    Job::Probe { .. } => ending,
                    Job::Attempt { since, .. } => {
                        unsent_ending(ending, turn.now - since, self.connections.connect_timeout)
                    }
                };
                self.end(turn, exchange, member, job, ending, Reply::default());
            }
            Place::On(id) => {
                let Some((member, job, reply)) = self.take_job(id) else { return };
                // What is whole counts, though ReadyForQuery is still missing.
                let ends = reply.ending().unwrap_or(job.ending_without_answer(ending, Ending::Moot));
                // Nobody waits for what was called off, and no other attempt follows it.
                if ending == Ending::Cancelled {
                    self.close(turn, id);
                    return self.end(turn, exchange, member, job, ends, reply);
                }
                self.end_with_connection(turn, exchange, id, GivenUp { job, ending: ends, reply });
            }
        }
    }

    /// The one place where a job ends: with one outcome.
    pub(super) fn end(
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
                    "member" => member.0, "ending" => name(ending));
                let note = self.hosts.get_mut(&member).and_then(|host| host.note(turn, &reply));
                let said = match ending {
                    Ending::Ok => Said::Answer(reply.bytes),
                    Ending::Error if reply.error.as_deref().is_some_and(sqlstate::is_statement_error) => {
                        Said::Verdict(reply.bytes)
                    }
                    Ending::Error
                        if is_peer(member) && reply.error.as_deref() == Some(sqlstate::PROXY_LEAVING) =>
                    {
                        Said::Leaving
                    }
                    Ending::Error if reply.may_be_copy => Said::Unclear,
                    Ending::Full if reply.error.is_some() => {
                        Said::Refused { retry_after: pg::parse_retry_after(&reply.bytes) }
                    }
                    // A spoilt answer says nothing: handed on, it would leave the client without a word.
                    Ending::Error if reply.error.is_some() => Said::Error(reply.bytes),
                    _ => Said::Nothing,
                };
                self.tell_unshown(turn, exchange, member);
                exchange.ended(turn, Ended { attempt: id, ending, note, said, trace: *trace });
            }
            Job::Probe { since, .. } => {
                if let Some((until, _)) = self.probes.remove(&member) {
                    turn.deadlines.clear(until, DeadlineKind::Probe(member));
                }
                let report = reply.row.filter(|_| ending == Ending::Ok);
                let host = self.hosts.get_mut(&member);
                let report = report.zip(host).and_then(|(row, host)| {
                    report_of(&row, &self.fields, |ms, primary| host.position(turn, ms, primary))
                });
                exchange.probed(turn, Probed { member, ending, elapsed: turn.now - since, report });
                self.tell_unshown(turn, exchange, member);
            }
        }
    }
}

/// How an attempt ends that is given up while its connection comes up. Most are given up before that may take as long
/// as the settings allow: waited for half as long in vain, they tell that the host is out of reach.
pub(super) fn unsent_ending(ending: Ending, waited: Micros, connect_timeout: Micros) -> Ending {
    if ending == Ending::Timeout && waited >= connect_timeout / 2 {
        Ending::ConnectFailed
    } else {
        Ending::Moot
    }
}
