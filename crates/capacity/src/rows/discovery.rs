//! Discovery as a whole, on all control machines.

use super::{limit_by, Event, Limit, Mechanism, Role, Row};
use crate::assumptions::Assumption;
use crate::design::DAY_SECONDS;
use crate::formula::{Factor, Formula};
use crate::model::Model;
use crate::record::names;
use crate::units::Unit;

const SPREAD: Mechanism = Mechanism::Present("proxies spread their calls over 1 to 2 s after the cut");

fn row(event: Event, quantity: &'static str, unit: Unit, formula: Formula, mechanism: Mechanism) -> Row {
    Row { role: Role::Discovery, event, quantity, unit, formula, limit: None, mechanism }
}

pub(super) fn rows(model: &Model<'_>) -> Vec<Row> {
    let mut rows = ordinary(model);
    rows.extend(changes(model));
    rows.extend(reconnects(model));
    rows.extend(whole_lists(model));
    rows
}

/// Cores of all machines that are set aside.
fn cores(model: &Model<'_>) -> Option<Limit> {
    limit_by(model.control_cores(), "all control machines")
}

fn ordinary(model: &Model<'_>) -> Vec<Row> {
    let proxies = model.design.proxies;
    let idle = || model.line_at(names::DISCOVERY_IDLE_CPU_BY_PROXIES, proxies, Unit::Cores);
    let change = || model.line_at(names::DISCOVERY_CHANGE_CPU_BY_PROXIES, proxies, Unit::Seconds);
    vec![
        row(
            Event::OrdinaryDay,
            "watches",
            Unit::Count,
            Formula::product([model.line_at(names::DISCOVERY_WATCHES_BY_PROXIES, proxies, Unit::Count)]),
            Mechanism::Present("a watch a proxy"),
        ),
        row(
            Event::OrdinaryDay,
            "memory",
            Unit::Bytes,
            Formula::product([model.line_at(names::DISCOVERY_MEMORY_BY_PROXIES, proxies, Unit::Bytes)]),
            Mechanism::Present("a watch a proxy"),
        ),
        Row {
            limit: cores(model),
            ..row(
                Event::OrdinaryDay,
                "processor time, idle and changes",
                Unit::Cores,
                Formula::product([idle()]).plus([Factor::times(model.change_rate(), "changes/s"), change()]),
                Mechanism::Present("each change goes to each watch"),
            )
        },
        row(
            Event::PrimaryChange,
            "processor time of telling all proxies",
            Unit::Seconds,
            Formula::product([change()]),
            Mechanism::Present("each change goes to each watch"),
        ),
    ]
}

/// Rows on changes that each proxy is told of.
fn changes(model: &Model<'_>) -> Vec<Row> {
    let at_once = [
        (Event::ChangeBurst, model.assumed(Assumption::BurstChanges)),
        (Event::RackLost, model.changes_of_rack()),
        (Event::ZoneLost, model.changes_of_zone()),
        (Event::ZoneReturns, model.hosts_of_zone()),
    ];
    at_once
        .into_iter()
        .map(|(event, changes)| Row {
            limit: cores(model),
            ..row(
                event,
                "processor time while the changes go out",
                Unit::Cores,
                Formula::product([
                    Factor::times(changes, "changes at once"),
                    model.line_at(
                        names::DISCOVERY_CHANGE_CPU_BY_PROXIES,
                        model.design.proxies,
                        Unit::Seconds,
                    ),
                    Factor::over(model.allowed.change_seconds, "s"),
                ]),
                Mechanism::Missing("changes that are put together: each goes out by itself"),
            )
        })
        .collect()
}

/// Rows on watches that come back.
fn reconnects(model: &Model<'_>) -> Vec<Row> {
    let in_time = || Factor::over(model.allowed.change_seconds, "s");
    let cpu = |event, proxies| Row {
        limit: cores(model),
        ..row(
            event,
            "processor time while watches come back",
            Unit::Cores,
            Formula::product([
                model.line_at(names::DISCOVERY_RECONNECT_CPU_BY_PROXIES, proxies, Unit::Seconds),
                in_time(),
            ]),
            SPREAD,
        )
    };
    let calls = |event, name, mechanism| {
        row(
            event,
            "calls in the worst second",
            Unit::PerSecond,
            Formula::product([
                model.figure(name, Unit::PerSecond),
                Factor::times(model.design.proxies, "proxies"),
            ]),
            mechanism,
        )
    };
    vec![
        cpu(Event::WatchesCut, model.design.proxies),
        cpu(Event::RegionCutOff, model.proxies_of_region()),
        calls(Event::WatchesCut, names::RECONNECT_PEAK_CALLS, SPREAD),
        calls(Event::Release, names::WAVES_PEAK_CALLS, Mechanism::Present("the waves of the release")),
        Row {
            limit: limit_by(model.allowed.change_seconds, "a change is in force"),
            ..row(
                Event::WatchesCut,
                "time until all watches are back, as measured",
                Unit::Seconds,
                Formula::product([model.figure(names::RECONNECT_SECONDS, Unit::Seconds)]),
                SPREAD,
            )
        },
    ]
}

/// Rows on whole lists that go to many proxies at once.
fn whole_lists(model: &Model<'_>) -> Vec<Row> {
    let design = &model.design;
    let out = |event, proxies: f64, what, name| Row {
        limit: limit_by(proxies * model.allowed.control_bytes, "what these proxies may be sent"),
        ..row(
            event,
            "bytes of whole lists sent",
            Unit::BytesPerSecond,
            Formula::product([
                Factor::times(proxies, what),
                model.line_at(name, design.hosts, Unit::Bytes),
                Factor::over(model.allowed.change_seconds, "s"),
            ]),
            Mechanism::Missing("lists of what a proxy needs, or changes after what it has"),
        )
    };
    let restart = names::RESTART_BYTES_BY_HOSTS;
    let in_the_mean = row(
        Event::FailuresAndRestarts,
        "bytes of whole lists sent, in the mean of the day",
        Unit::BytesPerSecond,
        Formula::product([
            Factor::times(model.proxy_restarts_of_day(), "proxies a day"),
            Factor::over(DAY_SECONDS, "s"),
            model.line_at(restart, design.hosts, Unit::Bytes),
        ]),
        Mechanism::Present("changes after the old list, or the whole one: as discovery answers"),
    );
    vec![
        in_the_mean,
        out(Event::ZoneReturns, model.proxies_of_zone(), "proxies of the zone", restart),
        out(
            Event::RegionCutOff,
            model.proxies_of_region(),
            "proxies of the region",
            names::LIST_BYTES_BY_HOSTS,
        ),
        out(Event::Release, model.proxies_of_wave(), "proxies restarted at once", restart),
    ]
}
