//! Converts replication positions of db hosts, reported as Unix times, to the proxy's clock.
//!
//! A position is the time up to which a db host has applied every commit. When all wall clocks are stepped,
//! the replication log continues with times from after the step, and each db host crosses the step when it
//! has applied everything before it. So the positions of each db host are read with a clock offset of their
//! own, which changes when only the new offset explains what the db host reports.

use leadmast::Micros;

use crate::clock::{Candidate, Clock, MAX_AHEAD};
use crate::unix_time::{near, unix_micros, STEP_TOLERANCE};

/// A db host's positions advance with real time if they move by at least and at most this share of the time
/// that has passed.
const PACE_BOUNDS: (f64, f64) = (0.75, 1.25);
/// Two positions closer together than this are too close to measure a pace.
const MIN_PACE_SPAN: Micros = 20_000;

/// A position as a db host reported it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Report {
    /// The position, as Unix time.
    unix_time: Micros,
    /// When the report arrived, on the proxy's clock.
    arrived: Micros,
}

impl Report {
    /// Age of the position at its arrival, given this clock offset.
    fn age(self, offset: Micros) -> Micros {
        self.arrived - (self.unix_time - offset)
    }

    /// Whether the position has advanced since `earlier` at the pace of real time.
    fn keeps_pace_since(self, earlier: Report) -> bool {
        let (moved, passed) = (self.unix_time - earlier.unix_time, self.arrived - earlier.arrived);
        let pace = moved as f64 / passed.max(1) as f64;
        passed >= MIN_PACE_SPAN && (PACE_BOUNDS.0..=PACE_BOUNDS.1).contains(&pace)
    }
}

/// Reads the positions of one db host.
#[derive(Clone, Debug, Default)]
pub struct PositionReader {
    /// The offset between Unix time and the proxy's clock that this db host's positions have; `None` before
    /// the first one.
    offset: Option<Micros>,
    latest: Option<Report>,
    /// The last report before the latest step.
    before_step: Option<Report>,
    /// The last report from before primaries had shown the initial clock offset.
    held_back: Option<Report>,
}

impl PositionReader {
    /// Converts a position reported at `now`, in Unix milliseconds, to the proxy's clock, never later than it
    /// may be. Returns `None` for a position from the future: believing it would make a replica count as
    /// current for ever.
    pub fn read(&mut self, clock: &mut Clock, now: Micros, ms: f64, primary: Option<bool>) -> Option<Micros> {
        if !ms.is_finite() {
            return None;
        }
        let report = Report { unix_time: unix_micros(ms), arrived: now };
        if primary == Some(true) {
            clock.take_primary_time(now, report.unix_time);
        }
        // To a process that has started with its clock behind, a replica that lags would look current.
        if primary != Some(true) && !clock.is_offset_confirmed(now) {
            self.held_back = Some(report);
            return None;
        }
        self.held_back = None;
        let offset = self.choose_offset(clock, report, primary);
        self.offset = clock.is_offset_confirmed(now).then_some(offset);
        self.before_step = self.last_before(clock.stepped_at());
        self.latest = Some(report);
        let position = report.unix_time - offset;
        let position = match clock.candidate().filter(|_| clock.is_candidate_recent(now)) {
            Some(candidate) => position.min(report.unix_time - candidate.offset),
            None => position,
        };
        (position <= now + MAX_AHEAD).then_some(position)
    }

    /// Whether a position is held back because it could not be believed when it arrived.
    pub fn has_held_back(&self) -> bool {
        self.held_back.is_some()
    }

    /// Returns the position that was held back, and when it arrived, once it can be believed.
    pub fn take_held_back(&mut self, clock: &Clock, now: Micros) -> Option<(Micros, Micros)> {
        let report = self.held_back.take_if(|_| clock.is_offset_confirmed(now))?;
        let position = report.unix_time - clock.offset();
        (position <= report.arrived + MAX_AHEAD).then_some((position, report.arrived))
    }

    /// Returns the clock offset to read this position with: the previous one, unless the report proves the
    /// candidate that this machine's clock shows, or shows that this db host has crossed a step that other db
    /// hosts have confirmed.
    fn choose_offset(&self, clock: &mut Clock, report: Report, primary: Option<bool>) -> Micros {
        let offset = self.offset.unwrap_or(clock.offset());
        if let Some(Candidate { offset: candidate, .. }) = clock.candidate() {
            if !near(candidate, offset) && self.proves(offset, candidate, report, primary) {
                clock.confirm_candidate();
                return candidate;
            }
        }
        let (confirmed, step) = (clock.offset(), clock.stepped_at());
        let crossed = !near(confirmed, offset) && self.has_crossed(step, offset, confirmed, report, primary);
        if crossed {
            confirmed
        } else {
            offset
        }
    }

    /// Whether only the offset `to` explains the report, whatever other db hosts report.
    fn proves(&self, from: Micros, to: Micros, report: Report, primary: Option<bool>) -> bool {
        let (age_before, age_after) = (report.age(from), report.age(to));
        if age_after < -STEP_TOLERANCE {
            return false;
        }
        let from_the_future = age_before < -STEP_TOLERANCE;
        // Positions only advance: one that falls back by as much as the clock did has crossed the step.
        let fell_back =
            from > to && self.latest.is_some_and(|l| (l.unix_time - report.unix_time) * 2 >= from - to);
        // A primary does not lag.
        let primary_is_current = primary == Some(true) && age_after < age_before.abs();
        from_the_future || fell_back || primary_is_current
    }

    /// Whether this db host's positions are from after a step that others have confirmed.
    fn has_crossed(
        &self,
        step: Micros,
        from: Micros,
        to: Micros,
        report: Report,
        primary: Option<bool>,
    ) -> bool {
        if report.age(to) < -STEP_TOLERANCE {
            return false;
        }
        // After a step forward, a wrong yes can only make the position look older than it is.
        if to > from || self.proves(from, to, report, primary) {
            return true;
        }
        // After a step back, a db host that is stuck at a position from before it would look current once the
        // clock reaches that position again. One that was recent before and advances at the pace of real time
        // has crossed the step.
        let was_recent = self.last_before(step).is_none_or(|before| before.age(from) < (from - to) / 2);
        was_recent && self.latest.is_some_and(|latest| report.keeps_pace_since(latest))
    }

    /// Returns the last report before a step.
    fn last_before(&self, step: Micros) -> Option<Report> {
        self.latest.filter(|latest| latest.arrived < step).or(self.before_step)
    }
}

#[cfg(test)]
mod tests;
