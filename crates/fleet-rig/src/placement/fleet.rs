//! The fleet: proxies with a link to each db host and to each other proxy, and what operators do to their processes.

use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::atomic::{AtomicU16, Ordering};
use std::sync::Arc;
use std::time::Duration;

use gradeshunt_placement::Fleet as PlacementFleet;
use gradeshunt_stand_ins::discovery::Discovery;
use gradeshunt_stand_ins::engine::{Engine, Kind};
use gradeshunt_stand_ins::program::{Platform, Process};
use gradeshunt_stand_ins::set::Role;
use gradeshunt_stand_ins::site::{entry, Plan, Site};
use serde_json::{json, Value};

use super::account;
use super::connections::Ends;
use super::hops::{Hop, Hops};
use super::roster::{self, Shape, Variant};
use crate::link::{Link, State};
use crate::region::FALL;

/// Db hosts of each set: the first is its primary, the second may become it, the third lags too much for bounded reads.
pub const HOSTS_PER_SET: usize = 3;
/// Behind the primary is the third host of each set.
const LAG: Duration = Duration::from_secs(1);
/// What the class `page-read` allows.
const LAG_ALLOWED: Duration = Duration::from_millis(200);
/// Requests that a db host works on at a time, and how long each takes.
const SLOTS: usize = 4;
const WORK: Duration = Duration::from_millis(3);
/// How long a db host is cold, and what it bears at first.
pub const COLD: (f64, Duration) = (0.25, Duration::from_secs(4));
/// A connection that nothing uses is closed by db hosts after this time.
const IDLE: Duration = Duration::from_secs(10);
/// How long a process may take to end.
const ENDS: Duration = Duration::from_secs(60);
/// The first port of the addresses for proxies, and so many for each play of this process.
const FIRST_PORT: u16 = 20_000;
const PORTS_PER_PLAY: u16 = 256;

/// A db host.
pub struct Host {
    /// From 0 on.
    pub set: usize,
    /// Its number in the set.
    pub number: usize,
    pub engine: Arc<Engine>,
}

impl Host {
    /// Its name in discovery.
    pub fn id(&self) -> String {
        Site::id(self.set + 1, self.number)
    }
}

/// One proxy; its processes come and go, its clients' socket stays.
pub struct Proxy {
    platform: Platform,
    pub process: Option<Process>,
    /// Where clients connect.
    pub address: SocketAddr,
    /// Where it listens for other proxies.
    peer_address: SocketAddr,
    /// To each db host, in the fleet's order.
    pub links: Vec<Link>,
    pub discovery: Discovery,
    /// What its former processes have used and counted.
    pub spent: account::Account,
}

/// How a fleet is built.
pub struct Options<'a> {
    pub program: &'a Path,
    pub folder: &'a Path,
    pub seed: u64,
    pub shape: Shape,
    /// Whether proxies get the operators' file on placement.
    pub placement: bool,
    /// How long clients wait.
    pub wait: Duration,
    /// What settings, connections and a busy machine may add to a wait.
    pub slack: Duration,
    /// Whether a drain counts from the moment at which it is told; else from some answers later, however long they take.
    pub drains_at_once: bool,
}

/// All of it.
pub struct Fleet {
    pub shape: Shape,
    pub site: Site,
    pub hosts: Vec<Host>,
    pub proxies: Vec<Proxy>,
    /// Between proxies, by who connects to whom.
    pub peer_links: BTreeMap<Hop, Link>,
    /// A proxy that never answers.
    pub ghost: Link,
    pub hops: Hops,
    /// The proxies of each group, by the file that all have at first.
    pub groups: Vec<Vec<usize>>,
    placement: bool,
}

impl Fleet {
    /// Starts all of it, and waits until each proxy serves.
    ///
    /// # Errors
    /// Where something can't be started.
    pub fn start(options: &Options) -> io::Result<Fleet> {
        let shape = options.shape;
        let wait = options.wait.as_millis() as f64;
        let plan = Plan {
            sets: vec![HOSTS_PER_SET; shape.sets()],
            deadline: wait,
            aim: wait / 4.0,
            sockets: 4096,
            ..Plan::default()
        };
        let site = Site::open(plan)?;
        let hosts = open_hosts(&site);
        let addresses = peer_addresses(shape.processes);
        let hops = Hops::default();
        let peer_links = open_peer_links(&addresses, &hops)?;
        let ghost = Link::open(site.hosts[0][0].addr())?;
        ghost.set(State::Silent);
        let mut fleet = Fleet {
            shape,
            site,
            hosts,
            proxies: Vec::new(),
            peer_links,
            ghost,
            hops,
            groups: Vec::new(),
            placement: options.placement,
        };
        fleet.groups = fleet.read_groups(addresses[0])?;
        for (own, address) in addresses.into_iter().enumerate() {
            let proxy = fleet.start_proxy(own, address, options)?;
            fleet.proxies.push(proxy);
        }
        fleet.proxies.iter().flat_map(|p| &p.process).try_for_each(Process::ready)?;
        Ok(fleet)
    }

    /// The groups of the file that all proxies have at first.
    fn read_groups(&self, address: SocketAddr) -> io::Result<Vec<Vec<usize>>> {
        let text = roster::text(self.shape, 0, address, &self.peer_links, Variant::default());
        let parsed = PlacementFleet::parse("the rig's file", &text).map_err(io::Error::other)?;
        let numbers: BTreeMap<_, _> = (0..self.shape.processes).map(|n| (roster::name(n), n)).collect();
        let members = |group: &gradeshunt_placement::Group| {
            group.proxies.iter().filter_map(|proxy| numbers.get(&proxy.name).copied()).collect()
        };
        Ok(parsed.groups().iter().map(members).collect())
    }

    fn start_proxy(&self, own: usize, peer_address: SocketAddr, options: &Options) -> io::Result<Proxy> {
        let (mut links, mut entries) = (Vec::new(), Vec::new());
        for host in &self.hosts {
            let link = Link::open(self.site.hosts[host.set][host.number].addr())?;
            let primary = host.number == 0;
            entries.push(entry(&host.id(), &link.addr().to_string(), host.set + 1, primary));
            links.push(link);
        }
        let discovery = Discovery::open(entries)?;
        let platform = Platform::new(options.program, &options.folder.join(roster::name(own)), true)?;
        let mut config = self.site.config();
        config["name"] = json!(roster::name(own));
        config["seed"] = json!(format!("{:x}", options.seed * 1000 + own as u64));
        config["discovery"] = json!(discovery.addr().to_string());
        config["known"] = discovery.whole();
        adapt_settings(&mut config["settings"], own, self.shape.processes);
        if self.placement {
            config["placement"] = json!(platform.folder.join(ROSTER));
        }
        platform.configure(&config)?;
        let address = platform.held_addr().ok_or(io::ErrorKind::AddrNotAvailable)?;
        let spent = account::Account::default();
        let mut proxy = Proxy { platform, process: None, address, peer_address, links, discovery, spent };
        self.write_roster(own, &proxy, Variant::default())?;
        proxy.process = Some(proxy.platform.start()?);
        Ok(proxy)
    }

    fn write_roster(&self, own: usize, proxy: &Proxy, variant: Variant) -> io::Result<()> {
        let text = roster::text(self.shape, own, proxy.peer_address, &self.peer_links, variant);
        std::fs::write(proxy.platform.folder.join(ROSTER), text)
    }

    /// Gives a proxy another file on placement, which its process reads at once.
    ///
    /// # Errors
    /// Where it can't be written, or the process can't be told.
    pub fn change_roster(&self, own: usize, variant: Variant) -> io::Result<()> {
        let proxy = &self.proxies[own];
        self.write_roster(own, proxy, variant)?;
        proxy.process.iter().filter(|_| self.placement).try_for_each(|process| process.signal("HUP"))
    }

    /// Kills a proxy's process. What it has counted is read before.
    pub fn kill(&mut self, proxy: usize) {
        let proxy = &mut self.proxies[proxy];
        proxy.settle();
        // Its end kills it.
        proxy.process = None;
    }

    /// Starts a proxy that has no process, and waits until it serves.
    ///
    /// # Errors
    /// Where it does not start.
    pub fn start_again(&mut self, proxy: usize) -> io::Result<()> {
        let proxy = &mut self.proxies[proxy];
        let process = proxy.platform.start()?;
        process.ready()?;
        proxy.process = Some(process);
        Ok(())
    }

    /// Upgrades these proxies at once: beside each process its successor starts, and when all say that they serve the former
    /// ones are told to end.
    ///
    /// # Errors
    /// Where one does not end well, or does not start.
    pub fn release(&mut self, wave: &[usize]) -> io::Result<()> {
        let mut former = Vec::new();
        for proxy in wave {
            self.proxies[*proxy].settle();
            former.extend(self.proxies[*proxy].process.take());
            self.start_again(*proxy)?;
        }
        former.iter().try_for_each(|process| process.signal("TERM"))?;
        for mut process in former {
            let status = process.exits(ENDS)?;
            if status.is_none_or(|status| !status.success()) {
                return Err(io::Error::other(format!("a process told to end did not: {status:?}")));
            }
        }
        Ok(())
    }

    /// Whose connections each link's are, by the link's port.
    pub fn ports(&self) -> BTreeMap<u16, Ends> {
        let mut ports = BTreeMap::new();
        for (proxy, links) in self.proxies.iter().map(|p| &p.links).enumerate() {
            for (host, link) in links.iter().enumerate() {
                ports.insert(link.addr().port(), Ends::ToHost { proxy, host });
            }
        }
        for (Hop { from, to }, link) in &self.peer_links {
            ports.insert(link.addr().port(), Ends::Between { from: *from, to: *to });
        }
        ports
    }

    /// What all processes have used and counted up to now.
    pub fn account(&mut self) -> account::Account {
        self.proxies.iter_mut().for_each(Proxy::settle);
        let mut sum = account::Account::default();
        self.proxies.iter().for_each(|proxy| sum.add(&proxy.spent));
        sum
    }

    /// The db hosts of a set, as places in the fleet's order.
    pub fn hosts_of(&self, set: usize) -> std::ops::Range<usize> {
        set * HOSTS_PER_SET..(set + 1) * HOSTS_PER_SET
    }

    /// The first two db hosts of a set: its primary, and the one that takes over from it.
    pub fn pair_of(&self, set: usize) -> (usize, usize) {
        let primary = usize::from(self.site.sets[set].role(0) != Role::Primary);
        (primary, 1 - primary)
    }

    /// Proxies of the group of this one, without it.
    pub fn neighbours(&self, proxy: usize) -> BTreeSet<usize> {
        let group = self.groups.iter().find(|group| group.contains(&proxy));
        group.into_iter().flatten().copied().filter(|other| *other != proxy).collect()
    }
}

/// The file on placement in a proxy's folder.
const ROSTER: &str = "placement.textproto";

impl Proxy {
    /// Adds what its process has used and counted; to be called once, when it ends.
    fn settle(&mut self) {
        if let Some(process) = &self.process {
            self.spent.add(&account::Account::of(process));
        }
    }
}

fn open_hosts(site: &Site) -> Vec<Host> {
    let mut hosts = Vec::new();
    for (set, members) in site.hosts.iter().enumerate() {
        for (number, member) in members.iter().enumerate() {
            let engine = Arc::new(Engine::new(SLOTS, kinds()));
            member.bears(&engine);
            hosts.push(Host { set, number, engine });
        }
        site.sets[set].set_lag(HOSTS_PER_SET - 1, LAG);
    }
    hosts
}

fn kinds() -> BTreeMap<String, Kind> {
    let bound = |class: &str| (class == "page-read").then_some(LAG_ALLOWED);
    let classes = ["page-read", "own-read", "tally-write", "plain-write"];
    classes.map(|class| (class.to_owned(), Kind { work: WORK, bound: bound(class) })).into()
}

fn adapt_settings(settings: &mut Value, own: usize, processes: usize) {
    (settings["fleetSize"], settings["me"]) = (json!(processes), json!(own));
    settings["allowed"]["connIdle"] = json!(IDLE.as_millis() as f64);
    // Roles change: what the list says of them is not relied on.
    settings["familyInfo"]["whenBehind"] = json!("silent");
    settings["familyInfo"]["roleListed"] = json!("silent");
    settings["rules"]["cold"] = json!(COLD.1.as_millis() as f64);
    settings["rules"]["coldShare"] = json!(COLD.0);
    settings["rules"]["fallMultiple"] = json!(FALL.0);
    settings["rules"]["fall"] = json!(FALL.1.as_millis() as f64);
}

/// Addresses at which proxies listen for each other. They are known before the processes run, so they are at a loopback address
/// of this process alone, where the system gives nobody a port.
fn peer_addresses(processes: usize) -> Vec<SocketAddr> {
    static PLAYS: AtomicU16 = AtomicU16::new(0);
    let play = PLAYS.fetch_add(1, Ordering::Relaxed) % 128;
    let [_, high, middle, low] = std::process::id().to_be_bytes();
    let address = [127, 64 + high % 64, middle, low];
    let first = FIRST_PORT + play * PORTS_PER_PLAY;
    (first..).take(processes).map(|port| (address, port).into()).collect()
}

fn open_peer_links(addresses: &[SocketAddr], hops: &Hops) -> io::Result<BTreeMap<Hop, Link>> {
    let mut links = BTreeMap::new();
    for from in 0..addresses.len() {
        for (to, address) in addresses.iter().enumerate().filter(|(to, _)| *to != from) {
            let hop = Hop { from, to };
            links.insert(hop, Link::open_tapped(*address, Some(hops.tap(hop)))?);
        }
    }
    Ok(links)
}
