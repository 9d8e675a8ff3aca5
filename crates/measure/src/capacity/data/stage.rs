//! Db hosts, discovery and processes of the program before them.

use std::io;
use std::time::Duration;

use gradeshunt_stand_ins::discovery::Discovery;
use gradeshunt_stand_ins::postgres::farm::HostFarm;
use gradeshunt_stand_ins::program::{Platform, Process};
use gradeshunt_stand_ins::site::Plan;
use serde_json::json;

use crate::Setting;

/// Descriptors that the program keeps for itself and for operators: `RESERVED_SOCKETS` and `OPERATOR_SOCKETS` of its main module. Of the
/// rest a third is for db hosts.
const KEPT: u32 = 24 + 12;
const SHARE_OF_HOSTS: u32 = 3;
/// The share of a db host's idle time for which the program keeps a connection: `IDLE_SHARE` of its module `backend`.
const KEPT_SHARE: f64 = 0.6;
/// Memory that an operator gives one proxy.
const MEMORY_MB: u32 = 256;

/// Db hosts and discovery.
pub struct Stage {
    pub sets: usize,
    pub farm: HostFarm,
    discovery: Discovery,
}

/// What the proxies are told.
#[derive(Clone, Copy)]
pub struct Limits {
    /// Descriptors of a proxy.
    pub sockets: u32,
    /// How long a connection to a db host may be idle, as the db host sees it.
    pub idle: Duration,
}

impl Limits {
    /// The most connections that a proxy may hold to db hosts.
    pub fn host_connections(&self) -> u64 {
        u64::from((self.sockets - KEPT) / SHARE_OF_HOSTS)
    }

    /// How long a proxy keeps an idle connection.
    pub fn kept(&self) -> Duration {
        self.idle.mul_f64(KEPT_SHARE)
    }
}

impl Stage {
    /// Opens so many db hosts, in sets of 3 and 4.
    pub fn open(hosts: usize) -> io::Result<Stage> {
        let sizes = set_sizes(hosts);
        let farm = HostFarm::open(&sizes)?;
        let discovery = Discovery::open(farm.entries())?;
        Ok(Stage { sets: sizes.len(), farm, discovery })
    }

    /// Starts so many proxies, all of one fleet, and waits until they serve.
    pub fn start(&self, setting: &Setting, proxies: usize, limits: Limits) -> io::Result<Vec<Process>> {
        let start = |number| {
            let folder = setting.folder.join(format!("proxy-{number}"));
            let platform = Platform::new(&setting.program, &folder, false)?;
            let plan = Plan { sockets: limits.sockets, memory: MEMORY_MB, ..Plan::default() };
            let mut config = plan.config(&self.discovery);
            let settings = &mut config["settings"];
            settings["fleetSize"] = json!(proxies);
            settings["me"] = json!(number);
            settings["allowed"]["connIdle"] = json!(limits.idle.as_millis() as f64);
            // As PostgreSQL does: a replica that is behind answers from what it has, so that proxies have to ask how far it is.
            settings["familyInfo"]["whenBehind"] = json!("silent");
            config["name"] = json!(format!("n{number}"));
            platform.configure(&config)?;
            platform.start()
        };
        let started: Vec<Process> = (0..proxies).map(start).collect::<io::Result<_>>()?;
        started.iter().try_for_each(Process::ready)?;
        Ok(started)
    }
}

/// Sets of 3 and 4 that have so many db hosts together.
fn set_sizes(hosts: usize) -> Vec<usize> {
    let sets = (hosts * 2).div_ceil(7);
    let fours = hosts - 3 * sets;
    (0..sets).map(|set| if set < fours { 4 } else { 3 }).collect()
}
