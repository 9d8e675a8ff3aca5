//! Applies a placement: decides which requests are forwarded to a home proxy, and which homes are available.
//! `gradeshunt_placement` determines the homes; docs/placement.md describes the mechanism.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Write as _;
use std::net::SocketAddr;

use gradeshunt_placement::{Acting, Bucket, DirectSets, Member, Placement, Route, Source, BUCKETS};
use leadmast::{GroupId, MemberId, Micros, Settings};

/// User name under which a proxy connects to another one; its own name goes into `application_name`.
pub const PEER_USER: &str = "gradeshunt";
/// First member number of proxies. Db hosts are numbered from 0 on.
const FIRST_PEER: u32 = 1 << 31;
/// An unavailable proxy is tried again after the connect time-out, and then after twice as long each time, up
/// to this many times as long.
const MAX_BACKOFF_FACTOR: i64 = 32;

/// Whether a member is a proxy rather than a db host.
pub fn is_peer(member: MemberId) -> bool {
    member.0 >= FIRST_PEER
}

/// Another proxy of the group.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Peer {
    /// Its name in the roster.
    pub name: String,
    /// Its member number, which stays the same for as long as this process lives.
    pub member: MemberId,
    /// Its address for other proxies.
    pub address: SocketAddr,
}

/// Where a request goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// To the set's db hosts, from this proxy.
    Here,
    /// To another proxy.
    SendOn(MemberId),
    /// Nowhere: no home is available, and enough sets go to their db hosts from here already.
    Refuse,
}

/// Recent availability of a proxy.
#[derive(Clone, Copy, Debug, Default)]
struct Health {
    /// When it last answered, if it ever has.
    last_answer: Option<Micros>,
    /// Failures since its last answer.
    failures: u32,
    /// Time until which it is not tried.
    retry_at: Micros,
}

/// How requests were placed since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PlacementCounts {
    /// Requests of clients served here as a home of their set.
    pub home: u64,
    /// Requests of clients forwarded to another proxy, counting each attempt.
    pub sent_on: u64,
    /// Requests that another proxy forwarded to this one.
    pub taken: u64,
    /// Requests of clients served here though this proxy is no home of their set.
    pub direct: u64,
    /// Requests refused because no home was available.
    pub refused: u64,
}

/// This proxy's part in the placement, and what it knows of the other proxies.
pub struct PlacementRouter {
    placement: Placement,
    direct: DirectSets,
    /// Numbers of all proxies ever named, so that no number is reused for another proxy.
    numbers: BTreeMap<String, MemberId>,
    health: BTreeMap<MemberId, Health>,
    connect_timeout: Micros,
    /// Divisor of this process's budgets, if they are divided by homes.
    divisor_in_force: Option<u64>,
    /// How requests were placed.
    pub counts: PlacementCounts,
}

impl PlacementRouter {
    /// Applies a placement; an unavailable proxy is tried again after `connect_timeout` at the earliest.
    pub fn new(placement: Placement, connect_timeout: Micros) -> PlacementRouter {
        let direct = DirectSets::new(placement.settings().direct_sets);
        let mut placing = PlacementRouter {
            placement,
            direct,
            numbers: BTreeMap::new(),
            health: BTreeMap::new(),
            connect_timeout,
            divisor_in_force: None,
            counts: PlacementCounts::default(),
        };
        placing.assign_numbers();
        placing
    }

    /// Applies a reread file: the health of the proxies and the counts are kept.
    pub fn replace(&mut self, placement: Placement) {
        self.direct = DirectSets::new(placement.settings().direct_sets);
        self.placement = placement;
        self.assign_numbers();
    }

    fn assign_numbers(&mut self) {
        for proxy in self.placement.proxies() {
            let next = MemberId(FIRST_PEER + self.numbers.len() as u32);
            self.numbers.entry(proxy.name.clone()).or_insert(next);
        }
    }

    /// Returns this proxy's name.
    pub fn own_name(&self) -> &str {
        self.placement.proxy(self.placement.own()).map_or("", |proxy| &proxy.name)
    }

    /// Returns the address at which this proxy listens for others, if there is one.
    pub fn own_address(&self) -> Option<SocketAddr> {
        self.placement.proxy(self.placement.own()).and_then(|proxy| proxy.address)
    }

    /// Returns the other proxies of the group that have an address.
    pub fn peers(&self) -> Vec<Peer> {
        let own = self.own_name();
        let others = self.placement.proxies().iter().filter(|proxy| proxy.name != own);
        let peer = |proxy: &gradeshunt_placement::Proxy| {
            let (member, address) = (*self.numbers.get(&proxy.name)?, proxy.address?);
            Some(Peer { name: proxy.name.clone(), member, address })
        };
        others.filter_map(peer).collect()
    }

    /// Returns the names of all proxies of this proxy's group, which may forward requests to it.
    pub fn group_names(&self) -> BTreeSet<String> {
        self.placement.proxies().iter().map(|proxy| proxy.name.clone()).collect()
    }

    /// Decides where a client's request goes; `tried` holds the proxies that it was forwarded to without
    /// success.
    pub fn decide(&mut self, now: Micros, group: GroupId, bucket: Bucket, tried: &[MemberId]) -> Decision {
        let available = |member: Member| {
            let number = self.number(member);
            number.is_some_and(|n| !tried.contains(&n) && self.is_available(now, n))
        };
        match self.placement.route(Source::Client, group.0, bucket, available, &self.direct) {
            Route::Serve => {
                self.counts.home += 1;
                Decision::Here
            }
            Route::SendOn(homes) => match homes.first().and_then(|home| self.number(*home)) {
                Some(home) => {
                    self.counts.sent_on += 1;
                    Decision::SendOn(home)
                }
                None => self.go_direct(group),
            },
            Route::Direct => self.go_direct(group),
            Route::Refuse => self.refuse(),
        }
    }

    fn go_direct(&mut self, group: GroupId) -> Decision {
        if !self.direct.begin(group.0) {
            return self.refuse();
        }
        self.counts.direct += 1;
        Decision::Here
    }

    fn refuse(&mut self) -> Decision {
        self.counts.refused += 1;
        Decision::Refuse
    }

    fn number(&self, member: Member) -> Option<MemberId> {
        let proxy = self.placement.proxy(member).filter(|proxy| proxy.address.is_some())?;
        self.numbers.get(&proxy.name).copied()
    }

    fn is_available(&self, now: Micros, peer: MemberId) -> bool {
        self.health.get(&peer).is_none_or(|health| health.retry_at <= now)
    }

    /// Whether a proxy has answered something within the connect time-out, which shows that it serves even if
    /// one request takes long.
    pub fn has_answered_recently(&self, now: Micros, peer: MemberId) -> bool {
        let last_answer = self.health.get(&peer).and_then(|health| health.last_answer);
        last_answer.is_some_and(|at| now - at < self.connect_timeout)
    }

    /// Records that a proxy could not be reached or has fallen silent. Returns true if it was available until
    /// now.
    pub fn record_failure(&mut self, now: Micros, peer: MemberId) -> bool {
        let health = self.health.entry(peer).or_default();
        // Requests that were under way together fail together and count as one failure.
        if health.retry_at > now {
            return false;
        }
        let backoff = (1_i64 << health.failures.min(16)).min(MAX_BACKOFF_FACTOR);
        health.failures += 1;
        health.retry_at = now + self.connect_timeout * backoff;
        true
    }

    /// Returns the name of a proxy, for the log.
    pub fn name(&self, peer: MemberId) -> Option<&str> {
        self.numbers.iter().find(|(_, number)| **number == peer).map(|(name, _)| name.as_str())
    }

    /// Records that a proxy has answered a request of this set.
    pub fn record_answer(&mut self, now: Micros, peer: MemberId, group: GroupId) {
        self.health.insert(peer, Health { last_answer: Some(now), ..Health::default() });
        self.direct.end(group.0);
    }

    /// Divides the budgets that are bounded over the fleet by the homes of a set instead of by all proxies.
    /// The largest divisor of all sets is used, so that no sum exceeds its bound. A tenant's share is still
    /// divided by all proxies.
    pub fn divide_budgets(mut self, settings: &mut Settings) -> PlacementRouter {
        self.divisor_in_force = Some(self.divisor());
        let divisor = u32::try_from(self.divisor()).unwrap_or(u32::MAX);
        let ratio = f64::from(divisor) / f64::from(settings.fleet_size);
        for tenant in &mut settings.tenants {
            tenant.rate *= ratio;
        }
        settings.fleet_size = divisor;
        self
    }

    /// Whether the placement requires smaller budgets than this process has; they take effect at the next
    /// start.
    pub fn needs_restart(&self) -> bool {
        self.divisor_in_force.is_some_and(|in_force| in_force < self.divisor())
    }

    /// Returns the divisor of budgets bounded over the fleet, according to the placement.
    fn divisor(&self) -> u64 {
        let listed = self.placement.sets().clusters().map(|set| self.placement.divisor(set, Acting::Home));
        let unlisted = self.placement.divisor(u64::MAX, Acting::Home);
        listed.max().unwrap_or(unlisted)
    }

    /// Describes the placement in one line for the log.
    pub fn summary(&self) -> String {
        let count = self.placement.proxies().len();
        format!("group {} of {count} proxies", self.placement.group())
    }

    /// Returns the counts as metrics in Prometheus' text format.
    pub fn metrics(&self) -> String {
        let PlacementCounts { home, sent_on, taken, direct, refused } = self.counts;
        let ways = [
            ("home", home),
            ("sent_on", sent_on),
            ("taken", taken),
            ("direct", direct),
            ("refused", refused),
        ];
        let mut text = "# TYPE app_placement_requests counter\n".to_owned();
        for (way, count) in ways {
            let _ = writeln!(text, "app_placement_requests{{way=\"{way}\"}} {count}");
        }
        text
    }

    /// Returns the status that operators see: the group, its proxies with their availability, and the counts.
    pub fn exposition(&self, now: Micros) -> String {
        let mut text = format!(
            "group {}\nself {}\ndivisor {}\n",
            self.placement.group(),
            self.own_name(),
            self.divisor_in_force.unwrap_or(0)
        );
        for proxy in self.placement.proxies() {
            let number = self.numbers.get(&proxy.name).copied().unwrap_or_default();
            let state = match proxy.address {
                _ if proxy.name == self.own_name() => "self",
                None => "no address",
                Some(_) if self.is_available(now, number) => "available",
                Some(_) => "unavailable",
            };
            let _ = writeln!(text, "proxy {} {state}", proxy.name);
        }
        let PlacementCounts { home, sent_on, taken, direct, refused } = self.counts;
        let _ = writeln!(text, "sets_direct {}", self.direct.len());
        let _ = writeln!(
            text,
            "requests home={home} sent_on={sent_on} taken={taken} direct={direct} refused={refused}"
        );
        text
    }
}

/// Returns the session bucket of a request: that of its session's key, or of the request's number if it has
/// none.
pub fn session_bucket(group: GroupId, key: Option<u64>, request: u64) -> Bucket {
    let key = key.unwrap_or(request);
    let hash = leadmast::settings::fnv(&format!("{} {key}", group.0));
    Bucket::new((hash % u64::from(BUCKETS)) as u16)
}

#[cfg(test)]
mod tests;
