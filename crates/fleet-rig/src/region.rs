//! A region of sites: a fleet built as the operators' file on sites has it, broken by a script over sites.

use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::{Arc, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use gradeshunt_sites::layout::{Class, Demand, Layout, SiteId};
use gradeshunt_stand_ins::checker::Outcome;
use gradeshunt_stand_ins::discovery::Discovery;
use gradeshunt_stand_ins::engine::{Cold, Engine, Kind};
use gradeshunt_stand_ins::program::{Platform, Process};
use gradeshunt_stand_ins::set::Role;
use gradeshunt_stand_ins::site::{entry, Plan, Site};
use rand::rngs::StdRng;
use rand::seq::SliceRandom;
use rand::SeedableRng;
use serde_json::{json, Value};

use crate::event::{Event, Region as Script, What, Which};
use crate::link::{Link, State};
use crate::load::{Books, Front, Load, Stream};
use crate::outcome::Report;

/// What clients wait, and within what an answer has its worth.
pub const WAIT: Duration = Duration::from_millis(2000);
pub const AIM: Duration = Duration::from_millis(500);
/// A set without a primary has another one after this time, where a site is left for it.
const ELECTS: Duration = Duration::from_millis(500);
/// The front layer goes on sending to a site's proxies for so long after they have died.
const FRONT: Duration = Duration::from_millis(700);
/// No state is waited for longer: a fleet that does not get there is a fault, not a slow machine.
const STANDS: Duration = Duration::from_secs(120);
const ENDS: Duration = Duration::from_secs(60);
/// Rule 4 of the settings: a cold host falls when it is sent more than so many times what it bears for so long.
pub const FALL: (f64, Duration) = (4.0, Duration::from_millis(1500));

/// A db host of the region.
struct Host {
    set: usize,
    number: usize,
    site: SiteId,
    engine: Arc<Engine>,
}

struct Proxy {
    site: SiteId,
    platform: Platform,
    process: Option<Process>,
    addr: SocketAddr,
    /// One for each db host, in the region's order.
    links: Vec<Link>,
    discovery: Discovery,
    listing: Link,
}

/// How it is played.
pub struct Options<'a> {
    pub program: &'a Path,
    pub folder: &'a Path,
    pub seed: u64,
    /// Whether proxies get the operators' file.
    pub planned: bool,
    /// More for the proxies' environment.
    pub environment: Vec<(String, String)>,
}

impl<'a> Options<'a> {
    /// With the operators' file.
    pub fn of(program: &'a Path, folder: &'a Path, seed: u64) -> Options<'a> {
        Options { program, folder, seed, planned: true, environment: Vec::new() }
    }
}

/// Plays a script.
///
/// # Errors
/// Where the fleet can't be started, or stands still.
pub fn play(script: &Script, text: &str, options: &Options) -> io::Result<Report> {
    let layout = Layout::parse(text).map_err(io::Error::other)?;
    let mut region = Region::start(script, layout, text, options)?;
    let since = region.books.began;
    let told = region.run(script);
    let marks = std::mem::take(&mut region.marks);
    // What the script has left broken stays so; clients' requests end all the same.
    std::mem::take(&mut region.loads).into_iter().for_each(Load::end);
    let mut faults: Vec<_> = told.err().map(|e| e.to_string()).into_iter().collect();
    for (n, h) in region.hosts.iter().enumerate() {
        let written = |text: &str| region.fleet.iter().filter_map(|p| p.links[n].written(text)).max();
        // Of each kind the first: what comes behind its colon is the request.
        let of: BTreeMap<_, _> = h
            .engine
            .faults(FALL.0, FALL.1, written)
            .into_iter()
            .rev()
            .map(|f| (f.split(':').next().map(str::to_owned), f))
            .collect();
        faults.extend(of.into_values().map(|f| format!("db host {} of set {}: {f}", h.number, h.set + 1)));
    }
    let writes: BTreeMap<String, u32> = region.site.sets.iter().flat_map(|s| s.writes()).collect();
    faults.extend(region.books.checker.faults(&writes));
    faults.extend(region.lost(&writes));
    let done = region.books.done.lock().unwrap_or_else(PoisonError::into_inner).clone();
    let broken = &region.broken;
    let silent = done.iter().filter(|d| d.outcome.at_the_door() && d.at.is_none_or(|a| !broken.contains(&a)));
    let unreached = silent.clone().filter(|d| d.outcome == Outcome::Unreached).count();
    let silent = silent.count();
    if silent > 0 {
        faults.push(format!(
            "{silent} requests ended without a word at proxies that were never killed, stopped or cut off, {unreached} of them without a connection"
        ));
    }
    let late = done.iter().filter(|d| d.over > LATE && d.at.is_none_or(|a| !broken.contains(&a)));
    let late = late.count();
    if late > 0 {
        faults.push(format!("{late} requests got no final answer in their time and {LATE:?}"));
    }
    let seconds = since.elapsed().as_secs() as usize + 1;
    let asked = region.hosts.iter().map(|h| (h.site, h.engine.asked(since, seconds))).collect();
    Ok(Report { layout: region.layout.clone(), load: script.load, done, marks, faults, asked, seconds })
}

/// What a busy machine may add to a wait before an answer counts as too late.
const LATE: Duration = Duration::from_millis(1000);

struct Region {
    layout: Layout,
    site: Site,
    hosts: Vec<Host>,
    fleet: Vec<Proxy>,
    fronts: Vec<Front>,
    loads: Vec<Load>,
    books: Books,
    marks: Vec<(Duration, String)>,
    /// Sites as the seed draws them.
    drawn: Vec<SiteId>,
    lost: BTreeSet<SiteId>,
    /// Proxies that were killed, stopped or cut off.
    broken: BTreeSet<SocketAddr>,
    cold: (f64, Duration),
    planned: bool,
}

impl Region {
    fn start(script: &Script, layout: Layout, text: &str, options: &Options) -> io::Result<Region> {
        // Db hosts remember no key: a write that is sent twice runs twice, and is found.
        let sets = layout.sets.iter().map(|s| s.members.iter().map(|m| m.hosts as usize).sum());
        let site = Site::open(Plan { sets: sets.collect(), window: Duration::ZERO, ..Plan::default() })?;
        let mut hosts = Vec::new();
        for (set, s) in layout.sets.iter().enumerate() {
            let mut number = 0;
            for m in &s.members {
                for _ in 0..m.hosts {
                    let slots = (m.capacity / f64::from(m.hosts)).round().max(1.0) as usize;
                    let engine = Arc::new(Engine::new(slots, kinds(&layout)));
                    site.hosts[set][number].bears(&engine);
                    site.sets[set].set_lag(number, Duration::from_secs_f64(m.lag_ms / 1000.0));
                    hosts.push(Host { set, number, site: m.site, engine });
                    number += 1;
                }
            }
        }
        let file = options.folder.join("sites.textproto");
        std::fs::create_dir_all(options.folder)?;
        std::fs::write(&file, text)?;
        let places: Vec<_> = layout
            .sites
            .iter()
            .enumerate()
            .flat_map(|(n, s)| (0..s.proxies).map(move |_| SiteId(n)))
            .collect();
        let cold = (script.cold_share, Duration::from_millis(script.cold_ms));
        let mut region = Region {
            drawn: (0..layout.sites.len()).map(SiteId).collect(),
            layout,
            site,
            hosts,
            fleet: Vec::new(),
            fronts: Vec::new(),
            loads: Vec::new(),
            books: Books::new(WAIT),
            marks: Vec::new(),
            lost: BTreeSet::new(),
            broken: BTreeSet::new(),
            cold,
            planned: options.planned,
        };
        let mut rng = StdRng::seed_from_u64(options.seed);
        region.drawn.shuffle(&mut rng);
        region.elect();
        for (me, site) in places.iter().enumerate() {
            let proxy = region.proxy(me, *site, places.len(), &file, options)?;
            region.fleet.push(proxy);
        }
        for p in &region.fleet {
            p.process.iter().try_for_each(Process::ready)?;
        }
        region.books = Books::new(WAIT);
        for n in 0..region.layout.sites.len() {
            let front: Front = Arc::default();
            region.fronts.push(Arc::clone(&front));
            let streams = region.streams(SiteId(n), script.load);
            if !streams.is_empty() {
                region.front();
                region.loads.push(Load::start(
                    n,
                    streams,
                    WAIT,
                    front,
                    &region.books,
                    options.seed * 31 + n as u64,
                ));
            }
        }
        region.front();
        Ok(region)
    }

    fn streams(&self, site: SiteId, load: f64) -> Vec<Stream> {
        let of = self.layout.demands.iter().filter(|d| d.site == site);
        let stream = |d: &Demand| {
            let class = &self.layout.classes[d.class];
            Stream {
                class: class.name.clone(),
                cluster: self.layout.sets[d.set].cluster,
                write: class.write,
                own: is_own(&class.name),
                of: d.class,
                rate: d.rate * load,
            }
        };
        of.map(stream).collect()
    }

    fn proxy(
        &self,
        me: usize,
        at: SiteId,
        fleet: usize,
        file: &Path,
        options: &Options,
    ) -> io::Result<Proxy> {
        let (mut links, mut entries) = (Vec::new(), Vec::new());
        for h in &self.hosts {
            let link = Link::open(self.site.hosts[h.set][h.number].addr())?;
            let cluster = self.layout.sets[h.set].cluster as usize;
            let mut e = entry(&Site::id(h.set + 1, h.number), &link.addr().to_string(), cluster, false);
            e["zone"] = json!(self.layout.sites[h.site.0].name);
            entries.push(e);
            links.push(link);
        }
        let discovery = Discovery::open(entries)?;
        let listing = Link::open(discovery.addr())?;
        let mut config = self.site.config();
        config["name"] = json!(format!("n{me}"));
        config["seed"] = json!(format!("{:x}", options.seed * 1000 + me as u64));
        config["discovery"] = json!(listing.addr().to_string());
        config["known"] = discovery.whole();
        config["watch_silence_ms"] = json!(6000);
        self.settings(&mut config["settings"], me, at, fleet);
        if options.planned {
            config["sites"] = json!(file);
        }
        let folder: PathBuf = options.folder.join(format!("n{me}"));
        let mut platform = Platform::new(options.program, &folder, true)?;
        platform.environment.clone_from(&options.environment);
        platform.configure(&config)?;
        let process = Some(platform.start()?);
        let addr = platform.held_addr().ok_or(io::ErrorKind::AddrNotAvailable)?;
        Ok(Proxy { site: at, platform, process, addr, links, discovery, listing })
    }

    fn settings(&self, settings: &mut Value, me: usize, at: SiteId, fleet: usize) {
        let names: Vec<_> = self.layout.sites.iter().map(|s| s.name.clone()).collect();
        let category = |c: &Class| {
            let (group, repeat, late) =
                if c.write { ("cell", "side_effect", 0.3) } else { ("all", "pure", 0.0) };
            json!({"deadline": WAIT.as_millis() as f64, "group": group, "keyTtl": 0.0, "lateWorth": late,
                "name": c.name, "repeat": repeat, "slo": AIM.as_millis() as f64, "worth": c.worth})
        };
        let level = |c: &Class| match c {
            c if c.write => "mutate",
            c if is_own(&c.name) => "causal",
            c if c.bound_ms.is_finite() => "lag_bound",
            _ => "eventual",
        };
        let classes = &self.layout.classes;
        settings["categories"] = classes.iter().map(category).collect();
        settings["familyInfo"]["readLevel"] = classes.iter().map(level).collect();
        let bound = |c: &Class| if c.bound_ms.is_finite() { c.bound_ms } else { 0.0 };
        settings["familyInfo"]["lagAllowed"] = classes.iter().map(bound).collect();
        settings["familyInfo"]["whenBehind"] = json!("silent");
        settings["familyInfo"]["roleListed"] = json!("silent");
        (settings["failureDomains"], settings["zone"]) = (json!(names), json!(names[at.0]));
        (settings["fleetSize"], settings["me"]) = (json!(fleet), json!(me));
        settings["rules"]["cold"] = json!(self.cold.1.as_millis() as f64);
        settings["rules"]["coldShare"] = json!(self.cold.0);
        (settings["rules"]["fall"], settings["rules"]["fallMultiple"]) =
            (json!(FALL.1.as_millis() as f64), json!(FALL.0));
    }

    fn mark(&mut self, what: String) {
        self.marks.push((self.books.began.elapsed(), what));
    }

    // ---- The script ----

    fn run(&mut self, script: &Script) -> io::Result<()> {
        for event in &script.events {
            let site = match &event.site {
                None => None,
                Some(Which::Named(name)) => {
                    Some(self.layout.site(name).ok_or_else(|| io::Error::other(format!("no site {name}")))?)
                }
                Some(Which::Drawn(n)) => {
                    Some(*self.drawn.get(*n).ok_or_else(|| io::Error::other("fewer sites than are drawn"))?)
                }
            };
            self.happen(event.what, site)?;
            self.wait(event, site)?;
        }
        Ok(())
    }

    fn happen(&mut self, what: What, site: Option<SiteId>) -> io::Result<()> {
        let name = site.map_or("all", |s| self.layout.sites[s.0].name.as_str()).to_owned();
        self.mark(format!("{what:?} {name}"));
        let Some(site) = site else {
            let state = if what == What::ListAbsent { State::Silent } else { State::Up };
            if matches!(what, What::ListAbsent | What::ListBack) {
                self.fleet.iter().for_each(|p| p.listing.set(state));
            }
            return Ok(());
        };
        match what {
            What::Nothing => {}
            What::ListAbsent => self.fleet.iter().for_each(|p| p.listing.set(State::Silent)),
            What::ListBack => self.fleet.iter().for_each(|p| p.listing.set(State::Up)),
            What::Kill | What::Silence => {
                let state = if what == What::Kill { State::Cut } else { State::Silent };
                self.set_links(|_, host| host == site, state);
                for p in self.fleet.iter_mut().filter(|p| p.site == site) {
                    self.broken.insert(p.addr);
                    if what == What::Kill {
                        p.process = None;
                    } else {
                        p.process.iter().try_for_each(|p| p.signal("STOP"))?;
                    }
                }
                self.lose(site);
            }
            What::CutOff => {
                self.set_links(|proxy, host| (proxy == site) != (host == site), State::Silent);
                self.broken.extend(self.fleet.iter().filter(|p| p.site == site).map(|p| p.addr));
                self.lost.insert(site);
                // The front layer reaches it as before.
                thread::sleep(ELECTS);
                self.elect();
            }
            What::Half => {
                let half: Vec<_> =
                    (0..self.hosts.len()).filter(|n| self.hosts[*n].site == site).step_by(2).collect();
                // Not its primary: the rest of a set goes on as it is.
                for p in &self.fleet {
                    half.iter().filter(|n| !self.leads(**n)).for_each(|n| p.links[*n].set(State::Silent));
                }
            }
            What::Back => self.back(site)?,
            What::ListGone | What::Drain => {
                let of: Vec<_> = (0..self.hosts.len())
                    .filter(|n| self.hosts[*n].site == site && !self.leads(*n))
                    .collect();
                let many = if what == What::Drain { 1 } else { of.len() };
                for n in of.into_iter().take(many) {
                    let h = &self.hosts[n];
                    let word = if what == What::Drain { "draining" } else { "gone" };
                    let id = Site::id(h.set + 1, h.number);
                    for proxy in &self.fleet {
                        proxy.discovery.change(&id, "lifecycle", json!(word));
                    }
                    // Told is who has the bytes: the rig itself may be late to write them.
                    self.fleet.iter().for_each(|p| p.discovery.until_told());
                    h.engine.drain(true);
                }
            }
            What::Release => {
                for n in 0..self.fleet.len() {
                    if self.fleet[n].site != site || self.fleet[n].process.is_none() {
                        continue;
                    }
                    self.broken.insert(self.fleet[n].addr);
                    let p = &mut self.fleet[n];
                    if let Some(mut process) = p.process.take() {
                        process.signal("TERM")?;
                        if process.exits(ENDS)?.is_none_or(|s| !s.success()) {
                            return Err(io::Error::other("a process told to end did not"));
                        }
                    }
                    p.process = Some(p.platform.start()?);
                    p.process.iter().try_for_each(Process::ready)?;
                }
            }
        }
        Ok(())
    }

    /// Whether a db host is its set's primary.
    fn leads(&self, host: usize) -> bool {
        let h = &self.hosts[host];
        self.site.sets[h.set].role(h.number) == Role::Primary
    }

    fn set_links(&self, which: impl Fn(SiteId, SiteId) -> bool, state: State) {
        for p in &self.fleet {
            let of = self.hosts.iter().zip(&p.links).filter(|(h, _)| which(p.site, h.site));
            of.for_each(|(_, link)| link.set(state));
        }
    }

    fn lose(&mut self, site: SiteId) {
        self.lost.insert(site);
        thread::sleep(ELECTS);
        self.elect();
        thread::sleep(FRONT.saturating_sub(ELECTS));
        self.front();
    }

    fn back(&mut self, site: SiteId) -> io::Result<()> {
        self.lost.remove(&site);
        let killed: Vec<_> = (0..self.fleet.len())
            .filter(|n| self.fleet[*n].site == site && self.fleet[*n].process.is_none())
            .collect();
        if !killed.is_empty() {
            let cold = Cold { since: Instant::now(), share: self.cold.0, lasts: self.cold.1 };
            self.hosts.iter().filter(|h| h.site == site).for_each(|h| h.engine.start_cold(cold));
        }
        let lost = self.lost.clone();
        let up = |proxy: SiteId, host: SiteId| !lost.contains(&proxy) && !lost.contains(&host);
        self.set_links(up, State::Up);
        for p in self.fleet.iter_mut().filter(|p| p.site == site) {
            p.process.iter().try_for_each(|p| p.signal("CONT"))?;
        }
        for n in killed {
            let p = &mut self.fleet[n];
            p.process = Some(p.platform.start()?);
            p.process.iter().try_for_each(Process::ready)?;
        }
        // A primary that is back stays what it has become.
        self.elect();
        self.front();
        Ok(())
    }

    /// Each set whose primary is lost gets another, in the first site left that may hold one.
    fn elect(&self) {
        let lost: Vec<_> = self.lost.iter().copied().collect();
        for (n, set) in self.layout.sets.iter().enumerate() {
            let of = || self.hosts.iter().filter(|h| h.set == n);
            let leads = of().find(|h| self.site.sets[n].role(h.number) == Role::Primary);
            let stands = leads.is_some_and(|h| !lost.contains(&h.site) && set.primary.contains(&h.site));
            if !stands {
                let next = set.leads(&lost).and_then(|site| of().find(|h| h.site == site));
                self.site.sets[n].promote(next.map(|h| h.number));
            }
        }
    }

    /// Each site's clients go to its proxies, or to everybody's where they are lost.
    fn front(&self) {
        for (n, front) in self.fronts.iter().enumerate() {
            let running = |p: &&Proxy| !self.lost.contains(&p.site) || self.cut_off(p);
            let own: Vec<_> =
                self.fleet.iter().filter(running).filter(|p| p.site.0 == n).map(|p| p.addr).collect();
            let all = || self.fleet.iter().filter(running).map(|p| p.addr).collect();
            *front.lock().unwrap_or_else(PoisonError::into_inner) = if own.is_empty() { all() } else { own };
        }
    }

    /// Its site is lost to others, and it runs.
    fn cut_off(&self, p: &Proxy) -> bool {
        let inside = self.hosts.iter().zip(&p.links).filter(|(h, _)| h.site == p.site);
        p.process.is_some()
            && inside.clone().count() > 0
            && inside.into_iter().all(|(_, l)| l.state() == State::Up)
    }

    // ---- Progress ----

    fn wait(&mut self, event: &Event, site: Option<SiteId>) -> io::Result<()> {
        let since = Instant::now();
        if let (Some(word), false) = (&event.until, self.planned) {
            // Proxies without the file say nothing of sites: about as long as it takes with it.
            thread::sleep(Duration::from_millis(if word == "whole" { 8000 } else { 2500 }));
        } else if let (Some(word), Some(site)) = (&event.until, site) {
            while !self.says(site, word) {
                if since.elapsed() > STANDS {
                    return Err(io::Error::other(format!(
                        "not every proxy says {word} of {}: {}",
                        self.layout.sites[site.0].name,
                        self.shown()
                    )));
                }
                thread::sleep(Duration::from_millis(20));
            }
            self.mark(format!("{word} {}", self.layout.sites[site.0].name));
        }
        let answered = || self.books.answered.load(std::sync::atomic::Ordering::Relaxed);
        let until = answered() + event.requests;
        while answered() < until {
            if since.elapsed() > STANDS {
                return Err(io::Error::other(format!(
                    "the fleet stands still at {} of {until} answers",
                    answered()
                )));
            }
            thread::sleep(Duration::from_millis(2));
        }
        thread::sleep(Duration::from_millis(event.ms));
        Ok(())
    }

    /// Whether every proxy that runs outside a lost site says this of a site.
    fn says(&self, site: SiteId, word: &str) -> bool {
        let name = &self.layout.sites[site.0].name;
        // Proxies return by their own steps: one may be through while another has just begun.
        let words = if word == "returning" { vec![word, "whole"] } else { vec![word] };
        let starts: Vec<_> = words.iter().map(|w| format!("site {name} {w}:")).collect();
        let says = |body: &str| body.lines().any(|l| starts.iter().any(|s| l.starts_with(s)));
        let asked = self.fleet.iter().filter(|p| !self.lost.contains(&p.site));
        asked
            .filter_map(|p| p.process.as_ref())
            .all(|p| p.call("GET", "/sites").is_ok_and(|(_, body)| says(&body)))
    }

    fn shown(&self) -> String {
        let running = self.fleet.iter().filter(|p| !self.lost.contains(&p.site));
        let first = running.filter_map(|p| p.process.as_ref()).next();
        first.and_then(|p| p.call("GET", "/sites").ok()).map(|(_, body)| body).unwrap_or_default()
    }

    /// Writes whose clients were told that they are served, and which no set knows.
    fn lost(&self, writes: &BTreeMap<String, u32>) -> Vec<String> {
        let ran: BTreeSet<_> = writes.keys().cloned().collect();
        let served = self.books.checker.served_of("w-");
        let lost = served.into_iter().filter(|id| !ran.contains(id));
        lost.map(|id| format!("write {id} was confirmed and is lost")).collect()
    }
}

/// Whether a class's reads see what their session has written.
fn is_own(name: &str) -> bool {
    name.starts_with("own")
}

fn kinds(layout: &Layout) -> BTreeMap<String, Kind> {
    let kind = |c: &Class| Kind {
        work: Duration::from_secs_f64(c.work),
        bound: (!c.write && !is_own(&c.name) && c.bound_ms.is_finite())
            .then(|| Duration::from_secs_f64(c.bound_ms / 1000.0)),
    };
    layout.classes.iter().map(|c| (c.name.clone(), kind(c))).collect()
}
