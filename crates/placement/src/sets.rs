//! Replica sets, their weights, and the parts that heavy ones are split into.

use std::collections::BTreeMap;

use thiserror::Error;

use crate::settings::Settings;

/// Session buckets of a set, as the tracker of writes and positions has them.
pub const BUCKETS: u16 = 4_096;
/// A part weighs at most this part of a proxy's mean load in a group of the largest size, as a divisor.
pub(crate) const PARTS_PER_MEAN: u128 = 4;
/// Weights are whole numbers of this part of 1, so that sums don't depend on their order.
const WEIGHT_UNITS: f64 = 1e6;
/// The largest weight: the sum of a million such sets still fits.
const LARGEST_WEIGHT: f64 = 1e9;

/// A session bucket of a set.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Bucket(u16);

impl Bucket {
    /// By its number; taken modulo [`BUCKETS`].
    pub fn new(number: u16) -> Bucket {
        Bucket(number % BUCKETS)
    }

    /// Its number, below [`BUCKETS`].
    pub fn number(self) -> u16 {
        self.0
    }

    /// The part it belongs to, of so many.
    pub(crate) fn part(self, parts: u32) -> u32 {
        let part = u64::from(self.0) * u64::from(parts) / u64::from(BUCKETS);
        u32::try_from(part).unwrap_or(0)
    }
}

/// A replica set.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Set {
    /// Its number in requests.
    pub cluster: u64,
    /// Its load relative to the other sets': over 0 and up to a thousand million. Rounded to millionths, upwards.
    pub weight: f64,
}

/// What is wrong with a list of sets.
#[derive(Clone, Copy, Debug, PartialEq, Error)]
pub enum SetError {
    /// A set is listed twice.
    #[error("{cluster} is given twice")]
    Twice {
        /// The second one's place in the list.
        place: usize,
        /// Its number.
        cluster: u64,
    },
    /// A weight is not usable.
    #[error("is {weight}, expected over 0 and up to {LARGEST_WEIGHT}")]
    Weight {
        /// The set's place in the list.
        place: usize,
        /// As given.
        weight: f64,
    },
}

/// The sets of the fleet, by number: how they were listed has no effect.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Sets {
    weights: BTreeMap<u64, u64>,
    total: u128,
}

impl Sets {
    /// From a list in any order; it may be empty.
    ///
    /// # Errors
    /// The first thing that is wrong with it.
    pub fn new(sets: &[Set]) -> Result<Sets, SetError> {
        let mut weights = BTreeMap::new();
        for (place, set) in sets.iter().enumerate() {
            if !(set.weight > 0.0 && set.weight <= LARGEST_WEIGHT) {
                return Err(SetError::Weight { place, weight: set.weight });
            }
            let units = (set.weight * WEIGHT_UNITS).ceil() as u64;
            if weights.insert(set.cluster, units).is_some() {
                return Err(SetError::Twice { place, cluster: set.cluster });
            }
        }
        let total = weights.values().map(|w| u128::from(*w)).sum();
        Ok(Sets { weights, total })
    }

    /// Their numbers, in order.
    pub fn clusters(&self) -> impl Iterator<Item = u64> + '_ {
        self.weights.keys().copied()
    }

    /// How many there are.
    pub fn len(&self) -> usize {
        self.weights.len()
    }

    /// Whether there is none.
    pub fn is_empty(&self) -> bool {
        self.weights.is_empty()
    }

    /// A set's share of the load of all; 0 for one that is not listed.
    pub fn share(&self, cluster: u64) -> f64 {
        let weight = self.weights.get(&cluster).copied().unwrap_or(0);
        if self.total == 0 {
            0.0
        } else {
            weight as f64 / self.total as f64
        }
    }

    /// Into how many parts a set's buckets are split: as few as keep each below a quarter of the mean load of a proxy in a group
    /// of the largest size, and no more than the settings permit. It does not depend on which proxies there are. One that is not listed is whole.
    pub fn parts(&self, cluster: u64, settings: &Settings) -> u32 {
        let Some(weight) = self.weights.get(&cluster) else { return 1 };
        let proxies = u128::from(settings.group_size.most);
        let parts = (u128::from(*weight) * PARTS_PER_MEAN * proxies).div_ceil(self.total.max(1));
        u32::try_from(parts).unwrap_or(u32::MAX).clamp(1, settings.most_parts.clamp(1, BUCKETS.into()))
    }

    pub(crate) fn weights(&self) -> impl Iterator<Item = (u64, u64)> + '_ {
        self.weights.iter().map(|(cluster, weight)| (*cluster, *weight))
    }
}
