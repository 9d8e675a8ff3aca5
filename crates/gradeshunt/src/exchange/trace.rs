//! Records how far each attempt of a request got on its connection. Logged when the request is sent again, to
//! show whether an earlier attempt could still be out.

use leadmast::{Ending, Micros};

use crate::ids::ServerId;

/// The state of an attempt's connection when the attempt ended.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ConnectionEnd {
    /// The attempt had no connection.
    #[default]
    NeverHad,
    /// The connection is used again.
    Kept,
    /// The connection stays open until ReadyForQuery arrives.
    AwaitsReady,
    /// The connection was reset, which makes the kernel drop unsent data.
    Reset,
}

/// An attempt's connection, and how far the attempt got on it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AttemptTrace {
    pub connection: Option<ServerId>,
    /// When the connection was assigned to the attempt.
    pub leased: Option<Micros>,
    /// When the last byte was passed to the kernel.
    pub written: Option<Micros>,
    pub connection_end: ConnectionEnd,
}

/// An attempt that has ended.
pub(super) struct EndedAttempt {
    pub(super) number: u32,
    pub(super) begun_at: Micros,
    pub(super) ended_at: Micros,
    pub(super) ending: Ending,
    pub(super) trace: AttemptTrace,
}

impl EndedAttempt {
    /// Whether the attempt was written completely and its db host did not refuse it.
    pub(super) fn may_have_run(&self) -> bool {
        let was_turned_away = matches!(self.ending, Ending::Full | Ending::Miss);
        self.trace.written.is_some() && !was_turned_away
    }
}
