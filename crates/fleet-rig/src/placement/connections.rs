//! Connections that stand at each db host and each proxy, counted from the system's table of sockets, again and again. What
//! comes and goes between two counts is not seen.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread::{self, JoinHandle};
use std::time::Duration;

/// From the end of one count to the next one; a count takes long where the whole machine has many sockets.
const PERIOD: Duration = Duration::from_millis(20);
/// The states of a socket, in `/proc/net/tcp`.
const ESTABLISHED: &str = "01";

/// Who a link's connections count for.
#[derive(Clone, Copy, Debug)]
pub enum Ends {
    ToHost { proxy: usize, host: usize },
    Between { from: usize, to: usize },
}

/// The largest counts seen.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Most {
    /// Connections at one db host, from all proxies.
    pub at_host: usize,
    /// Proxies that are connected to one db host.
    pub proxies_at_host: usize,
    /// Connections of one proxy: to db hosts, and to and from other proxies.
    pub at_proxy: usize,
    /// Times that were counted.
    pub samples: u64,
}

/// Counts until it is ended.
pub struct Sampler {
    ends: Arc<AtomicBool>,
    thread: JoinHandle<Most>,
}

impl Sampler {
    /// `links`: by the port at which a link listens.
    pub fn start(links: BTreeMap<u16, Ends>) -> Sampler {
        let ends = Arc::new(AtomicBool::new(false));
        let over = Arc::clone(&ends);
        let thread = thread::spawn(move || {
            let mut most = Most::default();
            while !over.load(Ordering::Relaxed) {
                if let Ok(table) = std::fs::read_to_string("/proc/net/tcp") {
                    most.take(&table, &links);
                }
                thread::sleep(PERIOD);
            }
            most
        });
        Sampler { ends, thread }
    }

    /// The largest counts; none where its thread has failed.
    pub fn end(self) -> Most {
        self.ends.store(true, Ordering::Relaxed);
        self.thread.join().unwrap_or_default()
    }
}

impl Most {
    fn take(&mut self, table: &str, links: &BTreeMap<u16, Ends>) {
        let (mut hosts, mut proxies) = (BTreeMap::<_, usize>::new(), BTreeMap::<_, usize>::new());
        let mut pairs = BTreeSet::new();
        for ends in table.lines().filter_map(local_port).filter_map(|port| links.get(&port)) {
            match *ends {
                Ends::ToHost { proxy, host } => {
                    *hosts.entry(host).or_default() += 1;
                    *proxies.entry(proxy).or_default() += 1;
                    pairs.insert((host, proxy));
                }
                Ends::Between { from, to } => {
                    *proxies.entry(from).or_default() += 1;
                    *proxies.entry(to).or_default() += 1;
                }
            }
        }
        let mut met = BTreeMap::<_, usize>::new();
        pairs.iter().for_each(|(host, _)| *met.entry(host).or_default() += 1);
        let largest = |of: Option<&usize>| of.copied().unwrap_or(0);
        self.at_host = self.at_host.max(largest(hosts.values().max()));
        self.at_proxy = self.at_proxy.max(largest(proxies.values().max()));
        self.proxies_at_host = self.proxies_at_host.max(largest(met.values().max()));
        self.samples += 1;
    }
}

/// The local port of an established connection: its end at the link. A peer that has closed leaves that state at once, though
/// the link may hold what it sent.
fn local_port(line: &str) -> Option<u16> {
    let mut fields = line.split_whitespace().skip(1);
    let local = fields.next()?;
    let state = fields.nth(1)?;
    let (_, port) = local.split_once(':')?;
    u16::from_str_radix(port, 16).ok().filter(|_| state == ESTABLISHED)
}

#[cfg(test)]
mod tests;
