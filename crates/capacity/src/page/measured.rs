//! The blocks that tell what was measured.

use super::Table;
use crate::fit::Point;
use crate::model::Model;
use crate::record::{names, Check, Record, Series, PREDICTION_BOUND};
use crate::resting::{Pool, Use};
use crate::units::{number, Unit};

/// The run that the page rests on.
pub(super) fn run(model: &Model<'_>) -> String {
    let record = model.record;
    if record.series.is_empty() && record.figures.is_empty() {
        return "Not measured: there is no record of a run.".to_owned();
    }
    let bound = Unit::Share.show(PREDICTION_BOUND);
    let held = record.series.iter().filter(|series| series.check.holds()).count();
    let mut text = format!(
        "Program {}, on a machine of {} cores. {} slopes, of which {held} predict a further size within {bound}; {} other figures.",
        record.program,
        record.cores,
        record.series.len(),
        record.figures.len(),
    );
    if record.quick {
        text.push_str("\n\n**A quick run: its figures are no basis for a decision.**");
    }
    text
}

/// All slopes, with what the further size says of them.
pub(super) fn slopes(model: &Model<'_>) -> String {
    let mut table = Table::new(&[
        "slope",
        "unit",
        "slope ± standard error",
        "at 0",
        "fitted to",
        "further size: measured, predicted, off",
        "how",
    ]);
    for series in &model.record.series {
        table.row(&slope_cells(series));
    }
    or_not_measured(table, model.record.series.is_empty())
}

fn slope_cells(series: &Series) -> Vec<String> {
    let check = &series.check;
    let verdict = if check.holds() { "" } else { ": **not confirmed**" };
    vec![
        format!("`{}`", series.name),
        format!("{}, by {}", series.y_unit, series.x_unit),
        format!("{} ± {}", number(series.line.slope), number(series.line.slope_error)),
        number(series.line.intercept),
        points(&series.points),
        format!(
            "{}: {}, {}, {}{verdict}",
            number(check.measured.x),
            number(check.measured.y),
            number(check.predicted),
            off(check)
        ),
        series.how.clone(),
    ]
}

/// How far the line was off; without bound where nothing was measured.
fn off(check: &Check) -> String {
    if check.measured.y == 0.0 && check.off > 0.0 {
        "without bound".to_owned()
    } else {
        Unit::Share.show(check.off)
    }
}

fn points(points: &[Point]) -> String {
    let shown = points.iter().map(|point| format!("{}: {}", number(point.x), number(point.y)));
    shown.collect::<Vec<_>>().join("; ")
}

/// The model of resting connections beside what was measured, point by point.
pub(super) fn resting_model(model: &Model<'_>) -> String {
    resting_table(model.record).map_or_else(|| "Not measured.".to_owned(), |table| table.0)
}

fn resting_table(record: &Record) -> Option<Table> {
    let held = record.series(names::STATEMENT_CONNECTIONS_BY_HOSTS)?;
    let opened = record.series(names::STATEMENT_OPENED_BY_HOSTS)?;
    let rate = record.figure(names::STATEMENT_RATE)?.value;
    let rest = record.figure(names::STATEMENT_REST_SECONDS)?.value;
    let mut table = Table::new(&[
        "db hosts",
        "connections held: measured",
        "by the model",
        "new connections over statements: measured",
        "by the model",
    ]);
    for point in all_points(held) {
        // The stand-ins for db hosts answer at once.
        let pool = Pool::of_hosts(rate, point.x, Use { work: 0.0, rest });
        let measured_opened = all_points(opened).find(|other| other.x == point.x);
        table.row(&[
            number(point.x),
            number(point.y),
            number(pool.held),
            measured_opened.map_or("not measured".to_owned(), |point| Unit::Share.show(point.y)),
            Unit::Share.show(pool.opened / rate),
        ]);
    }
    Some(table)
}

/// The points of the fit and the further size.
fn all_points(series: &Series) -> impl Iterator<Item = Point> + '_ {
    series.points.iter().copied().chain([series.check.measured])
}

/// All other figures.
pub(super) fn figures(model: &Model<'_>) -> String {
    let mut table = Table::new(&["figure", "value", "how"]);
    for figure in &model.record.figures {
        let value = format!("{} {}", number(figure.value), figure.unit);
        table.row(&[format!("`{}`", figure.name), value, figure.how.clone()]);
    }
    or_not_measured(table, model.record.figures.is_empty())
}

fn or_not_measured(table: Table, empty: bool) -> String {
    if empty {
        "Not measured.".to_owned()
    } else {
        table.0
    }
}
