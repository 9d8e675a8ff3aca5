//! The fleet as all proxies see it, and one proxy's part in it.

use std::borrow::Cow;

use thiserror::Error;

use crate::budget::{Acting, Budget};
use crate::groups::{split, Group, GroupId};
use crate::homes::{Homes, Member};
use crate::roster::{Proxy, Roster};
use crate::route::{route, DirectSets, Route, Source};
use crate::sets::{Bucket, Sets};
use crate::settings::{Settings, SettingsError};

/// Why there is no placement.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum PlacementError {
    /// The settings don't fit each other.
    #[error("{0}")]
    Settings(#[from] SettingsError),
    /// The own name is not in the roster.
    #[error("the roster does not list this proxy, {own:?}")]
    NotListed {
        /// The own name.
        own: String,
    },
}

/// All groups of the fleet.
#[derive(Clone, Debug)]
pub struct Fleet {
    groups: Vec<Group>,
    sets: Sets,
    settings: Settings,
}

impl Fleet {
    /// Groups the proxies of a roster.
    ///
    /// # Errors
    /// Where the settings don't fit each other.
    pub fn new(roster: &Roster, sets: Sets, settings: Settings) -> Result<Fleet, SettingsError> {
        settings.check()?;
        Ok(Fleet { groups: split(roster, settings.group_size), sets, settings })
    }

    /// The groups, by zone and number.
    pub fn groups(&self) -> &[Group] {
        &self.groups
    }

    /// The sets.
    pub fn sets(&self) -> &Sets {
        &self.sets
    }

    /// The settings.
    pub fn settings(&self) -> &Settings {
        &self.settings
    }

    /// The homes of all sets in one group.
    pub fn homes(&self, group: &Group) -> Homes {
        Homes::new(group, &self.sets, &self.settings)
    }

    /// By what the fleet's budgets divide in one group. One that is none of the fleet's is taken for the first.
    pub fn budget(&self, group: &Group) -> Budget {
        let count = |n: usize| u32::try_from(n).unwrap_or(u32::MAX);
        let place = self.groups.iter().position(|g| g.id == group.id).unwrap_or(0);
        Budget::new(count(self.groups.len()), count(place), count(group.proxies.len()))
    }
}

/// What one proxy needs to know: its group, the homes there, and the divisors of budgets.
#[derive(Clone, Debug)]
pub struct Placement {
    group: Group,
    own: Member,
    homes: Homes,
    budget: Budget,
    sets: Sets,
    settings: Settings,
}

impl Placement {
    /// The part of the proxy of this name.
    ///
    /// # Errors
    /// Where the settings don't fit each other, or the roster doesn't list the name.
    pub fn new(
        roster: &Roster,
        own: &str,
        sets: Sets,
        settings: Settings,
    ) -> Result<Placement, PlacementError> {
        let fleet = Fleet::new(roster, sets, settings)?;
        let place = |group: &Group| group.proxies.iter().position(|proxy| proxy.name == own);
        let found = fleet.groups.iter().find_map(|group| Some((group, place(group)?)));
        let Some((group, place)) = found else {
            return Err(PlacementError::NotListed { own: own.to_owned() });
        };
        Ok(Placement {
            own: Member(u32::try_from(place).unwrap_or(u32::MAX)),
            homes: fleet.homes(group),
            budget: fleet.budget(group),
            group: group.clone(),
            sets: fleet.sets,
            settings: fleet.settings,
        })
    }

    /// The own group's name.
    pub fn group(&self) -> &GroupId {
        &self.group.id
    }

    /// The own place in the group.
    pub fn own(&self) -> Member {
        self.own
    }

    /// The proxies of the own group, by name.
    pub fn proxies(&self) -> &[Proxy] {
        &self.group.proxies
    }

    /// The sets.
    pub fn sets(&self) -> &Sets {
        &self.sets
    }

    /// The settings.
    pub fn settings(&self) -> &Settings {
        &self.settings
    }

    /// A proxy of the group.
    pub fn proxy(&self, member: Member) -> Option<&Proxy> {
        self.group.proxies.get(member.0 as usize)
    }

    /// The homes of a set's bucket in the own group, in order.
    pub fn homes(&self, cluster: u64, bucket: Bucket) -> Cow<'_, [Member]> {
        self.homes.of(cluster, bucket)
    }

    /// Where a request goes, by [`route`].
    pub fn route(
        &self,
        source: Source,
        cluster: u64,
        bucket: Bucket,
        is_available: impl Fn(Member) -> bool,
        direct: &DirectSets,
    ) -> Route {
        let homes = self.homes.of(cluster, bucket);
        route(source, self.own, &homes, is_available, direct.allows(cluster))
    }

    /// By what a budget that is bounded over the fleet divides, by [`Budget::divisor`].
    pub fn divisor(&self, cluster: u64, acting: Acting) -> u64 {
        self.budget.divisor(cluster, acting, &self.sets, &self.settings)
    }

    /// Connections to each db host of a set for the part of this bucket, by [`Budget::connections`].
    pub fn connections(&self, cluster: u64, bucket: Bucket, most: u32) -> u32 {
        let part = bucket.part(self.sets.parts(cluster, &self.settings));
        self.budget.connections(cluster, part, most, &self.sets, &self.settings)
    }
}
