//! The event loop: waits until a source is ready or a deadline expires, and has the parts of the proxy
//! process it.

use std::os::fd::{AsFd, BorrowedFd};
use std::time::Duration;

use calloop::EventLoop;
use leadmast::invariant::{violates_turn_time, Rule};
use leadmast::Micros;
use slog::info;

use crate::control_core::Core;
use crate::deadlines::DeadlineKind;
use crate::ready_queue::Phase;
use crate::transient::retry_while_transient;
use crate::turn::{EventSource, ReadySources};
use crate::work_times::{Work, WorkTimes};

/// After this time no further source of a phase gets its share in a turn; the rest comes first in the next one.
const PHASE_TIME: Micros = 5_000;
/// After this time no further expired deadline is processed in a turn.
const DEADLINES_TIME: Micros = 10_000;

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
        let wait = if core.turn.ready.is_empty() { wait } else { Some(0) };
        wait.map(|t| Duration::from_micros(t as u64))
    }

    /// Runs one turn: waits up to `wait` for sources, then gives each source that is ready one share, and
    /// processes the deadlines that have expired. What a turn has no time for comes first in the next one.
    ///
    /// # Errors
    ///
    /// If polling fails.
    pub fn run_turn(&mut self, handlers: &mut impl Handlers, wait: Option<Duration>) -> Result<(), String> {
        let next_deadline = handlers.core().turn.deadlines.earliest();
        self.event_loop.dispatch(wait, &mut self.ready).map_err(|e| format!("cannot poll: {e}"))?;
        self.begin_turn(handlers.core(), next_deadline);
        let input_since = handlers.core().turn.now - handlers.core().turn.unread_for;
        for phase in Phase::ALL {
            run_phase(handlers, phase);
        }
        run_deadlines(handlers, input_since);
        end_turn(handlers.core());
        Ok(())
    }

    /// Updates the clock and the turn's times, and queues the sources that the poll has reported.
    fn begin_turn(&mut self, core: &mut Core, next_deadline: Option<Micros>) {
        if core.turn.clock.observe() {
            info!(core.turn.log, "the wall clock was stepped"; "ms" => core.turn.clock.candidate_step() / 1000);
        }
        let turn = &mut core.turn;
        turn.now = turn.clock.now();
        turn.work = WorkTimes::new(turn.now);
        core.loop_stats.begin(turn.now, next_deadline);
        turn.unread_for = core.loop_stats.time_unread();
        for source in self.ready.drain(..) {
            turn.ready.push(source, turn.now - turn.unread_for);
        }
    }
}

impl AsFd for ProxyLoop {
    /// The poll's own descriptor, which is readable when a source is ready.
    fn as_fd(&self) -> BorrowedFd<'_> {
        self.event_loop.as_fd()
    }
}

/// Updates the statistics, and judges how much processor time the turn has used.
fn end_turn(core: &mut Core) {
    let processor_time = core.loop_stats.end(&core.turn.log, &core.turn.work);
    if violates_turn_time(processor_time, core.turn.work.has_begun(Work::Lists)) {
        core.exchange.record_violation(&core.turn, Rule::TurnTime, None);
    }
}

/// Gives one share to each source that waits in a phase, as far as there is time, and to the first in any
/// case. What is put back meanwhile waits for the next turn.
fn run_phase(handlers: &mut impl Handlers, phase: Phase) {
    let began = handlers.core().turn.now;
    for _ in 0..handlers.core().turn.ready.len(phase) {
        let turn = &mut handlers.core().turn;
        if turn.now - began > PHASE_TIME {
            return;
        }
        let Some((source, since)) = turn.ready.pop(phase) else { return };
        turn.unread_for = turn.now - since;
        handlers.on_event(source);
        let now = advance(handlers.core());
        handlers.core().loop_stats.record_event(source, now);
    }
}

/// Processes the deadlines that have expired by now, as far as there is time, and the first in any case.
/// Deadlines that are set meanwhile wait for the next turn, however early they are.
fn run_deadlines(handlers: &mut impl Handlers, input_since: Micros) {
    let began = handlers.core().turn.now;
    loop {
        let turn = &mut handlers.core().turn;
        turn.unread_for = turn.now - input_since;
        if turn.now - began > DEADLINES_TIME {
            return;
        }
        let Some(due) = turn.deadlines.pop_expired(began) else { return };
        handlers.on_deadline(due);
        let now = advance(handlers.core());
        handlers.core().loop_stats.record(due.name(), now);
    }
}

/// Advances the turn's time once a source or deadline is processed, and returns it. Without this, requests at
/// the end of a long turn would send their db hosts a remaining wait that includes time the turn has already
/// used.
fn advance(core: &mut Core) -> Micros {
    core.turn.now = core.turn.clock.now();
    core.turn.now
}

#[cfg(test)]
mod tests;
