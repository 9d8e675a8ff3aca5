//! What became of each attempt of a request on its connection, told in the log where the request is sent again: whether an
//! earlier attempt could still be out is seen there.

use leadmast::{Ending, Micros};
use slog::debug;

use super::{name, AttemptId, Exchange};
use crate::ids::ServerId;
use crate::turn::Turn;

/// What became of the connection of an attempt when the attempt ended.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ConnectionEnd {
    /// The attempt never had one.
    #[default]
    NeverHad,
    /// It is used again.
    Kept,
    /// It stays open until ReadyForQuery has come.
    AwaitsReady,
    /// It was reset: the system drops what it holds.
    Reset,
}

/// The connection of an attempt, and how far it got there.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AttemptTrace {
    pub connection: Option<ServerId>,
    /// When the attempt was leased it.
    pub leased: Option<Micros>,
    /// When the last byte was handed to the system.
    pub written: Option<Micros>,
    pub connection_end: ConnectionEnd,
}

/// An attempt that has ended.
pub(super) struct EndedAttempt {
    pub(super) number: u32,
    pub(super) since: Micros,
    pub(super) ended: Micros,
    pub(super) ending: Ending,
    pub(super) trace: AttemptTrace,
}

impl Exchange {
    /// Tells of all earlier attempts of a request of which another one is written.
    pub(super) fn trace_repeat(&self, turn: &Turn, attempt: AttemptId, at: Micros) {
        let Some(r) = self.requests.get(&attempt.request) else { return };
        for earlier in &r.ended_attempts {
            let trace = &earlier.trace;
            debug!(turn.log, "repeat written"; "at" => at, "earlier_ended" => earlier.ended,
                "earlier_ending" => name(earlier.ending), "earlier_connection_end" => ?trace.connection_end,
                "earlier_written" => trace.written, "earlier_leased" => trace.leased,
                "earlier_connection" => trace.connection.map(|c| c.0), "earlier_begun" => earlier.since,
                "earlier" => earlier.number, "number" => attempt.number, "request" => attempt.request.0);
        }
    }
}
