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
const LATEST: Micros = 1_000_000;
/// Number of reports that must agree to lower the offset, how closely, and over which span at least.
const AGREEING: usize = 4;
const AGREEMENT: Micros = 200_000;
const AGREEMENT_SPAN: Micros = 20_000;
/// Without a primary's report by then, the process's own clock is believed: not every deployment's primaries
/// report times.
const PATIENCE: Micros = 2_000_000;

/// How long primaries may raise a lowered offset again: the answers that lowered it may all have been slow.
const SETTLING: Micros = 10_000_000;

/// What primaries have shown about the initial offset.
#[derive(Clone, Debug, Default)]
pub struct StartOffset {
    is_shown: bool,
    /// Whether a primary has reported a time that the offset in use does not explain.
    is_contradicted: bool,
    /// Time until which a lowered offset may be raised again.
    settles_until: Option<Micros>,
    /// When such times were reported, and the offsets that they show.
    others: Vec<(Micros, Micros)>,
}

impl StartOffset {
    /// Whether the offset in use may be believed.
    pub fn is_shown(&self, now: Micros) -> bool {
        self.is_shown || (!self.is_contradicted && now >= PATIENCE)
    }

    /// Takes over a primary's report, at `at`, that its position is this Unix time. Returns the offset to use
    /// from now on if it differs from `offset`.
    pub fn hear_primary(&mut self, offset: Micros, at: Micros, unix: Micros) -> Option<Micros> {
        let shown = unix - at;
        let age = offset - shown;
        if self.is_shown {
            let settles = self.settles_until.is_some_and(|until| at < until) && age >= -LATEST;
            return (settles && age < 0).then_some(shown);
        }
        if (-STEP_TOLERANCE..=LATEST).contains(&age) {
            self.is_shown = true;
            return None;
        }
        self.is_contradicted = true;
        if age < 0 {
            self.others.clear();
            return Some(shown);
        }
        self.take_older(at, shown)
    }

    /// Lowers the offset once several reports agree, to the largest of them, because an answer may have been
    /// slow.
    fn take_older(&mut self, at: Micros, shown: Micros) -> Option<Micros> {
        self.others.retain(|(_, other)| (shown - other).abs() <= AGREEMENT);
        self.others.push((at, shown));
        let (first, _) = *self.others.first()?;
        if self.others.len() < AGREEING || at - first < AGREEMENT_SPAN {
            return None;
        }
        (self.is_shown, self.settles_until) = (true, Some(at + SETTLING));
        let most = self.others.iter().map(|(_, other)| *other).max();
        self.others = Vec::new();
        most
    }
}

#[cfg(test)]
mod tests;
