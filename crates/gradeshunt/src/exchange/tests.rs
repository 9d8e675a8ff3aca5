//! Tests of the exchange's count of violated rules.

use gradeshunt_placement::Source;
use leadmast::invariant::Rule;
use leadmast::*;

use super::{
    AnswerForm, AttemptEnd, AttemptId, AttemptTrace, BackendCommand, Body, ConnectionEnd, Exchange,
    HostReply, IncomingRequest,
};
use crate::turn::{ReadySources, Turn};

const GROUP: GroupId = GroupId(0);
const DEADLINE: Micros = 1_000_000;

/// An exchange with two listed db hosts and a submitted write; `first` is the write's first attempt.
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
    /// The number of attempts that have ended, by ending.
    pub(crate) fn endings(&self) -> Vec<(&'static str, u32)> {
        self.summary_counts.endings.iter().map(|(name, count)| (*name, *count)).collect()
    }
}

impl Play {
    fn open() -> Play {
        Play::open_with(None)
    }

    /// Like `open`, with `effect` in place of the class's own effect.
    fn open_with(effect: Option<Effect>) -> Play {
        let poll = calloop::EventLoop::<ReadySources>::try_new().expect("cannot create an event loop");
        let mut turn = Turn::new(poll.handle(), slog::Logger::root(slog::Discard, slog::o!()));
        turn.now = turn.clock.now();
        let config = std::fs::read_to_string("../../examples/config.json")
            .expect("cannot read the example configuration");
        let config: serde_json::Value =
            serde_json::from_str(&config).expect("the example configuration is not JSON");
        let mut settings = leadmast::settings::read(&config["settings"])
            .expect("the example's settings are invalid")
            .settings;
        let keyed = |class: &Class| matches!(class.effect, Effect::Keyed { .. });
        let class = settings.classes.iter().position(keyed).expect("the example has no keyed class");
        settings.classes[class].effect = effect.unwrap_or(settings.classes[class].effect);
        let mut exchange = Exchange::new(settings, Vec::new(), 7, turn.now);
        exchange.update_members(&mut turn, ListKind::Full, vec![entry(0), entry(1)]);
        let call = IncomingRequest {
            class: ClassId(class),
            group: GROUP,
            key: Some(1),
            deadline: turn.now + DEADLINE,
            since_write: None,
            repeat: false,
            checked: false,
            tenant: None,
            source: Source::Client,
            body: Body::new(b"SELECT 1".to_vec(), None, AnswerForm::Value),
        };
        exchange.submit(&mut turn, call);
        let first = next_start(&mut exchange).expect("no attempt was started");
        Play { exchange, turn, first, _poll: poll }
    }

    /// Writes the first attempt, ends it with an error and `connection_end`, and writes the next one. Returns
    /// the counted violations of the rule that only one attempt is out.
    fn repeat_behind(&mut self, connection_end: ConnectionEnd) -> u64 {
        self.exchange.attempt_written(&self.turn, self.first, None);
        let trace = AttemptTrace { connection_end, ..AttemptTrace::default() };
        let ended = AttemptEnd {
            attempt: self.first,
            ending: Ending::Error,
            note: None,
            reply: HostReply::Nothing,
            trace,
        };
        self.exchange.attempt_ended(&mut self.turn, ended);
        let repeat = next_start(&mut self.exchange).expect("no further attempt was started");
        self.exchange.attempt_written(&self.turn, repeat, None);
        self.exchange.figures().violations.count(Rule::OneAttempt)
    }
}

/// Ends the first attempt of an unsafe write with `ending`, after it was written completely or not, and
/// writes a repeat. Returns the counted violations of the rule on repeats.
fn repeats_counted(is_written: bool, ending: Ending) -> u64 {
    let mut play = Play::open_with(Some(Effect::Unsafe));
    let written = is_written.then_some(play.turn.now);
    let trace = AttemptTrace { written, ..AttemptTrace::default() };
    let ended = AttemptEnd { attempt: play.first, ending, note: None, reply: HostReply::Nothing, trace };
    play.exchange.attempt_ended(&mut play.turn, ended);
    play.turn.now += DEADLINE / 2;
    play.exchange.timer_due(&mut play.turn, TimerTag(0));
    let repeat = AttemptId { number: play.first.number + 1, ..play.first };
    play.exchange.attempt_written(&play.turn, repeat, None);
    play.exchange.figures().violations.count(Rule::Repeat)
}

/// A repeat of an unsafe write must be counted as a violation whenever the earlier attempt was written and
/// not refused, even if the attempt was reported with an ending that claims it did not run.
#[test]
fn repeat_of_an_unsafe_write_that_was_written_whole_is_counted_whatever_its_ending() {
    assert_eq!(repeats_counted(true, Ending::ConnectFailed), 1);
    assert_eq!(repeats_counted(true, Ending::Moot), 1);
    assert_eq!(repeats_counted(true, Ending::Full), 0, "its db host refused it");
    assert_eq!(repeats_counted(false, Ending::ConnectFailed), 0, "it was not written completely");
}

/// Returns the next attempt that the backend is ordered to start.
fn next_start(exchange: &mut Exchange) -> Option<AttemptId> {
    std::iter::from_fn(|| exchange.backend_commands.pop_front()).find_map(|command| match command {
        BackendCommand::Start { attempt, .. } => Some(attempt),
        _ => None,
    })
}

/// An attempt whose connection waits for ReadyForQuery is still out at its db host, though it has ended in
/// the exchange. A second attempt written in that time must be counted as a violation.
#[test]
fn repeat_beside_a_connection_that_awaits_ready_for_query_is_counted() {
    assert_eq!(Play::open().repeat_behind(ConnectionEnd::AwaitsReady), 1);
    assert_eq!(Play::open().repeat_behind(ConnectionEnd::Kept), 0, "ReadyForQuery has arrived");
}
