//! The offset between Unix time and the proxy's clock at the start of the process. The process's own wall
//! clock shows it, possibly wrongly. A primary's position is always the present, so primaries' reports show
//! the offset that all other machines have.
//!
//! An offset that is too small makes replicas look more recent than they are. A primary's time is never ahead
//! of the present, so the offset can always be raised to what a primary shows; it is lowered only to a value
//! that several reports agree on.

use leadmast::Micros;

use crate::unix_time::STEP_TOLERANCE;

/// A primary's time that is older than this, by the offset in use, comes from a clock that differs. A process
/// that was held up or a slow answer explains less.
const MAX_AGE: Micros = 1_000_000;
/// Number of reports that must agree to lower the offset, how closely, and over which span at least.
const MIN_AGREEING: usize = 4;
const AGREEMENT: Micros = 200_000;
const AGREEMENT_SPAN: Micros = 20_000;
/// Without a primary's report by then, the process's own clock is believed: not every deployment's primaries
/// report times.
const CONFIRMATION_TIMEOUT: Micros = 2_000_000;

/// How long primaries may raise a lowered offset again: the answers that lowered it may all have been slow.
const SETTLING_TIME: Micros = 10_000_000;

/// What primaries have shown about the initial offset.
#[derive(Clone, Debug, Default)]
pub struct StartOffset {
    is_confirmed: bool,
    /// Whether a primary has reported a time that the offset in use does not explain.
    is_contradicted: bool,
    /// Time until which a lowered offset may be raised again.
    settles_until: Option<Micros>,
    /// When such times were reported, and the offsets that they show.
    older_reports: Vec<(Micros, Micros)>,
}

impl StartOffset {
    /// Whether the offset in use may be believed.
    pub fn is_confirmed(&self, now: Micros) -> bool {
        self.is_confirmed || (!self.is_contradicted && now >= CONFIRMATION_TIMEOUT)
    }

    /// Takes over a primary's report, at `at`, that its position is this Unix time. Returns the offset to use
    /// from now on if it differs from `offset`.
    pub fn take_primary_time(&mut self, offset: Micros, at: Micros, unix: Micros) -> Option<Micros> {
        let reported = unix - at;
        let age = offset - reported;
        if self.is_confirmed {
            let settles = self.settles_until.is_some_and(|until| at < until) && age >= -MAX_AGE;
            return (settles && age < 0).then_some(reported);
        }
        if (-STEP_TOLERANCE..=MAX_AGE).contains(&age) {
            self.is_confirmed = true;
            return None;
        }
        self.is_contradicted = true;
        if age < 0 {
            self.older_reports.clear();
            return Some(reported);
        }
        self.lower_if_agreed(at, reported)
    }

    /// Lowers the offset once several reports agree, to the largest of them, because an answer may have been
    /// slow.
    fn lower_if_agreed(&mut self, at: Micros, reported: Micros) -> Option<Micros> {
        self.older_reports.retain(|(_, other)| (reported - other).abs() <= AGREEMENT);
        self.older_reports.push((at, reported));
        let (first, _) = *self.older_reports.first()?;
        if self.older_reports.len() < MIN_AGREEING || at - first < AGREEMENT_SPAN {
            return None;
        }
        (self.is_confirmed, self.settles_until) = (true, Some(at + SETTLING_TIME));
        let largest = self.older_reports.iter().map(|(_, other)| *other).max();
        self.older_reports = Vec::new();
        largest
    }
}

#[cfg(test)]
mod tests;
