//! Scripts, in protobuf's text format. Their schema is `proto/fleet.proto`.

use std::time::Duration;

use gradeshunt_textproto::{Message, Schema};

use crate::link::State;

pub(crate) const SCHEMA: &str = include_str!("../proto/fleet.proto");
/// Processes of the program, db hosts and clients of a proxy, at most.
const MOST: u32 = 40;

/// A whole script.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Script {
    pub proxies: usize,
    /// Db hosts of each set.
    pub sets: Vec<usize>,
    /// Clients of each proxy, and what they wait.
    pub clients: u64,
    pub wait_ms: u32,
    pub steps: Vec<Step>,
}

/// One thing that is broken or mended, and how many requests are answered before the next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Step {
    pub what: Option<Fault>,
    pub requests: u64,
}

/// Which of so many: `None` for all.
pub type Which = Option<usize>;

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Fault {
    Link { proxy: Which, set: Which, host: Which, state: State },
    Process { proxy: Which, act: Act },
}

/// What is done to a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Act {
    Kill,
    Stop,
    Continue,
    /// It is told to end, and a new one is started once it has.
    Restart,
    /// A new one, after a kill.
    Start,
}

/// Reads a script.
///
/// # Errors
/// What is wrong with it, in one line.
pub fn parse(text: &str) -> Result<Script, String> {
    let script = Schema::new("fleet.proto", SCHEMA, "gradeshunt.fleet.Script")?.parse(text)?;
    let fleet = script.inner("fleet").ok_or("the script has no fleet")?;
    let sets: Vec<_> = fleet.numbers("set").into_iter().map(|n| n as usize).collect();
    let (proxies, clients, wait_ms) =
        (small(&fleet, "proxies"), small(&fleet, "clients"), small(&fleet, "wait_ms"));
    if !(1..=MOST).contains(&proxies) {
        return Err(format!("fleet.proxies is {proxies}, of 1 to {MOST}"));
    }
    if !(1..=MOST).contains(&clients) {
        return Err(format!("fleet.clients is {clients}, of 1 to {MOST}"));
    }
    if wait_ms == 0 {
        return Err("fleet.wait_ms is missing: what clients wait".into());
    }
    if sets.is_empty() || sets.iter().any(|n| !(1..=MOST as usize).contains(n)) {
        return Err(format!("fleet.set names no set of 1 to {MOST} db hosts, or one that is none"));
    }
    let mut steps = Vec::new();
    for (n, step) in script.list("step").iter().enumerate() {
        let what = fault(step, proxies as usize, &sets).map_err(|e| format!("step {n}: {e}"))?;
        steps.push(Step { what, requests: step.number("requests") });
    }
    Ok(Script { proxies: proxies as usize, sets, clients: clients.into(), wait_ms, steps })
}

fn fault(step: &Message, proxies: usize, sets: &[usize]) -> Result<Option<Fault>, String> {
    if let Some(link) = step.inner("link") {
        let set = which(&link, "set", sets.len())?;
        let hosts = match set {
            Some(set) => sets[set],
            None => sets.iter().copied().min().unwrap_or(0),
        };
        let delay = Duration::from_millis(link.number("delay_ms"));
        let state = match link.word("state") {
            1 if delay.is_zero() => return Err("a slow link needs delay_ms".into()),
            1 => State::Slow(delay),
            2 => State::Cut,
            3 => State::Silent,
            4 => State::Deaf,
            _ => State::Up,
        };
        let (proxy, host) = (which(&link, "proxy", proxies)?, which(&link, "host", hosts)?);
        return Ok(Some(Fault::Link { proxy, set, host, state }));
    }
    let Some(process) = step.inner("process") else { return Ok(None) };
    let act = match process.word("act") {
        1 => Act::Stop,
        2 => Act::Continue,
        3 => Act::Restart,
        4 => Act::Start,
        _ => Act::Kill,
    };
    Ok(Some(Fault::Process { proxy: which(&process, "proxy", proxies)?, act }))
}

fn small(message: &Message, name: &str) -> u32 {
    u32::try_from(message.number(name)).unwrap_or(u32::MAX)
}

fn which(message: &Message, name: &str, of: usize) -> Result<Which, String> {
    let n = message.signed(name);
    match usize::try_from(n) {
        Ok(n) if n < of => Ok(Some(n)),
        Err(_) if n == -1 => Ok(None),
        _ => Err(format!("{name} is {n}, of 0 to {} or -1 for all", of.saturating_sub(1))),
    }
}

#[cfg(test)]
mod tests;
