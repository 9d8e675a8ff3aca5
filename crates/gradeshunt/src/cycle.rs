//! The event loop: waits until a source is ready or a deadline expires, and has the parts of the proxy
//! process it.

use std::os::fd::{AsFd, BorrowedFd};
use std::time::Duration;

use calloop::EventLoop;
use leadmast::Micros;
use slog::info;

use crate::control_core::Core;
use crate::deadlines::DeadlineKind;
use crate::transient::retry_while_transient;
use crate::turn::{EventSource, ReadySources};
use crate::work_times::WorkTimes;

/// The handlers of ready sources and expired deadlines.
pub trait Handlers {
    /// The control part, which has the deadlines.
    fn core(&mut self) -> &mut Core;

    /// Processes a source that has become ready.
    fn on_event(&mut self, source: EventSource);

    /// Processes an expired deadline.
    fn on_deadline(&mut self, due: DeadlineKind);
}

/// The event loop of a proxy.
pub struct ProxyLoop {
    event_loop: EventLoop<'static, ReadySources>,
    ready: ReadySources,
}

impl ProxyLoop {
    /// Opens the poll.
    ///
    /// # Errors
    ///
    /// If the system can't create one.
    pub fn open() -> Result<ProxyLoop, String> {
        let event_loop =
            retry_while_transient(|| Ok(EventLoop::try_new()?)).map_err(|e| format!("cannot poll: {e}"))?;
        Ok(ProxyLoop { event_loop, ready: ReadySources::new() })
    }

    /// The poll, to which the parts add their sources.
    pub fn event_loop(&self) -> &EventLoop<'static, ReadySources> {
        &self.event_loop
    }

    /// Returns how long a turn may wait for sources: zero if work is left, `None` if there is no deadline.
    pub fn wait(core: &Core) -> Option<Duration> {
        let next_deadline = core.turn.deadlines.earliest();
        let wait = next_deadline.map(|at| (at - core.turn.clock.now()).max(0));
        let wait = if core.turn.unfinished.is_empty() { wait } else { Some(0) };
        wait.map(|t| Duration::from_micros(t as u64))
    }

    /// Runs one turn: waits up to `wait` for sources, then processes all that are ready and all expired
    /// deadlines.
    ///
    /// # Errors
    ///
    /// If polling fails.
    pub fn run_turn(&mut self, handlers: &mut impl Handlers, wait: Option<Duration>) -> Result<(), String> {
        let next_deadline = handlers.core().turn.deadlines.earliest();
        self.event_loop.dispatch(wait, &mut self.ready).map_err(|e| format!("cannot poll: {e}"))?;
        let mut sources = self.begin_turn(handlers.core(), next_deadline);
        sources.sort_by_key(|source| source_order(*source));
        for source in sources {
            handlers.on_event(source);
            let now = advance(handlers.core());
            handlers.core().loop_stats.record_event(source, now);
        }
        loop {
            let turn = &mut handlers.core().turn;
            let Some(due) = turn.deadlines.pop_expired(turn.now) else { break };
            handlers.on_deadline(due);
            let now = advance(handlers.core());
            handlers.core().loop_stats.record(due.name(), now);
        }
        let core = handlers.core();
        core.loop_stats.end(&core.turn.log, &core.turn.work);
        Ok(())
    }

    /// Updates the clock and the turn's times, and returns the sources to process.
    fn begin_turn(&mut self, core: &mut Core, next_deadline: Option<Micros>) -> Vec<EventSource> {
        if core.turn.clock.observe() {
            info!(core.turn.log, "the wall clock was stepped"; "ms" => core.turn.clock.candidate_step() / 1000);
        }
        core.turn.now = core.turn.clock.now();
        core.turn.work = WorkTimes::new(core.turn.now);
        core.loop_stats.begin(core.turn.now, next_deadline);
        core.turn.unread_for = core.loop_stats.time_unread();
        let unfinished = std::mem::take(&mut core.turn.unfinished);
        unfinished.into_iter().chain(self.ready.drain(..)).collect()
    }
}

impl AsFd for ProxyLoop {
    /// The poll's own descriptor, which is readable when a source is ready.
    fn as_fd(&self) -> BorrowedFd<'_> {
        self.event_loop.as_fd()
    }
}

/// Returns the position of a source in the order of a turn, 0 first. Operators' calls come first because they
/// are few and must be answered under any load. Discovery comes next, so that no request goes to a db host
/// that starts to drain in the same turn. Clients come before db hosts, so that the request of a client that
/// has disconnected is not written to a db host connection that is established in the same turn.
fn source_order(source: EventSource) -> u8 {
    match source {
        EventSource::Control | EventSource::Caller(_) => 0,
        EventSource::Call(_) => 1,
        EventSource::Session(_) => 2,
        EventSource::Listener
        | EventSource::PeerListener
        | EventSource::Server(_)
        | EventSource::Terminate
        | EventSource::Reload
        | EventSource::FileTask => 3,
    }
}

/// Advances the turn's time once a source or deadline is processed, and returns it. Without this, requests at
/// the end of a long turn would send their db hosts a remaining wait that includes time the turn has already
/// used. Whatever is processed next has been waiting since before the turn, so `unread_for` grows by the same
/// amount.
fn advance(core: &mut Core) -> Micros {
    let now = core.turn.clock.now();
    core.turn.unread_for += now - core.turn.now;
    core.turn.now = now;
    now
}

#[cfg(test)]
mod tests;
