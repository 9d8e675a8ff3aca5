//! Paths of requests: at most one extra hop and no loop, whatever rosters the proxies on the path hold.

mod support;

use std::collections::BTreeMap;

use gradeshunt_placement::{route, Bucket, DirectSets, Member, Placement, Route, Source};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use support::{proxy, roster_with_groups, settings, zipf};

const A: Member = Member(0);
const B: Member = Member(1);
const C: Member = Member(2);

/// More steps than any path may take.
const STEPS: usize = 50;

#[test]
fn a_client_is_served_by_its_first_home_that_can_be_had() {
    let from_client =
        |own, available: &[Member]| route(Source::Client, own, &[A, B], |m| available.contains(&m), true);
    assert_eq!(from_client(A, &[]), Route::Serve);
    assert_eq!(from_client(A, &[B]), Route::Serve);
    assert_eq!(from_client(B, &[A]), Route::SendOn(vec![A]), "the second home leaves it to the first");
    assert_eq!(from_client(B, &[]), Route::Serve, "until that one is gone");
    assert_eq!(from_client(C, &[A, B]), Route::SendOn(vec![A, B]));
    assert_eq!(from_client(C, &[B]), Route::SendOn(vec![B]));
    assert_eq!(from_client(C, &[]), Route::Direct);
    assert_eq!(route(Source::Client, C, &[A, B], |_| false, false), Route::Refuse);
    assert_eq!(route(Source::Client, C, &[], |_| true, true), Route::Direct);
}

#[test]
fn what_a_proxy_sent_is_never_sent_on() {
    for own in [A, B, C] {
        for homes in [&[A, B][..], &[C], &[]] {
            assert_eq!(route(Source::Proxy, own, homes, |_| true, false), Route::Serve);
        }
    }
}

#[test]
fn as_many_sets_go_direct_as_are_allowed() {
    let mut direct = DirectSets::new(2);
    assert!(direct.begin(1) && direct.begin(2) && direct.begin(1));
    assert!(!direct.begin(3) && !direct.allows(3) && direct.allows(2));
    assert_eq!(direct.len(), 2);
    direct.end(1);
    assert!(direct.begin(3) && !direct.allows(1));
    assert!(!DirectSets::new(0).allows(1));
}

/// One path: the proxies it passes, and how it ends.
struct Path {
    hops: Vec<String>,
    end: Option<Route>,
}

/// Follows a request of a client from a proxy. `broken` says whether a send from one to another fails.
fn follow(
    placements: &BTreeMap<String, Placement>,
    start: &str,
    cluster: u64,
    bucket: Bucket,
    broken: impl Fn(&str, &str) -> bool,
) -> Path {
    let (mut at, mut source) = (start.to_owned(), Source::Client);
    let (mut failed, mut hops) = (Vec::new(), Vec::new());
    for _ in 0..STEPS {
        let placement = &placements[&at];
        let name = |m: Member| placement.proxy(m).expect("a proxy of the group").name.clone();
        let is_available = |m: Member| !failed.contains(&name(m));
        match placement.route(source, cluster, bucket, is_available, &DirectSets::new(1)) {
            Route::SendOn(homes) => {
                let next = name(homes[0]);
                if broken(&at, &next) || !placements.contains_key(&next) {
                    failed.push(next);
                    continue;
                }
                hops.push(next.clone());
                (at, source) = (next, Source::Proxy);
                failed.clear();
            }
            end => return Path { hops, end: Some(end) },
        }
    }
    Path { hops, end: None }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 60, rng_seed: RngSeed::Fixed(29), failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn a_path_has_one_extra_hop_at_most(seed in any::<u64>(), count in 2_usize..14, groups in 1_u32..3) {
        let mut rng = fastrand::Rng::with_seed(seed);
        let names: Vec<_> = (0..count).map(|n| format!("p{n}")).collect();
        // Each proxy has a roster of its own: any of the others, some in another zone, and its own number of homes and weights.
        let placements: BTreeMap<_, _> = names.iter().map(|own| {
            let listed = names.iter().filter(|name| *name == own || rng.f64() < 0.7);
            let proxies: Vec<_> = listed.map(|name| proxy(name, "z")).collect();
            let groups = groups.min(proxies.len() as u32);
            let sets = zipf(rng.u64(1..20), rng.f64() * 2.0);
            let mut settings = settings(5, 20);
            settings.homes = rng.u32(1..=3);
            let placement = Placement::new(&roster_with_groups(proxies, groups), own, sets, settings);
            (own.clone(), placement.expect("a placement"))
        }).collect();
        let broken_links: Vec<(String, String)> = names.iter()
            .flat_map(|from| names.iter().map(move |to| (from.clone(), to.clone())))
            .filter(|_| rng.f64() < 0.3)
            .collect();
        let broken = |from: &str, to: &str| broken_links.iter().any(|(f, t)| f == from && t == to);
        for start in &names {
            for cluster in [7919, 2 * 7919, 5] {
                let path = follow(&placements, start, cluster, Bucket::new(rng.u16(..)), broken);
                prop_assert!(path.hops.len() <= 1, "hops {:?} from {start}", path.hops);
                prop_assert!(!path.hops.contains(start), "back to where it began");
                prop_assert!(path.end.is_some(), "no end from {start}");
                let after_hop = path.hops.is_empty() || path.end == Some(Route::Serve);
                prop_assert!(after_hop, "after a hop it is served: {:?}", path.end);
            }
        }
    }

    /// With one roster, and all of it available, a set's bucket has one serving proxy in a group.
    #[test]
    fn one_roster_has_one_server_of_a_bucket(seed in any::<u64>(), count in 2_usize..14) {
        let mut rng = fastrand::Rng::with_seed(seed);
        let names: Vec<_> = (0..count).map(|n| format!("p{n}")).collect();
        let proxies: Vec<_> = names.iter().map(|name| proxy(name, "z")).collect();
        let roster = roster_with_groups(proxies, 1);
        let place = |own: &String| Placement::new(&roster, own, zipf(20, 1.0), settings(5, 20)).expect("a placement");
        let placements: BTreeMap<_, _> = names.iter().map(|own| (own.clone(), place(own))).collect();
        for cluster in [7919, 2 * 7919, 5] {
            let bucket = Bucket::new(rng.u16(..));
            let ends: std::collections::BTreeSet<String> = names.iter().map(|start| {
                let path = follow(&placements, start, cluster, bucket, |_, _| false);
                path.hops.last().unwrap_or(start).clone()
            }).collect();
            prop_assert_eq!(ends.len(), 1);
        }
    }
}
