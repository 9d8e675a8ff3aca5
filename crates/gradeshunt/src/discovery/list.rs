//! Reads lists of db hosts in discovery's form. No I/O.
//!
//! A list may be cut, odd or huge, and the process has little memory: entries are read one at a time from the text, and
//! of what is wrong only so much is kept as a reader of the log needs.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::net::SocketAddr;

use leadmast::settings::{fnv, Names};
use leadmast::{Entry, GroupId, ListKind, MemberId, Phase, ZoneId};
use serde_json::value::RawValue;
use serde_json::Value;

use crate::backend::Listed;
use crate::clock::Clock;

/// How many unreadable entries of a list are told of one by one.
const TOLD: usize = 3;
/// How many zones are told apart. There are a handful; what comes beyond that counts as the last.
const ZONES: usize = 64;

/// News of the list.
pub struct News {
    pub kind: ListKind,
    pub entries: Vec<Entry>,
    pub listed: Vec<Listed>,
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

/// Reads lists in discovery's form, and numbers db hosts in the order met.
pub struct Reader {
    names: Names,
    /// Those listed now; one that is gone gives its name back, and gets a new number should it return.
    numbers: HashMap<String, MemberId>,
    next: u32,
    generation: u64,
}

impl Reader {
    pub fn new(names: Names) -> Self {
        Reader { names, numbers: HashMap::new(), next: 0, generation: 0 }
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
    pub fn line(&mut self, clock: &Clock, line: &[u8]) -> Result<Option<News>, String> {
        let text = std::str::from_utf8(line).map_err(|e| format!("a list that is not UTF-8: {e}"))?;
        if text.trim().is_empty() {
            return Ok(None);
        }
        self.news(clock, text).map(Some)
    }

    /// Reads a list. Where it can't be read as a whole, nothing of it counts.
    pub fn news(&mut self, clock: &Clock, text: &str) -> Result<News, String> {
        let bad = |e: serde_json::Error| format!("a list that is not JSON: {e}");
        let fields: BTreeMap<String, &RawValue> = serde_json::from_str(text).map_err(bad)?;
        let field = |name| fields.get(name).and_then(|raw| serde_json::from_str::<Value>(raw.get()).ok());
        let list = fields.get("instances").ok_or("a list without instances")?;
        let list: Vec<&RawValue> =
            serde_json::from_str(list.get()).map_err(|_| "a list whose instances are no array")?;
        let full = field("reset").is_some_and(|v| v == true);
        let mut news = News::new(if full { ListKind::Full } else { ListKind::Incremental });
        for raw in list {
            // One odd entry must not keep a drain among the others from being heard.
            let entry = serde_json::from_str(raw.get()).map_err(|e| format!("an instance that is none: {e}"));
            match entry.and_then(|v| self.entry(clock, &v)) {
                Ok((id, entry, addr)) => {
                    news.listed.push(Listed { id, member: entry.member, addr, phase: entry.phase });
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
        self.generation = field("generation").and_then(|v| v.as_u64()).unwrap_or(self.generation);
        Ok(news)
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
            since: since.map(|ms| clock.at_unix_ms(ms)),
            phase,
            leader: v.get("replication").and_then(Value::as_str) == Some("primary"),
        };
        Ok((id.to_owned(), entry, addr))
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards a long life's memory: a day replaces all db hosts under new names, many times over.
    #[test]
    fn forgets_names_that_are_gone() {
        let names = Names { zones: vec!["a".into()], ..Names::default() };
        let mut reader = Reader::new(names);
        let mut told = |id: &str, lifecycle: &str, reset: bool| {
            let list = serde_json::json!({"generation": 1, "reset": reset, "instances": [{"instanceId": id,
                "hostPort": "127.0.0.1:1", "zone": "a", "cell": 1, "lifecycle": lifecycle}]});
            let member = reader.news(&Clock::start(), &list.to_string()).expect("a list").entries[0].member;
            (member, reader.numbers.len())
        };
        for n in 0..100 {
            assert_eq!(told(&format!("s-{n}"), "ready", false), (MemberId(n), 1));
            assert_eq!(told(&format!("s-{n}"), "gone", false), (MemberId(n), 0));
        }
        assert_eq!(told("s-0", "ready", false), (MemberId(100), 1), "it returns as another");
        assert_eq!(told("s-0", "draining", false), (MemberId(100), 1));
        assert_eq!(told("s-1", "ready", true), (MemberId(101), 1));
    }

    fn reader() -> Reader {
        Reader::new(Names { zones: vec!["a".into()], ..Names::default() })
    }

    /// Guards the loop against lists of any length: work that grows with the square of it stands for seconds.
    #[test]
    fn list_of_thousands_is_taken_and_the_next_one_forgets_it() {
        let instance = |n: usize| {
            format!(
                r#"{{"instanceId":"s-{n}","hostPort":"127.0.0.1:1","zone":"z{n}","cell":1,"lifecycle":"ready"}}"#
            )
        };
        let list = |n| {
            let all: Vec<_> = (0..n).map(instance).collect();
            format!(r#"{{"generation":1,"reset":true,"instances":[{}]}}"#, all.join(","))
        };
        let (mut reader, clock) = (reader(), Clock::start());
        let news = reader.news(&clock, &list(10_000)).expect("a list");
        assert_eq!((news.entries.len(), news.unreadable, reader.numbers.len()), (10_000, 0, 10_000));
        assert_eq!(reader.names.zones.len(), ZONES, "zones beyond a few count as one");
        reader.news(&clock, &list(3)).expect("a list");
        assert_eq!(reader.numbers.len(), 3);
    }

    /// Guards the log and the memory: of thousands of odd entries three are told of, and none keeps a number.
    #[test]
    fn odd_entries_cost_themselves_alone() {
        let odd = r#"{"instanceId":"odd","hostPort":"127.0.0.1:1","lifecycle":"ready"},[],7,"#.repeat(3_000);
        let good =
            r#"{"instanceId":"s-1","hostPort":"127.0.0.1:1","zone":"a","cell":1,"lifecycle":"draining"}"#;
        let mut reader = reader();
        let text = format!(r#"{{"generation":5,"instances":[{odd}{good},{good}]}}"#);
        let news = reader.news(&Clock::start(), &text).expect("a list");
        assert_eq!((news.unreadable, news.why.len(), reader.numbers.len()), (9_000, TOLD, 1));
        assert!(news.entries.iter().all(|e| e.phase == Phase::Draining && e.member == MemberId(0)));
    }

    /// Guards against half of a list: the held one serves on, and its version stands.
    #[test]
    fn list_that_is_cut_or_none_changes_nothing() {
        let mut reader = reader();
        let clock = Clock::start();
        let good = r#"{"generation":5,"reset":true,"instances":[{"instanceId":"s-1","hostPort":"127.0.0.1:1","zone":"a","cell":1,"lifecycle":"ready"}]}"#;
        reader.news(&clock, good).expect("a list");
        let cut = good.replace("s-1", "s-2").replace('5', "6");
        let deep = "[".repeat(100_000);
        let cuts = (0..cut.len()).map(|n| &cut[..n]).filter(|c| !c.is_empty());
        for text in cuts.chain([r#"{"instances":{}}"#, r#"{"instances":"none"}"#, "[]", "7", &deep]) {
            assert!(reader.line(&clock, text.as_bytes()).is_err(), "{text}");
            assert_eq!((reader.generation(), reader.member("s-2")), (5, None), "{text}");
        }
        assert!(reader.line(&clock, b"\xff").is_err());
        assert_eq!(reader.member("s-1"), Some(MemberId(0)));
    }
}
