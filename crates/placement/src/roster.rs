//! The proxies of the fleet, in an order of their own: how they were listed has no effect.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use thiserror::Error;

/// A proxy of the fleet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Proxy {
    /// Unique in the fleet.
    pub name: String,
    /// As the list of db hosts names the zone.
    pub zone: String,
    /// Where other proxies reach it, where they can.
    pub address: Option<SocketAddr>,
}

/// A zone whose number of groups is stated.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ZoneGroups {
    /// The zone.
    pub zone: String,
    /// How many groups its proxies form, 1 or more.
    pub groups: u32,
}

/// What is wrong with a roster.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum RosterError {
    /// It lists no proxy.
    #[error("the roster lists no proxy")]
    Empty,
    /// A proxy has no name.
    #[error("missing, expected a name")]
    NoName {
        /// Its place in the list.
        proxy: usize,
    },
    /// A proxy has no zone.
    #[error("missing, expected the zone of proxy {name:?}")]
    NoZone {
        /// Its place in the list.
        proxy: usize,
        /// Its name.
        name: String,
    },
    /// A name is given twice.
    #[error("{name:?} is given twice")]
    Twice {
        /// The second one's place in the list.
        proxy: usize,
        /// The name.
        name: String,
    },
    /// The number of groups is stated for a zone twice.
    #[error("{zone:?} is given twice")]
    ZoneTwice {
        /// The second one's place in the list.
        place: usize,
        /// The zone.
        zone: String,
    },
    /// The number of groups is stated for a zone without proxies.
    #[error("the roster lists no proxy in {zone:?}")]
    EmptyZone {
        /// Its place in the list.
        place: usize,
        /// The zone.
        zone: String,
    },
    /// A zone is stated to have no group.
    #[error("is 0, expected 1 group or more")]
    NoGroups {
        /// Its place in the list.
        place: usize,
    },
    /// A zone is stated to have more groups than it has proxies.
    #[error("is {groups}, but {zone:?} has {proxies} proxies")]
    MoreGroupsThanProxies {
        /// Its place in the list.
        place: usize,
        /// The zone.
        zone: String,
        /// As stated.
        groups: u32,
        /// Those listed.
        proxies: usize,
    },
}

/// The proxies of the fleet by zone, each zone's by name.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Roster {
    zones: BTreeMap<String, Zone>,
}

/// A zone of the roster.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct Zone {
    pub proxies: Vec<Proxy>,
    pub stated_groups: Option<u32>,
}

impl Roster {
    /// From a list in any order.
    ///
    /// # Errors
    /// The first thing that is wrong with it.
    pub fn new(proxies: Vec<Proxy>, stated: &[ZoneGroups]) -> Result<Roster, RosterError> {
        if proxies.is_empty() {
            return Err(RosterError::Empty);
        }
        check_names(&proxies)?;
        let mut zones: BTreeMap<String, Zone> = BTreeMap::new();
        for proxy in proxies {
            zones.entry(proxy.zone.clone()).or_default().proxies.push(proxy);
        }
        for zone in zones.values_mut() {
            zone.proxies.sort_by(|a, b| a.name.cmp(&b.name));
        }
        for (place, one) in stated.iter().enumerate() {
            state_groups(&mut zones, place, one)?;
        }
        Ok(Roster { zones })
    }

    /// All proxies, by zone and name.
    pub fn proxies(&self) -> impl Iterator<Item = &Proxy> {
        self.zones.values().flat_map(|zone| &zone.proxies)
    }

    /// A proxy by its name.
    pub fn proxy(&self, name: &str) -> Option<&Proxy> {
        self.proxies().find(|proxy| proxy.name == name)
    }

    pub(crate) fn zones(&self) -> impl Iterator<Item = (&str, &Zone)> {
        self.zones.iter().map(|(name, zone)| (name.as_str(), zone))
    }
}

fn check_names(proxies: &[Proxy]) -> Result<(), RosterError> {
    let mut seen = BTreeMap::new();
    for (place, proxy) in proxies.iter().enumerate() {
        if proxy.name.is_empty() {
            return Err(RosterError::NoName { proxy: place });
        }
        if proxy.zone.is_empty() {
            return Err(RosterError::NoZone { proxy: place, name: proxy.name.clone() });
        }
        if seen.insert(&proxy.name, place).is_some() {
            return Err(RosterError::Twice { proxy: place, name: proxy.name.clone() });
        }
    }
    Ok(())
}

fn state_groups(
    zones: &mut BTreeMap<String, Zone>,
    place: usize,
    stated: &ZoneGroups,
) -> Result<(), RosterError> {
    let ZoneGroups { zone: name, groups } = stated;
    let Some(zone) = zones.get_mut(name) else {
        return Err(RosterError::EmptyZone { place, zone: name.clone() });
    };
    if zone.stated_groups.is_some() {
        return Err(RosterError::ZoneTwice { place, zone: name.clone() });
    }
    if *groups == 0 {
        return Err(RosterError::NoGroups { place });
    }
    let proxies = zone.proxies.len();
    if *groups as usize > proxies {
        return Err(RosterError::MoreGroupsThanProxies {
            place,
            zone: name.clone(),
            groups: *groups,
            proxies,
        });
    }
    zone.stated_groups = Some(*groups);
    Ok(())
}
