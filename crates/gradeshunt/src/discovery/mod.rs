//! The list of db hosts: discovery's HTTP watch and fetch.

use std::collections::{BTreeMap, HashMap};
use std::io;
use std::net::SocketAddr;

use leadmast::settings::{fnv, Names};
use leadmast::{Entry, GroupId, ListKind, MemberId, Micros, Phase, ZoneId};
use serde_json::Value;
use slog::{info, warn};

use crate::backend::Listed;
use crate::clock::Clock;
use crate::deadlines::Due;
use crate::exchange::Ask;
use crate::ids::CallId;
use crate::ring::{Moved, Ring};
use crate::turn::{Polled, Source, Turn};

/// Longest line or list taken.
const LONGEST: usize = 8 * 1024 * 1024;
/// Reads of a call in one turn.
const READS: usize = 8;

/// News of the list.
pub struct News {
    pub kind: ListKind,
    pub entries: Vec<Entry>,
    pub listed: Vec<Listed>,
    /// What is wrong with entries that were passed over.
    pub unreadable: Vec<String>,
}

/// Where a call's answer stands.
enum Part {
    Head,
    /// Before a chunk's size line.
    ChunkSize,
    /// So much of a chunk is to come.
    Chunk(usize),
    /// The line end behind a chunk.
    ChunkEnd,
    /// So much of a plain body is to come.
    Plain(usize),
    /// A body that ends with the connection.
    UntilEnd,
    Done,
}

struct Call {
    ask: Ask,
    /// A watch at the former address: it is listened to until its successor has told the list.
    former: bool,
    polled: Polled,
    inbound: Ring,
    outbound: Ring,
    part: Part,
    /// What has come of the body and is not used yet: a line of a watch, or a whole list.
    body: Vec<u8>,
    due: Micros,
}

/// Reads lists in discovery's form, and numbers db hosts in the order met.
struct Reader {
    names: Names,
    /// Those listed now; one that is gone gives its name back, and gets a new number should it return.
    numbers: HashMap<String, MemberId>,
    next: u32,
    generation: u64,
}

/// The client of discovery.
pub struct Discovery {
    addr: SocketAddr,
    silence: Micros,
    reader: Reader,
    calls: BTreeMap<CallId, Call>,
    next: u64,
}

impl Discovery {
    pub fn new(addr: SocketAddr, silence: Micros, names: Names) -> Self {
        let reader = Reader { names, numbers: HashMap::new(), next: 0, generation: 0 };
        Discovery { addr, silence, reader, calls: BTreeMap::new(), next: 0 }
    }

    /// The list as the configuration gives it, which may be old.
    pub fn known(&mut self, clock: &Clock, known: &Value) -> Result<News, String> {
        let news = self.reader.news(clock, known)?;
        Ok(News { kind: ListKind::Saved, ..news })
    }

    /// The number of a db host that is listed now.
    pub fn member(&self, id: &str) -> Option<MemberId> {
        self.reader.numbers.get(id).copied()
    }

    /// Asks; a failure is told as news.
    pub fn ask(&mut self, turn: &mut Turn, ask: Ask, news: &mut Vec<News>) {
        // One watch at a time: another would only tell the same again.
        if ask == Ask::Watch && self.calls.values().any(|c| c.ask == Ask::Watch && !c.former) {
            return;
        }
        if let Err(e) = self.call(turn, ask) {
            warn!(turn.log, "discovery cannot be reached"; "error" => e.to_string());
            news.push(failed());
        }
    }

    /// Discovery is elsewhere from now on. The watch that stands goes on being heard until the new one has
    /// told the list, so that no drain falls between the two.
    pub fn move_to(&mut self, turn: &mut Turn, addr: SocketAddr, silence: Micros, news: &mut Vec<News>) {
        self.silence = silence;
        if std::mem::replace(&mut self.addr, addr) == addr {
            return;
        }
        self.calls.values_mut().for_each(|c| c.former = true);
        self.ask(turn, Ask::Watch, news);
    }

    fn call(&mut self, turn: &mut Turn, ask: Ask) -> io::Result<()> {
        let id = CallId(self.next);
        self.next += 1;
        let path = match ask {
            Ask::Watch => format!("/api/targets?stream=1&index={}", self.reader.generation),
            Ask::Fetch => "/api/targets".to_owned(),
        };
        let polled = Polled::connect(turn, self.addr, Source::Call(id))?;
        let mut outbound = Ring::default();
        let request =
            format!("GET {path} HTTP/1.1\r\nHost: {}\r\nAccept: application/json\r\n\r\n", self.addr);
        if !outbound.push(request.as_bytes()) {
            return Err(io::ErrorKind::OutOfMemory.into());
        }
        let due = turn.now + self.silence;
        turn.deadlines.set(due, Due::Call(id));
        let inbound = Ring::default();
        let call =
            Call { ask, former: false, polled, inbound, outbound, part: Part::Head, body: Vec::new(), due };
        self.calls.insert(id, call);
        Ok(())
    }

    pub fn call_due(&mut self, turn: &mut Turn, id: CallId, news: &mut Vec<News>) {
        if self.calls.get(&id).is_some_and(|c| c.due <= turn.now) {
            self.fail(turn, id, "silent for too long", news);
        }
    }

    pub fn ready(&mut self, turn: &mut Turn, id: CallId, news: &mut Vec<News>) {
        for _ in 0..READS {
            let Some(call) = self.calls.get_mut(&id) else { return };
            let moved =
                call.outbound.drain(&call.polled.socket).and_then(|_| call.inbound.fill(&call.polled.socket));
            let ended = match moved {
                Ok(Moved::Some(_)) => false,
                Ok(Moved::Nothing) => return,
                Ok(Moved::End) => true,
                Err(e) if e.kind() == io::ErrorKind::NotConnected => return,
                Err(e) => return self.fail(turn, id, &e.to_string(), news),
            };
            let before = news.len();
            if let Err(what) = self.take(turn, id, news) {
                return self.fail(turn, id, &what, news);
            }
            let Some(call) = self.calls.get_mut(&id) else { return };
            if ended && matches!(call.part, Part::UntilEnd) {
                call.part = Part::Done;
            }
            if call.ask == Ask::Fetch && matches!(call.part, Part::Done) {
                let body = std::mem::take(&mut call.body);
                match self.reader.line(&turn.clock, &body) {
                    Ok(Some(n)) => news.push(n),
                    Ok(None) => return self.fail(turn, id, "an empty list", news),
                    Err(what) => return self.fail(turn, id, &what, news),
                }
                return self.end(turn, id);
            }
            if ended || matches!(call.part, Part::Done) {
                return self.fail(turn, id, "ended by discovery", news);
            }
            if news.len() > before {
                self.end_former(turn, id);
                info!(turn.log, "list of db hosts"; "generation" => self.reader.generation,
                    "entries" => news[before..].iter().map(|n| n.entries.len()).sum::<usize>());
            }
        }
        turn.again.push(Source::Call(id));
    }

    /// Takes what has come of an answer, in pieces that may be split anywhere.
    fn take(&mut self, turn: &mut Turn, id: CallId, news: &mut Vec<News>) -> Result<(), String> {
        let Some(call) = self.calls.get_mut(&id) else { return Ok(()) };
        loop {
            let bytes = call.inbound.bytes();
            let used = match call.part {
                Part::Head => match head(bytes)? {
                    Some((part, used)) => {
                        call.part = part;
                        used
                    }
                    None => break,
                },
                Part::ChunkSize => match httparse::parse_chunk_size(bytes) {
                    Ok(httparse::Status::Complete((used, 0))) => {
                        call.part = Part::Done;
                        used
                    }
                    Ok(httparse::Status::Complete((used, size))) => {
                        call.part = Part::Chunk(usize::try_from(size).map_err(|_| "a chunk too long")?);
                        used
                    }
                    Ok(httparse::Status::Partial) => break,
                    Err(_) => return Err("invalid chunk size".into()),
                },
                Part::Chunk(left) | Part::Plain(left) => {
                    let used = left.min(bytes.len());
                    call.body.extend(&bytes[..used]);
                    let chunk = matches!(call.part, Part::Chunk(_));
                    call.part = match (left - used, chunk) {
                        (0, true) => Part::ChunkEnd,
                        (0, false) => Part::Done,
                        (left, true) => Part::Chunk(left),
                        (left, false) => Part::Plain(left),
                    };
                    used
                }
                Part::ChunkEnd if bytes.starts_with(b"\r\n") => {
                    call.part = Part::ChunkSize;
                    2
                }
                Part::ChunkEnd if bytes.len() >= 2 => return Err("a chunk without its line end".into()),
                Part::ChunkEnd | Part::Done => break,
                Part::UntilEnd => {
                    call.body.extend(bytes);
                    bytes.len()
                }
            };
            if used == 0 && call.inbound.is_empty() {
                break;
            }
            call.inbound.consume(used);
        }
        if call.body.len() > LONGEST {
            return Err("a list too long".into());
        }
        // Any byte shows that it is alive.
        turn.deadlines.clear(call.due, Due::Call(id));
        call.due = turn.now + self.silence;
        turn.deadlines.set(call.due, Due::Call(id));
        if call.ask == Ask::Watch {
            while let Some(end) = call.body.iter().position(|b| *b == b'\n') {
                let line: Vec<u8> = call.body.drain(..=end).collect();
                news.extend(self.reader.line(&turn.clock, &line)?);
            }
        }
        Ok(())
    }

    fn fail(&mut self, turn: &mut Turn, id: CallId, why: &str, news: &mut Vec<News>) {
        let former = self.calls.get(&id).is_some_and(|c| c.former);
        self.end(turn, id);
        // Its successor is under way, or the module knows that that one has failed.
        if former {
            return info!(turn.log, "former watch ended"; "why" => why);
        }
        warn!(turn.log, "call to discovery failed"; "why" => why);
        news.push(failed());
    }

    /// The call `id` has told the list: where it is the successor, what was asked elsewhere is no longer heard.
    fn end_former(&mut self, turn: &mut Turn, id: CallId) {
        if self.calls.get(&id).is_some_and(|c| !c.former) {
            let former = self.calls.iter().filter(|(_, c)| c.former).map(|(id, _)| *id).collect::<Vec<_>>();
            former.into_iter().for_each(|id| self.end(turn, id));
        }
    }

    fn end(&mut self, turn: &mut Turn, id: CallId) {
        if let Some(call) = self.calls.remove(&id) {
            turn.deadlines.clear(call.due, Due::Call(id));
            call.polled.close(turn);
        }
    }
}

fn failed() -> News {
    News { kind: ListKind::Failed, entries: Vec::new(), listed: Vec::new(), unreadable: Vec::new() }
}

/// Reads the head of an answer: how its body comes, and the head's length.
fn head(bytes: &[u8]) -> Result<Option<(Part, usize)>, String> {
    let mut headers = [httparse::EMPTY_HEADER; 32];
    let mut response = httparse::Response::new(&mut headers);
    let used = match response.parse(bytes).map_err(|e| format!("invalid HTTP answer: {e}"))? {
        httparse::Status::Partial => return Ok(None),
        httparse::Status::Complete(used) => used,
    };
    if response.code != Some(200) {
        return Err(format!("status {}", response.code.unwrap_or(0)));
    }
    let header = |name: &str| {
        let found = response.headers.iter().find(|h| h.name.eq_ignore_ascii_case(name));
        found.and_then(|h| std::str::from_utf8(h.value).ok()).map(str::trim)
    };
    if header("transfer-encoding").is_some_and(|v| v.eq_ignore_ascii_case("chunked")) {
        return Ok(Some((Part::ChunkSize, used)));
    }
    let part = match header("content-length").map(str::parse) {
        Some(Ok(0)) => Part::Done,
        Some(Ok(length)) => Part::Plain(length),
        Some(Err(_)) => return Err("invalid Content-Length".into()),
        None => Part::UntilEnd,
    };
    Ok(Some((part, used)))
}

impl Reader {
    /// Reads one line of a watch; nothing for an empty one.
    fn line(&mut self, clock: &Clock, line: &[u8]) -> Result<Option<News>, String> {
        if line.trim_ascii().is_empty() {
            return Ok(None);
        }
        let value = serde_json::from_slice(line).map_err(|e| format!("a list that is not JSON: {e}"))?;
        self.news(clock, &value).map(Some)
    }

    fn news(&mut self, clock: &Clock, value: &Value) -> Result<News, String> {
        let list = value.get("instances").and_then(Value::as_array).ok_or("a list without instances")?;
        let full = value.get("reset").and_then(Value::as_bool).unwrap_or(false);
        let mut news = News {
            kind: if full { ListKind::Full } else { ListKind::Incremental },
            entries: Vec::new(),
            listed: Vec::new(),
            unreadable: Vec::new(),
        };
        for v in list {
            // One odd entry must not keep a drain among the others from being heard.
            match self.entry(clock, v) {
                Ok((id, entry, addr)) => {
                    news.listed.push(Listed { id, member: entry.member, addr, phase: entry.phase });
                    news.entries.push(entry);
                }
                Err(what) => news.unreadable.push(what),
            }
        }
        // Guards a long life's memory: names come and go all the time.
        let listed = |m: MemberId| news.entries.iter().rev().find(|e| e.member == m).map(|e| e.phase);
        self.numbers.retain(|_, m| match listed(*m) {
            Some(phase) => phase != Phase::Removed,
            None => !full,
        });
        self.generation = value.get("generation").and_then(Value::as_u64).unwrap_or(self.generation);
        Ok(news)
    }

    /// A zone that the settings don't name is still one of its own.
    fn zone(&mut self, name: &str) -> ZoneId {
        self.names.zone(name).unwrap_or_else(|_| {
            self.names.zones.push(name.to_owned());
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
        let fresh = MemberId(self.next);
        let member = *self.numbers.entry(id.to_owned()).or_insert(fresh);
        self.next += u32::from(member == fresh);
        let since = v.get("startedAtMs").and_then(Value::as_f64).filter(|ms| *ms > 0.0);
        let entry = Entry {
            member,
            common: fnv(id),
            group: GroupId(v.get("cell").and_then(Value::as_u64).ok_or("an instance without cell")?),
            zone: self.zone(text("zone")?),
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
        let mut reader = Reader { names, numbers: HashMap::new(), next: 0, generation: 0 };
        let mut told = |id: &str, lifecycle: &str, reset: bool| {
            let list = serde_json::json!({"generation": 1, "reset": reset, "instances": [{"instanceId": id,
                "hostPort": "127.0.0.1:1", "zone": "a", "cell": 1, "lifecycle": lifecycle}]});
            let member = reader.news(&Clock::start(), &list).expect("a list").entries[0].member;
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
}
