//! State that the processes of one proxy share while one takes over from the other: which db hosts an
//! operator holds out, and the state of each process.
//!
//! This module keeps what is known and decides which file work comes next; it does no I/O itself. [`files`]
//! does the file work and [`worker`] is the thread that runs it, so that the event loop never waits for a
//! disk.

pub mod files;
pub mod worker;

use std::collections::BTreeSet;

use leadmast::Micros;

use crate::config::{Config, ConfigError};
use crate::ids::CallerId;

/// Most hold-outs under way at a time. There are no more operators' connections than this, but one that gives
/// up frees its slot while its task is still under way.
const MAX_HOLD_OUTS: usize = 16;
/// A scan of the folder that takes longer is logged.
const SLOW_SCAN: Micros = 1_000_000;
/// Pause before a configuration that could not be read is read again.
const REREAD_PAUSE: Micros = 250_000;
/// Shortest interval between two complaints in the log.
const COMPLAINT_INTERVAL: Micros = 10_000_000;

/// State of a process. It is written as one byte to a file that the process keeps locked for as long as it
/// lives, so that the file of a killed process is not mistaken for that of a live one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ProcessState {
    Leaving,
    Starting,
    Serving,
}

impl ProcessState {
    pub fn name(self) -> &'static str {
        match self {
            ProcessState::Leaving => "leaving",
            ProcessState::Starting => "starting",
            ProcessState::Serving => "serving",
        }
    }
}

/// Contents of the folder.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct View {
    /// Db hosts that an operator holds out.
    pub held_out: BTreeSet<String>,
    /// State of the other process of this proxy, if one is alive.
    pub other_process: Option<ProcessState>,
}

/// File work to be done, in order.
#[derive(Debug, PartialEq, Eq)]
pub enum Task {
    Scan,
    Publish(ProcessState),
    HoldOut {
        caller: CallerId,
        id: String,
        out: bool,
    },
    /// Read the configuration again.
    Reread,
}

/// Completed file work. A failure carries its reason.
pub enum CompletedTask {
    Opened(Result<(), OpenFailure>),
    Scanned(Result<View, String>),
    Published(Result<(), String>),
    HeldOut { caller: CallerId, id: String, out: bool, stored: Result<(), String> },
    Reread(Result<Box<Config>, ConfigError>),
}

/// Why the folder can't be used.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OpenFailure {
    pub why: String,
    /// The failure is transient, and opening is tried again.
    pub is_transient: bool,
}

/// What the rest of the program has to react to.
pub enum Change {
    /// The folder can't be used, so the program can't start.
    Unusable(String),
    /// The folder has been read for the first time, so the program may begin.
    FirstScan,
    /// A db host has been held out or readmitted.
    HoldOut {
        id: String,
        out: bool,
    },
    /// The state of the other process has been read; `is_new` if it differs from before.
    OtherProcess {
        is_new: bool,
    },
    /// An operator's order has been stored, or could not be.
    HoldOutStored {
        caller: CallerId,
        out: bool,
        stored: Result<(), String>,
    },
    Reread(Result<Box<Config>, ConfigError>),
    /// A line for the log, at most one every 10 s.
    Warning {
        what: &'static str,
        why: String,
    },
}

/// Work of a kind of which at most one task is under way at a time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum WorkState {
    Idle,
    Wanted,
    Running { again: bool },
}

impl WorkState {
    fn request(&mut self) {
        *self = match *self {
            WorkState::Idle | WorkState::Wanted => WorkState::Wanted,
            WorkState::Running { .. } => WorkState::Running { again: true },
        };
    }

    fn start(&mut self) -> bool {
        let wanted = *self == WorkState::Wanted;
        if wanted {
            *self = WorkState::Running { again: false };
        }
        wanted
    }

    fn finish(&mut self) {
        *self =
            if *self == (WorkState::Running { again: true }) { WorkState::Wanted } else { WorkState::Idle };
    }
}

/// What is known of the folder, and the file work that is under way.
pub struct SharedState {
    view: View,
    /// Whether the folder has been read at least once.
    is_scanned: bool,
    scan: WorkState,
    scan_started: Micros,
    /// Scans started so far, the scan that `view` comes from, and the first scan that was started after
    /// SIGTERM.
    scans: u64,
    view_scan: u64,
    first_leaving_scan: Option<u64>,
    publish: WorkState,
    /// The last attempt to publish the state failed.
    publish_again: bool,
    state: ProcessState,
    reread: WorkState,
    /// When to try again to read a configuration that could not be read.
    reread_at: Option<Micros>,
    hold_outs: Vec<Task>,
    hold_outs_running: usize,
    next_complaint: Micros,
}

impl SharedState {
    pub fn new() -> Self {
        SharedState {
            view: View::default(),
            is_scanned: false,
            scan: WorkState::Wanted,
            scan_started: 0,
            scans: 0,
            view_scan: 0,
            first_leaving_scan: None,
            publish: WorkState::Idle,
            publish_again: false,
            state: ProcessState::Starting,
            reread: WorkState::Idle,
            reread_at: None,
            hold_outs: Vec::new(),
            hold_outs_running: 0,
            next_complaint: 0,
        }
    }

    // ---- Known state ----

    pub fn is_held_out(&self, id: &str) -> bool {
        self.view.held_out.contains(id)
    }

    /// State of the other process, as of the latest scan.
    pub fn other_process(&self) -> Option<ProcessState> {
        self.view.other_process
    }

    /// Whether no other process of this proxy is known. Before its first scan a process must assume that
    /// there is another.
    pub fn is_alone(&self) -> bool {
        self.is_scanned && self.view.other_process.is_none()
    }

    /// Whether another process serves, as shown by a scan that began after this process was told to leave.
    pub fn has_successor(&self) -> bool {
        self.first_leaving_scan.is_some_and(|from| self.view_scan >= from)
            && self.view.other_process == Some(ProcessState::Serving)
    }

    // ---- Requested work ----

    /// Requests a scan, and retries what failed for a transient reason. Returns a complaint if a scan has
    /// been under way for too long.
    pub fn request_scan(&mut self, now: Micros) -> Option<Change> {
        if std::mem::take(&mut self.publish_again) {
            self.publish.request();
        }
        if self.reread_at.take_if(|at| *at <= now).is_some() {
            self.reread.request();
        }
        // A scan that is already under way is recent enough.
        if !matches!(self.scan, WorkState::Running { .. }) {
            self.scan.request();
        } else if now - self.scan_started > SLOW_SCAN {
            return self.complain(
                now,
                "file work in $TMPDIR is stuck",
                format!("{} ms", (now - self.scan_started) / 1000),
            );
        }
        None
    }

    /// Changes the state of this process and has it published.
    pub fn change_state(&mut self, state: ProcessState) {
        self.state = state;
        self.publish.request();
        if state == ProcessState::Leaving && self.first_leaving_scan.is_none() {
            self.first_leaving_scan = Some(self.scans + 1);
            self.scan.request();
        }
    }

    /// Holds a db host out or readmits it for an operator; [`Change::HoldOutStored`] follows. Returns false
    /// if too much is under way.
    #[must_use]
    pub fn hold_out(&mut self, caller: CallerId, id: &str, out: bool) -> bool {
        let room = self.hold_outs.len() + self.hold_outs_running < MAX_HOLD_OUTS;
        if room {
            self.hold_outs.push(Task::HoldOut { caller, id: id.to_owned(), out });
        }
        room
    }

    pub fn reread(&mut self) {
        self.reread.request();
    }

    /// Returns the next work to do. What other processes wait for is written first.
    pub fn next_task(&mut self, now: Micros) -> Option<Task> {
        if self.publish.start() {
            return Some(Task::Publish(self.state));
        }
        if !self.hold_outs.is_empty() {
            self.hold_outs_running += 1;
            return Some(self.hold_outs.remove(0));
        }
        if self.scan.start() {
            self.scans += 1;
            self.scan_started = now;
            return Some(Task::Scan);
        }
        self.reread.start().then_some(Task::Reread)
    }

    // ---- Completed work ----

    /// Takes over the result of file work.
    pub fn complete(&mut self, now: Micros, done: CompletedTask) -> Vec<Change> {
        match done {
            CompletedTask::Opened(Ok(())) => Vec::new(),
            CompletedTask::Opened(Err(failure)) if failure.is_transient => {
                self.complain(now, "cannot use $TMPDIR yet", failure.why).into_iter().collect()
            }
            CompletedTask::Opened(Err(failure)) => {
                vec![Change::Unusable(format!("cannot use $TMPDIR: {}", failure.why))]
            }
            CompletedTask::Scanned(view) => {
                self.scan.finish();
                match view {
                    Ok(view) => self.apply_view(view),
                    Err(why) => self.complain(now, "cannot read $TMPDIR", why).into_iter().collect(),
                }
            }
            CompletedTask::Published(result) => {
                self.publish.finish();
                let Err(why) = result else { return Vec::new() };
                self.publish_again = true;
                self.complain(now, "cannot publish the state of this process", why).into_iter().collect()
            }
            CompletedTask::HeldOut { caller, id, out, stored } => {
                self.hold_outs_running = self.hold_outs_running.saturating_sub(1);
                match (&stored, out) {
                    (Err(_), _) => {}
                    (Ok(()), true) => drop(self.view.held_out.insert(id.clone())),
                    (Ok(()), false) => drop(self.view.held_out.remove(&id)),
                }
                let hold_out = stored.is_ok().then_some(Change::HoldOut { id, out });
                hold_out.into_iter().chain([Change::HoldOutStored { caller, out, stored }]).collect()
            }
            CompletedTask::Reread(config) => {
                self.reread.finish();
                // A SIGHUP counts until the configuration has been read.
                if config.as_ref().is_err_and(|e| e.is_transient) {
                    self.reread_at = Some(now + REREAD_PAUSE);
                }
                vec![Change::Reread(config)]
            }
        }
    }

    fn apply_view(&mut self, view: View) -> Vec<Change> {
        let hold_outs = view.held_out.symmetric_difference(&self.view.held_out);
        let hold_outs =
            hold_outs.map(|id| Change::HoldOut { id: id.clone(), out: view.held_out.contains(id) });
        let mut changes: Vec<_> = hold_outs.collect();
        let (changed, first) =
            (view.other_process != self.view.other_process, !std::mem::replace(&mut self.is_scanned, true));
        (self.view, self.view_scan) = (view, self.scans);
        if first {
            changes.push(Change::FirstScan);
        }
        // After SIGTERM each scan may be the first that shows a successor, even if nothing else changed.
        if changed || first || self.first_leaving_scan.is_some() {
            changes.push(Change::OtherProcess { is_new: changed });
        }
        changes
    }

    /// Limits the rate: scans come 20 times a second, and a failing one would fill the log.
    fn complain(&mut self, now: Micros, what: &'static str, why: String) -> Option<Change> {
        let due = now >= self.next_complaint;
        if due {
            self.next_complaint = now + COMPLAINT_INTERVAL;
        }
        due.then_some(Change::Warning { what, why })
    }
}

#[cfg(test)]
mod tests;
