//! Checks on counts: what clients sent, what proxies say they sent on, and what db hosts got.

use std::io;
use std::thread;
use std::time::{Duration, Instant};

use gradeshunt_stand_ins::postgres::farm::{HostFarm, Seen};
use gradeshunt_stand_ins::program::Process;

use super::load::Sent;
use crate::capacity::Count;

/// On a busy machine the stand-ins stand still now and then, all db hosts at once: a proxy repeats reads whose answer does
/// not come, or turns them away. At most one statement in so many may meet that.
const STATEMENTS_A_STANDSTILL: u64 = 20;
/// The figure of statements written whole to db hosts, as a proxy tells it.
const DISPATCHES: &str = "app_dispatches ";
/// How long db hosts may take to read what was sent on.
const SETTLES: Duration = Duration::from_secs(10);

/// What has to hold once all statements have been answered. `most`: connections that the proxies may hold to db hosts.
pub fn conserved(
    name: &str,
    sent: &Sent,
    farm: &HostFarm,
    proxies: &[Process],
    most: u64,
) -> io::Result<Vec<Count>> {
    let dispatches = proxies.iter().map(dispatches).sum::<io::Result<u64>>()?;
    let seen = settled(farm, dispatches);
    let got = seen.sum(|t| t.statements);
    let few = sent.statements / STATEMENTS_A_STANDSTILL;
    let length = sent.bytes / sent.statements.max(1);
    let why = sent.why.as_ref().map(|why| format!(" ({why})")).unwrap_or_default();
    let count = |what: &str, expected, found| Count { what: format!("{name}: {what}"), expected, found };
    let exactly = |what: &str, expected, found| count(what, expected..=expected, found);
    Ok(vec![
        count("statements served, of those sent", sent.statements - few..=sent.statements, sent.served),
        exactly(&format!("statements neither served nor refused{why}"), 0, sent.failed),
        exactly("statements that db hosts got, of those that proxies sent on", dispatches, got),
        count(
            "statements that db hosts got and refused ones, with repeats",
            sent.statements..=sent.statements + few,
            got + sent.refused,
        ),
        // All are of one length.
        exactly("bytes of statements that db hosts got", got * length, seen.sum(|t| t.statement_bytes)),
        count("connections to db hosts at once", 1..=most, seen.most_connections),
        count(
            "connections opened, at most one for a statement or probe",
            1..=got + seen.sum(|t| t.probes),
            seen.sum(|t| t.opened),
        ),
    ])
}

/// What db hosts have seen once they got so many statements; a proxy may have given up on an answer before they read.
fn settled(farm: &HostFarm, statements: u64) -> Seen {
    let since = Instant::now();
    loop {
        let seen = farm.seen();
        if seen.sum(|t| t.statements) >= statements || since.elapsed() > SETTLES {
            return seen;
        }
        thread::sleep(Duration::from_millis(10));
    }
}

fn dispatches(proxy: &Process) -> io::Result<u64> {
    let (_, figures) = proxy.call("GET", "/status/metrics")?;
    let told = figures.lines().find_map(|line| line.strip_prefix(DISPATCHES)?.parse().ok());
    told.ok_or_else(|| io::Error::new(io::ErrorKind::InvalidData, "a proxy tells no dispatches"))
}
