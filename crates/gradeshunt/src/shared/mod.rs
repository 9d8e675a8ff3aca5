//! What the processes of one proxy share while one takes over from the other: which db hosts are held out by hand, and
//! what each process does.
//!
//! Here is what is known of it, and what file work is to be done next; no file is touched here. [`files`] does the work
//! and [`worker`] is the thread that it is done on, so that the loop never waits for a disk.

pub mod files;
pub mod worker;

use std::collections::BTreeSet;

use leadmast::Micros;

use crate::config::{Config, ConfigError};
use crate::ids::CallerId;

/// Bans under way at a time; there are no more callers than this, but one that has given up makes room for the next.
const BANS: usize = 16;
/// A look that takes longer is told of.
const STANDS: Micros = 1_000_000;
/// A configuration that can't be read now is tried again after this long.
const REREAD_PAUSE: Micros = 250_000;
/// How often the same trouble is told of.
const COMPLAIN: Micros = 10_000_000;

/// What a process does; it stands as one byte in a file that the process holds locked as long as it lives, so that
/// one that was killed leaves nothing behind that could pass for it.
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

/// What there is to see in the folder.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct View {
    /// Db hosts that are held out.
    pub held_out: BTreeSet<String>,
    /// What another process does, if one lives.
    pub other: Option<Duty>,
}

/// File work to be done, in this order.
#[derive(Debug, PartialEq, Eq)]
pub enum Task {
    Look,
    Tell(Duty),
    HoldOut {
        caller: CallerId,
        id: String,
        out: bool,
    },
    /// The configuration is read anew.
    Reread,
}

/// File work done. What failed says why.
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
    /// It may pass, and is tried again.
    pub is_transient: bool,
}

/// What the rest of the program has to do about it.
pub enum Change {
    /// The folder can't be used: the program can't start.
    Unusable(String),
    /// The folder has been seen for the first time: the program may begin.
    Seen,
    /// A db host is held out, or readmitted.
    Ban {
        id: String,
        out: bool,
    },
    /// What another process does is seen, maybe no other than before.
    Other {
        anew: bool,
    },
    /// What an operator has asked for is kept, or can't be.
    Kept {
        caller: CallerId,
        out: bool,
        kept: Result<(), String>,
    },
    Reread(Result<Box<Config>, ConfigError>),
    /// A line for the log, at most every 10 s.
    Complain {
        what: &'static str,
        why: String,
    },
}

/// Work of a kind of which one at a time is enough.
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

/// What is known of the folder, and the work that is under way there.
pub struct Shared {
    view: View,
    /// Whether the folder was seen at all.
    seen: bool,
    look: Work,
    look_since: Micros,
    /// Looks asked for so far, the one that the view is from, and the first that shows what was after SIGTERM.
    looks: u64,
    seen_by: u64,
    fresh_from: Option<u64>,
    tell: Work,
    /// The last try to tell the duty has failed.
    tell_again: bool,
    duty: Duty,
    reread: Work,
    /// When the configuration is tried again that could not be read.
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

    // ---- What is known ----

    pub fn is_held_out(&self, id: &str) -> bool {
        self.view.held_out.contains(id)
    }

    /// What another process does, as far as was seen.
    pub fn other(&self) -> Option<Duty> {
        self.view.other
    }

    /// Whether this process may be alone: one that has not looked yet has to think it is not.
    pub fn is_alone(&self) -> bool {
        self.seen && self.view.other.is_none()
    }

    /// Whether another process serves, seen by a look begun after this one was told to leave.
    pub fn is_succeeded(&self) -> bool {
        self.fresh_from.is_some_and(|from| self.seen_by >= from) && self.view.other == Some(Duty::Serving)
    }

    // ---- What is wanted ----

    /// A look is due. One that has been out for long is told of. What has failed and may pass is tried again.
    pub fn look(&mut self, now: Micros) -> Option<Change> {
        if std::mem::take(&mut self.tell_again) {
            self.tell.want();
        }
        if self.reread_at.take_if(|at| *at <= now).is_some() {
            self.reread.want();
        }
        // One that is out shows what comes next soon enough.
        if !matches!(self.look, Work::Out { .. }) {
            self.look.want();
        } else if now - self.look_since > STANDS {
            return self.complain(
                now,
                "file work in $TMPDIR stands",
                format!("{} ms", (now - self.look_since) / 1000),
            );
        }
        None
    }

    /// This process does something else from now on.
    pub fn turn_to(&mut self, duty: Duty) {
        self.duty = duty;
        self.tell.want();
        if duty == Duty::Leaving && self.fresh_from.is_none() {
            self.fresh_from = Some(self.looks + 1);
            self.look.want();
        }
    }

    /// An operator holds a db host out, or readmits it; [`Change::Kept`] follows. False where too much is under way.
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

    /// The next work to be done. What other processes wait to read is written first.
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

    // ---- What has come of it ----

    /// Takes over what file work has come to.
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
                    Err(why) => self.complain(now, "cannot look at $TMPDIR", why).into_iter().collect(),
                }
            }
            Done::Told(told) => {
                self.tell.done();
                let Err(why) = told else { return Vec::new() };
                self.tell_again = true;
                self.complain(now, "cannot tell the other process", why).into_iter().collect()
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
                // What an operator has announced is owed until it was read.
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
        // After SIGTERM each look may be the one that shows a successor.
        if other || first || self.fresh_from.is_some() {
            changes.push(Change::Other { anew: other });
        }
        changes
    }

    /// Twenty times a second the same line would help nobody.
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
