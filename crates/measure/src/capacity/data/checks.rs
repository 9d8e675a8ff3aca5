//! Checks on counts: what clients sent, what proxies say they sent on, and what db hosts got.

use std::io;

use gradeshunt_stand_ins::postgres::farm::Seen;
use gradeshunt_stand_ins::program::Process;

use super::load::Sent;
use crate::capacity::Count;

/// A proxy may repeat a read whose answer is slow, as on a busy machine: at most one in so many.
const STATEMENTS_A_REPEAT: u64 = 20;
/// The figure of statements written whole to db hosts, as a proxy tells it.
const DISPATCHES: &str = "app_dispatches ";

/// What has to hold once all statements have been answered. `most`: connections that the proxies may hold to db hosts.
pub fn conserved(
    name: &str,
    sent: &Sent,
    seen: &Seen,
    proxies: &[Process],
    most: u64,
) -> io::Result<Vec<Count>> {
    let dispatches = proxies.iter().map(dispatches).sum::<io::Result<u64>>()?;
    let got = seen.sum(|t| t.statements);
    let repeats = sent.statements / STATEMENTS_A_REPEAT;
    let length = sent.bytes / sent.statements.max(1);
    let count = |what: &str, expected, found| Count { what: format!("{name}: {what}"), expected, found };
    let exactly = |what: &str, expected, found| count(what, expected..=expected, found);
    Ok(vec![
        exactly("statements served, of those sent", sent.statements, sent.served),
        exactly("statements that db hosts got, of those that proxies sent on", dispatches, got),
        count(
            "statements that db hosts got and refused ones, with repeats",
            sent.statements..=sent.statements + repeats,
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

fn dispatches(proxy: &Process) -> io::Result<u64> {
    let (_, figures) = proxy.call("GET", "/status/metrics")?;
    let told = figures.lines().find_map(|line| line.strip_prefix(DISPATCHES)?.parse().ok());
    told.ok_or_else(|| io::Error::new(io::ErrorKind::InvalidData, "a proxy tells no dispatches"))
}
