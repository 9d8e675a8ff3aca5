//! Which clients are closed between requests: to make room, when idle among many, or because the proxy stops.

use leadmast::permission::{may_close, ClientState};
use leadmast::Micros;
use slog::info;

use super::closing::CloseReason;
use super::peers::leaving;
use super::session::{Session, Stage};
use super::{Frontend, Service};
use crate::deadlines::Due;
use crate::exchange::Exchange;
use crate::ids::SessionId;
use crate::pg::Writer;
use crate::turn::Turn;

/// How long a slow client may take over its first request.
pub(super) const SLOW_CLIENT: Micros = 2_100_000;
/// A client that connected, or had its answer, less than this ago is evicted last.
pub(super) const RECENT: Micros = 50_000;
/// A client that has started its session and not asked yet is evicted late until it is this old.
const NEW_CLIENT: Micros = 500_000;
/// A client that has been without a request for this long expects to be closed.
const IDLE_LIMIT: Micros = 2_000_000;
/// Interval between searches for idle clients.
const REAP_INTERVAL: Micros = 50_000;
/// How long a client may be idle while many are open.
const CROWDED_IDLE_LIMIT: Micros = 100_000;
/// How long a new client may take over its first request while the proxy drains.
const FIRST_REQUEST_GRACE: Micros = 2_300_000;

impl Frontend {
    /// Begins to close clients between requests, or serves them on.
    pub fn set_standby(&mut self, turn: &mut Turn, exchange: &mut Exchange, standby: bool) {
        match self.service {
            Service::Closing => {}
            _ if standby => self.drain(turn, exchange, Service::Standby),
            _ => self.service = Service::Running,
        }
    }

    pub(super) fn drain(&mut self, turn: &mut Turn, exchange: &mut Exchange, service: Service) {
        self.service = service;
        for id in self.sessions.keys().copied().collect::<Vec<_>>() {
            self.ready(turn, exchange, id);
        }
    }

    /// While the proxy drains, closes a client once it is quiet: nothing unread, nothing unanswered. One that has yet
    /// to ask gets its time; its request is on its way, as a rule.
    pub(super) fn close_if_draining(&mut self, turn: &mut Turn, id: SessionId) {
        let Some(s) = self.sessions.get(&id) else { return };
        if self.service == Service::Running || s.is_ending() {
            return;
        }
        let fresh =
            turn.now - s.since <= FIRST_REQUEST_GRACE && self.drain_deadline.is_none_or(|at| turn.now < at);
        // Another proxy sends what crosses the close elsewhere.
        if may_close(&s.close_facts(fresh && !s.is_peer())).is_ok() {
            let last = if s.is_peer() { leaving() } else { Writer::default() };
            self.close_with(turn, id, last, CloseReason::Draining);
        }
    }

    /// Sums up in the log who was closed to make room.
    pub fn log_summary(&mut self, turn: &Turn) {
        let [closing, mute, idle, slow, fresh, between] = std::mem::take(&mut self.evicted);
        info!(turn.log, "clients"; "open" => self.sessions.len(), "closing" => closing, "mute" => mute,
            "idle" => idle, "slow" => slow, "between" => between, "new" => fresh);
    }

    /// Closes clients that have had their answers and keep their connection for good, or that connect and say
    /// nothing. Together they would hold all that clients may hold, and nobody else's request would get through. Where few are open, as with a
    /// person at a prompt, none is closed.
    pub fn reap(&mut self, turn: &mut Turn) {
        turn.deadlines.set(turn.now + REAP_INTERVAL, Due::Reap);
        if self.service != Service::Running {
            return self
                .sessions
                .keys()
                .copied()
                .collect::<Vec<_>>()
                .into_iter()
                .for_each(|id| self.close_if_draining(turn, id));
        }
        let open = self.sessions.values().filter(|s| !s.is_ending()).count();
        if open <= self.most / 8 {
            return;
        }
        // One at a time beyond so many, the longest idle first: a close may cross a request.
        let excess = open.saturating_sub(self.most * 2 / 5);
        // The fuller, the sooner: their clients, too, have only so many connections.
        let idle_limit = if open > self.most * 3 / 5 { RECENT } else { CROWDED_IDLE_LIMIT };
        let idle = self.sessions.iter().filter_map(|(id, s)| {
            let limit = match s.stage {
                Stage::Startup => SLOW_CLIENT,
                Stage::Ready if s.asked && !s.is_peer() => idle_limit,
                Stage::Ready | Stage::Waiting(_) | Stage::Closing | Stage::Lingering => return None,
            };
            let old = turn.now - s.since > limit;
            (old && may_close(&s.close_facts(false)).is_ok()).then_some((s.since, *id))
        });
        let mut idle: Vec<_> = idle.collect();
        idle.sort();
        let over = |n: usize, since: Micros| n < excess || turn.now - since > IDLE_LIMIT;
        let idle = idle.into_iter().enumerate().filter(|(n, (since, _))| over(*n, *since));
        for (_, (_, id)) in idle.collect::<Vec<_>>() {
            self.evicted[2] += 1;
            // A request may be on its way: closed at once, the connection would be reset, and the last answer with it.
            self.close_with(turn, id, Writer::default(), CloseReason::Idle);
        }
    }

    /// Closes the client with the lowest [`eviction_rank`], the oldest of equals; false where none may be closed.
    pub(super) fn evict_one(&mut self, turn: &mut Turn) -> bool {
        let rank = |s: &Session| {
            // Whoever keeps a connection to a home needs it all the time.
            if s.is_peer() && !matches!(s.stage, Stage::Lingering) {
                return None;
            }
            let empty = s.inbound.is_empty() && s.outbound.is_empty();
            eviction_rank(&s.stage, s.asked, empty, turn.now - s.since)
        };
        let idle = self.sessions.iter().filter_map(|(id, s)| Some((rank(s)?, s.since, *id)));
        let mut idle: Vec<_> = idle.collect();
        idle.sort();
        // A request may stand unread in the socket: it counts as taken. A first message that is not whole is none yet.
        let may_go = |id: &SessionId| {
            let facts = self.sessions.get(id).map(|s| ClientState {
                message_partly_read: s.asked && !s.inbound.is_empty(),
                answer_unwritten: s.asked && !s.outbound.is_empty(),
                ..s.close_facts(false)
            });
            facts.is_some_and(|facts| may_close(&facts).is_ok())
        };
        let oldest = idle.into_iter().find(|(_, _, id)| may_go(id));
        if let Some((rank, _, id)) = oldest {
            self.evicted[rank] += 1;
            self.note_close(turn, id, CloseReason::Room);
            self.close(turn, id);
        }
        oldest.is_some()
    }
}

/// In which order clients are closed where room is needed, 0 first; `None` for those that are not. Those go first that
/// are being closed and have their last answer, or took longer over their first request than a slow client may; then those that
/// have had their answer, to whom a close costs no more than a new connection; then the longest under way with a first
/// request, since most of a crowd that never ends one are among them.
pub(super) fn eviction_rank(stage: &Stage, asked: bool, empty: bool, age: Micros) -> Option<usize> {
    match stage {
        Stage::Lingering => Some(0),
        Stage::Startup | Stage::Ready if !asked => {
            // One that has introduced itself is no mere connection: it has a while for its request.
            let started = matches!(stage, Stage::Ready);
            Some(match age {
                SLOW_CLIENT.. => 1,
                NEW_CLIENT.. => 3,
                RECENT.. if !started => 3,
                _ if !started => 4,
                _ => 5,
            })
        }
        Stage::Ready if empty => Some(if age >= RECENT { 2 } else { 5 }),
        Stage::Startup | Stage::Ready | Stage::Waiting(_) | Stage::Closing => None,
    }
}
