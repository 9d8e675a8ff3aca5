//! Groups of proxies within a zone.

use std::fmt;

use crate::roster::{Proxy, Roster, Zone};
use crate::score::{Purpose, Score};
use crate::settings::GroupSize;

/// A group's name.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct GroupId {
    /// Its zone.
    pub zone: String,
    /// Its number among the zone's groups, from 0.
    pub number: u32,
}

impl fmt::Display for GroupId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.zone, self.number)
    }
}

/// A group of proxies. In a small zone with several groups one may be empty.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Group {
    /// Its name.
    pub id: GroupId,
    /// By name.
    pub proxies: Vec<Proxy>,
}

/// How many groups so many proxies of one zone form, where the roster doesn't state it: as many as bring the mean size
/// nearest to the middle of `size`, at least one.
pub fn group_count(proxies: u32, size: GroupSize) -> u32 {
    let twice_the_middle = size.least.saturating_add(size.most).max(1);
    // Rounded to the nearest: proxies / middle + 1/2, with the middle being half of the divisor.
    let groups = (4 * u64::from(proxies) + u64::from(twice_the_middle)) / (2 * u64::from(twice_the_middle));
    u32::try_from(groups).unwrap_or(u32::MAX).max(1)
}

/// How many groups the roster should state for a zone that has `present` groups now: the same, until their mean size leaves
/// `size`. Without this, a single proxy more or less can change [`group_count`] back and forth.
pub fn keep_group_count(proxies: u32, present: u32, size: GroupSize) -> u32 {
    let present = u64::from(present);
    let fits = u64::from(size.least) * present <= u64::from(proxies)
        && u64::from(proxies) <= u64::from(size.most) * present;
    match u32::try_from(present) {
        Ok(present) if present > 0 && fits => present,
        _ => group_count(proxies, size),
    }
}

/// The groups of all zones, by zone and number. Each proxy joins the group with its highest score that has room: a proxy that
/// comes or goes moves no other, unless a group is full.
pub(crate) fn split(roster: &Roster, size: GroupSize) -> Vec<Group> {
    roster.zones().flat_map(|(name, zone)| split_zone(name, zone, size)).collect()
}

fn split_zone(name: &str, zone: &Zone, size: GroupSize) -> Vec<Group> {
    let proxies = u32::try_from(zone.proxies.len()).unwrap_or(u32::MAX);
    let count = zone.stated_groups.unwrap_or_else(|| group_count(proxies, size));
    // Where fewer groups are stated than the proxies need, all groups are larger.
    let room = proxies.div_ceil(count).max(size.most) as usize;
    let id = |number| GroupId { zone: name.to_owned(), number };
    let mut groups: Vec<Group> =
        (0..count).map(|number| Group { id: id(number), proxies: Vec::new() }).collect();
    let mut in_order: Vec<&Proxy> = zone.proxies.iter().collect();
    in_order.sort_by_cached_key(|p| (Score::new(Purpose::ProxyOrder).text(&p.name).value(), p.name.clone()));
    for proxy in in_order {
        let with_room = groups.iter_mut().filter(|group| group.proxies.len() < room);
        let chosen = with_room.max_by_key(|group| liking(proxy, &group.id));
        chosen.into_iter().for_each(|group| group.proxies.push(proxy.clone()));
    }
    for group in &mut groups {
        group.proxies.sort_by(|a, b| a.name.cmp(&b.name));
    }
    groups
}

fn liking(proxy: &Proxy, group: &GroupId) -> (u64, u32) {
    let score = Score::new(Purpose::Group).text(&proxy.name).text(&group.zone).number(group.number.into());
    (score.value(), group.number)
}
