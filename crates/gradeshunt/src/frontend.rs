//! The client side: the listener and the clients' sessions.

mod answers;
mod closing;
mod eviction;
mod listener;
mod messages;
mod peers;
mod session;
mod statements;
#[cfg(test)]
mod tests;

use std::collections::hash_map::RandomState;
use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};
use std::net::TcpListener;
use std::rc::Rc;

use gradeshunt_classing::Key;
use leadmast::settings::Names;
use leadmast::{Micros, RequestId, Settings};

use self::session::Session;
use crate::exchange::MAX_BUFFERED_ANSWER;
use crate::ids::SessionId;
use crate::pg::{LONGEST_ANSWER, WHOLE_ROW};
use crate::ring::LARGEST;
use crate::routing::{Router, Rules};
use crate::turn::{Polled, Turn};

/// No further request is begun while this much of earlier answers is unread: the ring has room for one more.
const UNREAD_LIMIT: usize = LARGEST - LONGEST_ANSWER - 1024;
/// A final answer has to fit behind what is unread: one of a value, at most [`UNREAD_LIMIT`]; the rest of a whole result, of which
/// no more is held than this, too.
const _: () = assert!(
    UNREAD_LIMIT + LONGEST_ANSWER < LARGEST && MAX_BUFFERED_ANSWER + WHOLE_ROW + LONGEST_ANSWER < LARGEST
);

/// Who waits for a request, and its id.
struct Owner {
    session: SessionId,
    id: Rc<str>,
}

/// Whom the proxy serves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Service {
    Running,
    /// Operators drain it: clients are served, and closed between requests.
    Standby,
    /// After SIGTERM likewise, and for good.
    Closing,
}

/// The client side.
pub struct Frontend {
    listener: Option<Polled<TcpListener>>,
    /// Since when connections may stand in the backlog that could not be accepted, of clients and of other proxies.
    backlog_since: [Option<Micros>; 2],
    /// Where other proxies connect, and the names of those that may.
    peer_listener: Option<Polled<TcpListener>>,
    peer_names: BTreeSet<String>,
    settings: Settings,
    names: Names,
    most: usize,
    most_memory: usize,
    sessions: BTreeMap<SessionId, Session>,
    owners: HashMap<RequestId, Owner>,
    /// What the secrets of cancel requests are made from.
    secrets: RandomState,
    /// The ids of open requests, as clients gave them.
    ids: HashSet<Rc<str>>,
    next: u64,
    service: Service,
    /// After SIGTERM: until when all that is still taken has its answer.
    drain_deadline: Option<Micros>,
    /// Clients closed to make room since the last summary, by how readily.
    evicted: [u32; 6],
    /// Clients closed from here since the start, by reason.
    pub closes: BTreeMap<&'static str, u64>,
    /// Whether the proxy knows of db hosts at all.
    pub has_hosts: bool,
    /// Routes of plain statements, where the operators' file gives some.
    router: Option<Router>,
    /// Plain statements so far: each has a name of its own.
    plain: u64,
}

impl Frontend {
    /// A client side that has yet to be opened.
    pub fn new(settings: Settings, names: Names) -> Self {
        Frontend {
            listener: None,
            backlog_since: [None; 2],
            peer_listener: None,
            peer_names: BTreeSet::new(),
            settings,
            names,
            most: 0,
            most_memory: 0,
            sessions: BTreeMap::new(),
            owners: HashMap::new(),
            secrets: RandomState::new(),
            ids: HashSet::new(),
            next: 0,
            service: Service::Running,
            drain_deadline: None,
            evicted: [0; 6],
            closes: BTreeMap::new(),
            has_hosts: false,
            router: None,
            plain: 0,
        }
    }

    /// Plain statements are routed by these rules from now on, or refused where there are none.
    pub fn route_by(&mut self, rules: Option<Rules>) {
        use std::hash::BuildHasher;
        let secret = || RandomState::new().hash_one(0_u8);
        self.router = rules.map(|rules| Router::new(rules, Key(secret(), secret())));
    }

    /// How plain statements fare, as text.
    pub fn exposition(&self) -> Option<String> {
        self.router.as_ref().map(Router::exposition)
    }

    /// Holds `most` clients at most; none gets more memory once `most_memory` is held.
    pub fn limit(&mut self, turn: &mut Turn, most: usize, most_memory: usize) {
        (self.most, self.most_memory) = (most, most_memory);
        // Another process has the rest from now on.
        while self.sessions.len() > most && self.evict_one(turn) {}
    }

    /// After SIGTERM no request is held beyond `at`: whoever told us to end may kill us soon after.
    pub fn set_drain_deadline(&mut self, at: Micros) {
        self.drain_deadline = Some(at);
    }

    /// Whether clients are accepted, or may be again.
    pub fn serves(&self) -> bool {
        self.service != Service::Closing || self.listener.is_some() || self.peer_listener.is_some()
    }

    /// Whether clients are connected.
    pub fn has_clients(&self) -> bool {
        !self.sessions.is_empty()
    }
}
