//! What the summary in the log counts.

use std::collections::BTreeMap;

use crate::figures::OutcomeCounts;

/// What has come to pass since the last summary in the log.
#[derive(Default)]
pub(super) struct Tally {
    pub(super) requests: u32,
    pub(super) finals: OutcomeCounts,
    pub(super) gone: u32,
    pub(super) gone_unsent: u32,
    pub(super) sent_after_gone: u32,
    /// Requests whose wait was over when their turn came.
    pub(super) expired_unsent: u32,
    pub(super) endings: BTreeMap<&'static str, u32>,
}
