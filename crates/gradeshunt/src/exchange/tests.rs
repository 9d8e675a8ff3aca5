//! Tests of the part named by the folder.

use gradeshunt_placement::Source;
use leadmast::invariant::Rule;
use leadmast::*;

use super::{AttemptId, AttemptTrace, Body, Call, ConnectionEnd, Ended, Exchange, Form, Order, Said};
use crate::turn::{ReadySources, Turn};

const GROUP: GroupId = GroupId(0);
const DEADLINE: Micros = 1_000_000;

/// An exchange that knows two db hosts, and the order to start the first attempt of a write.
struct Play {
    exchange: Exchange,
    turn: Turn,
    first: AttemptId,
    _poll: calloop::EventLoop<'static, ReadySources>,
}

fn entry(number: u32) -> Entry {
    Entry {
        member: MemberId(number),
        common: u64::from(number),
        group: GROUP,
        zone: ZoneId(0),
        weight: 1.0,
        since: None,
        phase: Phase::Up,
        leader: number == 0,
    }
}

impl Exchange {
    /// How attempts have ended so far, by name.
    pub(crate) fn endings(&self) -> Vec<(&'static str, u32)> {
        self.tally.endings.iter().map(|(name, count)| (*name, *count)).collect()
    }
}

impl Play {
    fn open() -> Play {
        Play::open_with(None)
    }

    /// Opens one whose write has another effect than its class.
    fn open_with(effect: Option<Effect>) -> Play {
        let poll = calloop::EventLoop::<ReadySources>::try_new().expect("a poll");
        let mut turn = Turn::new(poll.handle(), slog::Logger::root(slog::Discard, slog::o!()));
        turn.now = turn.clock.now();
        let config = std::fs::read_to_string("../../examples/config.json").expect("the example");
        let config: serde_json::Value = serde_json::from_str(&config).expect("JSON");
        let mut settings = leadmast::settings::read(&config["settings"]).expect("settings").settings;
        let keyed = |class: &Class| matches!(class.effect, Effect::Keyed { .. });
        let class = settings.classes.iter().position(keyed).expect("a write that may be repeated");
        settings.classes[class].effect = effect.unwrap_or(settings.classes[class].effect);
        let mut exchange = Exchange::new(settings, Vec::new(), 7, turn.now);
        exchange.members(&mut turn, ListKind::Full, vec![entry(0), entry(1)]);
        let call = Call {
            class: ClassId(class),
            group: GROUP,
            key: Some(1),
            deadline: turn.now + DEADLINE,
            since_write: None,
            repeat: false,
            checked: false,
            tenant: None,
            source: Source::Client,
            body: Body::new(b"SELECT 1".to_vec(), None, Form::Value),
        };
        exchange.submit(&mut turn, call);
        let first = next_start(&mut exchange).expect("an attempt");
        Play { exchange, turn, first, _poll: poll }
    }

    /// The first attempt is written and ends with an error, this becomes of its connection, and the next one is written.
    fn repeat_behind(&mut self, connection_end: ConnectionEnd) -> u64 {
        self.exchange.dispatched(&self.turn, self.first, None);
        let trace = AttemptTrace { connection_end, ..AttemptTrace::default() };
        let ended =
            Ended { attempt: self.first, ending: Ending::Error, note: None, said: Said::Nothing, trace };
        self.exchange.ended(&mut self.turn, ended);
        let repeat = next_start(&mut self.exchange).expect("another attempt");
        self.exchange.dispatched(&self.turn, repeat, None);
        self.exchange.figures().violations.of(Rule::OneAttempt)
    }
}

/// How many repeats are counted that must not be, where the first attempt of an unsafe write was handed over whole or not, and has ended
/// so.
fn repeats_counted(is_written: bool, ending: Ending) -> u64 {
    let mut play = Play::open_with(Some(Effect::Unsafe));
    let written = is_written.then_some(play.turn.now);
    let trace = AttemptTrace { written, ..AttemptTrace::default() };
    let ended = Ended { attempt: play.first, ending, note: None, said: Said::Nothing, trace };
    play.exchange.ended(&mut play.turn, ended);
    play.turn.now += DEADLINE / 2;
    play.exchange.timer(&mut play.turn, TimerTag(0));
    let repeat = AttemptId { number: play.first.number + 1, ..play.first };
    play.exchange.dispatched(&play.turn, repeat, None);
    play.exchange.figures().violations.of(Rule::Repeat)
}

/// Guards the process's own count against writes that run twice: it judges by what was written and what the db host said, and not by the
/// ending that the repeat followed.
#[test]
fn repeat_of_an_unsafe_write_that_was_written_whole_is_counted_whatever_its_ending() {
    assert_eq!(repeats_counted(true, Ending::ConnectFailed), 1);
    assert_eq!(repeats_counted(true, Ending::Moot), 1);
    assert_eq!(repeats_counted(true, Ending::Full), 0, "its db host has turned it away");
    assert_eq!(repeats_counted(false, Ending::ConnectFailed), 0, "it was not written whole");
}

/// The next attempt that the server side is to start.
fn next_start(exchange: &mut Exchange) -> Option<AttemptId> {
    std::iter::from_fn(|| exchange.orders.pop_front()).find_map(|order| match order {
        Order::Start { attempt, .. } => Some(attempt),
        _ => None,
    })
}

/// Guards the process's own count against second copies that it does not see: an attempt that has ended here is out at its db host
/// for as long as its connection waits for ReadyForQuery.
#[test]
fn repeat_beside_a_connection_that_awaits_ready_for_query_is_counted() {
    assert_eq!(Play::open().repeat_behind(ConnectionEnd::AwaitsReady), 1);
    assert_eq!(Play::open().repeat_behind(ConnectionEnd::Kept), 0, "it has told ReadyForQuery");
}
