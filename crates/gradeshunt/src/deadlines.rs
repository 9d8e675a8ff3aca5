//! All deadlines of the proxy, in one sorted set from which each turn takes those that have expired.

use std::collections::BTreeSet;

use leadmast::{MemberId, Micros, RequestId, TimerTag};

use crate::ids::{AttemptId, CallId, CallerId, ServerId, SessionId};

/// The kind of a deadline.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Due {
    /// A timer of the decision module.
    Module(TimerTag),
    /// A request that the decision module should have answered long ago.
    Overdue(RequestId),
    /// The timeout of an attempt.
    Attempt(AttemptId),
    /// A request that could not be forwarded to another proxy may be forwarded again.
    SendOn(RequestId),
    /// The timeout of a probe.
    Probe(MemberId),
    /// Retry of connects to a db host that failed for want of a system resource.
    Connect(MemberId),
    /// The connect timeout or idle timeout of a db host connection.
    Server(ServerId),
    /// The timeout of a client's message or of closing its connection.
    Session(SessionId),
    /// The timeout of a call to discovery.
    Call(CallId),
    /// The watch on discovery is opened again.
    Reopen,
    /// The timeout of an operator's call or of closing its connection.
    Caller(CallerId),
    /// Retry of a failed accept of clients.
    Accept,
    /// Retry of a failed accept of other proxies.
    AcceptPeers,
    /// Retry of a failed accept of operators.
    AcceptCallers,
    /// Check of the folder that the processes of this proxy share.
    Look,
    /// A new process starts without having seen the shared folder.
    Begin,
    /// A new process next to another one starts to serve, or checks again if it knows no db hosts yet.
    Serve,
    /// Scan for idle clients.
    Reap,
    /// Close of the listener after SIGTERM.
    CloseListener,
    /// Check of the sites.
    Sites,
    /// Summary line in the log.
    Summary,
    /// After SIGTERM: all requests still in progress get an answer.
    LastAnswers,
    /// After SIGTERM: the time by which the process exits.
    Leave,
}

impl Due {
    /// The kind of deadline, as the log and the metrics name it.
    pub fn name(self) -> &'static str {
        match self {
            Due::Module(_) => "module's timers",
            Due::Overdue(_)
            | Due::SendOn(_)
            | Due::Attempt(_)
            | Due::Probe(_)
            | Due::Connect(_)
            | Due::Server(_) => "db hosts' deadlines",
            Due::Session(_) | Due::Accept | Due::AcceptPeers | Due::Reap | Due::CloseListener => {
                "clients' deadlines"
            }
            Due::Call(_) | Due::Reopen => "discovery's deadlines",
            Due::Caller(_) | Due::AcceptCallers => "operators' deadlines",
            Due::Look | Due::Begin | Due::Serve | Due::Sites | Due::Summary => "housekeeping",
            Due::LastAnswers | Due::Leave => "housekeeping",
        }
    }
}

/// The set of deadlines, sorted by time.
#[derive(Default)]
pub struct Deadlines(BTreeSet<(Micros, Due)>);

impl Deadlines {
    pub fn set(&mut self, at: Micros, due: Due) {
        self.0.insert((at, due));
    }

    pub fn clear(&mut self, at: Micros, due: Due) {
        self.0.remove(&(at, due));
    }

    /// Returns the time of the earliest deadline.
    pub fn next(&self) -> Option<Micros> {
        self.0.first().map(|d| d.0)
    }

    /// Removes and returns the earliest deadline if it has expired.
    pub fn pop(&mut self, now: Micros) -> Option<Due> {
        let first = *self.0.first().filter(|d| d.0 <= now)?;
        self.0.remove(&first);
        Some(first.1)
    }
}
