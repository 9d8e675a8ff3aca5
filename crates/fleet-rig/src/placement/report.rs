//! What a play came to, as a line of a table.

use std::fmt::{self, Display};
use std::time::Duration;

use gradeshunt_stand_ins::checker::Outcome;
use serde_json::{json, Value};

use super::account::Account;
use super::connections::Most;
use super::fleet::Options;
use super::hops::Hops;
use super::is_write;
use crate::load::{request_id, Done};

/// What was played.
#[derive(Clone, Copy, Debug)]
pub struct Played {
    pub seed: u64,
    pub processes: usize,
    pub groups: usize,
    pub placement: bool,
}

impl Played {
    pub fn of(options: &Options) -> Played {
        let (seed, placement) = (options.seed, options.placement);
        let (processes, groups) = (options.shape.processes, options.shape.groups);
        Played { seed, processes, groups, placement }
    }
}

/// What came of a play.
pub struct Report {
    pub options: Played,
    pub done: Vec<Done>,
    pub hops: Hops,
    pub most: Most,
    /// Of all processes.
    pub account: Account,
    /// Faults because of which some proxy has found a home unavailable.
    pub unavailable: usize,
    /// What happened when, since the load began.
    pub marks: Vec<(Duration, String)>,
    /// What may not be.
    pub faults: Vec<String>,
}

impl Report {
    /// The share of requests with this outcome.
    pub fn share(&self, outcome: Outcome) -> f64 {
        let count = self.done.iter().filter(|done| done.outcome == outcome).count();
        count as f64 / self.done.len().max(1) as f64
    }

    /// Processor time of all proxies for a request, their work without clients included.
    pub fn cpu_per_request(&self) -> Duration {
        self.account.cpu.div_f64(self.done.len().max(1) as f64)
    }

    /// The median time of requests that were served at the first try, over another proxy or not.
    pub fn median(&self, hop: bool) -> Option<Duration> {
        let once = self.done.iter().filter(|done| done.outcome == Outcome::Served && done.tries == 1);
        let over = |done: &Done| {
            self.hops.has(&request_id(is_write(done.class), done.site, done.number, done.tries - 1))
        };
        let mut times: Vec<_> = once.filter(|done| over(done) == hop).map(|done| done.took).collect();
        times.sort_unstable();
        times.get(times.len() / 2).copied()
    }

    /// What a hop adds to the median time; nothing is told where it adds less than nothing.
    pub fn added_by_hop(&self) -> Option<Duration> {
        self.median(true)?.checked_sub(self.median(false)?)
    }

    /// The head of a table of reports.
    pub fn head() -> String {
        format!(
            "{:>4} {:<9} {:>7} {:>8} {:>8} {:>7} {:>8} {:>8} {:>8} {:>9} {:>8} {:>8} {:>9} {:>7}",
            "seed",
            "placement",
            "asked",
            "served",
            "refused",
            "failed",
            "no hop",
            "hop",
            "added",
            "CPU/req",
            "at host",
            "proxies",
            "at proxy",
            "faults"
        )
    }

    /// Figures for a program that compares plays.
    pub fn json(&self) -> Value {
        let milliseconds = |time: Option<Duration>| time.map(|time| time.as_secs_f64() * 1e3);
        let Played { seed, processes, groups, placement } = self.options;
        let Account { home, sent_on, taken, direct, refused, .. } = self.account;
        json!({"seed": seed, "processes": processes, "groups": groups, "placement": placement,
            "asked": self.done.len(), "served": self.share(Outcome::Served),
            "refused": self.share(Outcome::Refused), "failed": self.share(Outcome::Failed),
            "median_no_hop_ms": milliseconds(self.median(false)), "median_hop_ms": milliseconds(self.median(true)), "added_by_hop_ms": milliseconds(self.added_by_hop()),
            "cpu_us": self.cpu_per_request().as_secs_f64() * 1e6, "at_host": self.most.at_host,
            "proxies_at_host": self.most.proxies_at_host, "at_proxy": self.most.at_proxy,
            "samples": self.most.samples, "hops": self.hops.len(), "unavailable": self.unavailable, "home": home, "sent_on": sent_on,
            "taken": taken, "direct": direct, "refused_by_placement": refused, "faults": self.faults})
    }
}

impl Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        let time = |time: Option<Duration>| {
            time.map_or("-".to_owned(), |time| format!("{:.1} ms", time.as_secs_f64() * 1e3))
        };
        writeln!(
            f,
            "{:>4} {:<9} {:>7} {:>8.4} {:>8.4} {:>7.4} {:>8} {:>8} {:>8} {:>6.0} us {:>8} {:>8} {:>9} {:>7}",
            self.options.seed,
            if self.options.placement { "on" } else { "off" },
            self.done.len(),
            self.share(Outcome::Served),
            self.share(Outcome::Refused),
            self.share(Outcome::Failed),
            time(self.median(false)),
            time(self.median(true)),
            time(self.added_by_hop()),
            self.cpu_per_request().as_secs_f64() * 1e6,
            self.most.at_host,
            self.most.proxies_at_host,
            self.most.at_proxy,
            self.faults.len()
        )?;
        self.faults.iter().try_for_each(|fault| writeln!(f, "FAULT seed {}: {fault}", self.options.seed))
    }
}
