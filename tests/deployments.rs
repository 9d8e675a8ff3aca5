//! Tests of what differs between kinds of deployments, with settings of each kind (see docs/deployments.md).

mod common;

use std::collections::BTreeMap;

use common::*;
use leadmast::*;

/// How long a db host works on a request, and on how many requests it works at a time.
const SERVICE_TIME: Micros = 40_000;
const WORKERS: usize = 4;

/// Plays ten seconds with a primary and two replicas that can serve 300 requests a second. Each tenant sends
/// bounded reads at the given multiple of its rate; clients repeat a refused request once. Returns the share
/// of each tenant's requests that was answered within the class's target time.
fn shares_served(settings: Settings, load_factors: [f64; 3]) -> [f64; 3] {
    let (aim, rates) = (settings.classes[0].latency_target, [100.0, 60.0, 40.0]);
    let mut d = Driver::new(settings);
    d.members(&[PRIMARY, REPLICA, THIRD], PRIMARY);
    d.report(PRIMARY, 0, true);
    // When each of a db host's parallel workers is free again, and when each unanswered attempt will be
    // answered.
    let mut free = BTreeMap::from([PRIMARY, REPLICA, THIRD].map(|m| (m, vec![0; WORKERS])));
    let mut ends: BTreeMap<(u64, u32), Micros> = BTreeMap::new();
    let mut next = [0.0; 3];
    // By request: its tenant, when it was first sent, and whether it was served in time.
    let mut requests: BTreeMap<u64, (usize, Micros, bool)> = BTreeMap::new();
    let mut retries: BTreeMap<Micros, Vec<u64>> = BTreeMap::new();
    for step in 0..2_000 {
        let now = step * 5_000;
        d.run_to(now);
        [REPLICA, THIRD].into_iter().for_each(|m| d.position(m, now));
        for (tenant, next) in next.iter_mut().enumerate() {
            while *next <= now as f64 {
                *next += 1e6 / rates[tenant] / load_factors[tenant];
                let id = requests.len() as u64;
                requests.insert(id, (tenant, now, false));
                d.tenant = Some(TenantId(tenant));
                d.request_in(id, 0, GROUP);
                retries.entry(now + 100_000).or_default().push(id);
            }
        }
        let refused = retries.remove(&now).into_iter().flatten().filter(|id| d.refusals(*id) > 0);
        for id in refused.collect::<Vec<_>>() {
            d.tenant = Some(TenantId(requests[&id].0));
            d.request_in(id + 1_000_000, 0, GROUP);
        }
        for (at, sent) in d.unanswered() {
            let end = *ends.entry((at.0, at.1)).or_insert_with(|| {
                let place = free.get_mut(&at.2).unwrap().iter_mut().min().unwrap();
                *place = sent.max(*place) + SERVICE_TIME;
                *place
            });
            if end <= now {
                d.ok_after(at, Some(now), at.2 == PRIMARY, now - sent);
                let request = requests.get_mut(&(at.0 % 1_000_000)).unwrap();
                request.2 |= now - request.1 <= aim;
            }
        }
        // Only recent actions are looked at; dropping the older ones keeps the search in the log fast.
        if step % 100 == 0 {
            d.log.retain(|(at, _)| *at > now - 1_000_000);
        }
    }
    [0, 1, 2].map(|tenant| {
        let of: Vec<_> = requests.values().filter(|r| r.0 == tenant && r.1 > 2_000_000).collect();
        of.iter().filter(|r| r.2).count() as f64 / of.len() as f64
    })
}

#[test]
fn tenant_at_five_times_its_rate_hardly_affects_the_others() {
    // Guards against one tenant that takes the capacity of the others: without shares all requests wait in
    // one queue, and whoever sends most is served most.
    let usual = shares_served(shared_deployment(), [1.0; 3]);
    let overloaded = shares_served(shared_deployment(), [5.0, 1.0, 1.0]);
    assert!(usual.iter().all(|s| *s > 0.98), "{usual:?}");
    assert!(
        overloaded[1] > 0.95 * usual[1] && overloaded[2] > 0.95 * usual[2],
        "{overloaded:?} of {usual:?}"
    );
    assert!(overloaded[0] > 0.15, "{overloaded:?}: the first tenant gets its share and the spare capacity");
    let mut without_tenants = shared_deployment();
    without_tenants.tenants.clear();
    let without_shares = shares_served(without_tenants, [5.0, 1.0, 1.0]);
    assert!(without_shares[1] < 0.9 * usual[1], "the load has to overload the db hosts: {without_shares:?}");
}

#[test]
fn requests_without_a_known_tenant_are_served_without_a_share() {
    // Guards against refusing clients that name an unknown tenant or none.
    for (tenant, beyond) in [(None, true), (Some(TenantId(7)), true), (Some(TenantId(0)), false)] {
        let mut d = Driver::new(shared_deployment());
        d.members(&[PRIMARY, REPLICA], PRIMARY);
        d.position(REPLICA, 1);
        d.tenant = tenant;
        d.request_in(1, 0, GROUP);
        assert_eq!((d.sent(1).len(), d.balancer.exceeds_share(RequestId(1))), (1, beyond), "{tenant:?}");
    }
    let mut d = Driver::new(keyed_deployment());
    d.members(&[PRIMARY, REPLICA], PRIMARY);
    d.request_in(1, 0, GROUP);
    assert!(!d.balancer.exceeds_share(RequestId(1)), "without tenants in the settings there are no shares");
}

#[test]
fn tenant_saves_up_at_most_half_a_second_of_its_share() {
    let mut d = Driver::new(shared_deployment());
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
fn unsafe_write_is_sent_again_only_if_it_never_ran() {
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
        let mut d = Driver::new(shared_deployment());
        d.members(&[PRIMARY, REPLICA], PRIMARY);
        d.request_in(1, 2, GROUP);
        let first = d.sent(1)[0];
        d.report(REPLICA, 1_000, true);
        d.run_to(60_000);
        d.end((1, 0, first), ending, note, false);
        d.run_to(400_000);
        assert_eq!(d.sent(1).len() > 1, repeated, "{ending:?}");
        assert!(
            repeated || (d.final_answers(1), d.refusals(1)) == (1, 0),
            "{ending:?}: the write fails and is not refused"
        );
    }
}

#[test]
fn unsafe_write_is_never_copied() {
    // Guards against second copies of a write whose db host falls silent, is suspected because of other
    // attempts, or is no longer the primary.
    let mut d = Driver::new(shared_deployment());
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
    assert_eq!((d.sent(1).len(), d.final_answers(1), d.refusals(1)), (1, 1, 0));
}

#[test]
fn unsafe_write_on_a_silent_connection_does_not_block_others() {
    // Guards against avoiding a primary because of one write that waits on a dead connection until its
    // deadline (such writes are never repeated), while the primary answers all others.
    let mut d = Driver::new(shared_deployment());
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
fn session_that_moves_between_proxies_sees_its_write_by_the_carried_token() {
    // Guards against stale session reads after a write that went through another proxy, which this one knows
    // nothing of.
    for site in [keyed_deployment(), shared_deployment()] {
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
        d.answer_probes();
        let at_once = d.sent(100);
        assert!(
            checked || at_once == vec![PRIMARY],
            "only the primary is known to have the write: {at_once:?}"
        );
    }
}

#[test]
fn primary_is_found_when_the_list_names_none() {
    // Guards the first write after a proxy's start: no member is listed as primary, and none has been asked
    // yet.
    let mut d = Driver::new(shared_deployment());
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
fn retry_advice_stays_within_the_settings() {
    for (mut site, most) in
        [(keyed_deployment(), 2_000_000), (shared_deployment(), 500_000), (shared_deployment(), 10_000)]
    {
        site.allowed.max_retry_after = most;
        let mut d = Driver::new(site);
        (0..3).for_each(|class| d.request_in(class as u64, class, GROUP));
        d.run_to(6_000_000);
        let retry_times = d.log.iter().filter_map(|(_, a)| match a {
            Action::Refuse { retry_after, .. } => Some(retry_after.expect("a retry time")),
            _ => None,
        });
        let retry_times: Vec<_> = retry_times.collect();
        assert!(
            retry_times.len() == 3 && retry_times.iter().all(|a| (1..=most).contains(a)),
            "{retry_times:?}"
        );
    }
}
