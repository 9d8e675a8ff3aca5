//! What one db host sees of many proxies: connections, new connections a second, and probes.

use std::io;
use std::thread;
use std::time::{Duration, Instant};

use gradeshunt_capacity::fit::Point;
use gradeshunt_capacity::record::{names, Figure};
use gradeshunt_stand_ins::postgres::farm::Traffic;

use super::checks::conserved;
use super::load::{Load, Sent};
use super::series;
use super::stage::{Limits, Stage};
use crate::capacity::{Count, Measured, Scale};
use crate::Setting;

/// Connections of clients to each proxy.
const CLIENTS: usize = 2;
/// Db hosts, and statements a second of each proxy to all of them.
const HOSTS: usize = 24;
const RATE: f64 = 20.0;
/// How long connections to db hosts may be idle: a tenth of the usual, as each db host gets a statement of a proxy ten times
/// as often as at the size that is designed for. So as large a share of statements meets no connection.
const HOST_IDLE: Duration = Duration::from_secs(3);
const SOCKETS: u32 = 1024;

struct Sizes {
    proxies: &'static [usize],
    /// Statements of each proxy before those that are measured, and while.
    before: usize,
    window: usize,
}

const QUICK: Sizes = Sizes { proxies: &[1, 2, 3, 4, 5], before: 10, window: 30 };
const WHOLE: Sizes = Sizes { proxies: &[4, 8, 12, 16, 24], before: 100, window: 300 };

pub fn measure(scale: Scale, setting: &Setting, progress: &mut dyn FnMut(&str)) -> io::Result<Measured> {
    let sizes = if scale == Scale::Quick { QUICK } else { WHOLE };
    let (mut connections, mut probes, mut opened) = (Vec::new(), Vec::new(), Vec::new());
    let (mut measured, mut all_probes) = (Measured::default(), 0);
    for proxies in sizes.proxies {
        progress(&format!("{proxies} proxies before {HOSTS} db hosts"));
        let stage = Stage::open(HOSTS)?;
        let limits = Limits { sockets: SOCKETS, idle: HOST_IDLE };
        let started = stage.start(setting, *proxies, limits)?;
        let mut loads = Vec::new();
        for (seed, process) in (0..).zip(&started) {
            let addr = process.listen.ok_or(io::ErrorKind::AddrNotAvailable)?;
            loads.push(Load::connect(addr, CLIENTS, stage.sets, RATE, seed)?);
        }
        let mut sent = run(&mut loads, sizes.before)?;
        let (before, since) = (stage.farm.seen(), Instant::now());
        sent.add(&run(&mut loads, sizes.window)?);
        let (seen, seconds) = (stage.farm.seen(), since.elapsed().as_secs_f64());
        let a_second = |count: fn(&Traffic) -> u64| {
            (seen.sum(count) - before.sum(count)) as f64 / seconds / HOSTS as f64
        };
        let x = *proxies as f64;
        connections.push(Point { x, y: seen.sum(|t| t.connections) as f64 / HOSTS as f64 });
        probes.push(Point { x, y: a_second(|t| t.probes) });
        opened.push(Point { x, y: a_second(|t| t.opened) });
        all_probes += seen.sum(|t| t.probes);
        let most = limits.host_connections() * *proxies as u64;
        measured.counts.extend(conserved(&format!("{proxies} proxies"), &sent, &stage.farm, &started, most)?);
    }
    measured.counts.push(Count {
        what: "probes that db hosts got of proxies".to_owned(),
        expected: 1..=u64::MAX,
        found: all_probes,
    });
    measured.figures.push(Figure {
        name: names::HOST_STATEMENTS_PER_PROXY.to_owned(),
        value: RATE / HOSTS as f64,
        unit: "statements a second".to_owned(),
        how: "as the measurement by proxies is set up".to_owned(),
    });
    let x = "proxies";
    let by = "mean of 24 db hosts, each proxy sends 20 statements a second to all; the program keeps idle connections for 1.8 s";
    measured.series.push(series(names::HOST_CONNECTIONS_BY_PROXIES, (x, "connections"), by, connections)?);
    measured.series.push(series(names::HOST_PROBES_BY_PROXIES, (x, "probes a second"), by, probes)?);
    measured.series.push(series(
        names::HOST_OPENED_BY_PROXIES,
        (x, "connections opened a second"),
        by,
        opened,
    )?);
    Ok(measured)
}

/// All proxies' loads at once.
fn run(loads: &mut [Load], statements: usize) -> io::Result<Sent> {
    let mut all = Sent::default();
    thread::scope(|scope| {
        let lanes: Vec<_> = loads.iter_mut().map(|load| scope.spawn(move || load.run(statements))).collect();
        for lane in lanes {
            all.add(&lane.join().map_err(|_| io::Error::other("a load panicked"))??);
        }
        Ok(all)
    })
}
