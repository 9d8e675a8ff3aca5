//! Carries out and answers operators' calls.

use slog::info;

use super::Proxy;
use crate::control::{self, Response};
use crate::ids::CallerId;
use crate::placing::PlacementRouter;

impl Proxy {
    /// Reads an operator's connection and carries out its command.
    pub(super) fn serve_operator(&mut self, id: CallerId) {
        let Some(command) = self.control.as_mut().and_then(|c| c.ready(&mut self.core.turn, id)) else {
            return;
        };
        if let Some(answer) = self.carry_out(id, command) {
            self.answer_operator(id, &answer);
        }
    }

    /// Answers an operator's call.
    pub(super) fn answer_operator(&mut self, id: CallerId, answer: &Response) {
        if let Some(control) = &mut self.control {
            control.respond(&mut self.core.turn, id, answer);
        }
    }

    /// Carries out a command. Returns `None` where the answer follows once file work is done.
    fn carry_out(&mut self, caller: CallerId, command: control::Command) -> Option<Response> {
        let (turn, exchange) = (&mut self.core.turn, &mut self.core.exchange);
        Some(match command {
            control::Command::Status if self.frontend.has_hosts && self.unserved_listener.is_none() => {
                Response::new(200, "serving\n")
            }
            control::Command::Status => Response::new(503, "starting\n"),
            control::Command::Metrics => {
                let mut metrics = exchange.figures();
                metrics.closes = self.frontend.close_counts.clone();
                let text = control::exposition(&metrics, &self.classes, &self.tenants);
                let placement = exchange.placing.as_ref().map(PlacementRouter::metrics).unwrap_or_default();
                Response::new(200, text + &placement)
            }
            control::Command::Shapes => match self.frontend.exposition() {
                Some(text) => Response::new(200, text),
                None => Response::new(404, "no rules for plain statements are given\n"),
            },
            control::Command::Loop => Response::new(200, self.core.loop_stats.exposition()),
            control::Command::Sites => self.sites_status(),
            control::Command::Placement => self.placement_status(),
            control::Command::HoldSite(name) => self.hold_site(&name, true),
            control::Command::ReadmitSite(name) => self.hold_site(&name, false),
            control::Command::Standby | control::Command::Active => {
                let standby = command == control::Command::Standby;
                info!(turn.log, "standby switched by an operator"; "standby" => standby);
                self.frontend.set_standby(turn, standby);
                Response::new(200, if standby { "sending clients away\n" } else { "serving\n" })
            }
            control::Command::HoldOut(id) => return self.hold_out(caller, &id, true),
            control::Command::Readmit(id) => return self.hold_out(caller, &id, false),
        })
    }

    /// Holds a db host out or readmits it. The order is confirmed only once it is stored where the other
    /// process and a later one will find it.
    fn hold_out(&mut self, caller: CallerId, id: &str, out: bool) -> Option<Response> {
        // A db host that is held out may have left the list.
        if self.core.discovery.member(id).is_none() && !self.shared.is_held_out(id) {
            return Some(Response::new(404, "no such db host\n"));
        }
        let taken = self.shared.hold_out(caller, id, out);
        (!taken).then(|| Response::new(503, "too much file work is under way\n"))
    }

    pub(super) fn apply_hold_out(&mut self, id: &str, out: bool) {
        info!(self.core.turn.log, "db host held out or readmitted"; "id" => id, "out" => out);
        let Some(member) = self.core.discovery.member(id) else { return };
        // The db host's site may be held out as well.
        let lost = self.core.exchange.sites.as_ref().is_some_and(|s| s.is_out(member));
        self.core.exchange.set_held_out(&mut self.core.turn, member, out || lost);
        self.backend.set_held_out(&mut self.core.turn, &mut self.core.exchange, member, out);
    }
}
