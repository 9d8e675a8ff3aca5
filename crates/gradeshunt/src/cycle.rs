//! The event loop: waits until a source is ready or a deadline expires, and has the parts of the proxy
//! process it.

use std::os::fd::{AsFd, BorrowedFd};
use std::time::Duration;

use calloop::EventLoop;
use slog::info;

use crate::control_core::Core;
use crate::deadlines::Due;
use crate::transient::retry_while_transient;
use crate::turn::{Ready, Source};

/// The handlers of ready sources and expired deadlines.
pub trait Parts {
    /// The control part, which has the deadlines.
    fn core(&mut self) -> &mut Core;

    /// Processes a source that has become ready.
    fn event(&mut self, source: Source);

    /// Processes an expired deadline.
    fn due(&mut self, due: Due);
}

/// The event loop of a proxy.
pub struct Cycle {
    event_loop: EventLoop<'static, Ready>,
    ready: Ready,
}

impl Cycle {
    /// Opens the poll.
    ///
    /// # Errors
    ///
    /// If the system can't create one.
    pub fn open() -> Result<Cycle, String> {
        let event_loop =
            retry_while_transient(|| Ok(EventLoop::try_new()?)).map_err(|e| format!("cannot poll: {e}"))?;
        Ok(Cycle { event_loop, ready: Ready::new() })
    }

    /// The poll, to which the parts add their sources.
    pub fn event_loop(&self) -> &EventLoop<'static, Ready> {
        &self.event_loop
    }

    /// Returns how long a turn may wait for sources: zero if work is left, `None` if there is no deadline.
    pub fn wait(core: &Core) -> Option<Duration> {
        let until = core.turn.deadlines.next();
        let wait = until.map(|at| (at - core.turn.clock.now()).max(0));
        let wait = if core.turn.again.is_empty() { wait } else { Some(0) };
        wait.map(|t| Duration::from_micros(t as u64))
    }

    /// Runs one turn: waits up to `wait` for sources, then processes all that are ready and all expired
    /// deadlines.
    ///
    /// # Errors
    ///
    /// If polling fails.
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

    /// Sets the clocks for a new turn and returns the sources to process.
    fn begin(&mut self, core: &mut Core, until: Option<leadmast::Micros>) -> Vec<Source> {
        if core.turn.clock.observe() {
            info!(core.turn.log, "the wall clock was stepped"; "ms" => core.turn.clock.candidate_step() / 1000);
        }
        core.turn.now = core.turn.clock.now();
        core.loop_stats.begin(core.turn.now, until);
        core.turn.unread = core.loop_stats.unread();
        let again = std::mem::take(&mut core.turn.again);
        again.into_iter().chain(self.ready.drain(..)).collect()
    }
}

impl AsFd for Cycle {
    /// The poll's own descriptor, which is readable when a source is ready.
    fn as_fd(&self) -> BorrowedFd<'_> {
        self.event_loop.as_fd()
    }
}

/// Returns the position of a source in the order of a turn, 0 first. Operators' calls come first because they
/// are few and must be answered under any load. Discovery comes next, so that no request goes to a db host
/// that starts to drain in the same turn. Clients come before db hosts, so that the request of a client that
/// has disconnected is not written to a db host connection that is established in the same turn.
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

/// Records that a source or deadline of this kind is processed, and advances the turn's time. Without this,
/// requests at the end of a long turn would send their db hosts a remaining wait that includes time the turn
/// has already used. Whatever is processed next has been waiting since before the turn, so `unread` grows by
/// the same amount.
fn worked(core: &mut Core, name: &'static str) {
    let now = core.turn.clock.now();
    core.loop_stats.worked(name, now);
    core.turn.unread += now - core.turn.now;
    core.turn.now = now;
}

#[cfg(test)]
mod tests;
