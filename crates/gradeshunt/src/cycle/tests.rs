//! Tests of the event loop.

use std::path::Path;

use leadmast::Micros;
use slog::{o, Discard, Logger};

use super::*;
use crate::config::Config;
use crate::ids::{ServerId, SessionId};

/// A processing time of a source beyond the slack of the remaining wait that is sent to a db host.
const LONG_PROCESSING: Micros = 60_000;

/// Parts that take long to process an operator's call and record the time when they process a file operation.
struct Slow {
    core: Core,
    /// How far the turn's time was behind the clock when the file operation was processed.
    behind: Option<Micros>,
    /// The time since which input of the file operation may have been unread.
    arrived: Option<Micros>,
}

impl Handlers for Slow {
    fn core(&mut self) -> &mut Core {
        &mut self.core
    }

    fn on_event(&mut self, source: EventSource) {
        let turn = &self.core.turn;
        match source {
            EventSource::Control => {
                let began = turn.clock.now();
                while turn.clock.now() < began + LONG_PROCESSING {}
            }
            _ => {
                self.behind = Some(turn.clock.now() - turn.now);
                self.arrived = Some(turn.now - turn.unread_for);
            }
        }
    }

    fn on_deadline(&mut self, _: DeadlineKind) {}
}

/// Requests at the end of a long turn use the current time and not that of the turn's start; otherwise their
/// db hosts would be sent too long a remaining wait.
#[test]
fn time_advances_within_a_turn() {
    let (mut cycle, core) = open_loop();
    let mut handlers = Slow { core, behind: None, arrived: None };
    let began = handlers.core.turn.clock.now();
    handlers.core.turn.now = began;
    for source in [EventSource::Control, EventSource::FileTask] {
        handlers.core.turn.defer(source);
    }
    cycle.run_turn(&mut handlers, Some(Duration::ZERO)).expect("a turn");
    assert!(handlers.behind.is_some_and(|behind| behind < LONG_PROCESSING), "{:?}", handlers.behind);
    assert!(
        handlers.arrived.is_some_and(|arrived| arrived < began + LONG_PROCESSING),
        "{:?}, {began}",
        handlers.arrived
    );
}

/// Opens a loop with a control part, in which no time has passed.
fn open_loop() -> (ProxyLoop, Core) {
    let mut config =
        Config::load(Some(Path::new("../../examples/config.json"))).expect("the example is readable");
    let cycle = ProxyLoop::open().expect("a poll");
    let core = Core::new(&mut config, cycle.event_loop(), Logger::root(Discard, o!())).expect("a core");
    (cycle, core)
}

/// Parts whose clients have work without end, each share of which takes long.
struct Busy {
    core: Core,
    clients: u32,
    hosts: u32,
    deadlines: u32,
}

impl Handlers for Busy {
    fn core(&mut self) -> &mut Core {
        &mut self.core
    }

    fn on_event(&mut self, source: EventSource) {
        let turn = &mut self.core.turn;
        if let EventSource::Session(_) = source {
            self.clients += 1;
            let began = turn.clock.now();
            while turn.clock.now() < began + PHASE_TIME / 2 {}
            turn.defer(source);
        } else {
            self.hosts += 1;
        }
    }

    fn on_deadline(&mut self, _: DeadlineKind) {
        self.deadlines += 1;
    }
}

/// Guards db hosts and deadlines against clients that together have more work than a turn has time for.
#[test]
fn clients_with_much_work_leave_time_for_db_hosts_and_deadlines() {
    const CLIENTS: u64 = 100;
    let (mut cycle, core) = open_loop();
    let mut busy = Busy { core, clients: 0, hosts: 0, deadlines: 0 };
    let turn = &mut busy.core.turn;
    turn.now = turn.clock.now();
    (0..CLIENTS).for_each(|n| turn.defer(EventSource::Session(SessionId(n))));
    turn.defer(EventSource::Server(ServerId(0)));
    turn.deadlines.set(turn.now, DeadlineKind::Summary);
    cycle.run_turn(&mut busy, Some(Duration::ZERO)).expect("a turn");
    assert!((1..=2).contains(&busy.clients), "{} clients had a share", busy.clients);
    assert_eq!((busy.hosts, busy.deadlines), (1, 1));
    assert_eq!(ProxyLoop::wait(&busy.core), Some(Duration::ZERO), "the rest is not forgotten");
    let clients_left = busy.core.turn.ready.len(Phase::Clients);
    assert_eq!(clients_left, CLIENTS as usize);
}

/// Parts that set a deadline for now whenever one has expired.
struct Restless {
    core: Core,
    deadlines: u32,
}

impl Handlers for Restless {
    fn core(&mut self) -> &mut Core {
        &mut self.core
    }

    fn on_event(&mut self, _: EventSource) {}

    fn on_deadline(&mut self, due: DeadlineKind) {
        const TOO_MANY: u32 = 1_000;
        self.deadlines += 1;
        assert!(self.deadlines < TOO_MANY, "the turn does not end");
        let turn = &mut self.core.turn;
        let now = turn.clock.now();
        while turn.clock.now() == now {}
        turn.deadlines.set(turn.clock.now(), due);
    }
}

/// Guards against a turn that does not end, because each deadline sets another one that has expired by the
/// time it is looked at.
#[test]
fn deadline_that_is_set_anew_for_now_ends_its_turn() {
    let (mut cycle, core) = open_loop();
    let mut restless = Restless { core, deadlines: 0 };
    restless.core.turn.deadlines.set(0, DeadlineKind::Summary);
    cycle.run_turn(&mut restless, Some(Duration::ZERO)).expect("a turn");
    assert_eq!(restless.deadlines, 1);
}
