//! Connections: whether a pooled one may carry another request, and whether a client's may be closed.

use super::HostStanding;
use crate::interface::Micros;

/// An idle connection to a db host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PooledConnection {
    /// From when on its db host may drop it without a word.
    pub expires: Micros,
    /// Nothing stands unread on it: no bytes, no end.
    pub quiet: bool,
    /// It leads to the address at which the db host is listed now.
    pub current_address: bool,
    /// How its db host stands for new work.
    pub host: HostStanding,
}

/// Why a pooled connection may not be used again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ReuseDenial {
    /// Its db host may have dropped it.
    Expired,
    /// Bytes or an end have come that belong to no request.
    NotQuiet,
    /// Its db host has moved to another address.
    Moved,
    /// Its db host takes nothing new.
    HostClosed,
}

impl ReuseDenial {
    /// Its name in the log.
    pub fn name(self) -> &'static str {
        match self {
            ReuseDenial::Expired => "expired",
            ReuseDenial::NotQuiet => "not_quiet",
            ReuseDenial::Moved => "moved",
            ReuseDenial::HostClosed => "host_closed",
        }
    }
}

/// Whether an idle connection may carry another request now.
///
/// # Errors
/// Why it has to be closed instead.
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

/// Where a client's connection stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClientStage {
    /// It has not asked yet.
    New,
    /// Between two requests.
    Between,
    /// A request is out.
    Waiting,
    /// Its last message is being written.
    Closing,
    /// It has its last message, and is read on until its client closes too.
    Lingering,
}

/// What is known of a client's connection when it is to be closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClientFacts {
    /// Where it stands.
    pub stage: ClientStage,
    /// Bytes of a message that it is owed an answer to were read and are not worked off. A first message that takes too long is
    /// none where room is needed.
    pub message_begun: bool,
    /// Bytes of it, or its end, stand unread in the system.
    pub bytes_unread: bool,
    /// Bytes of an answer are not written yet.
    pub answer_unwritten: bool,
    /// It may still be about to ask for the first time, and is given that time.
    pub may_ask_yet: bool,
}

/// Why a client's connection may not be closed by the proxy.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum CloseDenial {
    /// A request is out.
    RequestOut,
    /// A message was read in part.
    MessageBegun,
    /// A request may stand unread.
    BytesUnread,
    /// An answer is not written whole.
    AnswerUnwritten,
    /// Its first request may be on its way.
    MayAskYet,
    /// Its last message is being written.
    AlreadyClosing,
}

/// Whether a client's connection may be closed now: between requests, with nothing read, unread or unwritten.
///
/// # Errors
/// Why not.
pub fn may_close(client: &ClientFacts) -> Result<(), CloseDenial> {
    match client.stage {
        ClientStage::Waiting => return Err(CloseDenial::RequestOut),
        ClientStage::Closing => return Err(CloseDenial::AlreadyClosing),
        // It has had everything; but bytes that stand unread would make the close a reset, which takes its last answer along.
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
