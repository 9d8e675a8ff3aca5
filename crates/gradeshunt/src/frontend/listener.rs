//! The listeners for clients and for other proxies: opening, accepting connections, closing.

use std::io;
use std::net::{TcpListener, TcpStream};

use gradeshunt_placement::Source;
use leadmast::Micros;
use slog::warn;

use super::close_reason::CloseReason;
use super::session::{Session, Stage, MESSAGE_TIMEOUT};
use super::Frontend;
use crate::accept_failure::AcceptFailure;
use crate::deadlines::DeadlineKind;
use crate::ids::SessionId;
use crate::inbound::InputBuffer;
use crate::log_limit::ClientLine;
use crate::pg::{sqlstate, Writer};
use crate::ready_queue::Phase;
use crate::ring::Ring;
use crate::routing::Origin;
use crate::turn::{EventSource, Polled, Turn};

/// Maximum number of connections accepted from one listener in one turn.
const ACCEPTS_PER_TURN: usize = 64;
/// After this time no further connection is accepted in one turn: where the proxy is full, each costs a search
/// for a client to close.
const ACCEPT_TIME: Micros = 2_000;

/// While more clients than this wait for their share of a turn, further connections wait in the listen backlog.
const MAX_WAITING_CLIENTS: usize = 64;

/// Pause after a failed accept.
const ACCEPT_RETRY: Micros = 20_000;

/// State of a listener's backlog after accepting.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Backlog {
    Empty,
    /// More may be waiting.
    More,
    /// Accepting the next connection failed, for example for want of a descriptor.
    Failed,
}

/// The index of a listener in [`Frontend::backlog_since`].
fn backlog_index(listener: Source) -> usize {
    usize::from(listener == Source::Proxy)
}

impl Frontend {
    /// Starts to accept clients.
    pub fn listen_for_clients(&mut self, turn: &mut Turn, listener: TcpListener) -> io::Result<()> {
        self.listener = Some(Polled::new(turn, listener, EventSource::Listener)?);
        // The poll is edge-triggered and does not report connections that arrived before the registration.
        turn.defer(EventSource::Listener);
        Ok(())
    }

    /// Starts to accept other proxies at this listener, which replaces the former one.
    pub fn listen_for_peers(&mut self, turn: &mut Turn, listener: TcpListener) -> io::Result<()> {
        let polled = Polled::new(turn, listener, EventSource::PeerListener)?;
        if let Some(former) = self.peer_listener.replace(polled) {
            former.close(turn);
        }
        turn.defer(EventSource::PeerListener);
        Ok(())
    }

    /// Accepts connections of clients, unless the clients that are connected wait for their shares already:
    /// connections that are accepted faster than they are served would fill the proxy and delay all others.
    pub fn accept(&mut self, turn: &mut Turn) {
        if turn.ready.len(Phase::Clients) > MAX_WAITING_CLIENTS {
            self.backlog_since[backlog_index(Source::Client)].get_or_insert(turn.now - turn.unread_for);
            return turn.defer(EventSource::Listener);
        }
        if self.accept_from(turn, Source::Client) == Backlog::More {
            turn.defer(EventSource::Listener);
        }
    }

    /// Accepts connections of other proxies.
    pub fn accept_peers(&mut self, turn: &mut Turn) {
        if self.accept_from(turn, Source::Proxy) == Backlog::More {
            turn.defer(EventSource::PeerListener);
        }
    }

    /// Accepts a limited number of connections from one of the listeners.
    fn accept_from(&mut self, turn: &mut Turn, from: Source) -> Backlog {
        let until = turn.clock.now() + ACCEPT_TIME;
        for accepted in 0..ACCEPTS_PER_TURN {
            if accepted > 0 && turn.clock.now() > until {
                break;
            }
            let (listener, retry) = match from {
                Source::Client => (&self.listener, DeadlineKind::RetryAccept),
                Source::Proxy => (&self.peer_listener, DeadlineKind::RetryAcceptPeers),
            };
            let Some(listener) = listener else { return Backlog::Empty };
            let backlog = backlog_index(from);
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
                        // The next accept would fail likewise, so the listener is tried again only after a
                        // pause.
                        warn!(turn.log, "cannot accept connections"; "error" => e.to_string());
                        if failure == AcceptFailure::OutOfDescriptors {
                            self.evict_one(turn);
                        }
                        // As far as is known, the waiting connections have been waiting since this turn's
                        // input may have arrived.
                        self.backlog_since[backlog].get_or_insert(turn.now - turn.unread_for);
                        turn.deadlines.set(turn.now + ACCEPT_RETRY, retry);
                        return Backlog::Failed;
                    }
                },
            }
        }
        Backlog::More
    }

    /// Starts a session on an accepted connection. If the proxy is full, closes another client, or else this
    /// one.
    pub(super) fn accept_session(
        &mut self,
        turn: &mut Turn,
        socket: TcpStream,
        source: Source,
    ) -> io::Result<()> {
        socket.set_nonblocking(true)?;
        socket.set_nodelay(true)?;
        let id = SessionId(self.next_session);
        self.next_session += 1;
        let full = self.sessions.len() >= self.max_clients && !self.evict_one(turn);
        let polled = Polled::new(turn, socket, EventSource::Session(id))?;
        let session = Session {
            polled,
            inbound: InputBuffer::default(),
            outbound: Ring::default(),
            stage: Stage::Startup,
            source,
            leaves_unread: false,
            skips_until_sync: false,
            disconnected: false,
            has_sent_query: false,
            accepted_at: turn.now,
            last_active: turn.now,
            delivery_until: None,
            backlogged_since: self.backlog_since[backlog_index(source)],
            deadline: None,
            origin: Origin::default(),
            may_write: false,
            last_write: None,
        };
        self.sessions.insert(id, session);
        self.set_deadline(turn, id, Some(turn.now + MESSAGE_TIMEOUT));
        if full {
            if let Some(suppressed) = turn.log_limit.admit(ClientLine::TooManyClients, turn.now) {
                warn!(turn.log, "too many clients, turning one away"; "suppressed" => suppressed,
                    "clients" => self.sessions.len());
            }
            let error =
                Writer::default().error("FATAL", sqlstate::TOO_MANY_CONNECTIONS, "too many clients", None);
            self.close_with(turn, id, error, CloseReason::TooManyClients);
        }
        Ok(())
    }

    /// Stops accepting after SIGTERM and starts to close clients between requests. If another process has
    /// taken over (`has_successor`), connections in the backlog are left to it; the two share the socket, so
    /// it must not be shut down.
    pub fn close_listener(&mut self, turn: &mut Turn, has_successor: bool) {
        // Without a successor, connections that the kernel has already accepted are still served.
        let backlog = if has_successor { Backlog::Empty } else { self.accept_from(turn, Source::Client) };
        match backlog {
            Backlog::More => turn.deadlines.set(turn.now, DeadlineKind::CloseListener),
            // Closing the socket would reset the waiting connections. Clients that disconnect make room for
            // them, so the close is retried later.
            Backlog::Failed => turn.deadlines.set(turn.now + ACCEPT_RETRY, DeadlineKind::CloseListener),
            Backlog::Empty => self.listener.take().into_iter().for_each(|listener| listener.close(turn)),
        }
        // Other proxies treat a refused connection as a home that is gone, and use the next one.
        if let Some(listener) = self.peer_listener.take() {
            listener.close(turn);
        }
        self.start_closing(turn);
    }
}
