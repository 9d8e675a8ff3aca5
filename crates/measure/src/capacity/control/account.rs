//! What the system tells of threads and processes: proc(5). Processor time is `sum_exec_runtime` of `schedstat`, in
//! nanoseconds; the ticks of `stat` are 10 ms and too coarse for what a change of the list costs.

use std::fs;
use std::io;
use std::time::Duration;

/// A thread's account is brought up to date when it leaves its CPU; so long after its last work it has.
pub const SETTLED: Duration = Duration::from_millis(30);

/// Processor time of a thread of this process since it started.
pub fn thread_cpu(thread_id: i32) -> io::Result<Duration> {
    ran(&format!("/proc/self/task/{thread_id}/schedstat"))
}

/// Processor time of the first thread of a process, which in the program runs the loop.
pub fn loop_cpu(process: u32) -> io::Result<Duration> {
    ran(&format!("/proc/{process}/task/{process}/schedstat"))
}

/// Processor time of all threads of a process. One that has ended is not counted; the program's end with it.
pub fn process_cpu(process: u32) -> io::Result<Duration> {
    let mut sum = Duration::ZERO;
    for task in fs::read_dir(format!("/proc/{process}/task"))? {
        sum += ran(&task?.path().join("schedstat").display().to_string())?;
    }
    Ok(sum)
}

fn ran(file: &str) -> io::Result<Duration> {
    let text = fs::read_to_string(file)?;
    let first = text.split_whitespace().next().and_then(|n| n.parse().ok());
    first.map(Duration::from_nanos).ok_or_else(|| io::Error::other(format!("{file} holds no account")))
}

/// Resident memory of a process (`self` or its number), in bytes: `VmRSS`.
pub fn resident(process: &str) -> io::Result<u64> {
    let file = format!("/proc/{process}/status");
    let text = fs::read_to_string(&file)?;
    let line = text.lines().find_map(|l| l.strip_prefix("VmRSS:"));
    let kilobytes = line.and_then(|l| l.split_whitespace().next()?.parse::<u64>().ok());
    kilobytes.map(|n| n * 1024).ok_or_else(|| io::Error::other(format!("{file} tells no VmRSS")))
}
