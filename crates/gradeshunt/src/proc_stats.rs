//! Statistics of this thread and its machine from the system: proc(5), `/proc/thread-self/schedstat`, `/proc/thread-self/stat`
//! and `/proc/stat`. These are no files of a disk, and reading them waits for nothing.

use std::fs::File;
use std::os::unix::fs::FileExt;

use leadmast::Micros;

/// What a thread has used since it started.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Sample {
    /// On a CPU.
    pub ran: Micros,
    /// Runnable, without a CPU.
    pub waited: Micros,
    /// Page faults that had to be read from a disk.
    pub major_faults: u64,
    /// Taken from all CPUs of this machine by the one that it runs on, where it is a virtual one: nothing of this
    /// machine runs meanwhile, and no figure of its own shows it.
    pub stolen: Micros,
}

impl Sample {
    /// What has been added since an earlier sample.
    pub fn since(self, earlier: Sample) -> Sample {
        Sample {
            ran: self.ran - earlier.ran,
            waited: self.waited - earlier.waited,
            major_faults: self.major_faults.saturating_sub(earlier.major_faults),
            stolen: self.stolen - earlier.stolen,
        }
    }
}

/// The open files with the statistics of the thread that opened them; `None` where the system has no such file.
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

fn parse(schedule: &str, stat: &str, machine: &str) -> Sample {
    let mut ns = schedule.split_whitespace().map(|n| n.parse::<Micros>().unwrap_or(0) / 1000);
    // The name before it, in brackets, may hold anything; major faults are the tenth field behind that.
    let fields = stat.rsplit_once(')').map_or("", |s| s.1);
    let major_faults = fields.split_whitespace().nth(9).and_then(|n| n.parse().ok()).unwrap_or(0);
    // The first line is of all CPUs together, in ticks of 10 ms; the eighth figure is what was stolen.
    let stolen =
        machine.split_whitespace().nth(8).and_then(|n| n.parse::<Micros>().ok()).unwrap_or(0) * 10_000;
    Sample { ran: ns.next().unwrap_or(0), waited: ns.next().unwrap_or(0), major_faults, stolen }
}

#[cfg(test)]
mod tests;
