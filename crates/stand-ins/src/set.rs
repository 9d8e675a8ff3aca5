//! A replica set in memory: one primary, replicas that apply its log late, what has run where, and what each of them is
//! scripted to do. It speaks no protocol.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use crate::script::{Act, Rule, Script};
use crate::{lock, now};

/// What a db host is in its set.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    Primary,
    Replica,
}

/// Why a write was not taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Declined {
    /// This db host is no primary.
    NotPrimary,
}

/// One request that a db host has begun to work on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Ran {
    /// Number of the db host in its set.
    pub host: usize,
    /// The request as it came.
    pub request: String,
    /// Its idempotency key, where it has one.
    pub key: Option<String>,
    /// Whether it changed data; a repeat whose key is known does not.
    pub wrote: bool,
}

struct Host {
    role: Role,
    /// How far its data is behind the primary's.
    lag: Duration,
    script: Script,
}

struct State {
    hosts: Vec<Host>,
    /// Each value that was ever set, with its position in the log.
    data: BTreeMap<String, Vec<(Duration, Vec<u8>)>>,
    /// Keys that have run, and when.
    keys: BTreeMap<String, Duration>,
    last: Duration,
    ran: Vec<Ran>,
}

/// A replica set. Clones are the same set.
#[derive(Clone)]
pub struct Set {
    /// How long a key is remembered: a repeat within it does not run again.
    window: Duration,
    state: Arc<Mutex<State>>,
}

impl Set {
    /// A set of so many db hosts, of which the first is primary.
    pub fn new(hosts: usize, window: Duration) -> Self {
        let host = |n| Host {
            role: if n == 0 { Role::Primary } else { Role::Replica },
            lag: Duration::ZERO,
            script: Script::default(),
        };
        let state = State {
            hosts: (0..hosts).map(host).collect(),
            data: BTreeMap::new(),
            keys: BTreeMap::new(),
            last: now(),
            ran: Vec::new(),
        };
        Set { window, state: Arc::new(Mutex::new(state)) }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        lock(&self.state)
    }

    // ---- For tests ----

    /// Makes `host` the primary, and the former one a replica; `None` leaves the set without.
    pub fn promote(&self, host: Option<usize>) {
        for (n, h) in self.state().hosts.iter_mut().enumerate() {
            h.role = if Some(n) == host { Role::Primary } else { Role::Replica };
        }
    }

    pub fn set_lag(&self, host: usize, lag: Duration) {
        self.state().hosts[host].lag = lag;
    }

    pub fn script(&self, host: usize, rule: Rule) {
        self.state().hosts[host].script.add(rule);
    }

    pub fn clear_scripts(&self) {
        self.state().hosts.iter_mut().for_each(|h| h.script.clear());
    }

    /// All that has run, in order.
    pub fn ran(&self) -> Vec<Ran> {
        self.state().ran.clone()
    }

    /// How often each key has changed data.
    pub fn writes(&self) -> BTreeMap<String, u32> {
        let mut writes = BTreeMap::new();
        for key in self.state().ran.iter().filter(|r| r.wrote).filter_map(|r| r.key.clone()) {
            *writes.entry(key).or_default() += 1;
        }
        writes
    }

    // ---- For db hosts ----

    pub fn role(&self, host: usize) -> Role {
        self.state().hosts[host].role
    }

    /// Up to where the data of a db host reaches, as a Unix time.
    pub fn position(&self, host: usize) -> Duration {
        let state = self.state();
        match state.hosts[host].role {
            Role::Primary => now(),
            Role::Replica => now().saturating_sub(state.hosts[host].lag),
        }
    }

    /// What a db host is scripted to do with a request.
    pub fn meet(&self, host: usize, request: &str) -> (Duration, Act) {
        self.state().hosts[host].script.meet(request)
    }

    /// Notes a request that runs and reads.
    pub fn note(&self, host: usize, request: &str, key: Option<&str>) {
        let (request, key) = (request.to_owned(), key.map(str::to_owned));
        self.state().ran.push(Ran { host, request, key, wrote: false });
    }

    /// Sets a value, and tells its position in the log. A repeat within the window changes nothing.
    pub fn put(
        &self,
        host: usize,
        request: &str,
        key: Option<&str>,
        code: &str,
        value: &[u8],
    ) -> Result<Duration, Declined> {
        let mut state = self.state();
        if state.hosts[host].role != Role::Primary {
            return Err(Declined::NotPrimary);
        }
        let at = now().max(state.last + Duration::from_micros(1));
        let known = key.and_then(|k| state.keys.get(k).copied()).filter(|then| at - *then < self.window);
        let wrote = known.is_none();
        let (request, key) = (request.to_owned(), key.map(str::to_owned));
        if wrote {
            state.last = at;
            state.data.entry(code.to_owned()).or_default().push((at, value.to_vec()));
            if let Some(key) = &key {
                state.keys.insert(key.clone(), at);
            }
        }
        state.ran.push(Ran { host, request, key, wrote });
        Ok(known.unwrap_or(at))
    }

    /// The value that a db host has.
    pub fn get(&self, host: usize, code: &str) -> Option<Vec<u8>> {
        let reaches = self.position(host);
        let state = self.state();
        let versions = state.data.get(code)?;
        versions.iter().rev().find(|(at, _)| *at <= reaches).map(|(_, v)| v.clone())
    }
}

#[cfg(test)]
mod tests;
