//! Tests of which members reads are sent to, depending on the replication positions that the driver knows.

mod common;

use common::*;
use leadmast::*;

#[test]
fn session_read_takes_a_replica_just_at_the_position_and_not_one_just_short() {
    for (known, expect) in [(1_000_000, REPLICA), (999_000, PRIMARY)] {
        let mut d = Driver::new(settings(vec![SESSION, WRITE]));
        d.members(&[PRIMARY, REPLICA], PRIMARY);
        d.position(REPLICA, known);
        d.at(1_000_000);
        let write = d.write(1, 7);
        d.ok(write, Some(1_000_000), true);
        d.at(1_020_000);
        d.request(2, SESSION, Some(7));
        d.settle_probes();
        assert_eq!(d.sent(2), vec![expect], "known position {known}");
    }
}

#[test]
fn unsettled_bucket_reads_at_the_primary_until_its_latest_write_is_answered() {
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
fn lost_write_answer_settles_its_bucket_past_the_moment_of_its_end() {
    let mut d = Driver::new(settings(vec![SESSION, UNSAFE]));
    d.members(&[PRIMARY, REPLICA], PRIMARY);
    d.at(1_000_000);
    d.request(1, UNSAFE, Some(7));
    d.at(1_200_000);
    d.end((1, 0, PRIMARY), Ending::Error, None, false);
    assert_eq!(d.finals(1), 1, "an unsafe write that may have run fails and is not sent again");
    assert_eq!(d.sent(1).len(), 1);
    d.position(REPLICA, 1_150_000);
    d.at(1_240_000);
    d.request(2, SESSION, Some(7));
    d.settle_probes();
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
fn bounded_read_is_judged_at_the_moment_of_its_send() {
    for (age, expect) in [(300_000, REPLICA), (300_001, PRIMARY)] {
        let mut d = Driver::new(settings(vec![BOUNDED]));
        d.members(&[PRIMARY, REPLICA], PRIMARY);
        d.at(2_000_000);
        d.position(REPLICA, 2_000_000 - age);
        d.request(1, BOUNDED, None);
        d.settle_probes();
        assert_eq!(d.sent(1), vec![expect], "age {age}");
    }
}

#[test]
fn fresh_reads_and_writes_take_only_the_primary_and_any_reads_spare_it() {
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
fn carried_token_replaces_the_bucket_position() {
    let mut s = settings(vec![SESSION]);
    s.session_tracking = SessionTracking::ByRequest;
    let mut d = Driver::new(s);
    d.members(&[PRIMARY, REPLICA], PRIMARY);
    d.at(1_000_000);
    d.position(REPLICA, 951_000);
    d.request_since(1, SESSION, Some(7), Some(50_000));
    assert_eq!(d.sent(1), vec![REPLICA], "the commit at 950 ms, rounded up by 1 ms, is applied there");
    d.request_since(2, SESSION, Some(7), Some(49_999));
    d.settle_probes();
    assert_eq!(d.sent(2), vec![PRIMARY], "a commit one microsecond later is not applied there");
}

#[test]
fn checked_read_may_try_a_replica_slightly_behind_and_a_miss_turns_it_to_the_primary() {
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

#[test]
fn reads_take_a_primary_with_room_where_the_replicas_have_none() {
    // Guards against overloading the few replicas that keep up while others lag: they got all reads although
    // the primary was idle.
    let mut d = Driver::new(settings(vec![BOUNDED]));
    d.members(&[PRIMARY, REPLICA], PRIMARY);
    d.position(REPLICA, 0);
    (0..80).for_each(|id| d.request(id, BOUNDED, None));
    assert_eq!(d.sends_to(REPLICA), 24, "the replica's whole window");
    let spilt = d.sends_to(PRIMARY);
    assert!(
        (10..24).contains(&spilt),
        "{spilt}: the rest of the window is kept for requests that only a primary can serve"
    );
}

#[test]
fn read_that_finds_no_member_holds_up_none_that_needs_less() {
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
fn read_waits_for_one_probe_that_may_open_a_replica() {
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
fn read_that_has_waited_for_a_probe_in_vain_goes_to_the_primary_at_once() {
    const ASKED_AT: Micros = 5_000_000;
    const PROBE_IS_WAITED_FOR: Micros = 10_000;
    let mut d = Driver::new(settings(vec![BOUNDED]));
    d.members(&[PRIMARY, REPLICA], PRIMARY);
    d.position(REPLICA, 1);
    d.run_to(ASKED_AT);
    d.request(1, BOUNDED, None);
    assert!(d.is_probing(REPLICA));
    d.run_to(ASKED_AT + PROBE_IS_WAITED_FOR - 1);
    assert_eq!(d.sent(1), vec![], "held while the replica is probed");
    d.run_to(ASKED_AT + PROBE_IS_WAITED_FOR);
    assert_eq!(d.sent(1), vec![PRIMARY]);
}

#[test]
fn bucket_collision_parks_few_sessions() {
    let mut d = Driver::new(settings(vec![SESSION, WRITE]));
    d.members(&[PRIMARY, REPLICA], PRIMARY);
    d.write(1, 7);
    let mut parked = 0;
    for id in 10..16_010 {
        d.log.clear();
        d.request(id, SESSION, Some(id));
        let to = d.sent(id)[0];
        parked += usize::from(to == PRIMARY);
        d.ok((id, 0, to), None, to == PRIMARY);
    }
    assert!(
        (1..16).contains(&parked),
        "{parked} of 16,000 sessions share the bucket of one unanswered write"
    );
}

#[test]
fn read_that_members_cannot_check_takes_no_replica_that_is_only_supposed_to_be_recent() {
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
