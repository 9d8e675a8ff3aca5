//! Tests of which members reads are sent to, depending on the replication positions that the driver knows.

mod common;

use common::*;
use leadmast::*;

#[test]
fn session_read_uses_a_replica_exactly_at_the_position_but_not_one_before_it() {
    for (known, expect) in [(1_000_000, REPLICA), (999_000, PRIMARY)] {
        let mut d = Driver::new(settings(vec![SESSION, WRITE]));
        d.members(&[PRIMARY, REPLICA], PRIMARY);
        d.position(REPLICA, known);
        d.at(1_000_000);
        let write = d.write(1, 7);
        d.ok(write, Some(1_000_000), true);
        d.at(1_020_000);
        d.request(2, SESSION, Some(7));
        d.answer_probes();
        assert_eq!(d.sent(2), vec![expect], "known position {known}");
    }
}

#[test]
fn session_reads_stay_at_the_primary_until_the_latest_write_is_answered() {
    let mut d = Driver::new(settings(vec![SESSION, WRITE]));
    d.members(&[PRIMARY, REPLICA], PRIMARY);
    d.at(1_000_000);
    let first = d.write(1, 7);
    let second = d.write(2, 7);
    d.ok(first, Some(1_000_000), true);
    d.position(REPLICA, 1_050_000);
    d.request(3, SESSION, Some(7));
    assert_eq!(d.sent(3), vec![PRIMARY], "the later write is unanswered");
    d.ok(second, Some(1_001_000), true);
    d.request(4, SESSION, Some(7));
    assert_eq!(d.sent(4), vec![REPLICA], "both writes are answered, and the replica has applied them");
}

#[test]
fn session_read_after_a_lost_write_answer_needs_a_position_after_its_end() {
    let mut d = Driver::new(settings(vec![SESSION, UNSAFE]));
    d.members(&[PRIMARY, REPLICA], PRIMARY);
    d.at(1_000_000);
    d.request(1, UNSAFE, Some(7));
    d.at(1_200_000);
    d.end((1, 0, PRIMARY), Ending::Error, None, false);
    assert_eq!(d.final_answers(1), 1, "an unsafe write that may have run fails and is not sent again");
    assert_eq!(d.sent(1).len(), 1);
    d.position(REPLICA, 1_150_000);
    d.at(1_240_000);
    d.request(2, SESSION, Some(7));
    d.answer_probes();
    assert_eq!(
        d.sent(2),
        vec![PRIMARY],
        "a replica whose position is older than the attempt's end may lack the write"
    );
    d.position(REPLICA, 1_230_000);
    d.request(3, SESSION, Some(7));
    assert_eq!(d.sent(3), vec![REPLICA], "the bucket's reads do not stay at the primary");
}

#[test]
fn bounded_read_is_checked_when_it_is_sent() {
    for (age, expect) in [(300_000, REPLICA), (300_001, PRIMARY)] {
        let mut d = Driver::new(settings(vec![BOUNDED]));
        d.members(&[PRIMARY, REPLICA], PRIMARY);
        d.at(2_000_000);
        d.position(REPLICA, 2_000_000 - age);
        d.request(1, BOUNDED, None);
        d.answer_probes();
        assert_eq!(d.sent(1), vec![expect], "age {age}");
    }
}

#[test]
fn fresh_reads_use_only_the_primary_and_any_reads_avoid_it() {
    let mut d = Driver::new(settings(vec![FRESH, ANY]));
    d.members(&[PRIMARY, REPLICA], PRIMARY);
    d.position(REPLICA, 1);
    for id in 0..20 {
        d.request(id, FRESH, None);
        assert_eq!(d.sent(id), vec![PRIMARY]);
        d.ok((id, 0, PRIMARY), None, true);
        d.request(id + 100, ANY, None);
        assert_eq!(d.sent(id + 100), vec![REPLICA]);
        d.ok((id + 100, 0, REPLICA), None, false);
    }
}

#[test]
fn carried_token_decides_instead_of_the_bucket_position() {
    let mut s = settings(vec![SESSION]);
    s.session_tracking = SessionTracking::ByRequest;
    let mut d = Driver::new(s);
    d.members(&[PRIMARY, REPLICA], PRIMARY);
    d.at(1_000_000);
    d.position(REPLICA, 951_000);
    d.request_since(1, SESSION, Some(7), Some(50_000));
    assert_eq!(d.sent(1), vec![REPLICA], "the commit at 950 ms, rounded up by 1 ms, is applied there");
    d.request_since(2, SESSION, Some(7), Some(49_999));
    d.answer_probes();
    assert_eq!(d.sent(2), vec![PRIMARY], "a commit one microsecond later is not applied there");
}

#[test]
fn checked_read_may_try_a_replica_slightly_behind_and_goes_to_the_primary_on_a_miss() {
    let mut s = settings(vec![SESSION]);
    (s.session_tracking, s.lag_policy) = (SessionTracking::ByRequest, LagPolicy::WaitThenReject(50_000));
    let mut d = Driver::new(s);
    d.members(&[PRIMARY, REPLICA], PRIMARY);
    d.at(1_000_000);
    d.position(REPLICA, 980_000);
    d.at(1_010_000);
    d.request_since(1, SESSION, Some(7), Some(5_000));
    assert_eq!(d.sent(1), vec![REPLICA]);
    d.end((1, 0, REPLICA), Ending::Miss, Some(Note { position: Some(985_000), primary: false }), false);
    assert_eq!(d.sent(1), vec![REPLICA, PRIMARY]);
}

/// Guards against a write that runs twice: its class took it for a read, a replica refused it as a write, and it
/// was sent again after an attempt that may have run.
#[test]
fn read_that_a_replica_rejected_as_a_write_is_not_repeated_once_it_may_have_run() {
    for (rejected_as_write, sent, failed) in
        [(true, vec![REPLICA, PRIMARY], 1), (false, vec![REPLICA, PRIMARY, PRIMARY], 0)]
    {
        let mut d = Driver::new(settings(vec![SESSION]));
        d.members(&[PRIMARY, REPLICA], PRIMARY);
        d.position(REPLICA, 1_000_000);
        d.at(1_000_000);
        d.request(1, SESSION, None);
        if rejected_as_write {
            d.end_rejected_as_write((1, 0, REPLICA));
        } else {
            d.end((1, 0, REPLICA), Ending::Miss, None, false);
        }
        d.end((1, 1, PRIMARY), Ending::Error, None, false);
        d.run_to(1_400_000);
        assert_eq!((d.sent(1), d.final_answers(1) - d.refusals(1)), (sent, failed), "{rejected_as_write}");
    }
}

/// Guards writes that may be repeated: a class for writes says what it is, and a member that is no primary any more
/// says nothing against it.
#[test]
fn write_that_a_former_primary_rejected_keeps_its_effect() {
    let mut d = Driver::new(settings(vec![WRITE]));
    d.members(&[PRIMARY, REPLICA], PRIMARY);
    d.at(1_000_000);
    let first = d.write(1, 7);
    d.end_rejected_as_write(first);
    d.run_to(1_300_000);
    d.end((1, 1, PRIMARY), Ending::Error, None, false);
    d.run_to(1_800_000);
    assert!(d.sent(1).len() > 2, "it was not sent again");
}

#[test]
fn reads_use_a_primary_with_room_when_the_replicas_have_none() {
    // Guards against overloading the few replicas that keep up while others lag: they got all reads although
    // the primary was idle.
    let mut d = Driver::new(settings(vec![BOUNDED]));
    d.members(&[PRIMARY, REPLICA], PRIMARY);
    d.position(REPLICA, 0);
    (0..80).for_each(|id| d.request(id, BOUNDED, None));
    assert_eq!(d.sends_to(REPLICA), 24, "the replica's whole window");
    let at_primary = d.sends_to(PRIMARY);
    assert!(
        (10..24).contains(&at_primary),
        "{at_primary}: the rest of the window is kept for requests that only a primary can serve"
    );
}

#[test]
fn read_without_a_member_does_not_block_reads_that_need_less() {
    // Guards the scan of waiting requests: if one write or bounded read finds no member, its likes need not
    // be tried, but session reads differ in the position that they need.
    let mut s = settings(vec![SESSION]);
    s.session_tracking = SessionTracking::ByRequest;
    let mut d = Driver::new(s);
    d.members(&[PRIMARY, REPLICA], PRIMARY);
    d.handle(Event::Maintenance { member: PRIMARY, out: true });
    d.position(REPLICA, 500_000);
    d.at(2_000_000);
    d.request_since(1, SESSION, Some(7), Some(1_200_000));
    d.request_since(2, SESSION, Some(8), Some(1_000));
    assert_eq!((d.sent(1), d.sent(2)), (vec![], vec![]));
    d.position(REPLICA, 1_000_000);
    assert_eq!((d.sent(1), d.sent(2)), (vec![REPLICA], vec![]));
}

#[test]
fn read_waits_for_a_probe_that_may_show_a_recent_replica() {
    let mut d = Driver::new(settings(vec![BOUNDED]));
    d.members(&[PRIMARY, REPLICA], PRIMARY);
    d.position(REPLICA, 1);
    d.at(5_000_000);
    d.request(1, BOUNDED, None);
    assert_eq!(d.sent(1), vec![], "held while the replica is probed");
    d.position(REPLICA, 4_900_000);
    assert_eq!(d.sent(1), vec![REPLICA]);
}

/// Guards against refusing a read because of a slow probe: once the wait for the probe is over, the read must
/// not wait for the next round, which may refuse it.
#[test]
fn read_goes_to_the_primary_at_once_when_its_wait_for_a_probe_is_over() {
    const ASKED_AT: Micros = 5_000_000;
    const PROBE_WAIT: Micros = 10_000;
    let mut d = Driver::new(settings(vec![BOUNDED]));
    d.members(&[PRIMARY, REPLICA], PRIMARY);
    d.position(REPLICA, 1);
    d.run_to(ASKED_AT);
    d.request(1, BOUNDED, None);
    assert!(d.is_probing(REPLICA));
    d.run_to(ASKED_AT + PROBE_WAIT - 1);
    assert_eq!(d.sent(1), vec![], "held while the replica is probed");
    d.run_to(ASKED_AT + PROBE_WAIT);
    assert_eq!(d.sent(1), vec![PRIMARY]);
}

#[test]
fn bucket_collision_affects_few_sessions() {
    let mut d = Driver::new(settings(vec![SESSION, WRITE]));
    d.members(&[PRIMARY, REPLICA], PRIMARY);
    d.write(1, 7);
    let mut affected = 0;
    for id in 10..16_010 {
        d.log.clear();
        d.request(id, SESSION, Some(id));
        let to = d.sent(id)[0];
        affected += usize::from(to == PRIMARY);
        d.ok((id, 0, to), None, to == PRIMARY);
    }
    assert!(
        (1..16).contains(&affected),
        "{affected} of 16,000 sessions share the bucket of one unanswered write"
    );
}

#[test]
fn unchecked_read_uses_no_replica_that_is_only_assumed_to_be_recent() {
    // Guards against stale answers to plain statements, which carry no position that a replica could check.
    for (checked, expect) in [(true, REPLICA), (false, PRIMARY)] {
        let mut s = settings(vec![SESSION]);
        (s.session_tracking, s.lag_policy) = (SessionTracking::ByRequest, LagPolicy::Reject);
        let mut d = Driver::new(s);
        d.members(&[PRIMARY, REPLICA], PRIMARY);
        d.at(1_000_000);
        d.position(REPLICA, 999_000);
        d.at(1_005_000);
        d.handle(Event::Request(Arrival {
            request: RequestId(1),
            class: ClassId(0),
            group: GROUP,
            key: Some(7),
            deadline: 1_900_000,
            since_write: Some(6_000),
            repeat: false,
            checked,
            tenant: None,
        }));
        assert_eq!(d.sent(1), vec![expect], "checked {checked}");
    }
}
