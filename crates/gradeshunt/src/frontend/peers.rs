//! Other proxies as clients: who may connect, and what they are told when this proxy leaves.

use std::collections::BTreeSet;

use slog::warn;

use super::closing::CloseReason;
use super::{Frontend, Service};
use crate::ids::SessionId;
use crate::pg::{sqlstate, Writer};
use crate::placing::PEER_USER;
use crate::turn::Turn;

/// The last message to another proxy whose connection is quiet: what it sends from now on is not read.
pub(super) fn leaving() -> Writer {
    Writer::default().error("FATAL", sqlstate::PROXY_LEAVING, "the proxy takes no more requests here", None)
}

impl Frontend {
    /// Proxies of these names may connect from now on. Those that are connected already stay.
    pub fn set_peers(&mut self, names: BTreeSet<String>) {
        self.peer_names = names;
    }

    /// Whether a connection at the address for other proxies is one of theirs, and may stay. Else it gets an error.
    pub(super) fn admit_peer(&mut self, turn: &mut Turn, id: SessionId) -> bool {
        let Some(session) = self.sessions.get(&id) else { return false };
        let name = &session.origin.application_name;
        let known = session.origin.user == PEER_USER && self.peer_names.contains(name);
        let (code, what) = if !known {
            warn!(turn.log, "a stranger at the address for other proxies"; "name" => name);
            (sqlstate::INVALID_AUTHORIZATION, "this address is for the proxies of this group")
        } else if self.service != Service::Running {
            (sqlstate::CANNOT_CONNECT_NOW, "the proxy takes no more requests here")
        } else {
            return true;
        };
        self.close_with(turn, id, Writer::default().error("FATAL", code, what, None), CloseReason::Stranger);
        false
    }
}
