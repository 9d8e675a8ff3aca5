//! The ring buffer that each connection has for each direction.

use std::io::{self, IoSlice, IoSliceMut, Read, Write};
use std::net::TcpStream;

use rustix::io::Errno;

use crate::memory::BufferBytes;

/// A ring starts at this size,
pub const SMALL: usize = 2 * 1024;
/// and grows up to this one: the longest message, and an empty query before it.
pub const LARGEST: usize = 256 * 1024;

/// How often a call is made for which the system lacks memory, before its connection counts as broken.
const MOST_WANTS: usize = 64;

/// What one read or write of the socket came to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Moved {
    /// So many bytes.
    Some(usize),
    /// Nothing now: the socket would block, or the ring has no room or no bytes.
    Nothing,
    /// The peer has ended its sending.
    End,
}

/// A byte queue over a buffer that grows up to [`LARGEST`] and shrinks when it is empty.
#[derive(Default)]
pub struct Ring {
    buf: Vec<u8>,
    head: usize,
    len: usize,
    held: BufferBytes,
}

impl Ring {
    pub fn len(&self) -> usize {
        self.len
    }

    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    pub fn is_full(&self) -> bool {
        self.len >= LARGEST
    }

    /// Appends bytes; false, with nothing taken, where they don't fit.
    #[must_use]
    pub fn push(&mut self, bytes: &[u8]) -> bool {
        if self.len + bytes.len() > LARGEST {
            return false;
        }
        self.grow(self.len + bytes.len());
        let (first, second) = self.spare();
        let n = first.len().min(bytes.len());
        first[..n].copy_from_slice(&bytes[..n]);
        second[..bytes.len() - n].copy_from_slice(&bytes[n..]);
        self.len += bytes.len();
        true
    }

    /// Makes room for so many bytes in all, where more than a few are about to come.
    pub fn reserve(&mut self, size: usize) {
        self.grow(size);
    }

    pub fn consume(&mut self, n: usize) {
        let n = n.min(self.len);
        self.len -= n;
        self.head = if self.len == 0 { 0 } else { (self.head + n) % self.buf.len() };
        // Most connections are idle most of the time: they must not keep what their largest message took.
        if self.len == 0 && self.buf.len() > SMALL {
            self.buf = Vec::new();
            self.held.set(0);
        }
    }

    /// All bytes in one piece.
    pub fn bytes(&mut self) -> &[u8] {
        if self.head + self.len > self.buf.len() {
            self.buf.rotate_left(self.head);
            self.head = 0;
        }
        &self.buf[self.head..self.head + self.len]
    }

    /// Reads once from the socket, into what room there is.
    pub fn fill(&mut self, mut socket: &TcpStream) -> io::Result<Moved> {
        if self.is_full() {
            return Ok(Moved::Nothing);
        }
        if self.len == self.buf.len() {
            self.grow(self.len + 1);
        }
        let (first, second) = self.spare();
        let mut parts = [IoSliceMut::new(first), IoSliceMut::new(second)];
        match made_again(|| socket.read_vectored(&mut parts)) {
            Ok(0) => Ok(Moved::End),
            Ok(n) => {
                self.len += n;
                Ok(Moved::Some(n))
            }
            Err(e) => blocked(e),
        }
    }

    /// Writes once to the socket.
    pub fn drain(&mut self, mut socket: &TcpStream) -> io::Result<Moved> {
        if self.len == 0 {
            return Ok(Moved::Nothing);
        }
        let end = self.head + self.len;
        let first = &self.buf[self.head..end.min(self.buf.len())];
        let second = &self.buf[..end.saturating_sub(self.buf.len())];
        let parts = [IoSlice::new(first), IoSlice::new(second)];
        match made_again(|| socket.write_vectored(&parts)) {
            Ok(0) => Err(io::ErrorKind::WriteZero.into()),
            Ok(n) => {
                self.consume(n);
                Ok(Moved::Some(n))
            }
            Err(e) => blocked(e),
        }
    }

    fn grow(&mut self, needed: usize) {
        if needed <= self.buf.len() {
            return;
        }
        self.bytes();
        let mut larger = vec![0; needed.next_power_of_two().clamp(SMALL, LARGEST)];
        larger[..self.len].copy_from_slice(&self.buf[self.head..self.head + self.len]);
        self.held.set(larger.len());
        (self.buf, self.head) = (larger, 0);
    }

    /// The free room, in the order in which it is filled.
    fn spare(&mut self) -> (&mut [u8], &mut [u8]) {
        let (size, end) = (self.buf.len(), self.head + self.len);
        if end >= size {
            (&mut self.buf[end - size..self.head], &mut [])
        } else {
            let (before, after) = self.buf.split_at_mut(end);
            (after, &mut before[..self.head])
        }
    }
}

/// Makes a call again for as long as signals interrupt it, and some times where the system lacks memory for it. Sockets are
/// polled edge-triggered: only one that would block is told of again, so that whoever stops at any other end of a call is never
/// woken.
pub fn made_again<T>(mut call: impl FnMut() -> io::Result<T>) -> io::Result<T> {
    let mut wants = 0;
    loop {
        match call() {
            Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
            Err(e) if is_want_of_memory(&e) && wants < MOST_WANTS => wants += 1,
            done => return done,
        }
    }
}

fn is_want_of_memory(e: &io::Error) -> bool {
    matches!(Errno::from_io_error(e), Some(Errno::NOMEM | Errno::NOBUFS))
}

fn blocked(e: io::Error) -> io::Result<Moved> {
    match e.kind() {
        io::ErrorKind::WouldBlock => Ok(Moved::Nothing),
        _ => Err(e),
    }
}

#[cfg(test)]
mod tests;
