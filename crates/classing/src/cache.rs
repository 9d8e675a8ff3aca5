//! A cache bounded by bytes that a flood of keys that come once can't crowd: S3-FIFO (Yang, Zhang, Qiu, Yue, Vigfusson:
//! "FIFO Queues are All You Need for Cache Eviction", SOSP 2023).
//!
//! What is new goes to a small queue, a tenth of the bytes. What was asked for again before it reaches that queue's end
//! moves to the main one; the rest is dropped, and a ghost of it kept: should it come again soon, it goes to the main
//! queue at once. The main queue gives what was asked for since another round. A hit moves nothing: it counts up to three.

use std::collections::{HashMap, VecDeque};
use std::hash::{BuildHasherDefault, Hasher};

use crate::shape::Shape;

/// The small queue's part of the bytes, as a divisor.
const SMALL: usize = 10;
/// Hits that count.
const MAX_HITS: u8 = 3;
/// What an entry takes beside its value's size: its slot, its place in the index and in a queue, with room to grow, and what the allocator rounds up.
pub const ENTRY_OVERHEAD_BYTES: usize = 320;
/// Bytes of the cache for each place in the ghost.
const CACHE_BYTES_PER_GHOST: usize = 256;

/// Counters of a cache.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CacheStats {
    /// Asked for, and there.
    pub hits: u64,
    /// Asked for, and not there.
    pub misses: u64,
    /// Dropped to make room.
    pub evictions: u64,
    /// Entries now.
    pub entries: usize,
    /// Bytes that they take.
    pub bytes: usize,
}

/// A shape is a hash already.
#[derive(Default)]
struct ShapeAsHash(u64);

impl Hasher for ShapeAsHash {
    fn finish(&self) -> u64 {
        self.0
    }

    fn write(&mut self, bytes: &[u8]) {
        for chunk in bytes.chunks(8) {
            let mut word = [0; 8];
            word[..chunk.len()].copy_from_slice(chunk);
            self.0 ^= u64::from_le_bytes(word);
        }
    }

    fn write_u128(&mut self, n: u128) {
        self.0 = n as u64;
    }
}

struct Entry<V> {
    shape: Shape,
    value: V,
    bytes: usize,
    hits: u8,
}

/// One of the two queues: slots, the oldest first, and their bytes.
#[derive(Default)]
struct Queue {
    slots: VecDeque<u32>,
    bytes: usize,
}

/// What was dropped of late: a fingerprint for each place, and when it came there, counted in drops.
struct Ghost {
    places: Vec<(u32, u32)>,
    drops: u32,
}

impl Ghost {
    fn place(&self, shape: Shape) -> (usize, u32) {
        ((shape.0 >> 64) as usize & (self.places.len() - 1), (shape.0 >> 96) as u32 | 1)
    }

    fn add(&mut self, shape: Shape) {
        let (place, print) = self.place(shape);
        self.drops = self.drops.wrapping_add(1);
        self.places[place] = (print, self.drops);
    }

    /// Whether it is there and no more than so many drops old; it is taken out.
    fn take(&mut self, shape: Shape, within: usize) -> bool {
        let (place, print) = self.place(shape);
        let (there, since) = self.places[place];
        let found = there == print && self.drops.wrapping_sub(since) as usize <= within;
        if found {
            self.places[place] = (0, 0);
        }
        found
    }
}

/// The cache.
pub struct Cache<V> {
    budget: usize,
    index: HashMap<Shape, u32, BuildHasherDefault<ShapeAsHash>>,
    entries: Vec<Option<Entry<V>>>,
    free: Vec<u32>,
    small: Queue,
    main: Queue,
    ghost: Ghost,
    stats: CacheStats,
}

impl<V> Cache<V> {
    /// Holds entries in `budget` bytes, all that it needs for them included.
    pub fn new(budget: usize) -> Self {
        let places = (budget / CACHE_BYTES_PER_GHOST).max(16).next_power_of_two() / 2;
        let ghost = Ghost { places: vec![(0, 0); places], drops: 0 };
        Cache {
            budget: budget.saturating_sub(places * size_of::<(u32, u32)>()),
            index: HashMap::default(),
            entries: Vec::new(),
            free: Vec::new(),
            small: Queue::default(),
            main: Queue::default(),
            ghost,
            stats: CacheStats::default(),
        }
    }

    /// What is remembered of a shape.
    pub fn get(&mut self, shape: &Shape) -> Option<&V> {
        let slot = self.index.get(shape).copied();
        let Some(entry) = slot.and_then(|slot| self.entries.get_mut(slot as usize)?.as_mut()) else {
            self.stats.misses += 1;
            return None;
        };
        self.stats.hits += 1;
        entry.hits = (entry.hits + 1).min(MAX_HITS);
        Some(&entry.value)
    }

    /// Remembers a value that takes so many bytes. One that is there already is replaced; one that is larger than the
    /// small queue's part is not remembered, so that a few can't push out all others.
    pub fn insert(&mut self, shape: Shape, value: V, size: usize) {
        let bytes = size + ENTRY_OVERHEAD_BYTES;
        if bytes > self.budget / SMALL {
            return;
        }
        if let Some(entry) = self.index.get(&shape).and_then(|s| self.entries.get_mut(*s as usize)?.as_mut())
        {
            entry.value = value;
            return;
        }
        while self.small.bytes + self.main.bytes + bytes > self.budget && self.evict() {}
        let known = self.ghost.take(shape, self.main.slots.len().max(self.small.slots.len()));
        let entry = Some(Entry { shape, value, bytes, hits: 0 });
        let slot = match self.free.pop() {
            Some(slot) => {
                self.entries[slot as usize] = entry;
                slot
            }
            None => {
                self.entries.push(entry);
                (self.entries.len() - 1) as u32
            }
        };
        self.index.insert(shape, slot);
        let queue = if known { &mut self.main } else { &mut self.small };
        queue.slots.push_back(slot);
        queue.bytes += bytes;
    }

    /// Takes one step towards room; false where there is nothing left.
    fn evict(&mut self) -> bool {
        let small = self.small.bytes > self.budget / SMALL || self.main.slots.is_empty();
        let queue = if small { &mut self.small } else { &mut self.main };
        let Some(slot) = queue.slots.pop_front() else { return false };
        let Some(entry) = self.entries.get_mut(slot as usize).and_then(Option::as_mut) else { return true };
        queue.bytes -= entry.bytes;
        if entry.hits > 0 {
            // From the small queue it moves on, in the main one it has another round.
            entry.hits = if small { 0 } else { entry.hits - 1 };
            self.main.bytes += entry.bytes;
            self.main.slots.push_back(slot);
            return true;
        }
        let shape = entry.shape;
        self.entries[slot as usize] = None;
        self.free.push(slot);
        self.index.remove(&shape);
        if small {
            self.ghost.add(shape);
        }
        self.stats.evictions += 1;
        true
    }

    /// Its counters.
    pub fn stats(&self) -> CacheStats {
        CacheStats { entries: self.index.len(), bytes: self.small.bytes + self.main.bytes, ..self.stats }
    }
}

#[cfg(test)]
mod tests;
