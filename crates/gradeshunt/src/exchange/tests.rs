//! Tests of the part named by the folder.

use gradeshunt_placement::Source;
use leadmast::invariant::Rule;
use leadmast::*;

use super::{AttemptId, AttemptTrace, Body, Call, ConnectionEnd, Ended, Exchange, Form, Order, Said};
use crate::turn::{Ready, Turn};

const GROUP: GroupId = GroupId(0);
const DEADLINE: Micros = 1_000_000;

/// An exchange that knows two db hosts, and the order to start the first attempt of a write.
struct Play {
    exchange: Exchange,
    turn: Turn,
    first: AttemptId,
    _poll: calloop::EventLoop<'static, Ready>,
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

impl Play {
    fn open() -> Play {
        let poll = calloop::EventLoop::<Ready>::try_new().expect("a poll");
        let mut turn = Turn::new(poll.handle(), slog::Logger::root(slog::Discard, slog::o!()));
        turn.now = turn.clock.now();
        let config = std::fs::read_to_string("../../examples/config.json").expect("the example");
        let config: serde_json::Value = serde_json::from_str(&config).expect("JSON");
        let settings = leadmast::settings::read(&config["settings"]).expect("settings").settings;
        let keyed = |class: &Class| matches!(class.effect, Effect::Keyed { .. });
        let class = settings.classes.iter().position(keyed).expect("a write that may be repeated");
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
