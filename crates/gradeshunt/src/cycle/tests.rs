//! Tests of the part named by the folder.

use std::path::Path;

use leadmast::Micros;
use slog::{o, Discard, Logger};

use super::*;
use crate::config::Config;

/// A source that takes longer than the slack of the time told to a db host.
const LONG: Micros = 60_000;

/// Parts of which the operators' calls take long, and file work looks at the clock.
struct Slow {
    core: Core,
    /// By how much the time of the turn was behind when file work was worked off.
    behind: Option<Micros>,
    arrived: Option<Micros>,
}

impl Parts for Slow {
    fn core(&mut self) -> &mut Core {
        &mut self.core
    }

    fn event(&mut self, source: Source) {
        let turn = &self.core.turn;
        match source {
            Source::Control => {
                let began = turn.clock.now();
                while turn.clock.now() < began + LONG {}
            }
            _ => {
                self.behind = Some(turn.clock.now() - turn.now);
                self.arrived = Some(turn.now - turn.unread);
            }
        }
    }

    fn due(&mut self, _: Due) {}
}

/// Guards the time told: requests at the end of a long turn must not tell the time of its beginning.
#[test]
fn time_goes_on_within_a_turn() {
    let mut config = Config::load(Some(Path::new("../../examples/config.json"))).expect("the example");
    let mut cycle = Cycle::open().expect("a poll");
    let core = Core::new(&mut config, cycle.event_loop(), Logger::root(Discard, o!())).expect("a core");
    let mut parts = Slow { core, behind: None, arrived: None };
    parts.core.turn.again = vec![Source::Control, Source::Files];
    let began = parts.core.turn.clock.now();
    cycle.turn(&mut parts, Some(Duration::ZERO)).expect("a turn");
    assert!(parts.behind.is_some_and(|behind| behind < LONG), "{:?}", parts.behind);
    assert!(parts.arrived.is_some_and(|arrived| arrived < began + LONG), "{:?}, {began}", parts.arrived);
}
