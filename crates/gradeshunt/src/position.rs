//! Positions of db hosts, told as Unix times, on the proxy's clock.
//!
//! A position is the time up to which a db host has applied every commit. When all wall clocks are stepped, the log goes on with
//! times of after the step, and each db host crosses it when it has applied what came before. So each db host's positions
//! are read with a distance of their own, which changes when what it tells can be explained by the new one alone.

use leadmast::Micros;

use crate::clock::{Candidate, Clock, AHEAD};
use crate::unix_time::{near, unix_micros, STEP_TOLERANCE};

/// A db host that tells positions at the pace of real time moves on by this share of the time passed, at least and at most.
const PACE: (f64, f64) = (0.75, 1.25);
/// Two positions that lie closer in time say nothing of a pace.
const SHORTEST_PACE: Micros = 20_000;

/// A position as it was told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Told {
    /// Unix time.
    unix: Micros,
    /// When it came.
    at: Micros,
}

impl Told {
    /// How old the position was when it came, by this distance of the clocks.
    fn age(self, offset: Micros) -> Micros {
        self.at - (self.unix - offset)
    }

    /// Whether it has moved on since `earlier` as real time has.
    fn keeps_pace_since(self, earlier: Told) -> bool {
        let (moved, passed) = (self.unix - earlier.unix, self.at - earlier.at);
        let pace = moved as f64 / passed.max(1) as f64;
        passed >= SHORTEST_PACE && (PACE.0..=PACE.1).contains(&pace)
    }
}

/// Reads the positions of one db host.
#[derive(Clone, Debug, Default)]
pub struct PositionReader {
    /// The distance between Unix time and the proxy's clock that its positions have; none before the first.
    offset: Option<Micros>,
    latest: Option<Told>,
    /// What was told last before the latest step.
    before_step: Option<Told>,
    /// What was told last before primaries had shown the distance of the start.
    unshown: Option<Told>,
}

impl PositionReader {
    /// A position told at `now` as Unix time in milliseconds, on the proxy's clock, and never later than it may be. `None` for
    /// one from the future: believing it would make a replica pass for current for ever.
    pub fn read(&mut self, clock: &mut Clock, now: Micros, ms: f64, primary: Option<bool>) -> Option<Micros> {
        if !ms.is_finite() {
            return None;
        }
        let told = Told { unix: unix_micros(ms), at: now };
        if primary == Some(true) {
            clock.hear_primary(now, told.unix);
        }
        // A replica that lags would look current to a process that has started with its clock behind.
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

    /// Whether it holds a position that could not be believed yet.
    pub fn holds_unshown(&self) -> bool {
        self.unshown.is_some()
    }

    /// A position that could not be believed when it came, and when that was, once it can be.
    pub fn take_unshown(&mut self, clock: &Clock, now: Micros) -> Option<(Micros, Micros)> {
        let told = self.unshown.take_if(|_| clock.is_shown(now))?;
        let position = told.unix - clock.offset();
        (position <= told.at + AHEAD).then_some((position, told.at))
    }

    /// The distance to read this position with: the former one, or where what was told asks for it the one that this machine
    /// shows, or the one that other db hosts have confirmed.
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

    /// Whether only the distance `to` explains what was told, whatever other db hosts tell.
    fn proves(&self, from: Micros, to: Micros, told: Told, primary: Option<bool>) -> bool {
        let (age_before, age_after) = (told.age(from), told.age(to));
        if age_after < -STEP_TOLERANCE {
            return false;
        }
        let from_the_future = age_before < -STEP_TOLERANCE;
        // Positions move on: one that falls back by as much as the clock has crossed the step.
        let fell_back = from > to && self.latest.is_some_and(|l| (l.unix - told.unix) * 2 >= from - to);
        // A primary lags behind nobody.
        let primary_is_current = primary == Some(true) && age_after < age_before.abs();
        from_the_future || fell_back || primary_is_current
    }

    /// Whether this db host's positions are from after a step that others have confirmed.
    fn has_crossed(&self, step: Micros, from: Micros, to: Micros, told: Told, primary: Option<bool>) -> bool {
        if told.age(to) < -STEP_TOLERANCE {
            return false;
        }
        // After a step forward this can only make it look older than it is.
        if to > from || self.proves(from, to, told, primary) {
            return true;
        }
        // After a step back a db host that stands still at a position of before the step would look current, once the clock has
        // come to it again. One that was recent before and moves on at the pace of real time has crossed the step.
        let was_recent = self.before(step).is_none_or(|before| before.age(from) < (from - to) / 2);
        was_recent && self.latest.is_some_and(|latest| told.keeps_pace_since(latest))
    }

    /// What it last told before a step.
    fn before(&self, step: Micros) -> Option<Told> {
        self.latest.filter(|latest| latest.at < step).or(self.before_step)
    }
}

#[cfg(test)]
mod tests;
