//! Tests of how the balancer handles member lists, and of when it asks for them.

mod common;

use common::*;
use leadmast::*;

const OTHER_GROUP: GroupId = GroupId(2);

fn entry_in(member: MemberId, group: GroupId, leader: bool) -> Entry {
    Entry { member, common: member.0.into(), group, weight: 1.0, leader, ..Entry::default() }
}

/// Guards against reads at a member that was rebuilt under its old address for another group: it no longer
/// has its former group's data.
#[test]
fn member_that_is_listed_in_another_group_serves_its_former_one_no_more() {
    let mut balancer = Balancer::new(settings(vec![ANY]), 7, 0);
    let mut actions = Vec::new();
    let mut list = |balancer: &mut Balancer, now, kind, entries| {
        balancer.handle(now, Event::Members { kind, entries }, &mut actions);
    };
    let whole = vec![entry_in(PRIMARY, GROUP, true), entry_in(REPLICA, GROUP, false)];
    list(&mut balancer, 0, ListKind::Full, whole);
    list(&mut balancer, 1_000, ListKind::Incremental, vec![entry_in(REPLICA, OTHER_GROUP, true)]);
    let sent_of = |balancer: &mut Balancer, id: u64, group| {
        let mut actions = Vec::new();
        let arrival = Arrival {
            request: RequestId(id),
            class: ClassId(0),
            group,
            key: None,
            deadline: 900_000,
            since_write: None,
            repeat: false,
            checked: true,
            tenant: None,
        };
        balancer.handle(2_000, Event::Request(arrival), &mut actions);
        actions.into_iter().find_map(|action| match action {
            Action::Send { member, .. } => Some(member),
            _ => None,
        })
    };
    assert_eq!(sent_of(&mut balancer, 1, GROUP), Some(PRIMARY));
    assert_eq!(sent_of(&mut balancer, 2, OTHER_GROUP), Some(REPLICA));
}

/// A driver that opened its watch of the member list at `now` and has received a list on it.
fn driver_with_watch(now: Micros) -> Driver {
    let mut settings = settings(vec![ANY]);
    settings.list_on_request = true;
    let mut driver = Driver::new(settings);
    driver.run_to(now);
    assert_eq!(driver.watches(), 1);
    driver.members(&[PRIMARY, REPLICA], PRIMARY);
    driver
}

/// When the driver last asked for a watch.
fn latest_watch(driver: &Driver) -> Option<Micros> {
    driver.log.iter().rfind(|(_, action)| *action == Action::Watch).map(|(at, _)| *at)
}

/// Guards against missing a drain when the watch breaks as the drain is announced: discovery counts the drain
/// as delivered once it has written it to the watch, so the driver has to ask again quickly.
#[test]
fn watch_that_breaks_after_it_stood_is_opened_anew_within_50_ms() {
    const BROKEN_AT: Micros = 10_000_000;
    for seed in 0..20 {
        let mut driver = driver_with_watch(1_000);
        driver.run_to(BROKEN_AT + seed);
        driver.list(ListKind::Failed, Vec::new());
        driver.run_to(BROKEN_AT + seed + 50_000);
        assert_eq!(driver.watches(), 2);
    }
}

/// Guards the discovery service against overload: calls that keep failing are repeated less and less often.
#[test]
fn calls_for_the_list_that_fail_in_a_row_back_off() {
    const BROKEN_AT: Micros = 10_000_000;
    let mut driver = driver_with_watch(1_000);
    driver.run_to(BROKEN_AT);
    for failure in 0..30 {
        let (failed_at, before) = (driver.now(), driver.watches());
        driver.list(ListKind::Failed, Vec::new());
        driver.run_to(failed_at + 2_000_000);
        assert_eq!(driver.watches(), before + 1);
        let wait = latest_watch(&driver).expect("a watch was asked for") - failed_at;
        let least = if failure == 0 { 0 } else { (25_000 << failure.min(10)).min(1_000_000) };
        assert!(wait >= least, "after failure {failure}: {wait} us");
    }
}

/// Guards against missing a drain when several calls break one after the other: discovery may have written
/// the drain to any of them.
#[test]
fn calls_whose_connections_break_are_made_again_at_once_four_times() {
    let mut driver = driver_with_watch(1_000);
    driver.run_to(10_000_000);
    for broken in 1..=4 {
        driver.list(ListKind::Broken, Vec::new());
        let failed_at = driver.now();
        driver.run_to(failed_at + 50_000);
        assert_eq!(driver.watches(), 1 + broken);
    }
    driver.list(ListKind::Broken, Vec::new());
    let failed_at = driver.now();
    driver.run_to(failed_at + 50_000);
    assert_eq!(driver.watches(), 5, "the fifth call backs off");
}

/// Guards the discovery service against many processes that start at the same time, and drivers against calls
/// that never deliver a list.
#[test]
fn first_call_for_the_list_that_fails_is_made_again_after_a_second_or_two() {
    let mut settings = settings(vec![ANY]);
    settings.list_on_request = true;
    let mut driver = Driver::new(settings);
    driver.run_to(5_000);
    driver.list(ListKind::Failed, Vec::new());
    driver.run_to(1_004_999);
    assert_eq!(driver.watches(), 1);
    driver.run_to(2_005_001);
    assert_eq!(driver.watches(), 2);
}

/// Guards the discovery service against a busy loop of calls if it ends each call right after its list, as a
/// long poll without anything to wait for does: such a call counts as a failure.
#[test]
fn calls_that_end_right_behind_their_list_back_off_like_failures() {
    let mut driver = driver_with_watch(1_000);
    for _ in 0..20 {
        driver.members(&[PRIMARY, REPLICA], PRIMARY);
        driver.list(ListKind::Failed, Vec::new());
        let before = driver.watches();
        while driver.watches() == before {
            let now = driver.now();
            driver.run_to(now + 1_000);
        }
    }
    assert!(driver.now() >= 20 * 1_000_000, "{} us for 20 calls", driver.now());
}

#[test]
fn nothing_new_goes_to_draining_or_vanished_members() {
    let mut d = Driver::new(settings(vec![ANY]));
    d.members(&[PRIMARY, REPLICA], PRIMARY);
    d.list(ListKind::Incremental, vec![Entry { phase: Phase::Draining, ..entry(REPLICA, false) }]);
    d.request(1, ANY, None);
    assert_eq!(d.sent(1), vec![PRIMARY]);
    d.list(ListKind::Full, vec![entry(REPLICA, false)]);
    for id in 10..20 {
        d.request(id, ANY, None);
        assert_eq!(d.sent(id), vec![REPLICA], "a member that a full list lacks is removed");
    }
}

#[test]
fn members_that_are_gone_are_forgotten_and_may_return() {
    // Guards against memory and selection time that grow in a long-running process as members are replaced
    // again and again.
    let mut d = Driver::new(settings(vec![ANY]));
    d.members(&[PRIMARY, REPLICA], PRIMARY);
    d.request(1, ANY, None);
    assert_eq!(d.sent(1), vec![REPLICA]);
    for n in 10..200 {
        let gone = Entry { phase: Phase::Removed, ..entry(MemberId(n), false) };
        d.list(ListKind::Incremental, vec![entry(MemberId(n), false)]);
        d.list(ListKind::Incremental, vec![gone]);
        d.list(ListKind::Full, vec![entry(PRIMARY, true)]);
    }
    assert_eq!(
        d.balancer.member_counts().known,
        2,
        "one member is listed, and one still has an unanswered attempt"
    );
    d.ok((1, 0, REPLICA), None, false);
    d.list(ListKind::Incremental, vec![entry(REPLICA, false)]);
    d.request(2, ANY, None);
    assert_eq!(d.sent(2), vec![REPLICA]);
}

#[test]
fn member_held_out_gets_nothing_until_the_call_back_whatever_the_list_says() {
    // Guards maintenance by operators: it holds whatever the member list says, and the member is cold when it
    // ends.
    let mut d = Driver::new(settings(vec![ANY]));
    d.members(&[PRIMARY, REPLICA], PRIMARY);
    let maintain = |d: &mut Driver, out| d.handle(Event::Maintenance { member: REPLICA, out });
    maintain(&mut d, true);
    maintain(&mut d, true);
    d.list(ListKind::Incremental, vec![Entry { phase: Phase::Draining, ..entry(REPLICA, false) }]);
    d.list(ListKind::Full, vec![entry(PRIMARY, true), entry(REPLICA, false)]);
    d.request(1, ANY, None);
    assert_eq!(d.sent(1), vec![PRIMARY]);
    assert_eq!(d.balancer.member_counts(), MemberCounts { known: 2, listed: 2, unavailable: 1 });
    maintain(&mut d, false);
    assert_eq!(d.balancer.member_counts().unavailable, 0);
    for id in 10..40 {
        d.request(id, ANY, None);
    }
    let at_replica = (10..40).filter(|id| d.sent(*id) == vec![REPLICA]).count();
    assert!((1..10).contains(&at_replica), "the replica is treated as cold: {at_replica}");
}

#[test]
fn vanished_member_stays_open_where_the_settings_say_so() {
    let mut s = settings(vec![FRESH]);
    s.rules.delisted_stay_open = true;
    let mut d = Driver::new(s);
    d.members(&[PRIMARY, REPLICA], PRIMARY);
    d.list(ListKind::Full, vec![entry(REPLICA, false)]);
    d.request(1, FRESH, None);
    assert_eq!(d.sent(1), vec![PRIMARY]);
}

#[test]
fn failed_list_calls_are_asked_again_later_and_not_at_once() {
    let mut s = settings(vec![ANY]);
    s.list_on_request = true;
    let mut d = Driver::new(s);
    d.run_to(100_000);
    assert_eq!(d.watches(), 1);
    d.list(ListKind::Failed, vec![]);
    d.run_to(1_000_000);
    assert_eq!(d.watches(), 1, "the call is not repeated at once");
    d.run_to(2_200_000);
    assert_eq!(d.watches(), 2);
}
