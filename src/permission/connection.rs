//! Rules on connections: whether a pooled one may be reused, whether a client's connection may be closed, and
//! until when it is read and its requests are answered while the proxy drains.

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
    /// Whether the proxy drains and begins no further message of this client: what is unread stays unread.
    pub reading_ended: bool,
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

impl CloseDenial {
    /// The reason's name in logs.
    pub fn name(self) -> &'static str {
        match self {
            CloseDenial::RequestInProgress => "request_in_progress",
            CloseDenial::MessagePartlyRead => "message_partly_read",
            CloseDenial::BytesUnread => "bytes_unread",
            CloseDenial::AnswerUnwritten => "answer_unwritten",
            CloseDenial::AwaitingFirstRequest => "awaiting_first_request",
            CloseDenial::AlreadyClosing => "already_closing",
        }
    }
}

/// Checks whether a client's connection may be closed now: it must be between requests, with nothing
/// partially read, unread or unwritten. Once reading has ended, only what was read counts: the client sends
/// what was not read again on another connection, and what is unwritten is written before the close.
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
    } else if client.reading_ended {
        Ok(())
    } else if client.answer_unwritten {
        Err(CloseDenial::AnswerUnwritten)
    } else if client.bytes_unread {
        Err(CloseDenial::BytesUnread)
    } else {
        Ok(())
    }
}

/// How long after the beginning of a drain a client that has sent a request may begin further ones. Until then
/// its connection is closed only when nothing is unread, so that few requests cross the close.
const FURTHER_REQUESTS_PERIOD: Micros = 1_000_000;
/// How long after the beginning of a drain a client's first request may begin.
const FIRST_REQUEST_PERIOD: Micros = 2_300_000;
/// A request that arrives later than this after the beginning of a drain has to be answered by
/// [`DRAIN_LIMIT`].
const LATE_REQUEST_AGE: Micros = 1_500_000;
/// How long after the beginning of a drain a message that began in time may take, and a late request. The
/// operators look for requests of the last 2 s once 4 s have passed.
const DRAIN_LIMIT: Micros = 3_500_000;

/// What decides until when a client's connection is read while the proxy drains.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DrainingClient {
    /// When the connection was accepted.
    pub accepted_at: Micros,
    /// Whether the client has sent a request.
    pub has_sent_request: bool,
    /// When an operator put the proxy into standby.
    pub standby_since: Option<Micros>,
    /// After SIGTERM: the latest deadline of a request. One that arrives later is refused at once.
    pub latest_deadline: Option<Micros>,
    /// After SIGTERM: the time from which no further message is begun.
    pub last_read: Option<Micros>,
}

impl DrainingClient {
    /// When the drain of a proxy in standby began for this connection.
    fn standby_begins_at(&self) -> Option<Micros> {
        self.standby_since.map(|since| since.max(self.accepted_at))
    }

    /// The time from which no further message of the connection is begun, if the proxy drains.
    pub fn reading_ends_at(&self) -> Option<Micros> {
        let period = if self.has_sent_request { FURTHER_REQUESTS_PERIOD } else { FIRST_REQUEST_PERIOD };
        let in_standby = self.standby_begins_at().map(|begin| begin + period);
        in_standby.into_iter().chain(self.last_read).min()
    }

    /// The time by which a message that has begun must be complete, if the proxy is in standby.
    pub fn message_due_at(&self) -> Option<Micros> {
        self.standby_begins_at().map(|begin| begin + DRAIN_LIMIT)
    }

    /// The time by which a request whose last byte arrived at `arrived` must be answered, if the proxy drains.
    pub fn answer_due_at(&self, arrived: Micros) -> Option<Micros> {
        let begin = self.standby_begins_at().filter(|begin| arrived > begin + LATE_REQUEST_AGE);
        let in_standby = begin.map(|begin| begin + DRAIN_LIMIT);
        in_standby.into_iter().chain(self.latest_deadline).min()
    }

    /// Whether the client is given time at `now` for its first request, which may be in transit.
    pub fn awaits_first_request(&self, now: Micros) -> bool {
        let in_time = now - self.accepted_at < FIRST_REQUEST_PERIOD;
        !self.has_sent_request && in_time && self.latest_deadline.is_none_or(|at| now < at)
    }
}
