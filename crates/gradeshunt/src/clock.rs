//! Time: monotonic microseconds for everything that the proxy waits for, and the conversion of Unix times
//! that other machines report.
//!
//! Deadlines, windows and ages are spans on the monotonic clock alone. Unix times come from other machines:
//! positions of db hosts, commits that clients carry, starts of db hosts. All machines follow one wall clock,
//! which may be stepped in either direction while the proxy runs. The offset between the two clocks is
//! therefore kept as a history: a time from before a step is converted with the offset of that time.
//!
//! The proxy's own wall clock alone proves nothing about the others': an offset that differs from the one in
//! use is a candidate until a db host reports a position that only the candidate explains
//! ([`crate::position`]). The same holds for the initial offset, until primaries have confirmed it
//! ([`crate::start_offset`]).

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use leadmast::Micros;

use crate::start_offset::StartOffset;
use crate::unix_time::{near, unix_micros, STEP_TOLERANCE};

/// How far a db host's clock may be ahead.
pub const MAX_AHEAD: Micros = 1_000_000;
/// A reading of both clocks that takes longer than this is not accurate enough to use.
const MAX_READING_TIME: Micros = 5_000;
/// How long an unconfirmed candidate makes positions count as the older of what the two offsets say.
const CANDIDATE_WINDOW: Micros = 1_000_000;
/// Offsets kept in the history: a time from before the oldest is converted with the oldest offset.
const MAX_SEGMENTS: usize = 16;

/// An offset between the wall clock and the monotonic clock, in force from `from` on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Segment {
    from: Micros,
    /// Unix time minus monotonic time.
    offset: Micros,
}

/// A different offset that this machine's wall clock has shown since `first_seen`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Candidate {
    pub first_seen: Micros,
    pub offset: Micros,
}

/// The proxy's clock. It starts near zero.
pub struct Clock {
    start: Instant,
    /// The offsets that db hosts' times have confirmed, the latest last; never empty.
    segments: Vec<Segment>,
    candidate: Option<Candidate>,
    start_offset: StartOffset,
    /// How far this machine's wall clock was ahead of the others' at the start.
    own_error: Micros,
}

impl Clock {
    /// Creates a clock that starts now.
    pub fn start() -> Self {
        let start = Instant::now();
        let offset = unix_now() - micros(start.elapsed());
        Clock {
            start,
            segments: vec![Segment { from: Micros::MIN, offset }],
            candidate: None,
            start_offset: StartOffset::default(),
            own_error: 0,
        }
    }

    /// Returns the monotonic time since the start.
    pub fn now(&self) -> Micros {
        micros(self.start.elapsed())
    }

    /// Returns how far this machine's wall clock is ahead of the others', as far as is known.
    pub fn own_error(&self) -> Micros {
        self.own_error
    }

    /// Takes over a primary's report, at `at`, that its position is this Unix time.
    pub fn take_primary_time(&mut self, at: Micros, unix: Micros) {
        let new_offset = self.start_offset.take_primary_time(self.offset(), at, unix);
        if let Some(offset) = new_offset {
            self.own_error += self.offset() - offset;
            self.segments = vec![Segment { from: Micros::MIN, offset }];
            self.candidate = None;
        }
    }

    /// Whether the initial offset may be taken for the other machines' offset.
    pub fn is_offset_confirmed(&self, now: Micros) -> bool {
        self.start_offset.is_confirmed(now)
    }

    /// Compares the wall clock with the monotonic clock; returns true if that shows a new step.
    pub fn observe(&mut self) -> bool {
        let before = self.now();
        let unix = unix_now();
        let after = self.now();
        if after - before > MAX_READING_TIME {
            return false;
        }
        self.observe_offset(unix - (before + (after - before) / 2), after)
    }

    /// Takes over the offset that this machine's clocks show at `now`; returns true if it is a new candidate.
    pub(crate) fn observe_offset(&mut self, offset: Micros, now: Micros) -> bool {
        if near(offset, self.offset()) {
            (self.candidate, self.own_error) = (None, 0);
            return false;
        }
        let offset = offset - self.own_error;
        if near(offset, self.offset()) {
            self.candidate = None;
            return false;
        }
        if self.candidate.is_some_and(|known| near(known.offset, offset)) {
            return false;
        }
        self.candidate = Some(Candidate { first_seen: now, offset });
        true
    }

    /// Returns the offset that the other machines' times are known to have.
    pub fn offset(&self) -> Micros {
        self.segments.last().map_or(0, |segment| segment.offset)
    }

    /// Returns when the latest step was first seen that others have confirmed.
    pub fn stepped_at(&self) -> Micros {
        self.segments.last().map_or(Micros::MIN, |segment| segment.from)
    }

    /// Returns the offset that this machine's clocks show, if it differs from the one in use.
    pub fn candidate(&self) -> Option<Candidate> {
        self.candidate
    }

    /// Returns how far the candidate differs from the offset in use.
    pub fn candidate_step(&self) -> Micros {
        self.candidate.map_or(0, |candidate| candidate.offset - self.offset())
    }

    /// Whether a candidate is so recent that the other machines' times may still follow it.
    pub fn is_candidate_recent(&self, now: Micros) -> bool {
        self.candidate.is_some_and(|candidate| now - candidate.first_seen <= CANDIDATE_WINDOW)
    }

    /// Puts the candidate in force: a db host has reported a time that only the candidate explains.
    pub fn confirm_candidate(&mut self) {
        let Some(Candidate { first_seen, offset }) = self.candidate.take() else { return };
        if self.segments.len() == MAX_SEGMENTS {
            self.segments.remove(0);
        }
        self.segments.push(Segment { from: first_seen, offset });
    }

    /// Converts a Unix time in milliseconds, such as the start of a db host or the commit of a session, to
    /// the latest moment that it can mean, at most now. After a step back one Unix time can mean two moments.
    pub fn latest_at_unix_ms(&self, ms: f64) -> Micros {
        let (unix, now) = (unix_micros(ms), self.now());
        let candidate = self.candidate.map(|c| Segment { from: c.first_seen, offset: c.offset });
        let segments: Vec<_> = self.segments.iter().copied().chain(candidate).collect();
        let ends = segments.iter().skip(1).map(|next| next.from).chain([now]);
        let moments = segments.iter().zip(ends).filter_map(|(segment, end)| {
            let at = unix - segment.offset;
            let within = at >= segment.from.saturating_sub(STEP_TOLERANCE) && at <= end + STEP_TOLERANCE;
            within.then_some(at)
        });
        // A time that no clock has shown is from the future, or was skipped by a step forward.
        moments.max().unwrap_or(unix - self.offset()).min(now)
    }
}

fn unix_now() -> Micros {
    micros(SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or(Duration::ZERO))
}

fn micros(d: Duration) -> Micros {
    Micros::try_from(d.as_micros()).unwrap_or(Micros::MAX)
}

#[cfg(test)]
mod tests;
