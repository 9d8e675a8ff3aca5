//! The client side: the listeners and the sessions of clients and of other proxies.

mod answers;
mod close_reason;
mod closing;
mod draining;
mod eviction;
mod input;
mod listener;
mod messages;
mod peers;
mod request_ids;
mod session;
mod statements;
#[cfg(test)]
mod tests;

use std::collections::hash_map::RandomState;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::TcpListener;
use std::rc::Rc;

use gradeshunt_classing::Key;
use leadmast::settings::Names;
use leadmast::{Micros, RequestId, Settings};

use self::draining::Drain;
use self::request_ids::RequestIds;
use self::session::Session;
use crate::exchange::ANSWER_BUFFER_SIZE;
use crate::ids::SessionId;
use crate::pg::{MAX_BUFFERED_ANSWER, MAX_BUFFERED_ROW};
use crate::ring::MAX_RING_SIZE;
use crate::routing::{Router, Rules};
use crate::turn::{Polled, Turn};

/// No further request of a session starts while its client has left more than this many bytes of answers
/// unread, so that the output ring always has room for one more answer.
const MAX_UNREAD_BYTES: usize = MAX_RING_SIZE - MAX_BUFFERED_ANSWER - 1024;
// A final answer always fits into the output ring behind the bytes that the client has not read yet. Those
// are at most `MAX_UNREAD_BYTES` when a request starts; of a streamed result, at most `ANSWER_BUFFER_SIZE`
// bytes and one whole row are buffered.
const _: () = assert!(
    MAX_UNREAD_BYTES + MAX_BUFFERED_ANSWER < MAX_RING_SIZE
        && ANSWER_BUFFER_SIZE + MAX_BUFFERED_ROW + MAX_BUFFERED_ANSWER < MAX_RING_SIZE
);

/// The session that waits for a request's answer, and the request's id as the client gave it.
struct RequestOwner {
    session: SessionId,
    id: Rc<str>,
}

/// The client side.
pub struct Frontend {
    listener: Option<Polled<TcpListener>>,
    /// The time since which connections may have waited in the listen backlog because accepting them failed or
    /// was put off: first of clients, then of other proxies.
    backlog_since: [Option<Micros>; 2],
    /// The listener for other proxies, and the names of the proxies that may connect to it.
    peer_listener: Option<Polled<TcpListener>>,
    peer_names: BTreeSet<String>,
    settings: Settings,
    names: Names,
    max_clients: usize,
    max_buffered: usize,
    sessions: BTreeMap<SessionId, Session>,
    owners: HashMap<RequestId, RequestOwner>,
    /// Hashes session ids into the secret keys that cancel requests must present.
    secret_hasher: RandomState,
    /// The ids that new requests may not have.
    ids: RequestIds,
    next_session: u64,
    drain: Drain,
    /// Clients closed to make room since the last summary, counted by eviction rank.
    evictions_by_rank: [u32; 6],
    /// Client connections that the proxy closed since its start, by reason.
    pub close_counts: BTreeMap<&'static str, u64>,
    /// Whether the proxy has a list of db hosts yet.
    pub has_hosts: bool,
    /// Routes statements without a routing comment; `None` if no rules file is configured.
    router: Option<Router>,
    /// Number of plain statements so far, from which each gets a unique id.
    plain_statements: u64,
}

impl Frontend {
    /// Creates a client side without listeners; [`Frontend::listen_for_clients`] adds the clients' listener.
    pub fn new(settings: Settings, names: Names) -> Self {
        Frontend {
            listener: None,
            backlog_since: [None; 2],
            peer_listener: None,
            peer_names: BTreeSet::new(),
            settings,
            names,
            max_clients: 0,
            max_buffered: 0,
            sessions: BTreeMap::new(),
            owners: HashMap::new(),
            secret_hasher: RandomState::new(),
            ids: RequestIds::default(),
            next_session: 0,
            drain: Drain::default(),
            evictions_by_rank: [0; 6],
            close_counts: BTreeMap::new(),
            has_hosts: false,
            router: None,
            plain_statements: 0,
        }
    }

    /// Replaces the rules that route plain statements; without rules, plain statements are refused.
    pub fn set_rules(&mut self, rules: Option<Rules>) {
        use std::hash::BuildHasher;
        let secret = || RandomState::new().hash_one(0_u8);
        self.router = match (self.router.take(), rules) {
            (Some(router), Some(rules)) => Some(router.with_rules(rules)),
            (None, Some(rules)) => Some(Router::new(rules, Key(secret(), secret()))),
            (_, None) => None,
        };
    }

    /// Returns the counters of plain statements in the text exposition format, or `None` without rules.
    pub fn exposition(&self) -> Option<String> {
        self.router.as_ref().map(Router::exposition)
    }

    /// Sets the maximum number of clients, and the number of buffered bytes in the process from which on no
    /// client may buffer a large request.
    pub fn set_limits(&mut self, turn: &mut Turn, max_clients: usize, max_buffered: usize) {
        (self.max_clients, self.max_buffered) = (max_clients, max_buffered);
        // During an upgrade the limit shrinks because another process takes the rest of it.
        while self.sessions.len() > max_clients && self.evict_one(turn) {}
    }

    /// Whether clients are accepted, or may be accepted again later.
    pub fn may_accept(&self) -> bool {
        !self.drain.is_closing || self.listener.is_some() || self.peer_listener.is_some()
    }

    /// Whether any client or other proxy is connected.
    pub fn has_clients(&self) -> bool {
        !self.sessions.is_empty()
    }
}
