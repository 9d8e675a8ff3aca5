//! What every part of the proxy shares during one turn of the loop: the time, the deadlines, the poll, the log.

use std::io::ErrorKind;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::fd::AsFd;
use std::rc::Rc;
use std::time::Duration;

use calloop::generic::Generic;
use calloop::{Interest, LoopHandle, Mode, PostAction, RegistrationToken};
use leadmast::Micros;
use slog::Logger;

use crate::clock::Clock;
use crate::deadlines::Deadlines;
use crate::ids::{CallId, CallerId, ServerId, SessionId};
use crate::ring::made_again;

/// What has become ready.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Source {
    /// The clients' listening socket.
    Listener,
    /// The socket at which other proxies connect.
    PeerListener,
    /// A client's connection.
    Session(SessionId),
    /// A connection to a db host.
    Server(ServerId),
    /// A call to discovery.
    Call(CallId),
    /// The operators' listening socket.
    Control,
    /// An operator's connection.
    Caller(CallerId),
    /// SIGTERM has come.
    Terminate,
    /// SIGHUP has come.
    Reload,
    /// File work is done.
    Files,
}

impl Source {
    /// Its name in the log and the figures.
    pub fn name(self) -> &'static str {
        match self {
            Source::Listener | Source::PeerListener => "listener",
            Source::Session(_) => "client",
            Source::Server(_) => "db host",
            Source::Call(_) => "discovery",
            Source::Control | Source::Caller(_) => "operators",
            Source::Terminate | Source::Reload => "signal",
            Source::Files => "files",
        }
    }
}

/// What the loop's callbacks collect; the turn works it off afterwards, so that nothing is re-entered.
pub type Ready = Vec<Source>;

/// One turn's surroundings.
pub struct Turn {
    pub now: Micros,
    /// How long what is read in this turn may have stood unread, while the loop was busy or had no CPU.
    pub unread: Micros,
    pub clock: Clock,
    pub deadlines: Deadlines,
    pub log: Logger,
    /// Sources that had more to do than a turn gives them: they come first in the next one.
    pub again: Vec<Source>,
    handle: LoopHandle<'static, Ready>,
}

impl Turn {
    pub fn new(handle: LoopHandle<'static, Ready>, log: Logger) -> Self {
        let clock = Clock::start();
        Turn {
            now: clock.now(),
            unread: 0,
            clock,
            deadlines: Deadlines::default(),
            log,
            again: Vec::new(),
            handle,
        }
    }

    /// Polls a socket, edge-triggered: whoever is told has to go on until the socket would block.
    fn watch<S: AsFd + 'static>(&self, socket: &Rc<S>, source: Source) -> std::io::Result<RegistrationToken> {
        let watched = Generic::new(Rc::clone(socket), Interest::BOTH, Mode::Edge);
        let token = self.handle.insert_source(watched, move |_, _, ready: &mut Ready| {
            ready.push(source);
            Ok(PostAction::Continue)
        });
        token.map_err(|e| std::io::Error::other(e.error))
    }
}

/// A socket that listens at an address.
pub fn listener(addr: SocketAddr) -> std::io::Result<TcpListener> {
    use socket2::{Domain, Protocol, Socket, Type};
    let socket = Socket::new(Domain::for_address(addr), Type::STREAM, Some(Protocol::TCP))?;
    socket.set_reuse_address(true)?;
    socket.set_nonblocking(true)?;
    socket.bind(&addr.into())?;
    socket.listen(1024)?;
    Ok(socket.into())
}

/// A socket that is bound to an address and does not listen yet: whoever connects is refused. Another process of the same
/// proxy may hold the address as well, during an upgrade.
pub fn bound(addr: SocketAddr) -> std::io::Result<socket2::Socket> {
    use socket2::{Domain, Protocol, Socket, Type};
    let socket = Socket::new(Domain::for_address(addr), Type::STREAM, Some(Protocol::TCP))?;
    socket.set_reuse_address(true)?;
    socket.set_reuse_port(true)?;
    socket.set_nonblocking(true)?;
    socket.bind(&addr.into())?;
    Ok(socket)
}

/// A listening socket that the platform holds and this process has inherited. A descriptor by its number alone is
/// nobody's, so safe code can't take it: this asks the system for another one of the same socket.
pub fn inherited(fd: i32) -> std::io::Result<TcpListener> {
    use rustix::process::{getpid, pidfd_getfd, pidfd_open, PidfdFlags, PidfdGetfdFlags};
    let own = pidfd_open(getpid(), PidfdFlags::empty())?;
    let listener = TcpListener::from(pidfd_getfd(own, fd, PidfdGetfdFlags::empty())?);
    listener.set_nonblocking(true)?;
    Ok(listener)
}

/// A socket that the loop polls, until [`Polled::close`].
pub struct Polled<S = TcpStream> {
    pub socket: Rc<S>,
    token: RegistrationToken,
}

impl<S: AsFd + 'static> Polled<S> {
    pub fn new(turn: &Turn, socket: S, source: Source) -> std::io::Result<Self> {
        let socket = Rc::new(socket);
        let token = turn.watch(&socket, source)?;
        Ok(Polled { socket, token })
    }

    pub fn close(self, turn: &Turn) {
        turn.handle.remove(self.token);
    }
}

impl Polled {
    /// Whether nothing stands unread: no bytes, no end, no error.
    pub fn is_quiet(&self) -> bool {
        let peeked = made_again(|| self.socket.peek(&mut [0]));
        matches!(peeked, Err(e) if e.kind() == std::io::ErrorKind::WouldBlock)
    }

    /// Whether the system holds bytes that it has not sent yet, as far as it can tell: it then takes no more once it is asked to hold
    /// nothing unsent. Where it can't be asked, it passes for holding none.
    pub fn holds_unsent(&self) -> bool {
        use rustix::event::{poll, PollFd, PollFlags};
        use rustix::io::retry_on_intr;
        let socket = socket2::SockRef::from(&*self.socket);
        if socket.set_tcp_notsent_lowat(NOTHING_UNSENT).is_err() {
            return false;
        }
        let mut fds = [PollFd::new(&*self.socket, PollFlags::OUT)];
        let now = rustix::event::Timespec { tv_sec: 0, tv_nsec: 0 };
        let writable = retry_on_intr(|| poll(&mut fds, Some(&now)));
        let _ = socket.set_tcp_notsent_lowat(SYSTEM_DEFAULT);
        writable == Ok(0)
    }

    /// Whether the peer has ended its sending, or the connection is broken, whatever stands unread before that.
    pub fn has_hung_up(&self) -> bool {
        use rustix::event::{poll, PollFd, PollFlags};
        use rustix::io::retry_on_intr;
        let mut fds = [PollFd::new(&*self.socket, PollFlags::RDHUP)];
        let now = rustix::event::Timespec { tv_sec: 0, tv_nsec: 0 };
        let ended = PollFlags::RDHUP | PollFlags::HUP | PollFlags::ERR;
        let polled = retry_on_intr(|| poll(&mut fds, Some(&now)));
        polled.is_ok_and(|n| n > 0) && fds[0].revents().intersects(ended)
    }

    /// Closes the connection with a reset: what the system holds of it is not delivered any more, as it would be after a close.
    pub fn abort(self, turn: &Turn) {
        // Where the system can't, it is a close like any other.
        let _ = socket2::SockRef::from(&*self.socket).set_linger(Some(Duration::ZERO));
        self.close(turn);
    }

    /// Bounds what the system holds of what is written, where it can.
    pub fn hold_little(&self, bytes: usize) {
        let _ = socket2::SockRef::from(&*self.socket).set_send_buffer_size(bytes);
    }

    /// Starts a connection that comes up later.
    pub fn connect(turn: &Turn, to: SocketAddr, source: Source) -> std::io::Result<Self> {
        use socket2::{Domain, Protocol, Socket, Type};
        let socket = Socket::new(Domain::for_address(to), Type::STREAM, Some(Protocol::TCP))?;
        socket.set_nonblocking(true)?;
        socket.set_tcp_nodelay(true)?;
        match socket.connect(&to.into()) {
            // An interrupted call leaves the connection coming up, like one that does not wait for it.
            Err(e) if e.raw_os_error() != Some(EINPROGRESS) && e.kind() != ErrorKind::Interrupted => {
                return Err(e)
            }
            _ => {}
        }
        Polled::new(turn, socket.into(), source)
    }
}

/// Values of TCP_NOTSENT_LOWAT: writable only once nothing is unsent, and as the system has it.
const NOTHING_UNSENT: u32 = 1;
const SYSTEM_DEFAULT: u32 = 0;

/// Linux's number for a connection under way, which the standard library gives no stable name.
const EINPROGRESS: i32 = 115;
