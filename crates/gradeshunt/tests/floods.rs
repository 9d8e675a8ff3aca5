//! Clients that send at full speed, beside others that send one request at a time and are owed their answers
//! in time.

use std::net::SocketAddr;
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use gradeshunt_stand_ins::flood::{Flood, Form};
use gradeshunt_stand_ins::postgres::client::Client;
use gradeshunt_stand_ins::program::{Platform, Process};
use gradeshunt_stand_ins::site::{Plan, Site};

/// How long each flood lasts.
const FLOOD: Duration = Duration::from_secs(3);
const FLOODING_CLIENTS: u64 = 6;
/// Clients that send one request at a time, and how long each waits for an answer.
const OTHER_CLIENTS: u64 = 4;
const WAIT: Duration = Duration::from_millis(400);
/// An answer that comes so much later than its client waits is lost (docs/acceptance.md).
const LOST_AFTER: Duration = Duration::from_millis(500);
/// Processor time of a turn of the event loop at most.
const TURN_BOUND: Duration = Duration::from_millis(50);

struct Fixture {
    _site: Site,
    _platform: Platform,
    process: Process,
}

impl Fixture {
    fn open(name: &str) -> Fixture {
        let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("{name}-{}", std::process::id()));
        let site =
            Site::open(Plan { deadline: 3_000.0, aim: 500.0, ..Plan::default() }).expect("the site starts");
        let platform =
            Platform::new(Path::new(env!("CARGO_BIN_EXE_gradeshunt")), &folder, false).expect("a folder");
        platform.configure(&site.config()).expect("the configuration is written");
        let process = platform.start().expect("the process starts");
        process.ready().expect("the process is ready");
        Fixture { _site: site, _platform: platform, process }
    }

    fn addr(&self) -> SocketAddr {
        self.process.listen.expect("the process has told its address")
    }

    /// The log's lines about long turns.
    fn slow_turns(&mut self) -> String {
        let slow = self.process.logged().iter().filter(|line| line.contains("a turn took long"));
        slow.cloned().collect::<Vec<_>>().join("\n")
    }

    /// A figure of `/status/loop` or `/status/metrics`.
    fn figure(&self, path: &str, name: &str) -> u64 {
        let (_, text) = self.process.call("GET", path).expect("the operators' address answers");
        let value = text.lines().find_map(|line| line.strip_prefix(name)?.trim().parse().ok());
        value.unwrap_or_else(|| panic!("no {name} in {text}"))
    }
}

/// What the clients beside a flood saw.
#[derive(Debug, Default)]
struct Answers {
    count: usize,
    longest: Duration,
    /// Answers that came too late or never.
    lost: usize,
}

/// Sends one request after the other until told to stop.
fn ask_one_at_a_time(addr: SocketAddr, client: u64, ends: &AtomicBool) -> Answers {
    let mut answers = Answers::default();
    let mut connection = Client::connect(addr, &[("user", "portal")], Duration::from_secs(20));
    for request in 0.. {
        if ends.load(Ordering::Relaxed) {
            break;
        }
        let wait = WAIT.as_millis();
        let statement = format!(
            "/* id=o{client}-{request},c=page-read,d={wait},cluster=1 */ SELECT data FROM facts WHERE code = 'a'"
        );
        let asked = Instant::now();
        let reply = connection.as_mut().expect("the session starts").query(&statement);
        let took = asked.elapsed();
        answers.count += 1;
        answers.longest = answers.longest.max(took);
        answers.lost += usize::from(reply.is_err() || took > WAIT + LOST_AFTER);
        thread::sleep(Duration::from_millis(5));
    }
    answers
}

/// Plays one flood and returns what the other clients saw.
fn play(fixture: &Fixture, form: Form) -> Answers {
    let (addr, ends) = (fixture.addr(), AtomicBool::new(false));
    let flood = Flood::begin(addr, form, FLOODING_CLIENTS);
    let answers = thread::scope(|scope| {
        let clients: Vec<_> = (0..OTHER_CLIENTS)
            .map(|n| {
                let ends = &ends;
                scope.spawn(move || ask_one_at_a_time(addr, n, ends))
            })
            .collect();
        thread::sleep(FLOOD);
        ends.store(true, Ordering::Relaxed);
        clients.into_iter().map(|client| client.join().expect("the client ran")).fold(
            Answers::default(),
            |a, b| Answers {
                count: a.count + b.count,
                longest: a.longest.max(b.longest),
                lost: a.lost + b.lost,
            },
        )
    });
    assert!(flood.written() > 0 || form.is_connections(), "the flood sent nothing");
    answers
}

fn assert_flood_delays_no_other_client(form: Form) {
    let mut fixture = Fixture::open(&format!("flood-{form:?}"));
    let answers = play(&fixture, form);
    assert!(answers.count > 0, "no client asked anything");
    assert_eq!(answers.lost, 0, "{form:?}: {answers:?}\n{}", fixture.slow_turns());
    assert_eq!(fixture.figure("/status/metrics", "app_violations{rule=\"answer_in_time\"}"), 0, "{form:?}");
    let turn =
        Duration::from_micros(fixture.figure("/status/loop", "app_loop_longest_turn_cpu_us{span=\"ever\"}"));
    assert!(turn <= TURN_BOUND, "{form:?}: a turn took {turn:?} of processor time");
}

#[test]
fn flood_of_tls_requests_delays_no_other_client() {
    assert_flood_delays_no_other_client(Form::TlsRequests);
}

#[test]
fn flood_of_empty_statements_delays_no_other_client() {
    assert_flood_delays_no_other_client(Form::EmptyStatements);
}

#[test]
fn flood_of_no_routing_comment_delays_no_other_client() {
    assert_flood_delays_no_other_client(Form::NoRoutingComment);
}

#[test]
fn flood_of_new_classes_delays_no_other_client() {
    assert_flood_delays_no_other_client(Form::NewClasses);
}

#[test]
fn flood_of_copy_data_delays_no_other_client() {
    assert_flood_delays_no_other_client(Form::CopyData);
}

#[test]
fn flood_of_syncs_delays_no_other_client() {
    assert_flood_delays_no_other_client(Form::Syncs);
}

#[test]
fn flood_of_parses_delays_no_other_client() {
    assert_flood_delays_no_other_client(Form::Parses);
}

#[test]
fn flood_of_pipelined_reads_delays_no_other_client() {
    assert_flood_delays_no_other_client(Form::PipelinedReads);
}

#[test]
fn flood_of_unknown_sets_delays_no_other_client() {
    assert_flood_delays_no_other_client(Form::UnknownSets);
}

#[test]
fn flood_of_new_connections_delays_no_other_client() {
    assert_flood_delays_no_other_client(Form::NewConnections);
}

#[test]
fn flood_of_broken_connections_delays_no_other_client() {
    assert_flood_delays_no_other_client(Form::BrokenConnections);
}

#[test]
fn flood_of_cancels_delays_no_other_client() {
    assert_flood_delays_no_other_client(Form::Cancels);
}
