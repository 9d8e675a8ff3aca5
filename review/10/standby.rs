//! A client with several commands under way on its connection, while an operator sends the proxy into standby.

use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::SeqCst};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Instant;

use crate::common::*;

/// Commands that a client has under way at a time: the fewest that there can be where it sends several, and else one.
fn depth() -> usize {
    if trouble() {
        2
    } else {
        1
    }
}

struct Set {
    random: Mutex<Random>,
}

impl Behaviour for Set {
    fn is_primary(&self, host: usize) -> bool {
        host == 0
    }

    fn position(&self, host: usize) -> f64 {
        unix_ms() - if host == 0 { 0.0 } else { 8.0 }
    }

    fn run(&self, host: usize, statement: &Statement) -> Reply {
        let work = self.random.lock().unwrap().between(90.0, 160.0);
        sleep_ms(work as u64);
        record(format!("host {host} ran {}", statement.field("id")));
        Reply::Value(statement.field("id").as_bytes().to_vec())
    }
}

/// Reads with `depth` commands under way: a further one is sent when an answer has come. Ends with its connection. `latest`: when
/// it sent the latest request that was answered, in ms since `start`; 0 once the connection has ended.
fn ask_on(
    proxy: &Proxy,
    start: Instant,
    number: usize,
    over: Arc<AtomicBool>,
    latest: Arc<AtomicU64>,
) -> thread::JoinHandle<()> {
    let listen = proxy.listen;
    thread::spawn(move || {
        let Some(mut client) = Client::connect(listen) else { return };
        let mut sent = std::collections::VecDeque::new();
        let send = |client: &mut Client, sent: &mut std::collections::VecDeque<(String, u64)>| {
            let id = new_id();
            let sql = format!(
                "/* id={id},c=page-read,d=1200,cluster=1 */ SELECT data FROM facts WHERE code = '{id}'"
            );
            record(format!("client {number} sends {id}"));
            sent.push_back((id, start.elapsed().as_millis() as u64));
            client.send(&sql)
        };
        (0..depth()).for_each(|_| {
            send(&mut client, &mut sent);
        });
        while !over.load(SeqCst) {
            let answer = client.answer(3000);
            let Some((id, at)) = sent.pop_front() else { break };
            record(format!("client {number} got {} for {id}", answer.name()));
            if answer == Answer::Nothing {
                record(format!("client {number}: the proxy has ended the connection"));
                return latest.store(0, SeqCst);
            }
            latest.store(at, SeqCst);
            send(&mut client, &mut sent);
        }
    })
}

pub fn play(root: &Path) -> i32 {
    let seed = unix_ms() as u64;
    let set: Arc<dyn Behaviour> = Arc::new(Set { random: Mutex::new(Random::new(seed)) });
    let discovery = start_sets(set);
    let proxy = Proxy::start(root, "n0", discovery.address, &windhoek(1, 0, false), "");
    proxy.wait_ready();
    let (start, over) = (Instant::now(), Arc::new(AtomicBool::new(false)));
    let latest: Vec<_> = (0..4).map(|_| Arc::new(AtomicU64::new(0))).collect();
    let clients: Vec<_> = latest
        .iter()
        .enumerate()
        .map(|(n, l)| ask_on(&proxy, start, n, Arc::clone(&over), Arc::clone(l)))
        .collect();
    sleep_ms(4000);
    let working = latest.iter().filter(|l| l.load(SeqCst) > 0).count();
    let called = start.elapsed().as_millis() as u64;
    let answer = proxy.call("PUT", "/standby");
    record(format!("PUT /standby: {}", answer.lines().next().unwrap_or_default()));
    // The rule looks at what is held 4 s after the call; half a second more for what is under way then.
    sleep_ms(4500);
    let mut held = 0;
    for (number, latest) in latest.iter().enumerate() {
        let at = latest.load(SeqCst);
        // A request of the last 2 s before the look, answered on a connection that is still open.
        if at > called + 2000 {
            record(format!(
                "client {number} is still served: a request sent {} ms after the call has its answer",
                at - called
            ));
            held += 1;
        }
    }
    let front = match Client::connect(proxy.listen) {
        Some(mut c) => c.query("", 1000).name(),
        None => "no connection".into(),
    };
    record(format!("the front's empty query gets: {front}"));
    over.store(true, SeqCst);
    sleep_ms(300);
    record_both(format!(
        "{working} clients were served before; {held} are held 4.5 s later; the front hears {front}"
    ));
    drop(clients);
    if working < 4 {
        return CANNOT_RUN;
    }
    // A yes to the front 4 s after the call breaks the same rule.
    if held > 0 || front == "empty" {
        BROKEN
    } else {
        HELD
    }
}
