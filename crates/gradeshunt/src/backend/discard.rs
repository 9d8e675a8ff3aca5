//! Discards what arrives before the answer to the empty query that precedes a request: it belongs to no
//! request, however long it is.

use crate::pg::{self, Malformed};
use crate::ring::Ring;

/// Bytes that are discarded at most: a duplicate of an answer is not longer.
const MAX_DISCARDED: usize = 2 * pg::MAX_ROW_SIZE;

/// Progress of discarding: bytes left of the current message, bytes discarded, and complete answers
/// discarded.
#[derive(Debug, Default)]
pub(super) struct Discard {
    left: usize,
    discarded: usize,
    answers: u32,
}

/// How far discarding got.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Discarded {
    /// All available bytes were discarded, and more must arrive.
    NeedsMore,
    /// EmptyQueryResponse is the next message.
    UpToMarker,
}

impl Discard {
    /// Whether a complete answer was discarded.
    pub(super) fn has_answer(&self) -> bool {
        self.answers > 0
    }

    /// Discards the available bytes up to an EmptyQueryResponse.
    pub(super) fn take(&mut self, inbound: &mut Ring) -> Result<Discarded, Malformed> {
        loop {
            let taken = self.left.min(inbound.len());
            inbound.consume(taken);
            self.left -= taken;
            if self.left > 0 {
                return Ok(Discarded::NeedsMore);
            }
            let Some((tag, size)) = pg::parse_header(inbound.bytes(), pg::BACKEND_MESSAGE_TYPES)? else {
                return Ok(Discarded::NeedsMore);
            };
            if tag == b'I' {
                return Ok(Discarded::UpToMarker);
            }
            self.answers += u32::from(tag == b'Z');
            self.discarded += size;
            if self.discarded > MAX_DISCARDED {
                return Err(Malformed("too much data before the answer to an empty query"));
            }
            self.left = size;
        }
    }
}
