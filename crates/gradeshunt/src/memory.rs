//! Total memory of the buffers: each one is bounded, but all of them at their bounds would be too much.

use std::cell::Cell;

thread_local! {
    static TOTAL: Cell<usize> = const { Cell::new(0) };
}

/// Returns the bytes that all buffers hold.
pub fn total_buffered() -> usize {
    TOTAL.get()
}

/// Bytes that one buffer holds; they count until it is dropped.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct BufferBytes(usize);

impl BufferBytes {
    pub fn set(&mut self, bytes: usize) {
        TOTAL.set(TOTAL.get() - self.0 + bytes);
        self.0 = bytes;
    }
}

impl Drop for BufferBytes {
    fn drop(&mut self) {
        self.set(0);
    }
}
