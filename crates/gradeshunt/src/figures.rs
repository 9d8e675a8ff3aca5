//! What operators are shown of requests: counts since the start, and what is now.

use std::collections::BTreeMap;

use leadmast::invariant::Violations;

/// How requests have ended: those of a class since the start, or all since the last summary.
#[derive(Clone, Copy, Default)]
pub struct Count {
    pub served: u64,
    pub refused: u64,
    pub failed: u64,
}

/// How a tenant's requests have ended, since the start.
#[derive(Clone, Copy, Default)]
pub struct TenantCount {
    pub within: Count,
    /// Beyond its share.
    pub beyond: Count,
}

/// What operators are shown: counts since the start, and what is now.
#[derive(Clone, Default)]
pub struct Figures {
    pub classes: Vec<Count>,
    /// As the settings name them; behind them, where they name any, what came without a tenant's name.
    pub tenants: Vec<TenantCount>,
    /// Attempts written whole to db hosts.
    pub dispatches: u64,
    /// Requests whose client left before any attempt was written, and those of them sent on all the same.
    pub gone_unsent: u64,
    pub sent_after_gone: u64,
    /// Requests refused because their wait was over when their turn came, behind others on their connection.
    pub expired_unsent: u64,
    /// What broke a rule, by rule: a sound program counts none.
    pub violations: Violations,
    /// Attempts that were not begun, or not written, by reason.
    pub denials: BTreeMap<&'static str, u64>,
    /// Further attempts, by how the one before ended.
    pub retries: BTreeMap<&'static str, u64>,
    /// Requests that were not served, by outcome and reason.
    pub reasons: BTreeMap<(&'static str, &'static str), u64>,
    /// Answers that might have been second copies, by whose they were.
    pub answer_checks: BTreeMap<&'static str, u64>,
    /// Clients' connections that were closed from here, by reason.
    pub closes: BTreeMap<&'static str, u64>,
    /// Requests taken and not ended.
    pub concurrent: u64,
    /// Db hosts on the list, and those of them that get nothing new.
    pub targets: u64,
    pub avoided: u64,
}
