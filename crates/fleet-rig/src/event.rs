//! Scripts over sites, in protobuf's text format.

use gradeshunt_textproto::{Message, Schema};

/// What happens to a site.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum What {
    Nothing,
    /// Its proxies are killed, connections to its db hosts reset and refused.
    Kill,
    /// Its proxies stop, its db hosts say nothing more.
    Silence,
    /// Nothing passes between it and other sites.
    CutOff,
    /// Half of its db hosts say nothing more.
    Half,
    /// All as before.
    Back,
    /// Discovery says nothing more to anybody,
    ListAbsent,
    /// and again.
    ListBack,
    /// The list says that its db hosts are gone.
    ListGone,
    /// The list says that one of its db hosts drains.
    Drain,
    /// Its proxies are told to end, one after the other, and start anew.
    Release,
}

const WHATS: [What; 11] = [
    What::Nothing,
    What::Kill,
    What::Silence,
    What::CutOff,
    What::Half,
    What::Back,
    What::ListAbsent,
    What::ListBack,
    What::ListGone,
    What::Drain,
    What::Release,
];

/// A site of a script: by name, or as the seed draws it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Which {
    Named(String),
    Drawn(usize),
}

/// One event, and what is waited for behind it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Event {
    pub what: What,
    pub site: Option<Which>,
    pub until: Option<String>,
    pub requests: u64,
    pub ms: u64,
}

/// A whole script.
#[derive(Clone, Debug, PartialEq)]
pub struct Region {
    /// The operators' file, beside the script.
    pub sites: String,
    /// As shares of the file's demand and of a warm host's capacity.
    pub load: f64,
    pub cold_share: f64,
    pub cold_ms: u64,
    pub events: Vec<Event>,
}

/// Reads a script.
///
/// # Errors
/// What is wrong with it: line, field, and what was expected.
pub fn parse(text: &str) -> Result<Region, String> {
    let script = Schema::new("fleet.proto", crate::script::SCHEMA, "gradeshunt.fleet.Region")?.parse(text)?;
    let hundredths = |field: &str, usual: u64| {
        let n = if script.has(field) { script.number(field) } else { usual };
        match n {
            1..=1000 => Ok(n as f64 / 100.0),
            _ => Err(script.wrong(field, &format!("is {n}, expected 1 to 1000"))),
        }
    };
    let sites = script.text("sites");
    if sites.is_empty() {
        return Err(script.wrong("sites", "missing, expected the operators' file beside the script"));
    }
    let events = script.list("event").iter().map(event).collect::<Result<Vec<_>, _>>()?;
    let cold_ms = if script.has("cold_ms") { script.number("cold_ms").max(1) } else { 4000 };
    Ok(Region {
        sites,
        load: hundredths("load", 100)?,
        cold_share: hundredths("cold_share", 25)?,
        cold_ms,
        events,
    })
}

fn event(m: &Message) -> Result<Event, String> {
    let what =
        usize::try_from(m.word("what")).ok().and_then(|n| WHATS.get(n)).copied().unwrap_or(What::Nothing);
    let name = m.text("site");
    let site = match name.strip_prefix('#') {
        None if name.is_empty() => None,
        None => Some(Which::Named(name)),
        Some(n) => match n.parse::<usize>() {
            Ok(n @ 1..) => Some(Which::Drawn(n - 1)),
            _ => return Err(m.wrong("site", &format!("{name:?}, expected a name, #1 or #2"))),
        },
    };
    let until = Some(m.text("until")).filter(|u| !u.is_empty());
    let everywhere = matches!(what, What::Nothing | What::ListAbsent | What::ListBack);
    if site.is_none() && (!everywhere || until.is_some()) {
        return Err(m.wrong("site", "missing, expected a name, #1 or #2"));
    }
    Ok(Event { what, site, until, requests: m.number("requests"), ms: m.number("ms") })
}

#[cfg(test)]
mod tests;
