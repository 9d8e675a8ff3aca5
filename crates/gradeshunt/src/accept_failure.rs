//! Errors of accept(2), by what is to be done about them.

use std::io;

use rustix::io::Errno;

/// Why a connection was not accepted, as accept(2) tells it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AcceptFailure {
    /// No connection waits.
    NoneWaits,
    /// The connection that waited has broken; the next one may be sound.
    ThatConnection,
    /// This process has no descriptor left: one of its own connections has to make room.
    Descriptors,
    /// The system lacks something else, or refuses for a reason of its own: closing connections would not help.
    System,
}

impl AcceptFailure {
    /// Reads an error of accept(2).
    pub fn of(e: &io::Error) -> AcceptFailure {
        match Errno::from_io_error(e) {
            Some(Errno::AGAIN) => AcceptFailure::NoneWaits,
            Some(
                Errno::INTR
                | Errno::CONNABORTED
                | Errno::NETDOWN
                | Errno::PROTO
                | Errno::NOPROTOOPT
                | Errno::HOSTDOWN
                | Errno::NONET
                | Errno::HOSTUNREACH
                | Errno::OPNOTSUPP
                | Errno::NETUNREACH
                | Errno::TIMEDOUT,
            ) => AcceptFailure::ThatConnection,
            Some(Errno::MFILE) => AcceptFailure::Descriptors,
            _ => AcceptFailure::System,
        }
    }
}
