//! Reads lists of db hosts in discovery's form. No I/O.
//!
//! A list may be cut, odd or huge, and the process has little memory: entries are read one at a time from the text, and
//! of what is wrong only so much is kept as a reader of the log needs.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::net::SocketAddr;

use leadmast::permission::{may_apply_list, ListVersions};
use leadmast::settings::{fnv, Names};
use leadmast::{Entry, GroupId, ListKind, MemberId, Micros, Phase, ZoneId};
use serde_json::value::RawValue;
use serde_json::Value;

use crate::backend::ListedHost;
use crate::clock::Clock;
use crate::unix_time::STEP_TOLERANCE;

/// How many unreadable entries of a list are told of one by one.
const TOLD: usize = 3;
/// How many zones are told apart. There are a handful; what comes beyond that counts as the last.
const ZONES: usize = 64;

/// News of the list.
pub struct News {
    pub kind: ListKind,
    pub entries: Vec<Entry>,
    pub listed: Vec<ListedHost>,
    /// How many entries were passed over, and what is wrong with the first.
    pub unreadable: usize,
    pub why: Vec<String>,
}

impl News {
    /// A list of this kind, as yet empty.
    pub fn new(kind: ListKind) -> Self {
        News { kind, entries: Vec::new(), listed: Vec::new(), unreadable: 0, why: Vec::new() }
    }
}

/// When a db host has started.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Start {
    unix_ms: f64,
    at: Micros,
}

/// Reads lists in discovery's form, and numbers db hosts in the order met.
pub struct Reader {
    names: Names,
    /// Those listed now; one that is gone gives its name back, and gets a new number should it return.
    numbers: HashMap<String, MemberId>,
    /// Their last starts, as they were told and on the proxy's clock. The wall clock may have been stepped since: what is told
    /// again unchanged is no other start.
    starts: HashMap<MemberId, Start>,
    /// Listed with a start before primaries had shown the distance of the clocks: it may have been read wrongly.
    unshown: BTreeMap<MemberId, Entry>,
    next: u32,
    generation: u64,
}

impl Reader {
    pub fn new(names: Names) -> Self {
        Reader {
            names,
            numbers: HashMap::new(),
            starts: HashMap::new(),
            unshown: BTreeMap::new(),
            next: 0,
            generation: 0,
        }
    }

    /// The latest list's version.
    pub fn generation(&self) -> u64 {
        self.generation
    }

    /// The number of a db host that is listed now.
    pub fn member(&self, id: &str) -> Option<MemberId> {
        self.numbers.get(id).copied()
    }

    /// The name of a db host that is listed now.
    pub fn name(&self, member: MemberId) -> Option<&str> {
        self.numbers.iter().find(|(_, m)| **m == member).map(|(name, _)| name.as_str())
    }

    /// Reads one line of a watch; nothing for an empty one.
    pub fn line(&mut self, clock: &Clock, line: &[u8], after: u64) -> Result<Option<News>, String> {
        let text = std::str::from_utf8(line).map_err(|e| format!("a list that is not UTF-8: {e}"))?;
        if text.trim().is_empty() {
            return Ok(None);
        }
        self.news(clock, text, after).map(Some)
    }

    /// Reads a list, told to a call that asked for what changed after a version. Where it can't be read as a whole, nothing
    /// of it counts; nor where another call has told a later version since: it would set back what is known, drains too. A
    /// version from before the call asked is no such thing: discovery has begun to count anew.
    pub fn news(&mut self, clock: &Clock, text: &str, after: u64) -> Result<News, String> {
        let bad = |e: serde_json::Error| format!("a list that is not JSON: {e}");
        let fields: BTreeMap<String, &RawValue> = serde_json::from_str(text).map_err(bad)?;
        let field = |name| fields.get(name).and_then(|raw| serde_json::from_str::<Value>(raw.get()).ok());
        let generation = field("generation").and_then(|v| v.as_u64()).unwrap_or(self.generation);
        let list = fields.get("instances").ok_or("a list without instances")?;
        let list: Vec<&RawValue> =
            serde_json::from_str(list.get()).map_err(|_| "a list whose instances are no array")?;
        let versions = ListVersions { asked_after: after, known: self.generation, told: generation };
        if may_apply_list(versions).is_err() {
            return Ok(News::new(ListKind::Incremental));
        }
        let full = field("reset").is_some_and(|v| v == true);
        let mut news = News::new(if full { ListKind::Full } else { ListKind::Incremental });
        for raw in list {
            // One odd entry must not keep a drain among the others from being heard.
            let entry = serde_json::from_str(raw.get()).map_err(|e| format!("an instance that is none: {e}"));
            match entry.and_then(|v| self.entry(clock, &v)) {
                Ok((id, entry, addr)) => {
                    news.listed.push(ListedHost { id, member: entry.member, addr, phase: entry.phase });
                    news.entries.push(entry);
                }
                Err(what) => {
                    news.unreadable += 1;
                    news.why.extend((news.unreadable <= TOLD).then_some(what));
                }
            }
        }
        // Guards a long life's memory: names come and go all the time.
        let mut gone = HashSet::new();
        for e in &news.entries {
            match e.phase {
                Phase::Removed => gone.insert(e.member),
                Phase::Up | Phase::Draining => gone.remove(&e.member),
            };
        }
        let listed: Option<HashSet<_>> = full.then(|| news.entries.iter().map(|e| e.member).collect());
        self.numbers.retain(|_, m| !gone.contains(m) && listed.as_ref().is_none_or(|all| all.contains(m)));
        let numbers: HashSet<_> = self.numbers.values().copied().collect();
        self.starts.retain(|member, _| numbers.contains(member));
        if !clock.is_shown(clock.now()) {
            let started = news.entries.iter().filter(|e| e.since.is_some());
            self.unshown.extend(started.map(|e| (e.member, e.clone())));
        }
        self.unshown.retain(|member, _| numbers.contains(member));
        self.generation = generation;
        Ok(news)
    }

    /// Tells starts again that were read with a distance of the clocks which primaries have corrected since: a db host that has just
    /// started would pass for warm.
    pub fn corrected_starts(&mut self, clock: &Clock) -> Option<News> {
        if self.unshown.is_empty() || !clock.is_shown(clock.now()) {
            return None;
        }
        let mut news = News::new(ListKind::Incremental);
        for (member, mut entry) in std::mem::take(&mut self.unshown) {
            let Some(start) = self.starts.get_mut(&member) else { continue };
            let at = clock.latest_at_unix_ms(start.unix_ms);
            if at > start.at + STEP_TOLERANCE {
                (start.at, entry.since) = (at, Some(at));
                news.entries.push(entry);
            }
        }
        (!news.entries.is_empty()).then_some(news)
    }

    /// When a db host has started that tells this Unix time in milliseconds.
    fn start(&mut self, clock: &Clock, member: MemberId, unix_ms: f64) -> Micros {
        let known = self.starts.get(&member).filter(|start| start.unix_ms == unix_ms);
        let at = known.map_or_else(|| clock.latest_at_unix_ms(unix_ms), |start| start.at);
        self.starts.insert(member, Start { unix_ms, at });
        at
    }

    /// A zone that the settings don't name is still one of its own.
    fn zone(&mut self, name: &str) -> ZoneId {
        self.names.zone(name).unwrap_or_else(|_| {
            if self.names.zones.len() < ZONES {
                self.names.zones.push(name.to_owned());
            }
            ZoneId(self.names.zones.len() - 1)
        })
    }

    fn entry(&mut self, clock: &Clock, v: &Value) -> Result<(String, Entry, SocketAddr), String> {
        let text = |key: &str| {
            v.get(key).and_then(Value::as_str).ok_or_else(|| format!("an instance without {key}"))
        };
        let (id, host_port) = (text("instanceId")?, text("hostPort")?);
        let addr = host_port.parse().map_err(|_| format!("hostPort is no address: {host_port:?}"))?;
        let phase = match text("lifecycle")? {
            "ready" => Phase::Up,
            "draining" => Phase::Draining,
            "gone" => Phase::Removed,
            // Whatever else there may be one day: it is not ready.
            _ => Phase::Draining,
        };
        let group = GroupId(v.get("cell").and_then(Value::as_u64).ok_or("an instance without cell")?);
        let zone = text("zone")?;
        // Only what can be read gets a number: a name that never comes again would keep its own for good.
        let fresh = MemberId(self.next);
        let member = *self.numbers.entry(id.to_owned()).or_insert(fresh);
        self.next += u32::from(member == fresh);
        let since = v.get("startedAtMs").and_then(Value::as_f64).filter(|ms| *ms > 0.0);
        let entry = Entry {
            member,
            common: fnv(id),
            group,
            zone: self.zone(zone),
            weight: v.get("weight").and_then(Value::as_f64).unwrap_or(1.0),
            since: since.map(|ms| self.start(clock, member, ms)),
            phase,
            leader: v.get("replication").and_then(Value::as_str) == Some("primary"),
        };
        Ok((id.to_owned(), entry, addr))
    }
}

#[cfg(test)]
mod tests;
