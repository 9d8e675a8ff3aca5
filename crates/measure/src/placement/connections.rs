//! Connections over the fleet: as today, each proxy to every db host, and with groups and homes.

use gradeshunt_placement::{Group, Homes, Member};

use super::model::Model;
use super::pool::{Load, Pool};

/// Connections are judged at the mean and this many standard deviations more.
const DEVIATIONS: f64 = 3.0;

/// How many connections a home holds to each db host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Connections {
    /// As many as it wants.
    Unlimited,
    /// Its share of what a db host bears.
    Limited,
}

/// What a way comes to.
#[derive(Clone, Copy, Debug, Default)]
pub struct Figures {
    /// Connections at a db host: in the mean over hosts; the largest, with its deviations.
    pub host_mean: f64,
    pub host_most: f64,
    /// Hosts whose connections may exceed what they bear.
    pub hosts_over: usize,
    /// A proxy's connections to db hosts and to proxies, likewise.
    pub proxy_mean: f64,
    pub proxy_most: f64,
    /// The same if a connection between proxies carried one statement at a time.
    pub proxy_most_unshared: f64,
    /// New connections for each statement.
    pub new_share: f64,
    /// How often a home and a db host meet, a second: the least, and the mean over pairs.
    pub meets_least: f64,
    pub meets_mean: f64,
    /// The share of statements that find no free connection.
    pub waiting: f64,
    /// The largest load of a proxy, in terms of its group's mean, and the largest group's size and the smallest's.
    pub load_most: f64,
    pub group_sizes: (usize, usize),
}

/// A sum of independent pools.
#[derive(Clone, Copy, Debug, Default)]
struct Sum {
    mean: f64,
    variance: f64,
    /// No more than this, where all pools have a limit.
    limit: Option<f64>,
}

impl Sum {
    fn add(&mut self, pool: &Pool, times: f64) {
        self.mean += pool.connections * times;
        self.variance += pool.variance * times;
    }

    fn add_limited(&mut self, pool: &Pool, limit: Option<u32>) {
        self.add(pool, 1.0);
        self.limit = limit.map(|limit| self.limit.unwrap_or(0.0) + f64::from(limit));
    }

    fn most(&self) -> f64 {
        let most = self.mean + DEVIATIONS * self.variance.sqrt();
        most.min(self.limit.unwrap_or(f64::INFINITY))
    }
}

/// Db hosts that have more statements under way than they bear connections, whatever the placement (Little's law), and the share
/// of all statements that go to them.
pub fn overloaded_hosts(model: &Model) -> Result<(usize, f64), String> {
    let sets = model.sets()?;
    let (mut hosts, mut share) = (0, 0.0);
    for (cluster, members) in (1..).zip(model.members()) {
        for member in 0..members {
            let of_host = sets.share(cluster) * model.member_share(member, members);
            if of_host * model.statements * model.work > f64::from(model.host_limit) {
                hosts += 1;
                share += of_host;
            }
        }
    }
    Ok((hosts, share))
}

/// What each proxy to every db host comes to.
pub fn today(model: &Model) -> Result<Figures, String> {
    let sets = model.sets()?;
    let proxies = f64::from(model.proxies);
    let (mut hosts, mut proxy, mut opened) = (Vec::new(), Sum::default(), 0.0);
    let mut meets = Meets::default();
    for (cluster, members) in (1..).zip(model.members()) {
        for member in 0..members {
            let share = sets.share(cluster) * model.member_share(member, members);
            let rate = model.statements * share / proxies;
            let pool = Pool::of(Load { rate, work: model.work, idle: model.idle() }, None);
            let mut host = Sum::default();
            host.add(&pool, proxies);
            hosts.push(host);
            proxy.add(&pool, 1.0);
            opened += pool.opened * proxies;
            meets.add(rate);
        }
    }
    let mut figures = Figures { new_share: opened / model.statements, ..Figures::default() };
    figures.count_hosts(model, &hosts);
    (figures.proxy_mean, figures.proxy_most) = (proxy.mean, proxy.most());
    (figures.meets_least, figures.meets_mean) = meets.least_and_mean();
    Ok(figures)
}

/// What groups and homes come to.
pub fn homes(model: &Model, way: Connections) -> Result<Figures, String> {
    let fleet = model.fleet()?;
    let members = model.members();
    let mut first_host = Vec::new();
    let mut count = 0;
    for of_set in &members {
        first_host.push(count);
        count += *of_set as usize;
    }
    let mut figures = Figures::default();
    let mut hosts = vec![Sum::default(); count];
    let (mut proxies, mut meets, mut opened, mut waiting) = (Vec::new(), Meets::default(), 0.0, 0.0);
    for group in fleet.groups() {
        let (homes, budget) = (fleet.homes(group), fleet.budget(group));
        let of_group = model.statements * group.proxies.len() as f64 / f64::from(model.proxies);
        let mut at_proxies = vec![Sum::default(); group.proxies.len()];
        for (cluster, parts) in homes.parts() {
            let set = cluster as usize - 1;
            let rate = of_group * fleet.sets().share(cluster) / parts.len() as f64;
            for (part, list) in (0..).zip(parts) {
                let Some(first) = list.first() else { continue };
                let limit = (way == Connections::Limited).then(|| {
                    budget.connections(cluster, part, model.host_limit, fleet.sets(), &model.settings)
                });
                for member in 0..members[set] {
                    let rate = rate * model.member_share(member, members[set]);
                    let pool = Pool::of(Load { rate, work: model.work, idle: model.idle() }, limit);
                    hosts[first_host[set] + member as usize].add_limited(&pool, limit);
                    at_proxies[first.0 as usize].add_limited(&pool, limit);
                    opened += pool.opened;
                    waiting += pool.waiting * rate;
                    meets.add(rate);
                }
            }
        }
        figures.count_proxies(model, group, &homes, &at_proxies);
        proxies.extend(at_proxies.iter().map(|sum| sum.mean + neighbours(group)));
    }
    figures.count_hosts(model, &hosts);
    figures.proxy_mean = proxies.iter().sum::<f64>() / proxies.len().max(1) as f64;
    figures.new_share = opened / model.statements;
    figures.waiting = waiting / model.statements;
    (figures.meets_least, figures.meets_mean) = meets.least_and_mean();
    let sizes = || fleet.groups().iter().map(|group| group.proxies.len());
    figures.group_sizes = (sizes().min().unwrap_or(0), sizes().max().unwrap_or(0));
    Ok(figures)
}

/// Connections to the other proxies of the group: one for each, which carries many statements in both directions.
fn neighbours(group: &Group) -> f64 {
    group.proxies.len() as f64 - 1.0
}

impl Figures {
    fn count_hosts(&mut self, model: &Model, hosts: &[Sum]) {
        self.host_mean = hosts.iter().map(|host| host.mean).sum::<f64>() / hosts.len().max(1) as f64;
        self.host_most = hosts.iter().map(Sum::most).fold(0.0, f64::max);
        // What sums to the limit by rounding is not over it.
        let bears = f64::from(model.host_limit) + 1e-6;
        self.hosts_over = hosts.iter().filter(|host| host.most() > bears).count();
    }

    fn count_proxies(&mut self, model: &Model, group: &Group, homes: &Homes, at_proxies: &[Sum]) {
        let unshared = unshared_neighbours(model, group, homes);
        for (place, sum) in (0..).zip(at_proxies) {
            self.proxy_most = self.proxy_most.max(sum.most() + neighbours(group));
            self.proxy_most_unshared = self.proxy_most_unshared.max(sum.most() + unshared[place as usize]);
            self.load_most = self.load_most.max(homes.relative_load(Member(place)));
        }
    }
}

/// Connections to the other proxies of the group, if each carried one statement at a time: those that a proxy opens, and those
/// that are opened to it.
fn unshared_neighbours(model: &Model, group: &Group, homes: &Homes) -> Vec<f64> {
    let count = group.proxies.len();
    let from_clients = model.statements / f64::from(model.proxies);
    let to = |place: usize| {
        let member = Member(u32::try_from(place).unwrap_or(u32::MAX));
        let rate = from_clients * homes.relative_load(member) / count as f64;
        Pool::of(Load { rate, work: model.work, idle: model.idle() }, None).connections
    };
    let pools: Vec<f64> = (0..count).map(to).collect();
    let sum: f64 = pools.iter().sum();
    pools.iter().map(|own| (sum - own) + own * (count as f64 - 1.0)).collect()
}

/// How often pairs of proxy and db host meet.
#[derive(Clone, Copy, Debug)]
struct Meets {
    least: f64,
    sum: f64,
    pairs: f64,
}

impl Default for Meets {
    fn default() -> Meets {
        Meets { least: f64::INFINITY, sum: 0.0, pairs: 0.0 }
    }
}

impl Meets {
    fn add(&mut self, rate: f64) {
        self.least = self.least.min(rate);
        self.sum += rate;
        self.pairs += 1.0;
    }

    fn least_and_mean(&self) -> (f64, f64) {
        (self.least, self.sum / self.pairs.max(1.0))
    }
}
