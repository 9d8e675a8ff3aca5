//! The context that all parts of the proxy share during one turn of the event loop: time, deadlines, poll and
//! log.

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
use crate::log_limit::LogLimit;
use crate::ready_queue::ReadyQueue;
use crate::ring::retry_interrupted;
use crate::work_times::WorkTimes;

/// An event source.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum EventSource {
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
    /// SIGTERM arrived.
    Terminate,
    /// SIGHUP arrived.
    Reload,
    /// A background file operation is done.
    FileTask,
}

impl EventSource {
    /// The kind of source, as the log and the metrics name it.
    pub fn name(self) -> &'static str {
        match self {
            EventSource::Listener | EventSource::PeerListener => "listener",
            EventSource::Session(_) => "client",
            EventSource::Server(_) => "db host",
            EventSource::Call(_) => "discovery",
            EventSource::Control | EventSource::Caller(_) => "operators",
            EventSource::Terminate | EventSource::Reload => "signal",
            EventSource::FileTask => "files",
        }
    }
}

/// The ready sources that the poll's callbacks collect. The turn processes them afterwards, so that no part
/// is re-entered.
pub type ReadySources = Vec<EventSource>;

/// The shared context of a turn.
pub struct Turn {
    /// The time at which the source or deadline in progress started.
    pub now: Micros,
    /// How long the work of the source in progress may have been waiting, such as bytes in its socket, while
    /// the loop was busy or had no CPU.
    pub unread_for: Micros,
    pub clock: Clock,
    pub deadlines: Deadlines,
    pub log: Logger,
    /// Sources that wait for their share of a turn.
    pub ready: ReadyQueue,
    /// What this turn's time goes to.
    pub work: WorkTimes,
    /// Limits the log lines that clients can cause.
    pub log_limit: LogLimit,
    handle: LoopHandle<'static, ReadySources>,
}

impl Turn {
    pub fn new(handle: LoopHandle<'static, ReadySources>, log: Logger) -> Self {
        let clock = Clock::start();
        let now = clock.now();
        Turn {
            now,
            unread_for: 0,
            clock,
            deadlines: Deadlines::default(),
            log,
            ready: ReadyQueue::default(),
            work: WorkTimes::new(now),
            log_limit: LogLimit::default(),
            handle,
        }
    }

    /// Has a source processed in the next turn, or in a later phase of this one: it has more work than a share
    /// allows, or work that the poll does not report.
    pub fn defer(&mut self, source: EventSource) {
        self.ready.push(source, self.now);
    }

    /// Registers a socket with the poll, edge-triggered: a part must use a ready socket until it would block.
    fn register<S: AsFd + 'static>(
        &self,
        socket: &Rc<S>,
        source: EventSource,
    ) -> std::io::Result<RegistrationToken> {
        let watched = Generic::new(Rc::clone(socket), Interest::BOTH, Mode::Edge);
        let token = self.handle.insert_source(watched, move |_, _, ready: &mut ReadySources| {
            ready.push(source);
            Ok(PostAction::Continue)
        });
        token.map_err(|e| std::io::Error::other(e.error))
    }
}

/// Opens a listening socket at an address.
pub fn listening_socket(addr: SocketAddr) -> std::io::Result<TcpListener> {
    use socket2::{Domain, Protocol, Socket, Type};
    let socket = Socket::new(Domain::for_address(addr), Type::STREAM, Some(Protocol::TCP))?;
    socket.set_reuse_address(true)?;
    socket.set_nonblocking(true)?;
    socket.bind(&addr.into())?;
    socket.listen(1024)?;
    Ok(socket.into())
}

/// Binds a socket to an address without listening, so that connections are refused. During an upgrade another
/// process of the same proxy may be bound to the address as well.
pub fn bound_socket(addr: SocketAddr) -> std::io::Result<socket2::Socket> {
    use socket2::{Domain, Protocol, Socket, Type};
    let socket = Socket::new(Domain::for_address(addr), Type::STREAM, Some(Protocol::TCP))?;
    socket.set_reuse_address(true)?;
    socket.set_reuse_port(true)?;
    socket.set_nonblocking(true)?;
    socket.bind(&addr.into())?;
    Ok(socket)
}

/// Returns a listening socket that this process inherited from the platform. Safe code can't take ownership
/// of a descriptor by its number, so this asks the system for a duplicate.
pub fn inherited_listener(fd: i32) -> std::io::Result<TcpListener> {
    use rustix::process::{getpid, pidfd_getfd, pidfd_open, PidfdFlags, PidfdGetfdFlags};
    let own = pidfd_open(getpid(), PidfdFlags::empty())?;
    let listener = TcpListener::from(pidfd_getfd(own, fd, PidfdGetfdFlags::empty())?);
    listener.set_nonblocking(true)?;
    Ok(listener)
}

/// A socket that is registered with the poll until [`Polled::close`].
pub struct Polled<S = TcpStream> {
    pub socket: Rc<S>,
    token: RegistrationToken,
}

impl<S: AsFd + 'static> Polled<S> {
    pub fn new(turn: &Turn, socket: S, source: EventSource) -> std::io::Result<Self> {
        let socket = Rc::new(socket);
        let token = turn.register(&socket, source)?;
        Ok(Polled { socket, token })
    }

    pub fn close(self, turn: &Turn) {
        turn.handle.remove(self.token);
    }
}

impl Polled {
    /// Whether nothing is unread: no bytes, no end of stream, no error.
    pub fn is_quiet(&self) -> bool {
        let peeked = retry_interrupted(|| self.socket.peek(&mut [0]));
        matches!(peeked, Err(e) if e.kind() == std::io::ErrorKind::WouldBlock)
    }

    /// Whether the system holds bytes that it has not sent yet: with the low-water mark at its minimum the
    /// socket is then not writable. Returns false if the mark can't be set.
    pub fn has_unsent_bytes(&self) -> bool {
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

    /// Whether the peer has shut down its sending side or the connection is broken, even if bytes before that
    /// are unread.
    pub fn has_hung_up(&self) -> bool {
        use rustix::event::{poll, PollFd, PollFlags};
        use rustix::io::retry_on_intr;
        let mut fds = [PollFd::new(&*self.socket, PollFlags::RDHUP)];
        let now = rustix::event::Timespec { tv_sec: 0, tv_nsec: 0 };
        let ended = PollFlags::RDHUP | PollFlags::HUP | PollFlags::ERR;
        let polled = retry_on_intr(|| poll(&mut fds, Some(&now)));
        polled.is_ok_and(|n| n > 0) && fds[0].revents().intersects(ended)
    }

    /// Closes the connection with a reset, so that the system discards unsent bytes instead of delivering
    /// them.
    pub fn abort(self, turn: &Turn) {
        // If the option can't be set, this is an ordinary close.
        let _ = socket2::SockRef::from(&*self.socket).set_linger(Some(Duration::ZERO));
        self.close(turn);
    }

    /// Sets the size of the socket's send buffer, if the system allows it.
    pub fn limit_send_buffer(&self, bytes: usize) {
        let _ = socket2::SockRef::from(&*self.socket).set_send_buffer_size(bytes);
    }

    /// Starts a non-blocking connect; the poll reports when the connection is established.
    pub fn connect(turn: &Turn, to: SocketAddr, source: EventSource) -> std::io::Result<Self> {
        use socket2::{Domain, Protocol, Socket, Type};
        let socket = Socket::new(Domain::for_address(to), Type::STREAM, Some(Protocol::TCP))?;
        socket.set_nonblocking(true)?;
        socket.set_tcp_nodelay(true)?;
        match socket.connect(&to.into()) {
            // After an interrupted call the connect continues, as after EINPROGRESS.
            Err(e) if e.raw_os_error() != Some(EINPROGRESS) && e.kind() != ErrorKind::Interrupted => {
                return Err(e)
            }
            _ => {}
        }
        Polled::new(turn, socket.into(), source)
    }
}

/// Values of TCP_NOTSENT_LOWAT: writable only if nothing is unsent, and the system's default.
const NOTHING_UNSENT: u32 = 1;
const SYSTEM_DEFAULT: u32 = 0;

/// The error number on Linux for a connect in progress; the standard library has no stable name for it.
const EINPROGRESS: i32 = 115;
