//! Reactions to file work: db hosts held out by an operator, the other process of this proxy, a configuration
//! read again.

use slog::{info, warn};

use super::Proxy;
use crate::config::{Config, ConfigError};
use crate::control::Response;
use crate::shared::{Change, ProcessState};

impl Proxy {
    /// Takes over the work that the thread for file work has completed.
    pub(super) fn collect_file_work(&mut self) {
        while let Some(done) = self.worker.done() {
            let changes = self.shared.complete(self.core.turn.now, done);
            changes.into_iter().for_each(|c| self.apply_change(c));
        }
    }

    /// Applies a change that file work has shown.
    pub(super) fn apply_change(&mut self, change: Change) {
        match change {
            Change::Unusable(why) => self.fatal_error = Some(why),
            Change::FirstScan => {
                self.begin();
                // The proxy may have begun before the folder was read, and turn out to be alone.
                if self.shared.is_alone() {
                    self.serve();
                }
            }
            Change::HoldOut { id, out } => self.apply_hold_out(&id, out),
            Change::OtherProcess { is_new } => {
                if is_new {
                    let duty = self.shared.other_process().map(ProcessState::name);
                    info!(self.core.turn.log, "other process of this proxy"; "duty" => duty);
                }
                self.apply_limits();
                self.hand_over();
            }
            Change::HoldOutStored { caller, out, stored } => {
                let answer = match stored {
                    Ok(()) => Response::new(200, if out { "held out\n" } else { "readmitted\n" }),
                    Err(e) => {
                        warn!(self.core.turn.log, "cannot store an operator's order"; "error" => e);
                        Response::new(500, "cannot be kept\n")
                    }
                };
                self.answer_operator(caller, &answer);
            }
            Change::Reread(config) => self.reload(config),
            Change::Warning { what, why } => warn!(self.core.turn.log, "{}", what; "error" => why),
        }
    }

    /// Applies the configuration that was reread after SIGHUP. Requests under way are left alone. If the new
    /// file can't be used, nothing changes: an operator's mistake must not cost more than a line in the log.
    fn reload(&mut self, config: Result<Box<Config>, ConfigError>) {
        match config {
            Ok(config) => {
                info!(self.core.turn.log, "configuration reread"; "discovery" => config.discovery.to_string());
                self.frontend.set_rules(config.rules);
                self.replace_sites(config.sites);
                self.replace_placement(config.placement);
                self.core.set_discovery(config.discovery, config.watch_silence);
            }
            Err(why) => {
                warn!(self.core.turn.log, "configuration kept, the new one can't be used";
                    "again" => why.is_transient, "why" => why.to_string())
            }
        }
    }
}
