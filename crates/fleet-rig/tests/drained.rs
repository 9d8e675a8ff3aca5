//! How a send after a drain is judged: by when the program wrote it, whenever the rig and the db host get to read it.

use std::collections::BTreeMap;
use std::io::Write;
use std::net::{TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, SystemTime};

use gradeshunt_fleet_rig::link::{Link, State};
use gradeshunt_fleet_rig::written;
use gradeshunt_stand_ins::engine::Engine;
use gradeshunt_stand_ins::postgres::host::Host;
use gradeshunt_stand_ins::postgres::wire;
use gradeshunt_stand_ins::set::Set;

/// Longer than the rule on drains grants, with the slack of the check.
const LONG: Duration = Duration::from_millis(350);
const STATEMENT: &str =
    "/* id=r-0-23-0,c=page-read,d=2000,cluster=1 */ SELECT data FROM facts WHERE code = '0-1'";

/// A program's connection over a link to a db host, which has welcomed it.
struct Connected {
    engine: Arc<Engine>,
    link: Link,
    program: TcpStream,
}

impl Connected {
    fn open() -> Connected {
        let host = Host::open(&Set::new(1, Duration::ZERO), 0).expect("a db host");
        let engine = Arc::new(Engine::new(4, BTreeMap::new()));
        host.bears(&engine);
        let link = Link::open(host.addr()).expect("a link");
        let program = TcpStream::connect(link.addr()).expect("it accepts");
        let mut connected = Connected { engine, link, program };
        connected.program.write_all(&wire::startup(&[("user", "portal")])).expect("it is open");
        connected.until_ready();
        connected
    }

    fn until_ready(&mut self) {
        while wire::read(&mut self.program).expect("an answer").0 != b'Z' {}
    }

    fn write(&mut self) {
        self.program.write_all(&wire::query(STATEMENT)).expect("it is open");
    }

    fn faults(&self) -> Vec<String> {
        self.engine.faults(4.0, Duration::from_secs(1), |text| self.link.written(text))
    }
}

/// Guards programs against a starved rig: what was written before the drain and is read long after it is no fault.
#[test]
fn request_that_is_written_before_the_drain_and_read_long_after_is_none_too_late() {
    let mut connected = Connected::open();
    connected.link.set(State::Silent);
    connected.write();
    while connected.link.written(STATEMENT).is_none() {
        thread::yield_now();
    }
    connected.engine.drain(true);
    thread::sleep(LONG);
    connected.link.set(State::Up);
    connected.until_ready();
    assert_eq!(connected.faults(), Vec::<String>::new());
    let by_its_read = connected.engine.faults(4.0, Duration::from_secs(1), |_| None);
    assert!(by_its_read[0].contains("sent long after its drain"), "it was read too late: {by_its_read:?}");
}

/// Guards the check: what was written long after the drain is found, and told apart by both times.
#[test]
fn request_that_is_written_long_after_the_drain_is_too_late() {
    let mut connected = Connected::open();
    connected.engine.drain(true);
    thread::sleep(LONG);
    connected.write();
    connected.until_ready();
    let faults = connected.faults();
    assert!(
        faults.len() == 1 && faults[0].contains("sent long after its drain: written after"),
        "{faults:?}"
    );
}

/// Guards the time itself: it is that of the write, though the read comes later. The system keeps it from some moment after it
/// was first asked to.
#[test]
fn bytes_have_the_time_of_their_write() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let mut program = TcpStream::connect(listener.local_addr().expect("an address")).expect("it listens");
    let (rig, _) = listener.accept().expect("it has connected");
    written::keep_times(&rig).expect("the system can");
    let mut is_kept = || {
        let before = SystemTime::now();
        program.write_all(b"x").expect("it is open");
        let written = SystemTime::now();
        thread::sleep(Duration::from_millis(1));
        let (n, came) = written::receive(&rig, &mut [0; 8]).expect("it is open");
        assert_eq!(n, 1);
        (before..=written).contains(&came)
    };
    assert!((0..1_000).any(|_| is_kept()));
}
