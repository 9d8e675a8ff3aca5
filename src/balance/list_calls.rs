//! Schedules the next call for the member list after a failed one.

use crate::interface::Micros;

/// A call that delivered a list and lasted this long counts as healthy: what ended it is likely to be
/// transient.
const STABLE_AFTER: Micros = 1_000_000;
/// Lower bound of the initial backoff, which is longer in large fleets.
const FIRST_WAIT: Micros = 50_000;
/// Upper bound on the calls per second from a whole fleet whose calls ended at the same time.
const FLEET_CALLS_PER_SECOND: i64 = 20_000;
/// Upper bound of the backoff after many consecutive failures.
const LONGEST_WAIT: Micros = 2_000_000;
/// Number of doublings after which the backoff has reached its upper bound.
const MOST_DOUBLINGS: u32 = 6;
/// Number of consecutive calls with broken connections that are each followed by the next call within the initial
/// backoff.
const QUICK_CALLS: u32 = 4;

/// How a call for the list has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum CallEnd {
    /// The service refused or ended the call, or did not respond.
    Refused,
    /// The connection broke; the service may be healthy.
    Broken,
}

/// State of the calls for the member list: exponential backoff with jitter, reset by a healthy call.
#[derive(Debug)]
pub(super) struct ListCalls {
    /// Failures since the latest healthy call, and how many of them were broken connections.
    failures: u32,
    broken: u32,
    asked_at: Micros,
    /// Whether a list has arrived since the latest failure.
    list_received: bool,
    initial_backoff: Micros,
}

impl ListCalls {
    /// Creates the state for a driver in a fleet of this size. Until the first healthy call the backoff after
    /// a refusal is at its maximum, so that drivers that start at the same time do not overload the service.
    pub(super) fn new(now: Micros, fleet: u32) -> Self {
        let spread = i64::from(fleet) * 1_000_000 / FLEET_CALLS_PER_SECOND;
        let first_wait = spread.clamp(FIRST_WAIT, LONGEST_WAIT);
        ListCalls {
            failures: MOST_DOUBLINGS,
            broken: 0,
            asked_at: now,
            list_received: false,
            initial_backoff: first_wait,
        }
    }

    /// Records that a call is made.
    pub(super) fn call_made(&mut self, now: Micros) {
        self.asked_at = now;
    }

    /// Records that a list has arrived.
    pub(super) fn heard(&mut self) {
        self.list_received = true;
    }

    /// Records that the call has ended and returns when to make the next one.
    pub(super) fn call_ended(&mut self, now: Micros, end: CallEnd, rng: &mut fastrand::Rng) -> Micros {
        let sound = std::mem::take(&mut self.list_received) && now - self.asked_at >= STABLE_AFTER;
        if sound {
            (self.failures, self.broken) = (0, 0);
        }
        // A broken connection may have lost a list that the service considers delivered, so the next call is
        // made as soon as the fleet's call rate allows.
        let quick = sound || end == CallEnd::Broken && self.broken < QUICK_CALLS;
        self.broken += u32::from(end == CallEnd::Broken);
        if quick {
            return now + rng.i64(0..self.initial_backoff);
        }
        self.failures = (self.failures + 1).min(MOST_DOUBLINGS);
        let most = (self.initial_backoff << self.failures).min(LONGEST_WAIT);
        now + rng.i64(most / 2..most)
    }
}
