//! Statistics of this thread and its machine from proc(5): `/proc/thread-self/schedstat`,
//! `/proc/thread-self/stat` and `/proc/stat`. These files are not on a disk, so reading them does not block.

use std::fs::File;
use std::os::unix::fs::FileExt;

use leadmast::Micros;
use rustix::time::{clock_gettime, ClockId};

/// What a thread has used since it started.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Sample {
    /// Time on a CPU.
    pub ran: Micros,
    /// Time runnable without a CPU.
    pub waited: Micros,
    /// Page faults that needed a read from disk.
    pub major_faults: u64,
    /// Steal time of all CPUs of a virtual machine: nothing on this machine runs meanwhile, and its other
    /// statistics don't show it.
    pub stolen: Micros,
}

impl Sample {
    /// Returns the difference to an earlier sample.
    pub fn since(self, earlier: Sample) -> Sample {
        Sample {
            ran: self.ran - earlier.ran,
            waited: self.waited - earlier.waited,
            major_faults: self.major_faults.saturating_sub(earlier.major_faults),
            stolen: self.stolen - earlier.stolen,
        }
    }
}

/// The open files with the statistics of the thread that opened them; `None` if the system has no such file.
pub struct ProcStats {
    schedule: Option<File>,
    stat: Option<File>,
    machine: Option<File>,
}

impl ProcStats {
    pub fn open() -> Self {
        let open = |what| File::open(format!("/proc/{what}")).ok();
        let (schedule, stat) = (open("thread-self/schedstat"), open("thread-self/stat"));
        ProcStats { schedule, stat, machine: open("stat") }
    }

    pub fn sample(&self) -> Sample {
        let text = |file: &Option<File>| {
            let mut bytes = [0; 1024];
            let n = file.as_ref().and_then(|f| f.read_at(&mut bytes, 0).ok()).unwrap_or(0);
            String::from_utf8_lossy(&bytes[..n]).into_owned()
        };
        parse(&text(&self.schedule), &text(&self.stat), &text(&self.machine))
    }
}

/// Returns the processor time that the calling thread has used.
pub fn thread_cpu_time() -> Micros {
    let used = clock_gettime(ClockId::ThreadCPUTime);
    Micros::from(used.tv_sec) * 1_000_000 + Micros::from(used.tv_nsec) / 1_000
}

fn parse(schedule: &str, stat: &str, machine: &str) -> Sample {
    let mut ns = schedule.split_whitespace().map(|n| n.parse::<Micros>().unwrap_or(0) / 1000);
    // The name in parentheses before the fields may contain anything; major faults are the tenth field after
    // it.
    let fields = stat.rsplit_once(')').map_or("", |s| s.1);
    let major_faults = fields.split_whitespace().nth(9).and_then(|n| n.parse().ok()).unwrap_or(0);
    // The first line is the sum of all CPUs, in ticks of 10 ms; its eighth figure is the steal time.
    let stolen =
        machine.split_whitespace().nth(8).and_then(|n| n.parse::<Micros>().ok()).unwrap_or(0) * 10_000;
    Sample { ran: ns.next().unwrap_or(0), waited: ns.next().unwrap_or(0), major_faults, stolen }
}

#[cfg(test)]
mod tests;
