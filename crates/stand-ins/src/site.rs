//! A whole site: sets of db hosts and discovery, and the configuration for the program.

use std::io;
use std::time::Duration;

use serde_json::{json, Value};

use crate::discovery::Discovery;
use crate::postgres::host::Host;
use crate::set::Set;

/// What a site is to be.
#[derive(Clone, Debug)]
pub struct Plan {
    /// How many db hosts each set has; the first of them is its primary. Sets are numbered from 1.
    pub sets: Vec<usize>,
    /// The wait of every class, in milliseconds, and the time within which its answers are wanted.
    pub deadline: f64,
    pub aim: f64,
    /// How long a db host knows the key of a write.
    pub window: Duration,
    /// File descriptors and memory (MB) of the program.
    pub sockets: u32,
    pub memory: u32,
    /// Whether db hosts tell their role and position, as the platform's do.
    pub positions: bool,
}

impl Default for Plan {
    fn default() -> Self {
        Plan {
            sets: vec![3],
            deadline: 600_000.0,
            aim: 20_000.0,
            window: Duration::from_secs(600),
            sockets: 1024,
            memory: 192,
            positions: true,
        }
    }
}

/// A running site.
pub struct Site {
    pub plan: Plan,
    pub sets: Vec<Set>,
    /// By set, then by number.
    pub hosts: Vec<Vec<Host>>,
    pub discovery: Discovery,
}

impl Site {
    pub fn open(plan: Plan) -> io::Result<Site> {
        let sets: Vec<_> = plan.sets.iter().map(|n| Set::new(*n, plan.window)).collect();
        let (mut hosts, mut entries) = (Vec::new(), Vec::new());
        for (set, (numbers, cell)) in sets.iter().zip(plan.sets.iter().zip(1..)) {
            let mut members = Vec::new();
            for number in 0..*numbers {
                let host = Host::open_at("127.0.0.1:0", set, number, plan.positions)?;
                entries.push(entry(&Site::id(cell, number), &host.addr().to_string(), cell, number == 0));
                members.push(host);
            }
            hosts.push(members);
        }
        Ok(Site { discovery: Discovery::open(entries)?, plan, sets, hosts })
    }

    /// The name under which discovery lists a db host: its set, from 1 on, and its number there.
    pub fn id(set: usize, number: usize) -> String {
        format!("s-{set}-{number}")
    }

    /// The program's configuration.
    pub fn config(&self) -> Value {
        self.plan.config(&self.discovery)
    }
}

impl Plan {
    /// The program's configuration, with what discovery lists now as what it knows.
    pub fn config(&self, discovery: &Discovery) -> Value {
        let Plan { deadline, aim, sockets, memory, positions, .. } = self;
        let class = |name: &str, group: &str, repeat: &str, worth: f64| {
            json!({"deadline": deadline, "group": group, "keyTtl": self.window.as_millis() as f64,
                "lateWorth": 0.0, "name": name, "repeat": repeat, "slo": aim, "worth": worth})
        };
        json!({"name": "n0", "listen": "127.0.0.1:0", "seed": "7", "discovery": discovery.addr().to_string(),
        "watch_silence_ms": 600000,
        "limits": {"cores": 1.0, "memory_mb": memory, "sockets": sockets},
        "known": discovery.whole(),
        "settings": {
            "allowed": {"mayCancel": true, "maxRetryAfter": 2000.0, "peers": false, "probing": true,
                "retryAfter": true, "secondCopies": false, "sendCap": 8, "connIdle": 30000.0,
                "connectTimeout": 250.0},
            "categories": [class("page-read", "all", "pure", 2.0), class("own-read", "all", "pure", 1.0),
                class("tally-write", "cell", "token", 3.0), class("plain-write", "cell", "side_effect", 3.0)],
            "failureDomains": ["here"], "zone": "here", "fleetSize": 1, "me": 0, "tick": 5.0,
            "familyInfo": {"catchUpWait": 0.0, "lagAllowed": [200.0, 0.0, 0.0, 0.0], "positionZero": 0.0,
                "positions": positions, "readLevel": ["lag_bound", "causal", "mutate", "mutate"],
                "roleListed": "static", "sessionMarks": "brought", "whenBehind": "bounce"},
            "feedback": {"fields": ["x0", "x1"], "how": "pull"}, "membershipMode": "on_request",
            "penalties": {"probe": 0.04, "crossZone": 0.0, "waste": 0.1},
            "rules": {"answerSlack": 20.0, "cold": 18000.0, "coldShare": 0.17, "drainGrace": 250.0,
                "fall": 3000.0, "fallMultiple": 4.0, "mustAskIn": 10000.0},
        }})
    }
}

/// A db host as discovery lists it.
pub fn entry(id: &str, addr: &str, cell: usize, primary: bool) -> Value {
    json!({"instanceId": id, "hostPort": addr, "zone": "here", "cell": cell, "machineType": "m", "lifecycle": "ready",
        "weight": 1.0, "startedAtMs": 0, "replication": if primary { "primary" } else { "standby" }})
}
