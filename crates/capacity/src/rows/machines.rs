//! One of the machines that are set aside for control, while all are there and while some are not.

use super::{limit_by, Event, Mechanism, Role, Row};
use crate::assumptions::Assumption;
use crate::formula::{Factor, Formula};
use crate::model::Model;
use crate::record::names;
use crate::units::Unit;

const ONE_PROCESS: Mechanism = Mechanism::Missing(
    "discovery on several machines: what is measured is one process, its watches are not shared out",
);

fn row(event: Event, quantity: &'static str, unit: Unit, formula: Formula) -> Row {
    Row { role: Role::ControlMachine, event, quantity, unit, formula, limit: None, mechanism: ONE_PROCESS }
}

pub(super) fn rows(model: &Model<'_>) -> Vec<Row> {
    let design = &model.design;
    let machines = design.control_machines;
    let cores = model.assumed(Assumption::ControlCores);
    let watches = |event, proxies, machines, of| {
        row(
            event,
            "watches",
            Unit::Count,
            Formula::product([
                model.line_at(names::DISCOVERY_WATCHES_BY_PROXIES, proxies, Unit::Count),
                Factor::over(machines, of),
            ]),
        )
    };
    let burst = |event, machines, of| Row {
        limit: limit_by(cores, "its cores"),
        ..row(
            event,
            "processor time in a burst of changes",
            Unit::Cores,
            Formula::product([
                Factor::times(model.assumed(Assumption::BurstChanges), "changes at once"),
                model.line_at(names::DISCOVERY_CHANGE_CPU_BY_PROXIES, design.proxies, Unit::Seconds),
                Factor::over(model.allowed.change_seconds, "s"),
                Factor::over(machines, of),
            ]),
        )
    };
    let reconnect = Row {
        limit: limit_by(cores, "its cores"),
        ..row(
            Event::WatchesCut,
            "processor time while watches come back",
            Unit::Cores,
            Formula::product([
                model.line_at(names::DISCOVERY_RECONNECT_CPU_BY_PROXIES, design.proxies, Unit::Seconds),
                Factor::over(model.allowed.change_seconds, "s"),
                Factor::over(machines, "machines"),
            ]),
        )
    };
    let lists = |event, proxies: f64, machines, what, of| {
        row(
            event,
            "bytes of whole lists sent",
            Unit::BytesPerSecond,
            Formula::product([
                Factor::times(proxies, what),
                model.line_at(names::RESTART_BYTES_BY_HOSTS, design.hosts, Unit::Bytes),
                Factor::over(model.allowed.change_seconds, "s"),
                Factor::over(machines, of),
            ]),
        )
    };
    let of_region = machines / design.regions;
    // One machine stands in each zone, so a zone that goes takes one along.
    let zone_left = machines - machines / design.zones;
    let memory = row(
        Event::OrdinaryDay,
        "memory",
        Unit::Bytes,
        Formula::product([
            model.line_at(names::DISCOVERY_MEMORY_BY_PROXIES, design.proxies, Unit::Bytes),
            Factor::over(machines, "machines"),
        ]),
    );
    vec![
        watches(Event::OrdinaryDay, design.proxies, machines, "machines"),
        watches(Event::ZoneLost, design.proxies - model.proxies_of_zone(), zone_left, "machines left"),
        memory,
        reconnect,
        lists(
            Event::RegionCutOff,
            model.proxies_of_region(),
            of_region,
            "proxies of the region",
            "machines of the region",
        ),
        lists(Event::Release, model.proxies_of_wave(), machines, "proxies restarted at once", "machines"),
        burst(Event::ChangeBurst, machines, "machines"),
        burst(Event::ZoneLost, zone_left, "machines left"),
    ]
}
