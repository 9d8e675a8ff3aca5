//! The list of db hosts: discovery's HTTP watch and fetch.

mod answer;
mod list;

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;

use leadmast::settings::Names;
use leadmast::{ListKind, MemberId, Micros, Settings};
use serde_json::Value;
use slog::{info, warn};

use self::answer::Answer;
pub use self::list::News;
use self::list::Reader;
use crate::clock::Clock;
use crate::deadlines::DeadlineKind;
use crate::exchange::Ask;
use crate::ids::CallId;
use crate::ring::{Ring, Transfer};
use crate::turn::{EventSource, Polled, Turn};

/// Reads of a call in one turn.
const READS: usize = 8;
/// Within this time all proxies of a fleet open watches anew that fell silent for all at once, each at its turn.
const REOPEN_WITHIN: Micros = 500_000;

/// How the list comes, and how soon a watch that has ended is opened anew.
#[derive(Clone, Copy, Debug)]
pub struct Pace {
    /// The list is pushed: what the agent has counts as told, watch or none. A watch stands from the start, and one that
    /// has ended is opened anew after this long. `None` where the decisions say when to ask.
    pub pushed: Option<Micros>,
    /// This proxy's turn among its fleet, from 0 to 1.
    pub turn: f64,
}

impl Pace {
    pub fn new(settings: &Settings) -> Self {
        // A drain that comes while no watch stands must be heard well within what it grants.
        let pushed = (!settings.list_on_request).then_some((settings.rules.drain_grace / 4).max(1_000));
        let turn = (f64::from(settings.me) + 0.5) / f64::from(settings.fleet.max(1));
        Pace { pushed, turn }
    }
}

struct Call {
    ask: Ask,
    /// A watch at the former address: it is listened to until its successor has told the list.
    former: bool,
    polled: Polled,
    inbound: Ring,
    outbound: Ring,
    answer: Answer,
    /// The version after which it was asked for changes.
    after: u64,
    /// By when something has to be whole: the head, a line, the list. Bytes alone don't count: one that drips an endless
    /// line would keep the watch, and nothing be heard any more.
    due: Micros,
}

/// The client of discovery.
pub struct Discovery {
    addr: SocketAddr,
    silence: Micros,
    pace: Pace,
    /// When a watch is opened anew, if one is to be.
    reopen: Option<Micros>,
    reader: Reader,
    /// A list has come.
    is_heard: bool,
    calls: BTreeMap<CallId, Call>,
    next: u64,
}

impl Discovery {
    pub fn new(addr: SocketAddr, silence: Micros, names: Names, pace: Pace) -> Self {
        let reader = Reader::new(names);
        Discovery {
            addr,
            silence,
            pace,
            reopen: None,
            reader,
            is_heard: false,
            calls: BTreeMap::new(),
            next: 0,
        }
    }

    /// Watches from now on. The decisions ask for nothing before their first event, and a process without a list has none:
    /// it turns requests away.
    pub fn start(&mut self, turn: &mut Turn, news: &mut Vec<News>) {
        self.ask(turn, Ask::Watch, news);
    }

    /// A watch is to be opened anew.
    pub fn reopen_due(&mut self, turn: &mut Turn, news: &mut Vec<News>) {
        if self.reopen.take_if(|at| *at <= turn.now).is_some() {
            self.ask(turn, Ask::Watch, news);
        }
    }

    fn reopen_in(&mut self, turn: &mut Turn, wait: Micros) {
        let at = turn.now + wait;
        if let Some(before) = self.reopen.replace(at) {
            turn.deadlines.clear(before, DeadlineKind::ReopenWatch);
        }
        turn.deadlines.set(at, DeadlineKind::ReopenWatch);
    }

    /// The list as the configuration gives it, which may be old.
    pub fn known(&mut self, clock: &Clock, known: &Value) -> Result<News, String> {
        let news = self.reader.news(clock, &known.to_string(), 0)?;
        Ok(News { kind: ListKind::Saved, ..news })
    }

    /// Db hosts whose starts were read wrongly before primaries had shown the distance of the clocks. Nothing before the first list:
    /// what the configuration knows is no news.
    pub fn corrected_starts(&mut self, clock: &Clock) -> Option<News> {
        if !self.is_heard {
            return None;
        }
        self.reader.corrected_starts(clock)
    }

    /// The number of a db host that is listed now.
    pub fn member(&self, id: &str) -> Option<MemberId> {
        self.reader.member(id)
    }

    /// The name of a db host that is listed now.
    pub fn name(&self, member: MemberId) -> Option<&str> {
        self.reader.name(member)
    }

    /// Asks; a failure is told as news.
    pub fn ask(&mut self, turn: &mut Turn, ask: Ask, news: &mut Vec<News>) {
        // One watch at a time: another would only tell the same again.
        if ask == Ask::Watch && self.calls.values().any(|c| c.ask == Ask::Watch && !c.former) {
            return;
        }
        if let Err(e) = self.call(turn, ask) {
            warn!(turn.log, "discovery cannot be reached"; "error" => e.to_string());
            self.failed(turn, ask, kind_of(&e), news);
        }
    }

    /// A call has come to nothing. Where the list is pushed a watch is opened anew, else the module says when to ask.
    fn failed(&mut self, turn: &mut Turn, ask: Ask, kind: ListKind, news: &mut Vec<News>) {
        match self.pace.pushed {
            Some(wait) if ask == Ask::Watch => self.reopen_in(turn, wait),
            _ => news.push(News::new(kind)),
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
            Ask::Watch => format!("/api/targets?stream=1&index={}", self.reader.generation()),
            Ask::Fetch => "/api/targets".to_owned(),
        };
        let polled = Polled::connect(turn, self.addr, EventSource::Call(id))?;
        let mut outbound = Ring::default();
        let request =
            format!("GET {path} HTTP/1.1\r\nHost: {}\r\nAccept: application/json\r\n\r\n", self.addr);
        if !outbound.push(request.as_bytes()) {
            return Err(io::ErrorKind::OutOfMemory.into());
        }
        let due = turn.now + self.silence;
        turn.deadlines.set(due, DeadlineKind::Call(id));
        let inbound = Ring::default();
        let answer = Answer::new(ask == Ask::Watch);
        let after = self.reader.generation();
        let call = Call { ask, former: false, polled, inbound, outbound, answer, after, due };
        self.calls.insert(id, call);
        Ok(())
    }

    pub fn call_due(&mut self, turn: &mut Turn, id: CallId, news: &mut Vec<News>) {
        let Some(call) = self.calls.get(&id).filter(|c| c.due <= turn.now) else { return };
        // Whether it was ever heard or not, discovery may be there for others: all it takes is another watch, before what
        // this one misses counts.
        if call.ask == Ask::Watch && !call.former && self.pace.pushed.is_none() {
            warn!(turn.log, "watch has fallen silent, opening another");
            self.end(turn, id);
            let wait = REOPEN_WITHIN as f64 * self.pace.turn;
            return self.reopen_in(turn, wait as Micros);
        }
        self.fail(turn, id, "silent for too long", news);
    }

    pub fn ready(&mut self, turn: &mut Turn, id: CallId, news: &mut Vec<News>) {
        for _ in 0..READS {
            let Some(call) = self.calls.get_mut(&id) else { return };
            let moved = call
                .outbound
                .write_to(&call.polled.socket)
                .and_then(|_| call.inbound.read_from(&call.polled.socket));
            let ended = match moved {
                Ok(Transfer::Bytes(_)) => false,
                Ok(Transfer::Blocked) => return,
                Ok(Transfer::End) => true,
                Err(e) if e.kind() == io::ErrorKind::NotConnected => return,
                Err(e) => return self.fail_as(turn, id, &e.to_string(), kind_of(&e), news),
            };
            let before = news.len();
            let taken = self.take(turn, id, news);
            self.is_heard |= news.len() > before;
            if let Err(what) = taken {
                return self.fail(turn, id, &what, news);
            }
            let Some(call) = self.calls.get_mut(&id) else { return };
            let done = call.answer.is_done(ended);
            if call.ask == Ask::Fetch && done {
                let body = call.answer.body();
                match self.reader.line(&turn.clock, &body, call.after) {
                    Ok(Some(n)) => {
                        self.is_heard = true;
                        news.push(n);
                    }
                    Ok(None) => return self.fail(turn, id, "an empty list", news),
                    Err(what) => return self.fail(turn, id, &what, news),
                }
                return self.end(turn, id);
            }
            if ended || done {
                return self.fail(turn, id, "ended by discovery", news);
            }
            if news.len() > before {
                self.end_former(turn, id);
                info!(turn.log, "list of db hosts"; "generation" => self.reader.generation(),
                    "entries" => news[before..].iter().map(|n| n.entries.len()).sum::<usize>());
            }
        }
        turn.unfinished.push(EventSource::Call(id));
    }

    /// Takes what has come of an answer, in pieces that may be split anywhere.
    fn take(&mut self, turn: &mut Turn, id: CallId, news: &mut Vec<News>) -> Result<(), String> {
        let Some(call) = self.calls.get_mut(&id) else { return Ok(()) };
        let whole = call.answer.take(&mut call.inbound)?;
        if call.ask == Ask::Watch {
            for list in whole.lists {
                news.extend(self.reader.line(&turn.clock, &list, call.after)?);
            }
        }
        if whole.any {
            turn.deadlines.clear(call.due, DeadlineKind::Call(id));
            call.due = turn.now + self.silence;
            turn.deadlines.set(call.due, DeadlineKind::Call(id));
        }
        Ok(())
    }

    /// Discovery has refused a call, ended it, or been silent for too long.
    fn fail(&mut self, turn: &mut Turn, id: CallId, why: &str, news: &mut Vec<News>) {
        self.fail_as(turn, id, why, ListKind::Failed, news);
    }

    fn fail_as(&mut self, turn: &mut Turn, id: CallId, why: &str, kind: ListKind, news: &mut Vec<News>) {
        let Some(call) = self.calls.get(&id) else { return };
        let (former, ask) = (call.former, call.ask);
        self.end(turn, id);
        // Its successor is under way, or the module knows that that one has failed.
        if former {
            return info!(turn.log, "former watch ended"; "why" => why);
        }
        warn!(turn.log, "call to discovery failed"; "why" => why);
        self.failed(turn, ask, kind, news);
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
            turn.deadlines.clear(call.due, DeadlineKind::Call(id));
            call.polled.close(turn);
        }
    }
}

/// What a failed call of the system says of discovery: who refuses a connection is not there, and else the connection alone is known to
/// be broken.
fn kind_of(error: &io::Error) -> ListKind {
    match error.kind() {
        io::ErrorKind::ConnectionRefused => ListKind::Failed,
        _ => ListKind::Broken,
    }
}

#[cfg(test)]
mod tests;
