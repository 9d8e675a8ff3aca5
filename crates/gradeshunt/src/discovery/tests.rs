//! Tests of the client with real connections and a clock that the test sets.

use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};

use calloop::EventLoop;
use leadmast::{Action, Balancer, Event, TimerTag};
use slog::{o, Discard, Logger};

use super::*;
use crate::turn::ReadySources;

const SILENCE: Micros = 3_000_000;
const HEAD: &[u8] = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

struct WatchFixture {
    turn: Turn,
    discovery: Discovery,
    agent: TcpListener,
    updates: Vec<ListUpdate>,
    _poll: EventLoop<'static, ReadySources>,
}

impl WatchFixture {
    /// A proxy with the place `at` in the order of its fleet, with a watch opened at time 0.
    fn open(at: f64, pushed: Option<Micros>) -> WatchFixture {
        let poll = EventLoop::<ReadySources>::try_new().expect("a poll");
        let turn = Turn::new(poll.handle(), Logger::root(Discard, o!()));
        let agent = TcpListener::bind("127.0.0.1:0").expect("a port");
        let addr = agent.local_addr().expect("an address");
        let discovery =
            Discovery::new(addr, SILENCE, Names::default(), WatchPolicy { pushed, fleet_position: at });
        let mut fixture = WatchFixture { turn, discovery, agent, updates: Vec::new(), _poll: poll };
        fixture.turn.now = 0;
        fixture.discovery.ask(&mut fixture.turn, DiscoveryCall::Watch, &mut fixture.updates);
        fixture
    }

    /// Accepts the call and answers it with these bytes; returns once the client has read them.
    fn answer(&mut self, bytes: &[u8]) -> TcpStream {
        let (mut call, _) = self.agent.accept().expect("a call");
        let id = *self.discovery.calls.last_key_value().expect("a call").0;
        let mut head = Vec::new();
        while !head.ends_with(b"\r\n\r\n") {
            self.discovery.ready(&mut self.turn, id, &mut self.updates);
            call.set_nonblocking(true).expect("it can be set");
            let _ = call.read_to_end(&mut head);
        }
        call.write_all(bytes).expect("it is open");
        self.wait_and_read(id);
        call
    }

    /// Waits for bytes from discovery, and has the client read them.
    fn wait_and_read(&mut self, id: CallId) {
        while self.discovery.calls[&id].polled.is_quiet() {
            std::thread::yield_now();
        }
        self.discovery.ready(&mut self.turn, id, &mut self.updates);
    }

    /// Moves time to the next deadline and handles it; returns its time and kind.
    fn next(&mut self) -> (Micros, DeadlineKind) {
        let at = self.turn.deadlines.earliest().expect("a deadline");
        self.turn.now = at;
        let due = self.turn.deadlines.pop_expired(at).expect("it is due");
        match due {
            DeadlineKind::Call(id) => self.discovery.call_due(&mut self.turn, id, &mut self.updates),
            DeadlineKind::ReopenWatch => self.discovery.reopen_due(&mut self.turn, &mut self.updates),
            other => panic!("{other:?}"),
        }
        (at, due)
    }
}

/// Guards news that a silent watch misses: the proxy counts as informed 6 s after the silence began, or 2 s
/// after the wait of the call that follows. The client reopens the watch by itself within half a second of
/// noticing the silence, each proxy at its own place in that time.
#[test]
fn silent_watches_are_reopened_spread_over_the_fleet() {
    let mut reopened = Vec::new();
    for at in [0.1, 0.5, 0.9] {
        let mut fixture = WatchFixture::open(at, None);
        let _silent = fixture.answer(HEAD);
        assert_eq!(fixture.next().0, SILENCE);
        assert!(fixture.updates.is_empty(), "no failure is reported, and nothing waits for one");
        let (at, due) = fixture.next();
        assert_eq!(due, DeadlineKind::ReopenWatch);
        reopened.push(at - SILENCE);
        fixture.answer(HEAD);
        assert_eq!(fixture.discovery.calls.len(), 1, "one watch at a time");
    }
    assert_eq!(reopened, [50_000, 250_000, 450_000]);
}

/// Guards against a proxy that reopens its watch again and again while discovery accepts calls and says
/// nothing: a watch that never delivered anything gets the same time as one that did, and the next one is
/// opened at the proxy's place in the order, never at once.
#[test]
fn watch_without_an_answer_is_not_reopened_at_once() {
    let mut fixture = WatchFixture::open(0.5, None);
    let mut opened = 0;
    for _ in 0..3 {
        assert_eq!(fixture.next().0, opened + SILENCE);
        assert!(fixture.discovery.calls.is_empty(), "no call before its place in the order");
        assert!(fixture.updates.is_empty(), "no failure is reported, and nothing waits for one");
        assert_eq!(fixture.next(), (opened + SILENCE + 250_000, DeadlineKind::ReopenWatch));
        assert_eq!(fixture.discovery.calls.len(), 1, "one watch at a time");
        opened = fixture.turn.now;
    }
}

/// Guards drains announced while no watch is open, where lists are pushed: the proxy counts as informed of
/// what the agent has. After a refused, silent or ended watch the client calls again within a drain's grace
/// period.
#[test]
fn pushed_list_is_watched_again_soon_after_any_end() {
    let mut fixture = WatchFixture::open(0.5, Some(60_000));
    let call = fixture.answer(HEAD);
    assert_eq!((fixture.next().0, fixture.next()), (SILENCE, (SILENCE + 60_000, DeadlineKind::ReopenWatch)));
    drop(call);
    let id = *fixture.discovery.calls.last_key_value().expect("a call").0;
    drop(fixture.answer(HEAD));
    while fixture.discovery.calls.contains_key(&id) {
        fixture.discovery.ready(&mut fixture.turn, id, &mut fixture.updates);
    }
    assert_eq!(fixture.next(), (SILENCE + 120_000, DeadlineKind::ReopenWatch));
    assert!(fixture.updates.is_empty(), "the decision library is not involved");
}

/// The proxy counts as informed of a change this long after discovery had it and could be reached, whatever
/// failed.
const INFORMED_WITHIN: Micros = 6_000_000;
/// The same after SIGHUP.
const INFORMED_AFTER_RELOAD: Micros = 4_000_000;
/// The part of that time reserved for the call that delivers the change.
const CALL_TIME: Micros = 500_000;

/// How one call fails.
#[derive(Clone, Copy, Debug)]
enum Fault {
    /// The call is accepted, and nothing is ever sent.
    NeverAnswers,
    /// The watch is established, and falls silent.
    Silent,
    /// The watch is established, and sends a line that never ends.
    EndlessLine,
    /// The connection ends at once.
    Refused,
}

/// A proxy's discovery client, with the decision library that says when a failed call is repeated.
struct RetryFixture {
    fixture: WatchFixture,
    balancer: Balancer,
    /// Connections that discovery holds open without sending anything.
    held_open: Vec<TcpStream>,
}

impl RetryFixture {
    fn open(turn: f64, seed: u64) -> RetryFixture {
        let config = std::fs::read_to_string("../../examples/config.json").expect("the example");
        let config: Value = serde_json::from_str(&config).expect("JSON");
        let facts = leadmast::settings::read(&config["settings"]).expect("settings");
        assert!(facts.settings.list_on_request);
        let balancer = Balancer::new(facts.settings, seed, 0);
        let mut retry =
            RetryFixture { fixture: WatchFixture::open(turn, None), balancer, held_open: Vec::new() };
        retry.handle_event(Event::Timer { tag: TimerTag(0) });
        retry
    }

    fn handle_event(&mut self, event: Event) {
        let WatchFixture { turn, discovery, updates, .. } = &mut self.fixture;
        let mut actions = Vec::new();
        self.balancer.handle(turn.now, event, &mut actions);
        for action in actions {
            match action {
                Action::Timer { tag, at } => turn.deadlines.set(at, DeadlineKind::Module(tag)),
                Action::Watch => discovery.ask(turn, DiscoveryCall::Watch, updates),
                other => panic!("{other:?}"),
            }
        }
    }

    /// Reports each failure to the decision library.
    fn report_failures(&mut self) {
        for update in std::mem::take(&mut self.fixture.updates) {
            assert_eq!(update.kind, ListKind::Failed);
            self.handle_event(Event::Members { kind: update.kind, entries: Vec::new() });
        }
    }

    fn latest_call(&self) -> Option<CallId> {
        self.fixture.discovery.calls.last_key_value().map(|(id, _)| *id)
    }

    /// Makes the open call fail, and moves time until the next call is made.
    fn fail_call(&mut self, fault: Fault) {
        let failed = self.latest_call();
        let call = match fault {
            Fault::Silent => self.fixture.answer(HEAD),
            Fault::NeverAnswers => self.fixture.agent.accept().expect("a call").0,
            Fault::EndlessLine => self.send_endless_line(),
            Fault::Refused => self.refuse(),
        };
        self.held_open.push(call);
        self.report_failures();
        while self.latest_call() <= failed {
            let at = self.fixture.turn.deadlines.earliest().expect("a deadline");
            match self.fixture.turn.deadlines.pop_expired(at).expect("it is due") {
                DeadlineKind::Module(tag) => {
                    self.fixture.turn.now = at;
                    self.handle_event(Event::Timer { tag });
                }
                due => {
                    self.fixture.turn.deadlines.set(at, due);
                    self.fixture.next();
                }
            }
            self.report_failures();
        }
    }

    /// Sends bytes of one line until just before the watch counts as silent.
    fn send_endless_line(&mut self) -> TcpStream {
        let mut call = self.fixture.answer(HEAD);
        let id = self.latest_call().expect("a call");
        let whole_by = self.fixture.discovery.calls[&id].due;
        for _ in 0..3 {
            self.fixture.turn.now += (whole_by - self.fixture.turn.now) / 2;
            call.write_all(b"1\r\n{\r\n").expect("it is open");
            self.fixture.wait_and_read(id);
        }
        call
    }

    fn refuse(&mut self) -> TcpStream {
        let id = self.latest_call().expect("a call");
        let (call, _) = self.fixture.agent.accept().expect("a call");
        call.shutdown(std::net::Shutdown::Both).expect("it is open");
        while self.fixture.discovery.calls.contains_key(&id) {
            self.fixture.discovery.ready(&mut self.fixture.turn, id, &mut self.fixture.updates);
        }
        call
    }
}

/// The longest time until the call that follows these faults, over several proxies of a fleet and seeds.
fn longest_until_call(faults: &[Fault]) -> Micros {
    let mut longest = 0;
    for turn in [0.5 / 300.0, 0.5, 299.5 / 300.0] {
        for seed in 0..20 {
            let mut retry = RetryFixture::open(turn, seed);
            faults.iter().for_each(|fault| retry.fail_call(*fault));
            longest = longest.max(retry.fixture.turn.now);
        }
    }
    longest
}

/// Guards the time within which the proxy counts as informed of a change, whatever pause follows a failed,
/// refused or abandoned call: a silent watch of any kind and a refused call, in either order, leave time for
/// the call that delivers the change.
#[test]
fn change_is_asked_for_in_time_after_a_silent_watch_and_a_refused_call() {
    let silent = [Fault::NeverAnswers, Fault::Silent, Fault::EndlessLine];
    let chains = silent.into_iter().flat_map(|silent| [[silent, Fault::Refused], [Fault::Refused, silent]]);
    let longest: Vec<_> = chains.map(|faults| (faults, longest_until_call(&faults))).collect();
    assert!(longest.iter().all(|(_, took)| *took <= INFORMED_WITHIN - CALL_TIME), "us: {longest:?}");
}

/// Guards the 4 s after SIGHUP, where the first watch at the new address is silent from the start.
#[test]
fn change_is_asked_for_in_time_after_a_silent_watch_at_a_new_address() {
    for turn in [0.5 / 300.0, 299.5 / 300.0] {
        for seed in 0..20 {
            let mut retry = RetryFixture::open(turn, seed);
            retry.held_open.push(retry.fixture.answer(HEAD));
            let agent = TcpListener::bind("127.0.0.1:0").expect("a port");
            let addr = agent.local_addr().expect("an address");
            let WatchFixture { turn, discovery, updates, .. } = &mut retry.fixture;
            discovery.move_to(turn, addr, SILENCE, updates);
            retry.fixture.agent = agent;
            retry.fail_call(Fault::NeverAnswers);
            let again = retry.fixture.turn.now;
            assert!(again <= INFORMED_AFTER_RELOAD - CALL_TIME, "{again} us");
        }
    }
}
