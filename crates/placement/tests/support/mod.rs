//! Rosters and sets for tests.

#![allow(dead_code, reason = "each test file uses some of these")]

use gradeshunt_placement::{Group, GroupSize, Proxy, Roster, Set, Sets, Settings, ZoneGroups};

/// A proxy without an address.
pub fn proxy(name: &str, zone: &str) -> Proxy {
    Proxy { name: name.to_owned(), zone: zone.to_owned(), address: None }
}

/// `count` proxies of one zone, with names drawn from a seed.
pub fn zone_of(zone: &str, count: usize, seed: u64) -> Vec<Proxy> {
    let mut rng = fastrand::Rng::with_seed(seed);
    (0..count).map(|n| proxy(&format!("{zone}-{n}-{:08x}", rng.u32(..)), zone)).collect()
}

/// A roster without stated numbers of groups.
pub fn roster(proxies: Vec<Proxy>) -> Roster {
    Roster::new(proxies, &[]).expect("a roster")
}

/// A roster whose zones each have so many groups.
pub fn roster_with_groups(proxies: Vec<Proxy>, groups: u32) -> Roster {
    let mut zones: Vec<String> = proxies.iter().map(|p| p.zone.clone()).collect();
    zones.sort();
    zones.dedup();
    let stated: Vec<_> = zones.into_iter().map(|zone| ZoneGroups { zone, groups }).collect();
    Roster::new(proxies, &stated).expect("a roster")
}

/// So many sets, the weight of the one of rank r being r to the minus `exponent`.
pub fn zipf(count: u64, exponent: f64) -> Sets {
    let weight = |rank: u64| (rank as f64).powf(-exponent) * 1000.0;
    let sets: Vec<_> = (1..=count).map(|r| Set { cluster: r * 7919, weight: weight(r) }).collect();
    Sets::new(&sets).expect("sets")
}

/// Settings with groups of this size.
pub fn settings(least: u32, most: u32) -> Settings {
    Settings { group_size: GroupSize { least, most }, ..Settings::default() }
}

/// The one group of a list of proxies.
pub fn group(proxies: Vec<Proxy>) -> Group {
    let fleet = gradeshunt_placement::Fleet::new(
        &roster_with_groups(proxies, 1),
        Sets::default(),
        settings(2, u32::from(u16::MAX)),
    );
    fleet.expect("a fleet").groups()[0].clone()
}
