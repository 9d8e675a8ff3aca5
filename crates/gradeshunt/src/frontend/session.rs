//! One client connection: its state, and the facts that decide whether it may be closed.

use leadmast::permission::{ClientStage, ClientState};
use leadmast::{Micros, RequestId};

use crate::inbound::InputBuffer;
use crate::ring::{Ring, INITIAL_RING_SIZE};
use crate::routing::Origin;
use crate::turn::Polled;

/// How long a client may take to send one message, the startup message included, from its first byte.
pub(super) const MESSAGE_TIMEOUT: Micros = 2_500_000;

/// How long a connection stays open for reading after its last byte was written, so that a reset does not
/// destroy what the client has yet to read.
pub(super) const LINGER: Micros = 1_000_000;

/// How long at most the end of the last message may wait in the system for a client that is slow to receive it,
/// and how often that is looked at.
pub(super) const MAX_DELIVERY_TIME: Micros = 10_000_000;
pub(super) const DELIVERY_CHECK_INTERVAL: Micros = 50_000;

/// How long the last message of a closing connection may make no progress while the client does not read.
pub(super) const CLOSE_STALL_TIMEOUT: Micros = 5_000_000;

/// The state of a session.
pub(super) enum Stage {
    /// The startup message has not arrived.
    Startup,
    /// No request is in progress.
    Ready,
    /// A request is in progress.
    Waiting(RequestId),
    /// The last message is being written.
    Closing,
    /// The last message is written and the sending side is shut down; the client has yet to close. The
    /// shutdown happens only once, because each shutdown wakes the poll.
    Lingering,
}

/// The connection of a client or of another proxy.
pub(super) struct Session {
    pub(super) polled: Polled,
    pub(super) inbound: InputBuffer,
    pub(super) outbound: Ring,
    pub(super) stage: Stage,
    /// Whether bytes that arrive once the session is closing stay unread: they may be a request, which the
    /// client may safely send again only if it was never read.
    pub(super) leaves_unread: bool,
    /// Whether the connection is a client's or another proxy's, by the listener that accepted it.
    pub(super) source: gradeshunt_placement::Source,
    /// Whether messages are ignored until Sync, because an unsupported one was answered with an error.
    pub(super) skips_until_sync: bool,
    /// Whether the client has ended the connection, or the connection is broken.
    pub(super) disconnected: bool,
    /// Whether the client has sent a query.
    pub(super) has_sent_query: bool,
    /// When the session was accepted.
    pub(super) accepted_at: Micros,
    /// When the session was accepted, last received a message or last got an answer.
    pub(super) last_active: Micros,
    /// The time since which the connection, and what the client sent on it, may have waited in the listen
    /// backlog. Taken at the first read.
    pub(super) backlogged_since: Option<Micros>,
    /// Once the last message is written: the time until which the system may take to send it.
    pub(super) delivery_until: Option<Micros>,
    /// When the session's deadline expires, if one is set.
    pub(super) deadline: Option<Micros>,
    /// The user, database and application of the startup message.
    pub(super) origin: Origin,
    /// Whether the plain statement in progress may write.
    pub(super) may_write: bool,
    /// When the last plain statement that may have written was answered.
    pub(super) last_write: Option<Micros>,
}

impl Session {
    /// Whether the connection is another proxy's.
    pub(super) fn is_peer(&self) -> bool {
        self.source == gradeshunt_placement::Source::Proxy
    }

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

    /// Whether the session buffers a large request that is not in progress yet.
    pub(super) fn adds_large_request(&self) -> bool {
        self.inbound.len() > INITIAL_RING_SIZE && !matches!(self.stage, Stage::Waiting(_))
    }

    /// Whether the session's last message is being written or already is.
    pub(super) fn is_closing(&self) -> bool {
        matches!(self.stage, Stage::Closing | Stage::Lingering)
    }
}
