//! What a list costs a proxy: whole, at a restart, and its changes.

use std::io;
use std::path::Path;

use gradeshunt_capacity::fit::Point;
use gradeshunt_capacity::record::names;
use gradeshunt_stand_ins::watches::First;
use serde_json::Value;

use super::bench::{exactly, Bench};
use super::sizes::Sizes;
use super::{least, point, series};
use crate::capacity::hollow::fleet::unknown;
use crate::capacity::Measured;

/// Discovery with one number of db hosts, and what starts of proxies before it cost each.
struct Starts {
    bench: Bench,
    list: Samples,
    restart: Samples,
}

/// What each of several rounds cost one proxy.
#[derive(Default)]
struct Samples {
    bytes: Vec<f64>,
    cpu: Vec<f64>,
}

/// Whole lists, and restarts with an old list that discovery answers with the whole one, by db hosts. Each round has all
/// the numbers of db hosts, so that none of them alone meets the machine's other work.
pub fn by_hosts(sizes: &Sizes, folder: &Path, progress: &mut dyn FnMut(&str)) -> io::Result<Measured> {
    let mut measured = Measured::default();
    let mut all = Vec::new();
    for hosts in sizes.hosts {
        let mut bench = Bench::open(folder, hosts, sizes.list_proxies, First::Whole)?;
        bench.start(0..sizes.list_proxies, &unknown())?;
        bench.until("the whole list", |h| h.lists == 1)?;
        // The list as it was at the start is an old one from here on.
        bench.change()?;
        all.push(Starts { bench, list: Samples::default(), restart: Samples::default() });
    }
    for round in 1..=sizes.rounds {
        progress(&format!("lists of up to {} db hosts, round {round} of {}", sizes.hosts[4], sizes.rounds));
        for Starts { bench, list, restart } in &mut all {
            start(bench, &unknown(), list)?;
            start(bench, &bench.first_list(), restart)?;
        }
    }
    let mut points: [Vec<Point>; 4] = Default::default();
    for Starts { bench, list, restart } in all {
        let (counts, hosts) = (bench.discovery.counts(), bench.hosts);
        let starts = ((1 + 2 * sizes.rounds) * sizes.list_proxies) as u64;
        let of = |what: &str| format!("lists of {hosts} db hosts: {what}");
        measured.counts.push(exactly(of("calls"), starts, counts.calls));
        measured.counts.push(exactly(of("whole lists"), starts, counts.lists));
        measured.counts.push(exactly(
            of("bytes of them"),
            starts * bench.first_list_bytes(),
            counts.list_bytes,
        ));
        measured.counts.push(bench.nothing_unanswered(&of("")));
        let costs = [least(&list.bytes), least(&list.cpu), least(&restart.bytes), least(&restart.cpu)];
        points.iter_mut().zip(costs).for_each(|(points, cost)| points.push(point(hosts, cost)));
    }
    let [list_bytes, list_cpu, restart_bytes, restart_cpu] = points;
    let bytes = ("db hosts listed", "bytes");
    let cpu = ("db hosts listed", "s of processor time");
    let proxies = sizes.list_proxies;
    let rounds = sizes.rounds;
    let how = "bytes of the chunk that holds the whole list, as the stand-in discovery sends it";
    measured.series.push(series(names::LIST_BYTES_BY_HOSTS, bytes, how, list_bytes)?);
    let how = format!(
        "schedstat of the thread of {proxies} hollow proxies, a start of each with an empty list, least of {rounds} rounds"
    );
    measured.series.push(series(names::LIST_CPU_BY_HOSTS, cpu, &how, list_cpu)?);
    let how = "bytes of the first object of a watch that asks with an old version, where discovery answers with the whole list";
    measured.series.push(series(names::RESTART_BYTES_BY_HOSTS, bytes, how, restart_bytes)?);
    let how = format!(
        "schedstat of the thread of {proxies} hollow proxies, a start of each with the old list in its configuration and the \
         whole one from discovery, least of {rounds} rounds"
    );
    measured.series.push(series(names::RESTART_CPU_BY_HOSTS, cpu, &how, restart_cpu)?);
    Ok(measured)
}

/// Starts all proxies with this list, and waits until they have the whole one.
fn start(bench: &Bench, known: &Value, samples: &mut Samples) -> io::Result<()> {
    let (began, before, proxies) = (bench.cpu()?, bench.discovery.counts(), bench.fleet.proxies());
    let lists = bench.crowd.heard().first().map_or(0, |h| h.lists);
    bench.start(0..proxies, known)?;
    bench.until("the whole list", |h| h.lists == lists + 1)?;
    let bytes = bench.discovery.counts().list_bytes - before.list_bytes;
    samples.bytes.push(bytes as f64 / proxies as f64);
    samples.cpu.push(bench.cpu()?.since(began).proxies.as_secs_f64() / proxies as f64);
    Ok(())
}

/// Changes of the list, one after the other, by their number. Each round has all the numbers.
pub fn by_changes(sizes: &Sizes, folder: &Path, progress: &mut dyn FnMut(&str)) -> io::Result<Measured> {
    let mut measured = Measured::default();
    let (proxies, hosts, rounds) = (sizes.list_proxies, sizes.change_hosts, sizes.rounds);
    let mut bench = Bench::open(folder, hosts, proxies, First::Changes)?;
    bench.start(0..proxies, &unknown())?;
    bench.until("the whole list", |h| h.lists == 1)?;
    let mut samples: [(Vec<f64>, Vec<f64>); 5] = Default::default();
    for round in 1..=rounds {
        progress(&format!("changes of a list of {hosts} db hosts, round {round} of {rounds}"));
        for (changes, (bytes, cpu)) in sizes.changes.into_iter().zip(&mut samples) {
            let (before, began) = (bench.discovery.counts(), bench.cpu()?);
            (0..changes).try_for_each(|_| bench.change().map(drop))?;
            let (after, spent) = (bench.discovery.counts(), bench.cpu()?.since(began));
            bytes.push((after.change_bytes - before.change_bytes) as f64 / proxies as f64);
            cpu.push(spent.proxies.as_secs_f64() / proxies as f64);
            let what = format!("{changes} changes: objects that discovery sent");
            measured.counts.push(exactly(what, (changes * proxies) as u64, after.changes - before.changes));
        }
    }
    measured.counts.push(bench.nothing_unanswered("changes"));
    let (bytes, cpu): (Vec<_>, Vec<_>) = samples.into_iter().unzip();
    let points = |samples: Vec<Vec<f64>>| {
        let costs = samples.into_iter().map(|of| least(&of));
        sizes.changes.into_iter().zip(costs).map(|(changes, cost)| point(changes, cost)).collect()
    };
    let how = format!("bytes of chunks with one changed entry each, to each of {proxies} hollow proxies");
    let units = ("changes of one db host's entry", "bytes");
    measured.series.push(series(names::CHANGE_BYTES_BY_CHANGES, units, &how, points(bytes))?);
    let how = format!(
        "schedstat of the thread of {proxies} hollow proxies that know {hosts} db hosts, least of {rounds} rounds; each \
         change in force everywhere before the next"
    );
    let units = ("changes of one db host's entry", "s of processor time");
    measured.series.push(series(names::CHANGE_CPU_BY_CHANGES, units, &how, points(cpu))?);
    Ok(measured)
}
