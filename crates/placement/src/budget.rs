//! How the fleet's budgets for a db host (cold hosts, windows, probes, retries) divide among those who may use them.
//!
//! With G groups, p parts of the set, h homes a part and v versions of the roster side by side, a group has K = v p h + 1 slots
//! for a set: one for each home of each version, and one for all who go direct. Each home has 1 / (G K), each of those who go
//! direct 1 / (G K n), n being the larger of its group's size and `group_size.most`.
//!
//! Bound: let at most v versions be in force, which agree on G and on p. In each of G groups at most v p h proxies are named homes
//! by some version. Their shares come to G v p h / (G K) at most. All proxies who go direct, with at most G n in the
//! fleet, come to G n / (G K n) = 1 / K. The sum is at most (v p h + 1) / K = 1. Where versions disagree on G or p it is at most the largest
//! G K over the smallest; with w > v versions it is at most (w p h + 1) / K.

use crate::sets::Sets;
use crate::settings::Settings;

/// In what role a proxy uses a set's db hosts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Acting {
    /// As one of its homes, or as one that another proxy takes for a home.
    Home,
    /// On its own, while no home can be had.
    Direct,
}

/// What budgets divide by.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Budget {
    groups: u32,
    group_place: u32,
    group_proxies: u32,
}

impl Budget {
    /// For a proxy in the group at a place, from 0, in a fleet of so many groups; the group has `group_proxies`.
    pub fn new(groups: u32, group_place: u32, group_proxies: u32) -> Budget {
        Budget { groups: groups.max(1), group_place, group_proxies }
    }

    /// By what a budget that is bounded over the fleet divides for one proxy and one set. The module's doc comment states the
    /// bound on the sum of all shares.
    pub fn divisor(&self, cluster: u64, acting: Acting, sets: &Sets, settings: &Settings) -> u64 {
        let parts = u64::from(sets.parts(cluster, settings));
        let named = u64::from(settings.roster_versions) * parts * u64::from(settings.homes);
        let home = u64::from(self.groups) * (named + 1);
        match acting {
            Acting::Home => home,
            Acting::Direct => home * u64::from(self.group_proxies.max(settings.group_size.most)),
        }
    }

    /// Connections to each db host of a set that the first home of a part holds at most, where a db host bears `most` from the
    /// whole fleet. Over all groups and parts they sum up to `most`; where there are more groups and parts than that, each has
    /// one all the same, and the sum exceeds `most`. Homes that wait for the loss of the first are not counted: this bounds load in
    /// ordinary times, it is no rule.
    pub fn connections(&self, cluster: u64, part: u32, most: u32, sets: &Sets, settings: &Settings) -> u32 {
        let parts = u64::from(sets.parts(cluster, settings));
        let first_homes = u64::from(self.groups) * parts;
        let most = u64::from(most);
        // What is left by whole shares goes to other groups for each set.
        let place =
            (u64::from(self.group_place) * parts + u64::from(part)).wrapping_add(cluster) % first_homes;
        let one_more = u64::from(place < most % first_homes);
        u32::try_from(most / first_homes + one_more).unwrap_or(u32::MAX).max(1)
    }
}
