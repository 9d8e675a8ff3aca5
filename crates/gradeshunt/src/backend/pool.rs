//! The pool of idle connections to db hosts, and the closing of connections.

use leadmast::permission::{may_reuse, PooledConnection, ReuseDenial};
use leadmast::{MemberId, Micros};
use slog::debug;

use super::connection::Stage;
use super::Backend;
use crate::deadlines::DeadlineKind;
use crate::ids::ServerId;
use crate::turn::Turn;

impl Backend {
    /// Takes the most recently used idle connection that may be used again out of the pool, and closes those
    /// that may not.
    pub(super) fn lease(&mut self, turn: &mut Turn, member: MemberId) -> Option<ServerId> {
        loop {
            let id = *self.hosts.get(&member)?.idle.last()?;
            let Some(denial) = self.reuse_denial(turn.now, id) else {
                self.take_idle(turn, id);
                return Some(id);
            };
            debug!(turn.log, "pooled connection closed"; "why" => denial.name(), "member" => member.0);
            self.close(turn, id);
        }
    }

    /// Why an idle connection may not be used for another request, or `None` if it may.
    pub(super) fn reuse_denial(&self, now: Micros, id: ServerId) -> Option<ReuseDenial> {
        let s = self.servers.get(&id)?;
        let host = self.hosts.get(&s.member)?;
        let Stage::Idle { until, .. } = s.stage else { return None };
        let pooled = PooledConnection {
            expires_at: until,
            no_unread_input: s.is_quiet(),
            at_current_address: s.addr == host.addr,
            host: host.standing(),
        };
        may_reuse(now, &pooled).err()
    }

    /// Closes a connection whose job has been taken.
    pub(super) fn close(&mut self, turn: &mut Turn, id: ServerId) {
        self.take_idle(turn, id);
        let Some(s) = self.servers.remove(&id) else { return };
        if let Some(host) = self.hosts.get_mut(&s.member) {
            host.servers -= 1;
            match s.stage {
                Stage::Starting { by } => {
                    host.starting -= 1;
                    turn.deadlines.clear(by, DeadlineKind::Server(id));
                }
                Stage::AwaitsReady { by } | Stage::AwaitsClose { by, .. } => {
                    turn.deadlines.clear(by, DeadlineKind::Server(id))
                }
                Stage::Idle { .. } | Stage::Busy { .. } | Stage::Resetting => {}
            }
        }
        match s.stage {
            // An ordinary close would still deliver the kernel's unsent bytes of an abandoned request once
            // the db host reads again.
            Stage::Resetting | Stage::AwaitsClose { .. } => s.polled.abort(turn),
            _ => s.polled.close(turn),
        }
        self.remove_if_gone(s.member);
    }

    /// Takes a connection out of the pool and resets it.
    pub(super) fn reset(&mut self, turn: &mut Turn, id: ServerId) {
        self.take_idle(turn, id);
        if let Some(server) = self.servers.get_mut(&id) {
            server.stage = Stage::Resetting;
        }
        self.close(turn, id);
    }

    /// Takes a connection out of the pool.
    pub(super) fn take_idle(&mut self, turn: &mut Turn, id: ServerId) {
        let Some(s) = self.servers.get(&id) else { return };
        if let (Stage::Idle { until, .. }, Some(host)) = (&s.stage, self.hosts.get_mut(&s.member)) {
            turn.deadlines.clear(*until, DeadlineKind::Server(id));
            host.idle.retain(|i| *i != id);
        }
    }

    pub(super) fn close_idle(&mut self, turn: &mut Turn, member: MemberId) {
        let idle = self.hosts.get(&member).map(|h| h.idle.clone()).unwrap_or_default();
        idle.into_iter().for_each(|id| self.close(turn, id));
    }

    /// Closes the connection that has been idle longest; returns false if none is idle.
    pub fn close_oldest_idle(&mut self, turn: &mut Turn) -> bool {
        let idle = self.servers.iter().filter_map(|(id, s)| match s.stage {
            Stage::Idle { since, .. } => Some((since, *id)),
            Stage::Starting { .. }
            | Stage::Busy { .. }
            | Stage::Resetting
            | Stage::AwaitsClose { .. }
            | Stage::AwaitsReady { .. } => None,
        });
        let oldest = idle.min();
        oldest.into_iter().for_each(|(_, id)| self.close(turn, id));
        oldest.is_some()
    }
}
