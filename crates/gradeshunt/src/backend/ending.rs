//! Connections whose attempt was given up. The proxy shuts down its sending direction, and the attempt counts
//! as out until the db host has closed its own direction.
//!
//! TCP does not order bytes of different connections. A db host that has closed a connection has noticed the
//! end of the attempt there. Otherwise it may handle another connection's bytes first, and see two attempts
//! of one request at once.

use std::net::Shutdown;

use leadmast::{Ending, Micros};
use slog::debug;

use super::connection::{HostConnection, Stage};
use super::jobs::Job;
use super::reply::Reply;
use super::Backend;
use crate::deadlines::DeadlineKind;
use crate::exchange::Exchange;
use crate::ids::ServerId;
use crate::turn::{EventSource, Turn};

/// Time to wait for the db host to close its side. A db host that hangs, or works without reading, never
/// does.
pub(super) const HOST_END_TIMEOUT: Micros = 10_000;

/// An attempt that was given up, as it will be reported to the exchange.
#[derive(Debug)]
pub(super) struct AbandonedAttempt {
    pub(super) job: Job,
    pub(super) ending: Ending,
    pub(super) reply: Reply,
}

impl HostConnection {
    /// Shuts down the sending direction, if all of the request has left this machine: otherwise the shutdown
    /// would deliver the rest.
    fn end_sending(&self) -> bool {
        !self.has_more_to_send() && self.polled.socket.shutdown(Shutdown::Write).is_ok()
    }
}

impl Backend {
    /// Gives up an attempt that was taken from its connection. Where another attempt may follow, it ends once
    /// the db host has closed the connection; else, or if the db host takes too long, with a reset.
    pub(super) fn abandon_with_connection(
        &mut self,
        turn: &mut Turn,
        exchange: &mut Exchange,
        id: ServerId,
        given_up: AbandonedAttempt,
    ) {
        let Some(s) = self.connections.get_mut(&id) else { return };
        let by = turn.now + HOST_END_TIMEOUT;
        let may_be_followed = match &given_up.job {
            Job::Attempt { id, .. } => exchange.may_be_followed(*id, by),
            Job::Probe { .. } => false,
        };
        let awaits_end = may_be_followed && s.end_sending();
        s.stage = Stage::AwaitsClose { given_up, by };
        if awaits_end {
            turn.deadlines.set(by, DeadlineKind::Server(id));
            // The db host's end may already have been signalled without having been read; it is not signalled
            // again.
            turn.defer(EventSource::Server(id));
        } else {
            self.finish_abandoned(turn, exchange, id);
        }
    }

    /// The db host has closed the connection of an attempt that was given up, or has not done so in time:
    /// resets the connection and ends the attempt.
    pub(super) fn finish_abandoned(&mut self, turn: &mut Turn, exchange: &mut Exchange, id: ServerId) {
        let Some(s) = self.connections.get_mut(&id) else { return };
        let member = s.member;
        let (given_up, by) = match std::mem::replace(&mut s.stage, Stage::Resetting) {
            Stage::AwaitsClose { given_up, by } => (given_up, by),
            other => return s.stage = other,
        };
        turn.deadlines.clear(by, DeadlineKind::Server(id));
        debug!(turn.log, "connection of an abandoned attempt ended"; "member" => member.0,
            "awaited_us" => turn.clock.now() - (by - HOST_END_TIMEOUT));
        self.close(turn, id);
        let AbandonedAttempt { job, ending, reply } = given_up;
        self.end_job(turn, exchange, member, job, ending, reply);
    }
}
