//! Load reports, which db hosts send in answer to probes.

use leadmast::{Micros, Report};

/// Parses a load report, such as `x0=1767225600.123,x1=1`: a position in Unix seconds, and the role (1 for a
/// primary). Returns `None` if any part is invalid. `position` converts a position in milliseconds, given the
/// role, and returns `None` for one that is not plausible.
pub(super) fn parse_load_report(
    row: &[u8],
    fields: &[String],
    position: impl FnOnce(f64, Option<bool>) -> Option<Micros>,
) -> Option<Report> {
    let (mut report, mut position_ms) = (Report::default(), None);
    for pair in std::str::from_utf8(row).ok()?.split(',') {
        let (name, value) = pair.split_once('=')?;
        let name = name.trim();
        if !fields.iter().any(|f| f == name) {
            continue;
        }
        let value = value.trim().parse::<f64>().ok().filter(|v| v.is_finite())?;
        match name {
            "x0" => position_ms = Some(value * 1000.0),
            "x1" => report.primary = Some(value == 1.0),
            "concurrent" => report.inflight = Some(value),
            "depth" => report.queue = Some(value),
            _ => {}
        }
    }
    if let Some(ms) = position_ms {
        report.position = Some(position(ms, report.primary)?);
    }
    Some(report)
}
