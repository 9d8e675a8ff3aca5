//! Discovery and hollow proxies, set up for a measurement.

use std::io;
use std::ops::Range;
use std::path::Path;
use std::time::{Duration, Instant};

use gradeshunt_stand_ins::watches::{First, Watches};
use serde_json::{json, Value};

use super::account::{thread_cpu, SETTLED};
use crate::capacity::hollow::fleet::{entries, entry, Fleet};
use crate::capacity::hollow::{Crowd, Heard};
use crate::capacity::Count;

/// What does not happen within this time has gone wrong; nothing is measured by it.
pub const GUARD: Duration = Duration::from_secs(120);

/// Processor time that discovery's thread and the hollow proxies' have taken.
#[derive(Clone, Copy)]
pub struct Cpu {
    pub discovery: Duration,
    pub proxies: Duration,
}

/// The bench.
pub struct Bench {
    pub discovery: Watches,
    pub crowd: Crowd,
    pub fleet: Fleet,
    pub hosts: usize,
    /// Changes of the list so far.
    pub changes: u64,
}

impl Bench {
    /// Discovery with so many db hosts, and no proxy yet of a fleet of so many.
    pub fn open(folder: &Path, hosts: usize, proxies: usize, first: First) -> io::Result<Bench> {
        let fleet = Fleet::new(folder, proxies)?;
        let discovery = Watches::open(entries(hosts), first)?;
        Ok(Bench { discovery, crowd: Crowd::open()?, fleet, hosts, changes: 0 })
    }

    /// Starts proxies that hold this list, or ends those that run and starts them anew. Returns before they have begun.
    pub fn start(&self, proxies: Range<usize>, known: &Value) -> io::Result<()> {
        for proxy in proxies {
            let file = self.fleet.write(proxy, self.discovery.addr(), known)?;
            self.crowd.start(proxy, &file);
        }
        Ok(())
    }

    /// Waits until every proxy of the fleet has heard so much.
    pub fn until(&self, what: &str, so: impl Fn(&Heard) -> bool) -> io::Result<()> {
        self.until_all(what, |heard| heard.len() == self.fleet.proxies() && heard.iter().all(&so))
    }

    /// Waits until what all proxies have heard is so.
    pub fn until_all(&self, what: &str, so: impl Fn(&[Heard]) -> bool) -> io::Result<()> {
        let failed = |heard: &[Heard]| heard.iter().find_map(|h| h.failed.clone());
        let waited = self.crowd.wait(GUARD, |heard| failed(heard).is_some() || so(heard));
        match failed(&self.crowd.heard()) {
            Some(why) => Err(io::Error::other(format!("{what}: {why}"))),
            None if waited => Ok(()),
            None => Err(io::Error::new(io::ErrorKind::TimedOut, format!("{what} did not come"))),
        }
    }

    /// Changes one db host's entry, and waits until that is in force at every proxy: the time until it was at the last.
    pub fn change(&mut self) -> io::Result<Duration> {
        let due = self.crowd.heard().first().map_or(0, |h| h.changes) + 1;
        let began = self.make_change();
        self.until("a change", |h| h.changes >= due)?;
        let last = self.crowd.heard().iter().filter_map(|h| h.at).max();
        Ok(last.map_or(Duration::ZERO, |at| at.saturating_duration_since(began)))
    }

    /// Changes one db host's entry, and waits for nobody; the moment at which it did.
    pub fn make_change(&mut self) -> Instant {
        self.changes += 1;
        let host = self.changes as usize % self.hosts;
        let weight = if (self.changes as usize / self.hosts).is_multiple_of(2) { 0.5 } else { 1.0 };
        let entry = entry(host, weight);
        let began = Instant::now();
        self.discovery.change(vec![entry]);
        began
    }

    /// The list as it was at the start, as a proxy holds it.
    pub fn first_list(&self) -> Value {
        json!({"generation": 1, "reset": true, "instances": entries(self.hosts)})
    }

    /// Bytes of that list as a chunk of a watch.
    pub fn first_list_bytes(&self) -> u64 {
        let line = self.first_list().to_string().len() + "\n".len();
        (format!("{line:x}").len() + "\r\n".len() + line + "\r\n".len()) as u64
    }

    /// The account of processor time, once nothing is under way.
    pub fn cpu(&self) -> io::Result<Cpu> {
        std::thread::sleep(SETTLED);
        let discovery = thread_cpu(self.discovery.thread_id())?;
        Ok(Cpu { discovery, proxies: thread_cpu(self.crowd.thread_id())? })
    }

    /// A check that the decision modules asked for nothing that is left out.
    pub fn nothing_unanswered(&self, of: &str) -> Count {
        let found = self.crowd.heard().iter().map(|h| h.unanswered).sum();
        exactly(format!("{of}: asked of db hosts and clients that are left out"), 0, found)
    }
}

impl Cpu {
    /// What has been added since an earlier account.
    pub fn since(self, earlier: Cpu) -> Cpu {
        let discovery = self.discovery.saturating_sub(earlier.discovery);
        Cpu { discovery, proxies: self.proxies.saturating_sub(earlier.proxies) }
    }
}

/// A check on a count that must be exactly so.
pub fn exactly(what: String, expected: u64, found: u64) -> Count {
    Count { what, expected: expected..=expected, found }
}
