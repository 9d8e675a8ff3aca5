//! All deadlines of the proxy, in one sorted structure that is swept each turn.

use std::collections::BTreeSet;

use leadmast::{MemberId, Micros, RequestId, TimerTag};

use crate::ids::{AttemptId, CallId, CallerId, ServerId, SessionId};

/// What falls due.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Due {
    /// A timer of the module.
    Module(TimerTag),
    /// A request whose final answer is overdue: the module should have given it long ago.
    Overdue(RequestId),
    /// An attempt that has waited long enough.
    Attempt(AttemptId),
    /// A request whose try at another proxy has come to nothing may be sent on again.
    SendOn(RequestId),
    /// A probe that has.
    Probe(MemberId),
    /// Connections to a db host for which the system lacked something are tried again.
    Connect(MemberId),
    /// A db host connection that should be up by now, or has stood idle long enough.
    Server(ServerId),
    /// A client that should have sent its startup message by now, or read its last answer.
    Session(SessionId),
    /// A call to discovery that is silent.
    Call(CallId),
    /// The watch of discovery is opened anew.
    Reopen,
    /// An operator that should have made its call by now, or closed.
    Caller(CallerId),
    /// Clients' connections that could not be accepted are tried again.
    Accept,
    /// Other proxies' connections that could not be accepted are tried again.
    AcceptPeers,
    /// Operators' connections that could not be accepted are tried again.
    AcceptCallers,
    /// The folder that the processes of this proxy share is looked at.
    Look,
    /// A new process waits no longer to see that folder.
    Begin,
    /// A new process waits no longer for discovery before it serves beside another.
    Serve,
    /// Idle clients are looked over.
    Reap,
    /// The listener closes after SIGTERM.
    CloseListener,
    /// The sites are looked at.
    Sites,
    /// A line in the log.
    Summary,
    /// What is still open after SIGTERM is answered.
    LastAnswers,
    /// The last moment at which the program leaves after SIGTERM.
    Leave,
}

impl Due {
    /// Its name in the log and the figures.
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

/// The sorted deadlines.
#[derive(Default)]
pub struct Deadlines(BTreeSet<(Micros, Due)>);

impl Deadlines {
    pub fn set(&mut self, at: Micros, due: Due) {
        self.0.insert((at, due));
    }

    pub fn clear(&mut self, at: Micros, due: Due) {
        self.0.remove(&(at, due));
    }

    /// When the next one falls due.
    pub fn next(&self) -> Option<Micros> {
        self.0.first().map(|d| d.0)
    }

    /// Takes the next one that is due by now.
    pub fn pop(&mut self, now: Micros) -> Option<Due> {
        let first = *self.0.first().filter(|d| d.0 <= now)?;
        self.0.remove(&first);
        Some(first.1)
    }
}
