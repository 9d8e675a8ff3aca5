//! A db host.

use super::{limit, limit_by, Event, Mechanism, Role, Row};
use crate::assumptions::Assumption;
use crate::formula::{Factor, Formula};
use crate::model::Model;
use crate::record::names;
use crate::units::Unit;

const NO_PLACEMENT: Mechanism = Mechanism::Missing("placement: each proxy goes to each db host");

const LOST_ONE: &str = "statements under way at once, where a set lost one db host, in the mean";

fn row(event: Event, quantity: &'static str, unit: Unit, formula: Formula, mechanism: Mechanism) -> Row {
    Row { role: Role::DbHost, event, quantity, unit, formula, limit: None, mechanism }
}

pub(super) fn rows(model: &Model<'_>) -> Vec<Row> {
    let mut rows = connections(model);
    rows.extend(work(model));
    rows.extend(reopened(model));
    rows
}

/// Connections that a proxy holds to one db host, in the mean.
fn held_by_proxy(model: &Model<'_>) -> [Factor; 2] {
    let hosts = model.design.hosts;
    [
        model.line_at(names::STATEMENT_CONNECTIONS_BY_HOSTS, hosts, Unit::Count),
        Factor::over(hosts, "db hosts"),
    ]
}

fn connections(model: &Model<'_>) -> Vec<Row> {
    let proxies = model.design.proxies;
    let [held, of_hosts] = held_by_proxy(model);
    let counted = Row {
        limit: limit(model.allowed.host_connections),
        ..row(
            Event::OrdinaryDay,
            "connections, as counted at a db host",
            Unit::Count,
            Formula::product([model.line_at(names::HOST_CONNECTIONS_BY_PROXIES, proxies, Unit::Count)]),
            NO_PLACEMENT,
        )
    };
    let spread = Row {
        limit: limit(model.allowed.host_connections),
        ..row(
            Event::OrdinaryDay,
            "connections, from what a proxy holds",
            Unit::Count,
            Formula::product([Factor::times(proxies, "proxies"), held, of_hosts]),
            NO_PLACEMENT,
        )
    };
    let probes = row(
        Event::OrdinaryDay,
        "probes",
        Unit::PerSecond,
        Formula::product([model.line_at(names::HOST_PROBES_BY_PROXIES, proxies, Unit::PerSecond)]),
        Mechanism::Missing("probes that proxies share: each proxy asks by itself"),
    );
    let opened = |quantity, formula| Row {
        limit: limit_by(
            model.statements_of_host() * model.allowed.new_connections_share,
            "of its statements",
        ),
        ..row(Event::OrdinaryDay, quantity, Unit::PerSecond, formula, NO_PLACEMENT)
    };
    // The measurement runs on a faster clock: more statements for each pair of proxy and db host, and a shorter rest.
    let opened_counted = opened(
        "new connections, as counted at a db host",
        Formula::product([
            model.line_at(names::HOST_OPENED_BY_PROXIES, proxies, Unit::PerSecond),
            Factor::times(model.mean_statements() / model.design.hosts, "statements/s of a pair"),
            model.over_figure(names::HOST_STATEMENTS_PER_PROXY, Unit::PerSecond),
        ]),
    );
    let opened_spread = opened(
        "new connections, from what a proxy opens",
        Formula::product([
            Factor::times(model.statements_of_host(), "statements/s"),
            model.line_at(names::STATEMENT_OPENED_BY_HOSTS, model.design.hosts, Unit::Share),
        ]),
    );
    let mut rows = vec![counted, spread, probes, opened_counted, opened_spread];
    rows.extend(resting(model));
    rows
}

/// What the model of resting connections gives, with statements spread over sets unevenly.
fn resting(model: &Model<'_>) -> Vec<Row> {
    let proxies = model.design.proxies;
    let by_model = |quantity, formula| Row {
        limit: limit(model.allowed.host_connections),
        ..row(Event::OrdinaryDay, quantity, Unit::Count, formula, NO_PLACEMENT)
    };
    let of_model = "connections of a proxy by the model of resting connections";
    vec![
        by_model(
            "connections by the model, in the mean",
            Formula::product([
                Factor::times(proxies, "proxies"),
                Factor::times(model.pool_of_proxy(model.mean_statements()).held, of_model),
                Factor::over(model.design.hosts, "db hosts"),
            ]),
        ),
        by_model(
            "connections by the model, a db host of the most used set",
            Formula::product([
                Factor::times(proxies, "proxies"),
                Factor::times(model.pool_of_hottest_host().held, of_model),
            ]),
        ),
    ]
}

/// Rows on statements under way at once, each of which holds a connection.
fn work(model: &Model<'_>) -> Vec<Row> {
    let design = &model.design;
    let mean_work = || Factor::times(model.assumed(Assumption::MeanWork), "s");
    let members = model.assumed(Assumption::HostsPerSet);
    let under_way = |event, quantity, members_left: f64| Row {
        limit: limit(model.allowed.host_connections),
        ..row(
            event,
            quantity,
            Unit::Count,
            Formula::product([
                Factor::times(design.statements, "statements/s"),
                Factor::over(design.hosts, "db hosts"),
                Factor::times(members, "db hosts a set"),
                Factor::over(members_left, "of them left"),
                mean_work(),
            ]),
            Mechanism::Present("windows by db host; load is shed by worth"),
        )
    };
    let hottest = Row {
        limit: limit(model.allowed.host_connections),
        ..row(
            Event::OrdinaryDay,
            "statements under way at once, a db host of the most used set",
            Unit::Count,
            Formula::product([
                Factor::times(design.statements, "statements/s"),
                Factor::share(model.hottest_set(), "at that set"),
                Factor::over(model.assumed(Assumption::HostsPerSet), "db hosts"),
                mean_work(),
            ]),
            Mechanism::Present("windows by db host; load is shed by worth, so most of it would be refused"),
        )
    };
    vec![
        under_way(Event::OrdinaryDay, "statements under way at once, in the mean", members),
        hottest,
        under_way(Event::RackLost, LOST_ONE, members - 1.0),
        under_way(Event::ZoneLost, LOST_ONE, members - 1.0),
    ]
}

/// Rows on connections that are opened anew at once.
fn reopened(model: &Model<'_>) -> Vec<Row> {
    let design = &model.design;
    let return_time = || Factor::over(model.assumed(Assumption::ReturnSeconds), "s");
    let reopen = |event, proxies: f64, what, seconds| {
        let [held, of_hosts] = held_by_proxy(model);
        row(
            event,
            "new connections",
            Unit::PerSecond,
            Formula::product([Factor::times(proxies, what), held, of_hosts, seconds]),
            Mechanism::Missing("a bound on connections that all proxies together open"),
        )
    };
    let new_primary = row(
        Event::PrimaryChange,
        "attempts of proxies that look for the new primary",
        Unit::PerSecond,
        Formula::product([
            Factor::times(design.proxies, "proxies, one attempt each"),
            Factor::over(model.allowed.primary_seconds, "s"),
        ]),
        Mechanism::Missing("placement: each proxy looks by itself"),
    );
    vec![
        new_primary,
        reopen(
            Event::FailuresAndRestarts,
            design.proxies,
            "proxies that come to a restarted db host",
            return_time(),
        ),
        reopen(Event::ZoneReturns, design.proxies, "proxies that come to a cold db host", return_time()),
        reopen(Event::RegionCutOff, model.proxies_of_region(), "proxies of the region", return_time()),
        reopen(Event::Release, model.proxies_of_wave(), "proxies restarted at once", return_time()),
    ]
}
