//! Tests of the backend against a db host that the test plays.

mod late_connections;
mod late_copies;
mod written_attempts;

use std::io::{ErrorKind, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::rc::Rc;

use gradeshunt_placement::Source;
use leadmast::{ClassId, Ending, Entry, GroupId, ListKind, MemberId, Micros, Phase, RequestId, ZoneId};

use super::connection::{HostConnection, Stage};
use super::ending::HOST_END_TIMEOUT;
use super::hosts::ListedHost;
use super::jobs::unsent_ending;
use super::Backend;
use crate::deadlines::DeadlineKind;
use crate::exchange::{AnswerForm, AttemptId, BackendCommand, Body, Exchange, IncomingRequest};
use crate::pg::Writer;
use crate::turn::{ReadySources, Turn};

/// An attempt that waited at least half of the connect time-out for a connection must report that the host is
/// unreachable. Most attempts end before the whole time-out, and each that reports nothing is followed by
/// another to the same host.
#[test]
fn attempt_that_waited_half_the_connect_timeout_reports_a_failed_connect() {
    assert_eq!(unsent_ending(Ending::Timeout, 125_000, 250_000), Ending::ConnectFailed);
    assert_eq!(unsent_ending(Ending::Timeout, 124_999, 250_000), Ending::Moot);
    assert_eq!(unsent_ending(Ending::Cancelled, 250_000, 250_000), Ending::Moot);
}

/// A backend with one db host played by the test, and a clock set by the test.
struct Fixture {
    backend: Backend,
    exchange: Exchange,
    turn: Turn,
    host: TcpListener,
    _event_loop: calloop::EventLoop<'static, ReadySources>,
}

const MEMBER: MemberId = MemberId(0);
/// The wait time of a client that waits long.
const LONG_WAIT: Micros = 60_000_000;

/// A load report, which a db host sends in answer to a probe.
fn report() -> Vec<u8> {
    let writer = Writer::default().message(b'T', &[&[0, 1], b"pressure\0", &[0; 18]]);
    let writer = writer.message(b'D', &[&[0, 1, 0, 0, 0, 4], b"x1=1"]);
    writer.message(b'C', &[b"SHOW\0"]).ready().0
}

/// The answer to the empty query that precedes each request but the first on a connection.
fn empty_query_answer() -> Vec<u8> {
    Writer::default().message(b'I', &[]).ready().0
}

/// The db host as discovery lists it.
fn entry(group: GroupId, leader: bool) -> Entry {
    Entry {
        member: MEMBER,
        common: 0,
        group,
        zone: ZoneId(0),
        weight: 1.0,
        since: None,
        phase: Phase::Up,
        leader,
    }
}

/// A request of a client that waits long.
fn call(class: ClassId, group: GroupId) -> IncomingRequest {
    IncomingRequest {
        class,
        group,
        key: None,
        deadline: LONG_WAIT,
        since_write: None,
        repeat: false,
        checked: false,
        tenant: None,
        source: Source::Client,
        body: Body::new(b"SELECT 1".to_vec(), None, AnswerForm::Value),
    }
}

impl Fixture {
    fn open() -> Fixture {
        Fixture::open_with(|_| {})
    }

    /// Like `open`, with `edit` applied to the configuration.
    fn open_with(edit: impl Fn(&mut serde_json::Value)) -> Fixture {
        let event_loop = calloop::EventLoop::<ReadySources>::try_new().expect("cannot create an event loop");
        let mut turn = Turn::new(event_loop.handle(), slog::Logger::root(slog::Discard, slog::o!()));
        turn.now = 0;
        let config = std::fs::read_to_string("../../examples/config.json")
            .expect("cannot read the example configuration");
        let mut config: serde_json::Value =
            serde_json::from_str(&config).expect("the example configuration is not JSON");
        edit(&mut config);
        let facts =
            leadmast::settings::read(&config["settings"]).expect("the example's settings are invalid");
        let mut exchange = Exchange::new(facts.settings.clone(), Vec::new(), 7, 0);
        let mut backend = Backend::new(facts.connections, &facts.names);
        backend.set_max_connections(&mut turn, 10);
        let host = TcpListener::bind("127.0.0.1:0").expect("cannot bind a port");
        let addr = host.local_addr().expect("no local address");
        let listed = ListedHost { id: "s".to_owned(), member: MEMBER, addr, phase: Phase::Up };
        backend.apply_list(&mut turn, &mut exchange, ListKind::Full, &[listed]);
        Fixture { backend, exchange, turn, host, _event_loop: event_loop }
    }

    /// Lets the backend handle what has arrived until `done` holds.
    fn run_until(&mut self, done: impl Fn(&Backend) -> bool) {
        while !done(&self.backend) {
            let servers: Vec<_> = self.backend.connections.keys().copied().collect();
            for id in servers {
                self.backend.handle_socket_ready(&mut self.turn, &mut self.exchange, id);
            }
        }
    }

    /// Has the backend open a connection for a probe and pool it after the load report.
    fn pool_connection(&mut self) -> TcpStream {
        self.backend.execute(&mut self.turn, &mut self.exchange, BackendCommand::Probe(MEMBER));
        let (mut server, _) = self.host.accept().expect("no connection arrived");
        server.set_nodelay(true).expect("cannot set a socket option");
        server
            .write_all(&Writer::default().message(b'R', &[&[0; 4]]).ready().0)
            .expect("the connection is closed");
        self.run_until(|backend| backend.hosts[&MEMBER].connecting == 0);
        server.write_all(&report()).expect("the connection is closed");
        self.run_until(|backend| backend.hosts[&MEMBER].idle.len() == 1);
        server
    }

    /// Starts an attempt of a request with a long wait on a pooled connection. The db host has read it and
    /// does not answer.
    fn start_attempt(&mut self) -> (TcpStream, AttemptId) {
        let mut server = self.pool_connection();
        let attempt = self.start_attempt_on(&mut server);
        (server, attempt)
    }

    /// Like `start_attempt`, on this pooled connection.
    fn start_attempt_on(&mut self, server: &mut TcpStream) -> AttemptId {
        let group = GroupId(0);
        self.exchange.update_members(&mut self.turn, ListKind::Full, vec![entry(group, true)]);
        self.exchange.submit(&mut self.turn, call(ClassId(0), group));
        while let Some(command) = self.exchange.backend_commands.pop_front() {
            self.backend.execute(&mut self.turn, &mut self.exchange, command);
        }
        let mut query = Vec::new();
        while !query.ends_with(b"SELECT 1\0") {
            let mut bytes = [0; 64];
            let n = server.read(&mut bytes).expect("the connection is closed");
            query.extend(&bytes[..n]);
        }
        *self.backend.attempts.keys().next().expect("no attempt is out")
    }

    /// Advances the clock by `time` and handles the connections' deadlines.
    fn advance_time(&mut self, time: Micros) {
        self.turn.now += time;
        while let Some(due) = self.turn.deadlines.pop_expired(self.turn.now) {
            if let DeadlineKind::Server(id) = due {
                self.backend.connection_due(&mut self.turn, &mut self.exchange, id);
            }
        }
    }
}

/// After a process was suspended, a pooled connection may have expired before its deadline event is handled.
/// It must not be used then, since its db host may already have closed it.
#[test]
fn pooled_connection_that_has_expired_is_not_leased() {
    let mut fixture = Fixture::open();
    let _server = fixture.pool_connection();
    let id = fixture.backend.hosts[&MEMBER].idle[0];
    let Stage::Idle { until, .. } = fixture.backend.connections[&id].stage else {
        panic!("the connection is not idle")
    };
    fixture.turn.now = until - 1;
    assert_eq!(fixture.backend.reuse_denial(fixture.turn.now, id), None);
    fixture.turn.now = until;
    assert_eq!(fixture.backend.take_reusable(&mut fixture.turn, MEMBER), None);
    assert!(fixture.backend.connections.is_empty(), "the connection is still open");
}

/// Once a db host is listed at another address, a connection to the former one must not be used again.
#[test]
fn pooled_connection_to_a_former_address_is_not_leased() {
    let mut fixture = Fixture::open();
    let mut server = fixture.pool_connection();
    let moved = TcpListener::bind("127.0.0.1:0").expect("cannot bind a port");
    let addr = moved.local_addr().expect("no local address");
    // A job is out on the connection, so that the change of address does not close it.
    fixture.backend.execute(&mut fixture.turn, &mut fixture.exchange, BackendCommand::Probe(MEMBER));
    let listed = ListedHost { id: "s".to_owned(), member: MEMBER, addr, phase: Phase::Up };
    fixture.backend.apply_list(&mut fixture.turn, &mut fixture.exchange, ListKind::Full, &[listed]);
    assert_eq!(fixture.backend.connections.len(), 1);
    server.write_all(&[empty_query_answer(), report()].concat()).expect("the connection is closed");
    fixture.run_until(|backend| backend.probes.is_empty());
    assert_eq!(fixture.backend.take_reusable(&mut fixture.turn, MEMBER), None);
    assert!(fixture.backend.connections.is_empty(), "the connection is still open");
}

/// In a long turn, the time for ReadyForQuery may pass while ReadyForQuery has arrived but is unread. The
/// connection must be closed after an error, or the db host would see two attempts at once.
#[test]
fn error_with_unread_ready_for_query_closes_its_connection() {
    const PATIENCE: Micros = 60_000_000;
    let mut fixture = Fixture::open();
    let mut server = fixture.pool_connection();
    let attempt = AttemptId { request: RequestId(1), number: 0 };
    let body = Rc::new(Body::new(b"SELECT 1".to_vec(), None, AnswerForm::Value));
    let until = fixture.turn.clock.now() + PATIENCE;
    let command = BackendCommand::Start { attempt, member: MEMBER, body, until, write_by: until };
    fixture.backend.execute(&mut fixture.turn, &mut fixture.exchange, command);
    let error = Writer::default().message(b'E', &[b"SERROR\0CXX000\0Mbroken\0\0"]).0;
    server.write_all(&[empty_query_answer(), error].concat()).expect("the connection is closed");
    let awaits_ready = |s: &HostConnection| matches!(s.stage, Stage::Busy { ready_by: Some(_), .. });
    fixture.run_until(|backend| backend.connections.values().any(awaits_ready));
    server.write_all(&Writer::default().ready().0).expect("the connection is closed");
    while fixture.backend.connections.values().all(|s| s.polled.is_quiet()) {}
    fixture.turn.now += PATIENCE / 2;
    while let Some(due) = fixture.turn.deadlines.pop_expired(fixture.turn.now) {
        if let DeadlineKind::Server(id) = due {
            fixture.backend.connection_due(&mut fixture.turn, &mut fixture.exchange, id);
        }
    }
    assert!(fixture.backend.attempts.is_empty(), "the attempt has not ended");
    assert!(fixture.backend.connections.is_empty(), "the connection is still open");
}

/// A db host may notice the end of an attempt's connection after it has read another connection's bytes. The
/// attempt must count as out until the db host has closed that connection, or two attempts could be out at
/// once.
#[test]
fn abandoned_attempt_is_out_until_its_db_host_closes_the_connection() {
    let mut fixture = Fixture::open();
    let (mut server, attempt) = fixture.start_attempt();
    fixture.backend.give_up(&mut fixture.turn, &mut fixture.exchange, attempt, Ending::Timeout);
    assert_eq!(server.read(&mut [0]).expect("the connection was reset instead of closed"), 0);
    fixture.advance_time(HOST_END_TIMEOUT - 1);
    assert!(fixture.backend.attempts.contains_key(&attempt), "the attempt ended before its connection");
    drop(server);
    fixture.run_until(|backend| backend.connections.is_empty());
    assert!(fixture.backend.attempts.is_empty(), "the connection has ended, but the attempt counts as out");
}

/// A hung db host never closes the connection of an attempt that was given up. The attempt must end
/// nevertheless, so that it can be repeated elsewhere, and its connection must be reset.
#[test]
fn abandoned_attempt_at_a_silent_db_host_ends_with_a_reset() {
    let mut fixture = Fixture::open();
    let (mut server, attempt) = fixture.start_attempt();
    fixture.backend.give_up(&mut fixture.turn, &mut fixture.exchange, attempt, Ending::Timeout);
    assert_eq!(server.read(&mut [0]).expect("the connection is not closed"), 0);
    fixture.advance_time(HOST_END_TIMEOUT);
    assert!(fixture.backend.attempts.is_empty() && fixture.backend.connections.is_empty());
    let answer = Writer::default().ready().0;
    while server.write_all(&answer).is_ok() {}
    let end = server.write_all(&answer).expect_err("the connection is still open").kind();
    assert!(matches!(end, ErrorKind::BrokenPipe | ErrorKind::ConnectionReset), "{end:?}");
}
