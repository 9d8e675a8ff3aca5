//! Reads lists of db hosts in discovery's format. No I/O.
//!
//! A list may be truncated, malformed or huge, and the process has little memory: entries are parsed one at a
//! time from the text, and only the first few errors are kept for the log.

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

/// How many unreadable entries of a list are reported one by one.
const MAX_REPORTED: usize = 3;
/// How many zones are distinguished. There are a handful; any beyond that count as the last one.
const MAX_ZONES: usize = 64;

/// A list or an update of it, or the failure to get one.
pub struct ListUpdate {
    pub kind: ListKind,
    pub entries: Vec<Entry>,
    pub listed: Vec<ListedHost>,
    /// How many entries were skipped, and what is wrong with the first few.
    pub unreadable: usize,
    pub why: Vec<String>,
}

impl ListUpdate {
    /// Creates an empty list of this kind.
    pub fn new(kind: ListKind) -> Self {
        ListUpdate { kind, entries: Vec::new(), listed: Vec::new(), unreadable: 0, why: Vec::new() }
    }
}

/// When a db host started, in Unix time and on the proxy's clock.
#[derive(Clone, Copy, Debug, PartialEq)]
struct StartTime {
    unix_ms: f64,
    at: Micros,
}

/// Reads lists in discovery's format, and numbers db hosts in the order in which they appear.
pub struct ListReader {
    names: Names,
    /// The db hosts that are listed now. One that is removed loses its number, and gets a new one if it
    /// returns.
    numbers: HashMap<String, MemberId>,
    /// Their latest start times, as reported and on the proxy's clock. The wall clock may have been stepped
    /// since: a start time that is reported again unchanged is not another start.
    starts: HashMap<MemberId, StartTime>,
    /// Db hosts listed with a start time before primaries had shown the clock offset: it may have been read
    /// wrongly.
    unconfirmed: BTreeMap<MemberId, Entry>,
    next_member: u32,
    generation: u64,
}

impl ListReader {
    pub fn new(names: Names) -> Self {
        ListReader {
            names,
            numbers: HashMap::new(),
            starts: HashMap::new(),
            unconfirmed: BTreeMap::new(),
            next_member: 0,
            generation: 0,
        }
    }

    /// Returns the version of the latest list.
    pub fn generation(&self) -> u64 {
        self.generation
    }

    /// Returns the number of a db host that is listed now.
    pub fn member(&self, id: &str) -> Option<MemberId> {
        self.numbers.get(id).copied()
    }

    /// Returns the name of a db host that is listed now.
    pub fn name(&self, member: MemberId) -> Option<&str> {
        self.numbers.iter().find(|(_, m)| **m == member).map(|(name, _)| name.as_str())
    }

    /// Reads one line of a watch; returns `None` for an empty one.
    pub fn read_line(
        &mut self,
        clock: &Clock,
        line: &[u8],
        after: u64,
    ) -> Result<Option<ListUpdate>, String> {
        let text = std::str::from_utf8(line).map_err(|e| format!("a list that is not UTF-8: {e}"))?;
        if text.trim().is_empty() {
            return Ok(None);
        }
        self.read_list(clock, text, after).map(Some)
    }

    /// Reads a list from a call that asked for the changes after the version `after`. A list that can't be
    /// parsed as a whole is rejected. A list is also ignored if another call has delivered a later version
    /// since, because it would undo what is known, drains included. A version from before the call's `after`
    /// is accepted: discovery has restarted its numbering.
    pub fn read_list(&mut self, clock: &Clock, text: &str, after: u64) -> Result<ListUpdate, String> {
        let bad = |e: serde_json::Error| format!("a list that is not JSON: {e}");
        let fields: BTreeMap<String, &RawValue> = serde_json::from_str(text).map_err(bad)?;
        let field = |name| fields.get(name).and_then(|raw| serde_json::from_str::<Value>(raw.get()).ok());
        let generation = field("generation").and_then(|v| v.as_u64()).unwrap_or(self.generation);
        let list = fields.get("instances").ok_or("a list without instances")?;
        let list: Vec<&RawValue> =
            serde_json::from_str(list.get()).map_err(|_| "a list whose instances are not an array")?;
        let versions = ListVersions { known_at_call: after, known: self.generation, listed: generation };
        if may_apply_list(versions).is_err() {
            return Ok(ListUpdate::new(ListKind::Incremental));
        }
        let full = field("reset").is_some_and(|v| v == true);
        let mut update = ListUpdate::new(if full { ListKind::Full } else { ListKind::Incremental });
        for raw in list {
            // One malformed entry must not hide a drain among the others.
            let entry =
                serde_json::from_str(raw.get()).map_err(|e| format!("an instance that is not JSON: {e}"));
            match entry.and_then(|v| self.read_entry(clock, &v)) {
                Ok((id, entry, addr)) => {
                    update.listed.push(ListedHost { id, member: entry.member, addr, phase: entry.phase });
                    update.entries.push(entry);
                }
                Err(what) => {
                    update.unreadable += 1;
                    update.why.extend((update.unreadable <= MAX_REPORTED).then_some(what));
                }
            }
        }
        // Bounds the memory of a long-lived process: names come and go all the time.
        let mut gone = HashSet::new();
        for e in &update.entries {
            match e.phase {
                Phase::Removed => gone.insert(e.member),
                Phase::Up | Phase::Draining => gone.remove(&e.member),
            };
        }
        let listed: Option<HashSet<_>> = full.then(|| update.entries.iter().map(|e| e.member).collect());
        self.numbers.retain(|_, m| !gone.contains(m) && listed.as_ref().is_none_or(|all| all.contains(m)));
        let numbers: HashSet<_> = self.numbers.values().copied().collect();
        self.starts.retain(|member, _| numbers.contains(member));
        if !clock.is_offset_confirmed(clock.now()) {
            let started = update.entries.iter().filter(|e| e.since.is_some());
            self.unconfirmed.extend(started.map(|e| (e.member, e.clone())));
        }
        self.unconfirmed.retain(|member, _| numbers.contains(member));
        self.generation = generation;
        Ok(update)
    }

    /// Returns the entries whose start times were read with a clock offset that primaries have corrected
    /// since. Otherwise a db host that has just started would count as warm.
    pub fn corrected_starts(&mut self, clock: &Clock) -> Option<ListUpdate> {
        if self.unconfirmed.is_empty() || !clock.is_offset_confirmed(clock.now()) {
            return None;
        }
        let mut update = ListUpdate::new(ListKind::Incremental);
        for (member, mut entry) in std::mem::take(&mut self.unconfirmed) {
            let Some(start) = self.starts.get_mut(&member) else { continue };
            let at = clock.latest_at_unix_ms(start.unix_ms);
            if at > start.at + STEP_TOLERANCE {
                (start.at, entry.since) = (at, Some(at));
                update.entries.push(entry);
            }
        }
        (!update.entries.is_empty()).then_some(update)
    }

    /// Converts the start time of a db host from Unix time in milliseconds to the proxy's clock.
    fn start_time(&mut self, clock: &Clock, member: MemberId, unix_ms: f64) -> Micros {
        let known = self.starts.get(&member).filter(|start| start.unix_ms == unix_ms);
        let at = known.map_or_else(|| clock.latest_at_unix_ms(unix_ms), |start| start.at);
        self.starts.insert(member, StartTime { unix_ms, at });
        at
    }

    /// A zone that the settings don't name still gets a number of its own.
    fn zone_id(&mut self, name: &str) -> ZoneId {
        self.names.zone(name).unwrap_or_else(|_| {
            if self.names.zones.len() < MAX_ZONES {
                self.names.zones.push(name.to_owned());
            }
            ZoneId(self.names.zones.len() - 1)
        })
    }

    fn read_entry(&mut self, clock: &Clock, v: &Value) -> Result<(String, Entry, SocketAddr), String> {
        let text = |key: &str| {
            v.get(key).and_then(Value::as_str).ok_or_else(|| format!("an instance without {key}"))
        };
        let (id, host_port) = (text("instanceId")?, text("hostPort")?);
        let addr = host_port.parse().map_err(|_| format!("hostPort is not an address: {host_port:?}"))?;
        let phase = match text("lifecycle")? {
            "ready" => Phase::Up,
            "draining" => Phase::Draining,
            "gone" => Phase::Removed,
            // An unknown lifecycle is not known to be ready.
            _ => Phase::Draining,
        };
        let group = GroupId(v.get("cell").and_then(Value::as_u64).ok_or("an instance without cell")?);
        let zone = text("zone")?;
        // Only a readable entry gets a number: a malformed name would keep its number for ever.
        let fresh = MemberId(self.next_member);
        let member = *self.numbers.entry(id.to_owned()).or_insert(fresh);
        self.next_member += u32::from(member == fresh);
        let since = v.get("startedAtMs").and_then(Value::as_f64).filter(|ms| *ms > 0.0);
        let entry = Entry {
            member,
            common: fnv(id),
            group,
            zone: self.zone_id(zone),
            weight: v.get("weight").and_then(Value::as_f64).unwrap_or(1.0),
            since: since.map(|ms| self.start_time(clock, member, ms)),
            phase,
            leader: v.get("replication").and_then(Value::as_str) == Some("primary"),
        };
        Ok((id.to_owned(), entry, addr))
    }
}

#[cfg(test)]
mod tests;
