//! All deadlines of the proxy, in one sorted set from which each turn takes those that have expired.

use std::collections::BTreeSet;

use leadmast::{MemberId, Micros, RequestId, TimerTag};

use crate::ids::{AttemptId, CallId, CallerId, ServerId, SessionId};

/// The kind of a deadline.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum DeadlineKind {
    /// A timer of the decision module.
    Module(TimerTag),
    /// A request that the decision module should have answered long ago.
    Overdue(RequestId),
    /// The timeout of an attempt.
    Attempt(AttemptId),
    /// A request that could not be forwarded to another proxy may be forwarded again.
    ForwardAgain(RequestId),
    /// The timeout of a probe.
    Probe(MemberId),
    /// Retry of connects to a db host that failed for want of a system resource.
    RetryConnect(MemberId),
    /// The connect timeout or idle timeout of a db host connection.
    Server(ServerId),
    /// The timeout of a client's message or of closing its connection.
    Session(SessionId),
    /// The timeout of a call to discovery.
    Call(CallId),
    /// The watch on discovery is opened again.
    ReopenWatch,
    /// The timeout of an operator's call or of closing its connection.
    Caller(CallerId),
    /// Retry of a failed accept of clients.
    RetryAccept,
    /// Retry of a failed accept of other proxies.
    RetryAcceptPeers,
    /// Retry of a failed accept of operators.
    RetryAcceptCallers,
    /// Check of the folder that the processes of this proxy share.
    CheckSharedFolder,
    /// A new process starts without having seen the shared folder.
    SharedFolderTimeout,
    /// A new process next to another one starts to serve, or checks again if it knows no db hosts yet.
    DiscoveryTimeout,
    /// Scan for idle clients.
    ScanIdleClients,
    /// Close of the listener after SIGTERM.
    CloseListener,
    /// Check of the sites.
    CheckSites,
    /// Summary line in the log.
    Summary,
    /// After SIGTERM: all requests still in progress get an answer.
    LastAnswers,
    /// After SIGTERM: the time by which the process exits.
    Exit,
}

impl DeadlineKind {
    /// The kind of deadline, as the log and the metrics name it.
    pub fn name(self) -> &'static str {
        match self {
            DeadlineKind::Module(_) => "module's timers",
            DeadlineKind::Overdue(_)
            | DeadlineKind::ForwardAgain(_)
            | DeadlineKind::Attempt(_)
            | DeadlineKind::Probe(_)
            | DeadlineKind::RetryConnect(_)
            | DeadlineKind::Server(_) => "db hosts' deadlines",
            DeadlineKind::Session(_)
            | DeadlineKind::RetryAccept
            | DeadlineKind::RetryAcceptPeers
            | DeadlineKind::ScanIdleClients
            | DeadlineKind::CloseListener => "clients' deadlines",
            DeadlineKind::Call(_) | DeadlineKind::ReopenWatch => "discovery's deadlines",
            DeadlineKind::Caller(_) | DeadlineKind::RetryAcceptCallers => "operators' deadlines",
            DeadlineKind::CheckSharedFolder
            | DeadlineKind::SharedFolderTimeout
            | DeadlineKind::DiscoveryTimeout
            | DeadlineKind::CheckSites
            | DeadlineKind::Summary => "housekeeping",
            DeadlineKind::LastAnswers | DeadlineKind::Exit => "housekeeping",
        }
    }
}

/// The set of deadlines, sorted by time.
#[derive(Default)]
pub struct Deadlines(BTreeSet<(Micros, DeadlineKind)>);

impl Deadlines {
    pub fn set(&mut self, at: Micros, due: DeadlineKind) {
        self.0.insert((at, due));
    }

    pub fn clear(&mut self, at: Micros, due: DeadlineKind) {
        self.0.remove(&(at, due));
    }

    /// Returns the time of the earliest deadline.
    pub fn earliest(&self) -> Option<Micros> {
        self.0.first().map(|d| d.0)
    }

    /// Removes and returns the earliest deadline if it has expired.
    pub fn pop_expired(&mut self, now: Micros) -> Option<DeadlineKind> {
        let first = *self.0.first().filter(|d| d.0 <= now)?;
        self.0.remove(&first);
        Some(first.1)
    }
}
