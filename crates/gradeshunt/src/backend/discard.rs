//! What comes on a connection before the answer to an empty query that was written before a request: it belongs to no request, and is
//! read over, however long it is.

use crate::pg::{self, Malformed};
use crate::ring::Ring;

/// The most that is read over: more is no second copy of an answer.
const MOST_DISCARDED: usize = 2 * pg::MAX_ROW_SIZE;

/// How much was read over, and what is still to come of the message that is being read over.
#[derive(Debug, Default)]
pub(super) struct Discard {
    left: usize,
    discarded: usize,
    answers: u32,
}

/// Where reading over has come to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Discarded {
    /// More has to come.
    AllThatCame,
    /// EmptyQueryResponse stands next.
    UpToMarker,
}

impl Discard {
    /// Whether a whole answer was read over.
    pub(super) fn has_answer(&self) -> bool {
        self.answers > 0
    }

    /// Reads over what has come, up to an EmptyQueryResponse.
    pub(super) fn take(&mut self, inbound: &mut Ring) -> Result<Discarded, Malformed> {
        loop {
            let taken = self.left.min(inbound.len());
            inbound.consume(taken);
            self.left -= taken;
            if self.left > 0 {
                return Ok(Discarded::AllThatCame);
            }
            let Some((tag, size)) = pg::parse_header(inbound.bytes(), pg::BACKEND_MESSAGE_TYPES)? else {
                return Ok(Discarded::AllThatCame);
            };
            if tag == b'I' {
                return Ok(Discarded::UpToMarker);
            }
            self.answers += u32::from(tag == b'Z');
            self.discarded += size;
            if self.discarded > MOST_DISCARDED {
                return Err(Malformed("too much before an empty query's answer"));
            }
            self.left = size;
        }
    }
}
