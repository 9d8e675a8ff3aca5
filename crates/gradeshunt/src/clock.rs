//! Time: monotonic microseconds for everything that the proxy waits for, and how Unix times that others tell map to them.
//!
//! Deadlines, windows and ages are spans on the monotonic clock alone. Unix times come from other machines: positions of db
//! hosts, commits that clients carry, starts of db hosts. All machines read one wall clock, which may be stepped in either
//! direction while the proxy runs. So the distance between the two clocks is kept as a history: a time that was told before a
//! step is read with the distance of then.
//!
//! The proxy's own wall clock alone proves nothing about the others': a distance that differs from the one in use is a candidate
//! until a db host tells a position that only the candidate explains ([`crate::position`]). The same holds for the distance at
//! the start, until primaries have shown it ([`crate::start_offset`]).

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use leadmast::Micros;

use crate::start_offset::StartOffset;
use crate::unix_time::{near, unix_micros, STEP_TOLERANCE};

/// So far a db host's clock may be ahead.
pub const AHEAD: Micros = 1_000_000;
/// A reading of both clocks that took longer says nothing.
const LONGEST_READING: Micros = 5_000;
/// How long a candidate that nobody has confirmed makes positions count as old as either distance says.
const CANDIDATE_DOUBT: Micros = 1_000_000;
/// Steps that are remembered: a time from before the oldest is read as if it were from after it.
const STEPS: usize = 16;

/// A distance between the wall clock and the monotonic one, in force from a moment on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Segment {
    from: Micros,
    /// Unix time less monotonic time.
    offset: Micros,
}

/// Another distance, which this machine's wall clock shows since a moment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Candidate {
    pub seen: Micros,
    pub offset: Micros,
}

/// The proxy's clock. It starts near zero.
pub struct Clock {
    start: Instant,
    /// The distances that db hosts' times have shown, the latest last; never empty.
    segments: Vec<Segment>,
    candidate: Option<Candidate>,
    start_offset: StartOffset,
    /// By how much this machine's wall clock was ahead of the others' at the start.
    own_error: Micros,
}

impl Clock {
    /// A clock that starts now.
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

    /// Monotonic time since the start.
    pub fn now(&self) -> Micros {
        micros(self.start.elapsed())
    }

    /// By how much this machine's wall clock is ahead of the others', for all that is known.
    pub fn own_error(&self) -> Micros {
        self.own_error
    }

    /// A primary has told at `at` that it stands at this Unix time.
    pub fn hear_primary(&mut self, at: Micros, unix: Micros) {
        let shown = self.start_offset.hear_primary(self.offset(), at, unix);
        if let Some(offset) = shown {
            self.own_error += self.offset() - offset;
            self.segments = vec![Segment { from: Micros::MIN, offset }];
            self.candidate = None;
        }
    }

    /// Whether the distance of the start is the others' as well, for all that is known.
    pub fn is_shown(&self, now: Micros) -> bool {
        self.start_offset.is_shown(now)
    }

    /// Compares the wall clock with the monotonic one; true where that shows a step that was not known.
    pub fn observe(&mut self) -> bool {
        let before = self.now();
        let unix = unix_now();
        let after = self.now();
        if after - before > LONGEST_READING {
            return false;
        }
        self.take_offset(unix - (before + (after - before) / 2), after)
    }

    /// Takes over the distance that the clocks of this machine show at `now`.
    pub(crate) fn take_offset(&mut self, offset: Micros, now: Micros) -> bool {
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
        self.candidate = Some(Candidate { seen: now, offset });
        true
    }

    /// The distance that the others' times are known to have.
    pub fn offset(&self) -> Micros {
        self.segments.last().map_or(0, |segment| segment.offset)
    }

    /// When the latest step was seen that others have confirmed.
    pub fn stepped_at(&self) -> Micros {
        self.segments.last().map_or(Micros::MIN, |segment| segment.from)
    }

    /// The distance that this machine shows, where it is another.
    pub fn candidate(&self) -> Option<Candidate> {
        self.candidate
    }

    /// By how much the candidate differs from the distance that the others' times are known to have.
    pub fn candidate_step(&self) -> Micros {
        self.candidate.map_or(0, |candidate| candidate.offset - self.offset())
    }

    /// Whether a candidate is so new that the others' times may follow it, for all that is known.
    pub fn is_in_doubt(&self, now: Micros) -> bool {
        self.candidate.is_some_and(|candidate| now - candidate.seen <= CANDIDATE_DOUBT)
    }

    /// A db host has told a time that only the candidate explains.
    pub fn confirm(&mut self) {
        let Some(Candidate { seen, offset }) = self.candidate.take() else { return };
        if self.segments.len() == STEPS {
            self.segments.remove(0);
        }
        self.segments.push(Segment { from: seen, offset });
    }

    /// A Unix time in milliseconds as the latest moment that it can mean, at most now: when a db host has started, or a
    /// session has committed. After a step back one Unix time can mean two moments.
    pub fn latest_at_unix_ms(&self, ms: f64) -> Micros {
        let (unix, now) = (unix_micros(ms), self.now());
        let candidate = self.candidate.map(|c| Segment { from: c.seen, offset: c.offset });
        let segments: Vec<_> = self.segments.iter().copied().chain(candidate).collect();
        let ends = segments.iter().skip(1).map(|next| next.from).chain([now]);
        let moments = segments.iter().zip(ends).filter_map(|(segment, end)| {
            let at = unix - segment.offset;
            let within = at >= segment.from.saturating_sub(STEP_TOLERANCE) && at <= end + STEP_TOLERANCE;
            within.then_some(at)
        });
        // A time that no clock has shown: one from the future, or one that a step forward has left out.
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
