//! The fleet: processes, their links and lists, their clients, and the play of a script.

use std::collections::BTreeMap;
use std::fmt::{self, Display};
use std::io;
use std::path::Path;
use std::thread;
use std::time::{Duration, Instant};

use gradeshunt_stand_ins::checker::Counts;
use gradeshunt_stand_ins::discovery::Discovery;
use gradeshunt_stand_ins::program::{Platform, Process};
use gradeshunt_stand_ins::site::{entry, Plan, Site};
use gradeshunt_stand_ins::upgrade::Load;
use serde_json::json;

use crate::link::Link;
use crate::script::{Act, Fault, Script, Which};

/// No script waits longer for its progress: a fleet that stands still is a fault, not a slow machine.
const STANDS: Duration = Duration::from_secs(120);
/// How long a process may take to end.
const ENDS: Duration = Duration::from_secs(60);

/// One proxy: its processes come and go, its clients' socket stays.
struct Proxy {
    platform: Platform,
    process: Option<Process>,
    /// By set, then by db host.
    links: Vec<Vec<Link>>,
    /// It lists the near ends of those links.
    _discovery: Discovery,
    load: Load,
    /// A process of it was killed: what it had taken is lost with it.
    killed: bool,
}

/// What came of a script.
pub struct Report {
    /// By proxy.
    pub counts: Vec<Counts>,
    /// What may not be.
    pub faults: Vec<String>,
}

impl Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        for (n, counts) in self.counts.iter().enumerate() {
            writeln!(f, "proxy {n}: {counts}")?;
        }
        self.faults.iter().try_for_each(|fault| writeln!(f, "FAULT {fault}"))
    }
}

/// Plays a script with this program, in a folder of its own.
///
/// # Errors
/// Where the fleet can't be started, or stands still.
pub fn play(script: &Script, program: &Path, folder: &Path) -> io::Result<Report> {
    let wait = f64::from(script.wait_ms);
    let plan = Plan { sets: script.sets.clone(), deadline: wait, aim: wait / 2.0, ..Plan::default() };
    let site = Site::open(plan)?;
    let mut fleet = Vec::new();
    for me in 0..script.proxies {
        fleet.push(Proxy::start(script, &site, program, &folder.join(format!("n{me}")), me)?);
    }
    for step in &script.steps {
        match &step.what {
            Some(Fault::Link { proxy, set, host, state }) => {
                let links = chosen(&mut fleet, *proxy).flat_map(|p| chosen(&mut p.links, *set));
                links.flat_map(|l| chosen(l, *host)).for_each(|l| l.set(*state));
            }
            Some(Fault::Process { proxy, act }) => {
                for p in chosen(&mut fleet, *proxy) {
                    p.carry_out(*act)?;
                }
            }
            None => {}
        }
        advance(&fleet, step.requests)?;
    }
    // Whatever the script has left broken: clients get their answers, or their proxies' time is up.
    let loads: Vec<_> = fleet.into_iter().map(|p| (p.killed, p.load.end(), p.process)).collect();
    let writes = site.sets.iter().flat_map(|set| set.writes()).collect::<BTreeMap<_, _>>();
    let (mut counts, mut faults) = (Vec::new(), Vec::new());
    for (n, (killed, checker, _)) in loads.iter().enumerate() {
        let of = checker.counts();
        faults.extend(checker.faults(&BTreeMap::new()).into_iter().map(|f| format!("proxy {n}: {f}")));
        if !killed && of.at_the_door() > 0 {
            faults.push(format!(
                "proxy {n}: {} requests ended without a word, and it was never killed",
                of.at_the_door()
            ));
        }
        // What the slack of the settings, the connection and a busy machine may add to a wait.
        let late = Duration::from_millis(script.wait_ms.into()) + ENDS;
        if of.longest > late {
            faults.push(format!("proxy {n}: a request took {:?}", of.longest));
        }
        counts.push(of);
        faults.extend(lost(&checker.served(), &writes).into_iter().map(|f| format!("proxy {n}: {f}")));
    }
    faults.extend(twice(&writes));
    Ok(Report { counts, faults })
}

/// Keys that have changed data more than once, over all proxies.
fn twice(writes: &BTreeMap<String, u32>) -> Vec<String> {
    writes.iter().filter(|(_, n)| **n > 1).map(|(k, n)| format!("key {k} has run {n} times")).collect()
}

/// Writes whose clients were told that they are served, and which no db host knows. Each fourth request of a client is one.
fn lost(served: &[String], writes: &BTreeMap<String, u32>) -> Vec<String> {
    let is_write = |id: &&String| {
        let number = id.split_once('-').and_then(|(_, n)| u64::from_str_radix(n, 16).ok());
        number.is_some_and(|n| n % 4 == 0)
    };
    let lost = served.iter().filter(is_write).filter(|id| !writes.contains_key(*id));
    lost.map(|id| format!("write {id} was confirmed and is lost")).collect()
}

/// Waits until so many more requests are answered, over all proxies.
fn advance(fleet: &[Proxy], requests: u64) -> io::Result<()> {
    let answered =
        || fleet.iter().map(|p| p.load.checker.counts()).map(|c| c.all() - c.at_the_door()).sum::<u64>();
    let (until, since) = (answered() + requests, Instant::now());
    while answered() < until {
        if since.elapsed() > STANDS {
            return Err(io::Error::other(format!(
                "the fleet stands still at {} of {until} answers",
                answered()
            )));
        }
        thread::sleep(Duration::from_millis(2));
    }
    Ok(())
}

/// One of them, or all.
fn chosen<T>(all: &mut [T], which: Which) -> std::slice::IterMut<'_, T> {
    match which {
        Some(n) => all[n..=n].iter_mut(),
        None => all.iter_mut(),
    }
}

impl Proxy {
    fn start(script: &Script, site: &Site, program: &Path, folder: &Path, me: usize) -> io::Result<Proxy> {
        let (mut links, mut entries) = (Vec::new(), Vec::new());
        for (hosts, cell) in site.hosts.iter().zip(1..) {
            let mut of = Vec::new();
            for (number, host) in hosts.iter().enumerate() {
                let link = Link::open(host.addr())?;
                entries.push(entry(&Site::id(cell, number), &link.addr().to_string(), cell, number == 0));
                of.push(link);
            }
            links.push(of);
        }
        let discovery = Discovery::open(entries)?;
        let mut config = site.config();
        config["name"] = json!(format!("n{me}"));
        config["seed"] = json!(format!("{}", me + 7));
        config["discovery"] = json!(discovery.addr().to_string());
        config["known"] = discovery.whole();
        config["settings"]["fleetSize"] = json!(script.proxies);
        config["settings"]["me"] = json!(me);
        let platform = Platform::new(program, folder, true)?;
        platform.configure(&config)?;
        let process = platform.start()?;
        process.ready()?;
        let addr = platform.held_addr().ok_or(io::ErrorKind::AddrNotAvailable)?;
        let first = me as u64 * script.clients;
        let load = Load::start(addr, first..first + script.clients, script.wait_ms);
        Ok(Proxy { platform, process: Some(process), links, _discovery: discovery, load, killed: false })
    }

    fn carry_out(&mut self, act: Act) -> io::Result<()> {
        match act {
            Act::Kill => {
                self.killed = true;
                // Its end kills it.
                self.process = None;
            }
            Act::Stop => self.process.iter().try_for_each(|p| p.signal("STOP"))?,
            Act::Continue => self.process.iter().try_for_each(|p| p.signal("CONT"))?,
            Act::Start => self.begin()?,
            Act::Restart => {
                if let Some(mut process) = self.process.take() {
                    process.signal("TERM")?;
                    let status = process.exits(ENDS)?;
                    if !status.is_some_and(|s| s.success()) {
                        return Err(io::Error::other(format!("a process told to end did not: {status:?}")));
                    }
                }
                self.begin()?;
            }
        }
        Ok(())
    }

    fn begin(&mut self) -> io::Result<()> {
        let process = self.platform.start()?;
        process.ready()?;
        self.process = Some(process);
        Ok(())
    }
}

#[cfg(test)]
mod tests;
