//! What proxies cost discovery, and how soon a change is in force at all of them: by proxies, up to over a thousand watches.

use std::io;
use std::net::TcpStream;
use std::path::Path;
use std::time::{Duration, Instant};

use gradeshunt_capacity::fit::Point;
use gradeshunt_capacity::record::{names, Figure};
use gradeshunt_stand_ins::watches::{First, Watches};

use super::account::SETTLED;
use super::bench::{exactly, Bench, GUARD};
use super::sizes::Sizes;
use super::{figure, least, median, point, series};
use crate::capacity::hollow::fleet::{entries, unknown};
use crate::capacity::hollow::Heard;
use crate::capacity::{Count, Measured};

/// Db hosts listed where the memory of watches is measured: the whole answer fits into the sockets' buffers.
const FEW_HOSTS: usize = 10;
/// Calls are counted in spans of this length.
const SPAN: Duration = Duration::from_secs(1);

/// What one number of proxies costs discovery.
struct Cost {
    watches: u64,
    /// Processor time a second.
    idle_cpu: f64,
    /// Bytes a second that an idle watch brings.
    idle_bytes: f64,
    change_cpu: f64,
    change_delay: f64,
    reconnect_cpu: f64,
    /// From a cut of all watches until all are back, and calls in the worst second, a proxy: the worst round.
    reconnect_seconds: f64,
    reconnect_peak: f64,
}

/// What the rounds at one number of proxies came to.
#[derive(Default)]
struct Samples {
    idle_cpu: Vec<f64>,
    idle_bytes: Vec<f64>,
    change_cpu: Vec<f64>,
    change_delay: Vec<f64>,
    reconnect_cpu: Vec<f64>,
    reconnect_seconds: Vec<f64>,
    reconnect_peak: Vec<f64>,
}

/// All that is measured by proxies.
pub fn by_proxies(sizes: &Sizes, folder: &Path, progress: &mut dyn FnMut(&str)) -> io::Result<Measured> {
    let mut measured = Measured::default();
    let mut points: [Vec<Point>; 6] = Default::default();
    let mut last = None;
    for proxies in sizes.proxies {
        progress(&format!("discovery before {proxies} proxies"));
        // Before the proxies: they would allocate meanwhile.
        let memory = memory(proxies)?;
        let mut bench = Bench::open(folder, sizes.fleet_hosts, proxies, First::Changes)?;
        let cost = cost(&mut bench, sizes, &mut measured.counts)?;
        let watches = cost.watches as f64;
        let costs = [watches, cost.idle_cpu, memory, cost.change_cpu, cost.change_delay, cost.reconnect_cpu];
        points.iter_mut().zip(costs).for_each(|(points, cost)| points.push(point(proxies, cost)));
        last = Some((bench, cost));
    }
    describe(&mut measured, points, sizes)?;
    if let Some((bench, cost)) = last {
        measured.figures.extend(figures(&cost, bench.fleet.proxies()));
        progress(&format!("a restart of {} proxies in {} waves", bench.fleet.proxies(), sizes.waves));
        measured.figures.push(waves(&bench, sizes, &mut measured.counts)?);
        measured.counts.push(bench.nothing_unanswered("proxies"));
    }
    Ok(measured)
}

fn cost(bench: &mut Bench, sizes: &Sizes, counts: &mut Vec<Count>) -> io::Result<Cost> {
    let proxies = bench.fleet.proxies();
    let of = |what: &str| format!("{proxies} proxies: {what}");
    bench.start(0..proxies, &unknown())?;
    bench.until("the whole list", |h| h.lists == 1)?;
    let started = bench.discovery.counts();
    counts.push(exactly(of("calls at the start"), proxies as u64, started.calls));
    counts.push(exactly(of("whole lists"), proxies as u64, started.lists));
    counts.push(exactly(of("bytes of them"), proxies as u64 * bench.first_list_bytes(), started.list_bytes));

    let mut samples = Samples::default();
    for _ in 0..sizes.rounds {
        idle(bench, sizes, &mut samples)?;
        changes(bench, sizes, &mut samples, counts)?;
        reconnect(bench, &mut samples, counts)?;
    }
    Ok(Cost {
        watches: bench.discovery.counts().watches,
        idle_cpu: least(&samples.idle_cpu),
        idle_bytes: median(samples.idle_bytes),
        change_cpu: least(&samples.change_cpu),
        change_delay: median(samples.change_delay),
        reconnect_cpu: least(&samples.reconnect_cpu),
        reconnect_seconds: worst(&samples.reconnect_seconds),
        reconnect_peak: worst(&samples.reconnect_peak),
    })
}

/// Discovery's processor time a second, and the bytes a second that each watch brings, while nothing changes.
fn idle(bench: &Bench, sizes: &Sizes, samples: &mut Samples) -> io::Result<()> {
    let (before, began, since) = (bench.discovery.counts(), bench.cpu()?, Instant::now());
    std::thread::sleep(sizes.idle);
    let (spent, after) = (bench.cpu()?.since(began), bench.discovery.counts());
    let seconds = since.elapsed().as_secs_f64();
    let bytes = (after.beat_bytes - before.beat_bytes) as f64;
    samples.idle_cpu.push(spent.discovery.as_secs_f64() / seconds);
    samples.idle_bytes.push(bytes / seconds / bench.fleet.proxies() as f64);
    Ok(())
}

/// Changes, one after the other: discovery's processor time for each, and the time until each is in force everywhere.
fn changes(
    bench: &mut Bench,
    sizes: &Sizes,
    samples: &mut Samples,
    counts: &mut Vec<Count>,
) -> io::Result<()> {
    let proxies = bench.fleet.proxies();
    let (before, began) = (bench.discovery.counts(), bench.cpu()?);
    for _ in 0..sizes.fleet_changes {
        samples.change_delay.push(bench.change()?.as_secs_f64());
    }
    let spent = bench.cpu()?.since(began).discovery.as_secs_f64();
    samples.change_cpu.push(spent / sizes.fleet_changes as f64);
    let told = bench.discovery.counts().changes - before.changes;
    let what = format!("{proxies} proxies: changes told");
    counts.push(exactly(what, (proxies * sizes.fleet_changes) as u64, told));
    Ok(())
}

/// Cuts all watches at once, and waits until all are back and have been told what they asked for.
fn reconnect(bench: &Bench, samples: &mut Samples, counts: &mut Vec<Count>) -> io::Result<()> {
    let (proxies, began) = (bench.fleet.proxies(), bench.cpu()?);
    let (before, heard) = (bench.discovery.counts(), bench.crowd.heard());
    let told = heard.first().map_or(0, |h| h.changes + h.lists) + 1;
    let cut = Instant::now();
    bench.discovery.cut();
    bench.until("the watches back", |h| h.changes + h.lists >= told)?;
    let last = bench.crowd.heard().iter().filter_map(|h| h.at).max();
    let took = last.map_or(Duration::ZERO, |at| at.saturating_duration_since(cut));
    let after = bench.discovery.counts();
    let of = |what: &str| format!("{proxies} proxies, all watches cut: {what}");
    counts.push(exactly(of("watches back"), proxies as u64, after.watches));
    counts.push(exactly(of("calls"), proxies as u64, after.calls - before.calls));
    counts.push(exactly(of("whole lists"), 0, after.lists - before.lists));
    samples.reconnect_cpu.push(bench.cpu()?.since(began).discovery.as_secs_f64());
    samples.reconnect_seconds.push(took.as_secs_f64());
    samples.reconnect_peak.push(peak(&after.calls_at[before.calls_at.len()..]) as f64 / proxies as f64);
    Ok(())
}

/// Restarts all proxies, a wave after the other, with the list as it was at the start. A wave begins when the one before
/// has heard discovery, and no sooner than the pace says.
fn waves(bench: &Bench, sizes: &Sizes, counts: &mut Vec<Count>) -> io::Result<Figure> {
    let proxies = bench.fleet.proxies();
    let (before, old) = (bench.discovery.counts(), bench.first_list());
    let told: Vec<_> = bench.crowd.heard().iter().map(|h| h.changes + h.lists).collect();
    let size = proxies.div_ceil(sizes.waves);
    for from in (0..proxies).step_by(size) {
        let began = Instant::now();
        let wave = from..(from + size).min(proxies);
        bench.start(wave.clone(), &old)?;
        let back = |heard: &[Heard]| {
            wave.clone().all(|n| heard.get(n).is_some_and(|h| h.changes + h.lists > told[n]))
        };
        bench.until_all("a wave", back)?;
        std::thread::sleep(sizes.wave_pace.saturating_sub(began.elapsed()));
    }
    let after = bench.discovery.counts();
    let of = |what: &str| format!("{proxies} proxies, restarted in {} waves: {what}", sizes.waves);
    counts.push(exactly(of("watches"), proxies as u64, after.watches));
    counts.push(exactly(of("calls"), proxies as u64, after.calls - before.calls));
    counts.push(exactly(of("whole lists"), 0, after.lists - before.lists));
    let peak = peak(&after.calls_at[before.calls_at.len()..]) as f64 / proxies as f64;
    let how = format!(
        "{proxies} hollow proxies in {} waves, each once the one before has heard discovery and at least {:.2} s after it \
         began; an old list is answered with what has changed",
        sizes.waves,
        sizes.wave_pace.as_secs_f64()
    );
    Ok(figure(names::WAVES_PEAK_CALLS, peak, "calls a proxy", &how))
}

/// What discovery holds on its heap for so many idle watches, in bytes. The watches are bare sockets here, which hold
/// nothing on the heap of this process.
fn memory(watches: usize) -> io::Result<f64> {
    use std::io::Write;
    let discovery = Watches::open(entries(FEW_HOSTS), First::Whole)?;
    let mut sockets = Vec::with_capacity(watches);
    let before = crate::HELD.current_usage();
    for _ in 0..watches {
        let mut socket = TcpStream::connect(discovery.addr())?;
        socket.write_all(b"GET /api/targets?stream=1&index=0 HTTP/1.1\r\nHost: x\r\n\r\n")?;
        sockets.push(socket);
    }
    let opened = discovery.wait(GUARD, |c| c.watches == watches as u64);
    if !opened {
        return Err(io::Error::new(io::ErrorKind::TimedOut, "watches did not open"));
    }
    std::thread::sleep(SETTLED);
    let held = crate::HELD.current_usage().saturating_sub(before);
    Ok(held as f64)
}

/// The most of these moments, which rise, that are within one span.
fn peak(moments: &[Duration]) -> usize {
    let within =
        |(n, from): (usize, &Duration)| moments[n..].iter().take_while(|at| **at < *from + SPAN).count();
    moments.iter().enumerate().map(within).max().unwrap_or(0)
}

fn worst(values: &[f64]) -> f64 {
    values.iter().copied().fold(0.0, f64::max)
}

fn describe(measured: &mut Measured, points: [Vec<Point>; 6], sizes: &Sizes) -> io::Result<()> {
    let [watches, idle_cpu, memory, change_cpu, change_delay, reconnect_cpu] = points;
    let (hosts, rounds, changes) = (sizes.fleet_hosts, sizes.rounds, sizes.fleet_changes);
    let cpu = ("proxies", "s of processor time");
    let mut add = |name, units, how: &str, points| -> io::Result<()> {
        measured.series.push(series(name, units, how, points)?);
        Ok(())
    };
    let how = "watches that the stand-in discovery counts after a cut of all";
    add(names::DISCOVERY_WATCHES_BY_PROXIES, ("proxies", "watches"), how, watches)?;
    let how = format!(
        "schedstat of the stand-in discovery's thread over {:.0} s without a change, an empty line each 2 s a watch; least of \
         {rounds} rounds",
        sizes.idle.as_secs_f64()
    );
    let units = ("proxies", "s of processor time a second");
    add(names::DISCOVERY_IDLE_CPU_BY_PROXIES, units, &how, idle_cpu)?;
    let how = "heap that the stand-in discovery holds for idle watches by bare sockets, counted by the allocator; without \
               what the system holds for a socket";
    add(names::DISCOVERY_MEMORY_BY_PROXIES, ("proxies", "bytes"), how, memory)?;
    let how = format!(
        "schedstat of the stand-in discovery's thread for each of {changes} changes of one entry of {hosts}, least of {rounds} rounds"
    );
    add(names::DISCOVERY_CHANGE_CPU_BY_PROXIES, cpu, &how, change_cpu)?;
    let how = format!(
        "wall-clock from the change at discovery until the last proxy's decision module has heard of it, median of {}; \
         all hollow proxies take their turns on one thread",
        changes * rounds
    );
    add(names::CHANGE_DELAY_BY_PROXIES, ("proxies", "s"), &how, change_delay)?;
    let how = "schedstat of the stand-in discovery's thread from a cut of all watches until all are back; each asks with \
               the latest version, and is told that nothing has changed; least of the rounds";
    add(names::DISCOVERY_RECONNECT_CPU_BY_PROXIES, cpu, how, reconnect_cpu)
}

fn figures(cost: &Cost, proxies: usize) -> Vec<Figure> {
    let idle = "bytes of the empty lines with their chunks' frames, without the headers of TCP and IP";
    let cut = format!(
        "{proxies} watches cut at once; the decision modules spread their calls over 1 to 2 s after that"
    );
    vec![
        figure(names::WATCH_IDLE_BYTES, cost.idle_bytes, "bytes a second", idle),
        figure(names::RECONNECT_PEAK_CALLS, cost.reconnect_peak, "calls a proxy", &cut),
        figure(names::RECONNECT_SECONDS, cost.reconnect_seconds, "s", &cut),
    ]
}
