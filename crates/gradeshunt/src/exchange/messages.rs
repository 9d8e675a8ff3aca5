//! What the exchange and the two sides hand each other: calls, orders, how attempts ended, answers.

use std::ops::Range;
use std::rc::Rc;

use gradeshunt_placement::Source;
use leadmast::{ClassId, Ending, GroupId, MemberId, Micros, Note, TenantId};

use super::trace::AttemptTrace;
use crate::ids::AttemptId;
use crate::memory::BufferBytes;

/// How much of a long answer may be under way to a client.
pub const ROOM: usize = 64 * 1024;

/// What an answer has to be.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Form {
    /// One value.
    #[default]
    Value,
    /// All that a db host has to say.
    Result,
}

/// A request's body, and where in it the client's wait stands, if it does.
#[derive(Debug, PartialEq, Eq)]
pub struct Body {
    bytes: Vec<u8>,
    pub(super) wait_at: Option<Range<usize>>,
    /// What is to come of it.
    pub form: Form,
    held: BufferBytes,
}

impl Body {
    pub fn new(bytes: Vec<u8>, wait_at: Option<Range<usize>>, form: Form) -> Self {
        let mut held = BufferBytes::default();
        held.set(bytes.len());
        Body { bytes, wait_at, form, held }
    }

    /// How many bytes it has.
    pub fn len(&self) -> usize {
        self.bytes.len()
    }

    /// Whether it tells its db host how long its client waits.
    pub fn tells_wait(&self) -> bool {
        self.wait_at.is_some()
    }

    /// The body around the wait, where one stands in it: else all of it.
    pub fn around_wait(&self) -> (&[u8], Option<&[u8]>) {
        match &self.wait_at {
            Some(at) => (&self.bytes[..at.start], Some(&self.bytes[at.end..])),
            None => (&self.bytes, None),
        }
    }
}

/// A request, as its client sent it.
#[derive(Debug)]
pub struct Call {
    pub class: ClassId,
    pub group: GroupId,
    pub key: Option<u64>,
    pub deadline: Micros,
    pub since_write: Option<Micros>,
    pub repeat: bool,
    /// Whether a db host can tell from the statement what it has to see.
    pub checked: bool,
    /// Whose it is, where the settings name tenants.
    pub tenant: Option<TenantId>,
    /// Whether it came from a client or from another proxy.
    pub source: Source,
    pub body: Body,
}

/// What the client side is handed for a request.
#[derive(Debug, PartialEq, Eq)]
pub enum Answer {
    /// A part of a long answer; more follows.
    Part(Vec<u8>),
    Final(Final),
}

/// A final answer.
#[derive(Debug, PartialEq, Eq)]
pub enum Final {
    /// The answer as a db host gave it, or what is left of one that was passed on in parts.
    Served(Vec<u8>),
    /// Turned away; a repeat is harmless, after this long.
    Refused { retry_after: Option<Micros> },
    /// Failed, with the db host's own error where it gave one.
    Failed(Option<Vec<u8>>),
    /// Its client has asked for that.
    Cancelled,
    /// It broke off amid its parts: the client has to see that it is not whole.
    Broken,
}

/// What the server side is to do.
#[derive(Debug)]
pub enum Order {
    Start {
        attempt: AttemptId,
        member: MemberId,
        body: Rc<Body>,
        until: Micros,
        /// It may not be written any later than this, whenever a connection for it comes up.
        write_by: Micros,
    },
    Abandon(AttemptId),
    /// Its client has left: it is not sent, unless it has been already.
    Withdraw(AttemptId),
    /// The client side can take more of a long answer.
    Resume(AttemptId),
    Probe(MemberId),
    CloseIdle(MemberId),
}

/// What discovery is to be asked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ask {
    Watch,
    Fetch,
}

/// How an attempt ended.
#[derive(Debug)]
pub struct Ended {
    pub attempt: AttemptId,
    pub ending: Ending,
    pub note: Option<Note>,
    pub said: Said,
    pub trace: AttemptTrace,
}

/// Whose an answer was that might have been a second copy of an earlier one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerCheck {
    /// That of its request.
    Own,
    /// It was a copy, and that of its request followed.
    Copy,
    /// The db host did not tell in time.
    Unknown,
}

impl AnswerCheck {
    /// Its name in the log and the figures.
    pub fn name(self) -> &'static str {
        match self {
            AnswerCheck::Own => "own",
            AnswerCheck::Copy => "copy",
            AnswerCheck::Unknown => "unknown",
        }
    }
}

/// What a db host has said that a client may get to see.
#[derive(Debug)]
pub enum Said {
    Nothing,
    /// The answer.
    Answer(Vec<u8>),
    /// An error of the db host's; another attempt may do better.
    Error(Vec<u8>),
    /// An error of the statement's own, such as a duplicate key: it would be the same anywhere.
    Verdict(Vec<u8>),
    /// It has turned the request away, perhaps with the time after which to come again.
    Refused {
        retry_after: Option<Micros>,
    },
    /// It ends, and has not read the request.
    Leaving,
    /// Something that may be the answer to another request; this one may be at work there.
    Unclear,
}
