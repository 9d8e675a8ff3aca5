//! The loop: waits until a source is ready or a deadline falls due, and has the proxy's parts work it off.

use std::os::fd::{AsFd, BorrowedFd};
use std::time::Duration;

use calloop::EventLoop;
use slog::info;

use crate::control_core::Core;
use crate::deadlines::Due;
use crate::transient::retry_while_transient;
use crate::turn::{Ready, Source};

/// Those who work off what a turn of the loop brings.
pub trait Parts {
    /// The control part, which holds the deadlines.
    fn core(&mut self) -> &mut Core;

    /// Works off a source that has become ready.
    fn event(&mut self, source: Source);

    /// Works off a deadline that has fallen due.
    fn due(&mut self, due: Due);
}

/// The loop of one proxy.
pub struct Cycle {
    event_loop: EventLoop<'static, Ready>,
    ready: Ready,
}

impl Cycle {
    /// Opens a poll.
    ///
    /// # Errors
    ///
    /// Where the system gives none.
    pub fn open() -> Result<Cycle, String> {
        let event_loop =
            retry_while_transient(|| Ok(EventLoop::try_new()?)).map_err(|e| format!("cannot poll: {e}"))?;
        Ok(Cycle { event_loop, ready: Ready::new() })
    }

    /// The poll, for those who add sources to it.
    pub fn event_loop(&self) -> &EventLoop<'static, Ready> {
        &self.event_loop
    }

    /// How long a turn may wait for sources before something is due: zero where there is work left, nothing where there
    /// is no deadline.
    pub fn wait(core: &Core) -> Option<Duration> {
        let until = core.turn.deadlines.next();
        let wait = until.map(|at| (at - core.turn.clock.now()).max(0));
        let wait = if core.turn.again.is_empty() { wait } else { Some(0) };
        wait.map(|t| Duration::from_micros(t as u64))
    }

    /// One turn: waits for sources, so long at most, then works off all that is ready and due.
    ///
    /// # Errors
    ///
    /// Where the system can't poll.
    pub fn turn(&mut self, parts: &mut impl Parts, wait: Option<Duration>) -> Result<(), String> {
        let until = parts.core().turn.deadlines.next();
        self.event_loop.dispatch(wait, &mut self.ready).map_err(|e| format!("cannot poll: {e}"))?;
        let mut sources = self.begin(parts.core(), until);
        sources.sort_by_key(|source| rank(*source));
        for source in sources {
            parts.event(source);
            worked(parts.core(), source.name());
        }
        loop {
            let turn = &mut parts.core().turn;
            let Some(due) = turn.deadlines.pop(turn.now) else { break };
            parts.due(due);
            worked(parts.core(), due.name());
        }
        let core = parts.core();
        core.loop_stats.end(&core.turn.log);
        Ok(())
    }

    /// The turn begins; gives what is to be worked off.
    fn begin(&mut self, core: &mut Core, until: Option<leadmast::Micros>) -> Vec<Source> {
        if core.turn.clock.observe() {
            info!(core.turn.log, "the wall clock was stepped"; "ms" => core.turn.clock.candidate_step() / 1000);
        }
        core.turn.now = core.turn.clock.now();
        core.loop_stats.begin(core.turn.now, until);
        core.turn.unread = core.loop_stats.time_unread();
        let again = std::mem::take(&mut core.turn.again);
        again.into_iter().chain(self.ready.drain(..)).collect()
    }
}

impl AsFd for Cycle {
    /// The poll's own descriptor, which is ready for reading when a source is.
    fn as_fd(&self) -> BorrowedFd<'_> {
        self.event_loop.as_fd()
    }
}

/// The order in which sources of one turn are worked off, 0 first. Operators' calls are few and owed an answer whatever the
/// load. Discovery comes next: what is sent in this turn may not go to a db host of which the turn has brought that it drains.
/// Clients come before db hosts: of a client that has left in the turn in which a connection came up for its request, nothing
/// may be sent on.
fn rank(source: Source) -> u8 {
    match source {
        Source::Control | Source::Caller(_) => 0,
        Source::Call(_) => 1,
        Source::Session(_) => 2,
        Source::Listener
        | Source::PeerListener
        | Source::Server(_)
        | Source::Terminate
        | Source::Reload
        | Source::Files => 3,
    }
}

/// A source or a deadline of this name is worked off. What comes next in the turn has its own time, but was there as long before:
/// with the time of the turn's beginning, requests at its end would tell their db hosts what it has taken as time left.
fn worked(core: &mut Core, name: &'static str) {
    let now = core.turn.clock.now();
    core.loop_stats.record_source(name, now);
    core.turn.unread += now - core.turn.now;
    core.turn.now = now;
}

#[cfg(test)]
mod tests;
