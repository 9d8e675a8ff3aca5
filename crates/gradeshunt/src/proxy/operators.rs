//! What operators ask for, carried out and answered.

use slog::info;

use super::Proxy;
use crate::control::{self, Response};
use crate::ids::CallerId;
use crate::placing::Placing;

impl Proxy {
    /// Works off an operator's connection.
    pub(super) fn call(&mut self, id: CallerId) {
        let Some(command) = self.control.as_mut().and_then(|c| c.ready(&mut self.core.turn, id)) else {
            return;
        };
        if let Some(answer) = self.carry_out(id, command) {
            self.answer(id, &answer);
        }
    }

    /// Answers an operator's call.
    pub(super) fn answer(&mut self, id: CallerId, answer: &Response) {
        if let Some(control) = &mut self.control {
            control.respond(&mut self.core.turn, id, answer);
        }
    }

    /// Carries out what an operator asks for; the answer follows later where that is file work.
    fn carry_out(&mut self, caller: CallerId, command: control::Command) -> Option<Response> {
        let (turn, exchange) = (&mut self.core.turn, &mut self.core.exchange);
        Some(match command {
            control::Command::Status if self.frontend.has_hosts && self.waiting.is_none() => {
                Response::new(200, "serving\n")
            }
            control::Command::Status => Response::new(503, "starting\n"),
            control::Command::Metrics => {
                let mut figures = exchange.figures();
                figures.closes = self.frontend.close_counts.clone();
                let figures = control::exposition(&figures, &self.classes, &self.tenants);
                let placement = exchange.placing.as_ref().map(Placing::metrics).unwrap_or_default();
                Response::new(200, figures + &placement)
            }
            control::Command::Shapes => match self.frontend.exposition() {
                Some(text) => Response::new(200, text),
                None => Response::new(404, "no rules for plain statements are given\n"),
            },
            control::Command::Loop => Response::new(200, self.core.loop_stats.exposition()),
            control::Command::Sites => self.show_sites(),
            control::Command::Placement => self.show_placement(),
            control::Command::HoldSite(name) => self.hold_site(&name, true),
            control::Command::ReadmitSite(name) => self.hold_site(&name, false),
            control::Command::Standby | control::Command::Active => {
                let standby = command == control::Command::Standby;
                info!(turn.log, "told by an operator"; "standby" => standby);
                self.frontend.set_standby(turn, exchange, standby);
                Response::new(200, if standby { "sending clients away\n" } else { "serving\n" })
            }
            control::Command::HoldOut(id) => return self.hold_out(caller, &id, true),
            control::Command::Readmit(id) => return self.hold_out(caller, &id, false),
        })
    }

    /// It stands where the other process looks, and will be found after this one, before it is confirmed.
    fn hold_out(&mut self, caller: CallerId, id: &str, out: bool) -> Option<Response> {
        // One held out may be off the list by now.
        if self.core.discovery.member(id).is_none() && !self.shared.is_held_out(id) {
            return Some(Response::new(404, "no such db host\n"));
        }
        let taken = self.shared.hold_out(caller, id, out);
        (!taken).then(|| Response::new(503, "too much file work is under way\n"))
    }

    pub(super) fn maintain(&mut self, id: &str, out: bool) {
        info!(self.core.turn.log, "db host held out or readmitted"; "id" => id, "out" => out);
        let Some(member) = self.core.discovery.member(id) else { return };
        // Its site may be out as well.
        let lost = self.core.exchange.sites.as_ref().is_some_and(|s| s.is_out(member));
        self.core.exchange.maintain(&mut self.core.turn, member, out || lost);
        self.backend.maintain(&mut self.core.turn, &mut self.core.exchange, member, out);
    }
}
