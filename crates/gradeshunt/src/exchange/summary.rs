//! Figures for operators, and the summary in the log.

use slog::info;

use super::state::Exchange;
use crate::figures::{Metrics, OutcomeCounts};
use crate::turn::Turn;

impl Exchange {
    /// The figures as they stand.
    pub fn figures(&self) -> Metrics {
        let t = self.balancer.targets();
        let concurrent = self.requests.values().filter(|r| !r.over).count() as u64;
        Metrics {
            concurrent,
            targets: t.listed as u64,
            targets_avoided: t.avoided as u64,
            ..self.figures.clone()
        }
    }

    /// Sums up in the log what has come to pass since the last time.
    pub fn sum_up(&mut self, turn: &Turn) {
        let t = std::mem::take(&mut self.tally);
        let endings: Vec<_> = t.endings.iter().map(|(name, n)| format!("{name}={n}")).collect();
        info!(turn.log, "summary"; "open" => self.requests.len(), "members" => self.balancer.targets().known,
            "requests" => t.requests,
            "served" => t.finals.served, "refused" => t.finals.refused, "failed" => t.finals.failed,
            "gone" => t.gone,
            "gone_unsent" => t.gone_unsent, "sent_after_gone" => t.sent_after_gone,
            "expired_unsent" => t.expired_unsent,
            "attempts" => endings.join(","));
        for (name, t) in self.tenants.iter().zip(&self.figures.tenants) {
            let text =
                |c: &OutcomeCounts| format!("served={},refused={},failed={}", c.served, c.refused, c.failed);
            info!(turn.log, "tenant"; "beyond" => text(&t.beyond), "within" => text(&t.within), "name" => name);
        }
    }
}
