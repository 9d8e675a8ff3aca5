//! Other proxies as clients: which may connect, and the error they get when this proxy stops.

use std::collections::BTreeSet;

use slog::warn;

use super::close_reason::CloseReason;
use super::Frontend;
use crate::ids::SessionId;
use crate::log_limit::ClientLine;
use crate::pg::{sqlstate, Writer};
use crate::placing::PEER_USER;
use crate::turn::Turn;

/// The last message on an idle connection of another proxy; nothing that arrives after it is read.
pub(super) fn stopping_error() -> Writer {
    Writer::default().error("FATAL", sqlstate::PROXY_LEAVING, "the proxy takes no more requests here", None)
}

impl Frontend {
    /// Sets the names of the proxies that may connect. Existing connections are not affected.
    pub fn set_peers(&mut self, names: BTreeSet<String>) {
        self.peer_names = names;
    }

    /// Checks a connection to the listener for other proxies by its startup message. Returns whether it is
    /// admitted; otherwise the connection gets an error and closes.
    pub(super) fn admit_peer(&mut self, turn: &mut Turn, id: SessionId) -> bool {
        let Some(session) = self.sessions.get(&id) else { return false };
        let name = &session.origin.application_name;
        let known = session.origin.user == PEER_USER && self.peer_names.contains(name);
        let (code, what) = if !known {
            if let Some(suppressed) = turn.log_limit.admit(ClientLine::PeerNotAdmitted, turn.now) {
                warn!(turn.log, "refused a connection at the address for other proxies: not one of them";
                    "suppressed" => suppressed, "name" => name);
            }
            (sqlstate::INVALID_AUTHORIZATION, "this address is for the proxies of this group")
        } else if self.drain.is_active() {
            (sqlstate::CANNOT_CONNECT_NOW, "the proxy takes no more requests here")
        } else {
            return true;
        };
        self.close_with(
            turn,
            id,
            Writer::default().error("FATAL", code, what, None),
            CloseReason::PeerNotAdmitted,
        );
        false
    }
}
