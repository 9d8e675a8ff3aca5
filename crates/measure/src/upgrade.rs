//! `gradeshunt-measure upgrade`: 500 upgrades under load, on several proxies side by side; a tenth of them, or all with
//! `--long`, with a disk that stands for 2 s. No request may end at the door, or take over half of its client's wait.

use std::io;
use std::thread;
use std::time::{Duration, Instant};

use clap::Args;
use gradeshunt_stand_ins::checker::Counts;
use gradeshunt_stand_ins::site::{Plan, Site};
use gradeshunt_stand_ins::upgrade::{begin, shared_folder, upgrade, Load, Standing};

use crate::{Report, Setting};

/// How long the disk stands.
const STANDS: Duration = Duration::from_secs(2);
/// How long clients wait, in milliseconds.
const WAIT: u32 = 1200;
/// Requests between two upgrades.
const BETWEEN: u64 = 40;

#[derive(Args)]
pub struct Options {
    /// Upgrades in all.
    #[arg(long, default_value_t = 500)]
    upgrades: usize,
    /// Proxies side by side.
    #[arg(long, default_value_t = 8)]
    proxies: usize,
    /// Clients of each proxy.
    #[arg(long, default_value_t = 4)]
    clients: u64,
}

/// What one proxy's upgrades came to.
struct Lane {
    counts: Counts,
    faults: Vec<String>,
    slowest_end: Duration,
    slow_turns: usize,
    late_wakes: usize,
}

pub fn measure(setting: &Setting, options: &Options) -> io::Result<Report> {
    let each = options.upgrades.div_ceil(options.proxies.max(1));
    let standing = if setting.long { each } else { each.div_ceil(10).max(1) };
    let since = Instant::now();
    let kinds = [
        ("disk goes on", each - if setting.long { 0 } else { standing }, false),
        ("disk stands 2 s", standing, true),
    ];
    let mut report = Report { table: Vec::new(), results: Vec::new(), missed: Vec::new() };
    report.table.push(format!(
        "{:<16} {:>9} {:>9} {:>9} {:>9} {:>9} {:>9} {:>9} {:>10} {:>10}",
        "",
        "upgrades",
        "requests",
        "served",
        "refused",
        "failed",
        "at door",
        "over half",
        "longest ms",
        "slow turns"
    ));
    let (mut door, mut requests, mut upgrades, mut over_half) = (0, 0, 0, 0);
    for (name, rounds, stands) in kinds {
        let lane = |n| run(setting, options, n, rounds, stands);
        let lanes: Vec<io::Result<Lane>> = thread::scope(|scope| {
            let lanes: Vec<_> = (0..options.proxies).map(|n| scope.spawn(move || lane(n))).collect();
            lanes
                .into_iter()
                .map(|l| l.join().unwrap_or_else(|_| Err(io::Error::other("a lane panicked"))))
                .collect()
        });
        let (mut counts, mut slow, mut late, mut end) = (Counts::default(), 0, 0, Duration::ZERO);
        for lane in lanes {
            let lane = lane?;
            counts.add(&lane.counts);
            report.missed.extend(lane.faults.into_iter().take(3));
            (slow, late, end) = (slow + lane.slow_turns, late + lane.late_wakes, end.max(lane.slowest_end));
        }
        use gradeshunt_stand_ins::checker::Outcome::{Failed, Refused, Served};
        report.table.push(format!(
            "{name:<16} {:>9} {:>9} {:>9} {:>9} {:>9} {:>9} {:>9} {:>10} {:>10}",
            rounds * options.proxies,
            counts.all(),
            counts.of(Served),
            counts.of(Refused),
            counts.of(Failed),
            counts.at_the_door(),
            counts.over_half,
            counts.longest.as_millis(),
            format!("{slow}+{late}")
        ));
        report.table.push(format!("  the former process ended after {} ms at the latest", end.as_millis()));
        (door, requests, upgrades) =
            (door + counts.at_the_door(), requests + counts.all(), upgrades + rounds * options.proxies);
        over_half += counts.over_half;
        if counts.over_half > 0 {
            report.missed.push(format!("{name}: {} requests took over half of their wait", counts.over_half));
        }
        if counts.of(Served) != counts.all() {
            report.missed.push(format!("{name}: not all were served: {counts}"));
        }
    }
    report.results = vec![
        ("upgrades", upgrades.to_string()),
        ("requests", requests.to_string()),
        ("door", door.to_string()),
        ("over_half", over_half.to_string()),
        ("seconds", since.elapsed().as_secs().to_string()),
    ];
    Ok(report)
}

fn run(setting: &Setting, options: &Options, lane: usize, rounds: usize, stands: bool) -> io::Result<Lane> {
    let site = Site::open(Plan {
        sets: vec![3],
        deadline: WAIT.into(),
        aim: 600.0,
        sockets: 384,
        memory: 48,
        ..Plan::default()
    })?;
    let folder = setting.folder.join(format!("lane-{lane}-{stands}"));
    let (platform, mut process) = begin(&setting.program, &folder, &site)?;
    let addr = platform.held_addr().ok_or(io::ErrorKind::AddrNotAvailable)?;
    let shared = shared_folder(&platform)?;
    let load = Load::start(addr, 0..options.clients, WAIT);
    let (mut slowest_end, mut slow_turns, mut late_wakes) = (Duration::ZERO, 0, 0);
    for round in 0..rounds {
        load.another(BETWEEN);
        let standing = stands.then(|| Standing::begin(&shared)).transpose()?;
        // It stands from before the successor starts, or from between its start and the former one's end.
        let timer = standing.map(|standing| {
            thread::spawn(move || {
                thread::sleep(STANDS);
                drop(standing);
            })
        });
        if stands && round % 2 == 1 {
            thread::sleep(STANDS.mul_f64(0.9));
        }
        let (next, took) = upgrade(&platform, process)?;
        process = next;
        slowest_end = slowest_end.max(took);
        if let Some(timer) = timer {
            let _ = timer.join();
        }
        let logged = process.logged();
        slow_turns += logged.iter().filter(|l| l.contains("a turn took long")).count();
        late_wakes += logged.iter().filter(|l| l.contains("the loop woke late")).count();
    }
    load.another(BETWEEN);
    let checker = load.end();
    let faults = checker.faults(&site.sets[0].writes());
    Ok(Lane { counts: checker.counts(), faults, slowest_end, slow_turns, late_wakes })
}
