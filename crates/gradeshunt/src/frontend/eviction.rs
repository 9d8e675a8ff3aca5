//! Chooses the clients that are closed between requests to make room, or because they are idle among many.

use leadmast::permission::{may_close, ClientState};
use leadmast::Micros;
use slog::info;

use super::close_reason::CloseReason;
use super::session::{Session, Stage};
use super::Frontend;
use crate::deadlines::DeadlineKind;
use crate::ids::SessionId;
use crate::pg::Writer;
use crate::turn::Turn;

/// How long a client may take to send its first request before it is among the first to be evicted.
pub(super) const FIRST_REQUEST_LIMIT: Micros = 2_100_000;
/// A client that connected or received its answer less than this long ago is evicted last.
pub(super) const RECENT_ACTIVITY: Micros = 50_000;
/// A client whose session has started but that has sent no request is evicted last until it has been
/// connected this long.
const NEW_SESSION_PERIOD: Micros = 500_000;
/// A client that has been idle this long expects to be closed, and is while more than an eighth of the
/// maximum are open.
const IDLE_LIMIT: Micros = 2_000_000;
/// Interval between scans for idle clients.
const IDLE_SCAN_INTERVAL: Micros = 50_000;
/// How long a client may be idle while more than two fifths of the maximum are open.
const CROWDED_IDLE_LIMIT: Micros = 100_000;

impl Frontend {
    /// Logs how many clients were closed to make room since the last summary, by kind.
    pub fn log_summary(&mut self, turn: &Turn) {
        let [closing, mute, idle, slow, fresh, between] = std::mem::take(&mut self.evictions_by_rank);
        info!(turn.log, "clients"; "open" => self.sessions.len(), "closing" => closing, "mute" => mute,
            "idle" => idle, "slow" => slow, "between" => between, "new" => fresh);
    }

    /// Closes clients that stay connected without sending requests, or that connect and send nothing.
    /// Together they could use up all connections, and no other client's request would get through. While few
    /// clients are open, none is closed, so that a person at a prompt keeps the connection.
    pub fn close_idle_clients(&mut self, turn: &mut Turn) {
        turn.deadlines.set(turn.now + IDLE_SCAN_INTERVAL, DeadlineKind::ScanIdleClients);
        if self.drain.is_active() {
            return self.close_drained_clients(turn);
        }
        let open = self.sessions.values().filter(|s| !s.is_closing()).count();
        if open <= self.max_clients / 8 {
            return;
        }
        // Closes only as many as are open beyond two fifths of the maximum, the longest idle first, because
        // the client may send a request at the same moment.
        let excess = open.saturating_sub(self.max_clients * 2 / 5);
        // The fuller the proxy, the sooner idle clients are closed: their side has a limited number of
        // connections as well.
        let idle_limit = if open > self.max_clients * 3 / 5 { RECENT_ACTIVITY } else { CROWDED_IDLE_LIMIT };
        let idle = self.sessions.iter().filter_map(|(id, s)| {
            let limit = match s.stage {
                Stage::Startup => FIRST_REQUEST_LIMIT,
                Stage::Ready if s.has_sent_query && !s.is_peer() => idle_limit,
                Stage::Ready | Stage::Waiting(_) | Stage::Closing | Stage::Lingering => return None,
            };
            let old = turn.now - s.last_active > limit;
            (old && may_close(&s.close_facts(false)).is_ok()).then_some((s.last_active, *id))
        });
        let mut idle: Vec<_> = idle.collect();
        idle.sort();
        let over = |n: usize, since: Micros| n < excess || turn.now - since > IDLE_LIMIT;
        let idle = idle.into_iter().enumerate().filter(|(n, (since, _))| over(*n, *since));
        for (_, (_, id)) in idle.collect::<Vec<_>>() {
            self.evictions_by_rank[2] += 1;
            // A request may be in transit. An immediate close would reset the connection and could lose the
            // last answer.
            self.close_with(turn, id, Writer::default(), CloseReason::Idle);
        }
    }

    /// Closes the client with the lowest [`eviction_rank`], of equal ranks the one longest unused. Returns
    /// false if no client may be closed.
    pub(super) fn evict_one(&mut self, turn: &mut Turn) -> bool {
        let rank = |s: &Session| {
            // Other proxies use their connections to a home all the time.
            if s.is_peer() && !matches!(s.stage, Stage::Lingering) {
                return None;
            }
            let empty = s.inbound.is_empty() && s.outbound.is_empty();
            eviction_rank(&s.stage, s.has_sent_query, empty, turn.now - s.last_active)
        };
        let idle = self.sessions.iter().filter_map(|(id, s)| Some((rank(s)?, s.last_active, *id)));
        let mut idle: Vec<_> = idle.collect();
        idle.sort();
        // A request that is unread in the socket counts as accepted. An incomplete first message does not.
        let is_closable = |id: &SessionId| {
            let facts = self.sessions.get(id).map(|s| ClientState {
                message_partly_read: s.has_sent_query && !s.inbound.is_empty(),
                answer_unwritten: s.has_sent_query && !s.outbound.is_empty(),
                ..s.close_facts(false)
            });
            facts.is_some_and(|facts| may_close(&facts).is_ok())
        };
        let oldest = idle.into_iter().find(|(_, _, id)| is_closable(id));
        if let Some((rank, _, id)) = oldest {
            self.evictions_by_rank[rank] += 1;
            self.record_close(turn, id, CloseReason::MakeRoom);
            self.close(turn, id);
        }
        oldest.is_some()
    }
}

/// Returns the order in which clients are closed to make room, 0 first, or `None` if the client must not be
/// closed. First are closing clients that have their last answer, then clients that took longer than
/// [`FIRST_REQUEST_LIMIT`] over their first request. Next are clients that have had an answer, for whom a
/// close costs no more than a new connection. Then come clients that have been sending a first request for
/// long, because most clients that never complete one are among them; the newest clients come last.
pub(super) fn eviction_rank(stage: &Stage, has_sent_query: bool, empty: bool, age: Micros) -> Option<usize> {
    match stage {
        Stage::Lingering => Some(0),
        Stage::Startup | Stage::Ready if !has_sent_query => {
            // A client that has sent its startup message is likely to send a request and gets more time for
            // it.
            let started = matches!(stage, Stage::Ready);
            Some(match age {
                FIRST_REQUEST_LIMIT.. => 1,
                NEW_SESSION_PERIOD.. => 3,
                RECENT_ACTIVITY.. if !started => 3,
                _ if !started => 4,
                _ => 5,
            })
        }
        Stage::Ready if empty => Some(if age >= RECENT_ACTIVITY { 2 } else { 5 }),
        Stage::Startup | Stage::Ready | Stage::Waiting(_) | Stage::Closing => None,
    }
}
