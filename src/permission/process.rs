//! The process: whether it may take a request on, hand its socket over, end, and believe a list.

use crate::interface::Micros;

/// Why a request is not taken on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum TakeDenial {
    /// Its client's wait was over before its turn came.
    Expired,
}

/// Whether a request whose client waits until `deadline` may be worked on.
///
/// # Errors
/// Why it is to be refused at once.
pub fn may_take(now: Micros, deadline: Micros) -> Result<(), TakeDenial> {
    if deadline <= now {
        Err(TakeDenial::Expired)
    } else {
        Ok(())
    }
}

/// Why the clients' socket is not left to another process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HandOverDenial {
    /// This process has not been told to leave.
    Staying,
    /// No other process was seen to serve since.
    NoSuccessor,
}

/// Whether the clients' socket may be left to a successor.
///
/// # Errors
/// Why not.
pub fn may_hand_over(terminating: bool, successor_serves: bool) -> Result<(), HandOverDenial> {
    match (terminating, successor_serves) {
        (false, _) => Err(HandOverDenial::Staying),
        (true, false) => Err(HandOverDenial::NoSuccessor),
        (true, true) => Ok(()),
    }
}

/// What keeps a process that was told to leave.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProcessFacts {
    /// The last moment has come: whoever waits longer is killed.
    pub must_leave: bool,
    /// It accepts clients or was not told to leave.
    pub serving: bool,
    /// Clients' connections that are open.
    pub clients_open: bool,
    /// Requests without a final answer.
    pub requests_open: bool,
}

/// Why a process may not end yet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndDenial {
    /// It accepts clients, or was not told to leave.
    Serving,
    /// Clients are connected.
    ClientsOpen,
    /// Requests have no final answer yet.
    RequestsOpen,
}

/// Whether the process may end now.
///
/// # Errors
/// Why not.
pub fn may_end(process: &ProcessFacts) -> Result<(), EndDenial> {
    if process.must_leave {
        Ok(())
    } else if process.serving {
        Err(EndDenial::Serving)
    } else if process.clients_open {
        Err(EndDenial::ClientsOpen)
    } else if process.requests_open {
        Err(EndDenial::RequestsOpen)
    } else {
        Ok(())
    }
}

/// Versions around a list of db hosts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ListVersions {
    /// The version known when the call was made.
    pub asked_after: u64,
    /// The latest version known now.
    pub known: u64,
    /// The version of this list.
    pub told: u64,
}

/// Why a list is not believed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListDenial {
    /// Another call has told a later one since: this one would undo drains.
    Older,
}

/// Whether a list may be applied. A version from before the call was made is no older list: discovery has begun to count anew.
///
/// # Errors
/// Why not.
pub fn may_apply_list(versions: ListVersions) -> Result<(), ListDenial> {
    if (versions.asked_after..versions.known).contains(&versions.told) {
        Err(ListDenial::Older)
    } else {
        Ok(())
    }
}
