//! A proxy's data path.

use super::{limit, limit_by, Event, Mechanism, Role, Row};
use crate::assumptions::Assumption;
use crate::design::DAY_SECONDS;
use crate::formula::{Factor, Formula};
use crate::model::Model;
use crate::record::names;
use crate::units::Unit;

const TAKEN_OVER: Mechanism =
    Mechanism::Present("accepted within bounds a turn; what a new client costs is not measured");

fn row(event: Event, quantity: &'static str, unit: Unit, formula: Formula, mechanism: Mechanism) -> Row {
    Row { role: Role::DataPath, event, quantity, unit, formula, limit: None, mechanism }
}

pub(super) fn rows(model: &Model<'_>) -> Vec<Row> {
    let mut rows = ordinary(model);
    rows.extend(losses(model));
    rows
}

fn ordinary(model: &Model<'_>) -> Vec<Row> {
    let design = &model.design;
    let statements = || Factor::times(model.statements_of_proxy(), "statements/s");
    let clients = model.clients_of_proxy();
    let load = || Factor::times(model.assumed(Assumption::LoadOverMean), "times the mean");
    let client_connections = row(
        Event::OrdinaryDay,
        "client connections",
        Unit::Count,
        Formula::product([
            Factor::times(design.clients, "connections"),
            Factor::over(design.proxies, "proxies"),
            load(),
        ]),
        Mechanism::Present(
            "descriptors, up to the process's limit; idle clients are closed where they run out",
        ),
    );
    let memory = row(
        Event::OrdinaryDay,
        "memory, list and clients",
        Unit::Bytes,
        Formula::product([model.line_at(names::PROXY_MEMORY_BY_HOSTS, design.hosts, Unit::Bytes)]).plus([
            model.slope(names::PROXY_MEMORY_BY_CLIENTS, Unit::Bytes),
            Factor::times(clients, "clients"),
        ]),
        Mechanism::Present("buffers are freed between requests"),
    );
    let cpu = row(
        Event::OrdinaryDay,
        "processor time, statements and idle clients",
        Unit::Cores,
        Formula::product([
            statements(),
            model.line_at(names::STATEMENT_CPU_BY_HOSTS, design.hosts, Unit::Seconds),
        ])
        .plus([
            model.slope(names::PROXY_IDLE_CPU_BY_CLIENTS, Unit::Cores),
            Factor::times(clients, "clients"),
        ]),
        Mechanism::Present("one thread"),
    );
    let connections = Row {
        limit: limit(model.allowed.proxy_connections),
        ..row(
            Event::OrdinaryDay,
            "connections to db hosts",
            Unit::Count,
            Formula::product([model.line_at(
                names::STATEMENT_CONNECTIONS_BY_HOSTS,
                design.hosts,
                Unit::Count,
            )]),
            Mechanism::Missing("placement: each proxy goes to each db host"),
        )
    };
    let opened = Row {
        limit: limit_by(model.allowed.new_connections_share, "of statements"),
        ..row(
            Event::OrdinaryDay,
            "new connections to db hosts",
            Unit::Share,
            Formula::product([model.line_at(names::STATEMENT_OPENED_BY_HOSTS, design.hosts, Unit::Share)]),
            Mechanism::Missing("placement: a connection rests too long between two statements to be kept"),
        )
    };
    let in_use = Row {
        limit: limit(model.allowed.proxy_connections),
        ..row(
            Event::OrdinaryDay,
            "statements under way at once",
            Unit::Count,
            Formula::product([statements(), Factor::times(model.assumed(Assumption::MeanWork), "s")]),
            Mechanism::Present("a connection each; windows by db host"),
        )
    };
    let mut rows = vec![client_connections, memory, cpu, connections, opened, in_use];
    rows.extend(resting(model));
    rows
}

/// What the model of resting connections gives, with statements spread over sets unevenly.
fn resting(model: &Model<'_>) -> Vec<Row> {
    let pool = model.pool_of_proxy(model.statements_of_proxy());
    let held = Row {
        limit: limit(model.allowed.proxy_connections),
        ..row(
            Event::OrdinaryDay,
            "connections to db hosts, by the model",
            Unit::Count,
            Formula::product([Factor::times(pool.held, "connections by the model of resting connections")]),
            Mechanism::Missing("placement: each proxy goes to each db host"),
        )
    };
    let opened = Row {
        limit: limit_by(model.allowed.new_connections_share, "of statements"),
        ..row(
            Event::OrdinaryDay,
            "new connections to db hosts, by the model",
            Unit::Share,
            Formula::product([
                Factor::times(pool.opened, "new connections/s by the model of resting connections"),
                Factor::over(model.statements_of_proxy(), "statements/s"),
            ]),
            Mechanism::Missing("placement: a connection rests too long between two statements to be kept"),
        )
    };
    let cpu = row(
        Event::OrdinaryDay,
        "processor time, statements, with new connections by the model",
        Unit::Cores,
        Formula::product([
            Factor::times(model.statements_of_proxy(), "statements/s"),
            model.line_at(
                names::STATEMENT_CPU_BY_OPENED,
                pool.opened / model.statements_of_proxy(),
                Unit::Seconds,
            ),
        ]),
        Mechanism::Present("one thread"),
    );
    vec![held, opened, cpu]
}

/// Rows on proxies that go, whose clients come to others.
fn losses(model: &Model<'_>) -> Vec<Row> {
    let design = &model.design;
    let zone = model.proxies_of_zone();
    let left = [
        (Event::RackLost, model.proxies_of_rack(), zone, "times, on the zone's other proxies"),
        (Event::ZoneLost, zone, model.proxies_of_region(), "times, on the region's other proxies"),
        (Event::Release, model.proxies_of_wave(), design.proxies, "times, on all other proxies"),
    ];
    let mut rows = waiting(model);
    rows.push(row(
        Event::FailuresAndRestarts,
        "client connections taken over, in the mean of the day",
        Unit::PerSecond,
        Formula::product([
            Factor::times(model.proxy_restarts_of_day(), "proxies a day"),
            Factor::over(DAY_SECONDS, "s"),
            Factor::times(model.clients_of_proxy(), "connections"),
            Factor::over(design.proxies, "proxies"),
        ]),
        TAKEN_OVER,
    ));
    for (event, gone, of, on_others) in left {
        rows.push(row(
            event,
            "processor time, statements alone",
            Unit::Cores,
            Formula::product([
                Factor::times(model.statements_of_proxy(), "statements/s"),
                Factor::times(of / (of - gone), on_others),
                model.line_at(names::STATEMENT_CPU_BY_HOSTS, design.hosts, Unit::Seconds),
            ]),
            Mechanism::Present("load is shed by worth; the plan of a lost site bounds what others take over"),
        ));
        rows.push(row(
            event,
            "client connections taken over",
            Unit::PerSecond,
            Formula::product([
                Factor::times(model.clients_of_proxy(), "connections"),
                Factor::times(gone, "proxies gone"),
                Factor::over(of - gone, "proxies left"),
                Factor::over(model.assumed(Assumption::ReturnSeconds), "s"),
            ]),
            TAKEN_OVER,
        ));
    }
    rows
}

/// Rows on statements that wait for a primary or can't reach it; upper bounds, as if all were writes.
fn waiting(model: &Model<'_>) -> Vec<Row> {
    let design = &model.design;
    let waiting = |event, quantity, share, of| {
        row(
            event,
            quantity,
            Unit::Count,
            Formula::product([
                Factor::times(model.statements_of_proxy(), "statements/s"),
                Factor::share(share, of),
                Factor::times(model.allowed.primary_seconds, "s"),
            ]),
            Mechanism::Present(
                "they wait in order of worth, up to their deadline; an upper bound, as if all were writes",
            ),
        )
    };
    let hottest = waiting(
        Event::PrimaryChange,
        "statements of the most used set that wait for its primary",
        model.hottest_set(),
        "of them at that set",
    );
    let rack = waiting(
        Event::RackLost,
        "statements that wait for the rack's primaries",
        model.hosts_of_rack() / design.hosts,
        "of them at sets whose primary is there",
    );
    let zone = waiting(
        Event::ZoneLost,
        "statements that wait for the zone's primaries",
        1.0 / design.zones,
        "of them at sets whose primary is there",
    );
    let region = row(
        Event::RegionCutOff,
        "statements whose primary is out of reach",
        Unit::PerSecond,
        Formula::product([
            Factor::times(model.statements_of_proxy(), "statements/s"),
            Factor::share(1.0 - 1.0 / design.regions, "of them at sets whose primary is in another region"),
        ]),
        Mechanism::Present(
            "reads from replicas in reach, writes refused; an upper bound, as if clients asked for sets of all regions alike",
        ),
    );
    vec![hottest, rack, zone, region]
}
