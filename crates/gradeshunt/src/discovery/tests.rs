//! Tests of the part named by the folder: real connections, and a clock that the test sets.

use std::io::{Read, Write};
use std::net::TcpListener;

use calloop::EventLoop;
use slog::{o, Discard, Logger};

use super::*;
use crate::turn::Ready;

const SILENCE: Micros = 3_000_000;
const HEAD: &[u8] = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

struct Play {
    turn: Turn,
    discovery: Discovery,
    agent: TcpListener,
    news: Vec<News>,
    _poll: EventLoop<'static, Ready>,
}

impl Play {
    /// The proxy that has `at` as its turn among its fleet, with a watch that was opened at 0.
    fn open(at: f64, pushed: Option<Micros>) -> Play {
        let poll = EventLoop::<Ready>::try_new().expect("a poll");
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
    fn answer(&mut self, bytes: &[u8]) -> std::net::TcpStream {
        let (mut call, _) = self.agent.accept().expect("a call");
        let id = *self.discovery.calls.last_key_value().expect("a call").0;
        let mut head = Vec::new();
        while !head.ends_with(b"\r\n\r\n") {
            self.discovery.ready(&mut self.turn, id, &mut self.news);
            call.set_nonblocking(true).expect("it can be set");
            let _ = call.read_to_end(&mut head);
        }
        call.write_all(bytes).expect("it is open");
        while self.discovery.calls.get(&id).is_some_and(|c| !c.heard) {
            self.discovery.ready(&mut self.turn, id, &mut self.news);
        }
        call
    }

    /// Lets time go on to the next deadline, and tells when and what that was.
    fn next(&mut self) -> (Micros, Due) {
        let at = self.turn.deadlines.next().expect("a deadline");
        self.turn.now = at;
        let due = self.turn.deadlines.pop(at).expect("it is due");
        match due {
            Due::Call(id) => self.discovery.call_due(&mut self.turn, id, &mut self.news),
            Due::Reopen => self.discovery.reopen_due(&mut self.turn, &mut self.news),
            other => panic!("{other:?}"),
        }
        (at, due)
    }
}

/// Guards what a silent watch misses: it counts as told 6 s after the silence began, or 2 s after the wait of the call that
/// follows. The watch is opened anew by itself, within a second of being known for silent, each proxy at its turn.
#[test]
fn silent_watch_is_opened_anew_each_proxy_at_its_turn() {
    let mut reopened = Vec::new();
    for at in [0.1, 0.5, 0.9] {
        let mut play = Play::open(at, None);
        let _silent = play.answer(HEAD);
        assert_eq!(play.next().0, SILENCE);
        assert!(play.news.is_empty(), "nobody is told of a failure, and none waits for that");
        let (at, due) = play.next();
        assert_eq!(due, Due::Reopen);
        reopened.push(at - SILENCE);
        play.answer(HEAD);
        assert_eq!(play.discovery.calls.len(), 1, "one watch at a time");
    }
    assert_eq!(reopened, [100_000, 500_000, 900_000]);
}

/// Guards against a watch that is opened again and again at a discovery that takes calls and says nothing: one that was
/// never heard is a failure, and the decisions say when to ask.
#[test]
fn watch_that_was_never_heard_has_failed() {
    let mut play = Play::open(0.5, None);
    assert_eq!(play.next().0, SILENCE);
    assert!(matches!(&play.news[..], [news] if news.kind == ListKind::Failed));
    assert!(play.turn.deadlines.next().is_none());
}

/// Guards drains that come while no watch stands, where lists are pushed: what the agent has counts as told. One that
/// refuses, falls silent or ends is called again within what a drain grants.
#[test]
fn pushed_list_is_watched_again_soon_whatever_ends_the_watch() {
    let mut play = Play::open(0.5, Some(60_000));
    let call = play.answer(HEAD);
    assert_eq!((play.next().0, play.next()), (SILENCE, (SILENCE + 60_000, Due::Reopen)));
    drop(call);
    let id = *play.discovery.calls.last_key_value().expect("a call").0;
    drop(play.answer(HEAD));
    while play.discovery.calls.contains_key(&id) {
        play.discovery.ready(&mut play.turn, id, &mut play.news);
    }
    assert_eq!(play.next(), (SILENCE + 120_000, Due::Reopen));
    assert!(play.news.is_empty(), "the decisions have no part in it");
}
