//! The blocks that tell what the measured slopes come to.

use super::Table;
use crate::assumptions::{Assumption, ALL};
use crate::comparison::{self, Comparison};
use crate::formula::Outcome;
use crate::model::Model;
use crate::rows::{self, Mechanism, Role, Row, EVENTS, ROLES};
use crate::units::{number, Unit};

const HALF: f64 = 0.5;
const DOUBLE: f64 = 2.0;
const NO_VALUE: &str = "–";

/// The size that is designed for, and what may be spent there.
pub(super) fn size(model: &Model<'_>) -> String {
    let (design, allowed) = (&model.design, &model.allowed);
    let mut table = Table::new(&["stated", "value"]);
    let stated = [
        ("proxies", number(design.proxies)),
        ("db hosts", number(design.hosts)),
        ("client connections", number(design.clients)),
        ("statements a second", number(design.statements)),
        ("regions, zones", format!("{}, {}", number(design.regions), number(design.zones))),
        ("primary changes a day", number(design.primary_changes)),
        ("configuration changes a day", number(design.configuration_changes)),
        ("machines that fail on an ordinary day", number(design.failures)),
        ("machines restarted or replaced on an ordinary day", number(design.restarts)),
        ("control machines", number(design.control_machines)),
        ("a primary change is over within", Unit::Seconds.show(allowed.primary_seconds)),
        ("a configuration change is in force within", Unit::Seconds.show(allowed.change_seconds)),
        ("a proxy's control: processor time", Unit::Cores.show(allowed.control_cores)),
        ("a proxy's control: memory", Unit::Bytes.show(allowed.control_memory)),
        ("a proxy's control: traffic", Unit::BytesPerSecond.show(allowed.control_bytes)),
        ("connections at a db host (aim of placement)", number(allowed.host_connections)),
        (
            "a proxy's connections to db hosts and proxies (aim of placement)",
            number(allowed.proxy_connections),
        ),
        (
            "new connections over statements (aim of placement)",
            Unit::Share.show(allowed.new_connections_share),
        ),
        (
            "the largest load of a proxy over the mean of its group (aim of placement)",
            number(allowed.load_over_mean),
        ),
    ];
    for (what, value) in stated {
        table.row(&[what, &value]);
    }
    table.0
}

/// For each role and event how far over the worst of its quantities is.
pub(super) fn overview(model: &Model<'_>) -> String {
    let rows = rows::all(model);
    let mut columns = vec!["event"];
    columns.extend(ROLES.map(Role::name));
    let mut table = Table::new(&columns);
    for event in EVENTS {
        let mut cells = vec![event.name().to_owned()];
        for role in ROLES {
            let of_cell = rows.iter().filter(|row| (row.role, row.event) == (role, event));
            cells.push(worst(&of_cell.collect::<Vec<_>>()));
        }
        table.row(&cells);
    }
    table.0
}

/// The highest ratio of some rows; where none has one, why.
fn worst(rows: &[&Row]) -> String {
    let highest = rows.iter().filter_map(|row| row.over()).reduce(f64::max);
    let not_measured = rows.iter().filter(|row| row.outcome().value().is_none()).count();
    match (highest, not_measured) {
        (Some(over), 0) => ratio(over),
        (Some(over), some) => format!("{}; {some} not measured", ratio(over)),
        (None, 0) if rows.is_empty() => NO_VALUE.to_owned(),
        (None, 0) => "no limit is stated".to_owned(),
        (None, _) => "not measured".to_owned(),
    }
}

fn ratio(over: f64) -> String {
    if over > 1.0 {
        format!("**{}**", number(over))
    } else {
        number(over)
    }
}

/// Rows that are over what is allowed.
pub(super) fn over(model: &Model<'_>) -> String {
    ranked(model, |row| row.over().is_some_and(|over| over > 1.0))
}

/// Rows that are within what is allowed.
pub(super) fn within(model: &Model<'_>) -> String {
    ranked(model, |row| row.over().is_some_and(|over| over <= 1.0))
}

/// Rows that nothing states a limit of.
pub(super) fn without_limit(model: &Model<'_>) -> String {
    ranked(model, |row| row.limit.is_none() && row.outcome().value().is_some())
}

/// Rows whose slopes were not measured.
pub(super) fn not_measured(model: &Model<'_>) -> String {
    ranked(model, |row| row.outcome().value().is_none())
}

fn ranked(model: &Model<'_>, wanted: impl Fn(&Row) -> bool) -> String {
    let variants = variants(model);
    let rows: Vec<Row> = rows::ranked(model).into_iter().filter(wanted).collect();
    if rows.is_empty() {
        return "None.".to_owned();
    }
    let mut table = Table::new(&[
        "over",
        "role",
        "event",
        "quantity",
        "at the design size",
        "allowed",
        "multiplied out",
        "rests on",
        "carried by",
    ]);
    for row in &rows {
        table.row(&[
            row.over().map_or(NO_VALUE.to_owned(), ratio),
            row.role.name().to_owned(),
            row.event.name().to_owned(),
            row.quantity.to_owned(),
            row.outcome().show(row.unit),
            allowed(row),
            row.formula.text(),
            rests_on(&variants, row),
            carried_by(row.mechanism),
        ]);
    }
    table.0
}

fn allowed(row: &Row) -> String {
    match row.limit {
        None => "not stated".to_owned(),
        Some(limit) if limit.note.is_empty() => row.unit.show(limit.value),
        Some(limit) => format!("{} ({})", row.unit.show(limit.value), limit.note),
    }
}

fn carried_by(mechanism: Mechanism) -> String {
    match mechanism {
        Mechanism::Present(what) => what.to_owned(),
        Mechanism::Missing(what) => format!("**missing**: {what}"),
    }
}

/// The assumptions of a row, and what its measurements leave open.
fn rests_on(variants: &[Variant], row: &Row) -> String {
    let mut grounds = Vec::new();
    grounds.extend(row.formula.missing().iter().map(|name| format!("lacks `{name}`")));
    if !row.formula.is_measured() {
        grounds.push("no measurement".to_owned());
    }
    grounds.extend(row.formula.unconfirmed().iter().map(|name| format!("`{name}`, **not confirmed**")));
    let assumed = variants.iter().filter(|variant| variant.changes(row));
    grounds.extend(assumed.map(|variant| format!("assumption: {}", variant.which.name())));
    if grounds.is_empty() {
        return "measurement alone".to_owned();
    }
    grounds.join("; ")
}

/// All rows where one assumption is halved, and where it is doubled.
struct Variant {
    which: Assumption,
    halved: Vec<Row>,
    doubled: Vec<Row>,
}

impl Variant {
    /// Whether `row` rests on the assumption.
    fn changes(&self, row: &Row) -> bool {
        same_row(&self.doubled, row).is_some_and(|changed| changed != row)
    }
}

fn variants(model: &Model<'_>) -> Vec<Variant> {
    let rows = |which, factor| rows::all(&model.scaled(which, factor));
    ALL.map(|which| Variant { which, halved: rows(which, HALF), doubled: rows(which, DOUBLE) }).into()
}

/// The row of `rows` that is about the same as `row`.
fn same_row<'a>(rows: &'a [Row], row: &Row) -> Option<&'a Row> {
    rows.iter().find(|other| other.is_about_the_same(row))
}

/// Today's program and the program with placement.
pub(super) fn side_by_side(model: &Model<'_>) -> String {
    let mut table = Table::new(&["quantity", "allowed", "today", "over", "with placement", "over"]);
    for comparison in comparison::all(model) {
        let today = comparison.today.as_ref().map(|formula| formula.outcome());
        let today = today.unwrap_or(Outcome::NotMeasured(Vec::new()));
        let placed = comparison.placed.outcome();
        let limit = comparison.limit.map(|value| comparison.unit.show(value));
        table.row(&[
            comparison.quantity.to_owned(),
            limit.unwrap_or_else(|| "not stated".to_owned()),
            today.show(comparison.unit),
            over_limit(&comparison, &today),
            placed.show(comparison.unit),
            over_limit(&comparison, &placed),
        ]);
    }
    table.0
}

fn over_limit(comparison: &Comparison, outcome: &Outcome) -> String {
    match (outcome.value(), comparison.limit) {
        (Some(value), Some(limit)) => ratio(value / limit),
        _ => NO_VALUE.to_owned(),
    }
}

/// The assumptions with their reasons.
pub(super) fn assumptions(model: &Model<'_>) -> String {
    let mut table = Table::new(&["assumption", "value", "halved, doubled", "what it counts", "reason"]);
    for which in ALL {
        let value = model.assumed(which);
        table.row(&[
            which.name().to_owned(),
            number(value),
            format!("{}, {}", number(value * HALF), number(value * DOUBLE)),
            which.unit().to_owned(),
            which.reason().to_owned(),
        ]);
    }
    table.0
}

/// What each assumption does to each row that rests on it.
pub(super) fn effects(model: &Model<'_>) -> String {
    let rows = rows::all(model);
    let mut table =
        Table::new(&["assumption", "role", "event", "quantity", "halved", "as assumed", "doubled"]);
    for variant in variants(model) {
        let known = rows.iter().filter(|row| row.outcome().value().is_some());
        for row in known.filter(|row| variant.changes(row)) {
            let changed = |rows| same_row(rows, row).map_or(NO_VALUE.to_owned(), with_ratio);
            table.row(&[
                variant.which.name().to_owned(),
                row.role.name().to_owned(),
                row.event.name().to_owned(),
                row.quantity.to_owned(),
                changed(&variant.halved),
                with_ratio(row),
                changed(&variant.doubled),
            ]);
        }
    }
    table.0
}

/// What a row comes to and, in brackets, how far over that is.
pub(super) fn with_ratio(row: &Row) -> String {
    let value = row.outcome().show(row.unit);
    match row.over() {
        Some(over) => format!("{value} ({})", ratio(over)),
        None => value,
    }
}
