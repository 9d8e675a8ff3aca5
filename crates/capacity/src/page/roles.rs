//! The block that tells, for each role and resource, the ordinary day and the worst moment of the events.

use super::tables::with_ratio;
use super::Table;
use crate::model::Model;
use crate::rows::{self, Event, Role, Row, ROLES};
use crate::units::{Resource, RESOURCES};

/// Where no row is about a resource of a role.
const NO_ROW: &str = "not measured: no row";

/// For each role and resource, all quantities of the ordinary day, and of each event.
pub(super) fn roles(model: &Model<'_>) -> String {
    let rows = rows::all(model);
    let mut table = Table::new(&["role", "resource", "ordinary day", "worst moments"]);
    for role in ROLES {
        for resource in RESOURCES {
            let of_cell = |row: &&Row| row.role == role && row.unit.resource() == resource;
            let found: Vec<&Row> = rows.iter().filter(of_cell).collect();
            // That a role takes time for something is no resource which it must have.
            if found.is_empty() && resource == Resource::Time {
                continue;
            }
            table.row(&cells(role, resource, &found));
        }
    }
    table.0
}

fn cells(role: Role, resource: Resource, rows: &[&Row]) -> [String; 4] {
    let (ordinary, events): (Vec<&Row>, Vec<&Row>) =
        rows.iter().partition(|row| row.event == Event::OrdinaryDay);
    let ordinary: Vec<String> = ordinary.into_iter().map(on_quantity).collect();
    let events: Vec<String> = worst_of_each(&events).into_iter().map(on_event).collect();
    [role.name().to_owned(), resource.name().to_owned(), or_no_row(&ordinary), or_no_row(&events)]
}

fn on_quantity(row: &Row) -> String {
    format!("{}: {}", row.quantity, with_ratio(row))
}

fn on_event(row: &Row) -> String {
    format!("{}: {}, {}", row.event.name(), row.quantity, with_ratio(row))
}

fn or_no_row(texts: &[String]) -> String {
    if texts.is_empty() {
        NO_ROW.to_owned()
    } else {
        texts.join("; ")
    }
}

/// Of all rows about one quantity the worst: the highest value, where it is known at some event.
fn worst_of_each<'a>(rows: &[&'a Row]) -> Vec<&'a Row> {
    let mut worst: Vec<&Row> = Vec::new();
    for &row in rows {
        match worst.iter_mut().find(|other| other.quantity == row.quantity) {
            Some(other) if row.outcome().value() > other.outcome().value() => *other = row,
            Some(_) => {}
            None => worst.push(row),
        }
    }
    worst
}
