//! Today's program and the program with placement, side by side.

use crate::formula::{Factor, Formula};
use crate::model::Model;
use crate::record::names;
use crate::units::Unit;

/// One quantity of both programs.
#[derive(Clone, Debug, PartialEq)]
pub struct Comparison {
    /// What.
    pub quantity: &'static str,
    /// Its unit.
    pub unit: Unit,
    /// What it may come to, where that is stated.
    pub limit: Option<f64>,
    /// Today's program; `None` where nothing measures it.
    pub today: Option<Formula>,
    /// The program with placement.
    pub placed: Formula,
}

/// All comparisons, in the order of the page.
pub fn all(model: &Model<'_>) -> Vec<Comparison> {
    let mut all = connections(model);
    all.extend(work(model));
    all
}

fn connections(model: &Model<'_>) -> Vec<Comparison> {
    let design = &model.design;
    let figure = |name, unit| Formula::product([model.figure(name, unit)]);
    let line = |name, x, unit| Some(Formula::product([model.line_at(name, x, unit)]));
    let count = Unit::Count;
    let compare = |quantity, unit, limit, today, placed| Comparison {
        quantity,
        unit,
        limit: Some(limit),
        today,
        placed: figure(placed, unit),
    };
    vec![
        compare(
            "connections at a db host, in the mean",
            count,
            model.allowed.host_connections,
            line(names::HOST_CONNECTIONS_BY_PROXIES, design.proxies, count),
            names::PLACEMENT_HOST_CONNECTIONS_MEAN,
        ),
        compare(
            "connections at the db host that holds most, ordinary day (today: by the model)",
            count,
            model.allowed.host_connections,
            Some(Formula::product([
                Factor::times(design.proxies, "proxies"),
                Factor::times(model.pool_of_hottest_host().held, "connections of a proxy by the model"),
            ])),
            names::PLACEMENT_HOST_CONNECTIONS,
        ),
        compare(
            "connections at the db host that holds most, worst moment",
            count,
            model.allowed.host_connections,
            None,
            names::PLACEMENT_HOST_CONNECTIONS_WORST,
        ),
        compare(
            "a proxy's connections to db hosts and proxies, ordinary day",
            count,
            model.allowed.proxy_connections,
            line(names::STATEMENT_CONNECTIONS_BY_HOSTS, design.hosts, count),
            names::PLACEMENT_PROXY_CONNECTIONS,
        ),
        compare(
            "a proxy's connections to db hosts and proxies, worst moment",
            count,
            model.allowed.proxy_connections,
            None,
            names::PLACEMENT_PROXY_CONNECTIONS_WORST,
        ),
        compare(
            "new connections over statements, ordinary day",
            Unit::Share,
            model.allowed.new_connections_share,
            line(names::STATEMENT_OPENED_BY_HOSTS, design.hosts, Unit::Share),
            names::PLACEMENT_NEW_CONNECTIONS_SHARE,
        ),
        compare(
            "new connections over statements, worst minute",
            Unit::Share,
            model.allowed.new_connections_share,
            None,
            names::PLACEMENT_NEW_CONNECTIONS_SHARE_WORST,
        ),
    ]
}

fn work(model: &Model<'_>) -> Vec<Comparison> {
    let design = &model.design;
    let statements = || Factor::times(model.statements_of_proxy(), "statements/s");
    let placed_cpu = || {
        model.line_at_figure(
            names::STATEMENT_CPU_BY_OPENED,
            names::PLACEMENT_NEW_CONNECTIONS_SHARE,
            Unit::Seconds,
        )
    };
    let attempts = |factor| Formula::product([factor, Factor::over(model.allowed.primary_seconds, "s")]);
    let cpu = Comparison {
        quantity: "processor time of a proxy's statements",
        unit: Unit::Cores,
        limit: None,
        today: Some(Formula::product([
            statements(),
            model.line_at(names::STATEMENT_CPU_BY_HOSTS, design.hosts, Unit::Seconds),
        ])),
        // Whoever passes a statement on and whoever sends it to the db host do the work of one statement each.
        placed: Formula::product([statements(), placed_cpu()]).plus([
            statements(),
            model.figure(names::PLACEMENT_FORWARDED_SHARE, Unit::Share),
            placed_cpu(),
        ]),
    };
    let probes = Comparison {
        quantity: "probes at a db host",
        unit: Unit::PerSecond,
        limit: None,
        today: Some(Formula::product([model.line_at(
            names::HOST_PROBES_BY_PROXIES,
            design.proxies,
            Unit::PerSecond,
        )])),
        placed: Formula::product([model.line_at_figure(
            names::HOST_PROBES_BY_PROXIES,
            names::PLACEMENT_PROXIES_PER_HOST,
            Unit::PerSecond,
        )]),
    };
    let search = Comparison {
        quantity: "attempts at a db host of proxies that look for a new primary",
        unit: Unit::PerSecond,
        limit: None,
        today: Some(attempts(Factor::times(design.proxies, "proxies"))),
        placed: attempts(model.figure(names::PLACEMENT_PROXIES_PER_HOST, Unit::Count)),
    };
    let waiting = Comparison {
        quantity: "statements that find no free connection to their db host",
        unit: Unit::Share,
        limit: None,
        today: None,
        placed: Formula::product([model.figure(names::PLACEMENT_WAITING_SHARE, Unit::Share)]),
    };
    let load = Comparison {
        quantity: "the largest load of a proxy over the mean of its group",
        unit: Unit::Count,
        limit: Some(model.allowed.load_over_mean),
        today: None,
        placed: Formula::product([model.figure(names::PLACEMENT_LOAD_OVER_MEAN, Unit::Count)]),
    };
    vec![cpu, probes, search, waiting, load]
}
