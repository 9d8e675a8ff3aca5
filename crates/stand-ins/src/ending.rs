//! Whether a process ended before its time was over.
//!
//! Both wake one poll, and the system keeps what wakes a poll in the order in which it came. So a thread that looks late, on a
//! machine that gives it no processor, still learns which came first: an end in time is found, and one behind its time isn't
//! taken for one in time, however late the look.

use std::fmt::{self, Display};
use std::io;
use std::os::fd::OwnedFd;
use std::time::{Duration, Instant};

use rustix::event::epoll::{self, CreateFlags, Event, EventData, EventFlags};
use rustix::io::retry_on_intr;
use rustix::process::{pidfd_open, Pid, PidfdFlags};
use rustix::time::{
    timerfd_create, timerfd_settime, Itimerspec, TimerfdClockId, TimerfdFlags, TimerfdTimerFlags, Timespec,
};

const ENDED: u64 = 1;
const OVER: u64 = 2;
/// A timer that is set to nothing never fires.
const SHORTEST: Duration = Duration::from_nanos(1);

/// The end of a process, against its time.
pub(crate) struct Ending {
    poll: OwnedFd,
    /// Held for the poll, which forgets what is closed.
    _process: OwnedFd,
    _time: OwnedFd,
}

impl Ending {
    /// Of a process that nobody has waited for yet, which has so long from now on.
    pub(crate) fn within(process: Pid, time: Duration) -> io::Result<Ending> {
        let timer = timerfd_create(TimerfdClockId::Monotonic, TimerfdFlags::CLOEXEC)?;
        let value = Timespec::try_from(time.max(SHORTEST)).map_err(|_| io::ErrorKind::InvalidInput)?;
        let once = Itimerspec { it_interval: Timespec::default(), it_value: value };
        timerfd_settime(&timer, TimerfdTimerFlags::empty(), &once)?;
        Ending::before(process, timer)
    }

    /// Of a process whose time is over when this descriptor can be read.
    pub(crate) fn before(process: Pid, time: OwnedFd) -> io::Result<Ending> {
        let process = pidfd_open(process, PidfdFlags::empty())?;
        let poll = epoll::create(CreateFlags::CLOEXEC)?;
        // The process comes first, so that one that has ended by now has ended in time.
        epoll::add(&poll, &process, EventData::new_u64(ENDED), EventFlags::IN)?;
        epoll::add(&poll, &time, EventData::new_u64(OVER), EventFlags::IN)?;
        Ok(Ending { poll, _process: process, _time: time })
    }

    /// Waits for what comes first; whether that was the end.
    pub(crate) fn is_in_time(&self) -> io::Result<bool> {
        let mut first = [Event { flags: EventFlags::empty(), data: EventData::new_u64(OVER) }];
        retry_on_intr(|| epoll::wait(&self.poll, &mut first, None))?;
        Ok(first[0].data.u64() == ENDED)
    }
}

/// A process that has not ended in its time.
#[derive(Clone, Debug)]
pub struct Overdue {
    /// How long after its time the process was looked at.
    pub looked_late: Duration,
    /// Where its threads stood then.
    pub threads: Vec<String>,
}

impl Overdue {
    /// Of a process whose time was over then.
    pub(crate) fn since(over: Instant, process: u32) -> Overdue {
        Overdue { looked_late: over.elapsed(), threads: threads(process) }
    }
}

impl Display for Overdue {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "looked at {} ms late: {}", self.looked_late.as_millis(), self.threads.join("; "))
    }
}

/// Where the threads of a process stand, as proc(5) has it: the state, what it waits for in the kernel, and how long it has run
/// and waited for a processor. One that ends meanwhile is left out.
fn threads(process: u32) -> Vec<String> {
    let Ok(threads) = std::fs::read_dir(format!("/proc/{process}/task")) else { return Vec::new() };
    threads.flatten().filter_map(|thread| standing(&thread.path())).collect()
}

fn standing(thread: &std::path::Path) -> Option<String> {
    let read = |name: &str| std::fs::read_to_string(thread.join(name)).ok();
    let stat = read("stat")?;
    // The name may hold any bytes; the state comes behind its last parenthesis.
    let (name, rest) = stat.rsplit_once(") ")?;
    let (name, state) = (name.split_once('(')?.1, rest.chars().next()?);
    let waits_for = read("wchan").unwrap_or_default();
    let times = read("schedstat").unwrap_or_default();
    let mut ms = times.split(' ').map(|field| field.parse::<u64>().unwrap_or_default() / 1_000_000);
    let (ran, waited) = (ms.next().unwrap_or_default(), ms.next().unwrap_or_default());
    Some(format!("{name} {state} in {waits_for}, ran {ran} ms, waited {waited} ms for a processor"))
}

#[cfg(test)]
mod tests;
