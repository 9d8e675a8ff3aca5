//! The life of a process from the first client served to the last answer: limits shared with another process,
//! the clients' socket, SIGTERM.

use std::time::Duration;

use leadmast::permission::may_hand_over;
use leadmast::Micros;
use slog::{info, warn};

use super::{Proxy, OPERATOR_SOCKETS};
use crate::control::Control;
use crate::deadlines::DeadlineKind;
use crate::shared::ProcessState;

/// New connections still arrive for a while after SIGTERM.
const ACCEPT_AFTER_SIGTERM: Micros = 500_000;
/// SIGKILL may follow SIGTERM once the longest deadline (counted as at most this much) and 0.7 s have passed.
/// By then every request has its answer and this process has left, even if it is held up for 0.15 s just
/// before.
const MAX_COUNTED_DEADLINE: Micros = 3_000_000;
const LEAVE_AFTER: Micros = 550_000;
/// A process that leaves waits for its log until then and no longer: it must have ended before SIGKILL.
const END_AFTER: Micros = LEAVE_AFTER + 100_000;
/// Open requests get their last answer this long before the process leaves, and nothing is read after that.
/// Requests that arrive in the `LATEST_DEADLINE_BEFORE_ANSWERS` before that are refused at once.
const LAST_ANSWERS_BEFORE_LEAVING: Micros = 50_000;
const LATEST_DEADLINE_BEFORE_ANSWERS: Micros = 50_000;
/// Descriptors reserved for the log, the poll, the signals, discovery and files.
const RESERVED_SOCKETS: usize = 24;

/// Times of the steps by which a process ends after SIGTERM.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct ShutdownTimes {
    /// The latest deadline of a request; one that arrives later is refused.
    latest_deadline: Micros,
    /// Open requests get their last answer, and no further ones are read.
    last_answers: Micros,
    leave: Micros,
    /// The process ends, whether its log is written or not.
    end: Micros,
}

impl ShutdownTimes {
    /// The shutdown of a process that gets SIGTERM at `now`, with `longest` the longest deadline of its
    /// classes.
    fn at(now: Micros, longest: Micros) -> ShutdownTimes {
        let over = now + longest.min(MAX_COUNTED_DEADLINE);
        let leave = over + LEAVE_AFTER;
        let last_answers = leave - LAST_ANSWERS_BEFORE_LEAVING;
        ShutdownTimes {
            latest_deadline: last_answers - LATEST_DEADLINE_BEFORE_ANSWERS,
            last_answers,
            leave,
            end: over + END_AFTER,
        }
    }
}

impl Proxy {
    /// Applies this process's part of the proxy's limits: two processes share them while both live.
    pub(super) fn apply_limits(&mut self) {
        let processes = 1 + usize::from(!self.shared.is_alone());
        let sockets = (self.sockets / processes).saturating_sub(RESERVED_SOCKETS + OPERATOR_SOCKETS);
        // A third of the descriptors for db hosts: an attempt needs one only while it runs, a client for as
        // long as it stays connected.
        let servers = sockets / 3;
        self.backend.set_max_connections(&mut self.core.turn, servers);
        // A third of the memory for clients, because buffers may still grow beyond that for requests under
        // way.
        self.frontend.set_limits(&mut self.core.turn, sockets - servers, self.memory_bytes / processes / 3);
    }

    /// Starts serving clients.
    pub(super) fn serve(&mut self) {
        let Some(listener) = self.unserved_listener.take() else { return };
        let listen = listener.local_addr().map(|a| a.to_string()).ok();
        let opened = self.frontend.listen_for_clients(&mut self.core.turn, listener);
        self.serve_peers();
        self.shared.change_state(ProcessState::Serving);
        if let Err(e) = opened {
            warn!(self.core.turn.log, "cannot serve clients as configured"; "error" => e.to_string());
        }
        info!(self.core.turn.log, "serving"; "control" => self.operators_address(), "listen" => listen);
    }

    /// The operators' address, for the log.
    pub(super) fn operators_address(&self) -> Option<String> {
        self.control.as_ref().and_then(Control::local_addr).map(|a| a.to_string())
    }

    /// After SIGTERM, closes the clients' socket once a successor serves: connections that wait on it are the
    /// successor's.
    pub(super) fn hand_over(&mut self) {
        if may_hand_over(self.is_terminating, self.shared.has_successor()).is_ok() {
            self.frontend.close_listener(&mut self.core.turn, true);
        }
    }

    /// How long a process that leaves may still wait for its log.
    pub fn time_left(&self) -> Duration {
        let left = self.end_by.map_or(0, |end| end - self.core.turn.clock.now());
        Duration::from_micros(u64::try_from(left).unwrap_or_default())
    }

    /// Handles SIGTERM: goes on serving until every request is answered.
    pub(super) fn terminate(&mut self) {
        if std::mem::replace(&mut self.is_terminating, true) {
            return;
        }
        info!(self.core.turn.log, "terminating: serving until every request is answered");
        // Clients may have connected to a socket of this process before it serves. A socket that the platform
        // holds is left to another process.
        if self.is_socket_inherited {
            self.unserved_listener = None;
        } else {
            self.begin();
            self.serve();
        }
        self.shared.change_state(ProcessState::Leaving);
        let now = self.core.turn.now;
        let ShutdownTimes { latest_deadline, last_answers, leave, end } =
            ShutdownTimes::at(now, self.longest_deadline);
        self.end_by = Some(end);
        self.frontend.set_drain_deadline(latest_deadline);
        self.frontend.set_last_read(last_answers);
        self.core.turn.deadlines.set(now + ACCEPT_AFTER_SIGTERM, DeadlineKind::CloseListener);
        self.core.turn.deadlines.set(last_answers, DeadlineKind::LastAnswers);
        self.core.turn.deadlines.set(leave, DeadlineKind::Exit);
    }
}

#[cfg(test)]
mod tests;
