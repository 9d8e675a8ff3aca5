//! Errors of accept(2), grouped by how to react to them.

use std::io;

use rustix::io::Errno;

/// Why a connection was not accepted, according to accept(2).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AcceptFailure {
    /// No connection is waiting.
    NoneWaiting,
    /// The waiting connection has broken; the next one may be sound.
    BrokenConnection,
    /// This process has no descriptor left: one of its own connections must be closed.
    OutOfDescriptors,
    /// The system lacks another resource, or refuses for another reason: closing connections would not help.
    System,
}

impl AcceptFailure {
    /// Classifies an error of accept(2).
    pub fn from_error(e: &io::Error) -> AcceptFailure {
        match Errno::from_io_error(e) {
            Some(Errno::AGAIN) => AcceptFailure::NoneWaiting,
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
            ) => AcceptFailure::BrokenConnection,
            Some(Errno::MFILE) => AcceptFailure::OutOfDescriptors,
            _ => AcceptFailure::System,
        }
    }
}
