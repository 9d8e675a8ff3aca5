//! Rules on connections: whether a pooled one may be reused, and whether a client's connection may be closed.

use super::HostStanding;
use crate::interface::Micros;

/// An idle connection to a db host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PooledConnection {
    /// The time from which its db host may have dropped it without notice.
    pub expires: Micros,
    /// Whether the connection has neither unread bytes nor been closed by the other side.
    pub quiet: bool,
    /// Whether it leads to the address under which its db host is listed now.
    pub current_address: bool,
    /// Whether its db host accepts new attempts.
    pub host: HostStanding,
}

/// Why a pooled connection may not be used again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ReuseDenial {
    /// The db host may have dropped it.
    Expired,
    /// Bytes or an end of stream have arrived that belong to no request.
    NotQuiet,
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
            ReuseDenial::NotQuiet => "not_quiet",
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
    if connection.host != HostStanding::Open {
        Err(ReuseDenial::HostClosed)
    } else if !connection.current_address {
        Err(ReuseDenial::Moved)
    } else if now >= connection.expires {
        Err(ReuseDenial::Expired)
    } else if !connection.quiet {
        Err(ReuseDenial::NotQuiet)
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
pub struct ClientFacts {
    /// Its stage.
    pub stage: ClientStage,
    /// Whether part of a message that requires an answer has been read but not processed. When connections
    /// are scarce, a first message that takes too long does not count.
    pub message_begun: bool,
    /// Whether bytes from the client, or its end of stream, wait unread in the kernel.
    pub bytes_unread: bool,
    /// Whether bytes of an answer have not been written yet.
    pub answer_unwritten: bool,
    /// Whether the first request may still arrive and the client is given time for it.
    pub may_ask_yet: bool,
}

/// Why the proxy may not close a client's connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum CloseDenial {
    /// A request is being processed.
    RequestOut,
    /// Part of a message has been read.
    MessageBegun,
    /// Unread bytes may contain a request.
    BytesUnread,
    /// Part of an answer has not been written.
    AnswerUnwritten,
    /// The first request may be on its way.
    MayAskYet,
    /// The last message is being written.
    AlreadyClosing,
}

/// Checks whether a client's connection may be closed now: it must be between requests, with nothing
/// partially read, unread or unwritten.
///
/// # Errors
/// Returns why it may not.
pub fn may_close(client: &ClientFacts) -> Result<(), CloseDenial> {
    match client.stage {
        ClientStage::Waiting => return Err(CloseDenial::RequestOut),
        ClientStage::Closing => return Err(CloseDenial::AlreadyClosing),
        // Everything has been written; but closing a socket with unread bytes sends a reset, and the client
        // could lose its last answer.
        ClientStage::Lingering if client.bytes_unread => return Err(CloseDenial::BytesUnread),
        ClientStage::Lingering => return Ok(()),
        ClientStage::New if client.may_ask_yet => return Err(CloseDenial::MayAskYet),
        ClientStage::New | ClientStage::Between => {}
    }
    if client.message_begun {
        Err(CloseDenial::MessageBegun)
    } else if client.answer_unwritten {
        Err(CloseDenial::AnswerUnwritten)
    } else if client.bytes_unread {
        Err(CloseDenial::BytesUnread)
    } else {
        Ok(())
    }
}
