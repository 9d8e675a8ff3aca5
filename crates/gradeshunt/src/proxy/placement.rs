//! Placement: the socket for other proxies, changes of the operators' file, and the status that operators
//! see.

use std::net::{SocketAddr, TcpListener};

use gradeshunt_placement::Placement;
use slog::{info, warn};
use socket2::Socket;

use super::Proxy;
use crate::control::Response;
use crate::placing::PlacementRouter;
use crate::turn;

/// Backlog of connections from other proxies.
const BACKLOG: i32 = 1024;

/// Binds the address for other proxies.
fn bind(address: SocketAddr) -> Result<Socket, String> {
    turn::bound_socket(address).map_err(|e| format!("cannot listen for other proxies at {address}: {e}"))
}

impl Proxy {
    /// Takes part in the configured placement, if there is one. Other proxies are refused until this one
    /// serves.
    pub(super) fn open_placement(&mut self) -> Result<(), String> {
        let Some(address) = self.core.exchange.placing.as_ref().and_then(PlacementRouter::own_address) else {
            return Ok(());
        };
        self.peer_socket = Some(bind(address)?);
        self.update_peers();
        Ok(())
    }

    /// Starts serving other proxies, if there is a placement.
    pub(super) fn serve_peers(&mut self) {
        let Some(socket) = self.peer_socket.take() else { return };
        let listening = socket.listen(BACKLOG).map(|()| TcpListener::from(socket));
        let opened =
            listening.and_then(|listener| self.frontend.listen_for_peers(&mut self.core.turn, listener));
        if let Err(e) = opened {
            warn!(self.core.turn.log, "cannot listen for other proxies"; "error" => e.to_string());
        }
    }

    /// Tells the parts about the other proxies in the placement.
    fn update_peers(&mut self) {
        let Some(placing) = &self.core.exchange.placing else { return };
        let (own_name, peers) = (placing.own_name().to_owned(), placing.peers());
        info!(self.core.turn.log, "placement"; "peers" => peers.len(), "is" => placing.summary());
        if placing.needs_restart() {
            warn!(
                self.core.turn.log,
                "placement requires smaller budgets, which take effect at the next start"
            );
        }
        self.frontend.set_peers(placing.group_names());
        self.backend.set_peers(&mut self.core.turn, &mut self.core.exchange, &own_name, &peers);
    }

    /// Applies the operators' file after it was reread. A file that can't be used changes nothing. Without a
    /// file the placement stays in force: the budgets of this process are those of a home, too large for a
    /// proxy that divides them with the whole fleet.
    pub(super) fn replace_placement(&mut self, placement: Option<Placement>) {
        let Some(placement) = placement else {
            if self.core.exchange.placing.is_some() {
                warn!(self.core.turn.log, "placement kept: removing it requires a restart");
            }
            return;
        };
        let own = placement.proxy(placement.own()).and_then(|proxy| proxy.address);
        let former = self.core.exchange.placing.as_ref().and_then(PlacementRouter::own_address);
        let socket = own.filter(|_| own != former).map(bind).transpose();
        let socket = match socket {
            Ok(socket) => socket,
            Err(why) => {
                return warn!(self.core.turn.log, "placement kept, the new one can't be used"; "why" => why)
            }
        };
        match &mut self.core.exchange.placing {
            Some(placing) => placing.replace(placement),
            none => *none = Some(PlacementRouter::new(placement, self.connect_timeout)),
        }
        self.update_peers();
        if let Some(socket) = socket {
            self.peer_socket = Some(socket);
            if self.unserved_listener.is_none() {
                self.serve_peers();
            }
        }
    }

    /// The status that operators see.
    pub(super) fn placement_status(&self) -> Response {
        match &self.core.exchange.placing {
            Some(placing) => Response::new(200, placing.exposition(self.core.turn.now)),
            None => Response::new(404, "no file on placement is given\n"),
        }
    }
}
