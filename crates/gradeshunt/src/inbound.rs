//! What a client has sent and is still to be worked off, with the time at which each byte of it arrived.
//!
//! A client's wait counts from when its request was there, however long the request then stood behind others. So each
//! range of bytes keeps the time of its arrival, also while it is still in the socket because the ring is full.

use std::collections::VecDeque;
use std::io;
use std::net::TcpStream;

use leadmast::Micros;

use crate::ring::{Moved, Ring};

/// Ranges of arrival kept for one connection, so that a client that sends a byte at a time costs no more memory.
const MAX_ARRIVALS: usize = 64;
/// Room for arrivals that an empty buffer keeps.
const IDLE_ARRIVALS: usize = 4;

/// A range of the byte stream that arrived within a span of time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Arrival {
    /// Where the range ends, counted in bytes from the start of the connection.
    end: u64,
    /// When its first byte arrived, and its last.
    first: Micros,
    last: Micros,
}

/// The arrival times of the bytes that are not worked off yet, by ranges.
#[derive(Debug, Default)]
struct Arrivals {
    ranges: VecDeque<Arrival>,
    /// Bytes of the stream worked off so far.
    consumed: u64,
}

impl Arrivals {
    /// Where the last range ends.
    fn end(&self) -> u64 {
        self.ranges.back().map_or(self.consumed, |range| range.end)
    }

    /// Bytes up to `end` were there at `at`; those that have a time keep it.
    fn record(&mut self, end: u64, at: Micros) {
        if end <= self.end() {
            return;
        }
        match self.ranges.back_mut() {
            // What comes later in the stream has not arrived before it.
            Some(range) if range.last >= at => range.end = end,
            _ => self.ranges.push_back(Arrival { end, first: at, last: at }),
        }
        if self.ranges.len() > MAX_ARRIVALS {
            self.merge_closest();
        }
    }

    /// Merges the two neighbours that lie closest in time. Their bytes count from the earlier time: a client may get its
    /// answer a little early, but never after its wait.
    fn merge_closest(&mut self) {
        let span = |i: &usize| self.ranges[i + 1].last - self.ranges[*i].first;
        let Some(closest) = (0..self.ranges.len() - 1).min_by_key(span) else { return };
        let Some(later) = self.ranges.remove(closest + 1) else { return };
        let earlier = &mut self.ranges[closest];
        (earlier.end, earlier.last) = (later.end, later.last);
    }

    /// When the byte arrived that is the `n`th of those not worked off, counted from one; `None` where it has not yet.
    fn of(&self, n: usize) -> Option<Micros> {
        let end = self.consumed + n as u64;
        self.ranges.iter().find(|range| range.end >= end).map(|range| range.first)
    }

    /// So many bytes are worked off.
    fn consume(&mut self, n: usize) {
        self.consumed += n as u64;
        while self.ranges.front().is_some_and(|range| range.end <= self.consumed) {
            self.ranges.pop_front();
        }
        if self.ranges.is_empty() && self.ranges.capacity() > IDLE_ARRIVALS {
            self.ranges = VecDeque::new();
        }
    }
}

/// A client's bytes, in the order in which they came.
#[derive(Default)]
pub struct Inbound {
    ring: Ring,
    arrivals: Arrivals,
}

impl Inbound {
    /// Bytes that are read and not worked off.
    pub fn len(&self) -> usize {
        self.ring.len()
    }

    /// Whether all that was read is worked off.
    pub fn is_empty(&self) -> bool {
        self.ring.is_empty()
    }

    /// Whether no more can be read before something is worked off.
    pub fn is_full(&self) -> bool {
        self.ring.is_full()
    }

    /// The bytes that are not worked off, in one piece.
    pub fn bytes(&mut self) -> &[u8] {
        self.ring.bytes()
    }

    /// Reads once from the socket; what is read was there at `at`, or before where [`Inbound::note_unread`] saw it.
    ///
    /// # Errors
    ///
    /// Those of the socket, but for one that would block.
    pub fn fill(&mut self, socket: &TcpStream, at: Micros) -> io::Result<Moved> {
        let moved = self.ring.fill(socket)?;
        if let Moved::Some(_) = moved {
            let end = self.arrivals.consumed + self.ring.len() as u64;
            self.arrivals.record(end, at);
        }
        Ok(moved)
    }

    /// Notes that what the socket holds unread was there at `at`. It stays there while the ring is full, and may be read
    /// much later.
    pub fn note_unread(&mut self, socket: &TcpStream, at: Micros) {
        // A system that can't tell leaves those bytes to the time at which they are read.
        let Ok(unread) = rustix::io::ioctl_fionread(socket) else { return };
        let end = self.arrivals.consumed + self.ring.len() as u64 + unread;
        self.arrivals.record(end, at);
    }

    /// When the first byte arrived that is not worked off; `None` where all is.
    pub fn first_arrived(&self) -> Option<Micros> {
        self.arrivals.of(1).filter(|_| !self.is_empty())
    }

    /// Works off the first `n` bytes, and tells when the last of them arrived; `None` where none was worked off.
    pub fn consume(&mut self, n: usize) -> Option<Micros> {
        let arrived = self.arrivals.of(n).filter(|_| n > 0);
        self.arrivals.consume(n.min(self.ring.len()));
        self.ring.consume(n);
        arrived
    }

    /// Drops all that was read.
    pub fn clear(&mut self) {
        self.arrivals.consume(self.ring.len());
        self.ring = Ring::default();
    }
}

#[cfg(test)]
mod tests;
