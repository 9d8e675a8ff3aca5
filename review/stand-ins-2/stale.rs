//! Bounded reads while replicas apply the log slowly and connections to db hosts come up late.

use std::net::SocketAddr;
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::SeqCst};
use std::sync::{Arc, Mutex};
use std::thread;

use crate::common::*;

const SETS: usize = 2;
const HOSTS: usize = 5;
const EPISODES: usize = 2;
/// The bound of the class `log-browse` and the slack of every time limit on sockets.
const BOUND_MS: f64 = 200.0 + 50.0;
/// What the stand-in may be wrong by when it notes the arrival of a statement's last byte.
const MEASURED_MS: f64 = 10.0;
/// Applying a write at a replica: busy for half of the time at some 40 writes a second of a set.
const APPLY_MS: f64 = 13.0;
const SLOWER: f64 = 17.0;
const SHIP_MS: f64 = 8.0;

struct Set {
    trouble: AtomicBool,
    random: Mutex<Random>,
    /// For each host, the commits it has yet to apply and has applied: commit, when it came there, when it is applied.
    logs: Mutex<Vec<Vec<(f64, f64, f64)>>>,
    served: AtomicU64,
    stale: AtomicU64,
}

impl Set {
    fn draw(&self, from: f64, to: f64) -> f64 {
        self.random.lock().unwrap().between(from, to)
    }

    fn commit(&self) {
        let now = unix_ms();
        let apply = APPLY_MS * if self.trouble.load(SeqCst) { SLOWER } else { 1.0 };
        for log in self.logs.lock().unwrap().iter_mut() {
            let before = log.last().map_or(0.0, |c| c.2);
            log.push((now, now + SHIP_MS, before.max(now + SHIP_MS) + apply));
        }
    }
}

impl Behaviour for Set {
    fn connected(&self, _: usize) {
        // A third of the connections come up late.
        if self.trouble.load(SeqCst) && self.draw(0.0, 3.0) < 1.0 {
            let late = self.draw(100.0, 240.0);
            sleep_ms(late as u64);
        }
    }

    fn idle_ms(&self, _: usize) -> u64 {
        // Idle connections are closed early.
        if self.trouble.load(SeqCst) { 50 } else { 15_000 }
    }

    fn is_primary(&self, host: usize) -> bool {
        host == 0
    }

    fn position(&self, host: usize) -> f64 {
        let now = unix_ms();
        if host == 0 {
            return now;
        }
        // All commits before the first one that has come and is not applied yet.
        let logs = self.logs.lock().unwrap();
        let waiting = logs[host].iter().find(|(_, came, applied)| *came <= now && *applied > now);
        waiting.map_or(now - SHIP_MS, |(commit, _, _)| commit - 1.0)
    }

    fn run(&self, host: usize, statement: &Statement) -> Reply {
        // A read sees what the host has applied when it begins, which is when its last byte has come.
        let came = unix_ms();
        let age = came - self.position(host);
        let work = self.draw(40.0, 69.0);
        if statement.is_insert() {
            if host != 0 {
                return Reply::Error("25006");
            }
            sleep_ms(work as u64);
            self.commit();
            return Reply::Value(b"written".to_vec());
        }
        sleep_ms(work as u64);
        self.served.fetch_add(1, SeqCst);
        let is_stale = host != 0 && statement.field("c") == "log-browse" && age > BOUND_MS + MEASURED_MS;
        let id = statement.field("id");
        let sent = statement.text.rsplit('\'').nth(1).and_then(|t| t.parse::<f64>().ok()).unwrap_or_default();
        record(format!("host {host} ran read {id}, {:.0} ms after it was sent, data {age:.0} ms old when its last byte came{}", came - sent,
            if is_stale { ": STALE" } else { "" }));
        if is_stale {
            self.stale.fetch_add(1, SeqCst);
        }
        Reply::Value(format!("{}{id}", if is_stale { "stale " } else { "" }).into_bytes())
    }
}

/// Writes now and then, until the day is over.
fn write_on(listen: SocketAddr, cell: usize, mut random: Random, over: &AtomicBool) -> Option<()> {
    let mut client = Client::connect(listen)?;
    while !over.load(SeqCst) {
        sleep_ms(random.exponential(1600.0) as u64);
        let id = new_id();
        let sql = format!("/* id={id},c=contact-entry,t=islandlog,d=5000,cluster={cell} */ INSERT INTO facts (code, data) VALUES ('{id}', '\\x01') RETURNING data");
        let answer = client.query(&sql, 6000);
        record(format!("writer got {} for {id}", answer.name()));
        if answer == Answer::Nothing {
            client = Client::connect(listen)?;
        }
    }
    Some(())
}

/// Pages through some entries, comes back a moment later for one more, and rests. While it pages, two writes of others commit.
/// Counts values that were made from data too old.
fn browse(listen: SocketAddr, cell: usize, set: &Set, over: &AtomicBool, received: &AtomicU64) -> Option<()> {
    let mut client = Client::connect(listen)?;
    while !over.load(SeqCst) {
        for n in 0..8 {
            if n == 6 {
                (set.commit(), set.commit());
            }
            // The rest between two pages; before the last read it is longer.
            sleep_ms(if n == 7 { 90 } else { 10 });
            let id = new_id();
            let sql = format!("/* id={id},c=log-browse,t=islandlog,d=750,cluster={cell} */ SELECT data FROM facts WHERE code = '{:.1}'", unix_ms());
            let answer = client.query(&sql, 2000);
            if matches!(&answer, Answer::Value(v) if v.starts_with(b"stale")) {
                received.fetch_add(1, SeqCst);
                record(format!("client got {} for {id}", answer.name()));
            } else if matches!(answer, Answer::Error(_)) {
                record(format!("client got {} for {id}", answer.name()));
            } else if answer == Answer::Nothing {
                client = Client::connect(listen)?;
            }
        }
        sleep_ms(600);
    }
    Some(())
}

pub fn play(root: &Path) -> i32 {
    let seed = unix_ms() as u64;
    let new_set = |n: usize| {
        Arc::new(Set {
            trouble: AtomicBool::new(false),
            random: Mutex::new(Random::new(seed + n as u64)),
            logs: Mutex::new(vec![Vec::new(); HOSTS]),
            served: AtomicU64::new(0),
            stale: AtomicU64::new(0),
        })
    };
    let sets: Vec<_> = (0..SETS).map(new_set).collect();
    let (mut hosts, mut entries) = (Vec::new(), Vec::new());
    for (cell, set) in sets.iter().enumerate() {
        for n in 0..HOSTS {
            let host = Host::start(n, Arc::clone(set) as Arc<dyn Behaviour>);
            entries.push(entry(&format!("s-{cell}-{n}"), host.address, "kingston-main", cell as u64 + 1, "ready"));
            hosts.push(host);
        }
    }
    let discovery = Discovery::start(entries);
    let proxy = Proxy::start(root, "n0", discovery.address, &kingston(2, 0), "");
    proxy.wait_ready();
    let over = Arc::new(AtomicBool::new(false));
    let received = Arc::new(AtomicU64::new(0));
    let (mut clients, listen) = (Vec::new(), proxy.listen);
    for cell in 1..=SETS {
        let (over_too, random) = (Arc::clone(&over), Random::new(seed + 100 * cell as u64));
        clients.push(thread::spawn(move || write_on(listen, cell, random, &over_too)));
        let (set, over_too, received) = (Arc::clone(&sets[cell - 1]), Arc::clone(&over), Arc::clone(&received));
        clients.push(thread::spawn(move || browse(listen, cell, &set, &over_too, &received)));
    }
    sleep_ms(4000);
    for _ in 0..EPISODES {
        if trouble() {
            record("replicas apply the log 17 times more slowly; connections come up late, idle ones are closed early");
            sets.iter().for_each(|s| s.trouble.store(true, SeqCst));
        }
        sleep_ms(18_000);
        sets.iter().for_each(|s| s.trouble.store(false, SeqCst));
        record("no trouble");
        sleep_ms(6000);
    }
    over.store(true, SeqCst);
    clients.into_iter().for_each(|c| drop(c.join()));
    let sum = |of: fn(&Set) -> &AtomicU64| sets.iter().map(|s| of(s).load(SeqCst)).sum::<u64>();
    let (served, stale, received) = (sum(|s| &s.served), sum(|s| &s.stale), received.load(SeqCst));
    record_both(format!("{served} reads run, {stale} of data older than the bound, {received} of them reached clients"));
    if served < 300 {
        return CANNOT_RUN;
    }
    if received > 0 { BROKEN } else { HELD }
}
