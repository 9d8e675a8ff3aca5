//! What may not be in a play, whatever is broken.

use std::time::Duration;

use gradeshunt_stand_ins::checker::Checker;
use std::collections::{BTreeMap, BTreeSet};

use super::connections::Most;
use super::fleet::{Fleet, Options};
use super::Outage;
use crate::load::Done;
use crate::region::FALL;

/// Connections at a db host and at a proxy, at most (docs/placement.md).
const AT_HOST: usize = 128;
const AT_PROXY: usize = 512;
/// Faults of one kind that are told; a broken program has thousands.
const TOLD: usize = 5;

/// What a play has left.
pub struct Evidence<'a> {
    pub fleet: &'a Fleet,
    pub checker: &'a Checker,
    /// Requests that their clients have sent twice.
    pub resent: &'a BTreeSet<String>,
    pub done: &'a [Done],
    pub outages: &'a [Outage],
    pub most: Most,
    pub options: &'a Options<'a>,
}

/// All that may not be.
pub fn faults(evidence: &Evidence) -> Vec<String> {
    let kinds = [
        outcomes(evidence),
        lost_writes(evidence),
        unsafe_twice(evidence),
        without_answer(evidence.done, evidence.outages),
        late(evidence.done, evidence.outages, evidence.options.slack),
        at_hosts(evidence),
        evidence.fleet.hops.handed_on_twice(),
        connections(evidence.most, evidence.options.placement),
    ];
    kinds.into_iter().flat_map(|kind| kind.into_iter().take(TOLD)).collect()
}

fn writes(evidence: &Evidence) -> BTreeMap<String, u32> {
    evidence.fleet.site.sets.iter().flat_map(|set| set.writes()).collect()
}

/// Requests with no outcome or several, and keys that have changed data twice.
fn outcomes(evidence: &Evidence) -> Vec<String> {
    evidence.checker.faults(&writes(evidence))
}

/// Writes whose clients were told that they are served, and which no set knows.
fn lost_writes(evidence: &Evidence) -> Vec<String> {
    let ran: BTreeSet<_> = writes(evidence).into_keys().collect();
    let served = evidence.checker.served_of("w-").into_iter();
    served.filter(|id| !ran.contains(id)).map(|id| format!("write {id} was confirmed and is lost")).collect()
}

/// Requests of the class whose writes must never run twice that have run twice, known key or not, where the client has sent them
/// once.
fn unsafe_twice(evidence: &Evidence) -> Vec<String> {
    let mut runs = BTreeMap::<_, u32>::new();
    for ran in evidence.fleet.site.sets.iter().flat_map(|set| set.ran()) {
        if let Some(key) = ran.key.filter(|_| ran.request.contains(",c=plain-write,")) {
            *runs.entry(key).or_default() += 1;
        }
    }
    let sent = |id: &String| 1 + u32::from(evidence.resent.contains(id));
    let twice = runs.into_iter().filter(|(id, count)| *count > sent(id));
    twice.map(|(id, count)| format!("unsafe write {id} has run {count} times")).collect()
}

/// Requests that ended without a word, though their proxy ran all the time.
fn without_answer(done: &[Done], outages: &[Outage]) -> Vec<String> {
    let silent = done.iter().filter(|done| done.outcome.at_the_door());
    let unexcused = silent.filter(|done| !is_excused(done, outages));
    unexcused.map(|done| format!("a request ended without a word: {done:?}")).collect()
}

/// Requests whose answer came this much later than their clients wait, though their proxy ran all the time.
fn late(done: &[Done], outages: &[Outage], slack: Duration) -> Vec<String> {
    let late = done.iter().filter(|done| done.over > slack);
    let unexcused = late.filter(|done| !is_excused(done, outages));
    unexcused.map(|done| format!("a request was answered too late: {done:?}")).collect()
}

/// Whether the proxy that a request asked was killed or stopped meanwhile. One that no connection was to be had for has no proxy.
fn is_excused(done: &Done, outages: &[Outage]) -> bool {
    let (from, to) = (done.due, done.due + done.took);
    let meets = |outage: &Outage| done.at == Some(outage.address) && outage.from <= to && from <= outage.to;
    outages.iter().any(meets)
}

/// Stale reads, requests long after a drain was told, cold db hosts pushed over.
fn at_hosts(evidence: &Evidence) -> Vec<String> {
    let proxies = &evidence.fleet.proxies;
    let of = |(number, host): (usize, &super::fleet::Host)| {
        let id = host.id();
        let written = |text: &str| proxies.iter().filter_map(|proxy| proxy.links[number].written(text)).max();
        let faults = host.engine.faults(FALL.0, FALL.1, written);
        faults.into_iter().map(move |fault| format!("db host {id}: {fault}"))
    };
    evidence.fleet.hosts.iter().enumerate().flat_map(of).collect()
}

/// The bounds are those of placement: without it there are none.
fn connections(most: Most, placement: bool) -> Vec<String> {
    if !placement {
        return Vec::new();
    }
    let bounds = [("a db host", most.at_host, AT_HOST), ("a proxy", most.at_proxy, AT_PROXY)];
    let above = bounds.into_iter().filter(|(_, count, bound)| count > bound);
    above
        .map(|(at, count, bound)| format!("{count} connections at {at}, where {bound} are allowed"))
        .collect()
}

#[cfg(test)]
mod tests;
