//! What the exchange does for the loss of a site: evidence of each ending, and when a refused request may come back.
//! docs/site-loss.md tells the mechanism.

use gradeshunt_sites::proxy::Sites;
use gradeshunt_sites::watch::Failure;
use leadmast::{Class, Ending, MemberId, Micros, Settings};

/// Who is beyond the plan for a lost site may come back after this part of its class's aim, while it can still be in time:
/// what comes later is let in for nothing.
const BACK: Micros = 8;
/// A connection that is refused within this time found no process.
const AT_ONCE: Micros = 50_000;

/// What an ending says of its db host's site.
pub fn see(sites: &mut Option<Sites>, now: Micros, member: MemberId, ending: Ending, elapsed: Micros) {
    let Some(sites) = sites else { return };
    match ending {
        Ending::Ok | Ending::Error | Ending::Full | Ending::Miss => sites.heard(now, member),
        Ending::ConnectFailed if elapsed < AT_ONCE => sites.failed(now, member, Failure::Refused),
        Ending::ConnectFailed | Ending::Reset | Ending::Timeout => sites.failed(now, member, Failure::Silent),
        Ending::Cancelled | Ending::Moot => {}
    }
}

/// When one that is beyond the plan may come back.
pub fn back(settings: &Settings, class: &Class) -> Option<Micros> {
    let allowed = &settings.allowed;
    allowed.retry_after.then(|| (class.latency_target / BACK).min(allowed.max_retry_after))
}
