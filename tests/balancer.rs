//! Tests of the balancer's decisions, one event at a time, on a simulated clock.

mod common;

use common::*;
use leadmast::*;

#[test]
fn write_moves_on_at_once_when_the_role_has_changed() {
    let mut d = Driver::new(settings(vec![WRITE]));
    d.members(&[PRIMARY, REPLICA], PRIMARY);
    d.at(1_000_000);
    d.request(1, WRITE, Some(7));
    assert_eq!(d.sent(1), vec![PRIMARY]);
    d.report(REPLICA, 1_000_000, true);
    d.end((1, 0, PRIMARY), Ending::Miss, Some(Note { position: Some(900_000), primary: false }), false);
    assert_eq!(
        d.sent(1),
        vec![PRIMARY, REPLICA],
        "the member that claimed the role last gets the write at once"
    );
}

#[test]
fn older_claim_does_not_unseat_a_primary() {
    let mut d = Driver::new(settings(vec![WRITE]));
    d.members(&[PRIMARY, REPLICA], PRIMARY);
    d.at(2_000_000);
    let first = d.write(1, 7);
    d.ok(first, Some(2_000_000), true);
    d.report(REPLICA, 1_500_000, true);
    d.request(2, WRITE, Some(7));
    assert_eq!(d.sent(2), vec![PRIMARY]);
}

#[test]
fn keyed_write_in_doubt_is_repeated_only_inside_its_window() {
    for (wait, sends) in [(500_000, 2), (1_999_000, 1)] {
        let mut d = Driver::new(settings(vec![WRITE]));
        d.members(&[PRIMARY, REPLICA], PRIMARY);
        d.request(1, WRITE, Some(7));
        d.at(wait);
        d.end((1, 0, PRIMARY), Ending::Error, Some(Note { position: Some(0), primary: true }), false);
        assert_eq!(d.sent(1).len(), sends, "after {wait}");
        assert_eq!(d.refusals(1), 0, "the write may have run, so it must not be refused");
    }
}

#[test]
fn window_counts_from_the_first_attempt_that_was_copied() {
    // Guards against a window that restarts when the first attempt turns out, after the copy was sent, not to
    // have run: the window of a keyed write still counts from the first attempt, because the copy was sent
    // while that attempt may have run.
    for (last, sends) in [(1_900_000, 3), (2_100_000, 2)] {
        let mut s = settings(vec![WRITE]);
        s.classes[0].deadline = 3_000_000;
        let mut d = Driver::new(s);
        d.members(&[PRIMARY, REPLICA], PRIMARY);
        d.request(1, WRITE, Some(7));
        d.report(REPLICA, 1_000, true);
        d.run_to(700_000);
        assert_eq!(d.sent(1), vec![PRIMARY, REPLICA], "a write to a silent primary is copied");
        d.end((1, 0, PRIMARY), Ending::Miss, Some(Note { position: Some(0), primary: false }), false);
        d.at(last);
        d.end((1, 1, REPLICA), Ending::Error, Some(Note { position: Some(0), primary: true }), false);
        assert_eq!(d.sent(1).len(), sends, "at {last}");
    }
}

#[test]
fn repeat_counts_from_its_first_try() {
    // Guards against work for answers that come too late to be worth anything: the client's repeat has to be
    // answered within the class's target time from its first try.
    let mut d = Driver::new(settings(vec![ANY]));
    d.request(1, ANY, None);
    d.repeat(2, ANY, 500_000);
    d.repeat(3, ANY, 880_000);
    d.run_to(20_000);
    assert_eq!(
        [1, 2, 3].map(|id| d.finals(id)),
        [0, 1, 0],
        "the client first sent request 2 400 ms ago, so it is refused at once"
    );
}

#[test]
fn silent_connection_of_a_member_that_serves_on_is_not_waited_for_to_the_end() {
    let mut d = Driver::new(settings(vec![WRITE]));
    d.members(&[PRIMARY], PRIMARY);
    for id in 10..100 {
        if id == 70 {
            d.request(1, WRITE, Some(1));
        }
        let write = d.write(id, id);
        d.run_to(d.now() + 20_000);
        d.ok(write, Some(d.now()), true);
    }
    assert_eq!(d.sent(1), vec![PRIMARY, PRIMARY], "the write is sent once more within its window");
    assert_eq!(d.finals(1), 0);
}

#[test]
fn every_request_gets_exactly_one_answer_in_time() {
    let mut d = Driver::new(settings(vec![ANY, WRITE, UNSAFE, SESSION, BOUNDED, FRESH]));
    for id in 0..60 {
        d.request_in(id, (id % 6) as usize, GroupId(9));
    }
    d.run_to(1_000_000);
    assert!((0..60).all(|id| d.finals(id) == 1), "an unknown group before any member list");
    d.members(&[PRIMARY, REPLICA], PRIMARY);
    for id in 100..160 {
        d.request_in(id, (id % 6) as usize, GROUP);
    }
    d.run_to(3_000_000);
    assert!((100..160).all(|id| d.finals(id) == 1), "members never answer");
}

#[test]
fn refusal_is_given_only_while_nothing_may_have_run() {
    let mut d = Driver::new(settings(vec![UNSAFE]));
    d.members(&[PRIMARY, REPLICA], PRIMARY);
    d.request(1, UNSAFE, Some(7));
    d.run_to(1_000_000);
    assert_eq!((d.refusals(1), d.finals(1)), (0, 1), "an attempt was unanswered at the deadline");
    d.list(ListKind::Full, vec![]);
    d.request(2, UNSAFE, Some(7));
    d.run_to(3_000_000);
    assert_eq!((d.refusals(2), d.finals(2)), (1, 1), "the write was never sent");
}

#[test]
fn write_that_no_member_takes_is_refused_before_half_its_time() {
    // Guards against holding a request until its deadline for nothing: after an early refusal its client can
    // still repeat it in time.
    let mut settings = settings(vec![WRITE]);
    settings.classes[0].late_worth = 0.3;
    let mut d = Driver::new(settings);
    d.request(1, WRITE, Some(1));
    d.run_to(300_000);
    assert_eq!(d.finals(1), 0, "held while a member may still turn up");
    d.run_to(449_000);
    assert_eq!((d.refusals(1), d.finals(1)), (1, 1));
}

#[test]
fn silent_member_is_left_alone_and_its_safe_reads_are_copied_elsewhere() {
    let mut d = Driver::new(settings(vec![ANY]));
    d.members(&[PRIMARY, REPLICA, THIRD], PRIMARY);
    let mut id = 0;
    for round in 0..60 {
        d.at(round * 20_000);
        d.request(id, ANY, None);
        if d.sent(id) == vec![THIRD] {
            d.ok((id, 0, THIRD), None, false);
        }
        id += 1;
        d.run_to(round * 20_000 + 19_000);
    }
    let late: Vec<_> = (id - 10..id).map(|i| d.sent(i)[0]).collect();
    assert_eq!(late, vec![THIRD; 10], "the silent member gets no new requests");
    assert!(
        (0..id).any(|i| d.sent(i) == vec![REPLICA, THIRD]),
        "a read that the silent member had not answered was copied"
    );
}

#[test]
fn lone_suspect_is_tried_again() {
    // Guards against a group that stays unserved because its only remaining member was suspected once and
    // never tried again.
    let mut d = Driver::new(settings(vec![FRESH]));
    d.members(&[PRIMARY], PRIMARY);
    d.request(1, FRESH, None);
    d.run_to(900_000);
    d.members_up(PRIMARY);
    let before = d.sends_to(PRIMARY);
    for id in 10..60 {
        d.request(id, FRESH, None);
        d.run_to(900_000 + (id as i64 - 9) * 30_000);
        d.members_up(PRIMARY);
    }
    assert!(d.sends_to(PRIMARY) > before, "a safe read is sent to the suspected member");
}

#[test]
fn cold_member_gets_its_share_of_what_warm_ones_bear_over_the_whole_fleet() {
    // Guards against a smallest window per driver that is harmless for one driver and, multiplied by the
    // number of drivers, overloads a cold member.
    let taken = |seed| {
        let mut s = settings(vec![ANY]);
        s.fleet_size = 250;
        let mut d = Driver::seeded(s, seed);
        d.members(&[PRIMARY, THIRD], PRIMARY);
        let mut cold = 0;
        for id in 0..300 {
            d.at(id as i64 * 100_000);
            if id == 200 {
                d.list(ListKind::Incremental, vec![Entry { since: Some(d.now()), ..entry(REPLICA, false) }]);
            }
            d.request(id, ANY, None);
            let to = d.sent(id)[0];
            cold += usize::from(to == REPLICA && id < 215);
            d.at(d.now() + 20_000);
            d.ok((id, 0, to), None, to == PRIMARY);
        }
        (cold, d.sends_to(REPLICA))
    };
    let all: Vec<_> = (0..100).map(taken).collect();
    // In the cold member's first 1.5 s the 100 drivers together send 1,500 reads, half of them to each of two
    // warm members. The cold one may get a fifth to a third of such a half, times 2.5, before it is
    // overloaded.
    let first: usize = all.iter().map(|t| t.0).sum();
    assert!((30..375).contains(&first), "{first}");
    assert!(all.iter().all(|t| t.1 >= 5), "the member warms up and takes its part of the reads");
}

#[test]
fn young_driver_gives_a_cold_member_what_an_old_one_does() {
    // Guards against load averages that count the time before the driver's own start as idle: after an
    // upgrade cold members would get next to nothing for many seconds.
    let taken = |age: u64| {
        let mut d = Driver::new(settings(vec![ANY]));
        d.members(&[PRIMARY, THIRD], PRIMARY);
        let (mut cold, mut out) = (0, Vec::new());
        for id in 0..age * 100 + 200 {
            d.at(id as i64 * 10_000);
            if id == age * 100 {
                d.list(ListKind::Incremental, vec![Entry { since: Some(d.now()), ..entry(REPLICA, false) }]);
            }
            for (id, to) in std::mem::take(&mut out) {
                d.ok((id, 0, to), None, to == PRIMARY);
            }
            d.request(id, ANY, None);
            let to = d.sent(id)[0];
            cold += u64::from(to == REPLICA);
            out.push((id, to));
        }
        cold
    };
    let (young, old) = (taken(1), taken(40));
    assert!(old > 0 && young * 10 >= old * 7, "young {young}, old {old}");
}

#[test]
fn nearly_warm_member_takes_nearly_what_a_warm_one_does() {
    // Guards against a limit for cold members that still throttles a member at the end of its warm-up. The
    // capacity of members is estimated from typical answer times. Here one answer in four takes ten times as
    // long, so members hold a multiple of the attempts that this estimate expects.
    let mut s = settings(vec![ANY]);
    s.allowed.second_copies = false;
    let mut d = Driver::new(s);
    d.members(&[PRIMARY, REPLICA, THIRD], PRIMARY);
    let mut out = Vec::new();
    for id in 0..5_000 {
        d.at(id as i64 * 1_000);
        if id == 2_000 {
            let since = Some(d.now() - 9_000_000);
            d.list(ListKind::Incremental, vec![Entry { since, ..entry(REPLICA, false) }]);
        }
        let (done, left): (Vec<_>, Vec<_>) = out.into_iter().partition(|(at, _, _)| *at <= id);
        out = left;
        for (_, id, to) in done {
            d.ok((id, 0, to), None, to == PRIMARY);
        }
        d.request(id, ANY, None);
        let to = d.sent(id).first().copied();
        out.extend(to.map(|to| (id + if id % 4 == 0 { 100 } else { 10 }, id, to)));
    }
    let at = |to| (2_000..5_000).filter(|id| d.sent(*id).first() == Some(&to)).count();
    let (nearly, warm) = (at(REPLICA), at(THIRD));
    assert!(nearly * 10 >= warm * 7, "nearly warm {nearly}, warm {warm}");
}

#[test]
fn strange_events_are_ignored() {
    let mut d = Driver::new(settings(vec![ANY]));
    d.end((5, 0, REPLICA), Ending::Ok, None, true);
    d.handle(Event::Gone { request: RequestId(77) });
    d.handle(Event::Timer { tag: TimerTag(99) });
    d.position(MemberId(55), 12);
    d.request_in(1, 40, GROUP);
    assert_eq!(d.finals(1), 1, "a request of a class that the settings lack fails at once");
    d.members(&[PRIMARY, REPLICA], PRIMARY);
    d.request(2, ANY, None);
    d.end((2, 3, REPLICA), Ending::Ok, None, false);
    d.ok((2, 0, REPLICA), None, false);
    d.ok((2, 0, REPLICA), None, false);
    assert_eq!(d.finals(2), 0, "the member's answer was final, and the balancer adds none");
}

#[test]
fn same_events_give_same_actions() {
    let run = || {
        let mut d = Driver::new(settings(vec![ANY, BOUNDED, WRITE]));
        d.members(&[PRIMARY, REPLICA, THIRD], PRIMARY);
        for id in 0..200 {
            d.at(id as i64 * 7_000);
            d.request_in(id, (id % 3) as usize, GROUP);
            if id % 5 == 0 {
                d.position(THIRD, id as i64 * 7_000);
            }
        }
        d.run_to(4_000_000);
        d.log
    };
    assert_eq!(run(), run());
    assert!(run().len() > 200);
}

#[test]
fn suspicions_in_a_row_do_not_thin_a_member_to_nothing() {
    // Guards against starving a primary that is merely overloaded: each recovery used to halve its window,
    // without a lower limit.
    let mut s = settings(vec![FRESH]);
    s.fleet_size = 250;
    let mut d = Driver::new(s);
    d.members(&[PRIMARY], PRIMARY);
    let mut id = 0;
    for _ in 0..12 {
        // A member that refuses a connection and soon answers a probe is up and accepts no more connections.
        d.request(id, FRESH, None);
        d.end((id, 0, PRIMARY), Ending::ConnectFailed, None, false);
        d.run_to(d.now() + 5_000_000);
        d.members_up(PRIMARY);
        d.at(d.now() + 60_000_000);
        id += 1;
    }
    d.request(id, FRESH, None);
    assert_eq!(d.sent(id), vec![PRIMARY]);
    d.ok((id, 0, PRIMARY), None, true);
    d.request(id + 1, FRESH, None);
    assert_eq!(d.sent(id + 1), vec![PRIMARY], "the member's window has room at once");
}

#[test]
fn member_out_of_reach_is_not_taken_for_a_restarted_one() {
    // Guards against treating members as cold for many seconds after a network partition has ended: they were
    // out of reach (connects time out), not restarted (connects are refused).
    for (elapsed, warm) in [(1_000, false), (250_000, true)] {
        let mut d = Driver::new(settings(vec![FRESH]));
        d.members(&[PRIMARY], PRIMARY);
        d.request(1, FRESH, None);
        d.run_to(elapsed);
        d.fail_to_connect((1, 0, PRIMARY), elapsed);
        d.run_to(1_500_000);
        d.members_up(PRIMARY);
        (2..5).for_each(|id| d.request(id, FRESH, None));
        assert_eq!((2..5).all(|id| d.sent(id) == vec![PRIMARY]), warm, "refused after {elapsed} us");
    }
}

#[test]
fn failed_probe_convicts_nobody() {
    // Guards against suspecting members whose probes fail while they serve requests.
    let mut d = Driver::new(settings(vec![ANY]));
    d.members(&[PRIMARY, REPLICA], PRIMARY);
    for id in 0..20 {
        d.handle(Event::Probed(Probed {
            member: REPLICA,
            ending: Ending::Timeout,
            elapsed: 0,
            report: None,
        }));
        d.request(id, ANY, None);
        assert_eq!(d.sent(id), vec![REPLICA]);
        d.ok((id, 0, REPLICA), None, false);
    }
}

#[test]
fn own_stall_is_no_silence_of_the_members() {
    // Guards against a driver that stalls and then takes all its members for silent.
    let sent_after = |stall: bool| {
        let mut d = Driver::new(settings(vec![ANY]));
        d.members(&[PRIMARY, REPLICA, THIRD], PRIMARY);
        for id in 0..8 {
            d.request(id, ANY, None);
            if d.sent(id) == vec![REPLICA] {
                d.ok((id, 0, REPLICA), None, false);
            }
        }
        d.run_to(20_000);
        if stall {
            d.at(800_000);
            d.handle(Event::Timer { tag: TimerTag(0) });
        } else {
            d.run_to(800_000);
        }
        (0..8).map(|id| d.sent(id).len()).sum::<usize>()
    };
    assert!(sent_after(false) > 8, "without a stall, requests at a silent member are copied");
    assert_eq!(sent_after(true), 8);
}

#[test]
fn idle_driver_asks_for_no_timer_and_no_probe() {
    // Guards against timers and probes of idle drivers, which cost a large fleet more than its requests do.
    let mut d = Driver::new(settings(vec![BOUNDED]));
    let members: Vec<_> = (0..80).map(MemberId).collect();
    d.members(&members, PRIMARY);
    d.run_to(1_000_000);
    let before = d.log.len();
    d.run_to(60_000_000);
    let probes = d.log.iter().filter(|(_, a)| matches!(a, Action::Probe { .. })).count();
    assert_eq!((d.log.len() - before, probes), (0, 0));
}

#[test]
fn write_looks_for_a_lost_primary_itself() {
    let mut d = Driver::new(settings(vec![WRITE]));
    d.members(&[PRIMARY, REPLICA, THIRD], PRIMARY);
    d.request(1, WRITE, Some(7));
    d.end((1, 0, PRIMARY), Ending::ConnectFailed, None, false);
    let mut tried = d.sent(1);
    assert_eq!(tried.len(), 2, "one replica is tried at once");
    d.end((1, 1, tried[1]), Ending::Miss, Some(Note { position: Some(0), primary: false }), false);
    tried = d.sent(1);
    assert_eq!(tried.len(), 3, "then the other replica");
    d.end((1, 2, tried[2]), Ending::Miss, Some(Note { position: Some(0), primary: false }), false);
    assert_eq!(d.sent(1).len(), 3, "no member is tried again right away");
}

#[test]
fn idle_connections_are_closed_where_members_refuse_and_live() {
    // Guards against db hosts that refuse connections because the idle connections of a large fleet fill
    // their connection tables.
    let mut d = Driver::new(settings(vec![ANY]));
    d.members(&[PRIMARY, REPLICA], PRIMARY);
    for id in 11..14 {
        d.request(id, ANY, None);
        d.end((id, 0, REPLICA), Ending::ConnectFailed, None, false);
        d.at(d.now() + 100_000);
        d.members_up(REPLICA);
        let closes = d.log.iter().filter(|(_, a)| matches!(a, Action::Close { .. })).count();
        assert_eq!(closes, 0, "a network may reset a few connections");
    }
    d.request(2, ANY, None);
    assert_eq!(d.sent(2), vec![REPLICA], "the member is up, and is not treated as cold");
    d.ok((2, 0, REPLICA), None, false);
    let closes = d.log.iter().filter(|(_, a)| *a == Action::Close { member: REPLICA }).count();
    assert_eq!(closes, 1);
    d.request(3, ANY, None);
    d.end((3, 0, REPLICA), Ending::ConnectFailed, None, false);
    d.at(d.now() + 200_000);
    d.request(4, ANY, None);
    assert_eq!(d.sent(4), vec![REPLICA], "one refused connection does not make the member suspected");
}

#[test]
fn lone_broken_connection_of_a_member_heard_otherwise_convicts_nobody() {
    // Guards against writes that wait although the primary still serves: networks reset single connections.
    let mut d = Driver::new(settings(vec![WRITE]));
    d.members(&[PRIMARY], PRIMARY);
    let (first, second, third) = (d.write(1, 1), d.write(2, 2), d.write(3, 3));
    d.ok(first, Some(1_000), true);
    d.end(second, Ending::Reset, None, false);
    assert_eq!(d.sent(2), vec![PRIMARY, PRIMARY], "the write is sent again at once");
    d.end(third, Ending::Reset, None, false);
    d.request(4, WRITE, Some(4));
    assert!(
        d.sent(3).len() == 1 && d.sent(4).is_empty(),
        "two resets in a row without an answer in between: the member is gone"
    );
}

#[test]
fn suspect_is_looked_at_sooner_where_aims_are_short() {
    // Guards against a fixed delay between probes of a suspected member: writes wait for such a probe, and a
    // delay that suits classes with a long target time is too long for those with a short one.
    let mut s = settings(vec![WRITE]);
    s.classes[0].latency_target = 50_000;
    let mut d = Driver::new(s);
    d.members(&[PRIMARY], PRIMARY);
    let write = d.write(1, 1);
    d.end(write, Ending::Reset, None, false);
    d.run_to(20_000);
    assert!(d.log.iter().any(|(_, a)| *a == Action::Probe { member: PRIMARY }));
}

#[test]
fn odd_settings_are_borne() {
    let mut s = settings(vec![ANY, WRITE]);
    (s.fleet_size, s.allowed.max_attempts, s.rules.warm_up_time) = (0, 0, 0);
    s.classes.iter_mut().for_each(|c| (c.latency_target, c.deadline) = (0, 0));
    let mut d = Driver::new(s);
    d.members(&[], PRIMARY);
    d.members(&[PRIMARY, REPLICA], PRIMARY);
    for id in 0..20 {
        d.request_in(id, (id % 3) as usize, GROUP);
    }
    d.run_to(1_000_000);
    assert!((0..20).all(|id| d.finals(id) == 1));
    let mut none = settings(vec![]);
    none.list_on_request = true;
    let mut d = Driver::new(none);
    d.members(&[PRIMARY], PRIMARY);
    d.request_in(1, 0, GROUP);
    assert_eq!(d.finals(1), 1);
}

#[test]
fn error_of_an_uncrowded_primary_is_tried_again_beyond_the_budget() {
    // Guards against writes that fail although the primary, which often answers with errors, has capacity to
    // spare: no other member can take them.
    let failed = |takes: Micros| {
        let mut d = Driver::new(settings(vec![WRITE]));
        d.members(&[PRIMARY, REPLICA], PRIMARY);
        for id in 0..40 {
            d.run_to(id as i64 * 300_000);
            d.request(id, WRITE, Some(id));
            // Three in four attempts end in an error.
            for n in 0..3 {
                let Some((at, sent)) = d.still_out().into_iter().find(|(at, _)| at.0 == id) else { break };
                d.run_to(sent + takes);
                let note = Some(Note { position: Some(d.now()), primary: true });
                d.end_after(at, if n < 2 { Ending::Error } else { Ending::Ok }, note, n == 2, takes);
            }
        }
        (0..40).map(|id| d.finals(id)).sum::<usize>()
    };
    assert!(failed(10_000) == 0, "{} of 40 failed", failed(10_000));
    assert!(failed(90_000) > 20, "an overloaded primary gets no extra attempts: {} failed", failed(90_000));
}

#[test]
fn attempts_called_off_at_their_deadline_tell_that_a_member_is_crowded() {
    // Guards against taking an overloaded member for a fast one: it answers some requests and leaves the
    // others until their deadline, so its answers alone look fast.
    let sends = |answered: u64| {
        let mut s = settings(vec![ANY]);
        s.fleet_size = 100;
        let mut d = Driver::new(s);
        d.members(&[PRIMARY], PRIMARY);
        for id in 0..1_000 {
            d.run_to(id as i64 * 20_000);
            d.repeat(id, ANY, 150_000);
            if let [to] = d.sent(id)[..] {
                if id % 4 < answered {
                    d.ok_after((id, 0, to), Some(d.now()), true, 10_000);
                } else {
                    d.handle(Event::Gone { request: RequestId(id) });
                    d.end_after((id, 0, to), Ending::Cancelled, None, true, 150_000);
                }
            }
        }
        (800..1_000).filter(|id| !d.sent(*id).is_empty()).count()
    };
    let (quick, half) = (sends(4), sends(2));
    assert!(quick == 200 && half < 150, "quick {quick}, answering half {half}");
}
