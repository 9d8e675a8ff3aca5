//! The operators' file: `placement { ... }` in protobuf's text format. What is wrong with it is told in one line with the file,
//! the line, the field, and what was expected.

use std::net::SocketAddr;

use gradeshunt_textproto::{Message, Schema};
use thiserror::Error;

use crate::fleet::{Fleet, Placement};
use crate::groups::Group;
use crate::roster::{Proxy, Roster, RosterError, ZoneGroups};
use crate::sets::{Set, SetError, Sets};
use crate::settings::{GroupSize, Settings, SettingsError};

/// What is wrong with a file, in one line.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("{file}:{what}")]
pub struct FileError {
    /// Its name, as it was given.
    pub file: String,
    /// Line, field, and what was expected.
    pub what: String,
}

/// What a file says.
struct Content {
    message: Message,
    roster: Roster,
    sets: Sets,
    settings: Settings,
}

impl Fleet {
    /// Reads the text of a file; `file` is its name, for errors.
    ///
    /// # Errors
    /// The first thing that is wrong with it.
    pub fn parse(file: &str, text: &str) -> Result<Fleet, FileError> {
        let named = |what| FileError { file: file.to_owned(), what };
        let content = Content::parse(text).map_err(named)?;
        content.fleet().map_err(named)
    }
}

impl Placement {
    /// Reads the text of a file for the proxy of this name; `file` is the file's name, for errors.
    ///
    /// # Errors
    /// The first thing that is wrong with it, also that it doesn't list the own name.
    pub fn parse(file: &str, text: &str, own: &str) -> Result<Placement, FileError> {
        let named = |what| FileError { file: file.to_owned(), what };
        let content = Content::parse(text).map_err(named)?;
        content.fleet().map_err(named)?;
        let Content { message, roster, sets, settings } = content;
        Placement::new(&roster, own, sets, settings)
            .map_err(|error| named(message.wrong("proxy", &error.to_string())))
    }
}

impl Content {
    fn parse(text: &str) -> Result<Content, String> {
        let schema = Schema::new(
            "placement.proto",
            include_str!("../proto/placement.proto"),
            "gradeshunt.placement.File",
        )?;
        let file = schema.parse(text)?;
        let Some(message) = file.inner("placement") else {
            // A message that isn't there has no line of its own.
            return Err("1: placement: missing, expected placement { ... }".to_owned());
        };
        let settings = settings(&message)?;
        let roster = roster(&message)?;
        let sets = sets(&message)?;
        Ok(Content { message, roster, sets, settings })
    }

    /// Groups the proxies, and checks that each group has as many as a part has homes.
    fn fleet(&self) -> Result<Fleet, String> {
        let fleet = Fleet::new(&self.roster, self.sets.clone(), self.settings)
            .map_err(|error| self.message.wrong(error.field(), &error.to_string()))?;
        let homes = self.settings.homes;
        let too_small = |group: &&Group| group.proxies.len() < homes as usize;
        match fleet.groups().iter().find(too_small) {
            None => Ok(fleet),
            Some(Group { id, proxies }) => {
                let what = format!("is {homes}, but group {id} has {} proxies", proxies.len());
                Err(self.message.wrong("homes", &what))
            }
        }
    }
}

fn settings(message: &Message) -> Result<Settings, String> {
    let usual = Settings::default();
    let size = message.inner("group_size");
    let size = size.as_ref();
    let settings = Settings {
        group_size: GroupSize {
            least: whole(size, "least", usual.group_size.least)?,
            most: whole(size, "most", usual.group_size.most)?,
        },
        homes: whole(Some(message), "homes", usual.homes)?,
        direct_sets: whole(Some(message), "direct_sets", usual.direct_sets)?,
        roster_versions: whole(Some(message), "roster_versions", usual.roster_versions)?,
        most_parts: whole(Some(message), "most_parts", usual.most_parts)?,
    };
    let wrong = |error: SettingsError| message.wrong(error.field(), &error.to_string());
    settings.check().map_err(wrong)?;
    Ok(settings)
}

fn whole(message: Option<&Message>, field: &str, usual: u32) -> Result<u32, String> {
    let Some(message) = message.filter(|m| m.has(field)) else { return Ok(usual) };
    let value = message.number(field);
    u32::try_from(value)
        .map_err(|_| message.wrong(field, &format!("is {value}, expected up to {}", u32::MAX)))
}

fn roster(message: &Message) -> Result<Roster, String> {
    let (proxies, zones) = (message.list("proxy"), message.list("zone"));
    let listed = proxies.iter().map(proxy).collect::<Result<Vec<_>, _>>()?;
    let stated = zones.iter().map(zone).collect::<Result<Vec<_>, _>>()?;
    Roster::new(listed, &stated).map_err(|error| {
        let what = error.to_string();
        match error {
            RosterError::Empty => message.wrong("proxy", &what),
            RosterError::NoName { proxy } | RosterError::Twice { proxy, .. } => {
                proxies[proxy].wrong("name", &what)
            }
            RosterError::NoZone { proxy, .. } => proxies[proxy].wrong("zone", &what),
            RosterError::ZoneTwice { place, .. } | RosterError::EmptyZone { place, .. } => {
                zones[place].wrong("name", &what)
            }
            RosterError::NoGroups { place } | RosterError::MoreGroupsThanProxies { place, .. } => {
                zones[place].wrong("groups", &what)
            }
        }
    })
}

fn proxy(message: &Message) -> Result<Proxy, String> {
    let address = if message.has("address") { Some(address(message)?) } else { None };
    Ok(Proxy { name: message.text("name"), zone: message.text("zone"), address })
}

fn address(message: &Message) -> Result<SocketAddr, String> {
    let text = message.text("address");
    let expected = "expected an IP address and a port, such as 192.0.2.7:6432 or [2001:db8::7]:6432";
    let parsed: SocketAddr =
        text.parse().map_err(|_| message.wrong("address", &format!("is {text:?}, {expected}")))?;
    if parsed.port() == 0 {
        return Err(message.wrong("address", &format!("is {text:?} with port 0, {expected}")));
    }
    Ok(parsed)
}

fn zone(message: &Message) -> Result<ZoneGroups, String> {
    if !message.has("groups") {
        return Err(message.wrong("groups", "missing, expected how many groups the zone's proxies form"));
    }
    Ok(ZoneGroups { zone: message.text("name"), groups: whole(Some(message), "groups", 1)? })
}

fn sets(message: &Message) -> Result<Sets, String> {
    let list = message.list("set");
    let read = list.iter().map(set).collect::<Result<Vec<_>, _>>()?;
    Sets::new(&read).map_err(|error| match error {
        SetError::Twice { place, .. } => list[place].wrong("cluster", &error.to_string()),
        SetError::Weight { place, .. } => list[place].wrong("weight", &error.to_string()),
    })
}

fn set(message: &Message) -> Result<Set, String> {
    if !message.has("cluster") {
        return Err(message.wrong("cluster", "missing, expected the set's number in requests"));
    }
    Ok(Set { cluster: message.number("cluster"), weight: message.fraction("weight").unwrap_or(1.0) })
}
