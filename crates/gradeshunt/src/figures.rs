//! Request metrics for operators: counters since the start, and current values.

use std::collections::BTreeMap;

use leadmast::invariant::Violations;

/// Requests by outcome: those of one class since the start, or all since the last summary.
#[derive(Clone, Copy, Default)]
pub struct OutcomeCounts {
    pub served: u64,
    pub refused: u64,
    pub failed: u64,
}

/// Requests of one tenant by outcome since the start, within and beyond its share.
#[derive(Clone, Copy, Default)]
pub struct TenantCount {
    pub within: OutcomeCounts,
    /// Requests beyond the tenant's share.
    pub beyond: OutcomeCounts,
}

/// Metrics for operators: counters since the start, and current values.
#[derive(Clone, Default)]
pub struct Metrics {
    pub classes: Vec<OutcomeCounts>,
    /// By tenant in the order of the settings; if there are any, a last entry for requests without a tenant's
    /// name.
    pub tenants: Vec<TenantCount>,
    /// Attempts written completely to db hosts.
    pub dispatches: u64,
    /// Requests whose client left before any attempt was written, and those of them that were sent all the
    /// same.
    pub gone_unsent: u64,
    pub sent_after_gone: u64,
    /// Requests refused because their wait had ended by the time they were read, behind others on their
    /// connection.
    pub expired_unsent: u64,
    /// Requests of classes that change nothing which a db host refused as writes.
    pub reads_refused_as_writes: u64,
    /// Violations of invariants, by rule: a correct program counts none.
    pub violations: Violations,
    /// Attempts that were not begun or not written, by reason.
    pub denials: BTreeMap<&'static str, u64>,
    /// Retries, by the outcome of the attempt before.
    pub retries: BTreeMap<&'static str, u64>,
    /// Requests that were not served, by outcome and reason.
    pub unserved: BTreeMap<(&'static str, &'static str), u64>,
    /// Answers that were checked for being duplicates, by what the check found.
    pub answer_checks: BTreeMap<&'static str, u64>,
    /// Clients' connections that the proxy closed, by reason.
    pub closes: BTreeMap<&'static str, u64>,
    /// Requests accepted and not completed.
    pub concurrent: u64,
    /// Db hosts on the list, and those of them that get no new requests.
    pub targets: u64,
    pub targets_avoided: u64,
}
