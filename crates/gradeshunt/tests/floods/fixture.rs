//! A process of the program, and clients that send it one request at a time.

use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use gradeshunt_stand_ins::postgres::client::Client;
use gradeshunt_stand_ins::program::{Platform, Process};
use gradeshunt_stand_ins::site::{Plan, Site};
use serde_json::Value;

/// Clients that send one request at a time, and how long each waits for an answer.
const CLIENTS: u64 = 4;
const WAIT: Duration = Duration::from_millis(400);
/// An answer that comes so much later than its client waits is lost (docs/acceptance.md).
const LOST_AFTER: Duration = Duration::from_millis(500);
/// Pause of a client between two requests.
const PAUSE: Duration = Duration::from_millis(5);
/// Processor time of a turn of the event loop at most (docs/loop-and-disk.md).
const TURN_BOUND: Duration = Duration::from_millis(50);
/// Ends a test that fails; no passing test waits this long.
const PATIENCE: Duration = Duration::from_secs(20);

/// What the clients saw.
#[derive(Debug, Default)]
pub struct Answers {
    pub count: usize,
    pub longest: Duration,
    /// Answers that came too late or never.
    pub lost: usize,
}

/// Held by the test that runs: a flood takes a processor for each of its clients.
static ONE_AT_A_TIME: Mutex<()> = Mutex::new(());

/// A running process before a set of three db hosts.
pub struct Fixture {
    pub site: Site,
    pub process: Process,
    folder: PathBuf,
    _turn: MutexGuard<'static, ()>,
}

impl Drop for Fixture {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

impl Fixture {
    /// Starts a process; `prepare` changes its configuration and the platform.
    pub fn open_with(name: &str, prepare: impl FnOnce(&mut Value, &mut Platform)) -> Fixture {
        let turn = ONE_AT_A_TIME.lock().unwrap_or_else(PoisonError::into_inner);
        let folder =
            Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("flood-{name}-{}", std::process::id()));
        let site =
            Site::open(Plan { deadline: 3_000.0, aim: 500.0, ..Plan::default() }).expect("the site starts");
        let program = Path::new(env!("CARGO_BIN_EXE_gradeshunt"));
        let mut platform = Platform::new(program, &folder, false).expect("a folder");
        let mut config = site.config();
        prepare(&mut config, &mut platform);
        platform.configure(&config).expect("the configuration is written");
        let process = platform.start().expect("the process starts");
        process.ready().expect("the process is ready");
        Fixture { site, process, folder, _turn: turn }
    }

    pub fn addr(&self) -> SocketAddr {
        self.process.listen.expect("the process has told its address")
    }

    /// Lets the clients send requests while `disturb` runs, and returns what they saw.
    pub fn answers_beside(&self, disturb: impl FnOnce()) -> Answers {
        let (addr, ends) = (self.addr(), AtomicBool::new(false));
        thread::scope(|scope| {
            let ends = &ends;
            let clients: Vec<_> =
                (0..CLIENTS).map(|n| scope.spawn(move || ask_one_at_a_time(addr, n, ends))).collect();
            {
                let _ends = SetOnDrop(ends);
                disturb();
            }
            clients.into_iter().map(|client| client.join().expect("the client ran")).fold(
                Answers::default(),
                |sum, answers| Answers {
                    count: sum.count + answers.count,
                    longest: sum.longest.max(answers.longest),
                    lost: sum.lost + answers.lost,
                },
            )
        })
    }

    /// Asserts that no client lost an answer while `disturb` ran, and that no turn of the event loop was too
    /// long.
    pub fn assert_in_time_beside(&mut self, disturb: impl FnOnce()) {
        let answers = self.answers_beside(disturb);
        assert!(answers.count > 0, "no client asked anything");
        assert_eq!(answers.lost, 0, "{answers:?}\n{}", self.slow_turns());
        assert_eq!(self.violations(), Vec::<String>::new(), "{}", self.slow_turns());
        let turn = self.figure("/status/loop", "app_loop_longest_turn_cpu_us{span=\"ever\"}");
        let turn = Duration::from_micros(turn);
        assert!(turn <= TURN_BOUND, "a turn took {turn:?} of processor time\n{}", self.slow_turns());
    }

    /// The rules of which the process itself has counted violations.
    fn violations(&self) -> Vec<String> {
        let (_, text) = self.process.call("GET", "/status/metrics").expect("the operators' address answers");
        let counts = text.lines().filter(|line| line.starts_with("app_violations{"));
        counts.filter(|line| !line.ends_with(" 0")).map(str::to_owned).collect()
    }

    /// The log's lines about long turns.
    fn slow_turns(&mut self) -> String {
        let slow = self.process.logged().iter().filter(|line| line.contains("a turn took long"));
        slow.cloned().collect::<Vec<_>>().join("\n")
    }

    /// A figure of the operators' address.
    pub fn figure(&self, path: &str, name: &str) -> u64 {
        let (_, text) = self.process.call("GET", path).expect("the operators' address answers");
        let value = text.lines().find_map(|line| line.strip_prefix(name)?.trim().parse().ok());
        value.unwrap_or_else(|| panic!("no {name} in {text}"))
    }
}

/// Sets a flag when it is dropped, also by a panic, so that a test that fails ends.
struct SetOnDrop<'a>(&'a AtomicBool);

impl Drop for SetOnDrop<'_> {
    fn drop(&mut self) {
        self.0.store(true, Ordering::Relaxed);
    }
}

/// Starts a session.
fn try_connect(addr: SocketAddr) -> io::Result<Client> {
    Client::connect(addr, &[("user", "portal")], PATIENCE)
}

/// Sends one request after the other until told to stop.
fn ask_one_at_a_time(addr: SocketAddr, client: u64, ends: &AtomicBool) -> Answers {
    let mut answers = Answers::default();
    let mut connection = None;
    while !ends.load(Ordering::Relaxed) {
        let (number, wait) = (answers.count, WAIT.as_millis());
        let statement = format!(
            "/* id=o{client}-{number},c=page-read,d={wait},cluster=1 */ SELECT data FROM facts WHERE code = 'a'"
        );
        let asked = Instant::now();
        let mut answered = false;
        // A request that crosses the end of a connection at rest, or of a new one, is sent once more.
        while !answered && asked.elapsed() <= WAIT + LOST_AFTER {
            let open = connection.take().map_or_else(|| try_connect(addr), Ok);
            let Ok(mut open) = open else { continue };
            answered = open.query(&statement).is_ok();
            connection = answered.then_some(open);
        }
        let took = asked.elapsed();
        answers.count += 1;
        answers.longest = answers.longest.max(took);
        answers.lost += usize::from(!answered || took > WAIT + LOST_AFTER);
        thread::sleep(PAUSE);
    }
    answers
}
