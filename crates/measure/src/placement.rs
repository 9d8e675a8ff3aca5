//! Groups and homes at the size of the fleet, by arithmetic over the crate's own assignment: connections, new connections,
//! loads, moves. Every proxy to every db host stands beside it. docs/placement.md tells what is assumed.

mod connections;
mod events;
mod model;
mod pool;

use clap::Args;
use gradeshunt_placement::GroupSize;

use crate::{Report, Setting};
pub use connections::Figures;
use connections::{homes, overloaded_hosts, today, Connections};
use events::Moves;
use model::{design_size, Model};
use pool::{play, Load, Pool};

/// Bounds beside the connections at a db host, which is an option.
const PROXY_CONNECTIONS: f64 = 512.0;
const NEW_SHARE: f64 = 0.01;
const LOAD_MOST: f64 = 1.25;
const MOVED_MOST: f64 = 2.0;
/// "Many times a second".
const MEETS_LEAST: f64 = 3.0;
/// Ours: a limit on connections must not make many statements wait.
const WAITING_MOST: f64 = 0.01;
/// How far the arithmetic of a pool may be from a played one.
const MODEL_ERROR: f64 = 0.1;
/// Rounding of a sum of loads.
const ROUNDING: f64 = 1e-9;
/// Without --long, each so-many-th proxy leaves.
const STEP: usize = 8;
/// Proxies that fail, and that are restarted or replaced, on a day.
const FAILED: f64 = 39.0;
const RESTARTED: f64 = 1_500.0;

#[derive(Args)]
pub struct Options {
    #[arg(long, default_value_t = design_size().proxies)]
    proxies: u32,
    #[arg(long, default_value_t = design_size().zones)]
    zones: u32,
    #[arg(long, default_value_t = design_size().hosts)]
    hosts: u32,
    /// Statements a second over the fleet.
    #[arg(long, default_value_t = design_size().statements)]
    statements: f64,
    /// Zipf's exponent of the sets' loads.
    #[arg(long, default_value_t = design_size().exponent)]
    exponent: f64,
    /// For how long a statement holds a connection, in the mean.
    #[arg(long, default_value_t = design_size().work * 1e3)]
    work_ms: f64,
    /// When a db host drops an idle connection; the program drops it after six tenths of that.
    #[arg(long, default_value_t = design_size().conn_idle * 1e3)]
    conn_idle_ms: f64,
    /// Connections that a db host bears.
    #[arg(long, default_value_t = design_size().host_limit)]
    host_connections: u32,
    /// Parts that a set is split into at most: the connections that a db host bears over the groups.
    #[arg(long, default_value_t = design_size().settings.most_parts)]
    most_parts: u32,
    #[arg(long, default_value_t = design_size().settings.group_size.least)]
    group_least: u32,
    #[arg(long, default_value_t = design_size().settings.group_size.most)]
    group_most: u32,
}

impl Options {
    fn model(&self) -> Model {
        let mut model = Model {
            proxies: self.proxies,
            zones: self.zones.max(1),
            hosts: self.hosts,
            statements: self.statements,
            exponent: self.exponent,
            work: self.work_ms / 1e3,
            conn_idle: self.conn_idle_ms / 1e3,
            host_limit: self.host_connections,
            ..design_size()
        };
        model.settings.group_size = GroupSize { least: self.group_least, most: self.group_most };
        model.settings.most_parts = self.most_parts;
        model
    }
}

/// What the program as it is built comes to at the size that is designed for.
pub fn as_built() -> Result<Figures, String> {
    homes(&design_size(), Connections::Unlimited)
}

pub fn measure(setting: &Setting, options: &Options) -> std::io::Result<Report> {
    let model = options.model();
    let step = if setting.long { 1 } else { STEP };
    report(&model, step).map_err(std::io::Error::other)
}

fn report(model: &Model, step: usize) -> Result<Report, String> {
    let mut report = Report { table: Vec::new(), results: Vec::new(), missed: Vec::new() };
    report.table.push(assumptions(model));
    report.table.push(heading());
    report.table.push(line("today", &today(model)?));
    let free = homes(model, Connections::Unlimited)?;
    report.table.push(line("homes, no limit", &free));
    let limited = homes(model, Connections::Limited)?;
    report.table.push(line("homes, limited", &limited));
    report.table.push(String::new());
    report.table.push("homes, limited, with one assumption changed".to_owned());
    report.table.push(heading());
    for (name, changed) in variants(model) {
        report.table.push(line(&name, &homes(&changed, Connections::Limited)?));
    }
    report.table.push(String::new());
    let moves = events::moves(model, step)?;
    day(&mut report, model, &moves);
    report.table.push(String::new());
    built(&mut report, model, &free);
    bounds(&mut report, model, &limited, &moves)?;
    check_pools(&mut report, model);
    results(&mut report, model, &free, &limited, &moves)?;
    Ok(report)
}

fn assumptions(model: &Model) -> String {
    format!(
        "{} proxies in {} zones, {} db hosts in {} sets, {:.0} statements/s; Zipf exponent {}, work {:.0} ms, idle connections dropped \
         after {:.1} s; members of a set alike; clients spread evenly over proxies; arrivals at random",
        model.proxies,
        model.zones,
        model.hosts,
        model.members().len(),
        model.statements,
        model.exponent,
        model.work * 1e3,
        model.idle()
    )
}

fn heading() -> String {
    format!(
        "{:<22} {:>9} {:>9} {:>7} {:>9} {:>9} {:>9} {:>9} {:>9} {:>8} {:>6} {:>9}",
        "",
        "host mean",
        "host most",
        "over",
        "proxy",
        "most",
        "unshared",
        "new %",
        "meets/s",
        "mean",
        "load",
        "waits %"
    )
}

fn line(name: &str, f: &Figures) -> String {
    format!(
        "{name:<22} {:>9.1} {:>9.1} {:>7} {:>9.1} {:>9.1} {:>9.1} {:>9.3} {:>9.3} {:>8.2} {:>6.3} {:>9.2}",
        f.host_mean,
        f.host_most,
        f.hosts_over,
        f.proxy_mean,
        f.proxy_most,
        f.proxy_most_unshared,
        f.new_share * 100.0,
        f.meets_least,
        f.meets_mean,
        f.load_most,
        f.waiting * 100.0
    )
}

/// Each assumption halved and doubled.
fn variants(model: &Model) -> Vec<(String, Model)> {
    let mut variants = Vec::new();
    for factor in [0.5, 2.0] {
        let name = |what: &str| format!("{what} x {factor}");
        variants.push((name("exponent"), Model { exponent: model.exponent * factor, ..*model }));
        variants.push((name("work time"), Model { work: model.work * factor, ..*model }));
        variants.push((name("idle time"), Model { conn_idle: model.conn_idle * factor, ..*model }));
        variants.push((name("load of primaries"), Model { primary: model.primary * factor, ..*model }));
        variants.push((name("statements"), Model { statements: model.statements * factor, ..*model }));
    }
    variants
}

fn day(report: &mut Report, model: &Model, moves: &Moves) {
    let sets = model.members().len() as f64;
    let groups = f64::from(model.proxies)
        / f64::from(model.settings.group_size.least + model.settings.group_size.most)
        * 2.0;
    let each = sets * groups / f64::from(model.proxies);
    // One that fails leaves the roster and comes back; one that restarts stays in it, and is away.
    let left = FAILED * 2.0 * moves.left_mean * each;
    let away = RESTARTED * 2.0 * moves.away_mean * each;
    report.table.push(format!(
        "one of n proxies leaves the roster ({} looked at): moves {:.2}/n of its group's sets in the mean, {:.2}/n at most, over 2/n {} \
         times; at most {} others change their group",
        moves.looked_at, moves.left_mean, moves.left_most, moves.left_over, moves.regrouped_most
    ));
    report.table.push(format!(
        "one is away: its second homes take {:.2}/n of the sets; the largest load meanwhile is {:.3} of the mean",
        moves.away_mean, moves.away_load_most
    ));
    report.table.push(format!(
        "a day of {FAILED} failed and {RESTARTED} restarted proxies, each leaving and returning: {left:.0} + {away:.0} moves of a set \
         in a group, {:.2} for each set and group",
        (left + away) / (sets * groups)
    ));
}

/// Prints a bound as held or missed, and keeps the missed ones.
fn bound(report: &mut Report, what: &str, value: f64, holds: bool) {
    let verdict = if holds { "held" } else { "MISSED" };
    let text = format!("{verdict:<7} {what}: {value:.3}");
    if !holds {
        report.missed.push(text.clone());
    }
    report.table.push(text);
}

/// What the program as it is built comes to: a home holds as many connections to a db host as it wants, and a connection between
/// proxies carries one statement at a time.
fn built(report: &mut Report, model: &Model, free: &Figures) {
    let bears = f64::from(model.host_limit);
    let what =
        format!("as built, connections at a db host, at most {bears} ({} hosts over)", free.hosts_over);
    bound(report, &what, free.host_most, free.hosts_over == 0);
    let what = format!("as built, a proxy's connections, at most {PROXY_CONNECTIONS}");
    bound(report, &what, free.proxy_most_unshared, free.proxy_most_unshared <= PROXY_CONNECTIONS);
}

/// What the design comes to, with a limit at each home and connections between proxies that carry many statements, neither of which
/// is built yet.
fn bounds(report: &mut Report, model: &Model, limited: &Figures, moves: &Moves) -> Result<(), String> {
    let (overloaded, share) = overloaded_hosts(model)?;
    let bears = f64::from(model.host_limit);
    let what = format!("connections at a db host, at most {bears} ({} hosts over)", limited.hosts_over);
    bound(report, &what, limited.host_most, limited.hosts_over == 0);
    let what = format!("a proxy's connections, at most {PROXY_CONNECTIONS}");
    bound(report, &what, limited.proxy_most, limited.proxy_most <= PROXY_CONNECTIONS);
    let what = "new connections, at most 1% of statements (in %)";
    bound(report, what, limited.new_share * 100.0, limited.new_share <= NEW_SHARE);
    let what = format!("largest load of a proxy, at most {LOAD_MOST} of its group's mean");
    bound(report, &what, limited.load_most, limited.load_most <= LOAD_MOST + ROUNDING);
    let what = "sets that one of n proxies moves, at most 2/n (times n)";
    bound(report, what, moves.left_most, moves.left_most <= MOVED_MOST);
    let what = format!("each host met by each of its homes, at least {MEETS_LEAST}/s");
    bound(report, &what, limited.meets_least, limited.meets_least >= MEETS_LEAST);
    let what = format!(
        "statements that find no free connection, at most 1% (in %); {:.3}% go to {overloaded} hosts that need more than {bears} by \
         Little's law, whatever the placement",
        share * 100.0
    );
    bound(report, &what, limited.waiting * 100.0, limited.waiting <= WAITING_MOST);
    Ok(())
}

/// Plays pools event by event, with a fixed work time, beside the arithmetic: an average home, a pair of today, a busy home.
fn check_pools(report: &mut Report, model: &Model) {
    let host = model.statements / f64::from(model.hosts);
    let groups = (model.proxies / model.settings.group_size.most).max(1);
    let rates = [host / f64::from(groups), host / f64::from(model.proxies), 4.0 * host / f64::from(groups)];
    for (seed, rate) in (1..).zip(rates) {
        let load = Load { rate, work: model.work, idle: model.idle() };
        let said = Pool::of(load, None);
        // So long that some ten thousand statements arrive.
        let (connections, opened) = play(load, 20_000.0 / rate, seed);
        let off = (said.connections / connections - 1.0).abs();
        let what = format!(
            "arithmetic of a pool with {rate:.3} statements/s: {:.2} connections, played {connections:.2}; {:.4} new ones/s, played \
             {opened:.4}; off by at most {MODEL_ERROR} in connections",
            said.connections, said.opened
        );
        bound(report, &what, off, off <= MODEL_ERROR);
    }
}

fn results(
    report: &mut Report,
    model: &Model,
    free: &Figures,
    limited: &Figures,
    moves: &Moves,
) -> Result<(), String> {
    let today = today(model)?;
    report.results = vec![
        ("today_host", format!("{:.0}", today.host_mean)),
        ("today_proxy", format!("{:.0}", today.proxy_mean)),
        ("today_new", format!("{:.4}", today.new_share)),
        ("built_host_mean", format!("{:.1}", free.host_mean)),
        ("built_host_most", format!("{:.1}", free.host_most)),
        ("built_proxy_most", format!("{:.1}", free.proxy_most_unshared)),
        ("built_new", format!("{:.6}", free.new_share)),
        ("host_mean", format!("{:.1}", limited.host_mean)),
        ("host_most", format!("{:.1}", limited.host_most)),
        ("proxy_most", format!("{:.1}", limited.proxy_most)),
        ("new", format!("{:.6}", limited.new_share)),
        ("load_most", format!("{:.4}", limited.load_most)),
        ("meets_least", format!("{:.3}", limited.meets_least)),
        ("moved_most", format!("{:.3}", moves.left_most)),
        ("group_least", limited.group_sizes.0.to_string()),
        ("group_most", limited.group_sizes.1.to_string()),
    ];
    Ok(())
}
