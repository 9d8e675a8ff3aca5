//! What processes have used and counted: processor time by the system, requests by way as `GET /placement` tells them.

use std::fs;
use std::io;
use std::time::Duration;

use gradeshunt_stand_ins::program::Process;

/// Of one process or several.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Account {
    /// Processor time.
    pub cpu: Duration,
    pub home: u64,
    pub sent_on: u64,
    pub taken: u64,
    pub direct: u64,
    pub refused: u64,
}

impl Account {
    /// Of a process up to now; what it does not tell counts as nothing.
    pub fn of(process: &Process) -> Account {
        let shown = process.call("GET", "/placement").map(|(_, body)| body).unwrap_or_default();
        Account { cpu: cpu(process.id()).unwrap_or_default(), ..Account::parse(&shown) }
    }

    fn parse(shown: &str) -> Account {
        let line = shown.lines().find_map(|line| line.strip_prefix("requests ")).unwrap_or_default();
        let count = |way: &str| {
            let mut pairs = line.split(' ').filter_map(|pair| pair.split_once('='));
            pairs.find(|(name, _)| *name == way).and_then(|(_, count)| count.parse().ok()).unwrap_or(0)
        };
        Account {
            cpu: Duration::ZERO,
            home: count("home"),
            sent_on: count("sent_on"),
            taken: count("taken"),
            direct: count("direct"),
            refused: count("refused"),
        }
    }

    /// Adds another one.
    pub fn add(&mut self, other: &Account) {
        self.cpu += other.cpu;
        self.home += other.home;
        self.sent_on += other.sent_on;
        self.taken += other.taken;
        self.direct += other.direct;
        self.refused += other.refused;
    }
}

/// Processor time of all threads of a process: `sum_exec_runtime` of proc(5)'s `schedstat`, in nanoseconds.
fn cpu(process: u32) -> io::Result<Duration> {
    let mut sum = Duration::ZERO;
    for task in fs::read_dir(format!("/proc/{process}/task"))? {
        let text = fs::read_to_string(task?.path().join("schedstat"))?;
        let ran = text.split_whitespace().next().and_then(|n| n.parse().ok());
        sum += ran.map(Duration::from_nanos).ok_or(io::ErrorKind::InvalidData)?;
    }
    Ok(sum)
}

#[cfg(test)]
mod tests;
