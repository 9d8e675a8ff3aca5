//! Why clients' connections are closed from here, and whether they may be.

use leadmast::invariant::Rule;
use leadmast::permission::{ClientFacts, ClientStage};
use slog::debug;

use super::session::{Session, Stage};
use super::Frontend;
use crate::exchange::Exchange;
use crate::ids::SessionId;
use crate::turn::Turn;

/// Why a client's connection is closed from here.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum CloseReason {
    /// It has been idle among many.
    Idle,
    /// The proxy drains.
    Draining,
    /// It makes room for another.
    Room,
    /// There was no room for it.
    Full,
    /// Too much stands in buffers.
    Memory,
    /// It took too long over a message.
    Slow,
    /// It has sent what is not the protocol.
    Protocol,
    /// It asks for what is not served.
    Unsupported,
    /// It is not one of the proxies that may connect.
    Stranger,
    /// It has asked another request to be cancelled, which is all that such a connection does.
    CancelRequest,
    /// It has taken its leave.
    Goodbye,
    /// The value that it was getting has broken off.
    ValueCut,
}

impl CloseReason {
    /// Whether a request may cross the close, which is answered if it is read. Whoever is closed for what it has sent may still be
    /// sending, and is read until it has had the error that says why.
    pub(super) fn leaves_unread(self) -> bool {
        matches!(self, CloseReason::Idle | CloseReason::Draining)
    }

    /// Its name in the log and the figures.
    pub(super) fn name(self) -> &'static str {
        match self {
            CloseReason::Idle => "idle",
            CloseReason::Draining => "draining",
            CloseReason::Room => "room",
            CloseReason::Full => "full",
            CloseReason::Memory => "memory",
            CloseReason::Slow => "slow",
            CloseReason::Protocol => "protocol",
            CloseReason::Unsupported => "unsupported",
            CloseReason::Stranger => "stranger",
            CloseReason::CancelRequest => "cancel_request",
            CloseReason::Goodbye => "goodbye",
            CloseReason::ValueCut => "value_cut",
        }
    }
}

impl Session {
    /// What is known of it when it is to be closed. `may_ask_yet`: its first request may be on its way, and is waited for.
    pub(super) fn close_facts(&self, may_ask_yet: bool) -> ClientFacts {
        let stage = match self.stage {
            Stage::Startup | Stage::Ready if !self.asked => ClientStage::New,
            Stage::Startup | Stage::Ready => ClientStage::Between,
            Stage::Waiting(_) => ClientStage::Waiting,
            Stage::Closing => ClientStage::Closing,
            Stage::Lingering => ClientStage::Lingering,
        };
        ClientFacts {
            stage,
            message_begun: !self.inbound.is_empty(),
            bytes_unread: !self.polled.is_quiet(),
            answer_unwritten: !self.outbound.is_empty(),
            may_ask_yet,
        }
    }
}

impl Frontend {
    /// A client's connection is closed from here.
    pub(super) fn note_close(&mut self, turn: &Turn, id: SessionId, reason: CloseReason) {
        *self.closes.entry(reason.name()).or_default() += 1;
        debug!(turn.log, "client closed"; "why" => reason.name(), "session" => id.0);
    }

    /// A connection ends with a request out: only its client may have brought that about.
    pub(super) fn audit_abandoned(&self, turn: &Turn, exchange: &mut Exchange, id: SessionId) {
        let abandoned =
            self.sessions.get(&id).is_some_and(|s| matches!(s.stage, Stage::Waiting(_)) && !s.ended);
        if abandoned {
            exchange.record_violation(turn, Rule::ClosedUnanswered, None);
        }
    }
}
