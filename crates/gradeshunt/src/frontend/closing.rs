//! The reasons for which the proxy closes client connections, and the facts that decide whether it may.

use leadmast::invariant::Rule;
use leadmast::permission::{ClientStage, ClientState};
use slog::debug;

use super::session::{Session, Stage};
use super::Frontend;
use crate::exchange::Exchange;
use crate::ids::SessionId;
use crate::turn::Turn;

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

impl Session {
    /// Returns the facts that decide whether the session may be closed. `may_ask_yet` says that its first
    /// request may still be in transit and is waited for.
    pub(super) fn close_facts(&self, may_ask_yet: bool) -> ClientState {
        let stage = match self.stage {
            Stage::Startup | Stage::Ready if !self.has_sent_query => ClientStage::New,
            Stage::Startup | Stage::Ready => ClientStage::Between,
            Stage::Waiting(_) => ClientStage::Waiting,
            Stage::Closing => ClientStage::Closing,
            Stage::Lingering => ClientStage::Lingering,
        };
        ClientState {
            stage,
            message_partly_read: !self.inbound.is_empty(),
            bytes_unread: !self.polled.is_quiet(),
            answer_unwritten: !self.outbound.is_empty(),
            awaiting_first_request: may_ask_yet,
            reading_ended: false,
        }
    }
}

impl Frontend {
    /// Counts and logs that the proxy closes a client's connection.
    pub(super) fn record_close(&mut self, turn: &Turn, id: SessionId, reason: CloseReason) {
        *self.close_counts.entry(reason.name()).or_default() += 1;
        debug!(turn.log, "client closed"; "why" => reason.name(), "session" => id.0);
    }

    /// Records a violation if a session closes while its request is in progress, unless the client ended the
    /// connection.
    pub(super) fn check_abandoned(&self, turn: &Turn, exchange: &mut Exchange, id: SessionId) {
        let abandoned =
            self.sessions.get(&id).is_some_and(|s| matches!(s.stage, Stage::Waiting(_)) && !s.disconnected);
        if abandoned {
            exchange.record_violation(turn, Rule::ClosedUnanswered, None);
        }
    }
}
