//! The ring buffer of a connection, one for each direction.

use std::io::{self, IoSlice, IoSliceMut, Read, Write};
use std::net::TcpStream;

use rustix::io::Errno;

use crate::memory::BufferBytes;

/// Initial size of a ring's buffer in bytes.
pub const INITIAL_RING_SIZE: usize = 2 * 1024;
/// Maximum size of a ring's buffer in bytes: the longest message with an empty query before it.
pub const MAX_RING_SIZE: usize = 256 * 1024;

/// How often a system call is retried that fails for want of memory, before its connection counts as broken.
const MAX_MEMORY_RETRIES: usize = 64;

/// The result of one read or write of a socket.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Transfer {
    /// This many bytes moved.
    Bytes(usize),
    /// No byte moved: the socket would block, or the ring is full (read) or empty (write).
    Blocked,
    /// The peer has shut down its sending side.
    End,
}

/// A byte queue over a buffer that grows up to [`MAX_RING_SIZE`] and shrinks when it is empty.
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
        self.len >= MAX_RING_SIZE
    }

    /// Appends all bytes, or none and returns false if they don't fit.
    #[must_use]
    pub fn push(&mut self, bytes: &[u8]) -> bool {
        if self.len + bytes.len() > MAX_RING_SIZE {
            return false;
        }
        self.grow(self.len + bytes.len());
        let (first, second) = self.free_space();
        let n = first.len().min(bytes.len());
        first[..n].copy_from_slice(&bytes[..n]);
        second[..bytes.len() - n].copy_from_slice(&bytes[n..]);
        self.len += bytes.len();
        true
    }

    /// Grows the buffer to hold `size` bytes in total, if more than a few are expected.
    pub fn reserve(&mut self, size: usize) {
        self.grow(size);
    }

    /// Removes the first `n` bytes.
    pub fn consume(&mut self, n: usize) {
        let n = n.min(self.len);
        self.len -= n;
        self.head = if self.len == 0 { 0 } else { (self.head + n) % self.buf.len() };
        // Most connections are idle most of the time, so an empty ring frees the memory of a large message.
        if self.len == 0 && self.buf.len() > INITIAL_RING_SIZE {
            self.buf = Vec::new();
            self.held.set(0);
        }
    }

    /// All bytes as one slice.
    pub fn bytes(&mut self) -> &[u8] {
        if self.head + self.len > self.buf.len() {
            self.buf.rotate_left(self.head);
            self.head = 0;
        }
        &self.buf[self.head..self.head + self.len]
    }

    /// Reads once from the socket into the free space.
    pub fn read_from(&mut self, socket: &TcpStream) -> io::Result<Transfer> {
        self.read_at_most(socket, MAX_RING_SIZE)
    }

    /// Reads once from the socket into the free space, `limit` bytes at most.
    pub fn read_at_most(&mut self, mut socket: &TcpStream, limit: usize) -> io::Result<Transfer> {
        if self.is_full() || limit == 0 {
            return Ok(Transfer::Blocked);
        }
        if self.len == self.buf.len() {
            self.grow(self.len + 1);
        }
        let (first, second) = self.free_space();
        let in_first = first.len().min(limit);
        let in_second = second.len().min(limit - in_first);
        let mut parts = [IoSliceMut::new(&mut first[..in_first]), IoSliceMut::new(&mut second[..in_second])];
        match retry_interrupted(|| socket.read_vectored(&mut parts)) {
            Ok(0) => Ok(Transfer::End),
            Ok(n) => {
                self.len += n;
                Ok(Transfer::Bytes(n))
            }
            Err(e) => map_would_block(e),
        }
    }

    /// Writes once to the socket.
    pub fn write_to(&mut self, mut socket: &TcpStream) -> io::Result<Transfer> {
        if self.len == 0 {
            return Ok(Transfer::Blocked);
        }
        let end = self.head + self.len;
        let first = &self.buf[self.head..end.min(self.buf.len())];
        let second = &self.buf[..end.saturating_sub(self.buf.len())];
        let parts = [IoSlice::new(first), IoSlice::new(second)];
        match retry_interrupted(|| socket.write_vectored(&parts)) {
            Ok(0) => Err(io::ErrorKind::WriteZero.into()),
            Ok(n) => {
                self.consume(n);
                Ok(Transfer::Bytes(n))
            }
            Err(e) => map_would_block(e),
        }
    }

    fn grow(&mut self, needed: usize) {
        if needed <= self.buf.len() {
            return;
        }
        self.bytes();
        let mut larger = vec![0; needed.next_power_of_two().clamp(INITIAL_RING_SIZE, MAX_RING_SIZE)];
        larger[..self.len].copy_from_slice(&self.buf[self.head..self.head + self.len]);
        self.held.set(larger.len());
        (self.buf, self.head) = (larger, 0);
    }

    /// The free space as two slices, in the order in which they are filled.
    fn free_space(&mut self) -> (&mut [u8], &mut [u8]) {
        let (size, end) = (self.buf.len(), self.head + self.len);
        if end >= size {
            (&mut self.buf[end - size..self.head], &mut [])
        } else {
            let (before, after) = self.buf.split_at_mut(end);
            (after, &mut before[..self.head])
        }
    }
}

/// Retries a system call while signals interrupt it, and up to [`MAX_MEMORY_RETRIES`] times if the system
/// lacks memory for it. The poll is edge-triggered and reports a socket again only after a call that would
/// block, so whoever stops after another error is never woken.
pub fn retry_interrupted<T>(mut call: impl FnMut() -> io::Result<T>) -> io::Result<T> {
    let mut memory_retries = 0;
    loop {
        match call() {
            Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
            Err(e) if is_out_of_memory(&e) && memory_retries < MAX_MEMORY_RETRIES => memory_retries += 1,
            done => return done,
        }
    }
}

fn is_out_of_memory(e: &io::Error) -> bool {
    matches!(Errno::from_io_error(e), Some(Errno::NOMEM | Errno::NOBUFS))
}

fn map_would_block(e: io::Error) -> io::Result<Transfer> {
    match e.kind() {
        io::ErrorKind::WouldBlock => Ok(Transfer::Blocked),
        _ => Err(e),
    }
}

#[cfg(test)]
mod tests;
