//! Endings of attempts: their names, and the outcome that is reported to the balancer.

use leadmast::{Ending, MemberId, Outcome};

use crate::ids::AttemptId;

/// The outcome of an attempt that ended immediately and without a reply.
pub(super) fn immediate_outcome(attempt: AttemptId, member: MemberId, ending: Ending) -> Outcome {
    let AttemptId { request, number: attempt } = attempt;
    let (last, elapsed, note, report, settled_at) = (false, 0, None, None, None);
    let rejected_as_write = false;
    Outcome { request, attempt, member, ending, last, elapsed, note, report, settled_at, rejected_as_write }
}

/// An ending's name in the log.
pub fn ending_name(ending: Ending) -> &'static str {
    match ending {
        Ending::Ok => "ok",
        Ending::Error => "error",
        Ending::Full => "full",
        Ending::Timeout => "timeout",
        Ending::ConnectFailed => "connect_failed",
        Ending::Reset => "reset",
        Ending::Cancelled => "cancelled",
        Ending::Moot => "moot",
        Ending::Miss => "miss",
    }
}
