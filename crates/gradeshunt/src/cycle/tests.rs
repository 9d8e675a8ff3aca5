//! Tests of the event loop.

use std::path::Path;

use leadmast::Micros;
use slog::{o, Discard, Logger};

use super::*;
use crate::config::Config;

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
    let mut config =
        Config::load(Some(Path::new("../../examples/config.json"))).expect("the example is readable");
    let mut cycle = ProxyLoop::open().expect("a poll");
    let core = Core::new(&mut config, cycle.event_loop(), Logger::root(Discard, o!())).expect("a core");
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
