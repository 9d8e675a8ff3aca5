//! Tests of the part named by the folder.

mod late_connections;
mod late_copies;
mod written_attempts;

use std::io::{ErrorKind, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::rc::Rc;

use gradeshunt_placement::Source;
use leadmast::{ClassId, Ending, Entry, GroupId, ListKind, MemberId, Micros, Phase, RequestId, ZoneId};

use super::connection::{Server, Stage};
use super::ending::HOST_END_TIMEOUT;
use super::hosts::Listed;
use super::jobs::unsent_ending;
use super::Backend;
use crate::deadlines::DeadlineKind;
use crate::exchange::{AttemptId, Body, Call, Exchange, Form, Order};
use crate::pg::Writer;
use crate::turn::{ReadySources, Turn};

/// Guards what the decisions learn of a host that has vanished: attempts there seldom live to see the connect
/// time-out, and each that tells nothing is followed by another.
#[test]
fn attempt_that_waited_in_vain_for_a_connection_tells_of_it() {
    assert_eq!(unsent_ending(Ending::Timeout, 125_000, 250_000), Ending::ConnectFailed);
    assert_eq!(unsent_ending(Ending::Timeout, 124_999, 250_000), Ending::Moot);
    assert_eq!(unsent_ending(Ending::Cancelled, 250_000, 250_000), Ending::Moot);
}

/// A server side with one db host that the test plays, and a clock that the test sets.
struct Play {
    backend: Backend,
    exchange: Exchange,
    turn: Turn,
    host: TcpListener,
    _poll: calloop::EventLoop<'static, ReadySources>,
}

const MEMBER: MemberId = MemberId(0);
/// The wait of a request whose client waits long.
const LONG_WAIT: Micros = 60_000_000;

/// A load report, as a db host answers a probe.
fn report() -> Vec<u8> {
    let writer = Writer::default().message(b'T', &[&[0, 1], b"pressure\0", &[0; 18]]);
    let writer = writer.message(b'D', &[&[0, 1, 0, 0, 0, 4], b"x1=1"]);
    writer.message(b'C', &[b"SHOW\0"]).ready().0
}

/// The answer to an empty query, which stands before each request that follows another one on a connection.
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
fn call(class: ClassId, group: GroupId) -> Call {
    Call {
        class,
        group,
        key: None,
        deadline: LONG_WAIT,
        since_write: None,
        repeat: false,
        checked: false,
        tenant: None,
        source: Source::Client,
        body: Body::new(b"SELECT 1".to_vec(), None, Form::Value),
    }
}

impl Play {
    fn open() -> Play {
        Play::open_with(|_| {})
    }

    /// Opens one whose configuration is edited.
    fn open_with(edit: impl Fn(&mut serde_json::Value)) -> Play {
        let poll = calloop::EventLoop::<ReadySources>::try_new().expect("a poll");
        let mut turn = Turn::new(poll.handle(), slog::Logger::root(slog::Discard, slog::o!()));
        turn.now = 0;
        let config = std::fs::read_to_string("../../examples/config.json").expect("the example");
        let mut config: serde_json::Value = serde_json::from_str(&config).expect("JSON");
        edit(&mut config);
        let facts = leadmast::settings::read(&config["settings"]).expect("settings");
        let mut exchange = Exchange::new(facts.settings.clone(), Vec::new(), 7, 0);
        let mut backend = Backend::new(facts.connections, &facts.names);
        backend.limit(&mut turn, 10);
        let host = TcpListener::bind("127.0.0.1:0").expect("a port");
        let addr = host.local_addr().expect("an address");
        let listed = Listed { id: "s".to_owned(), member: MEMBER, addr, phase: Phase::Up };
        backend.list(&mut turn, &mut exchange, ListKind::Full, &[listed]);
        Play { backend, exchange, turn, host, _poll: poll }
    }

    /// Has what came worked off until nothing of it is under way.
    fn until(&mut self, done: impl Fn(&Backend) -> bool) {
        while !done(&self.backend) {
            let servers: Vec<_> = self.backend.servers.keys().copied().collect();
            for id in servers {
                self.backend.ready(&mut self.turn, &mut self.exchange, id);
            }
        }
    }

    /// Asks for a load report on a connection that comes up for it, which is pooled then.
    fn pool_connection(&mut self) -> TcpStream {
        self.backend.carry_out(&mut self.turn, &mut self.exchange, Order::Probe(MEMBER));
        let (mut server, _) = self.host.accept().expect("it connects");
        server.set_nodelay(true).expect("it can be set");
        server.write_all(&Writer::default().message(b'R', &[&[0; 4]]).ready().0).expect("it is open");
        self.until(|backend| backend.hosts[&MEMBER].starting == 0);
        server.write_all(&report()).expect("it is open");
        self.until(|backend| backend.hosts[&MEMBER].idle.len() == 1);
        server
    }

    /// An attempt of a request whose client waits long is out on a pooled connection, where its db host has read it and is silent.
    fn attempt_out(&mut self) -> (TcpStream, AttemptId) {
        let mut server = self.pool_connection();
        let attempt = self.attempt_out_on(&mut server);
        (server, attempt)
    }

    /// The same, on this pooled connection.
    fn attempt_out_on(&mut self, server: &mut TcpStream) -> AttemptId {
        let group = GroupId(0);
        self.exchange.members(&mut self.turn, ListKind::Full, vec![entry(group, true)]);
        self.exchange.submit(&mut self.turn, call(ClassId(0), group));
        while let Some(order) = self.exchange.orders.pop_front() {
            self.backend.carry_out(&mut self.turn, &mut self.exchange, order);
        }
        let mut query = Vec::new();
        while !query.ends_with(b"SELECT 1\0") {
            let mut bytes = [0; 64];
            let n = server.read(&mut bytes).expect("it is open");
            query.extend(&bytes[..n]);
        }
        *self.backend.attempts.keys().next().expect("it is out")
    }

    /// So much time passes.
    fn pass(&mut self, time: Micros) {
        self.turn.now += time;
        while let Some(due) = self.turn.deadlines.pop_expired(self.turn.now) {
            if let DeadlineKind::Server(id) = due {
                self.backend.server_due(&mut self.turn, &mut self.exchange, id);
            }
        }
    }
}

/// Guards requests of a process that stood still: a connection that has rested for longer than its db host may keep it is not used
/// for what is worked off before its deadline.
#[test]
fn pooled_connection_that_has_expired_is_not_leased() {
    let mut play = Play::open();
    let _server = play.pool_connection();
    let id = play.backend.hosts[&MEMBER].idle[0];
    let Stage::Idle { until, .. } = play.backend.servers[&id].stage else { panic!("it is idle") };
    play.turn.now = until - 1;
    assert_eq!(play.backend.reuse_denial(play.turn.now, id), None);
    play.turn.now = until;
    assert_eq!(play.backend.lease(&mut play.turn, MEMBER), None);
    assert!(play.backend.servers.is_empty(), "it is closed");
}

/// Guards requests against a former address: a connection that leads there is not used once its db host is listed elsewhere.
#[test]
fn pooled_connection_to_a_former_address_is_not_leased() {
    let mut play = Play::open();
    let mut server = play.pool_connection();
    let moved = TcpListener::bind("127.0.0.1:0").expect("a port");
    let addr = moved.local_addr().expect("an address");
    // A job is out there, so that the move does not close the connection.
    play.backend.carry_out(&mut play.turn, &mut play.exchange, Order::Probe(MEMBER));
    let listed = Listed { id: "s".to_owned(), member: MEMBER, addr, phase: Phase::Up };
    play.backend.list(&mut play.turn, &mut play.exchange, ListKind::Full, &[listed]);
    assert_eq!(play.backend.servers.len(), 1);
    server.write_all(&[empty_query_answer(), report()].concat()).expect("it is open");
    play.until(|backend| backend.probes.is_empty());
    assert_eq!(play.backend.lease(&mut play.turn, MEMBER), None);
    assert!(play.backend.servers.is_empty(), "it is closed");
}

/// Guards against two attempts at once: in a long turn the time for ReadyForQuery may be over while ReadyForQuery stands unread.
#[test]
fn error_whose_ready_for_query_stands_unread_leaves_no_connection_open() {
    const PATIENCE: Micros = 60_000_000;
    let mut play = Play::open();
    let mut server = play.pool_connection();
    let attempt = AttemptId { request: RequestId(1), number: 0 };
    let body = Rc::new(Body::new(b"SELECT 1".to_vec(), None, Form::Value));
    let until = play.turn.clock.now() + PATIENCE;
    let order = Order::Start { attempt, member: MEMBER, body, until, write_by: until };
    play.backend.carry_out(&mut play.turn, &mut play.exchange, order);
    let error = Writer::default().message(b'E', &[b"SERROR\0CXX000\0Mbroken\0\0"]).0;
    server.write_all(&[empty_query_answer(), error].concat()).expect("it is open");
    let awaits_ready = |s: &Server| matches!(s.stage, Stage::Busy { ready_by: Some(_), .. });
    play.until(|backend| backend.servers.values().any(awaits_ready));
    server.write_all(&Writer::default().ready().0).expect("it is open");
    while play.backend.servers.values().all(|s| s.polled.is_quiet()) {}
    play.turn.now += PATIENCE / 2;
    while let Some(due) = play.turn.deadlines.pop_expired(play.turn.now) {
        if let DeadlineKind::Server(id) = due {
            play.backend.server_due(&mut play.turn, &mut play.exchange, id);
        }
    }
    assert!(play.backend.attempts.is_empty(), "the attempt has ended");
    assert!(play.backend.servers.is_empty(), "its connection is open");
}

/// Guards against two attempts at once: a db host may work off the end of an attempt's connection later than another connection's bytes.
/// The attempt counts as out until the db host has ended that connection, too.
#[test]
fn attempt_that_was_given_up_is_out_until_its_db_host_has_ended_its_connection() {
    let mut play = Play::open();
    let (mut server, attempt) = play.attempt_out();
    play.backend.give_up(&mut play.turn, &mut play.exchange, attempt, Ending::Timeout);
    assert_eq!(server.read(&mut [0]).expect("an end, and no reset"), 0);
    play.pass(HOST_END_TIMEOUT - 1);
    assert!(play.backend.attempts.contains_key(&attempt), "another attempt may follow");
    drop(server);
    play.until(|backend| backend.servers.is_empty());
    assert!(play.backend.attempts.is_empty(), "its end is known, and it counts as out");
}

/// Guards repeats at hung db hosts, which show no end: the attempt ends all the same, and its connection is reset.
#[test]
fn attempt_that_was_given_up_at_a_silent_db_host_ends_with_a_reset() {
    let mut play = Play::open();
    let (mut server, attempt) = play.attempt_out();
    play.backend.give_up(&mut play.turn, &mut play.exchange, attempt, Ending::Timeout);
    play.pass(HOST_END_TIMEOUT);
    assert!(play.backend.attempts.is_empty() && play.backend.servers.is_empty());
    assert_eq!(server.read(&mut [0]).expect("an end"), 0);
    let answer = Writer::default().ready().0;
    while server.write_all(&answer).is_ok() {}
    let end = server.write_all(&answer).expect_err("it is closed").kind();
    assert!(matches!(end, ErrorKind::BrokenPipe | ErrorKind::ConnectionReset), "{end:?}");
}
