//! Tests of the part named by the folder.

use super::*;
use crate::memory;

/// Guards the wrap: what goes in comes out in order, whatever the head's place.
#[test]
fn keeps_order_over_the_wrap() {
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

/// Guards the memory limit: no ring outgrows its bound, and an empty one gives its memory back.
#[test]
fn is_bounded_and_shrinks() {
    let mut ring = Ring::default();
    assert!(ring.push(&vec![1; LARGEST]));
    assert!(ring.is_full() && !ring.push(&[1]));
    assert_eq!(memory::total_buffered(), LARGEST);
    ring.consume(LARGEST);
    assert_eq!((ring.buf.len(), memory::total_buffered()), (0, 0));
    assert!(ring.push(&[1]));
    drop(ring);
    assert_eq!(memory::total_buffered(), 0);
}
