//! The distance between Unix time and the proxy's clock at the start of the process, which the process's own wall clock shows and
//! may show wrongly. Primaries stand at the present: what they tell shows the distance that all other machines have.
//!
//! A distance that is too small makes replicas look more recent than they are. A primary's time is never ahead of the present, so
//! that a distance can always be raised to what it shows; it is lowered only to what several agree on.

use leadmast::Micros;

use crate::unix_time::STEP_TOLERANCE;

/// A primary's time that is older by the distance in use was told by a clock that differs. A process that is held up, or a slow
/// answer, explains less.
const LATEST: Micros = 1_000_000;
/// So many times have to agree, to within this, over this span at least, to lower the distance.
const AGREEING: usize = 4;
const AGREEMENT: Micros = 200_000;
const AGREEMENT_SPAN: Micros = 20_000;
/// Without a primary's time by then, what the process's own clock shows is believed: not all deployments have them.
const PATIENCE: Micros = 2_000_000;

/// How long a distance that was lowered is raised again by primaries: the answers that lowered it may all have been slow.
const SETTLING: Micros = 10_000_000;

/// What primaries have shown of the distance of the start.
#[derive(Clone, Debug, Default)]
pub struct StartOffset {
    is_shown: bool,
    /// A primary has told another time than the distance in use explains.
    is_contradicted: bool,
    /// Until when a distance that was lowered settles.
    settles_until: Option<Micros>,
    /// When such times were told, and the distances that they show.
    others: Vec<(Micros, Micros)>,
}

impl StartOffset {
    /// Whether the distance in use may be believed.
    pub fn is_shown(&self, now: Micros) -> bool {
        self.is_shown || (!self.is_contradicted && now >= PATIENCE)
    }

    /// A primary has told at `at` that it stands at this Unix time; gives the distance to use from now on, where it is another
    /// than `offset`.
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

    /// Several that agree lower the distance, to the most of what they show: an answer may have been slow.
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
