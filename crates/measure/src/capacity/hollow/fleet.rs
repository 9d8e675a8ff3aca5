//! A made-up fleet: its db hosts as discovery lists them, and its proxies' configurations.

use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use gradeshunt_stand_ins::site::{Plan, Site};
use serde_json::{json, Value};

/// Zones that db hosts and proxies are spread over.
const ZONES: usize = 16;
/// Db hosts of a replica set: a primary and its replicas.
const SET: usize = 3;

/// The db hosts that discovery lists; nothing listens at their addresses.
pub fn entries(hosts: usize) -> Vec<Value> {
    (0..hosts).map(|host| entry(host, 1.0)).collect()
}

/// One db host as discovery lists it.
pub fn entry(host: usize, weight: f64) -> Value {
    let (set, number) = (host / SET + 1, host % SET);
    let addr = format!("10.{}.{}.{}:5432", 100 + host / 65_536, host / 256 % 256, host % 256);
    let role = if number == 0 { "primary" } else { "standby" };
    json!({"instanceId": format!("s-{set}-{number}"), "hostPort": addr, "zone": zone(host), "cell": set,
        "machineType": "m2", "lifecycle": "ready", "weight": weight, "startedAtMs": 0, "replication": role})
}

/// The list of a proxy that has held none: one without an entry, older than any.
pub fn unknown() -> Value {
    json!({"generation": 0, "reset": true, "instances": []})
}

fn zone(number: usize) -> String {
    format!("z{}", number % ZONES)
}

/// Writes configurations of proxies.
pub struct Fleet {
    folder: PathBuf,
    /// What all configurations have in common.
    base: Value,
    proxies: usize,
}

impl Fleet {
    /// A fleet of so many proxies, with its files in this folder.
    pub fn new(folder: &Path, proxies: usize) -> io::Result<Fleet> {
        std::fs::create_dir_all(folder)?;
        let mut base = Site::open(Plan { sets: Vec::new(), ..Plan::default() })?.config();
        base["known"] = Value::Null;
        base["settings"]["fleetSize"] = json!(proxies);
        base["settings"]["failureDomains"] = (0..ZONES).map(zone).collect();
        Ok(Fleet { folder: folder.to_owned(), base, proxies })
    }

    /// How many proxies it has.
    pub fn proxies(&self) -> usize {
        self.proxies
    }

    /// A proxy's configuration: where discovery is, and the list that it held last, if any.
    pub fn config(&self, proxy: usize, discovery: SocketAddr, known: &Value) -> Value {
        let mut config = self.base.clone();
        config["name"] = json!(format!("n{proxy}"));
        config["seed"] = json!(format!("{:x}", proxy + 1));
        config["discovery"] = json!(discovery.to_string());
        config["known"] = known.clone();
        config["settings"]["me"] = json!(proxy);
        config["settings"]["zone"] = json!(zone(proxy));
        config
    }

    /// Writes it to a file of its own, in place of the one before.
    pub fn write(&self, proxy: usize, discovery: SocketAddr, known: &Value) -> io::Result<PathBuf> {
        let file = self.folder.join(format!("n{proxy}.json"));
        std::fs::write(&file, self.config(proxy, discovery, known).to_string())?;
        Ok(file)
    }
}
