//! Failed connections to db hosts, and what happens to their jobs.

use leadmast::{Ending, MemberId};
use slog::info;

use super::connection::Stage;
use super::ending::AbandonedAttempt;
use super::jobs::Job;
use super::reply::Reply;
use super::Backend;
use crate::exchange::{ConnectionEnd, Exchange};
use crate::ids::ServerId;
use crate::pg::sqlstate;
use crate::turn::Turn;

impl Backend {
    /// Handles a connection that has failed or cannot be used any more.
    pub(super) fn connection_failed(
        &mut self,
        turn: &mut Turn,
        exchange: &mut Exchange,
        id: ServerId,
        why: &str,
    ) {
        if let Some((member, job, reply)) = self.take_job(id) {
            info!(turn.log, "db host connection broke"; "member" => member.0, "why" => why,
                "written" => job.is_written());
            self.close(turn, id);
            let broken = job.ending_without_answer(Ending::Reset, Ending::ConnectFailed);
            let ending = reply.ending().unwrap_or(broken);
            return self.end_job(turn, exchange, member, job, ending, reply);
        }
        let Some(s) = self.servers.get(&id) else { return };
        match s.stage {
            Stage::Starting { .. } => {
                info!(turn.log, "db host connection failed"; "member" => s.member.0, "why" => why);
                self.startup_failed(turn, exchange, id, Ending::ConnectFailed);
            }
            Stage::AwaitsClose { .. } => self.finish_ending(turn, exchange, id),
            _ => self.close(turn, id),
        }
    }

    /// Handles a malformed answer. The request may have run; nothing of the answer is used, and the
    /// connection is given up. A single malformed answer does not make a db host unhealthy.
    pub(super) fn answer_malformed(
        &mut self,
        turn: &mut Turn,
        exchange: &mut Exchange,
        id: ServerId,
        what: &str,
    ) {
        let Some((member, job, reply)) = self.take_job(id) else {
            return self.connection_failed(turn, exchange, id, what);
        };
        info!(turn.log, "malformed answer from a db host"; "member" => member.0, "what" => what);
        let (ending, reply) = match reply.ending() {
            Some(ending) => (ending, reply),
            None => (job.ending_without_answer(Ending::Error, Ending::ConnectFailed), Reply::default()),
        };
        self.end_with_connection(turn, exchange, id, AbandonedAttempt { job, ending, reply });
    }

    /// Handles a duplicate, or possible duplicate, of an earlier error in place of an answer. It says nothing
    /// about its request, which may still be running.
    pub(super) fn handle_copied_error(&mut self, turn: &mut Turn, exchange: &mut Exchange, id: ServerId) {
        let Some((member, job, reply)) = self.take_job(id) else { return };
        self.end_with_connection(turn, exchange, id, AbandonedAttempt { job, ending: Ending::Error, reply });
        self.fail_surplus_job(turn, exchange, member, Ending::ConnectFailed);
    }

    /// Takes the job from a busy connection, with what has arrived of its reply. An answer that is or may be
    /// a duplicate of an earlier one is dropped.
    pub(super) fn take_job(&mut self, id: ServerId) -> Option<(MemberId, Job, Reply)> {
        let s = self.servers.get_mut(&id)?;
        match std::mem::replace(&mut s.stage, Stage::Resetting) {
            Stage::Busy { mut job, reply, .. } => {
                job.set_connection_end(ConnectionEnd::Reset);
                let may_be_copy = s.marker.is_some() || s.repeats_error(&reply) || s.may_be_copy(&reply);
                let reply = if may_be_copy { Reply::default() } else { reply };
                Some((s.member, job, reply))
            }
            other => {
                s.stage = other;
                None
            }
        }
    }

    /// Handles an error in answer to the startup message.
    pub(super) fn startup_refused(
        &mut self,
        turn: &mut Turn,
        exchange: &mut Exchange,
        id: ServerId,
        code: &str,
    ) {
        let member = self.servers.get(&id).map_or(0, |s| s.member.0);
        info!(turn.log, "db host refused a connection"; "member" => member, "code" => code);
        let ending = match code {
            sqlstate::TOO_MANY_CONNECTIONS | sqlstate::CANNOT_CONNECT_NOW => Ending::Full,
            _ => Ending::ConnectFailed,
        };
        self.startup_failed(turn, exchange, id, ending);
    }

    /// Handles a connection that could not be established: ends the oldest waiting job too, unless enough
    /// other connections are still being opened.
    fn startup_failed(&mut self, turn: &mut Turn, exchange: &mut Exchange, id: ServerId, ending: Ending) {
        let Some(member) = self.servers.get(&id).map(|s| s.member) else { return };
        self.close(turn, id);
        self.fail_surplus_job(turn, exchange, member, ending);
    }

    /// Ends the oldest waiting job if fewer connections are being opened than jobs wait.
    pub(super) fn fail_surplus_job(
        &mut self,
        turn: &mut Turn,
        exchange: &mut Exchange,
        member: MemberId,
        ending: Ending,
    ) {
        let Some(host) = self.hosts.get_mut(&member) else { return };
        if host.waiting.len() > host.starting {
            if let Some(job) = host.waiting.pop_front() {
                self.end_job(turn, exchange, member, job, ending, Reply::default());
            }
        }
    }
}
