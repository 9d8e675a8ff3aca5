//! Connections whose attempt was given up: their sending is ended, and the attempt counts as out until the db host has ended its own.
//!
//! TCP orders nothing between two connections. A db host that has ended a connection has worked off the end of the attempt there; of one
//! that has not, another connection's bytes may be worked off first, and two attempts of a request be out to it.

use std::net::Shutdown;

use leadmast::{Ending, Micros};
use slog::debug;

use super::connection::{Server, Stage};
use super::jobs::Job;
use super::reply::Reply;
use super::Backend;
use crate::deadlines::DeadlineKind;
use crate::exchange::Exchange;
use crate::ids::ServerId;
use crate::turn::{EventSource, Turn};

/// How long a db host's own end is awaited. One that is hung, or works on without reading, shows none.
pub(super) const HOST_END_TIMEOUT: Micros = 10_000;

/// An attempt that was given up, as it will be told to the exchange.
#[derive(Debug)]
pub(super) struct GivenUp {
    pub(super) job: Job,
    pub(super) ending: Ending,
    pub(super) reply: Reply,
}

impl Server {
    /// Ends the sending of a connection, if all of its request has left this machine: the end would otherwise deliver the rest.
    fn end_sending(&self) -> bool {
        !self.has_more_to_send() && self.polled.socket.shutdown(Shutdown::Write).is_ok()
    }
}

impl Backend {
    /// Gives up an attempt that was taken from its connection. Where another may follow it ends with the db host's own end of the
    /// connection; else, or where that is late, with a reset.
    pub(super) fn end_with_connection(
        &mut self,
        turn: &mut Turn,
        exchange: &mut Exchange,
        id: ServerId,
        given_up: GivenUp,
    ) {
        let Some(s) = self.servers.get_mut(&id) else { return };
        let by = turn.now + HOST_END_TIMEOUT;
        let may_be_followed = match &given_up.job {
            Job::Attempt { id, .. } => exchange.may_be_followed(*id, by),
            Job::Probe { .. } => false,
        };
        let awaits_end = may_be_followed && s.end_sending();
        s.stage = Stage::Ending { given_up, by };
        if awaits_end {
            turn.deadlines.set(by, DeadlineKind::Server(id));
            // Its end may stand unread already, and is not told again.
            turn.unfinished.push(EventSource::Server(id));
        } else {
            self.finish_ending(turn, exchange, id);
        }
    }

    /// The db host has ended the connection of an attempt that was given up, or shows no end: it is reset, and the attempt is over.
    pub(super) fn finish_ending(&mut self, turn: &mut Turn, exchange: &mut Exchange, id: ServerId) {
        let Some(s) = self.servers.get_mut(&id) else { return };
        let member = s.member;
        let (given_up, by) = match std::mem::replace(&mut s.stage, Stage::Spent) {
            Stage::Ending { given_up, by } => (given_up, by),
            other => return s.stage = other,
        };
        turn.deadlines.clear(by, DeadlineKind::Server(id));
        debug!(turn.log, "connection of an attempt that was given up has ended"; "member" => member.0,
            "awaited_us" => turn.clock.now() - (by - HOST_END_TIMEOUT));
        self.close(turn, id);
        let GivenUp { job, ending, reply } = given_up;
        self.end(turn, exchange, member, job, ending, reply);
    }
}
