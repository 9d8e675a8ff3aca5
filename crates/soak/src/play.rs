//! One play: the site, the processes, the clients, and troubles in lanes.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt::{self, Display};
use std::io;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use fastrand::Rng;

use crate::client::{Client, ClientBehavior};
use crate::crowd::Crowd;
use crate::fleet::Proxy;
use crate::ledger::{Ledger, Summary};
use crate::lock;
use crate::shim::{Knob, Shim};
use crate::site::{self, Site};
use crate::trouble::{Kind, Scene, Trouble};

/// Troubles that are under way at a time.
const LANES: usize = 3;
/// A lane rests so long between two troubles, in milliseconds.
const REST_MS: std::ops::Range<u64> = 50..400;
/// How long each trouble of a crossing lasts.
const CROSSING: Duration = Duration::from_millis(900);
/// Clients have this long to end, beside their longest wait.
const LAST_ANSWERS: Duration = Duration::from_secs(3);
/// Pace of the looks at whether processes live.
const LOOK: Duration = Duration::from_millis(200);

/// In which order troubles come.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Schedule {
    /// In lanes, drawn by the seed, for a while.
    #[default]
    Lanes,
    /// Each pair of kinds once, in an order drawn by the seed.
    Pairs,
    /// Each pair once, and a third kind beside it.
    Triples,
}

/// What a play is to be.
#[derive(Clone, Debug)]
pub struct Options {
    /// The program's file.
    pub program: PathBuf,
    /// A folder of its own, which is removed at the end.
    pub folder: PathBuf,
    pub seed: u64,
    pub proxies: usize,
    pub clients_each: usize,
    /// Connections that rest before each proxy.
    pub crowd: usize,
    pub schedule: Schedule,
    /// How long troubles go on in lanes.
    pub lasts: Duration,
    /// Kinds of trouble that are played; all where it is empty.
    pub kinds: Vec<Kind>,
    /// More for the processes' environment.
    pub environment: Vec<(String, String)>,
}

impl Options {
    /// A play of a few dozen processes.
    pub fn of(program: &Path, folder: &Path, seed: u64) -> Options {
        Options {
            program: program.to_owned(),
            folder: folder.to_owned(),
            seed,
            proxies: 24,
            clients_each: 2,
            crowd: 0,
            schedule: Schedule::Lanes,
            lasts: Duration::from_secs(15),
            kinds: Vec::new(),
            environment: Vec::new(),
        }
    }
}

/// What a play came to.
#[derive(Clone, Debug, Default)]
pub struct Report {
    pub seed: u64,
    pub summary: Summary,
    /// How often each trouble was played, and each pair of kinds was under way at once.
    pub troubles: BTreeMap<Kind, u32>,
    pub pairs: BTreeMap<(Kind, Kind), u32>,
    /// Faults that the shim injected.
    pub injected: i64,
}

impl Report {
    /// Whether no rule was broken.
    pub fn is_sound(&self) -> bool {
        self.summary.counts.is_empty()
    }
}

impl Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        let Summary { outcomes, attempts, counts, faults } = &self.summary;
        writeln!(
            f,
            "seed {}: {outcomes:?}, {attempts} attempts, {} faults injected",
            self.seed, self.injected
        )?;
        let troubles: u32 = self.troubles.values().sum();
        writeln!(
            f,
            "  {troubles} troubles of {} kinds, {} pairs of kinds overlapped",
            self.troubles.len(),
            self.pairs.len()
        )?;
        writeln!(f, "  rules broken: {counts:?}")?;
        faults.iter().try_for_each(|fault| writeln!(f, "  {fault}"))
    }
}

/// Which troubles are under way, and which were at once.
#[derive(Default)]
struct Overlaps {
    under_way: Vec<Kind>,
    troubles: BTreeMap<Kind, u32>,
    pairs: BTreeMap<(Kind, Kind), u32>,
}

impl Overlaps {
    fn begin(&mut self, kind: Kind) {
        let others: BTreeSet<Kind> = self.under_way.iter().copied().collect();
        for other in others {
            *self.pairs.entry((kind.min(other), kind.max(other))).or_default() += 1;
        }
        self.under_way.push(kind);
        *self.troubles.entry(kind).or_default() += 1;
    }

    fn end(&mut self, kind: Kind) {
        if let Some(at) = self.under_way.iter().position(|k| *k == kind) {
            self.under_way.remove(at);
        }
    }
}

/// Plays a seed.
///
/// # Errors
/// Where the test itself can't go on: files, the C compiler, processes that can't be started at all.
pub fn play(options: &Options) -> io::Result<Report> {
    let _ = std::fs::remove_dir_all(&options.folder);
    let shim = Shim::build(&options.folder.join("shim"))?;
    let ledger = Arc::new(Ledger::default());
    let longest_wait = site::longest_wait(options.seed);
    let site = Site::open(&ledger, options.proxies, longest_wait)?;
    let proxies = open_fleet(options, &shim, &site, &ledger)?;
    let behavior = Arc::new(ClientBehavior::usual());
    let ends = Arc::new(AtomicBool::new(false));
    let mut rng = Rng::with_seed(options.seed);
    let clients: Vec<_> = proxies
        .iter()
        .flat_map(|proxy| std::iter::repeat_n(proxy, options.clients_each))
        .map(|proxy| {
            let client = Client {
                proxy: Arc::clone(proxy),
                ledger: Arc::clone(&ledger),
                behavior: Arc::clone(&behavior),
                ends: Arc::clone(&ends),
                rng: rng.fork(),
                longest_wait,
                is_crowded: options.crowd > 0,
            };
            thread::spawn(move || client.run())
        })
        .collect();
    let crowds = if options.crowd > 0 { open_crowds(options, &proxies, &ledger, &ends) } else { Vec::new() };
    let scene = Scene { site: &site, proxies: &proxies, behavior: &behavior, ledger: &ledger };
    let overlaps = Mutex::new(Overlaps::default());
    let told = thread::scope(|scope| {
        let over = Arc::new(AtomicBool::new(false));
        let watch = {
            let (over, proxies) = (Arc::clone(&over), &proxies);
            scope.spawn(move || watch_lives(proxies, &over))
        };
        let until = Instant::now() + options.lasts;
        let bag = Arc::new(Mutex::new(Vec::new()));
        let lanes = if options.schedule == Schedule::Lanes { LANES } else { 1 };
        let lanes: Vec<_> = (0..lanes)
            .map(|_| {
                let (rng, scene, overlaps, bag) = (rng.fork(), &scene, &overlaps, Arc::clone(&bag));
                scope.spawn(move || match options.schedule {
                    Schedule::Lanes => lane(options, rng, scene, overlaps, &bag, until),
                    Schedule::Pairs => cross(options, rng, scene, overlaps, 2),
                    Schedule::Triples => cross(options, rng, scene, overlaps, 3),
                })
            })
            .collect();
        let lanes: Vec<io::Result<()>> = lanes.into_iter().map(joined).collect();
        over.store(true, Ordering::Relaxed);
        lanes.into_iter().chain([joined(watch)]).collect::<io::Result<()>>()
    });
    told?;
    thread::sleep(longest_wait);
    ends.store(true, Ordering::Relaxed);
    let last = Instant::now() + longest_wait + LAST_ANSWERS;
    for client in clients.into_iter().chain(crowds) {
        while !client.is_finished() && Instant::now() < last {
            thread::sleep(LOOK / 10);
        }
    }
    let injected = proxies.iter().map(|p| p.faults.get(Knob::Injected)).sum::<io::Result<i64>>()?;
    thread::scope(|scope| {
        let ended: Vec<_> = proxies.iter().map(|proxy| scope.spawn(|| proxy.terminate())).collect();
        ended.into_iter().try_for_each(joined)
    })?;
    let _ = std::fs::remove_dir_all(&options.folder);
    let Overlaps { troubles, pairs, .. } = std::mem::take(&mut *lock(&overlaps));
    Ok(Report { seed: options.seed, summary: ledger.summary(), troubles, pairs, injected })
}

/// A crowd before each proxy. What it draws leaves the play's own seed alone.
fn open_crowds(
    options: &Options,
    proxies: &[Arc<Proxy>],
    ledger: &Arc<Ledger>,
    ends: &Arc<AtomicBool>,
) -> Vec<thread::JoinHandle<()>> {
    let open = |proxy: &Arc<Proxy>| {
        let crowd = Crowd {
            proxy: Arc::clone(proxy),
            ledger: Arc::clone(ledger),
            ends: Arc::clone(ends),
            rng: Rng::with_seed(options.seed ^ proxy.number as u64),
            longest_wait: site::longest_wait(options.seed),
            size: options.crowd,
        };
        thread::spawn(move || crowd.run())
    };
    proxies.iter().map(open).collect()
}

fn joined(thread: thread::ScopedJoinHandle<'_, io::Result<()>>) -> io::Result<()> {
    thread.join().unwrap_or_else(|_| Err(io::Error::other("a thread of the test panicked")))
}

fn open_fleet(
    options: &Options,
    shim: &Shim,
    site: &Site,
    ledger: &Arc<Ledger>,
) -> io::Result<Vec<Arc<Proxy>>> {
    let mut proxies = Vec::new();
    for number in 0..options.proxies {
        let folder = options.folder.join(format!("n{number}"));
        let proxy = Proxy::new(
            number,
            &options.program,
            &folder,
            shim,
            &options.environment,
            site.longest_wait,
            ledger,
        )?;
        proxy.configure(site, options.proxies, 0)?;
        proxies.push(Arc::new(proxy));
    }
    thread::scope(|scope| {
        let started: Vec<_> = proxies.iter().map(|proxy| scope.spawn(|| proxy.start())).collect();
        started.into_iter().try_for_each(joined)
    })?;
    Ok(proxies)
}

/// Draws the next kind: all of them come before one comes again.
fn draw(bag: &mut Vec<Kind>, options: &Options, rng: &mut Rng) -> Kind {
    if bag.is_empty() {
        *bag = if options.kinds.is_empty() { Kind::ALL.to_vec() } else { options.kinds.clone() };
        rng.shuffle(bag);
    }
    bag.pop().unwrap_or(Kind::BadClients)
}

/// Plays one trouble after the other.
fn lane(
    options: &Options,
    mut rng: Rng,
    scene: &Scene,
    overlaps: &Mutex<Overlaps>,
    bag: &Mutex<Vec<Kind>>,
    until: Instant,
) -> io::Result<()> {
    while Instant::now() < until {
        let (proxies, hosts) = (options.proxies, scene.site.hosts.len());
        let trouble = Trouble::of(draw(&mut lock(bag), options, &mut rng), &mut rng, proxies, hosts);
        lock(overlaps).begin(trouble.kind);
        let played = scene.play(&trouble);
        lock(overlaps).end(trouble.kind);
        played?;
        thread::sleep(Duration::from_millis(rng.u64(REST_MS)));
    }
    Ok(())
}

/// Plays each pair of kinds, or each with a third kind beside it, all of them at once.
fn cross(
    options: &Options,
    mut rng: Rng,
    scene: &Scene,
    overlaps: &Mutex<Overlaps>,
    at_once: usize,
) -> io::Result<()> {
    let kinds = if options.kinds.is_empty() { Kind::ALL.to_vec() } else { options.kinds.clone() };
    let mut pairs: Vec<(Kind, Kind)> =
        kinds.iter().enumerate().flat_map(|(n, a)| kinds[n..].iter().map(|b| (*a, *b))).collect();
    rng.shuffle(&mut pairs);
    for (first, second) in pairs {
        let third = rng.choice(&kinds).copied().filter(|_| at_once > 2);
        let together: Vec<Trouble> = [Some(first), Some(second), third]
            .into_iter()
            .flatten()
            .map(|kind| {
                let trouble = Trouble::of(kind, &mut rng, options.proxies, scene.site.hosts.len());
                Trouble { lasts: CROSSING, ..trouble }
            })
            .collect();
        together.iter().for_each(|trouble| lock(overlaps).begin(trouble.kind));
        let played = thread::scope(|scope| {
            let played: Vec<_> = together.iter().map(|trouble| scope.spawn(|| scene.play(trouble))).collect();
            played.into_iter().try_for_each(joined)
        });
        together.iter().for_each(|trouble| lock(overlaps).end(trouble.kind));
        played?;
    }
    Ok(())
}

/// Sees that processes live, and starts those that have ended by themselves.
fn watch_lives(proxies: &[Arc<Proxy>], over: &AtomicBool) -> io::Result<()> {
    while !over.load(Ordering::Relaxed) {
        for proxy in proxies {
            proxy.keep_alive()?;
            proxy.judge_memory();
        }
        thread::sleep(LOOK);
    }
    Ok(())
}
