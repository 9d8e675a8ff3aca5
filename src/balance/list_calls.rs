//! When the list of members is asked for again after a call for it has failed.

use crate::interface::Micros;

/// A call that told a list and stood for this long was sound: what ended it passes by itself.
const STABLE_AFTER: Micros = 1_000_000;
/// The shortest wait is drawn up to this long, and longer in large fleets.
const FIRST_WAIT: Micros = 50_000;
/// So many calls a second at most come from a whole fleet whose calls ended at once.
const FLEET_CALLS_PER_SECOND: i64 = 20_000;
/// The wait is drawn up to this long after many failures in a row.
const LONGEST_WAIT: Micros = 2_000_000;
/// Doublings of the wait; no more are needed to reach the longest.
const MOST_DOUBLINGS: u32 = 6;
/// Calls in a row whose connection broke that are followed by another one after the shortest wait.
const QUICK_CALLS: u32 = 4;

/// How a call for the list has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum CallEnd {
    /// The service refused or ended it, or was silent.
    Refused,
    /// Its connection broke: the service may be well.
    Broken,
}

/// The calls for the list: exponential backoff with jitter, which a sound call resets.
#[derive(Debug)]
pub(super) struct ListCalls {
    /// Failures since the latest sound call, and how many of them were broken connections.
    failures: u32,
    broken: u32,
    asked_at: Micros,
    /// A list has come since the latest failure.
    heard: bool,
    first_wait: Micros,
}

impl ListCalls {
    /// The calls of one driver of a fleet of this size. Until a call was sound the wait behind a refusal is the longest: drivers that
    /// start together must not crowd out each other.
    pub(super) fn new(now: Micros, fleet: u32) -> Self {
        let spread = i64::from(fleet) * 1_000_000 / FLEET_CALLS_PER_SECOND;
        let first_wait = spread.clamp(FIRST_WAIT, LONGEST_WAIT);
        ListCalls { failures: MOST_DOUBLINGS, broken: 0, asked_at: now, heard: false, first_wait }
    }

    /// A call is made.
    pub(super) fn asked(&mut self, now: Micros) {
        self.asked_at = now;
    }

    /// A list has come.
    pub(super) fn heard(&mut self) {
        self.heard = true;
    }

    /// The call has ended: gives when the next one is to be made.
    pub(super) fn failed(&mut self, now: Micros, end: CallEnd, rng: &mut fastrand::Rng) -> Micros {
        let sound = std::mem::take(&mut self.heard) && now - self.asked_at >= STABLE_AFTER;
        if sound {
            (self.failures, self.broken) = (0, 0);
        }
        // What was written to a call counts as told though its connection broke: the next one goes out as soon as the fleet's calls
        // allow.
        let quick = sound || end == CallEnd::Broken && self.broken < QUICK_CALLS;
        self.broken += u32::from(end == CallEnd::Broken);
        if quick {
            return now + rng.i64(0..self.first_wait);
        }
        self.failures = (self.failures + 1).min(MOST_DOUBLINGS);
        let most = (self.first_wait << self.failures).min(LONGEST_WAIT);
        now + rng.i64(most / 2..most)
    }
}
