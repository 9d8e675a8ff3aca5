//! The listeners: clients and other proxies are accepted here, until they close.

use std::io;
use std::net::{TcpListener, TcpStream};

use gradeshunt_placement::Source;
use leadmast::Micros;
use slog::warn;

use super::closing::CloseReason;
use super::session::{Session, Stage, MESSAGE_TIMEOUT};
use super::{Frontend, Service};
use crate::accept_failure::AcceptFailure;
use crate::deadlines::Due;
use crate::exchange::Exchange;
use crate::ids::SessionId;
use crate::inbound::Inbound;
use crate::pg::{sqlstate, Writer};
use crate::ring::Ring;
use crate::routing::Origin;
use crate::turn::{Polled, Source as Polling, Turn};

/// Connections accepted in one turn.
const ACCEPTS_PER_TURN: usize = 64;

/// Pause after connections could not be accepted.
const ACCEPT_RETRY: Micros = 20_000;

/// What is left of the connections that the kernel has accepted for us.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Backlog {
    Empty,
    /// More may be waiting.
    More,
    /// The system gives no descriptor for the next one.
    Stuck,
}

impl Frontend {
    /// Accepts clients from now on.
    pub fn open(&mut self, turn: &mut Turn, listener: TcpListener) -> io::Result<()> {
        self.listener = Some(Polled::new(turn, listener, Polling::Listener)?);
        // What came before the socket was polled is told to nobody.
        turn.again.push(Polling::Listener);
        Ok(())
    }

    /// Accepts other proxies from now on, and nowhere else.
    pub fn listen_for_peers(&mut self, turn: &mut Turn, listener: TcpListener) -> io::Result<()> {
        let polled = Polled::new(turn, listener, Polling::PeerListener)?;
        if let Some(former) = self.peer_listener.replace(polled) {
            former.close(turn);
        }
        turn.again.push(Polling::PeerListener);
        Ok(())
    }

    pub fn accept(&mut self, turn: &mut Turn) {
        if self.accept_some(turn, Source::Client) == Backlog::More {
            turn.again.push(Polling::Listener);
        }
    }

    /// Accepts connections of other proxies.
    pub fn accept_peers(&mut self, turn: &mut Turn) {
        if self.accept_some(turn, Source::Proxy) == Backlog::More {
            turn.again.push(Polling::PeerListener);
        }
    }

    fn accept_some(&mut self, turn: &mut Turn, from: Source) -> Backlog {
        for _ in 0..ACCEPTS_PER_TURN {
            let (listener, again) = match from {
                Source::Client => (&self.listener, Due::Accept),
                Source::Proxy => (&self.peer_listener, Due::AcceptPeers),
            };
            let Some(listener) = listener else { return Backlog::Empty };
            let backlog = usize::from(from == Source::Proxy);
            match listener.socket.accept() {
                Ok((socket, _)) => {
                    if let Err(e) = self.accept_session(turn, socket, from) {
                        warn!(turn.log, "cannot serve a connection"; "error" => e.to_string());
                    }
                }
                Err(e) => match AcceptFailure::from_error(&e) {
                    AcceptFailure::NoneWaiting => {
                        self.backlog_since[backlog] = None;
                        return Backlog::Empty;
                    }
                    AcceptFailure::BrokenConnection => {}
                    failure => {
                        // The listener stays readable, so it is tried again only after a pause.
                        warn!(turn.log, "cannot accept connections"; "error" => e.to_string());
                        if failure == AcceptFailure::OutOfDescriptors {
                            self.evict_one(turn);
                        }
                        // What waits has waited since now, for all that is known.
                        self.backlog_since[backlog].get_or_insert(turn.now - turn.unread);
                        turn.deadlines.set(turn.now + ACCEPT_RETRY, again);
                        return Backlog::Stuck;
                    }
                },
            }
        }
        Backlog::More
    }

    pub(super) fn accept_session(
        &mut self,
        turn: &mut Turn,
        socket: TcpStream,
        source: Source,
    ) -> io::Result<()> {
        socket.set_nonblocking(true)?;
        socket.set_nodelay(true)?;
        let id = SessionId(self.next);
        self.next += 1;
        let full = self.sessions.len() >= self.most && !self.evict_one(turn);
        let polled = Polled::new(turn, socket, Polling::Session(id))?;
        let session = Session {
            polled,
            inbound: Inbound::default(),
            outbound: Ring::default(),
            stage: Stage::Startup,
            source,
            leaves_unread: false,
            skipping: false,
            ended: false,
            asked: false,
            since: turn.now,
            waited_since: self.backlog_since[usize::from(source == Source::Proxy)],
            due: None,
            origin: Origin::default(),
            writing: false,
            wrote: None,
        };
        self.sessions.insert(id, session);
        self.set_due(turn, id, Some(turn.now + MESSAGE_TIMEOUT));
        if full {
            warn!(turn.log, "too many clients, turning one away"; "clients" => self.sessions.len());
            let error =
                Writer::default().error("FATAL", sqlstate::TOO_MANY_CONNECTIONS, "too many clients", None);
            self.close_with(turn, id, error, CloseReason::Full);
        }
        Ok(())
    }

    /// Stops accepting after SIGTERM, and begins to close clients between requests. What waits on the socket is a
    /// successor's where there is one; it is the same socket, and must not be shut down.
    pub fn close_listener(&mut self, turn: &mut Turn, exchange: &mut Exchange, succeeded: bool) {
        // Connections that the kernel has accepted count as the proxy's.
        let backlog = std::iter::repeat_with(|| {
            if succeeded {
                Backlog::Empty
            } else {
                self.accept_some(turn, Source::Client)
            }
        })
        .find(|b| *b != Backlog::More);
        if backlog == Some(Backlog::Stuck) {
            // They would be reset with the socket: clients that leave make room for them.
            turn.deadlines.set(turn.now + ACCEPT_RETRY, Due::CloseListener);
        } else if let Some(listener) = self.listener.take() {
            listener.close(turn);
        }
        // Other proxies take a refused connection for a home that has gone, and go to the next one.
        if let Some(listener) = self.peer_listener.take() {
            listener.close(turn);
        }
        self.drain(turn, exchange, Service::Closing);
    }
}
