//! What drivers of a large fleet do together: each test sums up over all instances, under a scripted clock.

mod common;

use common::*;
use leadmast::*;

/// One driver of a hundred, for twenty seconds: it is asked for two writes a second, of which the primary takes as long
/// over each as `takes` says of the time. Tells those that were never sent, and the attempts held, every 10 ms.
fn writes_of_one_in_a_fleet(seed: u64, takes: impl Fn(Micros) -> Micros) -> (Vec<Micros>, Vec<usize>) {
    let mut s = settings(vec![WRITE]);
    s.fleet = 100;
    let mut d = Driver::seeded(s, seed);
    d.members(&[PRIMARY, REPLICA], PRIMARY);
    let (mut asked, mut held) = (Vec::new(), Vec::new());
    for step in 0..2_000 {
        let now = step * 10_000;
        d.run_to(now);
        for (at, sent) in d.still_out() {
            if now >= sent + takes(now) {
                d.ok_after(at, Some(now), true, takes(now));
            }
        }
        if (step + seed as i64) % 50 == 0 {
            d.request(step as u64, WRITE, Some(step as u64));
            asked.push(now);
        }
        held.push(d.still_out().len());
    }
    asked.retain(|at| d.sent((at / 10_000) as u64).is_empty());
    (asked, held)
}

#[test]
fn crowded_primary_holds_few_attempts_of_a_large_fleet() {
    // Guards against turns paced by what a class usually takes: a member that takes forty times as long would hold
    // forty times the room that all drivers together give it, and answer nothing in time.
    let held = |seed| {
        let takes = |now| if now < 10_000_000 { 10_000 } else { 400_000 };
        writes_of_one_in_a_fleet(seed, takes).1[1_500..].iter().sum::<usize>() as f64 / 500.0
    };
    // Two writes a second of each are asked for: eighty attempts held in the mean, were they all sent.
    let all: f64 = (0..100).map(held).sum();
    assert!((1.0..25.0).contains(&all), "{all}");
}

#[test]
fn recovered_primary_is_used_again_though_its_last_answers_were_slow() {
    // Guards against a pace by strain that does not fade: a driver of a large fleet gets an answer in seconds, and would
    // stay away for ten where the last one was bad.
    let unsent = |seed| {
        let takes = |now| if (5_000_000..10_000_000).contains(&now) { 400_000 } else { 10_000 };
        let unsent = writes_of_one_in_a_fleet(seed, takes).0;
        // From three seconds after it has recovered.
        unsent.into_iter().filter(|at| (13_000_000..19_000_000).contains(at)).count()
    };
    // Of twelve writes of each.
    let all: usize = (0..100).map(unsent).sum();
    assert!(all < 700, "{all} of 1,200 not sent");
}

#[test]
fn cold_primary_that_answers_uncrowded_gets_what_its_rule_allows_and_no_more() {
    // Guards both sides of rule 4: half of what it allows leaves a primary idle whose writes find no turn, as it bears
    // more than the mean member; and more, over all drivers, may push it over.
    const COLD: MemberId = MemberId(3);
    let taken = |seed: u64| {
        let mut s = settings(vec![WRITE]);
        s.fleet = 100;
        let mut d = Driver::seeded(s, seed);
        d.members(&[PRIMARY, REPLICA, THIRD], PRIMARY);
        for step in 0..1_300 {
            d.run_to(step * 10_000);
            if step == 1_000 {
                // A new machine takes the primary's place, cold.
                let started = Entry { since: Some(d.now()), ..entry(COLD, true) };
                let gone = Entry { phase: Phase::Removed, ..entry(PRIMARY, false) };
                d.list(ListKind::Incremental, vec![gone, started]);
                d.report(COLD, d.now(), true);
            }
            for (at, sent) in d.still_out() {
                if d.now() >= sent + 20_000 {
                    d.ok_after(at, Some(d.now()), true, 20_000);
                }
            }
            // Ten writes a second of each: more than a cold one may get.
            if (step + seed as i64) % 10 == 0 {
                d.request(step as u64, WRITE, Some(step as u64));
            }
        }
        d.sends_to(COLD)
    };
    // In its first three seconds, of 3,000. The mean warm member bears 333 a second; of that a third in the mean, times
    // 2.5, are 830 in the three seconds.
    let all: usize = (0..100).map(taken).sum();
    assert!((650..830).contains(&all), "{all}");
}

/// Whether one driver of so many sends a read that no replica is known to be recent enough for to its primary, after
/// writes at another set's primary that were answered late.
fn read_reaches_the_primary_after_late_answers_elsewhere(fleet: u32, seed: u64) -> bool {
    let mut s = settings(vec![WRITE, BOUNDED]);
    s.fleet = fleet;
    let mut d = Driver::seeded(s, seed);
    let other = |m, leader| Entry { group: GroupId(2), ..entry(m, leader) };
    let sets =
        vec![entry(PRIMARY, true), entry(REPLICA, false), other(THIRD, true), other(MemberId(3), false)];
    d.list(ListKind::Full, sets);
    for id in 0..3 {
        d.run_to(id as i64 * 200_000);
        let write = d.write(id, id);
        d.run_to(d.now() + 150_000);
        d.ok_after(write, Some(d.now()), true, 150_000);
    }
    d.request_in(100, 1, GroupId(2));
    d.settle_probes();
    d.run_to(d.now() + 30_000);
    d.sent(100) == [THIRD]
}

#[test]
fn reads_of_a_large_fleet_keep_off_primaries_that_are_crowded_at_large() {
    // Guards against reads that drown all primaries in a crowd: one proxy of 300 sends a primary a request in seconds,
    // learns of each too late, and all of them together send it more than it bears.
    let reads = |fleet| {
        (0..300).filter(|seed| read_reaches_the_primary_after_late_answers_elsewhere(fleet, *seed)).count()
    };
    assert_eq!(reads(300), 0, "of 300 drivers");
    assert_eq!(reads(3), 300, "a small fleet judges each primary by its own answers");
}

#[test]
fn replica_that_was_behind_is_tried_again_after_a_while() {
    // Guards against reads that stay at the primary for good once its replicas were seen to lag: nobody but a read
    // would find out that they have caught up.
    let tried = |after: Micros| {
        let one = |seed: &u64| {
            let mut s = settings(vec![BOUNDED]);
            (s.fleet, s.behind, s.allowed.probes) = (300, Behind::Refuse, false);
            let mut d = Driver::seeded(s, *seed);
            d.members(&[PRIMARY, REPLICA], PRIMARY);
            d.at(5_000_000);
            d.position(REPLICA, 4_000_000);
            d.at(5_000_000 + after);
            d.request(1, BOUNDED, None);
            d.sent(1) == [REPLICA]
        };
        (0..300).filter(one).count()
    };
    assert_eq!(tried(100_000), 0, "it lags by a second, and 300 ms are allowed");
    assert_eq!(tried(4_000_000), 300);
}
