//! Open-loop clients: requests come when they come, however long others take, and each is told of by when it was due.

use std::collections::{BTreeMap, BTreeSet};
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use gradeshunt_stand_ins::checker::{Checker, Outcome};
use gradeshunt_stand_ins::postgres::client::{Client, Reply};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

/// The usual patience of clients.
const PATIENCE: Duration = Duration::from_secs(3);
/// Threads that ask, for each site.
const WORKERS: usize = 160;
/// Sessions of each site and class.
const SESSIONS: u64 = 40;

/// Requests of one kind from one site.
#[derive(Clone, Debug)]
pub struct Stream {
    pub class: String,
    pub cluster: u64,
    pub write: bool,
    /// It reads what its session has written.
    pub own: bool,
    /// Place of the class, for the book.
    pub of: usize,
    /// Requests a second.
    pub rate: f64,
}

/// What became of one request.
#[derive(Clone, Copy, Debug)]
pub struct Done {
    /// Since the load began.
    pub due: Duration,
    pub took: Duration,
    pub site: usize,
    pub class: usize,
    /// Its place among its site's requests.
    pub number: u64,
    pub outcome: Outcome,
    pub tries: u32,
    /// The proxy that it asked last.
    pub at: Option<SocketAddr>,
    /// By how much a try's answer came after the wait that it told.
    pub over: Duration,
}

/// Where clients of a site connect: the front layer.
pub type Front = Arc<Mutex<Vec<SocketAddr>>>;

struct Job {
    due: Instant,
    stream: usize,
    number: u64,
}

/// What all workers of a site share.
struct Shared {
    site: usize,
    streams: Vec<Stream>,
    wait: Duration,
    patience: Duration,
    front: Front,
    began: Instant,
    checker: Checker,
    book: Arc<Mutex<Vec<Done>>>,
    answered: Arc<AtomicU64>,
    resent: Arc<Mutex<BTreeSet<String>>>,
    /// When each session's last write was confirmed, as Unix milliseconds.
    written: Mutex<BTreeMap<u64, u128>>,
}

fn held<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// The clients of one site.
pub struct Load {
    ends: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
}

/// Where all sites' clients enter what they get.
#[derive(Clone)]
pub struct Books {
    pub began: Instant,
    pub checker: Checker,
    pub done: Arc<Mutex<Vec<Done>>>,
    pub answered: Arc<AtomicU64>,
    /// So long beyond the wait of its request a client gives its connection up.
    pub patience: Duration,
    /// Ids that clients have sent twice, since the connection ended on which they were sent first.
    pub resent: Arc<Mutex<BTreeSet<String>>>,
}

impl Books {
    pub fn new(wait: Duration) -> Books {
        Books {
            began: Instant::now(),
            checker: Checker::of_wait(wait),
            done: Arc::default(),
            answered: Arc::default(),
            patience: PATIENCE,
            resent: Arc::default(),
        }
    }
}

impl Load {
    pub fn start(
        site: usize,
        streams: Vec<Stream>,
        wait: Duration,
        front: Front,
        books: &Books,
        seed: u64,
    ) -> Load {
        let ends = Arc::new(AtomicBool::new(false));
        let (jobs, taken) = channel::<Job>();
        let taken = Arc::new(Mutex::new(taken));
        let shared = Arc::new(Shared {
            site,
            streams: streams.clone(),
            wait,
            patience: books.patience,
            front,
            began: books.began,
            checker: books.checker.clone(),
            book: Arc::clone(&books.done),
            answered: Arc::clone(&books.answered),
            resent: Arc::clone(&books.resent),
            written: Mutex::default(),
        });
        let mut threads = Vec::new();
        let over = Arc::clone(&ends);
        threads.push(thread::spawn(move || schedule(&streams, &jobs, &over, seed)));
        for _ in 0..WORKERS {
            let (shared, taken) = (Arc::clone(&shared), Arc::clone(&taken));
            threads.push(thread::spawn(move || work(&shared, &taken)));
        }
        Load { ends, threads }
    }

    /// Ends it when all that came has had its outcome.
    pub fn end(self) {
        self.ends.store(true, Ordering::Relaxed);
        self.threads.into_iter().for_each(|t| drop(t.join()));
    }
}

/// The id of one try of a request; `attempt` counts from 0.
pub fn request_id(write: bool, site: usize, number: u64, attempt: u32) -> String {
    format!("{}-{site:x}-{number:x}-{attempt}", if write { "w" } else { "r" })
}

/// Requests come as a Poisson process of each stream.
fn schedule(streams: &[Stream], jobs: &Sender<Job>, over: &AtomicBool, seed: u64) {
    let mut rng = StdRng::seed_from_u64(seed);
    let total: f64 = streams.iter().map(|s| s.rate).sum();
    let mut due = Instant::now();
    for number in 0.. {
        due += Duration::from_secs_f64(-(1.0 - rng.random::<f64>()).ln() / total.max(1e-9));
        thread::sleep(due.saturating_duration_since(Instant::now()));
        if over.load(Ordering::Relaxed) {
            return;
        }
        let mut at = rng.random::<f64>() * total;
        let stream = streams.iter().position(|s| {
            at -= s.rate;
            at < 0.0
        });
        if jobs.send(Job { due, stream: stream.unwrap_or(0), number }).is_err() {
            return;
        }
    }
}

fn work(shared: &Shared, jobs: &Mutex<Receiver<Job>>) {
    let mut connections: BTreeMap<SocketAddr, Client> = BTreeMap::new();
    loop {
        let job = held(jobs).recv();
        let Ok(Job { due, stream, number }) = job else { return };
        let s = &shared.streams[stream];
        let (mut tries, mut over) = (0, Duration::ZERO);
        // One that came before this is late already; it goes on waiting all the same.
        let (outcome, at) = loop {
            let id = request_id(s.write, shared.site, number, tries);
            tries += 1;
            shared.checker.asked(&id);
            let since = Instant::now();
            let (outcome, again, at) = ask(shared, &mut connections, s, &id, number, tries as usize, due);
            shared.checker.ended(&id, outcome, since.elapsed());
            over = over
                .max(since.elapsed().saturating_sub((due + shared.wait).saturating_duration_since(since)));
            let left = (due + shared.wait).saturating_duration_since(Instant::now());
            match again {
                // Refused: once more, when it was told to.
                Some(after) if tries < 2 && after < left => thread::sleep(after),
                _ => break (outcome, at),
            }
        };
        let took = due.elapsed();
        let due = due.saturating_duration_since(shared.began);
        held(&shared.book).push(Done {
            due,
            took,
            site: shared.site,
            class: s.of,
            number,
            outcome,
            tries,
            at,
            over,
        });
        shared.answered.fetch_add(1, Ordering::Relaxed);
    }
}

/// One try; the second value says when to come again.
fn ask(
    shared: &Shared,
    connections: &mut BTreeMap<SocketAddr, Client>,
    s: &Stream,
    id: &str,
    number: u64,
    tries: usize,
    due: Instant,
) -> (Outcome, Option<Duration>, Option<SocketAddr>) {
    let front = held(&shared.front).clone();
    // The front layer takes turns; a client's second try goes to the next proxy.
    let Some(addr) = front.get((number as usize + tries) % front.len().max(1)).copied() else {
        return (Outcome::Unreached, None, None);
    };
    let session = number % SESSIONS;
    let wait = (due + shared.wait).saturating_duration_since(Instant::now()).as_millis().max(1);
    let (class, cluster, site) = (&s.class, s.cluster, shared.site);
    let statement = if s.write {
        format!("/* id={id},c={class},d={wait},k={id},cluster={cluster} */ INSERT INTO facts (code, data) VALUES ('{site:x}-{session:x}', '{number:x}') RETURNING data")
    } else {
        let after = held(&shared.written).get(&session).copied().filter(|_| s.own);
        let after = after.map(|a| format!(",after={a}")).unwrap_or_default();
        format!("/* id={id},c={class},d={wait},cluster={cluster}{after} */ SELECT data FROM facts WHERE code = '{site:x}-{session:x}'")
    };
    // An answer too many, of a request before, is nobody's.
    let mut open = connections.remove(&addr);
    if open.as_mut().is_some_and(Client::has_more) {
        shared.checker.ended(&format!("{id}-before"), Outcome::Served, Duration::ZERO);
        open = None;
    }
    let reply = match open {
        // The proxy may have closed it meanwhile: then once more on a new one.
        Some(mut client) => match client.query(&statement) {
            Ok(reply) => Ok((client, reply)),
            Err(e) if matches!(e.kind(), ErrorKind::TimedOut | ErrorKind::WouldBlock) => {
                return (Outcome::Lost, None, Some(addr));
            }
            Err(_) => {
                held(&shared.resent).insert(id.to_owned());
                on_new(addr, &statement, shared.wait + shared.patience)
            }
        },
        None => on_new(addr, &statement, shared.wait + shared.patience),
    };
    match reply {
        Ok((client, reply)) => {
            let outcome = reply.outcome();
            if s.write && outcome == Outcome::Served {
                held(&shared.written).insert(session, gradeshunt_stand_ins::now().as_millis());
            }
            let told = reply.error.as_ref().and_then(|e| e.2.as_ref()).and_then(|d| d.parse().ok());
            let again = (outcome == Outcome::Refused).then(|| Duration::from_millis(told.unwrap_or(100)));
            connections.insert(addr, client);
            (outcome, again, Some(addr))
        }
        Err(outcome) => (outcome, None, Some(addr)),
    }
}

fn on_new(addr: SocketAddr, statement: &str, patience: Duration) -> Result<(Client, Reply), Outcome> {
    let identity = [("user", "portal"), ("database", "crm")];
    let mut client = Client::connect(addr, &identity, patience).map_err(|_| Outcome::Unreached)?;
    let reply = client.query(statement).map_err(|_| Outcome::Lost)?;
    Ok((client, reply))
}
