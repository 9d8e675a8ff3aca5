//! Placement: the socket for other proxies, the operators' file read anew, what operators are shown.

use std::net::{SocketAddr, TcpListener};

use gradeshunt_placement::Placement;
use slog::{info, warn};
use socket2::Socket;

use super::Proxy;
use crate::control::Response;
use crate::placing::Placing;
use crate::turn;

/// Connections from other proxies that may wait to be accepted.
const BACKLOG: i32 = 1024;

/// Binds the address for other proxies.
fn bind(address: SocketAddr) -> Result<Socket, String> {
    turn::bound_socket(address).map_err(|e| format!("cannot listen for other proxies at {address}: {e}"))
}

impl Proxy {
    /// Takes part in the placement that the configuration brings, if any. Other proxies are refused until this one serves.
    pub(super) fn open_placement(&mut self) -> Result<(), String> {
        let Some(address) = self.core.exchange.placing.as_ref().and_then(Placing::own_address) else {
            return Ok(());
        };
        self.peer_socket = Some(bind(address)?);
        self.use_peers();
        Ok(())
    }

    /// Serves other proxies from now on, where there is a placement.
    pub(super) fn serve_peers(&mut self) {
        let Some(socket) = self.peer_socket.take() else { return };
        let listening = socket.listen(BACKLOG).map(|()| TcpListener::from(socket));
        let opened =
            listening.and_then(|listener| self.frontend.listen_for_peers(&mut self.core.turn, listener));
        if let Err(e) = opened {
            warn!(self.core.turn.log, "cannot listen for other proxies"; "error" => e.to_string());
        }
    }

    /// Connects the parts to what the placement says of the other proxies.
    fn use_peers(&mut self) {
        let Some(placing) = &self.core.exchange.placing else { return };
        let (own_name, peers) = (placing.own_name().to_owned(), placing.peers());
        info!(self.core.turn.log, "placement"; "peers" => peers.len(), "is" => placing.summary());
        if placing.needs_restart() {
            warn!(
                self.core.turn.log,
                "placement asks for smaller budgets, which follow from the next start on"
            );
        }
        self.frontend.set_peers(placing.group_names());
        self.backend.set_peers(&mut self.core.turn, &mut self.core.exchange, &own_name, &peers);
    }

    /// The operators' file was read anew. One that can't be used changes nothing, and none at all leaves the placement in
    /// force: the budgets of this process are those of a home, and too large for a proxy among all.
    pub(super) fn replace_placement(&mut self, placement: Option<Placement>) {
        let Some(placement) = placement else {
            if self.core.exchange.placing.is_some() {
                warn!(self.core.turn.log, "placement kept: it can be left only by a restart");
            }
            return;
        };
        let own = placement.proxy(placement.own()).and_then(|proxy| proxy.address);
        let former = self.core.exchange.placing.as_ref().and_then(Placing::own_address);
        let socket = own.filter(|_| own != former).map(bind).transpose();
        let socket = match socket {
            Ok(socket) => socket,
            Err(why) => {
                return warn!(self.core.turn.log, "placement kept, the new one can't be used"; "why" => why)
            }
        };
        match &mut self.core.exchange.placing {
            Some(placing) => placing.replace(placement),
            none => *none = Some(Placing::new(placement, self.connect_timeout)),
        }
        self.use_peers();
        if let Some(socket) = socket {
            self.peer_socket = Some(socket);
            if self.waiting.is_none() {
                self.serve_peers();
            }
        }
    }

    /// What operators are shown.
    pub(super) fn show_placement(&self) -> Response {
        match &self.core.exchange.placing {
            Some(placing) => Response::new(200, placing.exposition(self.core.turn.now)),
            None => Response::new(404, "no file on placement is given\n"),
        }
    }
}
