//! Types that the exchange passes to and receives from the frontend and the backend.

use std::ops::Range;
use std::rc::Rc;

use gradeshunt_placement::Source;
use leadmast::{ClassId, Ending, GroupId, MemberId, Micros, Note, TenantId};

use super::trace::AttemptTrace;
use crate::ids::AttemptId;
use crate::memory::BufferBytes;

/// Bytes of a long answer that may be buffered between the backend and a client.
pub const ANSWER_BUFFER_SIZE: usize = 64 * 1024;

/// The shape that an answer must have.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum AnswerForm {
    /// One row with one column.
    #[default]
    Value,
    /// Any result: any number of rows and columns, with all messages that belong to it.
    Result,
}

/// A request's statement, and the byte range in it that holds the client's wait time, if it states one.
#[derive(Debug, PartialEq, Eq)]
pub struct Body {
    bytes: Vec<u8>,
    pub(super) wait_range: Option<Range<usize>>,
    /// The shape that its answer must have.
    pub form: AnswerForm,
    held: BufferBytes,
}

impl Body {
    pub fn new(bytes: Vec<u8>, wait_at: Option<Range<usize>>, form: AnswerForm) -> Self {
        let mut held = BufferBytes::default();
        held.set(bytes.len());
        Body { bytes, wait_range: wait_at, form, held }
    }

    /// The statement.
    pub fn statement(&self) -> &[u8] {
        &self.bytes
    }

    /// The length in bytes.
    pub fn len(&self) -> usize {
        self.bytes.len()
    }

    /// Whether the statement tells the db host how long the client waits.
    pub fn states_wait(&self) -> bool {
        self.wait_range.is_some()
    }

    /// The bytes before and after the wait time; all bytes and `None` where the statement states no wait
    /// time.
    pub fn split_at_wait(&self) -> (&[u8], Option<&[u8]>) {
        match &self.wait_range {
            Some(at) => (&self.bytes[..at.start], Some(&self.bytes[at.end..])),
            None => (&self.bytes, None),
        }
    }
}

/// A request as its client sent it.
#[derive(Debug)]
pub struct IncomingRequest {
    pub class: ClassId,
    pub group: GroupId,
    pub key: Option<u64>,
    pub deadline: Micros,
    pub since_write: Option<Micros>,
    pub repeat: bool,
    /// Whether the statement lets a db host check how current its data must be.
    pub checked: bool,
    /// The tenant that the request belongs to, where the settings name tenants.
    pub tenant: Option<TenantId>,
    /// Whether the request came from a client or from another proxy.
    pub source: Source,
    pub body: Body,
}

/// What the frontend receives for a request.
#[derive(Debug, PartialEq, Eq)]
pub enum Answer {
    /// A part of a long answer; more follows.
    Part(Vec<u8>),
    /// A db host has refused the request's statement as a write, though its class is for reads. The answer
    /// follows, unless the client has left.
    Writes(Rc<Body>),
    Final(FinalAnswer),
}

/// A final answer.
#[derive(Debug, PartialEq, Eq)]
pub enum FinalAnswer {
    /// The answer as a db host sent it, or its remaining bytes if earlier parts were passed on.
    Served(Vec<u8>),
    /// Not executed: the client may safely send it again, after `retry_after` where that is set.
    Refused { retry_after: Option<Micros> },
    /// Failed, with the db host's error message if it sent one.
    Failed(Option<Vec<u8>>),
    /// Cancelled by its client.
    Cancelled,
    /// Interrupted after parts of it were passed on: the client must see that it is incomplete.
    Interrupted,
}

/// A command to the backend.
#[derive(Debug)]
pub enum BackendCommand {
    Start {
        attempt: AttemptId,
        member: MemberId,
        body: Rc<Body>,
        until: Micros,
        /// The attempt must not be written after this time, even if its connection comes up later.
        write_by: Micros,
    },
    Cancel(AttemptId),
    /// The client has left: cancel the attempt unless it has already been sent.
    CancelIfUnsent(AttemptId),
    /// The frontend can take more of a long answer.
    Resume(AttemptId),
    Probe(MemberId),
    CloseIdle(MemberId),
}

/// A call to discovery.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DiscoveryCall {
    Watch,
    Fetch,
}

/// The end of an attempt.
#[derive(Debug)]
pub struct AttemptEnd {
    pub attempt: AttemptId,
    pub ending: Ending,
    pub note: Option<Note>,
    pub reply: HostReply,
    pub trace: AttemptTrace,
}

/// The result of checking whether an answer duplicates an earlier one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerCheck {
    /// The answer belongs to its request.
    Own,
    /// It was a duplicate; the request's own answer followed.
    Duplicate,
    /// The db host did not answer the check in time.
    Unknown,
}

impl AnswerCheck {
    /// The name in the log and in the metrics.
    pub fn name(self) -> &'static str {
        match self {
            AnswerCheck::Own => "own",
            AnswerCheck::Duplicate => "copy",
            AnswerCheck::Unknown => "unknown",
        }
    }
}

/// The part of a db host's reply that decides the client's answer.
#[derive(Debug)]
pub enum HostReply {
    Nothing,
    /// A complete answer.
    Answer(Vec<u8>),
    /// An error of the db host; another attempt may succeed.
    Error(Vec<u8>),
    /// An error of the statement itself, such as a duplicate key: any db host would return it.
    StatementError(Vec<u8>),
    /// The db host refused the request, possibly with a time after which to retry.
    Refused {
        retry_after: Option<Micros>,
    },
    /// The proxy that received the request is shutting down and has not read it.
    ShuttingDown,
    /// The db host refused the request as a write, because it is read-only.
    ReadOnly,
    /// A reply that may answer another request; this request may still be running on the db host.
    PossibleDuplicate,
}
