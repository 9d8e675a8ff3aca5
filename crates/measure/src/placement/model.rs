//! The fleet that is looked at: how many of everything, and what is assumed of the load.

use gradeshunt_placement::{Fleet, GroupSize, Proxy, Roster, Set, Sets, Settings};

/// The share of `connIdle` after which the program drops an idle connection.
const IDLE_SHARE: f64 = 0.6;
/// Members of a set, in turn.
const MEMBERS: [u32; 2] = [3, 4];

/// Numbers and assumptions.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Model {
    pub proxies: u32,
    pub zones: u32,
    pub hosts: u32,
    /// Statements a second over the fleet; each proxy gets as many from clients as any other.
    pub statements: f64,
    /// The set of rank r has a load in proportion to r to the minus this.
    pub exponent: f64,
    /// Seconds for which a statement holds a connection, in the mean.
    pub work: f64,
    /// Seconds after which a db host drops an idle connection.
    pub conn_idle: f64,
    /// Statements at a primary for each one at another member.
    pub primary: f64,
    /// Connections that a db host bears from the whole fleet.
    pub host_limit: u32,
    pub settings: Settings,
}

impl Model {
    /// Seconds after which the program drops an idle connection.
    pub fn idle(&self) -> f64 {
        self.conn_idle * IDLE_SHARE
    }

    /// Members of each set, by rank. Hosts that make up no whole set make sets of 3 larger.
    pub fn members(&self) -> Vec<u32> {
        let mut left = self.hosts;
        let mut members = Vec::new();
        while let Some(next) = left.checked_sub(MEMBERS[members.len() % MEMBERS.len()]) {
            members.push(left - next);
            left = next;
        }
        for one in members.iter_mut().step_by(MEMBERS.len()).take(left as usize) {
            *one += 1;
        }
        members
    }

    /// The sets by their ranks, from 1.
    pub fn sets(&self) -> Result<Sets, String> {
        let count = self.members().len() as u64;
        // The lightest weighs 1, so that rounding to millionths is of no account.
        let weight = |rank: u64| (count as f64 / rank as f64).powf(self.exponent);
        let sets: Vec<Set> = (1..=count).map(|cluster| Set { cluster, weight: weight(cluster) }).collect();
        Sets::new(&sets).map_err(|error| error.to_string())
    }

    /// The proxies of a zone.
    pub fn zone(&self, zone: u32) -> Vec<Proxy> {
        let proxies = (0..self.proxies).filter(|n| n % self.zones == zone);
        let proxy = |n| Proxy { name: format!("proxy-{n}"), zone: format!("zone-{zone:02}"), address: None };
        proxies.map(proxy).collect()
    }

    /// All groups.
    pub fn fleet(&self) -> Result<Fleet, String> {
        self.fleet_of((0..self.zones).flat_map(|zone| self.zone(zone)).collect())
    }

    /// The groups of these proxies.
    pub fn fleet_of(&self, proxies: Vec<Proxy>) -> Result<Fleet, String> {
        let roster = Roster::new(proxies, &[]).map_err(|error| error.to_string())?;
        Fleet::new(&roster, self.sets()?, self.settings).map_err(|error| error.to_string())
    }

    /// The share of a set's statements at one of its members; the primary is the first.
    pub fn member_share(&self, member: u32, members: u32) -> f64 {
        let all = self.primary + f64::from(members - 1);
        (if member == 0 { self.primary } else { 1.0 }) / all
    }
}

/// The size to design for.
pub fn design_size() -> Model {
    Model {
        proxies: 3_400,
        zones: 16,
        hosts: 6_700,
        statements: 2e6,
        exponent: 0.5,
        work: 0.1,
        conn_idle: 30.0,
        primary: 1.0,
        host_limit: 128,
        settings: Settings {
            group_size: GroupSize { least: 100, most: 130 },
            // 128 connections over 32 groups.
            most_parts: 4,
            ..Settings::default()
        },
    }
}
