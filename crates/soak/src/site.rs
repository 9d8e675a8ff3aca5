//! The site of a play: sets of db hosts, discovery at two addresses, and the configuration of its processes.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use gradeshunt_stand_ins::discovery::Discovery;
use gradeshunt_stand_ins::site::{entry, Plan, Site as Names};
use serde_json::{json, Value};

use crate::db_host::{DbHost, Keys, Shared, WallClock, KEY_WINDOW};
use crate::ledger::Ledger;

/// Sets of a site, and db hosts of each; the first of a set is its primary.
pub const SETS: usize = 4;
const HOSTS: usize = 3;
/// The longest that a client waits, of which a seed draws one, and the time within which answers are wanted.
const LONGEST_WAITS: [Duration; 3] =
    [Duration::from_millis(1_000), Duration::from_millis(300), Duration::from_millis(2_000)];
const AIM_MS: f64 = 100.0;
/// Descriptors of a process.
const SOCKETS: u32 = 256;
/// Memory that a process may use, in megabytes.
pub const MEMORY_MB: u32 = 48;
/// How long a process hears nothing before it takes a watch for broken, in milliseconds.
const WATCH_SILENCE_MS: u64 = 3_000;

/// A running site.
pub struct Site {
    pub hosts: Vec<DbHost>,
    pub discovery: Discovery,
    /// Where each proxy can call discovery: all of it is the same service.
    addresses: Vec<[SocketAddr; 2]>,
    pub wall: WallClock,
    /// The longest that a client waits.
    pub longest_wait: Duration,
    plan: Plan,
}

/// The longest that a client of a seed's play waits.
pub fn longest_wait(seed: u64) -> Duration {
    LONGEST_WAITS[(seed % LONGEST_WAITS.len() as u64) as usize]
}

impl Site {
    /// Opens a site for so many proxies, whose db hosts write into this ledger; clients wait for `longest_wait`
    /// at most.
    ///
    /// # Errors
    /// Those of sockets.
    pub fn open(ledger: &Arc<Ledger>, proxies: usize, longest_wait: Duration) -> io::Result<Site> {
        let shared = Shared { wall: WallClock::default(), ledger: Arc::clone(ledger) };
        let (mut hosts, mut entries) = (Vec::new(), Vec::new());
        for set in 1..=SETS {
            let keys = Keys::default();
            for number in 0..HOSTS {
                let host = DbHost::open(hosts.len(), number == 0, &keys, &shared)?;
                let id = Names::id(set, number);
                entries.push(entry(&id, &host.addr().to_string(), set, number == 0));
                hosts.push(host);
            }
        }
        let discovery = Discovery::open(entries)?;
        ledger.judge_drains_by(&discovery);
        let both = |proxy| Ok([discovery.open_for(proxy)?, discovery.open_for(proxy)?]);
        let addresses = (0..proxies).map(both).collect::<io::Result<_>>()?;
        let plan = Plan {
            deadline: longest_wait.as_secs_f64() * 1000.0,
            aim: AIM_MS,
            window: KEY_WINDOW,
            sockets: SOCKETS,
            memory: MEMORY_MB,
            ..Plan::default()
        };
        Ok(Site { hosts, discovery, addresses, wall: shared.wall, longest_wait, plan })
    }

    /// How discovery names a db host.
    pub fn id(host: usize) -> String {
        Names::id(host / HOSTS + 1, host % HOSTS)
    }

    /// The configuration of a process that is one of `fleet`.
    pub fn config(&self, me: usize, fleet: usize, listen: SocketAddr, discovery: usize) -> Value {
        let mut config = self.plan.config(&self.discovery);
        config["name"] = json!(format!("n{me}"));
        config["listen"] = json!(listen.to_string());
        config["seed"] = json!(format!("{:x}", me + 1));
        config["discovery"] = json!(self.addresses[me][discovery % 2].to_string());
        config["watch_silence_ms"] = json!(WATCH_SILENCE_MS);
        config["settings"]["fleetSize"] = json!(fleet);
        config["settings"]["me"] = json!(me);
        // Db hosts serve what they have: the proxy alone keeps reads from being stale.
        config["settings"]["familyInfo"]["whenBehind"] = json!("silent");
        config
    }
}
