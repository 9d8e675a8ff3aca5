//! From the first client served to the last answer: limits shared with another process, the clients' socket, SIGTERM.

use std::time::Duration;

use leadmast::permission::may_hand_over;
use leadmast::Micros;
use slog::{info, warn};

use super::{Proxy, OPERATORS};
use crate::control::Control;
use crate::deadlines::DeadlineKind;
use crate::shared::Duty;

/// New connections go on coming for a while after SIGTERM.
const ACCEPT_ON: Micros = 500_000;
/// SIGKILL may follow SIGTERM when the longest deadline, counted as this much where it is longer, and 0.7 s have passed: by then
/// all has its answer, and this process has left, though it be held up for 0.15 s right before.
const LONGEST_COUNTED: Micros = 3_000_000;
const LEAVE_AFTER: Micros = 550_000;
/// Who leaves waits for the log until then, and no longer: it has to have ended before SIGKILL.
const END_AFTER: Micros = LEAVE_AFTER + 100_000;
/// So long before it leaves, what is open gets its last answer; and so long before that requests are over that come late.
const LAST_ANSWERS: Micros = 50_000;
const LAST_CALL: Micros = 50_000;
/// Descriptors kept for the log, the poll, the signals, discovery and files.
const RESERVED: usize = 24;

/// When what happens at the end of a process that was told to end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Shutdown {
    /// No request that comes later is read.
    last_call: Micros,
    /// What is open gets its last answer.
    last_answers: Micros,
    leave: Micros,
    /// It ends, whether its log is written or not.
    end: Micros,
}

impl Shutdown {
    /// Of a process that is told to end at `now` and whose classes wait for `longest` at most.
    fn at(now: Micros, longest: Micros) -> Shutdown {
        let over = now + longest.min(LONGEST_COUNTED);
        let leave = over + LEAVE_AFTER;
        let last_answers = leave - LAST_ANSWERS;
        Shutdown { last_call: last_answers - LAST_CALL, last_answers, leave, end: over + END_AFTER }
    }
}

impl Proxy {
    /// Two processes of a proxy share its limits while both live.
    pub(super) fn share_limits(&mut self) {
        let processes = 1 + usize::from(!self.shared.is_alone());
        let sockets = (self.sockets / processes).saturating_sub(RESERVED + OPERATORS);
        // A third of the descriptors for db hosts: an attempt needs one only while it is out, a client for
        // as long as it likes.
        let servers = sockets / 3;
        self.backend.limit(&mut self.core.turn, servers);
        // Rings may still grow when a third of the memory is held: by what is under way.
        self.frontend.set_limits(&mut self.core.turn, sockets - servers, self.memory / processes / 3);
    }

    /// Serves clients from now on.
    pub(super) fn serve(&mut self) {
        let Some(listener) = self.waiting.take() else { return };
        let listen = listener.local_addr().map(|a| a.to_string()).ok();
        let opened = self.frontend.listen_for_clients(&mut self.core.turn, listener);
        self.serve_peers();
        self.shared.turn_to(Duty::Serving);
        if let Err(e) = opened {
            warn!(self.core.turn.log, "cannot serve as it should be"; "error" => e.to_string());
        }
        info!(self.core.turn.log, "serving"; "control" => self.operators(), "listen" => listen);
    }

    /// Where operators call, for the log.
    pub(super) fn operators(&self) -> Option<String> {
        self.control.as_ref().and_then(Control::local_addr).map(|a| a.to_string())
    }

    /// After SIGTERM, where a successor serves: what waits on the clients' socket is the successor's.
    pub(super) fn hand_over(&mut self) {
        if may_hand_over(self.terminating, self.shared.is_succeeded()).is_ok() {
            self.frontend.close_listener(&mut self.core.turn, &mut self.core.exchange, true);
        }
    }

    /// How long a process that leaves may still wait for its log.
    pub fn time_left(&self) -> Duration {
        let left = self.end_by.map_or(0, |end| end - self.core.turn.clock.now());
        Duration::from_micros(u64::try_from(left).unwrap_or_default())
    }

    /// SIGTERM has come: serves on until all is answered.
    pub(super) fn terminate(&mut self) {
        if std::mem::replace(&mut self.terminating, true) {
            return;
        }
        info!(self.core.turn.log, "terminating: serving on until all is answered");
        // Clients may have connected to a socket of our own before it is served. One that the platform holds is another's.
        if self.held {
            self.waiting = None;
        } else {
            self.begin();
            self.serve();
        }
        self.shared.turn_to(Duty::Leaving);
        let now = self.core.turn.now;
        let Shutdown { last_call, last_answers, leave, end } = Shutdown::at(now, self.longest);
        self.end_by = Some(end);
        self.frontend.set_drain_deadline(last_call);
        self.core.turn.deadlines.set(now + ACCEPT_ON, DeadlineKind::CloseListener);
        self.core.turn.deadlines.set(last_answers, DeadlineKind::LastAnswers);
        self.core.turn.deadlines.set(leave, DeadlineKind::Exit);
    }
}

#[cfg(test)]
mod tests;
