//! A db host's reply as far as it has arrived: its messages are checked and kept until it is complete.

use leadmast::{Ending, Micros};

use crate::exchange::AnswerForm;
use crate::memory::BufferBytes;
use crate::pg::{self, sqlstate, Malformed, Writer};

/// A reply as far as it has arrived. Each job starts with a new one, so that nothing of an earlier reply
/// remains.
#[derive(Debug, Default)]
pub(super) struct Reply {
    /// The shape that the answer must have.
    pub(super) form: AnswerForm,
    pub(super) bytes: Vec<u8>,
    pub(super) held: BufferBytes,
    pub(super) progress: ReplyProgress,
    /// When bytes of a long answer were last passed on; `None` before the first.
    pub(super) last_passed_on: Option<Micros>,
    pub(super) error: Option<String>,
    pub(super) row: Option<Vec<u8>>,
    /// The reported position: Unix time in milliseconds.
    pub(super) position: Option<f64>,
    pub(super) primary: Option<bool>,
    /// Whether an answer has arrived that may be a duplicate of an earlier one, and none that is certainly
    /// the request's own.
    pub(super) may_be_duplicate: bool,
}

/// How much of an answer has arrived. Messages in any other order are malformed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) enum ReplyProgress {
    #[default]
    Nothing,
    Described,
    /// A long row is being passed on; this many bytes of it are left.
    Streaming(usize),
    Row,
    Complete,
}

impl Reply {
    /// Takes one message. Returns true at ReadyForQuery, which ends the reply.
    pub(super) fn handle_message(&mut self, message: &pg::Message) -> Result<bool, Malformed> {
        if self.form == AnswerForm::Result {
            return self.take_result(message);
        }
        match message.tag {
            b'Z' if self.ending().is_none() || !matches!(message.body, b"I" | b"T" | b"E") => {
                return Err(Malformed("ReadyForQuery without an answer"))
            }
            b'Z' => return Ok(true),
            b'S' => drop(self.take_status(message)),
            b'N' | b'A' => {}
            _ if self.ending().is_some() => return Err(Malformed("more than one answer")),
            b'E' => {
                self.error = Some(pg::parse_error_code(message.body)?.to_owned());
                self.bytes.clear();
                self.append(message)?;
            }
            b'T' if self.progress == ReplyProgress::Nothing => {
                pg::check_description(message.body)?;
                self.progress = ReplyProgress::Described;
                self.append(message)?;
            }
            b'D' if self.progress == ReplyProgress::Described => {
                pg::check_row(message.body)?;
                self.row = pg::first_column(message.body).ok().map(<[u8]>::to_vec);
                self.progress = ReplyProgress::Row;
                self.append(message)?;
            }
            b'C' if self.progress == ReplyProgress::Row => {
                pg::parse_string(message.body)?;
                self.progress = ReplyProgress::Complete;
                self.append(message)?;
            }
            _ => return Err(Malformed("not one row of one column")),
        }
        Ok(false)
    }

    /// Takes one message of a result with any number of rows and columns, and keeps the messages that are
    /// meant for the client. Returns true at ReadyForQuery; only then is the result complete.
    fn take_result(&mut self, message: &pg::Message) -> Result<bool, Malformed> {
        match message.tag {
            b'Z' if self.progress != ReplyProgress::Row && self.error.is_none() => {
                return Err(Malformed("ReadyForQuery without an answer"))
            }
            // The next request on this connection would run inside that transaction.
            b'Z' if message.body != b"I" => return Err(Malformed("the request leaves a transaction open")),
            b'Z' => {
                self.progress = ReplyProgress::Complete;
                return Ok(true);
            }
            b'S' if self.take_status(message) => {}
            b'S' | b'N' => self.append(message)?,
            b'A' => {}
            _ if self.error.is_some() || self.progress == ReplyProgress::Row => {
                return Err(Malformed("more than one answer"))
            }
            b'E' if self.last_passed_on.is_some() => {
                // The client already has some of its rows, so the error is passed on as part of the result.
                self.progress = ReplyProgress::Row;
                self.append(message)?;
            }
            b'E' => {
                self.error = Some(pg::parse_error_code(message.body)?.to_owned());
                self.bytes.clear();
                self.append(message)?;
            }
            b'T' if self.progress == ReplyProgress::Nothing => {
                self.progress = ReplyProgress::Described;
                self.append(message)?;
            }
            b'D' if self.progress == ReplyProgress::Described => self.append(message)?,
            b'C' | b'I' => {
                self.progress = ReplyProgress::Row;
                self.append(message)?;
            }
            _ => return Err(Malformed("not a valid result")),
        }
        Ok(false)
    }

    /// Whether nothing of an answer has arrived.
    pub(super) fn is_empty(&self) -> bool {
        self.progress == ReplyProgress::Nothing && self.error.is_none()
    }

    /// Whether more bytes of a result wait to be passed on than are kept of an answer.
    pub(super) fn is_full(&self) -> bool {
        self.form == AnswerForm::Result && self.bytes.len() > pg::MAX_BUFFERED_ROW
    }

    /// Takes a ParameterStatus message that reports the db host's own state. Returns false for any other
    /// parameter.
    fn take_status(&mut self, message: &pg::Message) -> bool {
        match pg::parse_parameter_status(message.body) {
            Some(("log_position", value)) => {
                self.position = value.parse().ok();
            }
            Some(("replication_role", value)) => self.primary = role(value),
            Some(("pressure", _)) => {}
            _ => return false,
        }
        true
    }

    fn append(&mut self, message: &pg::Message) -> Result<(), Malformed> {
        let before = if self.form == AnswerForm::Result { 0 } else { self.bytes.len() };
        if before + message.size > pg::MAX_BUFFERED_ANSWER {
            return Err(Malformed("the answer is too long"));
        }
        self.held.set(self.bytes.len() + message.size);
        self.bytes = Writer(std::mem::take(&mut self.bytes)).message(message.tag, &[message.body]).0;
        Ok(())
    }

    /// The error code and the reported position; `None` if the reply is not an error or reports no position.
    pub(super) fn error_with_position(&self) -> Option<(String, f64)> {
        self.error.clone().zip(self.position)
    }

    /// The ending of the attempt by what has arrived; `None` while the answer is incomplete.
    pub(super) fn ending(&self) -> Option<Ending> {
        match self.error.as_deref() {
            None => (self.progress == ReplyProgress::Complete).then_some(Ending::Ok),
            Some(sqlstate::READ_ONLY | sqlstate::SNAPSHOT_TOO_OLD) => Some(Ending::Miss),
            Some(sqlstate::TOO_MANY_CONNECTIONS | sqlstate::CANNOT_CONNECT_NOW) => Some(Ending::Full),
            Some(_) => Some(Ending::Error),
        }
    }
}

fn role(value: &str) -> Option<bool> {
    match value {
        "primary" => Some(true),
        "standby" => Some(false),
        _ => None,
    }
}
