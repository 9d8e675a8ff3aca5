//! Unix times as other machines tell them, and how closely two clocks can be compared.

use leadmast::Micros;

/// Further from 1970 than any time that is meant, in milliseconds.
const FAR: f64 = 1e14;
/// Differences of two clocks up to this are no step: times come in whole milliseconds, and reading two clocks takes a while.
pub const STEP_TOLERANCE: Micros = 20_000;

/// Whether two distances are the same but for the reading of the clocks.
pub fn near(one: Micros, other: Micros) -> bool {
    (one - other).abs() <= STEP_TOLERANCE
}

/// A Unix time in milliseconds as microseconds. It comes from outside: what no calendar holds is cut off, so that sums with it
/// stay in range.
pub fn unix_micros(ms: f64) -> Micros {
    (ms.clamp(-FAR, FAR) * 1000.0).round() as Micros
}
