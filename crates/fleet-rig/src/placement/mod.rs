//! A fleet with placement on: real processes in several groups, a link between each pair, broken by faults that a seed draws.
//! docs/fleet-rig.md tells what is checked.

pub mod account;
pub mod checks;
pub mod connections;
pub mod fault;
pub mod fleet;
pub mod hops;
pub mod leaving;
pub mod report;
pub mod roster;

use std::io;
use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::sync::{Arc, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use gradeshunt_stand_ins::engine::Cold;
use serde_json::json;

use crate::link::State;
use crate::load::{Books, Front, Load, Stream};
use connections::Sampler;
use fault::{Difference, Fault};
use fleet::{Fleet, Host, Options, COLD};
use hops::Hop;
use leaving::Leaving;
use report::Report;
use roster::Variant;

/// Requests a second of each proxy's clients.
const RATE: f64 = 20.0;
/// Answers that are waited for behind each change, for each proxy.
const ANSWERS: f64 = 15.0;
/// Times the wait of a client that a fault of a process or a link stays, by what is answered meanwhile: a silent home is
/// noticed after half a wait.
const WAITS: f64 = 1.2;
/// The front layer goes on sending to a proxy for so long after it has died.
const FRONT: Duration = Duration::from_millis(700);
/// No state is waited for longer: a fleet that does not get there is a fault, not a slow machine.
const STANDS: Duration = Duration::from_secs(120);
/// Each class's share of the requests, and what it is.
const CLASSES: [(&str, f64, bool, bool); 4] = [
    ("page-read", 0.5, false, false),
    ("own-read", 0.2, false, true),
    ("tally-write", 0.15, true, false),
    ("plain-write", 0.15, true, false),
];

/// A time in which a proxy's clients may not be answered, since the load began.
#[derive(Clone, Copy, Debug)]
pub struct Outage {
    pub address: SocketAddr,
    pub from: Duration,
    pub to: Duration,
}

/// Plays the faults that the seed draws.
///
/// # Errors
/// Where the fleet can't be started, or stands still.
pub fn play(options: &Options) -> io::Result<Report> {
    let mut play = Play::start(options)?;
    let plan = fault::plan(&play.fleet, options.seed);
    play.advance(ANSWERS)?;
    for step in &plan {
        for fault in step {
            play.begin(fault)?;
        }
        let waits = step.iter().any(Fault::delays_requests);
        play.advance(if waits { RATE * WAITS * options.wait.as_secs_f64() } else { ANSWERS })?;
        play.notice(step);
        for fault in step {
            play.mend(fault)?;
        }
        play.advance(ANSWERS)?;
    }
    Ok(play.end(options))
}

/// A fleet under load.
struct Play {
    fleet: Fleet,
    /// By group.
    fronts: Vec<Front>,
    loads: Vec<Load>,
    leaving: Vec<Leaving>,
    books: Books,
    sampler: Sampler,
    drains_at_once: bool,
    /// Faults because of which some proxy has found a home unavailable.
    unavailable: usize,
    outages: Vec<Outage>,
    /// What happened when, since the load began.
    marks: Vec<(Duration, String)>,
    /// Whom a proxy's clients no longer reach.
    absent: Vec<usize>,
    /// Where an outage has begun, and when.
    out: Vec<(SocketAddr, Duration)>,
}

impl Play {
    fn start(options: &Options) -> io::Result<Play> {
        let fleet = Fleet::start(options)?;
        let sampler = Sampler::start(fleet.ports());
        let mut books = Books::new(options.wait);
        books.patience = books.patience.max(options.slack);
        let fronts: Vec<Front> = fleet.groups.iter().map(|_| Front::default()).collect();
        let mut play = Play {
            fleet,
            fronts,
            loads: Vec::new(),
            leaving: Vec::new(),
            books,
            sampler,
            drains_at_once: options.drains_at_once,
            unavailable: 0,
            outages: Vec::new(),
            marks: Vec::new(),
            absent: Vec::new(),
            out: Vec::new(),
        };
        play.set_fronts();
        for (group, front) in play.fronts.iter().enumerate() {
            let streams = streams(&play.fleet, group);
            let seed = options.seed * 31 + group as u64;
            let (front, leaving) = (Arc::clone(front), Arc::clone(front));
            play.loads.push(Load::start(group, streams, options.wait, front, &play.books, seed));
            play.leaving.push(Leaving::start(group, play.fleet.shape.sets(), leaving));
        }
        Ok(play)
    }

    fn set_fronts(&self) {
        for (front, group) in self.fronts.iter().zip(&self.fleet.groups) {
            let present = group.iter().filter(|proxy| !self.absent.contains(proxy));
            let addresses = present.map(|proxy| self.fleet.proxies[*proxy].address).collect();
            *front.lock().unwrap_or_else(PoisonError::into_inner) = addresses;
        }
    }

    /// Waits until so many more requests are answered for each proxy, over all of them.
    fn advance(&self, answers_per_proxy: f64) -> io::Result<()> {
        let answered = || self.books.answered.load(Ordering::Relaxed);
        let until = answered() + (answers_per_proxy * self.fleet.shape.processes as f64) as u64;
        let since = Instant::now();
        while answered() < until {
            if since.elapsed() > STANDS {
                let why = format!("the fleet stands still at {} of {until} answers", answered());
                return Err(io::Error::other(why));
            }
            thread::sleep(Duration::from_millis(2));
        }
        Ok(())
    }

    fn mark(&mut self, what: String) {
        self.marks.push((self.books.began.elapsed(), what));
    }

    fn begin(&mut self, fault: &Fault) -> io::Result<()> {
        self.mark(format!("begin {fault:?}"));
        match fault {
            Fault::Kill { proxy } => {
                self.lose(*proxy);
                self.fleet.kill(*proxy);
                self.turn_away(*proxy);
            }
            Fault::Stop { proxy } => {
                self.lose(*proxy);
                self.fleet.proxies[*proxy].process.iter().try_for_each(|p| p.signal("STOP"))?;
                self.turn_away(*proxy);
            }
            Fault::LinksToProxy { .. } | Fault::LinksOfPair { .. } | Fault::LinksToSet { .. } => {
                self.set_links(fault, None);
            }
            Fault::Release { wave } => self.fleet.release(wave)?,
            Fault::Rosters { proxies, difference } => {
                let variant = match difference {
                    Difference::Without(proxy) => Variant { without: Some(*proxy), ghost: None },
                    Difference::Ghost => Variant { without: None, ghost: Some(self.fleet.ghost.addr()) },
                };
                proxies.iter().try_for_each(|proxy| self.fleet.change_roster(*proxy, variant))?;
            }
            Fault::Drain { set } => {
                self.tell_draining(*set, "draining");
                if !self.drains_at_once {
                    self.advance(ANSWERS)?;
                }
                self.draining_host(*set).engine.drain(true);
            }
            Fault::Cold { host } => self.set_host_links(*host, State::Cut),
            Fault::Primary { set } => {
                let (_, next) = self.fleet.pair_of(*set);
                self.fleet.site.sets[*set].promote(Some(next));
            }
        }
        Ok(())
    }

    fn mend(&mut self, fault: &Fault) -> io::Result<()> {
        match fault {
            Fault::Kill { proxy } => {
                self.fleet.start_again(*proxy)?;
                self.regain(*proxy);
            }
            Fault::Stop { proxy } => {
                self.fleet.proxies[*proxy].process.iter().try_for_each(|p| p.signal("CONT"))?;
                self.regain(*proxy);
            }
            Fault::LinksToProxy { .. } | Fault::LinksOfPair { .. } | Fault::LinksToSet { .. } => {
                self.set_links(fault, Some(State::Up));
            }
            Fault::Rosters { proxies, .. } => {
                let usual = Variant::default();
                proxies.iter().try_for_each(|proxy| self.fleet.change_roster(*proxy, usual))?;
            }
            Fault::Drain { set } => {
                self.draining_host(*set).engine.drain(false);
                self.tell_draining(*set, "ready");
            }
            Fault::Cold { host } => {
                let cold = Cold { since: Instant::now(), share: COLD.0, lasts: COLD.1 };
                self.fleet.hosts[*host].engine.start_cold(cold);
                self.set_host_links(*host, State::Up);
            }
            Fault::Release { .. } | Fault::Primary { .. } => {}
        }
        self.mark(format!("mended {fault:?}"));
        Ok(())
    }

    /// A proxy's clients may not be answered from now on.
    fn lose(&mut self, proxy: usize) {
        self.out.push((self.fleet.proxies[proxy].address, self.books.began.elapsed()));
    }

    /// The front layer has noticed that a proxy is lost.
    fn turn_away(&mut self, proxy: usize) {
        thread::sleep(FRONT);
        self.absent.push(proxy);
        self.set_fronts();
    }

    /// A proxy serves its clients again.
    fn regain(&mut self, proxy: usize) {
        let (lost, to) = (self.fleet.proxies[proxy].address, self.books.began.elapsed());
        let over = self.out.iter().filter(|(address, _)| *address == lost);
        self.outages.extend(over.map(|(address, from)| Outage { address: *address, from: *from, to }));
        self.out.retain(|(address, _)| *address != lost);
        self.absent.retain(|absent| *absent != proxy);
        self.set_fronts();
    }

    /// Puts the links of a fault into its state, or into this one.
    fn set_links(&self, fault: &Fault, to: Option<State>) {
        let fleet = &self.fleet;
        match fault {
            Fault::LinksToProxy { proxy, state } => {
                let links = fleet.peer_links.iter().filter(|(hop, _)| hop.to == *proxy);
                links.for_each(|(_, link)| link.set(to.unwrap_or(*state)));
            }
            Fault::LinksOfPair { pair: (first, second), state } => {
                let ways = [Hop { from: *first, to: *second }, Hop { from: *second, to: *first }];
                let links = ways.iter().filter_map(|hop| fleet.peer_links.get(hop));
                links.for_each(|link| link.set(to.unwrap_or(*state)));
            }
            Fault::LinksToSet { proxy, set, state } => {
                let links = &fleet.proxies[*proxy].links[fleet.hosts_of(*set)];
                links.iter().for_each(|link| link.set(to.unwrap_or(*state)));
            }
            _ => {}
        }
    }

    fn set_host_links(&self, host: usize, state: State) {
        self.fleet.proxies.iter().for_each(|proxy| proxy.links[host].set(state));
    }

    fn draining_host(&self, set: usize) -> &Host {
        let (_, second) = self.fleet.pair_of(set);
        &self.fleet.hosts[self.fleet.hosts_of(set).start + second]
    }

    /// Discovery tells all proxies of a set's second db host.
    fn tell_draining(&self, set: usize, lifecycle: &str) {
        let id = self.draining_host(set).id();
        for proxy in &self.fleet.proxies {
            proxy.discovery.change(&id, "lifecycle", json!(lifecycle));
        }
    }

    /// Counts the faults because of which some proxy finds a home unavailable.
    fn notice(&mut self, step: &[Fault]) {
        for proxy in step.iter().filter_map(Fault::lost_home) {
            let line = format!("proxy {} unavailable\n", roster::name(proxy));
            let neighbours = self.fleet.neighbours(proxy);
            // One that is stopped answers no operator either.
            let running = neighbours.iter().filter(|other| !self.absent.contains(other));
            let processes = running.filter_map(|other| self.fleet.proxies[*other].process.as_ref());
            let mut shown = processes.filter_map(|process| process.call("GET", "/placement").ok());
            self.unavailable += usize::from(shown.any(|(_, body)| body.contains(&line)));
        }
    }

    /// Ends the load, and tells what came of it.
    fn end(mut self, options: &Options) -> Report {
        self.leaving.into_iter().for_each(Leaving::end);
        self.loads.into_iter().for_each(Load::end);
        let most = self.sampler.end();
        let account = self.fleet.account();
        let done = self.books.done.lock().unwrap_or_else(PoisonError::into_inner).clone();
        let faults = checks::faults(&checks::Evidence {
            fleet: &self.fleet,
            checker: &self.books.checker,
            resent: &self.books.resent.lock().unwrap_or_else(PoisonError::into_inner),
            done: &done,
            outages: &self.outages,
            most,
            options,
        });
        let hops = self.fleet.hops.clone();
        Report {
            options: report::Played::of(options),
            done,
            hops,
            most,
            account,
            unavailable: self.unavailable,
            marks: self.marks,
            faults,
        }
    }
}

/// Requests of a group's clients: each set gets as many of each class.
fn streams(fleet: &Fleet, group: usize) -> Vec<Stream> {
    let sets = fleet.shape.sets();
    let rate = RATE * fleet.groups[group].len() as f64 / sets as f64;
    let stream = |set: usize, of: usize| {
        let (class, share, write, own) = CLASSES[of];
        Stream { class: class.to_owned(), cluster: set as u64 + 1, write, own, of, rate: rate * share }
    };
    (0..sets).flat_map(|set| (0..CLASSES.len()).map(move |of| stream(set, of))).collect()
}

/// Whether requests of a class are writes, by its place.
fn is_write(class: usize) -> bool {
    CLASSES.get(class).is_some_and(|class| class.2)
}
