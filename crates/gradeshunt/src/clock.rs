//! Time: monotonic microseconds for the module, and their fixed distance from Unix time.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use leadmast::Micros;

/// Further from 1970 than any time that is meant, in milliseconds.
const FAR: f64 = 1e14;

/// So far a db host's clock may be ahead.
const AHEAD: Micros = 1_000_000;

/// The proxy's clock. It starts near zero, and never follows a step of the system's clock: positions and
/// commits are compared with each other, so one offset has to serve for all of them.
pub struct Clock {
    start: Instant,
    unix_at_start: Micros,
}

impl Clock {
    pub fn start() -> Self {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or(Duration::ZERO);
        Clock { start: Instant::now(), unix_at_start: micros(unix) }
    }

    pub fn now(&self) -> Micros {
        micros(self.start.elapsed())
    }

    /// Unix time in milliseconds, on this clock. It comes from outside: what no calendar holds is cut off,
    /// so that sums with it stay in range.
    pub fn at_unix_ms(&self, ms: f64) -> Micros {
        (ms.clamp(-FAR, FAR) * 1000.0).round() as Micros - self.unix_at_start
    }

    /// A position that a db host tells, in Unix milliseconds. All machines read one clock: one from the future
    /// is noise, and believing it would make a replica pass for current for ever.
    pub fn position(&self, ms: f64) -> Option<Micros> {
        let at = Some(ms).filter(|ms| ms.is_finite()).map(|ms| self.at_unix_ms(ms));
        at.filter(|at| *at <= self.now() + AHEAD)
    }
}

fn micros(d: Duration) -> Micros {
    Micros::try_from(d.as_micros()).unwrap_or(Micros::MAX)
}
