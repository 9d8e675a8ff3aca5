//! The reasons for which the proxy closes client connections.

/// Why the proxy closes a client's connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum CloseReason {
    /// The client has been idle while many clients are connected.
    Idle,
    /// The proxy drains.
    Draining,
    /// The client makes room for a new one.
    MakeRoom,
    /// The proxy has its maximum number of clients, and none could be closed for this one.
    TooManyClients,
    /// The process holds too many bytes in buffers.
    OutOfMemory,
    /// The client took too long to send a whole message.
    MessageTimeout,
    /// The client violated the protocol.
    ProtocolViolation,
    /// The client asks for a protocol version that is not supported.
    UnsupportedProtocol,
    /// The client connected to the listener for other proxies and is none of them.
    PeerNotAdmitted,
    /// The connection carried a cancel request, after which it always closes.
    CancelRequest,
    /// The client sent Terminate.
    Terminate,
    /// The db host's connection broke in the middle of a value that was already being passed on.
    ValueTruncated,
}

impl CloseReason {
    /// Whether bytes that arrive after the close stay unread. An idle or drained client may send a request at
    /// the same time as the proxy closes; a request that was never read may safely be sent again elsewhere. A
    /// client that is closed because of what it sent may still be sending; its bytes are read and discarded,
    /// so that the error message that explains the close is not lost to a reset.
    pub(super) fn leaves_unread(self) -> bool {
        matches!(self, CloseReason::Idle | CloseReason::Draining)
    }

    /// The reason's name in the log and in metrics.
    pub(super) fn name(self) -> &'static str {
        match self {
            CloseReason::Idle => "idle",
            CloseReason::Draining => "draining",
            CloseReason::MakeRoom => "room",
            CloseReason::TooManyClients => "full",
            CloseReason::OutOfMemory => "memory",
            CloseReason::MessageTimeout => "slow",
            CloseReason::ProtocolViolation => "protocol",
            CloseReason::UnsupportedProtocol => "unsupported",
            CloseReason::PeerNotAdmitted => "stranger",
            CloseReason::CancelRequest => "cancel_request",
            CloseReason::Terminate => "goodbye",
            CloseReason::ValueTruncated => "value_cut",
        }
    }
}
