//! Rules on connections: whether a pooled one may be reused, and whether a client's connection may be closed.

use super::HostState;
use crate::interface::Micros;

/// An idle connection to a db host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PooledConnection {
    /// The time from which its db host may have dropped it without notice.
    pub expires_at: Micros,
    /// Whether the connection has neither unread bytes nor been closed by the other side.
    pub no_unread_input: bool,
    /// Whether it leads to the address under which its db host is listed now.
    pub at_current_address: bool,
    /// Whether its db host accepts new attempts.
    pub host: HostState,
}

/// Why a pooled connection may not be used again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ReuseDenial {
    /// The db host may have dropped it.
    Expired,
    /// Bytes or an end of stream have arrived that belong to no request.
    UnreadInput,
    /// The db host has moved to another address.
    Moved,
    /// The db host accepts no new attempts.
    HostClosed,
}

impl ReuseDenial {
    /// The reason's name in logs.
    pub fn name(self) -> &'static str {
        match self {
            ReuseDenial::Expired => "expired",
            ReuseDenial::UnreadInput => "not_quiet",
            ReuseDenial::Moved => "moved",
            ReuseDenial::HostClosed => "host_closed",
        }
    }
}

/// Checks whether an idle connection may carry another request now.
///
/// # Errors
/// Returns why it has to be closed instead.
pub fn may_reuse(now: Micros, connection: &PooledConnection) -> Result<(), ReuseDenial> {
    if connection.host != HostState::Open {
        Err(ReuseDenial::HostClosed)
    } else if !connection.at_current_address {
        Err(ReuseDenial::Moved)
    } else if now >= connection.expires_at {
        Err(ReuseDenial::Expired)
    } else if !connection.no_unread_input {
        Err(ReuseDenial::UnreadInput)
    } else {
        Ok(())
    }
}

/// The stage of a client's connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClientStage {
    /// It has not sent a request yet.
    New,
    /// It is between two requests.
    Between,
    /// It waits for the answer to a request.
    Waiting,
    /// The proxy is writing its last message.
    Closing,
    /// The last message has been written; the proxy reads on until the client closes the connection too.
    Lingering,
}

/// The state of a client's connection that is about to be closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClientState {
    /// Its stage.
    pub stage: ClientStage,
    /// Whether part of a message that requires an answer has been read but not processed. When connections
    /// are scarce, a first message that takes too long does not count.
    pub message_partly_read: bool,
    /// Whether bytes from the client, or its end of stream, wait unread in the kernel.
    pub bytes_unread: bool,
    /// Whether bytes of an answer have not been written yet.
    pub answer_unwritten: bool,
    /// Whether the first request may still arrive and the client is given time for it.
    pub awaiting_first_request: bool,
}

/// Why the proxy may not close a client's connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum CloseDenial {
    /// A request is being processed.
    RequestInProgress,
    /// Part of a message has been read.
    MessagePartlyRead,
    /// Unread bytes may contain a request.
    BytesUnread,
    /// Part of an answer has not been written.
    AnswerUnwritten,
    /// The first request may be on its way.
    AwaitingFirstRequest,
    /// The last message is being written.
    AlreadyClosing,
}

/// Checks whether a client's connection may be closed now: it must be between requests, with nothing
/// partially read, unread or unwritten.
///
/// # Errors
/// Returns why it may not.
pub fn may_close(client: &ClientState) -> Result<(), CloseDenial> {
    match client.stage {
        ClientStage::Waiting => return Err(CloseDenial::RequestInProgress),
        ClientStage::Closing => return Err(CloseDenial::AlreadyClosing),
        // Everything has been written; but closing a socket with unread bytes sends a reset, and the client
        // could lose its last answer.
        ClientStage::Lingering if client.bytes_unread => return Err(CloseDenial::BytesUnread),
        ClientStage::Lingering => return Ok(()),
        ClientStage::New if client.awaiting_first_request => return Err(CloseDenial::AwaitingFirstRequest),
        ClientStage::New | ClientStage::Between => {}
    }
    if client.message_partly_read {
        Err(CloseDenial::MessagePartlyRead)
    } else if client.answer_unwritten {
        Err(CloseDenial::AnswerUnwritten)
    } else if client.bytes_unread {
        Err(CloseDenial::BytesUnread)
    } else {
        Ok(())
    }
}
