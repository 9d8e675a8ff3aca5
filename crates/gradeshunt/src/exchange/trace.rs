//! What became of each attempt of a request on its connection, told in the log where the request is sent again: whether an
//! earlier attempt could still be out is seen there.

use leadmast::{Ending, Micros};

use crate::ids::ServerId;

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

impl EndedAttempt {
    /// Whether it was handed over whole, and its db host has not turned it away.
    pub(super) fn may_have_run(&self) -> bool {
        let was_turned_away = matches!(self.ending, Ending::Full | Ending::Miss);
        self.trace.written.is_some() && !was_turned_away
    }
}
