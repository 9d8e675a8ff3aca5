//! Rules on the process: whether it may accept a request and its id, hand its listening socket over, exit, and
//! apply a member list.

use crate::interface::{Effect, Micros};

/// Why a request is not accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum AcceptDenial {
    /// The client's deadline passed before the request's turn came.
    Expired,
}

/// Checks whether a request whose client waits until `deadline` may be processed.
///
/// # Errors
/// Returns why it has to be refused at once.
pub fn may_accept(now: Micros, deadline: Micros) -> Result<(), AcceptDenial> {
    if deadline <= now {
        Err(AcceptDenial::Expired)
    } else {
        Ok(())
    }
}

/// How long the id of a request with effects stays taken after its client has left: far longer than any client
/// goes on sending a request that crossed the end of a connection.
const ID_RETIRED_FOR: Micros = 60_000_000;

/// Returns until when no new request may have the id of a request whose client leaves at `now`, or `None` if
/// the id is free at once. `attempt_written` says that an attempt was written completely, so that the request
/// may have executed. A request that may be executed more than once must still not be out twice.
pub fn id_retired_until(
    now: Micros,
    effect: Effect,
    attempt_written: bool,
    deadline: Micros,
) -> Option<Micros> {
    attempt_written.then_some(match effect {
        Effect::Safe => deadline,
        Effect::Keyed { .. } | Effect::Unsafe => now + ID_RETIRED_FOR,
    })
}

/// Why the clients' listening socket may not be left to another process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HandOverDenial {
    /// This process has not been told to terminate.
    NotTerminating,
    /// No other process has been seen to serve since then.
    NoSuccessor,
}

/// Checks whether the clients' listening socket may be left to a successor.
///
/// # Errors
/// Returns why it may not.
pub fn may_hand_over(terminating: bool, successor_serves: bool) -> Result<(), HandOverDenial> {
    match (terminating, successor_serves) {
        (false, _) => Err(HandOverDenial::NotTerminating),
        (true, false) => Err(HandOverDenial::NoSuccessor),
        (true, true) => Ok(()),
    }
}

/// What can keep a process that was told to terminate from exiting.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProcessState {
    /// Whether the grace period is over, after which the process would be killed.
    pub must_exit: bool,
    /// Whether it accepts clients or has not been told to terminate.
    pub serving: bool,
    /// Whether client connections are open.
    pub clients_open: bool,
    /// Whether there are requests without a final answer.
    pub requests_open: bool,
}

/// Why a process may not exit yet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExitDenial {
    /// It accepts clients or has not been told to terminate.
    Serving,
    /// Clients are connected.
    ClientsOpen,
    /// Requests have no final answer.
    RequestsOpen,
}

/// Checks whether the process may exit now.
///
/// # Errors
/// Returns why it may not.
pub fn may_exit(process: &ProcessState) -> Result<(), ExitDenial> {
    if process.must_exit {
        Ok(())
    } else if process.serving {
        Err(ExitDenial::Serving)
    } else if process.clients_open {
        Err(ExitDenial::ClientsOpen)
    } else if process.requests_open {
        Err(ExitDenial::RequestsOpen)
    } else {
        Ok(())
    }
}

/// The versions to compare when a list of db hosts arrives.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ListVersions {
    /// The version known when the call was made.
    pub known_at_call: u64,
    /// The latest version known now.
    pub known: u64,
    /// The version of this list.
    pub listed: u64,
}

/// Why a list is not applied.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListDenial {
    /// Another call has delivered a later list meanwhile; applying this one would undo drains.
    Older,
}

/// Checks whether a list may be applied. A version that is lower than the one known when the call was made
/// does not mean an older list: the discovery service has restarted its count.
///
/// # Errors
/// Returns why it may not.
pub fn may_apply_list(versions: ListVersions) -> Result<(), ListDenial> {
    if (versions.known_at_call..versions.known).contains(&versions.listed) {
        Err(ListDenial::Older)
    } else {
        Ok(())
    }
}
