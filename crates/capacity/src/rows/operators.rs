//! The operators' figures and log.

use super::{Event, Mechanism, Role, Row};
use crate::assumptions::Assumption;
use crate::formula::{Factor, Formula};
use crate::model::Model;
use crate::record::names;
use crate::units::Unit;

const LOG: Mechanism = Mechanism::Present("standard error of each proxy; a collector is the operators' own");

fn row(event: Event, quantity: &'static str, formula: Formula, mechanism: Mechanism) -> Row {
    let (role, unit) = (Role::Operators, Unit::BytesPerSecond);
    Row { role, event, quantity, unit, formula, limit: None, mechanism }
}

pub(super) fn rows(model: &Model<'_>) -> Vec<Row> {
    let proxies = || Factor::times(model.design.proxies, "proxies");
    vec![
        row(
            Event::OrdinaryDay,
            "figures of all proxies",
            Formula::product([
                proxies(),
                model.line_at(names::FIGURES_BYTES_BY_HOSTS, model.design.hosts, Unit::Bytes),
                Factor::over(model.assumed(Assumption::ScrapeSeconds), "s"),
            ]),
            Mechanism::Present("the operators' address of each proxy; a collector is the operators' own"),
        ),
        row(
            Event::OrdinaryDay,
            "log of all proxies",
            Formula::product([proxies(), model.figure(names::LOG_BYTES, Unit::BytesPerSecond)]),
            LOG,
        ),
        row(
            Event::ZoneLost,
            "log of all proxies in the worst second",
            Formula::product([proxies(), model.figure(names::LOG_BYTES_ZONE_LOST, Unit::BytesPerSecond)]),
            LOG,
        ),
    ]
}
