//! Client of discovery: obtains the list of db hosts by an HTTP watch and by fetches.

mod answer;
mod list;

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;

use leadmast::settings::Names;
use leadmast::{ListKind, MemberId, Micros, Settings};
use serde_json::Value;
use slog::{info, warn};

use self::answer::AnswerParser;
use self::list::ListReader;
pub use self::list::ListUpdate;
use crate::clock::Clock;
use crate::deadlines::DeadlineKind;
use crate::exchange::DiscoveryCall;
use crate::ids::CallId;
use crate::ring::{Ring, Transfer};
use crate::turn::{EventSource, Polled, Turn};

/// Most reads of one call in one turn.
const MAX_READS: usize = 8;
/// When discovery falls silent for all proxies of a fleet at once, they spread the reopening of their watches
/// over this time.
const REOPEN_SPREAD: Micros = 500_000;

/// How the list arrives, and how soon a watch that has ended is reopened.
#[derive(Clone, Copy, Debug)]
pub struct WatchPolicy {
    /// Set where the list is pushed: the proxy then counts as informed of all that the agent has, with or
    /// without a watch. A watch is open from the start, and one that has ended is reopened after this long.
    /// `None` where the decision library says when to ask.
    pub pushed: Option<Micros>,
    /// This proxy's place in the order of its fleet, from 0 to 1.
    pub fleet_position: f64,
}

impl WatchPolicy {
    pub fn new(settings: &Settings) -> Self {
        // A drain announced while no watch is open must be learned of well within its grace period.
        let pushed = (!settings.list_on_request).then_some((settings.rules.drain_grace / 4).max(1_000));
        let fleet_position = (f64::from(settings.driver_index) + 0.5) / f64::from(settings.fleet_size.max(1));
        WatchPolicy { pushed, fleet_position }
    }
}

struct Call {
    ask: DiscoveryCall,
    /// A watch at the former address: it is read until its successor has delivered the list.
    is_former: bool,
    polled: Polled,
    inbound: Ring,
    outbound: Ring,
    answer: AnswerParser,
    /// The version of the list after which this call asked for changes.
    since_version: u64,
    /// Time by which something must be complete: the head, a line, the list. Bytes alone don't extend it: a
    /// server that drips an endless line would keep the watch open without delivering any news.
    due: Micros,
}

/// The client of discovery.
pub struct Discovery {
    addr: SocketAddr,
    max_silence: Micros,
    policy: WatchPolicy,
    /// When a watch is to be reopened, if one is.
    reopen_at: Option<Micros>,
    reader: ListReader,
    /// Whether discovery has delivered a list.
    has_list: bool,
    calls: BTreeMap<CallId, Call>,
    next_call: u64,
}

impl Discovery {
    pub fn new(addr: SocketAddr, max_silence: Micros, names: Names, policy: WatchPolicy) -> Self {
        let reader = ListReader::new(names);
        Discovery {
            addr,
            max_silence,
            policy,
            reopen_at: None,
            reader,
            has_list: false,
            calls: BTreeMap::new(),
            next_call: 0,
        }
    }

    /// Opens the first watch. The decision library asks for nothing before its first event, and a process
    /// without a list has none: it turns requests away.
    pub fn start(&mut self, turn: &mut Turn, updates: &mut Vec<ListUpdate>) {
        self.ask(turn, DiscoveryCall::Watch, updates);
    }

    /// Reopens the watch if that is due.
    pub fn reopen_due(&mut self, turn: &mut Turn, updates: &mut Vec<ListUpdate>) {
        if self.reopen_at.take_if(|at| *at <= turn.now).is_some() {
            self.ask(turn, DiscoveryCall::Watch, updates);
        }
    }

    fn reopen_in(&mut self, turn: &mut Turn, wait: Micros) {
        let at = turn.now + wait;
        if let Some(before) = self.reopen_at.replace(at) {
            turn.deadlines.clear(before, DeadlineKind::ReopenWatch);
        }
        turn.deadlines.set(at, DeadlineKind::ReopenWatch);
    }

    /// Reads the list in the configuration, which may be outdated.
    pub fn read_known(&mut self, clock: &Clock, known: &Value) -> Result<ListUpdate, String> {
        let update = self.reader.read_list(clock, &known.to_string(), 0)?;
        Ok(ListUpdate { kind: ListKind::Saved, ..update })
    }

    /// Returns db hosts whose start times were read wrongly before primaries had shown the clock offset.
    /// Returns `None` before the first list from discovery: what the configuration lists is no news.
    pub fn corrected_starts(&mut self, clock: &Clock) -> Option<ListUpdate> {
        if !self.has_list {
            return None;
        }
        self.reader.corrected_starts(clock)
    }

    /// Returns the number of a db host that is listed now.
    pub fn member(&self, id: &str) -> Option<MemberId> {
        self.reader.member(id)
    }

    /// Returns the name of a db host that is listed now.
    pub fn name(&self, member: MemberId) -> Option<&str> {
        self.reader.name(member)
    }

    /// Opens a watch or fetches the list; a failure is reported in `updates`.
    pub fn ask(&mut self, turn: &mut Turn, ask: DiscoveryCall, updates: &mut Vec<ListUpdate>) {
        // One watch at a time: a second would only repeat the first.
        if ask == DiscoveryCall::Watch
            && self.calls.values().any(|c| c.ask == DiscoveryCall::Watch && !c.is_former)
        {
            return;
        }
        if let Err(e) = self.call(turn, ask) {
            warn!(turn.log, "discovery cannot be reached"; "error" => e.to_string());
            self.handle_failure(turn, ask, classify_error(&e), updates);
        }
    }

    /// Handles a call that failed. Where the list is pushed, a watch is reopened; otherwise the decision
    /// library says when to ask.
    fn handle_failure(
        &mut self,
        turn: &mut Turn,
        ask: DiscoveryCall,
        kind: ListKind,
        updates: &mut Vec<ListUpdate>,
    ) {
        match self.policy.pushed {
            Some(wait) if ask == DiscoveryCall::Watch => self.reopen_in(turn, wait),
            _ => updates.push(ListUpdate::new(kind)),
        }
    }

    /// Moves to another address of discovery. The current watch is read until the new one has delivered the
    /// list, so that no drain is missed between the two.
    pub fn move_to(
        &mut self,
        turn: &mut Turn,
        addr: SocketAddr,
        max_silence: Micros,
        updates: &mut Vec<ListUpdate>,
    ) {
        self.max_silence = max_silence;
        if std::mem::replace(&mut self.addr, addr) == addr {
            return;
        }
        self.calls.values_mut().for_each(|c| c.is_former = true);
        self.ask(turn, DiscoveryCall::Watch, updates);
    }

    fn call(&mut self, turn: &mut Turn, ask: DiscoveryCall) -> io::Result<()> {
        let id = CallId(self.next_call);
        self.next_call += 1;
        let path = match ask {
            DiscoveryCall::Watch => format!("/api/targets?stream=1&index={}", self.reader.generation()),
            DiscoveryCall::Fetch => "/api/targets".to_owned(),
        };
        let polled = Polled::connect(turn, self.addr, EventSource::Call(id))?;
        let mut outbound = Ring::default();
        let request =
            format!("GET {path} HTTP/1.1\r\nHost: {}\r\nAccept: application/json\r\n\r\n", self.addr);
        if !outbound.push(request.as_bytes()) {
            return Err(io::ErrorKind::OutOfMemory.into());
        }
        let due = turn.now + self.max_silence;
        turn.deadlines.set(due, DeadlineKind::Call(id));
        let inbound = Ring::default();
        let answer = AnswerParser::new(ask == DiscoveryCall::Watch);
        let since_version = self.reader.generation();
        let call = Call { ask, is_former: false, polled, inbound, outbound, answer, since_version, due };
        self.calls.insert(id, call);
        Ok(())
    }

    pub fn call_due(&mut self, turn: &mut Turn, id: CallId, updates: &mut Vec<ListUpdate>) {
        let Some(call) = self.calls.get(&id).filter(|c| c.due <= turn.now) else { return };
        // Discovery may be available even if this watch never delivered anything. Another watch is opened in
        // time, before the proxy counts as informed of what this one misses.
        if call.ask == DiscoveryCall::Watch && !call.is_former && self.policy.pushed.is_none() {
            warn!(turn.log, "watch has fallen silent, opening another");
            self.end(turn, id);
            let wait = REOPEN_SPREAD as f64 * self.policy.fleet_position;
            return self.reopen_in(turn, wait as Micros);
        }
        self.abort(turn, id, "silent for too long", updates);
    }

    pub fn ready(&mut self, turn: &mut Turn, id: CallId, updates: &mut Vec<ListUpdate>) {
        for _ in 0..MAX_READS {
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
                Err(e) => return self.abort_as(turn, id, &e.to_string(), classify_error(&e), updates),
            };
            let before = updates.len();
            let read = self.read_answer(turn, id, updates);
            self.has_list |= updates.len() > before;
            if let Err(what) = read {
                return self.abort(turn, id, &what, updates);
            }
            let Some(call) = self.calls.get_mut(&id) else { return };
            let done = call.answer.is_done(ended);
            if call.ask == DiscoveryCall::Fetch && done {
                let body = call.answer.body();
                match self.reader.read_line(&turn.clock, &body, call.since_version) {
                    Ok(Some(n)) => {
                        self.has_list = true;
                        updates.push(n);
                    }
                    Ok(None) => return self.abort(turn, id, "an empty list", updates),
                    Err(what) => return self.abort(turn, id, &what, updates),
                }
                return self.end(turn, id);
            }
            if ended || done {
                return self.abort(turn, id, "ended by discovery", updates);
            }
            if updates.len() > before {
                self.end_former(turn, id);
                info!(turn.log, "list of db hosts"; "generation" => self.reader.generation(),
                    "entries" => updates[before..].iter().map(|n| n.entries.len()).sum::<usize>());
                // What a read has delivered is applied before more is read: it may be many small changes.
                break;
            }
        }
        turn.defer(EventSource::Call(id));
    }

    /// Takes the received part of an answer, which may be split anywhere.
    fn read_answer(
        &mut self,
        turn: &mut Turn,
        id: CallId,
        updates: &mut Vec<ListUpdate>,
    ) -> Result<(), String> {
        let Some(call) = self.calls.get_mut(&id) else { return Ok(()) };
        let completed = call.answer.take(&mut call.inbound)?;
        if call.ask == DiscoveryCall::Watch {
            for list in completed.lists {
                updates.extend(self.reader.read_line(&turn.clock, &list, call.since_version)?);
            }
        }
        if completed.has_any {
            turn.deadlines.clear(call.due, DeadlineKind::Call(id));
            call.due = turn.now + self.max_silence;
            turn.deadlines.set(call.due, DeadlineKind::Call(id));
        }
        Ok(())
    }

    /// Ends a call that discovery has refused, ended, or left silent for too long.
    fn abort(&mut self, turn: &mut Turn, id: CallId, why: &str, updates: &mut Vec<ListUpdate>) {
        self.abort_as(turn, id, why, ListKind::Failed, updates);
    }

    fn abort_as(
        &mut self,
        turn: &mut Turn,
        id: CallId,
        why: &str,
        kind: ListKind,
        updates: &mut Vec<ListUpdate>,
    ) {
        let Some(call) = self.calls.get(&id) else { return };
        let (former, ask) = (call.is_former, call.ask);
        self.end(turn, id);
        // Its successor is under way, or the decision library knows that the successor has failed.
        if former {
            return info!(turn.log, "former watch ended"; "why" => why);
        }
        warn!(turn.log, "call to discovery failed"; "why" => why);
        self.handle_failure(turn, ask, kind, updates);
    }

    /// Ends the watches at the former address once their successor `id` has delivered the list.
    fn end_former(&mut self, turn: &mut Turn, id: CallId) {
        if self.calls.get(&id).is_some_and(|c| !c.is_former) {
            let former =
                self.calls.iter().filter(|(_, c)| c.is_former).map(|(id, _)| *id).collect::<Vec<_>>();
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

/// Classifies a system error of a call: a refused connection means that discovery is not there; anything else
/// says only that this connection is broken.
fn classify_error(error: &io::Error) -> ListKind {
    match error.kind() {
        io::ErrorKind::ConnectionRefused => ListKind::Failed,
        _ => ListKind::Broken,
    }
}

#[cfg(test)]
mod tests;
