//! Runs balancers for the simulator: reads events from standard input and writes decisions to standard
//! output.

mod wire;

use std::collections::HashMap;
use std::io::{BufRead, Write};
use std::process::ExitCode;

use leadmast::settings::Result;
use leadmast::Balancer;
use serde_json::{json, Value};
use wire::{Names, Sheets};

/// One balancer instance; instances share no state.
struct Instance {
    balancer: Balancer,
    names: Names,
}

/// All instances of this process and the member lists that their events refer to.
#[derive(Default)]
struct Host {
    instances: HashMap<u64, Instance>,
    sheets: Sheets,
}

impl Host {
    /// Processes one batch of events and returns the reply.
    fn batch(&mut self, line: &str) -> Result<Value> {
        let batch: Value = serde_json::from_str(line).map_err(|e| format!("not JSON: {e}"))?;
        let wall = batch.get("wall").and_then(Value::as_f64).filter(|w| w.abs() < 1e12);
        let now = (wall.ok_or("the batch has no time in wall")? * 1000.0).round() as i64;
        let seq = batch.get("seq").filter(|s| s.is_u64()).ok_or("the batch has no number in seq")?;
        let groups = batch.get("groups").and_then(Value::as_array).ok_or("the batch has no groups")?;
        let mut replies = Vec::new();
        for group in groups {
            let i = group.get("i").and_then(Value::as_u64).ok_or("a group has no instance in i")?;
            let items = group.get("items").and_then(Value::as_array);
            let items = items.ok_or_else(|| format!("instance {i} has no items"))?;
            let decisions = self.group(i, now, items).map_err(|e| format!("instance {i}: {e}"))?;
            if !decisions.is_empty() {
                replies.push(json!({"i": i, "decisions": decisions}));
            }
        }
        Ok(json!({"seq": seq, "groups": replies}))
    }

    fn group(&mut self, i: u64, now: i64, items: &[Value]) -> Result<Vec<Value>> {
        let (mut actions, mut decisions) = (Vec::new(), Vec::new());
        for item in items {
            match item.get(0).and_then(Value::as_str) {
                Some("CENSUS") => wire::census(item, &mut self.sheets)?,
                Some("HALT") => {
                    self.instances.remove(&i);
                    decisions.clear();
                }
                Some("BEGIN") => {
                    let (settings, seed, names) = wire::begin(item)?;
                    let balancer = Balancer::new(settings, seed, now);
                    self.instances.insert(i, Instance { balancer, names });
                }
                _ => {
                    let instance = self.instances.get_mut(&i).ok_or("an event before BEGIN")?;
                    if let Some(event) = wire::event(item, &self.sheets, &mut instance.names)? {
                        instance.balancer.handle(now, event, &mut actions);
                        decisions.extend(actions.drain(..).map(|a| wire::decision(&a, &instance.names)));
                    }
                }
            }
        }
        Ok(decisions)
    }
}

fn run() -> Result<()> {
    let mut host = Host::default();
    let mut out = std::io::stdout().lock();
    for (n, line) in std::io::stdin().lock().lines().enumerate() {
        let line = line.map_err(|e| format!("line {}: {e}", n + 1))?;
        let reply = host.batch(&line).map_err(|e| format!("line {}: {e}", n + 1))?;
        writeln!(out, "{reply}").and_then(|()| out.flush()).map_err(|e| format!("cannot write: {e}"))?;
    }
    Ok(())
}

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(message) => {
            eprintln!("leadmast-wirehost: {message}");
            ExitCode::FAILURE
        }
    }
}
