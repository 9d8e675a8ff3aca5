//! Converts replication positions of db hosts, reported as Unix times, to the proxy's clock.
//!
//! A position is the time up to which a db host has applied every commit. When all wall clocks are stepped,
//! the replication log continues with times from after the step, and each db host crosses the step when it
//! has applied everything before it. So the positions of each db host are read with a clock offset of their
//! own, which changes when only the new offset explains what the db host reports.

use leadmast::Micros;

use crate::clock::{Candidate, Clock, AHEAD};
use crate::unix_time::{near, unix_micros, STEP_TOLERANCE};

/// A db host's positions advance with real time if they move by at least and at most this share of the time
/// that has passed.
const PACE: (f64, f64) = (0.75, 1.25);
/// Two positions closer together than this are too close to measure a pace.
const SHORTEST_PACE: Micros = 20_000;

/// A position as a db host reported it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Told {
    /// The position, as Unix time.
    unix: Micros,
    /// When the report arrived, on the proxy's clock.
    at: Micros,
}

impl Told {
    /// Age of the position at its arrival, given this clock offset.
    fn age(self, offset: Micros) -> Micros {
        self.at - (self.unix - offset)
    }

    /// Whether the position has advanced since `earlier` at the pace of real time.
    fn keeps_pace_since(self, earlier: Told) -> bool {
        let (moved, passed) = (self.unix - earlier.unix, self.at - earlier.at);
        let pace = moved as f64 / passed.max(1) as f64;
        passed >= SHORTEST_PACE && (PACE.0..=PACE.1).contains(&pace)
    }
}

/// Reads the positions of one db host.
#[derive(Clone, Debug, Default)]
pub struct PositionReader {
    /// The offset between Unix time and the proxy's clock that this db host's positions have; `None` before
    /// the first one.
    offset: Option<Micros>,
    latest: Option<Told>,
    /// The last report before the latest step.
    before_step: Option<Told>,
    /// The last report from before primaries had shown the initial clock offset.
    unshown: Option<Told>,
}

impl PositionReader {
    /// Converts a position reported at `now`, in Unix milliseconds, to the proxy's clock, never later than it
    /// may be. Returns `None` for a position from the future: believing it would make a replica count as
    /// current for ever.
    pub fn read(&mut self, clock: &mut Clock, now: Micros, ms: f64, primary: Option<bool>) -> Option<Micros> {
        if !ms.is_finite() {
            return None;
        }
        let told = Told { unix: unix_micros(ms), at: now };
        if primary == Some(true) {
            clock.hear_primary(now, told.unix);
        }
        // To a process that has started with its clock behind, a replica that lags would look current.
        if primary != Some(true) && !clock.is_shown(now) {
            self.unshown = Some(told);
            return None;
        }
        self.unshown = None;
        let offset = self.follow(clock, told, primary);
        self.offset = clock.is_shown(now).then_some(offset);
        self.before_step = self.before(clock.stepped_at());
        self.latest = Some(told);
        let position = told.unix - offset;
        let position = match clock.candidate().filter(|_| clock.is_in_doubt(now)) {
            Some(candidate) => position.min(told.unix - candidate.offset),
            None => position,
        };
        (position <= now + AHEAD).then_some(position)
    }

    /// Whether a position is held back because it could not be believed when it arrived.
    pub fn holds_unshown(&self) -> bool {
        self.unshown.is_some()
    }

    /// Returns the position that was held back, and when it arrived, once it can be believed.
    pub fn take_unshown(&mut self, clock: &Clock, now: Micros) -> Option<(Micros, Micros)> {
        let told = self.unshown.take_if(|_| clock.is_shown(now))?;
        let position = told.unix - clock.offset();
        (position <= told.at + AHEAD).then_some((position, told.at))
    }

    /// Returns the clock offset to read this position with: the previous one, unless the report proves the
    /// candidate that this machine's clock shows, or shows that this db host has crossed a step that other db
    /// hosts have confirmed.
    fn follow(&self, clock: &mut Clock, told: Told, primary: Option<bool>) -> Micros {
        let offset = self.offset.unwrap_or(clock.offset());
        if let Some(Candidate { offset: candidate, .. }) = clock.candidate() {
            if !near(candidate, offset) && self.proves(offset, candidate, told, primary) {
                clock.confirm();
                return candidate;
            }
        }
        let (confirmed, step) = (clock.offset(), clock.stepped_at());
        let crossed = !near(confirmed, offset) && self.has_crossed(step, offset, confirmed, told, primary);
        if crossed {
            confirmed
        } else {
            offset
        }
    }

    /// Whether only the offset `to` explains the report, whatever other db hosts report.
    fn proves(&self, from: Micros, to: Micros, told: Told, primary: Option<bool>) -> bool {
        let (age_before, age_after) = (told.age(from), told.age(to));
        if age_after < -STEP_TOLERANCE {
            return false;
        }
        let from_the_future = age_before < -STEP_TOLERANCE;
        // Positions only advance: one that falls back by as much as the clock did has crossed the step.
        let fell_back = from > to && self.latest.is_some_and(|l| (l.unix - told.unix) * 2 >= from - to);
        // A primary does not lag.
        let primary_is_current = primary == Some(true) && age_after < age_before.abs();
        from_the_future || fell_back || primary_is_current
    }

    /// Whether this db host's positions are from after a step that others have confirmed.
    fn has_crossed(&self, step: Micros, from: Micros, to: Micros, told: Told, primary: Option<bool>) -> bool {
        if told.age(to) < -STEP_TOLERANCE {
            return false;
        }
        // After a step forward, a wrong yes can only make the position look older than it is.
        if to > from || self.proves(from, to, told, primary) {
            return true;
        }
        // After a step back, a db host that is stuck at a position from before it would look current once the
        // clock reaches that position again. One that was recent before and advances at the pace of real time
        // has crossed the step.
        let was_recent = self.before(step).is_none_or(|before| before.age(from) < (from - to) / 2);
        was_recent && self.latest.is_some_and(|latest| told.keeps_pace_since(latest))
    }

    /// Returns the last report before a step.
    fn before(&self, step: Micros) -> Option<Told> {
        self.latest.filter(|latest| latest.at < step).or(self.before_step)
    }
}

#[cfg(test)]
mod tests;
