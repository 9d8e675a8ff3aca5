//! The table of a run, and what of it is missed.

use std::time::Duration;

use gradeshunt_capacity::record::{Record, Series, PREDICTION_BOUND};

use super::Count;
use crate::Report;

/// The table of all slopes, figures and counts. Predictions are checked but in a quick run, counts in any.
pub fn report(record: &Record, counts: &[Count], took: Duration) -> Report {
    let mut report = Report { table: Vec::new(), results: Vec::new(), missed: Vec::new() };
    report.table.push(format!(
        "program {}, {} cores, {}",
        record.program,
        record.cores,
        if record.quick { "quick: counts alone are checked" } else { "whole" }
    ));
    report.table.push(format!(
        "{:<34} {:>12} {:>11} {:>10} {:>12} {:>12} {:>7}",
        "slope", "a unit", "+/-", "further at", "measured", "predicted", "off"
    ));
    for series in &record.series {
        report.table.extend(lines(series));
        if !record.quick && !series.check.holds() {
            report.missed.push(format!("{}: {}", series.name, prediction(series)));
        }
    }
    for figure in &record.figures {
        report.table.push(format!(
            "{:<34} {:>12} {}: {}",
            figure.name,
            number(figure.value),
            figure.unit,
            figure.how
        ));
    }
    for count in counts {
        let (from, to) = (count.expected.start(), count.expected.end());
        let held = if count.holds() { "HELD" } else { "MISSED" };
        report.table.push(format!("{held:<6} {}: {}, of {from} to {to}", count.what, count.found));
        if !count.holds() {
            report.missed.push(format!("{}: {}, not {from} to {to}", count.what, count.found));
        }
    }
    let held = record.series.iter().filter(|s| s.check.holds()).count();
    report.results = vec![
        ("slopes", record.series.len().to_string()),
        ("predicted", held.to_string()),
        ("counts", counts.len().to_string()),
        ("counts_held", counts.iter().filter(|c| c.holds()).count().to_string()),
        ("seconds", took.as_secs().to_string()),
    ];
    report
}

fn lines(series: &Series) -> [String; 2] {
    let Series { name, x_unit, y_unit, line, check, points, .. } = series;
    let held = if check.holds() { "HELD" } else { "MISSED" };
    let first = format!(
        "{name:<34} {:>12} {:>11} {:>10} {:>12} {:>12} {:>6.1}% {held}",
        number(line.slope),
        number(line.slope_error),
        number(check.measured.x),
        number(check.measured.y),
        number(check.predicted),
        check.off * 100.0
    );
    let at: Vec<_> = points.iter().map(|p| format!("{}: {}", number(p.x), number(p.y))).collect();
    let base = number(line.intercept);
    [
        first,
        format!(
            "    {y_unit} by {x_unit}: {base} + slope; residual {}; {}",
            number(line.residual),
            at.join(", ")
        ),
    ]
}

fn prediction(series: &Series) -> String {
    let check = &series.check;
    format!(
        "at {} {} the line gives {} {}, and {} was measured: {:.1}% off, where {:.0}% are allowed",
        number(check.measured.x),
        series.x_unit,
        number(check.predicted),
        series.y_unit,
        number(check.measured.y),
        check.off * 100.0,
        PREDICTION_BOUND * 100.0
    )
}

/// A number of four digits or so.
fn number(value: f64) -> String {
    match value.abs() {
        0.0 => "0".to_owned(),
        size if !(1e-3..1e9).contains(&size) => format!("{value:.3e}"),
        size if size >= 1000.0 => format!("{value:.0}"),
        size if size >= 1.0 => format!("{value:.2}"),
        _ => format!("{value:.5}"),
    }
}

#[cfg(test)]
mod tests;
