//! A db host of a soak play: a thread for each connection, and states that troubles set.

mod serving;
#[cfg(test)]
mod tests;

use std::collections::{BTreeMap, HashMap};
use std::io;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicI64, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::ledger::Ledger;
use crate::lock;

/// How far a standby is behind by itself.
const USUAL_LAG: Duration = Duration::from_millis(40);
/// How long the key of a write is known.
pub const KEY_WINDOW: Duration = Duration::from_secs(2);
/// How long what bytes say on arrival is not to be relied on after its db host has begun to read again.
const CATCHING_UP: Duration = Duration::from_millis(500);

/// The wall clock of all machines of a play, which can be stepped.
#[derive(Clone, Default)]
pub struct WallClock(Arc<AtomicI64>);

impl WallClock {
    /// Steps it: so many milliseconds beside the real one from now on.
    pub fn step_to(&self, ms: i64) {
        self.0.store(ms, Ordering::Relaxed);
    }

    /// Unix time in milliseconds.
    pub fn now_ms(&self) -> f64 {
        gradeshunt_stand_ins::now().as_secs_f64() * 1000.0 + self.0.load(Ordering::Relaxed) as f64
    }
}

/// Keys of a set's writes that have run, and when.
pub type Keys = Arc<Mutex<HashMap<u64, Instant>>>;

/// Faults of a db host, which troubles set.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DbHostFaults {
    /// It takes requests and works on none.
    pub hangs: bool,
    /// It reads nothing.
    pub stops_reading: bool,
    /// It turns requests away.
    pub full: bool,
    /// It errs.
    pub errs: bool,
    /// It works, and closes the connection in place of an answer.
    pub resets: bool,
    /// It writes its answers in pieces, with pauses between them.
    pub writes_slowly: bool,
}

/// A position that stands still.
#[derive(Clone, Copy)]
struct Frozen {
    since: Instant,
    /// How old it was then.
    lag: Duration,
    /// Unix time in milliseconds.
    position: f64,
}

#[derive(Default)]
struct State {
    faults: DbHostFaults,
    /// When it read nothing last.
    stopped_reading_until: Option<Instant>,
    frozen: Option<Frozen>,
    /// The generation of the list that says that it drains.
    drains_since: Option<u64>,
    open: BTreeMap<u64, TcpStream>,
}

impl State {
    /// Whether it read as soon as bytes came then.
    fn is_prompt_at(&self, at: Instant) -> bool {
        let has_caught_up = |until| at.saturating_duration_since(until) > CATCHING_UP;
        !self.faults.stops_reading && self.stopped_reading_until.is_none_or(has_caught_up)
    }
}

struct Inner {
    number: usize,
    primary: bool,
    addr: SocketAddr,
    wall: WallClock,
    keys: Keys,
    ledger: Arc<Ledger>,
    state: Mutex<State>,
    changed: Condvar,
    /// Reads that it has served.
    reads: AtomicU64,
}

/// A db host. Clones are the same one.
#[derive(Clone)]
pub struct DbHost(Arc<Inner>);

/// What the db hosts of a play share.
#[derive(Clone)]
pub struct Shared {
    pub wall: WallClock,
    pub ledger: Arc<Ledger>,
}

impl DbHost {
    /// Listens at a port that the system gives.
    ///
    /// # Errors
    /// Those of the socket.
    pub fn open(number: usize, primary: bool, keys: &Keys, shared: &Shared) -> io::Result<DbHost> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let host = DbHost(Arc::new(Inner {
            number,
            primary,
            addr: listener.local_addr()?,
            wall: shared.wall.clone(),
            keys: Arc::clone(keys),
            ledger: Arc::clone(&shared.ledger),
            state: Mutex::default(),
            changed: Condvar::new(),
            reads: AtomicU64::new(0),
        }));
        let served = host.clone();
        thread::spawn(move || {
            for (id, stream) in (0..).zip(listener.incoming().flatten()) {
                let served = served.clone();
                if let Ok(copy) = stream.try_clone() {
                    lock(&served.0.state).open.insert(id, copy);
                }
                thread::spawn(move || {
                    let _ = served.serve(stream);
                    lock(&served.0.state).open.remove(&id);
                });
            }
        });
        Ok(host)
    }

    pub fn addr(&self) -> SocketAddr {
        self.0.addr
    }

    pub fn is_primary(&self) -> bool {
        self.0.primary
    }

    /// How many reads it has served.
    pub fn reads(&self) -> u64 {
        self.0.reads.load(Ordering::Relaxed)
    }

    /// Changes its faults.
    pub fn set_faults(&self, change: impl FnOnce(&mut DbHostFaults)) {
        let mut state = lock(&self.0.state);
        let had_stopped_reading = state.faults.stops_reading;
        change(&mut state.faults);
        if had_stopped_reading && !state.faults.stops_reading {
            state.stopped_reading_until = Some(Instant::now());
        }
        self.0.changed.notify_all();
    }

    /// Its position stands still from now on, or moves again.
    pub fn freeze(&self, frozen: bool) {
        let now = Instant::now();
        let position = self.0.wall.now_ms() - USUAL_LAG.as_secs_f64() * 1000.0;
        lock(&self.0.state).frozen = frozen.then_some(Frozen { since: now, lag: USUAL_LAG, position });
    }

    /// Its position stands still, and has done so for this long.
    pub fn freeze_behind(&self, lag: Duration) {
        let position = self.0.wall.now_ms() - lag.as_secs_f64() * 1000.0;
        lock(&self.0.state).frozen = Some(Frozen { since: Instant::now(), lag, position });
    }

    /// The list says since this generation that it drains, or does not say so any more.
    pub fn drains_since(&self, generation: Option<u64>) {
        lock(&self.0.state).drains_since = generation;
    }

    /// Cuts all connections.
    pub fn cut(&self) {
        for stream in lock(&self.0.state).open.values() {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    /// Its position as Unix time in milliseconds, and how old its data really is.
    fn position(&self) -> (f64, Duration) {
        if self.0.primary {
            return (self.0.wall.now_ms(), Duration::ZERO);
        }
        match lock(&self.0.state).frozen {
            Some(Frozen { since, lag, position }) => (position, since.elapsed() + lag),
            None => (self.0.wall.now_ms() - USUAL_LAG.as_secs_f64() * 1000.0, USUAL_LAG),
        }
    }
}
