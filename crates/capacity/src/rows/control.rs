//! A proxy's control: the list of db hosts, its changes, and its restart.

use super::{limit, limit_by, Event, Mechanism, Role, Row};
use crate::assumptions::Assumption;
use crate::design::DAY_SECONDS;
use crate::formula::{Factor, Formula};
use crate::model::Model;
use crate::record::names;
use crate::units::Unit;

/// What is said of each time to send something at the bytes a second that control may use.
const TIME_TO_SEND: &str = "time to be sent the changes, at the bytes allowed";
const TIME_OF_A_CHANGE: &str = "a change is in force";

fn row(event: Event, quantity: &'static str, unit: Unit, formula: Formula, mechanism: Mechanism) -> Row {
    Row { role: Role::Control, event, quantity, unit, formula, limit: None, mechanism }
}

pub(super) fn rows(model: &Model<'_>) -> Vec<Row> {
    let mut rows = ordinary(model);
    rows.extend(primary_change(model));
    rows.extend(bursts(model));
    rows.extend(whole_lists(model));
    rows
}

fn ordinary(model: &Model<'_>) -> Vec<Row> {
    let hosts = model.design.hosts;
    let [change, to_real] = model.change_cpu();
    let rate = || Factor::times(model.change_rate(), "changes/s");
    let memory = Row {
        limit: limit(model.allowed.control_memory),
        ..row(
            Event::OrdinaryDay,
            "memory, program and list",
            Unit::Bytes,
            Formula::product([model.line_at(names::PROXY_MEMORY_BY_HOSTS, hosts, Unit::Bytes)]),
            Mechanism::Present("an entry a db host"),
        )
    };
    let list = Row {
        limit: limit_by(model.allowed.list_bytes, "the program's own"),
        ..row(
            Event::OrdinaryDay,
            "length of the whole list",
            Unit::Bytes,
            Formula::product([model.line_at(names::LIST_BYTES_BY_HOSTS, hosts, Unit::Bytes)]),
            Mechanism::Missing("a list of the db hosts that this proxy needs: each has all"),
        )
    };
    let cpu = Row {
        limit: limit(model.allowed.control_cores),
        ..row(
            Event::OrdinaryDay,
            "processor time, idle and changes",
            Unit::Cores,
            Formula::product([model.line_at(names::PROXY_IDLE_CPU_BY_HOSTS, hosts, Unit::Cores)]).plus([
                rate(),
                change,
                to_real,
            ]),
            Mechanism::Present("rounds over all known db hosts; changes one by one"),
        )
    };
    let bytes = Row {
        limit: limit(model.allowed.control_bytes),
        ..row(
            Event::OrdinaryDay,
            "bytes, idle watch and changes",
            Unit::BytesPerSecond,
            Formula::product([model.figure(names::WATCH_IDLE_BYTES, Unit::BytesPerSecond)])
                .plus([rate(), model.slope(names::CHANGE_BYTES_BY_CHANGES, Unit::Bytes)]),
            Mechanism::Present("one watch, which is told of changes"),
        )
    };
    let machines = Row {
        limit: limit(model.allowed.control_bytes),
        ..row(
            Event::FailuresAndRestarts,
            "bytes of the changes that they bring",
            Unit::BytesPerSecond,
            Formula::product([
                Factor::times(model.machine_changes_of_day(), "changes a day"),
                Factor::over(DAY_SECONDS, "s"),
                model.slope(names::CHANGE_BYTES_BY_CHANGES, Unit::Bytes),
            ]),
            Mechanism::Present("one watch, which is told of changes"),
        )
    };
    let restarts = Row {
        limit: limit(model.allowed.control_bytes),
        ..row(
            Event::FailuresAndRestarts,
            "bytes of whole lists at restarts, in the mean of the day",
            Unit::BytesPerSecond,
            Formula::product([
                Factor::times(model.proxy_restarts_of_day(), "proxies a day"),
                Factor::over(model.design.proxies, "proxies"),
                Factor::over(DAY_SECONDS, "s"),
                model.line_at(names::RESTART_BYTES_BY_HOSTS, hosts, Unit::Bytes),
            ]),
            Mechanism::Present("changes after the old list, or the whole one: as discovery answers"),
        )
    };
    vec![memory, list, cpu, bytes, machines, restarts]
}

fn primary_change(model: &Model<'_>) -> Vec<Row> {
    let delay = |event, limit| Row {
        limit,
        ..row(
            event,
            "time until a change is in force at the last proxy",
            Unit::Seconds,
            Formula::product([model.line_at(
                names::CHANGE_DELAY_BY_PROXIES,
                model.design.proxies,
                Unit::Seconds,
            )]),
            Mechanism::Present("a watch each"),
        )
    };
    vec![
        delay(Event::PrimaryChange, limit(model.allowed.primary_seconds)),
        delay(Event::OrdinaryDay, limit(model.allowed.change_seconds)),
    ]
}

/// Rows on many changes that come at once.
fn bursts(model: &Model<'_>) -> Vec<Row> {
    let at_once = [
        (Event::ChangeBurst, model.assumed(Assumption::BurstChanges)),
        (Event::RackLost, model.changes_of_rack()),
        (Event::ZoneLost, model.changes_of_zone()),
        (Event::ZoneReturns, model.hosts_of_zone()),
    ];
    let mut rows = Vec::new();
    for (event, changes) in at_once {
        let [change, to_real] = model.change_cpu();
        rows.push(Row {
            limit: limit_by(model.allowed.change_seconds, TIME_OF_A_CHANGE),
            ..row(
                event,
                TIME_TO_SEND,
                Unit::Seconds,
                Formula::product([
                    Factor::times(changes, "changes at once"),
                    model.slope(names::CHANGE_BYTES_BY_CHANGES, Unit::Bytes),
                    Factor::over(model.allowed.control_bytes, "B/s"),
                ]),
                Mechanism::Missing(
                    "a bound on bytes a second: changes are sent as fast as the link takes them",
                ),
            )
        });
        rows.push(Row {
            limit: limit(model.allowed.control_cores),
            ..row(
                event,
                "processor time while the changes come in",
                Unit::Cores,
                Formula::product([
                    Factor::times(changes, "changes at once"),
                    change,
                    to_real,
                    Factor::over(model.allowed.change_seconds, "s"),
                ])
                .plus([model.line_at(
                    names::PROXY_IDLE_CPU_BY_HOSTS,
                    model.design.hosts,
                    Unit::Cores,
                )]),
                Mechanism::Present("changes are worked off within bounds a turn"),
            )
        });
    }
    rows
}

/// Rows on a whole list that a proxy is sent.
fn whole_lists(model: &Model<'_>) -> Vec<Row> {
    let hosts = model.design.hosts;
    let send = |event, name, mechanism| Row {
        limit: limit_by(model.allowed.change_seconds, TIME_OF_A_CHANGE),
        ..row(
            event,
            "time to be sent the list, at the bytes allowed",
            Unit::Seconds,
            Formula::product([
                model.line_at(name, hosts, Unit::Bytes),
                Factor::over(model.allowed.control_bytes, "B/s"),
            ]),
            mechanism,
        )
    };
    let take_in = |event, name| {
        let [list, to_real] = model.list_cpu(name);
        let taken = row(
            event,
            "processor time of taking in the list",
            Unit::Cores,
            Formula::product([list, to_real, Factor::over(model.allowed.change_seconds, "s")]),
            Mechanism::Present("an entry at a time, in turns of bounded length"),
        );
        Row { limit: limit(model.allowed.control_cores), ..taken }
    };
    let caught_up = Row {
        limit: limit_by(model.allowed.change_seconds, TIME_OF_A_CHANGE),
        ..row(
            Event::RegionCutOff,
            "time to be sent the hour's changes, where discovery still has them",
            Unit::Seconds,
            Formula::product([
                Factor::times(model.changes_of_hour(), "changes an hour"),
                model.slope(names::CHANGE_BYTES_BY_CHANGES, Unit::Bytes),
                Factor::over(model.allowed.control_bytes, "B/s"),
            ]),
            Mechanism::Present("a watch is opened anew after the version that the proxy has"),
        )
    };
    const RESTART: Mechanism =
        Mechanism::Missing(
        "an answer of bounded length: the proxy asks for changes after its old list, discovery may send the whole one",
    );
    const CUT_OFF: Mechanism = Mechanism::Missing(
        "an answer of bounded length: the proxy asks for the hour's changes, discovery may send the whole list",
    );
    vec![
        send(Event::FailuresAndRestarts, names::RESTART_BYTES_BY_HOSTS, RESTART),
        send(Event::ZoneReturns, names::RESTART_BYTES_BY_HOSTS, RESTART),
        send(Event::Release, names::RESTART_BYTES_BY_HOSTS, RESTART),
        send(Event::RegionCutOff, names::LIST_BYTES_BY_HOSTS, CUT_OFF),
        take_in(Event::ZoneReturns, names::RESTART_CPU_BY_HOSTS),
        take_in(Event::Release, names::RESTART_CPU_BY_HOSTS),
        take_in(Event::RegionCutOff, names::LIST_CPU_BY_HOSTS),
        caught_up,
    ]
}
