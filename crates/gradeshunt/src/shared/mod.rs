//! State that the processes of one proxy share while one takes over from the other: which db hosts an
//! operator holds out, and the state of each process.
//! | This module keeps what is known and decides which file work comes next; it does no I/O itself. [`files`]
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
const BANS: usize = 16;
/// A look at the folder that takes longer is logged.
const STANDS: Micros = 1_000_000;
/// Pause before a configuration that could not be read is read again.
const REREAD_PAUSE: Micros = 250_000;
/// Shortest interval between two complaints in the log.
const COMPLAIN: Micros = 10_000_000;

/// State of a process. It is written as one byte to a file that the process keeps locked for as long as it
/// lives, so that the file of a killed process is not mistaken for that of a live one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Duty {
    Leaving,
    Starting,
    Serving,
}

impl Duty {
    pub fn name(self) -> &'static str {
        match self {
            Duty::Leaving => "leaving",
            Duty::Starting => "starting",
            Duty::Serving => "serving",
        }
    }
}

/// Contents of the folder.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct View {
    /// Db hosts that an operator holds out.
    pub held_out: BTreeSet<String>,
    /// State of the other process of this proxy, if one is alive.
    pub other: Option<Duty>,
}

/// File work to be done, in order.
#[derive(Debug, PartialEq, Eq)]
pub enum Task {
    Look,
    Tell(Duty),
    HoldOut {
        caller: CallerId,
        id: String,
        out: bool,
    },
    /// Read the configuration again.
    Reread,
}

/// Completed file work. A failure carries its reason.
pub enum Done {
    Opened(Result<(), OpenFailure>),
    Looked(Result<View, String>),
    Told(Result<(), String>),
    HeldOut { caller: CallerId, id: String, out: bool, kept: Result<(), String> },
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
    Seen,
    /// A db host has been held out or readmitted.
    Ban {
        id: String,
        out: bool,
    },
    /// The state of the other process has been read; `anew` if it differs from before.
    Other {
        anew: bool,
    },
    /// An operator's order has been stored, or could not be.
    Kept {
        caller: CallerId,
        out: bool,
        kept: Result<(), String>,
    },
    Reread(Result<Box<Config>, ConfigError>),
    /// A line for the log, at most one every 10 s.
    Complain {
        what: &'static str,
        why: String,
    },
}

/// Work of a kind of which at most one task is under way at a time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Work {
    Idle,
    Wanted,
    Out { again: bool },
}

impl Work {
    fn want(&mut self) {
        *self = match *self {
            Work::Idle | Work::Wanted => Work::Wanted,
            Work::Out { .. } => Work::Out { again: true },
        };
    }

    fn take(&mut self) -> bool {
        let wanted = *self == Work::Wanted;
        if wanted {
            *self = Work::Out { again: false };
        }
        wanted
    }

    fn done(&mut self) {
        *self = if *self == (Work::Out { again: true }) { Work::Wanted } else { Work::Idle };
    }
}

/// What is known of the folder, and the file work that is under way.
pub struct Shared {
    view: View,
    /// Whether the folder has been read at least once.
    seen: bool,
    look: Work,
    look_since: Micros,
    /// Looks started so far, the look that `view` comes from, and the first look that was started after
    /// SIGTERM.
    looks: u64,
    seen_by: u64,
    fresh_from: Option<u64>,
    tell: Work,
    /// The last attempt to publish the state failed.
    tell_again: bool,
    duty: Duty,
    reread: Work,
    /// When to try again to read a configuration that could not be read.
    reread_at: Option<Micros>,
    bans: Vec<Task>,
    bans_out: usize,
    complain_at: Micros,
}

impl Shared {
    pub fn new() -> Self {
        Shared {
            view: View::default(),
            seen: false,
            look: Work::Wanted,
            look_since: 0,
            looks: 0,
            seen_by: 0,
            fresh_from: None,
            tell: Work::Idle,
            tell_again: false,
            duty: Duty::Starting,
            reread: Work::Idle,
            reread_at: None,
            bans: Vec::new(),
            bans_out: 0,
            complain_at: 0,
        }
    }

    // ---- Known state ----

    pub fn is_held_out(&self, id: &str) -> bool {
        self.view.held_out.contains(id)
    }

    /// State of the other process, as of the latest look.
    pub fn other(&self) -> Option<Duty> {
        self.view.other
    }

    /// Whether no other process of this proxy is known. A process that has not looked yet must assume that
    /// there is another.
    pub fn is_alone(&self) -> bool {
        self.seen && self.view.other.is_none()
    }

    /// Whether another process serves, as shown by a look that began after this process was told to leave.
    pub fn is_succeeded(&self) -> bool {
        self.fresh_from.is_some_and(|from| self.seen_by >= from) && self.view.other == Some(Duty::Serving)
    }

    // ---- Requested work ----

    /// Requests a look, and retries what failed for a transient reason. Returns a complaint if a look has
    /// been under way for too long.
    pub fn look(&mut self, now: Micros) -> Option<Change> {
        if std::mem::take(&mut self.tell_again) {
            self.tell.want();
        }
        if self.reread_at.take_if(|at| *at <= now).is_some() {
            self.reread.want();
        }
        // A look that is already under way is recent enough.
        if !matches!(self.look, Work::Out { .. }) {
            self.look.want();
        } else if now - self.look_since > STANDS {
            return self.complain(
                now,
                "file work in $TMPDIR is stuck",
                format!("{} ms", (now - self.look_since) / 1000),
            );
        }
        None
    }

    /// Changes the state of this process and has it published.
    pub fn turn_to(&mut self, duty: Duty) {
        self.duty = duty;
        self.tell.want();
        if duty == Duty::Leaving && self.fresh_from.is_none() {
            self.fresh_from = Some(self.looks + 1);
            self.look.want();
        }
    }

    /// Holds a db host out or readmits it for an operator; [`Change::Kept`] follows. Returns false if too
    /// much is under way.
    #[must_use]
    pub fn hold_out(&mut self, caller: CallerId, id: &str, out: bool) -> bool {
        let room = self.bans.len() + self.bans_out < BANS;
        if room {
            self.bans.push(Task::HoldOut { caller, id: id.to_owned(), out });
        }
        room
    }

    pub fn reread(&mut self) {
        self.reread.want();
    }

    /// Returns the next work to do. What other processes wait for is written first.
    pub fn next(&mut self, now: Micros) -> Option<Task> {
        if self.tell.take() {
            return Some(Task::Tell(self.duty));
        }
        if !self.bans.is_empty() {
            self.bans_out += 1;
            return Some(self.bans.remove(0));
        }
        if self.look.take() {
            self.looks += 1;
            self.look_since = now;
            return Some(Task::Look);
        }
        self.reread.take().then_some(Task::Reread)
    }

    // ---- Completed work ----

    /// Takes over the result of file work.
    pub fn done(&mut self, now: Micros, done: Done) -> Vec<Change> {
        match done {
            Done::Opened(Ok(())) => Vec::new(),
            Done::Opened(Err(failure)) if failure.is_transient => {
                self.complain(now, "cannot use $TMPDIR yet", failure.why).into_iter().collect()
            }
            Done::Opened(Err(failure)) => {
                vec![Change::Unusable(format!("cannot use $TMPDIR: {}", failure.why))]
            }
            Done::Looked(view) => {
                self.look.done();
                match view {
                    Ok(view) => self.saw(view),
                    Err(why) => self.complain(now, "cannot read $TMPDIR", why).into_iter().collect(),
                }
            }
            Done::Told(told) => {
                self.tell.done();
                let Err(why) = told else { return Vec::new() };
                self.tell_again = true;
                self.complain(now, "cannot publish the state of this process", why).into_iter().collect()
            }
            Done::HeldOut { caller, id, out, kept } => {
                self.bans_out = self.bans_out.saturating_sub(1);
                match (&kept, out) {
                    (Err(_), _) => {}
                    (Ok(()), true) => drop(self.view.held_out.insert(id.clone())),
                    (Ok(()), false) => drop(self.view.held_out.remove(&id)),
                }
                let ban = kept.is_ok().then_some(Change::Ban { id, out });
                ban.into_iter().chain([Change::Kept { caller, out, kept }]).collect()
            }
            Done::Reread(config) => {
                self.reread.done();
                // A SIGHUP counts until the configuration has been read.
                if config.as_ref().is_err_and(|e| e.is_transient) {
                    self.reread_at = Some(now + REREAD_PAUSE);
                }
                vec![Change::Reread(config)]
            }
        }
    }

    fn saw(&mut self, view: View) -> Vec<Change> {
        let bans = view.held_out.symmetric_difference(&self.view.held_out);
        let bans = bans.map(|id| Change::Ban { id: id.clone(), out: view.held_out.contains(id) });
        let mut changes: Vec<_> = bans.collect();
        let (other, first) = (view.other != self.view.other, !std::mem::replace(&mut self.seen, true));
        (self.view, self.seen_by) = (view, self.looks);
        if first {
            changes.push(Change::Seen);
        }
        // After SIGTERM each look may be the first that shows a successor, even if nothing else changed.
        if other || first || self.fresh_from.is_some() {
            changes.push(Change::Other { anew: other });
        }
        changes
    }

    /// Limits the rate: looks come 20 times a second, and a failing one would fill the log.
    fn complain(&mut self, now: Micros, what: &'static str, why: String) -> Option<Change> {
        let due = now >= self.complain_at;
        if due {
            self.complain_at = now + COMPLAIN;
        }
        due.then_some(Change::Complain { what, why })
    }
}

#[cfg(test)]
mod tests;
