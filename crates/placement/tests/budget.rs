//! The fleet's budgets: what all who act may use stays within the limit, also while two rosters are in force.

mod support;

use std::collections::{BTreeMap, BTreeSet};

use gradeshunt_placement::{Acting, Budget, Fleet, Roster, Set, Sets, Settings};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use support::{roster_with_groups, settings, zipf, zone_of};

/// Rounding of a sum of at most some thousand shares.
const ROUNDING: f64 = 1e-9;

/// Each proxy's divisors for a set under one roster: as a home and on its own.
fn divisors(fleet: &Fleet, cluster: u64) -> BTreeMap<String, (u64, u64)> {
    let mut all = BTreeMap::new();
    for group in fleet.groups() {
        let budget = fleet.budget(group);
        let by = |acting| budget.divisor(cluster, acting, fleet.sets(), fleet.settings());
        let both = (by(Acting::Home), by(Acting::Direct));
        all.extend(group.proxies.iter().map(|proxy| (proxy.name.clone(), both)));
    }
    all
}

/// The names of all homes of a set's parts, in all groups.
fn named_homes(fleet: &Fleet, cluster: u64) -> BTreeSet<String> {
    let mut named = BTreeSet::new();
    for group in fleet.groups() {
        let homes = fleet.homes(group);
        for (_, parts) in homes.parts().filter(|(c, _)| *c == cluster) {
            named.extend(parts.iter().flatten().map(|m| homes.names()[m.0 as usize].clone()));
        }
    }
    named
}

/// The sum of the shares of all: each proxy holds one of the versions, acts as a home where any version names it, and goes
/// direct where none does.
fn sum_of_shares(versions: &[Fleet], cluster: u64, mut held: impl FnMut() -> usize) -> f64 {
    let named: BTreeSet<String> = versions.iter().flat_map(|v| named_homes(v, cluster)).collect();
    let divisors: Vec<_> = versions.iter().map(|v| divisors(v, cluster)).collect();
    let everyone: BTreeSet<&String> = divisors.iter().flat_map(BTreeMap::keys).collect();
    let mut sum = 0.0;
    for name in everyone {
        let held = held();
        // One that its roster doesn't list holds the other one.
        let by = divisors[held].get(name).or_else(|| divisors.iter().find_map(|d| d.get(name)));
        let (home, direct) = by.copied().expect("some version lists it");
        sum += 1.0 / (if named.contains(name) { home } else { direct }) as f64;
    }
    sum
}

fn fleet(roster: &Roster, sets: &Sets, settings: Settings) -> Fleet {
    Fleet::new(roster, sets.clone(), settings).expect("a fleet")
}

#[test]
fn divides_by_homes_over_all_groups() {
    let sets: Vec<_> = (0..1_000).map(|cluster| Set { cluster, weight: 1.0 }).collect();
    let sets = Sets::new(&sets).expect("sets");
    let settings = settings(100, 130);
    // 32 groups, two versions of two homes, and the slot of those that go direct.
    let budget = Budget::new(32, 0, 106);
    assert_eq!(budget.divisor(1, Acting::Home, &sets, &settings), 32 * 5);
    assert_eq!(budget.divisor(1, Acting::Direct, &sets, &settings), 32 * 5 * 130);
    let larger = Budget::new(32, 0, 200);
    assert_eq!(larger.divisor(1, Acting::Direct, &sets, &settings), 32 * 5 * 200);
    assert_eq!(budget.connections(1, 0, 128, &sets, &settings), 4);
    assert_eq!(budget.connections(1, 0, 10, &sets, &settings), 1);
}

#[test]
fn divides_by_the_parts_of_a_heavy_set() {
    let sets = Sets::new(&[Set { cluster: 1, weight: 1.0 }, Set { cluster: 2, weight: 99.0 }]).expect("sets");
    let settings = settings(2, 4);
    assert_eq!(sets.parts(2, &settings), 16);
    let budget = Budget::new(3, 0, 4);
    assert_eq!(budget.divisor(2, Acting::Home, &sets, &settings), 3 * (2 * 16 * 2 + 1));
    // 128 over 3 groups of 16 parts: two each, and one more for 32 of the 48.
    let of = |group, part| Budget::new(3, group, 4).connections(2, part, 128, &sets, &settings);
    let all: Vec<u32> = (0..3).flat_map(|group| (0..16).map(move |part| of(group, part))).collect();
    assert_eq!(all.iter().sum::<u32>(), 128);
    assert!(all.iter().all(|one| (2..=3).contains(one)), "{all:?}");
}

/// With one roster in force, two homes in each of six groups have a fifth of the group's slots each, and the others share one.
#[test]
fn one_roster_uses_the_share_of_its_homes() {
    let sets: Vec<_> = (0..100).map(|cluster| Set { cluster, weight: 1.0 }).collect();
    let sets = Sets::new(&sets).expect("sets");
    let all: Vec<_> = (0..3).flat_map(|z| zone_of(&format!("z{z}"), 16, z)).collect();
    let versions = [fleet(&roster_with_groups(all, 2), &sets, settings(5, 20))];
    let sum = sum_of_shares(&versions, 7, || 0);
    let homes = 12.0 / (6.0 * 5.0);
    let direct = 36.0 / (6.0 * 5.0 * 20.0);
    assert!((sum - homes - direct).abs() < ROUNDING, "{sum}");
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 60, rng_seed: RngSeed::Fixed(31), failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn shares_stay_within_the_limit_while_two_rosters_differ(
        seed in any::<u64>(), zones in 1_usize..4, count in 6_usize..20, groups in 1_u32..3, changed in 0_usize..4,
    ) {
        let mut rng = fastrand::Rng::with_seed(seed);
        let (sets, settings) = (zipf(30, 0.8), settings(5, 20));
        let old: Vec<_> = (0..zones).flat_map(|z| zone_of(&format!("z{z}"), count, seed ^ z as u64)).collect();
        // Some go, and some come.
        let mut new = old.clone();
        for z in 0..zones {
            for n in 0..changed {
                let of_zone = new.iter().position(|p| p.zone == format!("z{z}")).expect("one is left");
                new.remove(of_zone + n % 2);
            }
            new.extend(zone_of(&format!("z{z}"), rng.usize(0..=changed), seed.wrapping_add(99 + z as u64)));
        }
        let versions = [old, new].map(|proxies| fleet(&roster_with_groups(proxies, groups), &sets, settings));
        for cluster in sets.clusters().step_by(5) {
            let sum = sum_of_shares(&versions, cluster, || rng.usize(0..2));
            prop_assert!(sum <= 1.0 + ROUNDING, "set {cluster}: {sum}");
        }
    }

    /// Where versions disagree on the number of groups, the sum is within the quotient of their divisors.
    #[test]
    fn shares_are_bounded_while_the_number_of_groups_differs(seed in any::<u64>(), count in 6_usize..20, zones in 1_usize..4) {
        let mut rng = fastrand::Rng::with_seed(seed);
        let (sets, settings) = (zipf(30, 0.8), settings(5, 20));
        let all: Vec<_> = (0..zones).flat_map(|z| zone_of(&format!("z{z}"), count, seed ^ z as u64)).collect();
        let versions = [1, 2].map(|groups| fleet(&roster_with_groups(all.clone(), groups), &sets, settings));
        for cluster in sets.clusters().step_by(5) {
            let sum = sum_of_shares(&versions, cluster, || rng.usize(0..2));
            prop_assert!(sum <= 2.0 + ROUNDING, "set {cluster}: {sum}");
        }
    }
}
