//! One reply of a db host, as far as it has come: its messages are checked and kept until it is whole.

use leadmast::{Ending, Micros};

use crate::exchange::Form;
use crate::memory::BufferBytes;
use crate::pg::{self, sqlstate, Malformed, Writer};

/// A reply as far as it has come. Each job begins with a fresh one: nothing of an earlier reply stays.
#[derive(Debug, Default)]
pub(super) struct Reply {
    /// What it has to be.
    pub(super) form: Form,
    pub(super) bytes: Vec<u8>,
    pub(super) held: BufferBytes,
    pub(super) shape: Shape,
    /// When bytes of a long answer were last passed on; it has begun then.
    pub(super) passed: Option<Micros>,
    pub(super) error: Option<String>,
    pub(super) row: Option<Vec<u8>>,
    /// As it was told: Unix time in milliseconds.
    pub(super) position: Option<f64>,
    pub(super) primary: Option<bool>,
    /// An answer has come that may be a copy of an earlier one, and none of the request's own.
    pub(super) may_be_copy: bool,
}

/// How far the one row of an answer has come: anything in another order is none.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) enum Shape {
    #[default]
    Nothing,
    Described,
    /// So much of a long row is yet to be passed on.
    Passing(usize),
    Row,
    Complete,
}

impl Reply {
    /// Takes one message; true at ReadyForQuery, which ends the reply.
    pub(super) fn take(&mut self, message: &pg::Message) -> Result<bool, Malformed> {
        if self.form == Form::Result {
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
                self.error = Some(pg::error_code(message.body)?.to_owned());
                self.bytes.clear();
                self.append(message)?;
            }
            b'T' if self.shape == Shape::Nothing => {
                pg::check_description(message.body)?;
                self.shape = Shape::Described;
                self.append(message)?;
            }
            b'D' if self.shape == Shape::Described => {
                pg::check_row(message.body)?;
                self.row = pg::first_column(message.body).ok().map(<[u8]>::to_vec);
                self.shape = Shape::Row;
                self.append(message)?;
            }
            b'C' if self.shape == Shape::Row => {
                pg::string(message.body)?;
                self.shape = Shape::Complete;
                self.append(message)?;
            }
            _ => return Err(Malformed("not one row of one column")),
        }
        Ok(false)
    }

    /// Takes one message of a whole result, any rows of any columns, and keeps all that is the client's; true at
    /// ReadyForQuery, and only then is the result whole.
    fn take_result(&mut self, message: &pg::Message) -> Result<bool, Malformed> {
        match message.tag {
            b'Z' if self.shape != Shape::Row && self.error.is_none() => {
                return Err(Malformed("ReadyForQuery without an answer"))
            }
            // Whoever got this connection next would find itself in it.
            b'Z' if message.body != b"I" => return Err(Malformed("it leaves a transaction open")),
            b'Z' => {
                self.shape = Shape::Complete;
                return Ok(true);
            }
            b'S' if self.take_status(message) => {}
            b'S' | b'N' => self.append(message)?,
            b'A' => {}
            _ if self.error.is_some() || self.shape == Shape::Row => {
                return Err(Malformed("more than one answer"))
            }
            b'E' if self.passed.is_some() => {
                // The client has rows of it already, and is owed the rest of the story.
                self.shape = Shape::Row;
                self.append(message)?;
            }
            b'E' => {
                self.error = Some(pg::error_code(message.body)?.to_owned());
                self.bytes.clear();
                self.append(message)?;
            }
            b'T' if self.shape == Shape::Nothing => {
                self.shape = Shape::Described;
                self.append(message)?;
            }
            b'D' if self.shape == Shape::Described => self.append(message)?,
            b'C' | b'I' => {
                self.shape = Shape::Row;
                self.append(message)?;
            }
            _ => return Err(Malformed("not a result")),
        }
        Ok(false)
    }

    /// Whether nothing of an answer has come.
    pub(super) fn is_empty(&self) -> bool {
        self.shape == Shape::Nothing && self.error.is_none()
    }

    /// Whether more of a result waits to be passed on than is held of an answer.
    pub(super) fn is_full(&self) -> bool {
        self.form == Form::Result && self.bytes.len() > pg::WHOLE_ROW
    }

    /// What a db host tells of itself; false where a ParameterStatus is none of that.
    fn take_status(&mut self, message: &pg::Message) -> bool {
        match pg::parameter_status(message.body) {
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
        let before = if self.form == Form::Result { 0 } else { self.bytes.len() };
        if before + message.size > pg::LONGEST_ANSWER {
            return Err(Malformed("the answer is too long"));
        }
        self.held.set(self.bytes.len() + message.size);
        self.bytes = Writer(std::mem::take(&mut self.bytes)).message(message.tag, &[message.body]).0;
        Ok(())
    }

    /// The error that it is, with the position that it tells; `None` where it is none or tells none.
    pub(super) fn told_error(&self) -> Option<(String, f64)> {
        self.error.clone().zip(self.position)
    }

    /// How the attempt has ended, by what has come; `None` while the answer is not whole.
    pub(super) fn ending(&self) -> Option<Ending> {
        match self.error.as_deref() {
            None => (self.shape == Shape::Complete).then_some(Ending::Ok),
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
