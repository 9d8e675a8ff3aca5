//! Runs a gradeshunt process whose only db host is played by the test, and reads and writes the db host's
//! messages.

use std::io::{self, ErrorKind, Write};
use std::net::{TcpListener, TcpStream};
use std::path::Path;
use std::sync::mpsc::Receiver;
use std::time::{Duration, Instant};

use gradeshunt_stand_ins::postgres::client::Client;
use gradeshunt_stand_ins::postgres::wire;
use gradeshunt_stand_ins::script::Table;
use gradeshunt_stand_ins::site::{Plan, Site};
use gradeshunt_stand_ins::standalone::{Standalone, Start};
use serde_json::{json, Value};

/// Time-out that ends a failing test. It does not limit a passing one.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(8);
/// A statement longer than the socket buffers of a connection whose peer does not read.
pub const STATEMENT_BEYOND_BUFFERS: usize = 250_000;
/// A statement that the kernel takes completely for such a connection, but of which some stays in the send
/// buffer.
pub const STATEMENT_IN_SEND_BUFFER: usize = 20_000;
/// Size of the receive buffer that is requested for the db host's connections.
pub const RECEIVE_BUFFER: usize = 4_096;

/// A short aim for response times. The proxy derives the times of its rounds, of checks of suspected hosts
/// and of waits from it.
pub const AIM_MS: f64 = 200.0;
/// An aim for which a db host still counts as recently heard from while it reads a long statement on a busy
/// machine.
pub const LONG_AIM_MS: f64 = 4_000.0;
/// An aim long enough for a repeat to be waited for, however late it is handled on a busy machine.
pub const VERY_LONG_AIM_MS: f64 = 20_000.0;
/// Starts the program with a log that includes each attempt.
pub const WITH_DEBUG_LOG: &str = r#"exec "$0" --log-level debug --log-format json;"#;

/// A gradeshunt process and its only db host, whose connections have small receive buffers.
pub struct Fixture {
    pub host: TcpListener,
    _unresponsive_discovery: TcpListener,
    pub program: Standalone,
}

impl Fixture {
    pub fn open(name: &str, window_ms: u64) -> Fixture {
        Fixture::open_with(name, window_ms, AIM_MS, |_| {})
    }

    /// Like `open`, with an aim in milliseconds and with `edit` applied to the configuration.
    pub fn open_with(name: &str, window_ms: u64, aim: f64, edit: impl Fn(&mut Value)) -> Fixture {
        Fixture::open_in_shell(name, window_ms, aim, edit, "")
    }

    /// Like `open_with`, with shell commands that start the program.
    pub fn open_in_shell(
        name: &str,
        window_ms: u64,
        aim: f64,
        edit: impl Fn(&mut Value),
        shell: &'static str,
    ) -> Fixture {
        let host = TcpListener::bind("127.0.0.1:0").expect("cannot bind a port");
        socket2::SockRef::from(&host)
            .set_recv_buffer_size(RECEIVE_BUFFER)
            .expect("cannot set a socket option");
        socket2::SockRef::from(&host)
            .set_read_timeout(Some(TEST_TIMEOUT))
            .expect("cannot set a socket option");
        let window = Duration::from_millis(window_ms);
        let site =
            Site::open(Plan { sets: vec![1], window, aim, ..Plan::default() }).expect("cannot open the site");
        let mut config = site.config();
        config["known"]["instances"][0]["hostPort"] =
            json!(host.local_addr().expect("no local address").to_string());
        config["settings"]["allowed"]["connectTimeout"] = json!(600_000.0);
        let discovery = TcpListener::bind("127.0.0.1:0").expect("cannot bind a port");
        config["discovery"] = json!(discovery.local_addr().expect("no local address").to_string());
        edit(&mut config);
        let start = Start {
            program: Path::new(env!("CARGO_BIN_EXE_gradeshunt")),
            folder: Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("{name}-{}", std::process::id())),
            config,
            shell,
            environment: Vec::new(),
        };
        let program = Standalone::start(start, |_| {}).expect("the program does not start");
        Fixture { host, _unresponsive_discovery: discovery, program }
    }

    pub fn client(&self) -> Client {
        drop(self.program.connect(TEST_TIMEOUT));
        Client::connect(self.program.addr, &[("user", "portal")], TEST_TIMEOUT)
            .expect("the session does not start")
    }

    /// Accepts the next connection at the db host and completes its startup.
    pub fn accept(&self) -> TcpStream {
        let connected = self.host.accept();
        let (server, _) = connected.unwrap_or_else(|e| panic!("no connection: {e}: {}", self.program.log()));
        complete_startup(server)
    }

    /// Serves a first request, and returns the db host's connection that carried it.
    pub fn accept_with_request(&self) -> TcpStream {
        let mut client = self.client();
        client.stream().write_all(&request(1, "page-read", 300_000, 0)).expect("the connection is open");
        let mut server = self.accept();
        next_request(&mut server).expect("a request arrives");
        let row = Table::of(&["data"], &[&["v"]]);
        let role = wire::parameter("replication_role", "primary");
        server.write_all(&[wire::table(&row), role, wire::message(b'Z', b"I")].concat()).expect("it is open");
        assert_eq!(client.until_ready().expect("an answer").code(), None);
        server
    }

    /// Returns the next attempt on any further connection, some of which may carry probes instead. No other
    /// method of the db host may be used afterwards.
    pub fn next_attempt(&self) -> String {
        let attempt = self.further_attempts().recv_timeout(TEST_TIMEOUT).expect("no further attempt arrived");
        attempt.unwrap_or_else(|e| panic!("no attempt: {e:?}: {}", self.program.log()))
    }

    /// Returns the first attempt on each further connection as it arrives. No other method of the db host may
    /// be used afterwards.
    pub fn further_attempts(&self) -> Receiver<Result<String, ErrorKind>> {
        let host = self.host.try_clone().expect("cannot clone the listener");
        let (found, attempts) = std::sync::mpsc::channel();
        std::thread::spawn(move || {
            while let Ok((server, _)) = host.accept() {
                let found = found.clone();
                std::thread::spawn(move || {
                    found.send(next_request(&mut complete_startup(server)).map_err(|e| e.kind()))
                });
            }
        });
        attempts
    }
}

/// Completes the startup of a connection at the db host.
pub fn complete_startup(mut server: TcpStream) -> TcpStream {
    server.set_read_timeout(Some(TEST_TIMEOUT)).expect("cannot set a socket option");
    wire::read_startup(&mut server).expect("no startup message");
    server
        .write_all(&[wire::message(b'R', &[0; 4]), wire::message(b'Z', b"I")].concat())
        .expect("the connection is closed");
    server
}

/// Waits until a client's request begins to arrive, and answers the proxy's own queries before it.
pub fn wait_for_request_start(server: &mut TcpStream) {
    const HEAD: usize = 5;
    let mut begin = [0; HEAD + 2];
    loop {
        loop {
            let seen = server.peek(&mut begin).expect("the connection is closed");
            assert!(seen > 0, "the connection was closed before a request arrived");
            if seen == begin.len() {
                break;
            }
        }
        if &begin[HEAD..] == b"/*" {
            return;
        }
        wire::read(server).expect("cannot read a probe");
        answer_probe(server).expect("the connection is closed");
    }
}

pub fn answer_probe(server: &mut TcpStream) -> io::Result<()> {
    let report = Table { tag: "SHOW".to_owned(), ..Table::of(&["pressure"], &[&["x0=0,x1=1"]]) };
    server.write_all(&[wire::table(&report), wire::message(b'Z', b"I")].concat())
}

/// A request of this class, padded to `length` bytes.
pub fn request(id: usize, class: &str, wait_ms: u64, length: usize) -> Vec<u8> {
    let text = format!(
        "/* id={id},c={class},d={wait_ms},k={id:016x},cluster=1 */ SELECT data FROM facts WHERE code = '{id:x}'"
    );
    let padding = " ".repeat(length.saturating_sub(text.len()));
    wire::query(&format!("{text}{padding}"))
}

/// Reads messages up to a client's request, and answers the proxy's own queries before it, as a db host does
/// that is not busy.
pub fn next_request(server: &mut TcpStream) -> io::Result<String> {
    loop {
        let (tag, body) = wire::read(server)?;
        let text = String::from_utf8_lossy(&body).into_owned();
        if tag == b'Q' && text.contains("id=") {
            return Ok(text);
        }
        if body == [0] {
            server.write_all(&wire::empty_query_answer())?;
        } else {
            answer_probe(server)?;
        }
    }
}

/// Like `next_request`, but leaves the empty queries right before the request unanswered and returns their
/// number. A db host that is busy with an earlier request answers them only after that request.
pub fn read_request(server: &mut TcpStream) -> io::Result<(usize, String)> {
    let mut markers = 0;
    loop {
        let (tag, body) = wire::read(server)?;
        let text = String::from_utf8_lossy(&body).into_owned();
        if tag == b'Q' && text.contains("id=") {
            return Ok((markers, text));
        }
        if body == [0] {
            markers += 1;
            continue;
        }
        server.write_all(&wire::empty_query_answer().repeat(std::mem::take(&mut markers)))?;
        answer_probe(server)?;
    }
}

/// The wait time that a request states, in milliseconds.
pub fn stated_wait_ms(text: &str) -> u64 {
    let told = text.split(",d=").nth(1).and_then(|rest| rest.split(',').next());
    told.and_then(|ms| ms.parse().ok()).expect("no time in milliseconds or microseconds")
}

/// Lets `ms` milliseconds pass while requests wait at the db host, one after the other, until their clients
/// get an answer.
pub fn pass_time(fixture: &Fixture, ms: u64) {
    let (began, passed) = (Instant::now(), Duration::from_millis(ms));
    for id in 100.. {
        let left = passed.saturating_sub(began.elapsed());
        if left.is_zero() {
            return;
        }
        let mut client = fixture.client();
        let wait_ms = left.as_millis() as u64 + 1;
        client.stream().write_all(&request(id, "page-read", wait_ms, 0)).expect("the connection is closed");
        assert!(client.until_ready().expect("no answer").code().is_some());
    }
}

/// An error answer of a db host, without ReadyForQuery.
pub fn refusal(code: &str, position: &str) -> Vec<u8> {
    let error = wire::message(b'E', format!("SERROR\0C{code}\0Mno\0\0").as_bytes());
    let status = wire::message(b'S', format!("log_position\0{position}\0").as_bytes());
    [error, status].concat()
}

/// A position as db hosts report it, in Unix milliseconds.
pub const POSITION: &str = "1767225600123";
