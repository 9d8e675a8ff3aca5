//! Tests of the part named by the folder.

use super::*;

fn key(n: u64) -> Shape {
    // Any mixing of bits will do here.
    let n = u128::from(n.wrapping_mul(0x9e37_79b9_7f4a_7c15).rotate_left(31) ^ n);
    Shape(n.wrapping_mul(0x2d99_787f_2a9e_9c1b_9f2b_4f1c_7a6d_3b55))
}

/// Guards the hot shapes: while one-off keys come all the time, what is asked for again stays.
#[test]
fn a_flood_does_not_crowd_out_what_is_used() {
    let mut cache = Cache::new(64 * 1024);
    let mut hits = 0;
    for n in 0..100_000 {
        let hot = key(n % 50);
        if cache.get(&hot).is_some() {
            hits += 1;
        } else {
            cache.insert(hot, n, 100);
        }
        cache.insert(key(1_000_000 + n), n, 100);
        assert!(cache.stats().bytes <= 64 * 1024);
    }
    assert!(hits > 99_000, "{hits}");
    assert!(cache.stats().evictions > 90_000);
}

/// Guards the memory: what is dropped is really gone, and its slot used again.
#[test]
fn slots_are_used_again() {
    let mut cache = Cache::new(16 * 1024);
    (0..10_000).for_each(|n| cache.insert(key(n), n, n as usize % 200));
    let stats = cache.stats();
    assert!(cache.entries.len() < 200 && stats.entries == cache.index.len(), "{stats:?}");
    let there = (0..10_000).filter(|n| cache.get(&key(*n)) == Some(n)).count();
    assert_eq!(there, stats.entries, "each is under its own key");
    cache.insert(key(1), 7, 1 << 20);
    assert_eq!(cache.get(&key(1)), None, "too large to be remembered");
}

/// Guards the ghost: what comes back soon goes to the main queue at once.
#[test]
fn a_ghost_is_known() {
    let mut cache = Cache::new(32 * 1024);
    (0..1000).for_each(|n| cache.insert(key(n), n, 100));
    let dropped = (0..1000).rev().find(|n| !cache.index.contains_key(&key(*n))).expect("some are dropped");
    cache.insert(key(dropped), 1, 100);
    assert_eq!(cache.main.slots.len(), 1);
}
