//! Tests of the `permission` module: each check with the facts that decide it, at the exact limits of its
//! times.

use leadmast::invariant::{violates_answer_time, violates_drain, Rule, Violations, WrittenAttempt};
use leadmast::permission::*;
use leadmast::{Effect, Micros, Scope, ZoneId};

const WINDOW: Micros = 2_000_000;
const MARGIN: Micros = 5_000;
const DEADLINE: Micros = 10_000_000;

fn keyed(scope: Scope) -> Effect {
    Effect::Keyed { scope, window: WINDOW }
}

fn request(effect: Effect) -> RequestState {
    RequestState {
        effect,
        deadline: DEADLINE,
        answered: false,
        client_left: false,
        attempts_begun: 0,
        in_flight: 0,
        possible_execution: None,
        settled_at: None,
    }
}

fn limits() -> AttemptLimits {
    AttemptLimits { max_attempts: 3, second_copies: false, margin: MARGIN }
}

fn doubt(since: Micros) -> Option<PossibleExecution> {
    Some(PossibleExecution { sent_at: since, zone: Some(ZoneId(1)) })
}

#[test]
fn attempt_begins_only_for_a_client_that_waits_and_within_the_limits() {
    let begin = |now, request: RequestState| may_begin(now, &request, &limits(), None);
    let fresh = request(Effect::Unsafe);
    assert_eq!(begin(DEADLINE - 1, fresh), Ok(()));
    assert_eq!(begin(DEADLINE, fresh), Err(AttemptDenial::DeadlinePassed));
    assert_eq!(begin(0, RequestState { answered: true, ..fresh }), Err(AttemptDenial::Answered));
    assert_eq!(begin(0, RequestState { client_left: true, ..fresh }), Err(AttemptDenial::ClientLeft));
    assert_eq!(begin(0, RequestState { attempts_begun: 3, ..fresh }), Err(AttemptDenial::AttemptsUsed));
    let out = RequestState { attempts_begun: 1, in_flight: 1, ..fresh };
    assert_eq!(begin(0, out), Err(AttemptDenial::AttemptInFlight));
    let copies = AttemptLimits { second_copies: true, ..limits() };
    assert_eq!(may_begin(0, &out, &copies, None), Ok(()));
}

#[test]
fn attempt_that_may_have_run_is_repeated_only_if_its_class_permits() {
    let repeat = |at, effect, zone| may_repeat(at, effect, doubt(0), zone, MARGIN);
    let here = Some(ZoneId(1));
    assert_eq!(repeat(DEADLINE, Effect::Safe, here), Ok(()));
    assert_eq!(repeat(0, Effect::Unsafe, here), Err(AttemptDenial::MayHaveExecuted));
    assert_eq!(may_repeat(0, Effect::Unsafe, None, here, MARGIN), Ok(()));
    let last = WINDOW - MARGIN;
    assert_eq!(repeat(last - 1, keyed(Scope::All), here), Ok(()));
    assert_eq!(repeat(last, keyed(Scope::All), here), Err(AttemptDenial::WindowOver));
    assert_eq!(repeat(0, keyed(Scope::Zone), Some(ZoneId(2))), Err(AttemptDenial::OtherZone));
    assert_eq!(repeat(0, keyed(Scope::Zone), None), Ok(()), "an unknown zone does not deny a repeat");
    assert_eq!(repeat(0, keyed(Scope::Group), Some(ZoneId(2))), Ok(()));
    // The limit is the first time at which a repeat is denied.
    assert_eq!(repeat_deadline(keyed(Scope::All), doubt(7), MARGIN), Some(7 + last));
    assert_eq!(repeat_deadline(Effect::Unsafe, doubt(7), MARGIN), Some(7));
    assert_eq!(repeat_deadline(Effect::Safe, doubt(7), MARGIN), None);
    assert_eq!(repeat_deadline(keyed(Scope::All), None, MARGIN), None);
}

#[test]
fn attempt_is_written_within_its_time_limits_and_begun_only_at_an_open_host() {
    let facts = WriteState {
        answer_deadline: 1_000,
        write_by: 900,
        remaining_valid_until: None,
        first_byte_written: false,
        host: HostState::Open,
    };
    assert_eq!(may_write(899, &facts), Ok(()));
    assert_eq!(may_write(900, &facts), Err(AttemptDenial::WindowOver));
    assert_eq!(may_write(1_000, &facts), Err(AttemptDenial::DeadlinePassed));
    let told = WriteState { remaining_valid_until: Some(500), ..facts };
    assert_eq!(may_write(500, &told), Ok(()));
    assert_eq!(may_write(501, &told), Err(AttemptDenial::RemainingTimeExpired));
    for (host, denial) in [
        (HostState::Draining, AttemptDenial::HostDraining),
        (HostState::Gone, AttemptDenial::HostGone),
        (HostState::HeldOut, AttemptDenial::HostHeldOut),
        (HostState::Unknown, AttemptDenial::HostUnknown),
    ] {
        assert_eq!(may_write(0, &WriteState { host, ..facts }), Err(denial));
        assert_eq!(
            may_write(0, &WriteState { host, first_byte_written: true, ..facts }),
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
            let RemainingTime { remaining, valid_for } = remaining_time_to_send(left, bytes);
            assert!(
                remaining + valid_for <= left + 50_000 && remaining > 0,
                "{left}, {bytes}: {remaining}, {valid_for}"
            );
        }
    }
    assert_eq!(remaining_time_to_send(400_000, 200).remaining, 400_000);
    assert!(
        remaining_time_to_send(400_000, 250_000).valid_for > 100_000,
        "the value stays true long enough for a slow network"
    );
}

#[test]
fn pooled_connection_is_used_while_its_host_keeps_it() {
    let pooled = PooledConnection {
        expires_at: 100,
        no_unread_input: true,
        at_current_address: true,
        host: HostState::Open,
    };
    assert_eq!(may_reuse(99, &pooled), Ok(()));
    assert_eq!(may_reuse(100, &pooled), Err(ReuseDenial::Expired));
    assert_eq!(
        may_reuse(0, &PooledConnection { no_unread_input: false, ..pooled }),
        Err(ReuseDenial::UnreadInput)
    );
    assert_eq!(
        may_reuse(0, &PooledConnection { at_current_address: false, ..pooled }),
        Err(ReuseDenial::Moved)
    );
    let held_out = PooledConnection { host: HostState::HeldOut, ..pooled };
    assert_eq!(may_reuse(0, &held_out), Err(ReuseDenial::HostClosed));
}

#[test]
fn client_is_closed_only_between_requests() {
    let between = ClientState {
        stage: ClientStage::Between,
        message_partly_read: false,
        bytes_unread: false,
        answer_unwritten: false,
        awaiting_first_request: false,
        reading_ended: false,
    };
    assert_eq!(may_close(&between), Ok(()));
    let denied = [
        (ClientState { stage: ClientStage::Waiting, ..between }, CloseDenial::RequestInProgress),
        (ClientState { stage: ClientStage::Closing, ..between }, CloseDenial::AlreadyClosing),
        (
            ClientState { stage: ClientStage::New, awaiting_first_request: true, ..between },
            CloseDenial::AwaitingFirstRequest,
        ),
        (ClientState { message_partly_read: true, ..between }, CloseDenial::MessagePartlyRead),
        (ClientState { bytes_unread: true, ..between }, CloseDenial::BytesUnread),
        (ClientState { answer_unwritten: true, ..between }, CloseDenial::AnswerUnwritten),
    ];
    denied.into_iter().for_each(|(facts, denial)| assert_eq!(may_close(&facts), Err(denial)));
    let lingering = ClientState { stage: ClientStage::Lingering, ..between };
    assert_eq!(may_close(&lingering), Ok(()));
    assert_eq!(may_close(&ClientState { bytes_unread: true, ..lingering }), Err(CloseDenial::BytesUnread));
}

#[test]
fn process_takes_hands_over_ends_and_applies_lists_by_rule() {
    assert_eq!((may_accept(9, 10), may_accept(10, 10)), (Ok(()), Err(AcceptDenial::Expired)));
    assert_eq!(may_hand_over(true, true), Ok(()));
    assert_eq!(may_hand_over(true, false), Err(HandOverDenial::NoSuccessor));
    assert_eq!(may_hand_over(false, true), Err(HandOverDenial::NotTerminating));
    let idle = ProcessState { must_exit: false, serving: false, clients_open: false, requests_open: false };
    assert_eq!(may_exit(&idle), Ok(()));
    assert_eq!(may_exit(&ProcessState { serving: true, ..idle }), Err(ExitDenial::Serving));
    assert_eq!(may_exit(&ProcessState { clients_open: true, ..idle }), Err(ExitDenial::ClientsOpen));
    assert_eq!(may_exit(&ProcessState { requests_open: true, ..idle }), Err(ExitDenial::RequestsOpen));
    assert_eq!(may_exit(&ProcessState { requests_open: true, must_exit: true, ..idle }), Ok(()));
    let list = |known_at_call, known, listed| may_apply_list(ListVersions { known_at_call, known, listed });
    assert_eq!(list(3, 3, 3), Ok(()));
    assert_eq!(list(3, 5, 4), Err(ListDenial::Older));
    assert_eq!(list(3, 5, 2), Ok(()), "discovery has restarted its version numbers");
}

/// Guards the rule checker itself: it reports each broken rule, and nothing for an attempt that keeps them
/// all.
#[test]
fn violations_are_found_and_counted_by_rule() {
    let sound = WrittenAttempt {
        at: 1_000_000,
        remaining_sent: Some(500_000),
        deadline: 1_500_000,
        client_left: None,
        repeat_until: None,
        settled_at: None,
        others_in_flight: 0,
        attempt: 0,
        max_attempts: 3,
        second_copies: false,
    };
    assert_eq!(sound.violations(), []);
    let broken = [
        (WrittenAttempt { others_in_flight: 1, ..sound }, Rule::OneAttempt),
        (WrittenAttempt { attempt: 3, ..sound }, Rule::AttemptLimit),
        (WrittenAttempt { repeat_until: Some(None), ..sound }, Rule::Repeat),
        (WrittenAttempt { repeat_until: Some(Some(999_999)), ..sound }, Rule::Repeat),
        (WrittenAttempt { client_left: Some(899_999), ..sound }, Rule::ClientLeft),
        (WrittenAttempt { remaining_sent: Some(650_001), ..sound }, Rule::RemainingTimeSent),
    ];
    let mut violations = Violations::default();
    for (written, rule) in broken {
        assert_eq!(written.violations(), [rule]);
        written.violations().into_iter().for_each(|rule| violations.record(rule));
    }
    assert_eq!(
        (violations.total(), violations.count(Rule::Repeat), violations.count(Rule::Drain)),
        (6, 2, 0)
    );
    let edge = WrittenAttempt { repeat_until: Some(Some(1_000_000)), client_left: Some(900_000), ..sound };
    assert_eq!(WrittenAttempt { remaining_sent: Some(650_000), ..edge }.violations(), []);
    assert!(violates_drain(251_000, Some(0), 250_000) && !violates_drain(250_000, Some(0), 250_000));
    assert!(!violates_drain(9_000_000, None, 250_000));
    assert!(violates_answer_time(1_500_001, 1_000_000) && !violates_answer_time(1_500_000, 1_000_000));
}

/// Guards against clients that a draining proxy never sends away because something of theirs is always unread
/// or unwritten: once reading has ended, only what was read keeps a client.
#[test]
fn client_that_is_not_read_any_more_is_closed_once_what_was_read_is_answered() {
    let busy = ClientState {
        stage: ClientStage::Between,
        message_partly_read: false,
        bytes_unread: true,
        answer_unwritten: true,
        awaiting_first_request: false,
        reading_ended: true,
    };
    assert_eq!(may_close(&busy), Ok(()));
    assert_eq!(may_close(&ClientState { stage: ClientStage::New, ..busy }), Ok(()));
    let denied = [
        (ClientState { stage: ClientStage::Waiting, ..busy }, CloseDenial::RequestInProgress),
        (ClientState { stage: ClientStage::Lingering, ..busy }, CloseDenial::BytesUnread),
        (ClientState { message_partly_read: true, ..busy }, CloseDenial::MessagePartlyRead),
    ];
    denied.into_iter().for_each(|(facts, denial)| assert_eq!(may_close(&facts), Err(denial)));
}

/// The operators look for idle clients and for requests of the last 2 s once 4 s of a standby have passed.
#[test]
fn drain_ends_reading_and_bounds_what_comes_late() {
    let running = DrainingClient {
        accepted_at: 5,
        has_sent_request: true,
        standby_since: None,
        latest_deadline: None,
        last_read: None,
    };
    assert_eq!((running.reading_ends_at(), running.message_due_at()), (None, None));
    assert_eq!(running.answer_due_at(Micros::MAX), None);
    let standby = DrainingClient { standby_since: Some(100), ..running };
    assert_eq!(standby.reading_ends_at(), Some(1_000_100));
    let new = DrainingClient { has_sent_request: false, ..standby };
    assert_eq!(new.reading_ends_at(), Some(2_300_100));
    assert!(new.awaits_first_request(2_300_004) && !new.awaits_first_request(2_300_005));
    assert!(!standby.awaits_first_request(6), "it has sent a request");
    let later = DrainingClient { accepted_at: 1_000, ..new };
    assert_eq!(later.reading_ends_at(), Some(2_301_000), "a connection that came later has its own time");
    assert_eq!(standby.message_due_at(), Some(3_500_100));
    assert_eq!(standby.answer_due_at(1_500_100), None);
    assert_eq!(standby.answer_due_at(1_500_101), Some(3_500_100));
    let both = DrainingClient { latest_deadline: Some(900_000), last_read: Some(950_000), ..standby };
    assert_eq!(both.reading_ends_at(), Some(950_000));
    assert_eq!(both.answer_due_at(0), Some(900_000));
    let terminating = DrainingClient { standby_since: None, ..both };
    assert_eq!((terminating.reading_ends_at(), terminating.message_due_at()), (Some(950_000), None));
}
