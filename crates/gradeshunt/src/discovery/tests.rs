//! Tests of the part named by the folder: real connections, and a clock that the test sets.

use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};

use calloop::EventLoop;
use leadmast::{Action, Balancer, Event, TimerTag};
use slog::{o, Discard, Logger};

use super::*;
use crate::turn::ReadySources;

const SILENCE: Micros = 3_000_000;
const HEAD: &[u8] = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

struct Play {
    turn: Turn,
    discovery: Discovery,
    agent: TcpListener,
    news: Vec<News>,
    _poll: EventLoop<'static, ReadySources>,
}

impl Play {
    /// The proxy that has `at` as its turn among its fleet, with a watch that was opened at 0.
    fn open(at: f64, pushed: Option<Micros>) -> Play {
        let poll = EventLoop::<ReadySources>::try_new().expect("a poll");
        let turn = Turn::new(poll.handle(), Logger::root(Discard, o!()));
        let agent = TcpListener::bind("127.0.0.1:0").expect("a port");
        let addr = agent.local_addr().expect("an address");
        let discovery = Discovery::new(addr, SILENCE, Names::default(), Pace { pushed, turn: at });
        let mut play = Play { turn, discovery, agent, news: Vec::new(), _poll: poll };
        play.turn.now = 0;
        play.discovery.ask(&mut play.turn, Ask::Watch, &mut play.news);
        play
    }

    /// Discovery takes the call, and answers it with these bytes; they have been heard once this returns.
    fn answer(&mut self, bytes: &[u8]) -> TcpStream {
        let (mut call, _) = self.agent.accept().expect("a call");
        let id = *self.discovery.calls.last_key_value().expect("a call").0;
        let mut head = Vec::new();
        while !head.ends_with(b"\r\n\r\n") {
            self.discovery.ready(&mut self.turn, id, &mut self.news);
            call.set_nonblocking(true).expect("it can be set");
            let _ = call.read_to_end(&mut head);
        }
        call.write_all(bytes).expect("it is open");
        self.hear(id);
        call
    }

    /// Waits for bytes of discovery, and has them read.
    fn hear(&mut self, id: CallId) {
        while self.discovery.calls[&id].polled.is_quiet() {
            std::thread::yield_now();
        }
        self.discovery.ready(&mut self.turn, id, &mut self.news);
    }

    /// Lets time go on to the next deadline, and tells when and what that was.
    fn next(&mut self) -> (Micros, DeadlineKind) {
        let at = self.turn.deadlines.earliest().expect("a deadline");
        self.turn.now = at;
        let due = self.turn.deadlines.pop_expired(at).expect("it is due");
        match due {
            DeadlineKind::Call(id) => self.discovery.call_due(&mut self.turn, id, &mut self.news),
            DeadlineKind::ReopenWatch => self.discovery.reopen_due(&mut self.turn, &mut self.news),
            other => panic!("{other:?}"),
        }
        (at, due)
    }
}

/// Guards what a silent watch misses: it counts as told 6 s after the silence began, or 2 s after the wait of the call that
/// follows. The watch is opened anew by itself, within half a second of being known for silent, each proxy at its turn.
#[test]
fn silent_watch_is_opened_anew_each_proxy_at_its_turn() {
    let mut reopened = Vec::new();
    for at in [0.1, 0.5, 0.9] {
        let mut play = Play::open(at, None);
        let _silent = play.answer(HEAD);
        assert_eq!(play.next().0, SILENCE);
        assert!(play.news.is_empty(), "nobody is told of a failure, and none waits for that");
        let (at, due) = play.next();
        assert_eq!(due, DeadlineKind::ReopenWatch);
        reopened.push(at - SILENCE);
        play.answer(HEAD);
        assert_eq!(play.discovery.calls.len(), 1, "one watch at a time");
    }
    assert_eq!(reopened, [50_000, 250_000, 450_000]);
}

/// Guards against a watch that is opened again and again at a discovery that takes calls and says nothing: one that was
/// never heard is waited for as long as one that was, and the next one comes at the proxy's turn, never at once.
#[test]
fn watch_that_is_never_heard_is_opened_anew_at_its_turn_and_not_at_once() {
    let mut play = Play::open(0.5, None);
    let mut opened = 0;
    for _ in 0..3 {
        assert_eq!(play.next().0, opened + SILENCE);
        assert!(play.discovery.calls.is_empty(), "none before its turn");
        assert!(play.news.is_empty(), "nobody is told of a failure, and none waits for that");
        assert_eq!(play.next(), (opened + SILENCE + 250_000, DeadlineKind::ReopenWatch));
        assert_eq!(play.discovery.calls.len(), 1, "one watch at a time");
        opened = play.turn.now;
    }
}

/// Guards drains that come while no watch stands, where lists are pushed: what the agent has counts as told. One that
/// refuses, falls silent or ends is called again within what a drain grants.
#[test]
fn pushed_list_is_watched_again_soon_whatever_ends_the_watch() {
    let mut play = Play::open(0.5, Some(60_000));
    let call = play.answer(HEAD);
    assert_eq!((play.next().0, play.next()), (SILENCE, (SILENCE + 60_000, DeadlineKind::ReopenWatch)));
    drop(call);
    let id = *play.discovery.calls.last_key_value().expect("a call").0;
    drop(play.answer(HEAD));
    while play.discovery.calls.contains_key(&id) {
        play.discovery.ready(&mut play.turn, id, &mut play.news);
    }
    assert_eq!(play.next(), (SILENCE + 120_000, DeadlineKind::ReopenWatch));
    assert!(play.news.is_empty(), "the decisions have no part in it");
}

/// What discovery has to tell counts as told this long after it had it and could be reached, whatever failed.
const COUNTS_AS_TOLD: Micros = 6_000_000;
/// The same after SIGHUP.
const COUNTS_AFTER_RELOAD: Micros = 4_000_000;
/// What is left of that time for the call that brings it.
const CALL: Micros = 500_000;

/// How one call comes to nothing.
#[derive(Clone, Copy, Debug)]
enum Fault {
    /// It is taken, and nothing is ever said.
    NeverHeard,
    /// The watch stands, and falls silent.
    Silent,
    /// The watch stands, and a line drips that never ends.
    Drips,
    /// The connection ends at once.
    Refused,
}

/// A proxy's discovery, with the decisions that say when a failed call is repeated.
struct Repeating {
    play: Play,
    decisions: Balancer,
    /// What discovery holds open and says nothing on.
    open: Vec<TcpStream>,
}

impl Repeating {
    fn open(turn: f64, seed: u64) -> Repeating {
        let config = std::fs::read_to_string("../../examples/config.json").expect("the example");
        let config: Value = serde_json::from_str(&config).expect("JSON");
        let facts = leadmast::settings::read(&config["settings"]).expect("settings");
        assert!(facts.settings.list_on_request);
        let decisions = Balancer::new(facts.settings, seed, 0);
        let mut repeating = Repeating { play: Play::open(turn, None), decisions, open: Vec::new() };
        repeating.decide(Event::Timer { tag: TimerTag(0) });
        repeating
    }

    fn decide(&mut self, event: Event) {
        let Play { turn, discovery, news, .. } = &mut self.play;
        let mut actions = Vec::new();
        self.decisions.handle(turn.now, event, &mut actions);
        for action in actions {
            match action {
                Action::Timer { tag, at } => turn.deadlines.set(at, DeadlineKind::Module(tag)),
                Action::Watch => discovery.ask(turn, Ask::Watch, news),
                other => panic!("{other:?}"),
            }
        }
    }

    /// The decisions hear of each failure.
    fn tell_failures(&mut self) {
        for news in std::mem::take(&mut self.play.news) {
            assert_eq!(news.kind, ListKind::Failed);
            self.decide(Event::Members { kind: news.kind, entries: Vec::new() });
        }
    }

    fn latest_call(&self) -> Option<CallId> {
        self.play.discovery.calls.last_key_value().map(|(id, _)| *id)
    }

    /// The call that is out comes to nothing; time goes on until the next one is made.
    fn suffer(&mut self, fault: Fault) {
        let failed = self.latest_call();
        let call = match fault {
            Fault::Silent => self.play.answer(HEAD),
            Fault::NeverHeard => self.play.agent.accept().expect("a call").0,
            Fault::Drips => self.drip(),
            Fault::Refused => self.refuse(),
        };
        self.open.push(call);
        self.tell_failures();
        while self.latest_call() <= failed {
            let at = self.play.turn.deadlines.earliest().expect("a deadline");
            match self.play.turn.deadlines.pop_expired(at).expect("it is due") {
                DeadlineKind::Module(tag) => {
                    self.play.turn.now = at;
                    self.decide(Event::Timer { tag });
                }
                due => {
                    self.play.turn.deadlines.set(at, due);
                    self.play.next();
                }
            }
            self.tell_failures();
        }
    }

    /// Bytes of one line keep coming, up to the moment before the watch counts as silent.
    fn drip(&mut self) -> TcpStream {
        let mut call = self.play.answer(HEAD);
        let id = self.latest_call().expect("a call");
        let whole_by = self.play.discovery.calls[&id].due;
        for _ in 0..3 {
            self.play.turn.now += (whole_by - self.play.turn.now) / 2;
            call.write_all(b"1\r\n{\r\n").expect("it is open");
            self.play.hear(id);
        }
        call
    }

    fn refuse(&mut self) -> TcpStream {
        let id = self.latest_call().expect("a call");
        let (call, _) = self.play.agent.accept().expect("a call");
        call.shutdown(std::net::Shutdown::Both).expect("it is open");
        while self.play.discovery.calls.contains_key(&id) {
            self.play.discovery.ready(&mut self.play.turn, id, &mut self.play.news);
        }
        call
    }
}

/// The longest time until the call that follows these faults, over proxies of a fleet and draws of the decisions.
fn longest_until_heard(faults: &[Fault]) -> Micros {
    let mut longest = 0;
    for turn in [0.5 / 300.0, 0.5, 299.5 / 300.0] {
        for seed in 0..20 {
            let mut repeating = Repeating::open(turn, seed);
            faults.iter().for_each(|fault| repeating.suffer(*fault));
            longest = longest.max(repeating.play.turn.now);
        }
    }
    longest
}

/// Guards the time within which a change counts as told, whatever is allowed after a failed, refused or given-up call: a
/// watch that is silent in whatever way and a call that is refused, in both orders, leave time for the call that brings it.
#[test]
fn change_is_asked_for_in_time_after_a_silent_watch_and_a_refused_call() {
    let silent = [Fault::NeverHeard, Fault::Silent, Fault::Drips];
    let chains = silent.into_iter().flat_map(|silent| [[silent, Fault::Refused], [Fault::Refused, silent]]);
    let longest: Vec<_> = chains.map(|faults| (faults, longest_until_heard(&faults))).collect();
    assert!(longest.iter().all(|(_, took)| *took <= COUNTS_AS_TOLD - CALL), "us: {longest:?}");
}

/// Guards the 4 s after SIGHUP: the first watch at the new address is silent from its first moment.
#[test]
fn change_is_asked_for_in_time_after_a_silent_watch_at_a_new_address() {
    for turn in [0.5 / 300.0, 299.5 / 300.0] {
        for seed in 0..20 {
            let mut repeating = Repeating::open(turn, seed);
            repeating.open.push(repeating.play.answer(HEAD));
            let agent = TcpListener::bind("127.0.0.1:0").expect("a port");
            let addr = agent.local_addr().expect("an address");
            let Play { turn, discovery, news, .. } = &mut repeating.play;
            discovery.move_to(turn, addr, SILENCE, news);
            repeating.play.agent = agent;
            repeating.suffer(Fault::NeverHeard);
            let again = repeating.play.turn.now;
            assert!(again <= COUNTS_AFTER_RELOAD - CALL, "{again} us");
        }
    }
}
