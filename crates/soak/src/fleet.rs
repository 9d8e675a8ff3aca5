//! The processes of a play: started, reloaded, terminated, killed and held up, with a fault control each.

use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use gradeshunt_stand_ins::program::{Platform, Process};
use gradeshunt_stand_ins::standalone::own_address;
use rustix::process::{kill_process, Pid, Signal};

use crate::ledger::{Ledger, Rule};
use crate::lock;
use crate::shim::{FaultControl, Knob, Shim};
use crate::site::{Site, MEMORY_MB};

/// New connections come for this long after SIGTERM.
const CONNECTS_AFTER_TERM: Duration = Duration::from_millis(300);
/// SIGKILL comes the longest deadline and so much more after SIGTERM.
const KILL_AFTER: Duration = Duration::from_millis(700);
/// A process is told to end in a series of signals, as by an operator who is not sure that the first one came.
const SIGNALS_AT_THE_END: [&str; 4] = ["TERM", "HUP", "TERM", "HUP"];
/// A process has to be ready this long after its start.
const READY_WITHIN: Duration = Duration::from_secs(10);
/// One that has not ended by then is waited for so long more, to tell of it; it is late all the same.
const ENDS_LATER: Duration = Duration::from_millis(1_000);
/// So long after further clients have gone, a client that has rested meanwhile may find its connection closed.
const CROWD_LASTS: Duration = Duration::from_secs(3);
/// Pace of the looks at a process that starts.
const LOOK: Duration = Duration::from_millis(5);

/// Whether clients may connect to a process.
#[derive(Clone, Copy, Debug, Default)]
pub struct Availability {
    /// Counts its starts.
    pub epoch: u64,
    pub open: bool,
    /// Told to end then.
    terminated: Option<Instant>,
    /// Starts up to this one were killed: what they had is nobody's fault.
    pub killed: u64,
}

impl Availability {
    /// Whether the process of a start was told to end, or has ended.
    pub fn has_left(&self, epoch: u64) -> bool {
        self.epoch != epoch || !self.open || self.terminated.is_some()
    }

    /// Whether a client may connect now.
    pub fn admits(&self) -> bool {
        self.open && self.terminated.is_none_or(|at| at.elapsed() < CONNECTS_AFTER_TERM)
    }
}

/// Further clients that come to a proxy.
#[derive(Default)]
struct Crowds {
    under_way: usize,
    last_ended: Option<Instant>,
}

/// One proxy of the fleet, whichever process plays it.
pub struct Proxy {
    pub number: usize,
    pub addr: SocketAddr,
    pub faults: FaultControl,
    platform: Platform,
    process: Mutex<Option<Process>>,
    /// Its number; 0 where none runs.
    pid: AtomicU32,
    /// Held while the process is ended and another one started.
    lifecycle: Mutex<()>,
    availability: Mutex<Availability>,
    longest_wait: Duration,
    crowds: Mutex<Crowds>,
    ledger: Arc<Ledger>,
}

impl Proxy {
    /// A proxy that has yet to be started. `program` is its file, `folder` one of its own.
    ///
    /// # Errors
    /// Those of files.
    pub fn new(
        number: usize,
        program: &Path,
        folder: &Path,
        shim: &Shim,
        environment: &[(String, String)],
        longest_wait: Duration,
        ledger: &Arc<Ledger>,
    ) -> io::Result<Proxy> {
        let mut platform = Platform::new(program, folder, false)?;
        let faults = FaultControl::create(shim, &folder.join("faults"))?;
        platform.environment = faults.environment();
        platform.environment.extend(environment.iter().cloned());
        platform.control = Some(own_address().to_string());
        Ok(Proxy {
            number,
            addr: own_address(),
            faults,
            platform,
            process: Mutex::new(None),
            pid: AtomicU32::new(0),
            lifecycle: Mutex::new(()),
            availability: Mutex::default(),
            longest_wait,
            crowds: Mutex::default(),
            ledger: Arc::clone(ledger),
        })
    }

    pub fn availability(&self) -> Availability {
        *lock(&self.availability)
    }

    /// Further clients come.
    pub fn crowd_begins(&self) {
        lock(&self.crowds).under_way += 1;
    }

    /// Those that came have gone.
    pub fn crowd_ended(&self) {
        let mut crowds = lock(&self.crowds);
        crowds.under_way -= 1;
        crowds.last_ended = Some(Instant::now());
    }

    /// Whether further clients leave no room for those that rest, or did a moment ago.
    pub fn is_crowded(&self) -> bool {
        let crowds = lock(&self.crowds);
        crowds.under_way > 0 || crowds.last_ended.is_some_and(|at| at.elapsed() < CROWD_LASTS)
    }

    /// How long ago the last further clients had gone, and why the process has closed clients.
    pub fn crowd_text(&self) -> String {
        let ago = lock(&self.crowds).last_ended.map(|at| at.elapsed());
        let held = lock(&self.process);
        let metrics = held.as_ref().and_then(|process| process.call("GET", "/status/metrics").ok());
        let closes = metrics.map(|(_, text)| {
            let lines = text.lines().filter(|line| line.starts_with("app_client_closes{"));
            lines.collect::<Vec<_>>().join(", ")
        });
        format!("last crowd ended {ago:?} ago, closes: {closes:?}")
    }

    /// Sees whether the process holds more memory than it may.
    pub fn judge_memory(&self) {
        let held = lock(&self.process);
        let Some(bytes) = held.as_ref().and_then(|process| process.memory().ok()) else { return };
        if bytes > u64::from(MEMORY_MB) << 20 {
            let text = format!("proxy {} holds {} kB of {MEMORY_MB} MB", self.number, bytes / 1024);
            self.ledger.fault(Rule::Memory, text);
        }
    }

    /// Writes the configuration that the next start and the next reload read.
    ///
    /// # Errors
    /// Those of the file.
    pub fn configure(&self, site: &Site, fleet: usize, discovery: usize) -> io::Result<()> {
        self.platform.configure(&site.config(self.number, fleet, self.addr, discovery))
    }

    /// Ends the process, and starts another one.
    ///
    /// # Errors
    /// Those of `end`, and where no process can be started at all.
    pub fn restart(&self, end: impl FnOnce(&Proxy) -> io::Result<()>) -> io::Result<()> {
        let _lifecycle = lock(&self.lifecycle);
        end(self)?;
        self.start()
    }

    /// Sees whether the process has ended by itself, which is a fault, and starts another one then.
    ///
    /// # Errors
    /// As [`Proxy::restart`].
    pub fn keep_alive(&self) -> io::Result<()> {
        let _lifecycle = lock(&self.lifecycle);
        if self.judge_life()? {
            Ok(())
        } else {
            self.start()
        }
    }

    /// Starts a process, and lets clients in once it is ready.
    ///
    /// # Errors
    /// Where it can't be started at all.
    pub fn start(&self) -> io::Result<()> {
        let began = Instant::now();
        self.ledger.starts(self.number);
        let mut process = self.platform.spawn()?;
        while process.call("GET", "/status").map_or(0, |answer| answer.0) != 200 {
            if began.elapsed() > READY_WITHIN || process.exits(LOOK)?.is_some() {
                self.ledger.fault(
                    Rule::Process,
                    format!("proxy {} was not ready: {}", self.number, process.logged().join("\n")),
                );
                return Ok(());
            }
        }
        self.pid.store(process.id(), Ordering::Relaxed);
        *lock(&self.process) = Some(process);
        let mut availability = lock(&self.availability);
        (availability.epoch, availability.open, availability.terminated) =
            (availability.epoch + 1, true, None);
        Ok(())
    }

    /// Sends a signal to the process, if one runs, also while it is waited for.
    pub fn signal(&self, signal: Signal) {
        let pid = i32::try_from(self.pid.load(Ordering::Relaxed)).ok().and_then(Pid::from_raw);
        if let Some(pid) = pid {
            let _ = kill_process(pid, signal);
        }
    }

    /// Tells the process to end, waits for that, and judges how it ended.
    ///
    /// # Errors
    /// Those of the wait.
    pub fn terminate(&self) -> io::Result<()> {
        self.judge_own_counts();
        let Some(mut process) = lock(&self.process).take() else { return Ok(()) };
        lock(&self.availability).terminated = Some(Instant::now());
        for signal in SIGNALS_AT_THE_END {
            process.signal(signal)?;
        }
        let ended = process.exits_or_stands(self.longest_wait + KILL_AFTER)?;
        self.pid.store(0, Ordering::Relaxed);
        lock(&self.availability).open = false;
        match ended {
            Ok(status) if status.success() => {}
            Ok(status) => self.ledger.fault(
                Rule::Process,
                format!("proxy {} ended with {status}: {}", self.number, tail(&mut process)),
            ),
            Err(overdue) => {
                lock(&self.availability).killed = self.availability().epoch;
                let later = ends_later(&mut process, overdue.looked_late)?;
                let text = format!("proxy {} did not end in time, {overdue}; {later}", self.number);
                self.ledger.fault(Rule::Process, format!("{text}: {}", tail(&mut process)));
            }
        }
        Ok(())
    }

    /// Kills the process.
    pub fn kill(&self) {
        let process = lock(&self.process).take();
        let mut availability = lock(&self.availability);
        (availability.open, availability.killed) = (false, availability.epoch);
        drop(availability);
        self.pid.store(0, Ordering::Relaxed);
        drop(process);
    }

    /// Whether the process lives, or has none to.
    fn judge_life(&self) -> io::Result<bool> {
        let mut held = lock(&self.process);
        let Some(process) = held.as_mut() else { return Ok(true) };
        let Some(status) = process.exits(LOOK)? else { return Ok(true) };
        let text = format!("proxy {} ended by itself with {status}: {}", self.number, tail(process));
        self.ledger.fault(Rule::Process, text);
        *held = None;
        self.pid.store(0, Ordering::Relaxed);
        drop(held);
        let mut availability = lock(&self.availability);
        (availability.open, availability.killed) = (false, availability.epoch);
        Ok(false)
    }

    /// The last lines that the process has logged.
    pub fn log_tail(&self) -> String {
        lock(&self.process).as_mut().map(tail).unwrap_or_default()
    }

    /// The violations that the process has counted itself.
    pub fn judge_own_counts(&self) {
        let held = lock(&self.process);
        let Some(process) = &*held else { return };
        let Ok((200, text)) = process.call("GET", "/status/metrics") else { return };
        for line in text.lines().filter(|line| line.starts_with("app_violations{")) {
            if !line.ends_with(" 0") {
                self.ledger.fault(Rule::OwnCount, format!("proxy {}: {line}", self.number));
            }
        }
    }

    /// Ends all faults of its system calls.
    ///
    /// # Errors
    /// Those of the control file.
    pub fn heal(&self, knobs: &[Knob]) -> io::Result<()> {
        knobs.iter().try_for_each(|knob| self.faults.set(*knob, 0))
    }
}

/// Tells how long after its time a process ended that was looked at so late.
fn ends_later(process: &mut Process, looked_late: Duration) -> io::Result<String> {
    let looked = Instant::now();
    Ok(match process.exits(ENDS_LATER)? {
        Some(status) => {
            format!("ended {} ms late with {status}", (looked_late + looked.elapsed()).as_millis())
        }
        None => format!("had not ended {} ms later", ENDS_LATER.as_millis()),
    })
}

/// The last lines of a process's log.
fn tail(process: &mut Process) -> String {
    let lines = process.logged();
    lines[lines.len().saturating_sub(6)..].join("\n")
}
