//! What file work has shown: bans on db hosts, the other process of this proxy, the configuration read anew.

use slog::{info, warn};

use super::Proxy;
use crate::config::{Config, ConfigError};
use crate::control::Response;
use crate::shared::{Change, Duty};

impl Proxy {
    /// Takes what the thread for file work has done.
    pub(super) fn file_work_done(&mut self) {
        while let Some(done) = self.worker.done() {
            let changes = self.shared.done(self.core.turn.now, done);
            changes.into_iter().for_each(|c| self.change(c));
        }
    }

    /// Follows what file work has shown.
    pub(super) fn change(&mut self, change: Change) {
        match change {
            Change::Unusable(why) => self.failed = Some(why),
            Change::Seen => {
                self.begin();
                // It may have begun without this, and be alone after all.
                if self.shared.is_alone() {
                    self.serve();
                }
            }
            Change::Ban { id, out } => self.maintain(&id, out),
            Change::Other { anew } => {
                if anew {
                    let duty = self.shared.other().map(Duty::name);
                    info!(self.core.turn.log, "other process of this proxy"; "duty" => duty);
                }
                self.share_limits();
                self.hand_over();
            }
            Change::Kept { caller, out, kept } => {
                let answer = match kept {
                    Ok(()) => Response::new(200, if out { "held out\n" } else { "readmitted\n" }),
                    Err(e) => {
                        warn!(self.core.turn.log, "cannot keep what an operator says"; "error" => e);
                        Response::new(500, "cannot be kept\n")
                    }
                };
                self.answer(caller, &answer);
            }
            Change::Reread(config) => self.reload(config),
            Change::Complain { what, why } => warn!(self.core.turn.log, "{}", what; "error" => why),
        }
    }

    /// Rereads the configuration after SIGHUP. What is under way is left alone, and so is everything where the
    /// new file can't be used: an operator's slip must not cost more than a line in the log.
    fn reload(&mut self, config: Result<Box<Config>, ConfigError>) {
        match config {
            Ok(config) => {
                info!(self.core.turn.log, "configuration reread"; "discovery" => config.discovery.to_string());
                self.frontend.set_rules(config.rules);
                self.replace_sites(config.sites);
                self.replace_placement(config.placement);
                self.core.set_discovery(config.discovery, config.silence);
            }
            Err(why) => {
                warn!(self.core.turn.log, "configuration kept, the new one can't be used";
                    "again" => why.is_transient, "why" => why.to_string())
            }
        }
    }
}
