//! Plain statements: a plan is asked for with the option ANALYZE in quotes, which runs what is explained, and connections break
//! under it.

use std::collections::HashMap;
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::SeqCst};
use std::sync::{Arc, Mutex};

use crate::common::*;

const RULES: &str = r#"route { name: "reads" match { access: READ } class: "own-read" cluster: 1 }
route { name: "writes" class: "plain-write" cluster: 1 }
"#;

struct Set {
    trouble: AtomicBool,
    random: Mutex<Random>,
    /// How often each row was inserted.
    rows: Mutex<HashMap<String, u32>>,
    cuts: AtomicU64,
}

impl Behaviour for Set {
    fn is_primary(&self, host: usize) -> bool {
        host == 0
    }

    fn position(&self, host: usize) -> f64 {
        unix_ms() - if host == 0 { 0.0 } else { 8.0 }
    }

    fn run(&self, host: usize, statement: &Statement) -> Reply {
        let text = statement.text.clone();
        let work = self.random.lock().unwrap().between(54.0, 94.0);
        // As PostgreSQL does: EXPLAIN with the option analyze, quoted or not, runs its statement.
        let writes = text.contains("INSERT INTO") && text.to_lowercase().contains("analyze");
        if !writes && statement.is_insert() && host != 0 {
            return Reply::Error("25006");
        }
        if !writes {
            sleep_ms(work as u64);
            return Reply::Value(b"a plan".to_vec());
        }
        if host != 0 {
            record(format!("host {host}, a standby, turns away: {text}"));
            return Reply::Error("25006");
        }
        sleep_ms(work as u64);
        let code = text.split('\'').nth(1).unwrap_or_default().to_owned();
        let times = {
            let mut rows = self.rows.lock().unwrap();
            let times = rows.entry(code.clone()).or_default();
            *times += 1;
            *times
        };
        record(format!("host {host} has inserted {code}, time {times}"));
        // Some connections are reset under requests that have begun.
        if self.trouble.load(SeqCst) && self.random.lock().unwrap().share() < 0.125 {
            record(format!("the connection breaks before the answer for {code}"));
            self.cuts.fetch_add(1, SeqCst);
            return Reply::Close;
        }
        Reply::Value(b"Insert on facts (actual rows=0)".to_vec())
    }
}

pub fn play(root: &Path) -> i32 {
    let seed = unix_ms() as u64;
    let set = Arc::new(Set {
        trouble: AtomicBool::new(trouble()),
        random: Mutex::new(Random::new(seed)),
        rows: Mutex::new(HashMap::new()),
        cuts: AtomicU64::new(0),
    });
    let discovery = start_sets(Arc::clone(&set) as Arc<dyn Behaviour>);
    let rules = folder().join("rules.textproto");
    std::fs::write(&rules, RULES).unwrap();
    let more = format!("\"rules\":\"{}\",", rules.display());
    let proxy = Proxy::start(root, "n0", discovery.address, &windhoek(1, 0, true), &more);
    proxy.wait_ready();
    let Some(mut client) = Client::connect(proxy.listen) else { return CANNOT_RUN };
    // Others write as well, in the form with a routing comment.
    let over = Arc::new(AtomicBool::new(false));
    for n in 0..6 {
        let (over, listen) = (Arc::clone(&over), proxy.listen);
        std::thread::spawn(move || {
            let (mut random, client) = (Random::new(seed + n), Client::connect(listen));
            let Some(mut client) = client else { return };
            while !over.load(SeqCst) {
                let id = new_id();
                client.query(&format!("/* id={id},c=tally-write,d=3000,k={id},cluster=1 */ INSERT INTO facts (code, data) VALUES ('{id}', 'x') RETURNING data"), 4000);
                sleep_ms(random.exponential(60.0) as u64);
            }
        });
    }
    let mut refused = 0;
    for n in 0..60 {
        let code = format!("row-{n}");
        let sql =
            format!("EXPLAIN (\"analyze\", \"costs\") INSERT INTO facts (code, data) VALUES ('{code}', 'x')");
        record(format!("client sends: {sql}"));
        let answer = client.query(&sql, 4000);
        record(format!("client got {} for {code}", answer.name()));
        let has_run = set.rows.lock().unwrap().get(&code).is_some_and(|times| *times > 0);
        if has_run && answer == Answer::Error("53300".into()) {
            record(format!("REFUSED THOUGH IT RAN: {code}"));
            refused += 1;
        }
        if answer == Answer::Nothing {
            match Client::connect(proxy.listen) {
                Some(new) => client = new,
                None => return CANNOT_RUN,
            }
        }
        sleep_ms(100);
    }
    over.store(true, SeqCst);
    let rows = set.rows.lock().unwrap();
    let twice: Vec<_> = rows.iter().filter(|(_, times)| **times > 1).collect();
    twice.iter().for_each(|(code, times)| record(format!("RUN {times} TIMES: {code}")));
    record_both(format!(
        "{} rows, {} connections broke under the statement, {} rows were inserted more than once, {refused} refused though they were inserted",
        rows.len(),
        set.cuts.load(SeqCst),
        twice.len()
    ));
    if rows.len() < 20 {
        return CANNOT_RUN;
    }
    if twice.is_empty() && refused == 0 {
        HELD
    } else {
        BROKEN
    }
}
