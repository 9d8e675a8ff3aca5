//! Unix times as other machines report them, and how closely two clocks can be compared.

use leadmast::Micros;

/// Bound on Unix times in milliseconds, further from 1970 than any real one.
const MAX_UNIX_MS: f64 = 1e14;
/// Differences between two clocks up to this are no step: times come in whole milliseconds, and reading two
/// clocks takes a while.
pub const STEP_TOLERANCE: Micros = 20_000;

/// Whether two clock offsets are equal up to the error of reading the clocks.
pub fn near(one: Micros, other: Micros) -> bool {
    (one - other).abs() <= STEP_TOLERANCE
}

/// Converts a Unix time from milliseconds to microseconds. It comes from outside, so it is clamped to keep
/// sums with it in range.
pub fn unix_micros(ms: f64) -> Micros {
    (ms.clamp(-MAX_UNIX_MS, MAX_UNIX_MS) * 1000.0).round() as Micros
}
