//! Metrics for operators, and the summary in the log.

use slog::info;

use super::state::Exchange;
use crate::figures::{Metrics, OutcomeCounts};
use crate::turn::Turn;

impl Exchange {
    /// The current metrics.
    pub fn figures(&self) -> Metrics {
        let t = self.balancer.member_counts();
        let concurrent = self.requests.values().filter(|r| !r.is_over).count() as u64;
        Metrics {
            concurrent,
            targets: t.listed as u64,
            targets_avoided: t.unavailable as u64,
            ..self.figures.clone()
        }
    }

    /// Logs a summary of the time since the last one.
    pub fn log_summary(&mut self, turn: &Turn) {
        let t = std::mem::take(&mut self.summary_counts);
        let endings: Vec<_> = t.endings.iter().map(|(name, n)| format!("{name}={n}")).collect();
        info!(turn.log, "summary"; "open" => self.requests.len(), "members" => self.balancer.member_counts().known,
            "requests" => t.requests,
            "served" => t.final_answers.served, "refused" => t.final_answers.refused, "failed" => t.final_answers.failed,
            "gone" => t.clients_gone,
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
