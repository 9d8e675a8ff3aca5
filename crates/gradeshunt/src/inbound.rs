//! The input buffer of a client, with the arrival times of the unprocessed bytes.
//!
//! A client's wait counts from the arrival of its request, however long the request then queues behind
//! others. Each range of bytes therefore keeps its arrival time, also while it is still in the socket because
//! the ring is full.

use std::collections::VecDeque;
use std::io;
use std::net::TcpStream;

use leadmast::Micros;

use crate::ring::{Ring, Transfer};

/// Maximum number of arrival ranges per connection. It bounds the memory for a client that sends single
/// bytes.
const MAX_ARRIVALS: usize = 64;
/// Capacity for arrival ranges that an empty buffer keeps.
const IDLE_ARRIVALS: usize = 4;

/// A range of the byte stream, with the time span in which it arrived.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Arrival {
    /// Where the range ends, counted in bytes from the start of the connection.
    end: u64,
    /// When its first byte arrived, and its last.
    first: Micros,
    last: Micros,
}

/// The arrival times of the unprocessed bytes, by ranges.
#[derive(Debug, Default)]
struct Arrivals {
    ranges: VecDeque<Arrival>,
    /// Bytes of the stream that have been processed so far.
    consumed: u64,
}

impl Arrivals {
    /// Where the last range ends.
    fn end(&self) -> u64 {
        self.ranges.back().map_or(self.consumed, |range| range.end)
    }

    /// Records that the bytes up to `end` had arrived at `at`. Bytes that already have a time keep it.
    fn record(&mut self, end: u64, at: Micros) {
        if end <= self.end() {
            return;
        }
        match self.ranges.back_mut() {
            // Later bytes of a stream can't have arrived before earlier ones.
            Some(range) if range.last >= at => range.end = end,
            _ => self.ranges.push_back(Arrival { end, first: at, last: at }),
        }
        if self.ranges.len() > MAX_ARRIVALS {
            self.merge_closest();
        }
    }

    /// Merges the two neighbouring ranges that are closest in time. Their bytes get the earlier time, so that
    /// a request may expire a little early, but never after the client's wait.
    fn merge_closest(&mut self) {
        let span = |i: &usize| self.ranges[i + 1].last - self.ranges[*i].first;
        let Some(closest) = (0..self.ranges.len() - 1).min_by_key(span) else { return };
        let Some(later) = self.ranges.remove(closest + 1) else { return };
        let earlier = &mut self.ranges[closest];
        (earlier.end, earlier.last) = (later.end, later.last);
    }

    /// Returns when the `n`th unprocessed byte (counted from one) arrived, or `None` if it has not yet.
    fn nth_arrival(&self, n: usize) -> Option<Micros> {
        let end = self.consumed + n as u64;
        self.ranges.iter().find(|range| range.end >= end).map(|range| range.first)
    }

    /// Drops the arrival times of the first `n` bytes, which have been processed.
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

/// The unprocessed bytes of a client and their arrival times.
#[derive(Default)]
pub struct InputBuffer {
    ring: Ring,
    arrivals: Arrivals,
}

impl InputBuffer {
    /// Number of bytes that are read and unprocessed.
    pub fn len(&self) -> usize {
        self.ring.len()
    }

    /// Whether all bytes that were read have been processed.
    pub fn is_empty(&self) -> bool {
        self.ring.is_empty()
    }

    /// Whether nothing more can be read before some bytes are processed.
    pub fn is_full(&self) -> bool {
        self.ring.is_full()
    }

    /// The unprocessed bytes as one slice.
    pub fn bytes(&mut self) -> &[u8] {
        self.ring.bytes()
    }

    /// Reads once from the socket, `limit` bytes at most. The bytes count as arrived at `at`, or earlier if
    /// [`InputBuffer::record_unread`] saw them.
    ///
    /// # Errors
    ///
    /// Errors of the socket, except that it would block.
    pub fn read_at_most(&mut self, socket: &TcpStream, limit: usize, at: Micros) -> io::Result<Transfer> {
        let moved = self.ring.read_at_most(socket, limit)?;
        if let Transfer::Bytes(_) = moved {
            let end = self.arrivals.consumed + self.ring.len() as u64;
            self.arrivals.record(end, at);
        }
        Ok(moved)
    }

    /// Records that the unread bytes in the socket had arrived at `at`. They stay there while the ring is
    /// full, and may be read much later.
    pub fn record_unread(&mut self, socket: &TcpStream, at: Micros) {
        // If the system can't tell how many there are, they count as arrived when they are read.
        let Ok(unread) = rustix::io::ioctl_fionread(socket) else { return };
        let end = self.arrivals.consumed + self.ring.len() as u64 + unread;
        self.arrivals.record(end, at);
    }

    /// Returns when the first unprocessed byte arrived, or `None` if there is none.
    pub fn first_arrival(&self) -> Option<Micros> {
        self.arrivals.nth_arrival(1).filter(|_| !self.is_empty())
    }

    /// Removes the first `n` bytes. Returns when the last of them arrived, or `None` if there was none.
    pub fn consume(&mut self, n: usize) -> Option<Micros> {
        let arrived = self.arrivals.nth_arrival(n).filter(|_| n > 0);
        self.arrivals.consume(n.min(self.ring.len()));
        self.ring.consume(n);
        arrived
    }

    /// Drops all bytes that were read.
    pub fn clear(&mut self) {
        self.arrivals.consume(self.ring.len());
        self.ring = Ring::default();
    }
}

#[cfg(test)]
mod tests;
