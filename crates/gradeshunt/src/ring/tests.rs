//! Tests of the ring buffer.

use super::*;
use crate::memory;

/// Bytes come out in the order in which they went in, also when they wrap around the end of the buffer.
#[test]
fn order_is_kept_across_the_wrap() {
    let (mut ring, mut next_in, mut next_out) = (Ring::default(), 0u8, 0u8);
    for step in 1..2000usize {
        let bytes: Vec<u8> = (0..step % 97).map(|i| next_in.wrapping_add(i as u8)).collect();
        next_in = next_in.wrapping_add(bytes.len() as u8);
        assert!(ring.push(&bytes));
        let take = ring.len().min(step % 89);
        assert!(ring.bytes()[..take].iter().all(|b| {
            next_out = next_out.wrapping_add(1);
            *b == next_out.wrapping_sub(1)
        }));
        ring.consume(take);
    }
}

/// A ring never exceeds its maximum size, and an empty one frees its memory.
#[test]
fn ring_is_bounded_and_shrinks() {
    let mut ring = Ring::default();
    assert!(ring.push(&vec![1; MAX_RING_SIZE]));
    assert!(ring.is_full() && !ring.push(&[1]));
    assert_eq!(memory::total_buffered(), MAX_RING_SIZE);
    ring.consume(MAX_RING_SIZE);
    assert_eq!((ring.buf.len(), memory::total_buffered()), (0, 0));
    assert!(ring.push(&[1]));
    drop(ring);
    assert_eq!(memory::total_buffered(), 0);
}
