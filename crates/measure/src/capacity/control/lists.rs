//! What a list costs a proxy: whole, at a restart, and its changes.

use std::io;
use std::path::Path;

use gradeshunt_capacity::fit::Point;
use gradeshunt_capacity::record::names;
use gradeshunt_stand_ins::watches::First;
use serde_json::Value;

use super::bench::{exactly, Bench};
use super::sizes::Sizes;
use super::{point, series};
use crate::capacity::hollow::fleet::unknown;
use crate::capacity::Measured;

/// What a start costs one proxy.
struct Start {
    bytes: f64,
    cpu: f64,
}

/// Whole lists, and restarts with an old list that discovery answers with the whole one, by db hosts.
pub fn by_hosts(sizes: &Sizes, folder: &Path, progress: &mut dyn FnMut(&str)) -> io::Result<Measured> {
    let mut measured = Measured::default();
    let mut points: [Vec<Point>; 4] = Default::default();
    for hosts in sizes.hosts {
        progress(&format!("lists of {hosts} db hosts"));
        let mut bench = Bench::open(folder, hosts, sizes.list_proxies, First::Whole)?;
        let (list, old) = (unknown(), bench.first_list());
        let first = starts(&bench, &list, sizes.list_rounds)?;
        bench.change()?;
        let restart = starts(&bench, &old, sizes.list_rounds)?;
        let costs = [first.bytes, first.cpu, restart.bytes, restart.cpu];
        points.iter_mut().zip(costs).for_each(|(points, cost)| points.push(point(hosts, cost)));
        let counts = bench.discovery.counts();
        let starts = 2 * (sizes.list_proxies * sizes.list_rounds) as u64;
        let of = |what: &str| format!("lists of {hosts} db hosts: {what}");
        measured.counts.push(exactly(of("calls"), starts, counts.calls));
        measured.counts.push(exactly(of("whole lists"), starts, counts.lists));
        measured.counts.push(exactly(of("bytes of a list"), bench.first_list_bytes(), first.bytes as u64));
        measured.counts.push(bench.nothing_unanswered(&of("")));
    }
    let [list_bytes, list_cpu, restart_bytes, restart_cpu] = points;
    let bytes = ("db hosts listed", "bytes");
    let cpu = ("db hosts listed", "s of processor time");
    let proxies = sizes.list_proxies;
    let rounds = sizes.list_rounds;
    let how = "bytes of the chunk that holds the whole list, as the stand-in discovery sends it";
    measured.series.push(series(names::LIST_BYTES_BY_HOSTS, bytes, how, list_bytes)?);
    let how = format!(
        "schedstat of the thread of {proxies} hollow proxies, a start of each with an empty list, mean of {rounds} rounds"
    );
    measured.series.push(series(names::LIST_CPU_BY_HOSTS, cpu, &how, list_cpu)?);
    let how = "bytes of the first object of a watch that asks with an old version, where discovery answers with the whole list";
    measured.series.push(series(names::RESTART_BYTES_BY_HOSTS, bytes, how, restart_bytes)?);
    let how = format!(
        "schedstat of the thread of {proxies} hollow proxies, a start of each with the old list in its configuration and the \
         whole one from discovery, mean of {rounds} rounds"
    );
    measured.series.push(series(names::RESTART_CPU_BY_HOSTS, cpu, &how, restart_cpu)?);
    Ok(measured)
}

/// Starts all proxies with this list, so often, each time until they have the whole one.
fn starts(bench: &Bench, known: &Value, rounds: usize) -> io::Result<Start> {
    let (before, cpu) = (bench.discovery.counts(), bench.cpu()?);
    let lists = bench.crowd.heard().first().map_or(0, |h| h.lists);
    for round in 1..=rounds {
        bench.start(0..bench.fleet.proxies(), known)?;
        bench.until("the whole list", |h| h.lists == lists + round as u64)?;
    }
    let (after, cpu) = (bench.discovery.counts(), bench.cpu()?.since(cpu));
    let starts = (bench.fleet.proxies() * rounds) as f64;
    let bytes = (after.list_bytes - before.list_bytes) as f64 / starts;
    Ok(Start { bytes, cpu: cpu.proxies.as_secs_f64() / starts })
}

/// Changes of the list, one after the other, by their number.
pub fn by_changes(sizes: &Sizes, folder: &Path, progress: &mut dyn FnMut(&str)) -> io::Result<Measured> {
    let mut measured = Measured::default();
    let (proxies, hosts) = (sizes.list_proxies, sizes.change_hosts);
    let mut bench = Bench::open(folder, hosts, proxies, First::Changes)?;
    bench.start(0..proxies, &unknown())?;
    bench.until("the whole list", |h| h.lists == 1)?;
    let (mut bytes, mut cpu) = (Vec::new(), Vec::new());
    for changes in sizes.changes {
        progress(&format!("{changes} changes of a list of {hosts} db hosts"));
        let (before, began) = (bench.discovery.counts(), bench.cpu()?);
        for _ in 0..changes {
            bench.change()?;
        }
        let (after, spent) = (bench.discovery.counts(), bench.cpu()?.since(began));
        let sent = after.change_bytes - before.change_bytes;
        bytes.push(point(changes, sent as f64 / proxies as f64));
        cpu.push(point(changes, spent.proxies.as_secs_f64() / proxies as f64));
        let what = format!("{changes} changes: objects that discovery sent");
        measured.counts.push(exactly(what, (changes * proxies) as u64, after.changes - before.changes));
    }
    measured.counts.push(bench.nothing_unanswered("changes"));
    let how = format!("bytes of chunks with one changed entry each, to each of {proxies} hollow proxies");
    let units = ("changes of one db host's entry", "bytes");
    measured.series.push(series(names::CHANGE_BYTES_BY_CHANGES, units, &how, bytes)?);
    let how = format!(
        "schedstat of the thread of {proxies} hollow proxies that know {hosts} db hosts; each change in force everywhere \
         before the next"
    );
    let units = ("changes of one db host's entry", "s of processor time");
    measured.series.push(series(names::CHANGE_CPU_BY_CHANGES, units, &how, cpu)?);
    Ok(measured)
}
