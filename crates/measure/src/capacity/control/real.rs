//! Real processes of the program: what one holds and spends while it is idle, and whether a hollow proxy costs as much.

use std::io;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use gradeshunt_capacity::record::names;
use gradeshunt_stand_ins::program::{Platform, Process};
use gradeshunt_stand_ins::watches::{First, Watches};

use super::account::{loop_cpu, process_cpu, resident, SETTLED};
use super::bench::{exactly, Bench};
use super::sizes::Sizes;
use super::{figure, point, series};
use crate::capacity::hollow::fleet::{entries, unknown, Fleet};
use crate::capacity::Measured;
use crate::Setting;

/// A real process beginning to serve has more to do than one that is idle.
const BEGUN: Duration = Duration::from_millis(500);

/// Starts real processes of a fleet, and waits until each serves, and so has the whole list.
fn start(
    setting: &Setting,
    fleet: &Fleet,
    name: &str,
    many: usize,
    to: SocketAddr,
) -> io::Result<Vec<Process>> {
    let mut processes = Vec::new();
    for proxy in 0..many {
        let folder = setting.folder.join(format!("{name}-{proxy}"));
        let platform = Platform::new(&setting.program, &folder, false)?;
        platform.configure(&fleet.config(proxy, to, &unknown()))?;
        processes.push(platform.start()?);
    }
    processes.iter_mut().try_for_each(|process| process.until("list of db hosts").map(drop))?;
    Ok(processes)
}

/// Memory and idle processor time, by db hosts known.
pub fn by_hosts(sizes: &Sizes, setting: &Setting, progress: &mut dyn FnMut(&str)) -> io::Result<Measured> {
    let each = sizes.real_each;
    progress(&format!("{} real processes, idle", each * sizes.hosts.len()));
    let fleet = Fleet::new(&setting.folder.join("real"), each)?;
    let mut groups = Vec::new();
    for hosts in sizes.hosts {
        let discovery = Watches::open(entries(hosts), First::Changes)?;
        let processes = start(setting, &fleet, &format!("real-{hosts}"), each, discovery.addr())?;
        groups.push((hosts, discovery, processes));
    }
    std::thread::sleep(BEGUN);
    let cpu = |processes: &[Process]| -> io::Result<Duration> {
        processes.iter().map(|p| process_cpu(p.id())).sum()
    };
    let began: Vec<_> =
        groups.iter().map(|(_, _, of)| Ok((cpu(of)?, Instant::now()))).collect::<io::Result<_>>()?;
    std::thread::sleep(sizes.real_idle);
    let (mut memory, mut idle, mut measured) = (Vec::new(), Vec::new(), Measured::default());
    for ((hosts, discovery, processes), (before, since)) in groups.iter().zip(began) {
        let spent = cpu(processes)?.saturating_sub(before).as_secs_f64();
        let seconds = since.elapsed().as_secs_f64() * each as f64;
        idle.push(point(*hosts, spent / seconds));
        let held: u64 = processes.iter().map(|p| resident(&p.id().to_string())).sum::<io::Result<_>>()?;
        memory.push(point(*hosts, held as f64 / each as f64));
        let what = format!("real processes that know {hosts} db hosts: watches");
        measured.counts.push(exactly(what, each as u64, discovery.counts().watches));
    }
    let how = format!("VmRSS of real processes without clients, mean of {each}");
    measured.series.push(series(names::PROXY_MEMORY_BY_HOSTS, ("db hosts known", "bytes"), &how, memory)?);
    let how = format!(
        "schedstat of all threads of real processes without clients over {:.0} s, mean of {each}",
        sizes.real_idle.as_secs_f64()
    );
    let units = ("db hosts known", "s of processor time a second");
    measured.series.push(series(names::PROXY_IDLE_CPU_BY_HOSTS, units, &how, idle)?);
    Ok(measured)
}

/// Processor time of real processes: of their loops' threads, and of all.
#[derive(Clone, Copy)]
struct Spent {
    loops: f64,
    all: f64,
}

fn spent(processes: &[Process]) -> io::Result<Spent> {
    std::thread::sleep(SETTLED);
    let mut spent = Spent { loops: 0.0, all: 0.0 };
    for process in processes {
        spent.loops += loop_cpu(process.id())?.as_secs_f64();
        spent.all += process_cpu(process.id())?.as_secs_f64();
    }
    Ok(spent)
}

impl Spent {
    /// What has been added since an earlier account, without what the same time costs idle.
    fn since(self, earlier: Spent, idle: Spent, seconds: f64) -> Spent {
        let loops = self.loops - earlier.loops - idle.loops * seconds;
        Spent { loops, all: self.all - earlier.all - idle.all * seconds }
    }
}

/// What one piece of work cost hollow proxies, and real ones beside them.
struct Beside {
    hollow: f64,
    real: Spent,
}

/// Real processes beside as many hollow ones, before the same discovery and with the same list and changes.
pub fn beside(sizes: &Sizes, setting: &Setting, progress: &mut dyn FnMut(&str)) -> io::Result<Measured> {
    let many = sizes.beside;
    progress(&format!("{many} real processes beside {many} hollow ones"));
    let mut measured = Measured::default();
    let folder = setting.folder.join("beside");
    let bare = bare_memory(sizes, setting)?;
    let mut bench = Bench::open(&folder, sizes.beside_hosts, many, First::Whole)?;
    let before = resident("self")?;
    bench.start(0..many, &unknown())?;
    bench.until("the whole list", |h| h.lists == 1)?;
    let hollow = (resident("self")?.saturating_sub(before)) as f64 / many as f64;
    let mut real = start(setting, &bench.fleet, "beside", many, bench.discovery.addr())?;
    std::thread::sleep(BEGUN);
    let held: u64 = real.iter().map(|p| resident(&p.id().to_string())).sum::<io::Result<_>>()?;
    let held = held as f64 / many as f64 - bare;
    let watches = bench.discovery.counts().watches;
    measured.counts.push(exactly("hollow and real proxies: watches".to_owned(), 2 * many as u64, watches));

    let (idle, since) = (spent(&real)?, Instant::now());
    std::thread::sleep(sizes.real_idle);
    let idle = spent(&real)?.since(idle, Spent { loops: 0.0, all: 0.0 }, 0.0);
    let seconds = since.elapsed().as_secs_f64();
    let idle = Spent { loops: idle.loops / seconds, all: idle.all / seconds };

    let changes = side_by_side(&mut bench, &mut real, idle, |bench, real| {
        (0..sizes.beside_changes).try_for_each(|_| {
            bench.change()?;
            let told = format!("generation: {}", bench.changes + 1);
            real.iter_mut().try_for_each(|process| process.until(&told).map(drop))
        })
    })?;
    let lists = side_by_side(&mut bench, &mut real, idle, |bench, real| {
        bench.discovery.cut();
        bench.until("the list anew", |h| h.lists == 2)?;
        real.iter_mut().try_for_each(|process| process.until("list of db hosts").map(drop))
    })?;
    let counts = bench.discovery.counts();
    let proxies = 2 * many as u64;
    let expected = proxies * sizes.beside_changes as u64;
    measured.counts.push(exactly(
        "hollow and real proxies: changes told".to_owned(),
        expected,
        counts.changes,
    ));
    measured.counts.push(exactly(
        "hollow and real proxies: whole lists".to_owned(),
        2 * proxies,
        counts.lists,
    ));
    measured.counts.push(exactly("hollow and real proxies: calls".to_owned(), 2 * proxies, counts.calls));
    measured.counts.push(bench.nothing_unanswered("hollow proxies beside real ones"));

    let hosts = sizes.beside_hosts;
    let how = format!(
        "growth of this process's VmRSS by {many} hollow proxies that know {hosts} db hosts, over that of {many} real \
         processes beyond one that knows none; a real one also holds its pool's book of db hosts"
    );
    measured.figures.push(figure(names::HOLLOW_MEMORY_SHARE, hollow / held, "of a real one", &how));
    let each = sizes.beside_changes;
    let how = format!(
        "{each} changes, each in force before the next, at {many} hollow proxies beside {many} real processes that know \
         {hosts} db hosts: schedstat of the hollow ones' thread over that of all threads of the real ones, less what those \
         spend idle"
    );
    measured.figures.push(figure(
        names::HOLLOW_CPU_SHARE,
        changes.hollow / changes.real.all,
        "of a real one",
        &how,
    ));
    let how = "the same over the real ones' loops alone, without the threads that write their logs";
    let share = changes.hollow / changes.real.loops;
    measured.figures.push(figure(names::HOLLOW_LOOP_CPU_SHARE, share, "of a real one's loop", how));
    let how = format!(
        "the same where all take in the whole list of {hosts} db hosts anew after a cut of their watches"
    );
    let share = lists.hollow / lists.real.all;
    measured.figures.push(figure(names::HOLLOW_LIST_CPU_SHARE, share, "of a real one", &how));
    Ok(measured)
}

/// Resident memory of a real process that knows of no db host.
fn bare_memory(sizes: &Sizes, setting: &Setting) -> io::Result<f64> {
    let discovery = Watches::open(entries(0), First::Whole)?;
    let fleet = Fleet::new(&setting.folder.join("bare"), sizes.real_each)?;
    let processes = start(setting, &fleet, "bare", sizes.real_each, discovery.addr())?;
    std::thread::sleep(BEGUN);
    let held: u64 = processes.iter().map(|p| resident(&p.id().to_string())).sum::<io::Result<_>>()?;
    Ok(held as f64 / sizes.real_each as f64)
}

/// Has all do the same work, and counts what it costs both kinds.
fn side_by_side(
    bench: &mut Bench,
    real: &mut [Process],
    idle: Spent,
    work: impl FnOnce(&mut Bench, &mut [Process]) -> io::Result<()>,
) -> io::Result<Beside> {
    let (before, began, since) = (bench.cpu()?, spent(real)?, Instant::now());
    work(bench, real)?;
    let (hollow, seconds) = (bench.cpu()?.since(before).proxies, since.elapsed().as_secs_f64());
    Ok(Beside { hollow: hollow.as_secs_f64(), real: spent(real)?.since(began, idle, seconds) })
}
