//! Tests of what differs between kinds of deployments, with settings of each kind (see docs/deployments.md).

mod common;

use std::collections::BTreeMap;

use common::*;
use leadmast::*;

/// How long a db host works on a request, and on how many requests it works at a time.
const TAKES: Micros = 40_000;
const AT_ONCE: usize = 4;

/// Plays ten seconds with a primary and two replicas that can serve 300 requests a second. Each tenant sends
/// bounded reads at the given multiple of its rate; clients repeat a refused request once. Returns the share
/// of each tenant's requests that was answered within the class's target time.
fn served(settings: Settings, times: [f64; 3]) -> [f64; 3] {
    let (aim, rates) = (settings.classes[0].latency_target, [100.0, 60.0, 40.0]);
    let mut d = Driver::new(settings);
    d.members(&[PRIMARY, REPLICA, THIRD], PRIMARY);
    d.report(PRIMARY, 0, true);
    // When each of a db host's parallel workers is free again, and when each unanswered attempt will be
    // answered.
    let mut free = BTreeMap::from([PRIMARY, REPLICA, THIRD].map(|m| (m, vec![0; AT_ONCE])));
    let mut ends: BTreeMap<(u64, u32), Micros> = BTreeMap::new();
    let mut next = [0.0; 3];
    // By request: its tenant, when it was first sent, and whether it was served in time.
    let mut asked: BTreeMap<u64, (usize, Micros, bool)> = BTreeMap::new();
    let mut again: BTreeMap<Micros, Vec<u64>> = BTreeMap::new();
    for step in 0..2_000 {
        let now = step * 5_000;
        d.run_to(now);
        [REPLICA, THIRD].into_iter().for_each(|m| d.position(m, now));
        for (tenant, next) in next.iter_mut().enumerate() {
            while *next <= now as f64 {
                *next += 1e6 / rates[tenant] / times[tenant];
                let id = asked.len() as u64;
                asked.insert(id, (tenant, now, false));
                d.tenant = Some(TenantId(tenant));
                d.request_in(id, 0, GROUP);
                again.entry(now + 100_000).or_default().push(id);
            }
        }
        let refused = again.remove(&now).into_iter().flatten().filter(|id| d.refusals(*id) > 0);
        for id in refused.collect::<Vec<_>>() {
            d.tenant = Some(TenantId(asked[&id].0));
            d.request_in(id + 1_000_000, 0, GROUP);
        }
        for (at, sent) in d.still_out() {
            let end = *ends.entry((at.0, at.1)).or_insert_with(|| {
                let place = free.get_mut(&at.2).unwrap().iter_mut().min().unwrap();
                *place = sent.max(*place) + TAKES;
                *place
            });
            if end <= now {
                d.ok_after(at, Some(now), at.2 == PRIMARY, now - sent);
                let request = asked.get_mut(&(at.0 % 1_000_000)).unwrap();
                request.2 |= now - request.1 <= aim;
            }
        }
        // Only recent actions are looked at; dropping the older ones keeps the search in the log fast.
        if step % 100 == 0 {
            d.log.retain(|(at, _)| *at > now - 1_000_000);
        }
    }
    [0, 1, 2].map(|tenant| {
        let of: Vec<_> = asked.values().filter(|r| r.0 == tenant && r.1 > 2_000_000).collect();
        of.iter().filter(|r| r.2).count() as f64 / of.len() as f64
    })
}

#[test]
fn tenant_at_five_times_its_rate_costs_others_little() {
    // Guards against one tenant that takes the capacity of the others: without shares all requests wait in
    // one queue, and whoever sends most is served most.
    let usual = served(shared_site(), [1.0; 3]);
    let crowded = served(shared_site(), [5.0, 1.0, 1.0]);
    assert!(usual.iter().all(|s| *s > 0.98), "{usual:?}");
    assert!(crowded[1] > 0.95 * usual[1] && crowded[2] > 0.95 * usual[2], "{crowded:?} of {usual:?}");
    assert!(crowded[0] > 0.15, "{crowded:?}: the first tenant gets its share and the spare capacity");
    let mut none = shared_site();
    none.tenants.clear();
    let without = served(none, [5.0, 1.0, 1.0]);
    assert!(without[1] < 0.9 * usual[1], "the load has to overload the db hosts: {without:?}");
}

#[test]
fn requests_without_a_known_tenant_have_no_share_and_are_served() {
    // Guards against refusing clients that name an unknown tenant or none.
    for (tenant, beyond) in [(None, true), (Some(TenantId(7)), true), (Some(TenantId(0)), false)] {
        let mut d = Driver::new(shared_site());
        d.members(&[PRIMARY, REPLICA], PRIMARY);
        d.position(REPLICA, 1);
        d.tenant = tenant;
        d.request_in(1, 0, GROUP);
        assert_eq!((d.sent(1).len(), d.balancer.exceeds_share(RequestId(1))), (1, beyond), "{tenant:?}");
    }
    let mut d = Driver::new(keyed_site());
    d.members(&[PRIMARY, REPLICA], PRIMARY);
    d.request_in(1, 0, GROUP);
    assert!(!d.balancer.exceeds_share(RequestId(1)), "without tenants in the settings there are no shares");
}

#[test]
fn tenant_saves_up_half_a_second_of_its_share_and_no_more() {
    let mut d = Driver::new(shared_site());
    d.run_to(60_000_000);
    d.tenant = Some(TenantId(1));
    (0..100).for_each(|id| d.request_in(id, 0, GROUP));
    let within = (0..100).filter(|id| !d.balancer.exceeds_share(RequestId(*id))).count();
    // The tenant's rate is 60 requests a second.
    assert_eq!(within, 31, "the requests of half a second, and the one that is due now");
    d.run_to(60_500_000);
    (100..200).for_each(|id| d.request_in(id, 0, GROUP));
    let within = (100..200).filter(|id| !d.balancer.exceeds_share(RequestId(*id))).count();
    assert!((29..=31).contains(&within), "{within}");
}

#[test]
fn write_that_must_not_run_twice_is_sent_again_only_where_it_never_ran() {
    let primary = Some(Note { position: Some(0), primary: true });
    let replica = Some(Note { position: Some(0), primary: false });
    let endings = [
        (Ending::Error, primary, false),
        (Ending::Error, None, false),
        (Ending::Timeout, None, false),
        (Ending::Reset, None, false),
        (Ending::Cancelled, None, false),
        (Ending::Full, primary, true),
        (Ending::ConnectFailed, None, true),
        (Ending::Miss, replica, true),
        (Ending::Moot, None, true),
    ];
    for (ending, note, repeated) in endings {
        let mut d = Driver::new(shared_site());
        d.members(&[PRIMARY, REPLICA], PRIMARY);
        d.request_in(1, 2, GROUP);
        let first = d.sent(1)[0];
        d.report(REPLICA, 1_000, true);
        d.run_to(60_000);
        d.end((1, 0, first), ending, note, false);
        d.run_to(400_000);
        assert_eq!(d.sent(1).len() > 1, repeated, "{ending:?}");
        assert!(
            repeated || (d.finals(1), d.refusals(1)) == (1, 0),
            "{ending:?}: the write fails and is not refused"
        );
    }
}

#[test]
fn write_that_must_not_run_twice_has_no_copy_whatever_its_db_host_does() {
    // Guards against second copies of a write whose db host falls silent, is suspected because of other
    // attempts, or is no longer the primary.
    let mut d = Driver::new(shared_site());
    d.members(&[PRIMARY, REPLICA, THIRD], PRIMARY);
    d.report(PRIMARY, 1_000, true);
    d.request_in(1, 2, GROUP);
    d.request_in(2, 2, GROUP);
    assert_eq!(d.sent(1), vec![PRIMARY]);
    d.run_to(100_000);
    d.end((2, 0, PRIMARY), Ending::Reset, None, false);
    d.report(THIRD, 200_000, true);
    d.run_to(4_000_000);
    assert_eq!(d.sent(1), vec![PRIMARY], "the db host is silent, then suspected, then no longer the primary");
    d.run_to(5_100_000);
    assert_eq!((d.sent(1).len(), d.finals(1), d.refusals(1)), (1, 1, 0));
}

#[test]
fn write_on_a_silent_connection_keeps_its_db_host_from_nobody_else() {
    // Guards against avoiding a primary because of one write that waits on a dead connection until its
    // deadline (such writes are never repeated), while the primary answers all others.
    let mut d = Driver::new(shared_site());
    d.members(&[PRIMARY, REPLICA], PRIMARY);
    d.report(PRIMARY, 0, true);
    let primary = |d: &Driver| Some(d.now());
    for id in 100..140 {
        d.run_to(d.now() + 20_000);
        d.request_in(id, 2, GROUP);
        let at = primary(&d);
        d.run_to(d.now() + 10_000);
        d.ok_after((id, 0, PRIMARY), at, true, 10_000);
    }
    d.request_in(1, 2, GROUP);
    assert_eq!(d.sent(1), vec![PRIMARY]);
    let mut sent = 0;
    for id in 200..300 {
        for _ in 0..4 {
            d.run_to(d.now() + 5_000);
            if d.is_probing(PRIMARY) {
                d.report(PRIMARY, d.now(), true);
            }
        }
        d.request_in(id, 2, GROUP);
        d.run_to(d.now() + 10_000);
        if !d.sent(id).is_empty() {
            sent += 1;
            d.ok_after((id, 0, PRIMARY), Some(d.now()), true, 10_000);
        }
        // No requests for a while: only the stuck write is unanswered.
        if id % 20 == 0 {
            d.run_to(d.now() + 200_000);
        }
    }
    assert!(sent >= 95, "only {sent} of 100 other writes were sent to the working primary");
    assert_eq!(d.sent(1).len(), 1, "the stuck write is never repeated");
}

#[test]
fn roaming_session_sees_its_write_by_what_its_client_carries() {
    // Guards against stale session reads after a write that went through another proxy, which this one knows
    // nothing of.
    for site in [keyed_site(), shared_site()] {
        let checked = site.lag_policy != LagPolicy::AnswerStale;
        let mut d = Driver::new(site);
        d.members(&[PRIMARY, REPLICA, THIRD], PRIMARY);
        d.report(PRIMARY, 0, true);
        d.at(10_000_000);
        d.position(REPLICA, 9_940_000);
        d.position(THIRD, 9_960_000);
        for id in 0..20 {
            d.request_since(id, SESSION, Some(id), Some(50_000));
            assert_eq!(
                d.sent(id),
                vec![THIRD],
                "the only replica that has applied the write; checked {checked}"
            );
            d.ok((id, 0, THIRD), Some(9_960_000), false);
        }
        d.request_since(100, SESSION, Some(100), Some(30_000));
        d.settle_probes();
        let at_once = d.sent(100);
        assert!(
            checked || at_once == vec![PRIMARY],
            "only the primary is known to have the write: {at_once:?}"
        );
    }
}

#[test]
fn primary_is_found_where_the_list_tells_no_roles() {
    // Guards the first write after a proxy's start: no member is listed as primary, and none has been asked
    // yet.
    let mut d = Driver::new(shared_site());
    let members = [PRIMARY, REPLICA, THIRD];
    d.list(ListKind::Saved, members.iter().map(|m| entry(*m, false)).collect());
    d.request_in(1, 2, GROUP);
    for n in 0..3 {
        let to = d.sent(1)[n as usize];
        if to == REPLICA {
            d.ok((1, n, to), Some(1_000), true);
            break;
        }
        d.end((1, n, to), Ending::Miss, Some(Note { position: Some(0), primary: false }), false);
    }
    assert_eq!(d.sent(1).last(), Some(&REPLICA), "members are tried until one answers as the primary");
    d.request_in(2, 2, GROUP);
    assert_eq!(d.sent(2), vec![REPLICA], "the primary is known from then on");
}

#[test]
fn advice_stays_under_what_the_settings_allow() {
    for (mut site, most) in [(keyed_site(), 2_000_000), (shared_site(), 500_000), (shared_site(), 10_000)] {
        site.allowed.max_retry_after = most;
        let mut d = Driver::new(site);
        (0..3).for_each(|class| d.request_in(class as u64, class, GROUP));
        d.run_to(6_000_000);
        let advice = d.log.iter().filter_map(|(_, a)| match a {
            Action::Refuse { retry_after, .. } => Some(retry_after.expect("a retry time")),
            _ => None,
        });
        let advice: Vec<_> = advice.collect();
        assert!(advice.len() == 3 && advice.iter().all(|a| (1..=most).contains(a)), "{advice:?}");
    }
}
