//! Which clients are closed between requests: to make room, when idle among many, or because the proxy stops.

use leadmast::Micros;
use slog::info;

use super::peers::leaving;
use super::session::{Session, Stage};
use super::{Frontend, Service};
use crate::deadlines::Due;
use crate::exchange::Exchange;
use crate::ids::SessionId;
use crate::pg::Writer;
use crate::turn::Turn;

/// A slow client may take so long over its first request; and so long a client may be new, or just have had an
/// answer, before it goes where room is needed.
pub(super) const SLOW: Micros = 2_100_000;
pub(super) const JUST: Micros = 50_000;
const GUEST: Micros = 500_000;
/// A client without a request so long expects to be closed.
const IDLE: Micros = 2_000_000;
/// Pace at which idle clients are looked over, and what is borne of them among many.
const REAP: Micros = 50_000;
const IDLE_AMONG_MANY: Micros = 100_000;
/// How long a new client may take to ask while clients are sent away.
const FRESH: Micros = 2_300_000;

impl Frontend {
    /// Clients are sent away between requests, or served on.
    pub fn stand_by(&mut self, turn: &mut Turn, exchange: &mut Exchange, standby: bool) {
        match self.service {
            Service::Closing => {}
            _ if standby => self.send_away(turn, exchange, Service::Standby),
            _ => self.service = Service::Running,
        }
    }

    pub(super) fn send_away(&mut self, turn: &mut Turn, exchange: &mut Exchange, service: Service) {
        self.service = service;
        for id in self.sessions.keys().copied().collect::<Vec<_>>() {
            self.ready(turn, exchange, id);
        }
    }

    /// Closes a client that is sent away, once it is quiet: nothing unread, nothing unanswered. One that has yet
    /// to ask gets its time; its request is on its way, as a rule.
    pub(super) fn dismiss(&mut self, turn: &mut Turn, id: SessionId) {
        let Some(s) = self.sessions.get(&id).filter(|_| self.service != Service::Running) else { return };
        let fresh = turn.now - s.since <= FRESH && self.last_call.is_none_or(|at| turn.now < at);
        let between = match s.stage {
            // Another proxy sends what crosses the close elsewhere.
            Stage::Startup | Stage::Ready if s.is_peer() => true,
            Stage::Startup => !fresh,
            Stage::Ready => s.asked || !fresh,
            Stage::Waiting(_) | Stage::Closing | Stage::Lingering => false,
        };
        if between && s.inbound.is_empty() && s.outbound.is_empty() && s.polled.is_quiet() {
            let last = if s.is_peer() { leaving() } else { Writer::default() };
            self.close_with(turn, id, last);
        }
    }

    /// Sums up in the log who was closed to make room.
    pub fn sum_up(&mut self, turn: &Turn) {
        let [closing, mute, idle, slow, fresh, between] = std::mem::take(&mut self.evicted);
        info!(turn.log, "clients"; "open" => self.sessions.len(), "closing" => closing, "mute" => mute,
            "idle" => idle, "slow" => slow, "between" => between, "new" => fresh);
    }

    /// Closes clients that have had their answers and keep their connection for good, or that connect and say
    /// nothing. Together they would hold all that clients may hold, and nobody else's request would get through. Where few are open, as with a
    /// person at a prompt, none is closed.
    pub fn reap(&mut self, turn: &mut Turn) {
        turn.deadlines.set(turn.now + REAP, Due::Reap);
        if self.service != Service::Running {
            return self
                .sessions
                .keys()
                .copied()
                .collect::<Vec<_>>()
                .into_iter()
                .for_each(|id| self.dismiss(turn, id));
        }
        let open = self.sessions.values().filter(|s| !s.is_ending()).count();
        if open <= self.most / 8 {
            return;
        }
        // One at a time beyond so many, the longest idle first: a close may cross a request.
        let excess = open.saturating_sub(self.most * 2 / 5);
        // The fuller, the sooner: their clients, too, have only so many connections.
        let idle_borne = if open > self.most * 3 / 5 { JUST } else { IDLE_AMONG_MANY };
        let idle = self.sessions.iter().filter_map(|(id, s)| {
            let borne = match s.stage {
                Stage::Startup => SLOW,
                Stage::Ready if s.asked && !s.is_peer() => idle_borne,
                Stage::Ready | Stage::Waiting(_) | Stage::Closing | Stage::Lingering => return None,
            };
            let silent = s.inbound.is_empty() && s.outbound.is_empty() && s.polled.is_quiet();
            (silent && turn.now - s.since > borne).then_some((s.since, *id))
        });
        let mut idle: Vec<_> = idle.collect();
        idle.sort();
        let over = |n: usize, since: Micros| n < excess || turn.now - since > IDLE;
        let idle = idle.into_iter().enumerate().filter(|(n, (since, _))| over(*n, *since));
        for (_, (_, id)) in idle.collect::<Vec<_>>() {
            self.evicted[2] += 1;
            // A request may be on its way: closed at once, the connection would be reset, and the last answer with it.
            self.close_with(turn, id, Writer::default());
        }
    }

    /// Makes room by closing the client that [`makes_room`] names first, the oldest of equals.
    pub(super) fn close_oldest_idle(&mut self, turn: &mut Turn) -> bool {
        let rank = |s: &Session| {
            // Whoever keeps a connection to a home needs it all the time.
            if s.is_peer() && !matches!(s.stage, Stage::Lingering) {
                return None;
            }
            let empty = s.inbound.is_empty() && s.outbound.is_empty();
            makes_room(&s.stage, s.asked, empty, turn.now - s.since)
        };
        let idle = self.sessions.iter().filter_map(|(id, s)| Some((rank(s)?, s.since, *id)));
        let mut idle: Vec<_> = idle.collect();
        idle.sort();
        // A request may stand unread in the socket: it counts as taken.
        let quiet = |id: &SessionId| self.sessions.get(id).is_some_and(|s| s.polled.is_quiet());
        let oldest = idle.into_iter().find(|(_, _, id)| quiet(id));
        if let Some((rank, _, id)) = oldest {
            self.evicted[rank] += 1;
            self.close(turn, id);
        }
        oldest.is_some()
    }
}

/// How readily a client is closed where room is needed, 0 first; `None` where it is not. Those go first that are being
/// closed and have their last answer, or took longer over their first request than a slow client may; then those that
/// have had their answer, to whom a close costs no more than a new connection; then the longest under way with a first
/// request, since most of a crowd that never ends one are among them.
pub(super) fn makes_room(stage: &Stage, asked: bool, empty: bool, age: Micros) -> Option<usize> {
    match stage {
        Stage::Lingering => Some(0),
        Stage::Startup | Stage::Ready if !asked => {
            // One that has introduced itself is no mere connection: it has a while for its request.
            let started = matches!(stage, Stage::Ready);
            Some(match age {
                SLOW.. => 1,
                GUEST.. => 3,
                JUST.. if !started => 3,
                _ if !started => 4,
                _ => 5,
            })
        }
        Stage::Ready if empty => Some(if age >= JUST { 2 } else { 5 }),
        Stage::Startup | Stage::Ready | Stage::Waiting(_) | Stage::Closing => None,
    }
}
