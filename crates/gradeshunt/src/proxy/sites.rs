//! Carries out the handling of a lost site: turns the conclusions of `gradeshunt_sites` into orders, lines of
//! the log and answers to operators. docs/site-loss.md describes the mechanism.

use gradeshunt_sites::proxy::Sites;
use gradeshunt_sites::watch::{Action, State};
use leadmast::MemberId;
use slog::{info, warn};

use super::Proxy;
use crate::control::Response;
use crate::deadlines::DeadlineKind;
use crate::exchange::{BackendCommand, DiscoveryCall};

impl Proxy {
    /// Evaluates the sites, and schedules the next evaluation.
    pub(super) fn check_sites(&mut self) {
        let Some(sites) = &mut self.core.exchange.sites else { return };
        let next = sites.look(self.core.turn.now);
        self.core.turn.deadlines.set(next, DeadlineKind::CheckSites);
        self.apply_site_actions();
    }

    fn apply_site_actions(&mut self) {
        let Some(sites) = &mut self.core.exchange.sites else { return };
        let actions = std::mem::take(&mut sites.actions);
        for action in actions {
            match action {
                Action::HoldOut(member) => {
                    self.core.exchange.set_held_out(&mut self.core.turn, member, true);
                    self.core.exchange.backend_commands.push_back(BackendCommand::CloseIdle(member));
                }
                Action::PutBack(member) => self.readmit(member),
                Action::Probe(member) => {
                    self.core.exchange.backend_commands.push_back(BackendCommand::Probe(member))
                }
                Action::Changed(site, state, why) => {
                    let name = self.core.exchange.sites.as_ref().map(|s| s.name(site).to_owned());
                    match state {
                        State::Suspected { .. } | State::Lost { .. } => {
                            warn!(self.core.turn.log, "site"; "why" => why, "state" => state.name(), "name" => name)
                        }
                        State::Whole | State::Returning { .. } => {
                            info!(self.core.turn.log, "site"; "why" => why, "state" => state.name(), "name" => name)
                        }
                    }
                }
            }
        }
    }

    /// Readmits a db host of a site that is back, unless an operator holds it out by name.
    fn readmit(&mut self, member: MemberId) {
        let by_hand = self.core.discovery.name(member).is_some_and(|id| self.shared.is_held_out(id));
        if !by_hand {
            self.core.exchange.set_held_out(&mut self.core.turn, member, false);
        }
    }

    /// Applies the operators' file after it was reread.
    pub(super) fn replace_sites(&mut self, sites: Option<Sites>) {
        let former = self.core.exchange.sites.take();
        let watched = former.is_some();
        match (sites, former) {
            (Some(mut sites), Some(former)) => {
                sites.take_over(&former);
                self.core.exchange.sites = Some(sites);
            }
            (Some(sites), None) => self.core.exchange.sites = Some(sites),
            (None, Some(former)) => former.out().for_each(|member| self.readmit(member)),
            (None, None) => return,
        }
        self.apply_site_actions();
        if !watched {
            // The new watch of sites knows no db host until it gets a list.
            self.core.exchange.discovery_calls.push_back(DiscoveryCall::Fetch);
            self.check_sites();
        }
    }

    pub(super) fn sites_status(&self) -> Response {
        match &self.core.exchange.sites {
            Some(sites) => Response::new(200, sites.exposition()),
            None => Response::new(404, "no file on sites is given\n"),
        }
    }

    pub(super) fn hold_site(&mut self, name: &str, out: bool) -> Response {
        let Some(sites) = &mut self.core.exchange.sites else {
            return Response::new(404, "no file on sites is given\n");
        };
        if !sites.hold(self.core.turn.now, name, out) {
            return Response::new(404, "no such site\n");
        }
        info!(self.core.turn.log, "site held out or readmitted by an operator"; "out" => out, "name" => name);
        self.apply_site_actions();
        Response::new(200, if out { "held out\n" } else { "let back\n" })
    }
}
