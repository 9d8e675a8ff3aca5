//! Site loss as seen by the exchange: evidence from the outcome of each attempt, and the time after which a
//! refused request may be retried. docs/site-loss.md describes the mechanism.

use gradeshunt_sites::proxy::Sites;
use gradeshunt_sites::watch::Failure;
use leadmast::{Class, Ending, MemberId, Micros, Settings};

/// A request refused beyond the plan for a lost site may be retried after its class's target time divided by
/// this, while it can still be answered in time: one that came later would be admitted but its work wasted.
const RETRY_DIVISOR: Micros = 8;
/// A connection refused within this time found no listening process.
const REFUSED_WITHIN: Micros = 50_000;

/// Reports what the outcome of an attempt shows about its db host's site.
pub fn record_ending(
    sites: &mut Option<Sites>,
    now: Micros,
    member: MemberId,
    ending: Ending,
    elapsed: Micros,
) {
    let Some(sites) = sites else { return };
    match ending {
        Ending::Ok | Ending::Error | Ending::Full | Ending::Miss => sites.heard(now, member),
        Ending::ConnectFailed if elapsed < REFUSED_WITHIN => sites.failed(now, member, Failure::Refused),
        Ending::ConnectFailed | Ending::Reset | Ending::Timeout => sites.failed(now, member, Failure::Silent),
        Ending::Cancelled | Ending::Moot => {}
    }
}

/// Returns the time after which a request beyond the plan may be retried, if clients are told such times.
pub fn retry_after(settings: &Settings, class: &Class) -> Option<Micros> {
    let allowed = &settings.allowed;
    allowed.retry_after.then(|| (class.latency_target / RETRY_DIVISOR).min(allowed.max_retry_after))
}
