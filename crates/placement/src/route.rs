//! Where a request goes. What came from a proxy is served where it is, whatever the roster there says: a path has one extra hop
//! at most, and no loop, also where the proxies on it hold different rosters.

use std::collections::BTreeSet;

use crate::homes::Member;

/// Whence a request came. It follows from the address where it arrived, never from what the request says.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Source {
    /// A client.
    Client,
    /// Another proxy, which has sent it on.
    Proxy,
}

/// Where a request goes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Route {
    /// To the set's db hosts, from here as a home.
    Serve,
    /// To the first of these proxies; should it fail before the request has left whole, the caller asks again with that one
    /// not available. Never empty.
    SendOn(Vec<Member>),
    /// To the set's db hosts, from here though it is no home, since no home can be had.
    Direct,
    /// Nowhere: no home can be had, and enough sets go direct already.
    Refuse,
}

/// The sets for which a proxy goes to the db hosts itself though it is no home of theirs.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct DirectSets {
    most: usize,
    present: BTreeSet<u64>,
}

impl DirectSets {
    /// For so many sets at once at most.
    pub fn new(most: u32) -> DirectSets {
        DirectSets { most: most as usize, present: BTreeSet::new() }
    }

    /// Whether a request of this set may go direct: the set does already, or there is room for one more.
    pub fn allows(&self, cluster: u64) -> bool {
        self.present.contains(&cluster) || self.present.len() < self.most
    }

    /// Requests of this set go direct from now on. False, and no change, where that is not allowed.
    pub fn begin(&mut self, cluster: u64) -> bool {
        let allowed = self.allows(cluster);
        if allowed {
            self.present.insert(cluster);
        }
        allowed
    }

    /// A home of this set can be had again.
    pub fn end(&mut self, cluster: u64) {
        self.present.remove(&cluster);
    }

    /// How many sets go direct.
    pub fn len(&self) -> usize {
        self.present.len()
    }

    /// Whether none does.
    pub fn is_empty(&self) -> bool {
        self.present.is_empty()
    }
}

/// Where a request goes. `homes`: those of its set and bucket, in order; `is_available`: whether another proxy can be had, never
/// asked of the own one; `may_go_direct`: [`DirectSets::allows`] for its set.
pub fn route(
    source: Source,
    own: Member,
    homes: &[Member],
    is_available: impl Fn(Member) -> bool,
    may_go_direct: bool,
) -> Route {
    if source == Source::Proxy {
        return Route::Serve;
    }
    // The own proxy as a later home serves when those before it are gone: it is asked again then.
    let before_own = homes.iter().copied().take_while(|home| *home != own);
    let others: Vec<Member> = before_own.filter(|home| is_available(*home)).collect();
    if !others.is_empty() {
        Route::SendOn(others)
    } else if homes.contains(&own) {
        Route::Serve
    } else if may_go_direct {
        Route::Direct
    } else {
        Route::Refuse
    }
}
