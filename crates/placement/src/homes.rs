//! The homes of each set in one group: rendezvous hashing (Thaler, Ravishankar: "Using Name-Based Mappings to Increase Hit
//! Rates", 1998) with bounded loads (Mirrokni, Thorup, Zadimoghaddam: "Consistent Hashing with Bounded Loads", 2018).

use std::borrow::Cow;
use std::collections::BTreeMap;

use crate::groups::Group;
use crate::score::{Purpose, Score};
use crate::sets::{Bucket, Sets, BUCKETS, PARTS_PER_MEAN};
use crate::settings::Settings;

/// The largest load of a proxy, as a fraction of its group's mean: 5/4.
const LOAD_BOUND: (u128, u128) = (5, 4);
/// The most sets that a proxy is the first home of, as a fraction of its group's mean: 7/5. Its connections to db hosts follow
/// their number, however light they are.
const SETS_BOUND: (u128, u128) = (7, 5);

/// A proxy by its place in its group's list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Member(pub u32);

/// The homes of each set's parts in one group. The first home of each part serves it, the others are for its loss. Nobody's
/// load as a first home exceeds 5/4 of the mean while the group has no more than `group_size.most` proxies and `most_parts` does not bind.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Homes {
    /// What scores are made of.
    names: Vec<String>,
    homes_per_part: usize,
    /// For each set the homes of each of its parts, in order.
    sets: BTreeMap<u64, Vec<Vec<Member>>>,
    loads: Vec<Load>,
}

/// What a proxy is the first home of.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Load {
    weight: u128,
    buckets: u128,
}

/// A range of a set's buckets, which has its own homes.
#[derive(Clone, Copy, Debug)]
struct Part {
    cluster: u64,
    number: u32,
    weight: u128,
    buckets: u128,
}

/// What no proxy's load is to exceed.
#[derive(Clone, Copy, Debug)]
struct Bounds {
    weight: u128,
    buckets: u128,
}

impl Homes {
    /// The homes in one group.
    pub fn new(group: &Group, sets: &Sets, settings: &Settings) -> Homes {
        let mut homes = Homes {
            names: group.proxies.iter().map(|proxy| proxy.name.clone()).collect(),
            homes_per_part: settings.homes as usize,
            sets: BTreeMap::new(),
            loads: vec![Load::default(); group.proxies.len()],
        };
        let parts = parts_in_order(sets, settings);
        let bounds = Bounds::of(&parts, group.proxies.len());
        for part in parts {
            homes.place(part, bounds);
        }
        homes
    }

    fn place(&mut self, part: Part, bounds: Bounds) {
        let scores = self.scores(part.cluster, part.number);
        let first = self.first_home(part, &scores, bounds);
        let homes = in_order(&scores, first, self.homes_per_part);
        if let Some(load) = first.and_then(|member| self.loads.get_mut(member.0 as usize)) {
            load.weight += part.weight;
            load.buckets += part.buckets;
        }
        let of_set = self.sets.entry(part.cluster).or_default();
        let number = part.number as usize;
        if of_set.len() <= number {
            of_set.resize(number + 1, Vec::new());
        }
        of_set[number] = homes;
    }

    /// The proxy with the highest score that has room for the part. Where none has room by both bounds, the bound on load
    /// alone counts; where none has room at all, the least loaded is taken.
    fn first_home(&self, part: Part, scores: &[u64], bounds: Bounds) -> Option<Member> {
        let members = || members(scores);
        let fits_load = |m: &Member| self.load(*m).weight + part.weight <= bounds.weight;
        let fits_sets = |m: &Member| self.load(*m).buckets + part.buckets <= bounds.buckets;
        let score = |m: &Member| (scores[m.0 as usize], *m);
        let within_both = members().filter(|m| fits_load(m) && fits_sets(m)).max_by_key(score);
        let within_load = || members().filter(fits_load).max_by_key(score);
        let least_loaded = || members().min_by_key(|m| (self.load(*m).weight, *m));
        within_both.or_else(within_load).or_else(least_loaded)
    }

    fn load(&self, member: Member) -> Load {
        self.loads.get(member.0 as usize).copied().unwrap_or_default()
    }

    fn scores(&self, cluster: u64, part: u32) -> Vec<u64> {
        let key = |name: &String| Score::new(Purpose::Home).text(name).number(cluster).number(part.into());
        self.names.iter().map(|name| key(name).value()).collect()
    }

    /// The homes of a set's bucket, in order; empty in an empty group. A set that is not listed has them by score alone.
    pub fn of(&self, cluster: u64, bucket: Bucket) -> Cow<'_, [Member]> {
        match self.sets.get(&cluster) {
            Some(parts) => {
                let part = bucket.part(u32::try_from(parts.len()).unwrap_or(1));
                Cow::Borrowed(parts.get(part as usize).map_or(&[], Vec::as_slice))
            }
            None => {
                let scores = self.scores(cluster, 0);
                let first = members(&scores).max_by_key(|m| (scores[m.0 as usize], *m));
                Cow::Owned(in_order(&scores, first, self.homes_per_part))
            }
        }
    }

    /// For each set and each of its parts in order, the homes in order.
    pub fn parts(&self) -> impl Iterator<Item = (u64, &[Vec<Member>])> {
        self.sets.iter().map(|(cluster, parts)| (*cluster, parts.as_slice()))
    }

    /// The load of a proxy as a first home, as a multiple of its group's mean; 0 where there is no load.
    pub fn relative_load(&self, member: Member) -> f64 {
        let total: u128 = self.loads.iter().map(|l| l.weight).sum();
        if total == 0 {
            return 0.0;
        }
        self.load(member).weight as f64 * self.loads.len() as f64 / total as f64
    }

    /// How many sets a proxy is the first home of; a part of a set counts as that part of one.
    pub fn sets_at(&self, member: Member) -> f64 {
        self.load(member).buckets as f64 / f64::from(BUCKETS)
    }

    /// How many sets have another first home than before, by the proxies' names; a set of which a part of the buckets has one
    /// counts as that part. A set that was split otherwise or is new counts as one.
    pub fn sets_moved(&self, before: &Homes) -> f64 {
        let moved = self.sets.iter().map(|(cluster, parts)| match before.sets.get(cluster) {
            Some(then) if then.len() == parts.len() => {
                let same = |(now, then): &(&Vec<Member>, &Vec<Member>)| {
                    self.first_name(now) == before.first_name(then)
                };
                let stayed = parts.iter().zip(then).filter(same).count();
                1.0 - stayed as f64 / parts.len() as f64
            }
            _ => 1.0,
        });
        moved.sum()
    }

    fn first_name(&self, homes: &[Member]) -> Option<&str> {
        let first = homes.first()?;
        self.names.get(first.0 as usize).map(String::as_str)
    }

    /// The proxies' names, by their places.
    pub fn names(&self) -> &[String] {
        &self.names
    }
}

impl Bounds {
    fn of(parts: &[Part], proxies: usize) -> Bounds {
        let proxies = (proxies as u128).max(1);
        let weight: u128 = parts.iter().map(|part| part.weight).sum();
        let buckets: u128 = parts.iter().map(|part| part.buckets).sum();
        let bound = |total: u128, (over, under): (u128, u128)| total * over / (under * proxies);
        // Where there are fewer sets than proxies, one set has room all the same.
        let buckets = bound(buckets, SETS_BOUND).max(BUCKETS.into());
        Bounds { weight: bound(weight, LOAD_BOUND), buckets }
    }
}

/// The parts of all sets in the order of their placing. Parts of more than a quarter of the mean come before all others, while
/// there is room for them; the settings bound how far sets are split. Then the lightest first, since what a change displaces is what was placed
/// later, and the parts of heavy sets are few.
fn parts_in_order(sets: &Sets, settings: &Settings) -> Vec<Part> {
    let mut parts = Vec::new();
    for (cluster, weight) in sets.weights() {
        let count = sets.parts(cluster, settings);
        let weight = u128::from(weight).div_ceil(count.into());
        let buckets = u128::from(BUCKETS) / u128::from(count);
        parts.extend((0..count).map(|number| Part { cluster, number, weight, buckets }));
    }
    let total: u128 = parts.iter().map(|part| part.weight).sum();
    let quarter = total.div_ceil(PARTS_PER_MEAN * u128::from(settings.group_size.most.max(1)));
    parts.sort_by_cached_key(|part| {
        let score = Score::new(Purpose::PartOrder).number(part.cluster).number(part.number.into());
        (part.weight <= quarter, part.weight, score.value(), part.cluster, part.number)
    });
    parts
}

fn members(scores: &[u64]) -> impl Iterator<Item = Member> {
    (0..u32::try_from(scores.len()).unwrap_or(u32::MAX)).map(Member)
}

/// The first home, then the others by their scores.
fn in_order(scores: &[u64], first: Option<Member>, count: usize) -> Vec<Member> {
    let mut homes: Vec<Member> = first.into_iter().collect();
    while homes.len() < count.min(scores.len()) {
        let others = members(scores).filter(|m| !homes.contains(m));
        let next = others.max_by_key(|m| (scores[m.0 as usize], *m));
        homes.extend(next);
    }
    homes
}
