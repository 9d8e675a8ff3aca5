//! Counters of the summary in the log.

use std::collections::BTreeMap;

use crate::figures::OutcomeCounts;

/// Counts since the last summary in the log.
#[derive(Default)]
pub(super) struct SummaryCounts {
    pub(super) requests: u32,
    pub(super) final_answers: OutcomeCounts,
    pub(super) clients_gone: u32,
    pub(super) gone_unsent: u32,
    pub(super) sent_after_gone: u32,
    /// Requests whose client's wait time ended while they were queued.
    pub(super) expired_unsent: u32,
    pub(super) endings: BTreeMap<&'static str, u32>,
}
