//! Tests of the `permission` module: each check with the facts that decide it, at the exact limits of its
//! times.

use leadmast::invariant::{violates_answer_time, violates_drain, Rule, Violations, Written};
use leadmast::permission::*;
use leadmast::{Effect, Micros, Scope, ZoneId};

const WINDOW: Micros = 2_000_000;
const MARGIN: Micros = 5_000;
const DEADLINE: Micros = 10_000_000;

fn keyed(scope: Scope) -> Effect {
    Effect::Keyed { scope, window: WINDOW }
}

fn request(effect: Effect) -> RequestFacts {
    RequestFacts {
        effect,
        deadline: DEADLINE,
        answered: false,
        client_left: false,
        begun: 0,
        out: 0,
        doubt: None,
        settled_at: None,
    }
}

fn limits() -> AttemptLimits {
    AttemptLimits { attempts: 3, second_copies: false, margin: MARGIN }
}

fn doubt(since: Micros) -> Option<Doubt> {
    Some(Doubt { since, zone: Some(ZoneId(1)) })
}

#[test]
fn attempt_begins_only_for_a_client_that_waits_and_within_the_limits() {
    let begin = |now, request: RequestFacts| may_begin(now, &request, &limits(), None);
    let fresh = request(Effect::Unsafe);
    assert_eq!(begin(DEADLINE - 1, fresh), Ok(()));
    assert_eq!(begin(DEADLINE, fresh), Err(AttemptDenial::DeadlinePassed));
    assert_eq!(begin(0, RequestFacts { answered: true, ..fresh }), Err(AttemptDenial::Answered));
    assert_eq!(begin(0, RequestFacts { client_left: true, ..fresh }), Err(AttemptDenial::ClientLeft));
    assert_eq!(begin(0, RequestFacts { begun: 3, ..fresh }), Err(AttemptDenial::AttemptsUsed));
    let out = RequestFacts { begun: 1, out: 1, ..fresh };
    assert_eq!(begin(0, out), Err(AttemptDenial::AttemptOut));
    let copies = AttemptLimits { second_copies: true, ..limits() };
    assert_eq!(may_begin(0, &out, &copies, None), Ok(()));
}

#[test]
fn attempt_that_may_have_run_is_repeated_only_if_its_class_permits() {
    let repeat = |at, effect, zone| may_repeat(at, effect, doubt(0), zone, MARGIN);
    let here = Some(ZoneId(1));
    assert_eq!(repeat(DEADLINE, Effect::Safe, here), Ok(()));
    assert_eq!(repeat(0, Effect::Unsafe, here), Err(AttemptDenial::MayHaveRun));
    assert_eq!(may_repeat(0, Effect::Unsafe, None, here, MARGIN), Ok(()));
    let last = WINDOW - MARGIN;
    assert_eq!(repeat(last - 1, keyed(Scope::All), here), Ok(()));
    assert_eq!(repeat(last, keyed(Scope::All), here), Err(AttemptDenial::WindowOver));
    assert_eq!(repeat(0, keyed(Scope::Zone), Some(ZoneId(2))), Err(AttemptDenial::OtherZone));
    assert_eq!(repeat(0, keyed(Scope::Zone), None), Ok(()), "an unknown zone does not deny a repeat");
    assert_eq!(repeat(0, keyed(Scope::Group), Some(ZoneId(2))), Ok(()));
    // The limit is the first time at which a repeat is denied.
    assert_eq!(repeat_by(keyed(Scope::All), doubt(7), MARGIN), Some(7 + last));
    assert_eq!(repeat_by(Effect::Unsafe, doubt(7), MARGIN), Some(7));
    assert_eq!(repeat_by(Effect::Safe, doubt(7), MARGIN), None);
    assert_eq!(repeat_by(keyed(Scope::All), None, MARGIN), None);
}

#[test]
fn attempt_is_written_within_its_time_limits_and_begun_only_at_an_open_host() {
    let facts =
        WriteFacts { until: 1_000, write_by: 900, told_until: None, begun: false, host: HostStanding::Open };
    assert_eq!(may_write(899, &facts), Ok(()));
    assert_eq!(may_write(900, &facts), Err(AttemptDenial::WindowOver));
    assert_eq!(may_write(1_000, &facts), Err(AttemptDenial::DeadlinePassed));
    let told = WriteFacts { told_until: Some(500), ..facts };
    assert_eq!(may_write(500, &told), Ok(()));
    assert_eq!(may_write(501, &told), Err(AttemptDenial::TimeToldPassed));
    for (host, denial) in [
        (HostStanding::Draining, AttemptDenial::HostDraining),
        (HostStanding::Gone, AttemptDenial::HostGone),
        (HostStanding::HeldOut, AttemptDenial::HostHeldOut),
        (HostStanding::Unknown, AttemptDenial::HostUnknown),
    ] {
        assert_eq!(may_write(0, &WriteFacts { host, ..facts }), Err(denial));
        assert_eq!(
            may_write(0, &WriteFacts { host, begun: true, ..facts }),
            Ok(()),
            "a statement whose writing has begun is finished there"
        );
    }
}

/// Guards the remaining time that is sent with a statement: it never exceeds the time that is left, and it is
/// shorter for a statement that takes long to write.
#[test]
fn sent_remaining_time_is_true_until_the_last_byte() {
    for left in [1, 1_000, 400_000, 30_000_000] {
        for bytes in [100, 32 * 1024, 250_000] {
            let Telling { told, holds_for } = time_to_tell(left, bytes);
            assert!(told + holds_for <= left + 50_000 && told > 0, "{left}, {bytes}: {told}, {holds_for}");
        }
    }
    assert_eq!(time_to_tell(400_000, 200).told, 400_000);
    assert!(
        time_to_tell(400_000, 250_000).holds_for > 100_000,
        "the value stays true long enough for a slow network"
    );
}

#[test]
fn pooled_connection_is_used_while_its_host_keeps_it() {
    let pooled =
        PooledConnection { expires: 100, quiet: true, current_address: true, host: HostStanding::Open };
    assert_eq!(may_reuse(99, &pooled), Ok(()));
    assert_eq!(may_reuse(100, &pooled), Err(ReuseDenial::Expired));
    assert_eq!(may_reuse(0, &PooledConnection { quiet: false, ..pooled }), Err(ReuseDenial::NotQuiet));
    assert_eq!(may_reuse(0, &PooledConnection { current_address: false, ..pooled }), Err(ReuseDenial::Moved));
    let held_out = PooledConnection { host: HostStanding::HeldOut, ..pooled };
    assert_eq!(may_reuse(0, &held_out), Err(ReuseDenial::HostClosed));
}

#[test]
fn client_is_closed_only_between_requests() {
    let between = ClientFacts {
        stage: ClientStage::Between,
        message_begun: false,
        bytes_unread: false,
        answer_unwritten: false,
        may_ask_yet: false,
    };
    assert_eq!(may_close(&between), Ok(()));
    let denied = [
        (ClientFacts { stage: ClientStage::Waiting, ..between }, CloseDenial::RequestOut),
        (ClientFacts { stage: ClientStage::Closing, ..between }, CloseDenial::AlreadyClosing),
        (ClientFacts { stage: ClientStage::New, may_ask_yet: true, ..between }, CloseDenial::MayAskYet),
        (ClientFacts { message_begun: true, ..between }, CloseDenial::MessageBegun),
        (ClientFacts { bytes_unread: true, ..between }, CloseDenial::BytesUnread),
        (ClientFacts { answer_unwritten: true, ..between }, CloseDenial::AnswerUnwritten),
    ];
    denied.into_iter().for_each(|(facts, denial)| assert_eq!(may_close(&facts), Err(denial)));
    let lingering = ClientFacts { stage: ClientStage::Lingering, ..between };
    assert_eq!(may_close(&lingering), Ok(()));
    assert_eq!(may_close(&ClientFacts { bytes_unread: true, ..lingering }), Err(CloseDenial::BytesUnread));
}

#[test]
fn process_takes_hands_over_ends_and_applies_lists_by_rule() {
    assert_eq!((may_take(9, 10), may_take(10, 10)), (Ok(()), Err(TakeDenial::Expired)));
    assert_eq!(may_hand_over(true, true), Ok(()));
    assert_eq!(may_hand_over(true, false), Err(HandOverDenial::NoSuccessor));
    assert_eq!(may_hand_over(false, true), Err(HandOverDenial::Staying));
    let idle = ProcessFacts { must_leave: false, serving: false, clients_open: false, requests_open: false };
    assert_eq!(may_end(&idle), Ok(()));
    assert_eq!(may_end(&ProcessFacts { serving: true, ..idle }), Err(EndDenial::Serving));
    assert_eq!(may_end(&ProcessFacts { clients_open: true, ..idle }), Err(EndDenial::ClientsOpen));
    assert_eq!(may_end(&ProcessFacts { requests_open: true, ..idle }), Err(EndDenial::RequestsOpen));
    assert_eq!(may_end(&ProcessFacts { requests_open: true, must_leave: true, ..idle }), Ok(()));
    let list = |asked_after, known, told| may_apply_list(ListVersions { asked_after, known, told });
    assert_eq!(list(3, 3, 3), Ok(()));
    assert_eq!(list(3, 5, 4), Err(ListDenial::Older));
    assert_eq!(list(3, 5, 2), Ok(()), "discovery has restarted its version numbers");
}

/// Guards the rule checker itself: it reports each broken rule, and nothing for an attempt that keeps them
/// all.
#[test]
fn violations_are_found_and_counted_by_rule() {
    let sound = Written {
        at: 1_000_000,
        told: Some(500_000),
        deadline: 1_500_000,
        client_left: None,
        repeat_until: None,
        settled_at: None,
        others_out: 0,
        number: 0,
        attempts: 3,
        second_copies: false,
    };
    assert_eq!(sound.violations(), []);
    let broken = [
        (Written { others_out: 1, ..sound }, Rule::OneAttempt),
        (Written { number: 3, ..sound }, Rule::AttemptLimit),
        (Written { repeat_until: Some(None), ..sound }, Rule::Repeat),
        (Written { repeat_until: Some(Some(999_999)), ..sound }, Rule::Repeat),
        (Written { client_left: Some(899_999), ..sound }, Rule::ClientLeft),
        (Written { told: Some(650_001), ..sound }, Rule::DeadlineTold),
    ];
    let mut violations = Violations::default();
    for (written, rule) in broken {
        assert_eq!(written.violations(), [rule]);
        written.violations().into_iter().for_each(|rule| violations.record(rule));
    }
    assert_eq!((violations.sum(), violations.of(Rule::Repeat), violations.of(Rule::Drain)), (6, 2, 0));
    let edge = Written { repeat_until: Some(Some(1_000_000)), client_left: Some(900_000), ..sound };
    assert_eq!(Written { told: Some(650_000), ..edge }.violations(), []);
    assert!(violates_drain(251_000, Some(0), 250_000) && !violates_drain(250_000, Some(0), 250_000));
    assert!(!violates_drain(9_000_000, None, 250_000));
    assert!(violates_answer_time(1_500_001, 1_000_000) && !violates_answer_time(1_500_000, 1_000_000));
}
