//! Discovery for thousands of proxies: one thread serves all calls and watches, and a list or a change is encoded once
//! for all that are sent it. What it sends is counted by kind, and all watches can be cut at once.
//!
//! The protocol is that of [`crate::discovery`]: the whole list over HTTP/1.1, and a watch that is sent changes, a line
//! each, and an empty line every 2 s in which nothing changes.

mod catalogue;
mod connection;

use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::fd::OwnedFd;
use std::sync::mpsc::{channel, Receiver, Sender};
use std::sync::{Arc, Condvar, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use rustix::event::{epoll, eventfd, EventfdFlags, Timespec};
use serde_json::Value;

use crate::lock;
use catalogue::Catalogue;
use connection::{Asked, Connection, Kind, Message};

/// An idle watch is sent an empty line so often.
const BEAT: Duration = Duration::from_secs(2);
/// Connections that may wait to be accepted.
const BACKLOG: i32 = 4096;
/// Events taken from the poll at a time.
const EVENTS: usize = 1024;
/// Calls whose times are noted without more memory, so that what watches hold can be told from it.
const CALLS: usize = 16_384;
/// Names of the sources in the poll that are no connection.
const LISTENER: u64 = 0;
const COMMANDS: u64 = 1;

/// What a watch is sent first where the version that it asks for is not the latest, or is one that is kept.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum First {
    /// The whole list, always.
    Whole,
    /// What has changed after that version, where the service knows it; the protocol allows for both.
    Changes,
}

/// What the service has done since it was opened.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Calls answered: watches and fetches.
    pub calls: u64,
    /// When each of them was answered, since the service was opened.
    pub calls_at: Vec<Duration>,
    /// Watches that stand now.
    pub watches: u64,
    /// Whole lists sent, and their bytes with the chunks' frames.
    pub lists: u64,
    /// See [`Counts::lists`].
    pub list_bytes: u64,
    /// Objects sent that hold changes, and their bytes with the chunks' frames.
    pub changes: u64,
    /// See [`Counts::changes`].
    pub change_bytes: u64,
    /// Empty lines sent, and their bytes with the chunks' frames.
    pub beats: u64,
    /// See [`Counts::beats`].
    pub beat_bytes: u64,
    /// Bytes that the sockets have taken, heads of answers among them; told with the next round.
    pub written: u64,
}

enum Command {
    /// These entries take the place of those of their names.
    Change(Vec<Value>),
    /// Every connection is closed.
    Cut,
    Stop,
}

struct Told {
    counts: Mutex<Counts>,
    changed: Condvar,
}

/// The running service; it ends when this is dropped.
pub struct Watches {
    addr: SocketAddr,
    commands: Sender<Command>,
    wake: Arc<OwnedFd>,
    told: Arc<Told>,
    /// The number of the service's thread with the system.
    thread_id: i32,
    thread: Option<thread::JoinHandle<()>>,
}

impl Watches {
    /// Listens at a port of 127.0.0.1 that the system gives, with these entries as the list of version 1.
    pub fn open(entries: Vec<Value>, first: First) -> io::Result<Watches> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        rustix::net::listen(&listener, BACKLOG)?;
        listener.set_nonblocking(true)?;
        let addr = listener.local_addr()?;
        let (commands, received) = channel();
        let wake = Arc::new(eventfd(0, EventfdFlags::CLOEXEC | EventfdFlags::NONBLOCK)?);
        let counts = Counts { calls_at: Vec::with_capacity(CALLS), ..Counts::default() };
        let told = Arc::new(Told { counts: Mutex::new(counts), changed: Condvar::new() });
        let service = Service::new(listener, received, &wake, &told, Catalogue::new(entries, first))?;
        let (tell_id, thread_id) = channel();
        let serve = move || {
            // Whoever opened the service waits for this.
            let _ = tell_id.send(rustix::thread::gettid().as_raw_nonzero().get());
            service.run();
        };
        let thread = thread::Builder::new().name("watches".to_owned()).spawn(serve)?;
        let thread_id = thread_id.recv().map_err(io::Error::other)?;
        Ok(Watches { addr, commands, wake, told, thread_id, thread: Some(thread) })
    }

    /// Where it listens.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Makes a new version of the list, in which these entries take the place of those of their names, and sends them to
    /// every watch as one object.
    pub fn change(&self, entries: Vec<Value>) {
        self.command(Command::Change(entries));
    }

    /// Closes every connection at once. Calls that come afterwards are answered.
    pub fn cut(&self) {
        self.command(Command::Cut);
    }

    /// What it has done so far.
    pub fn counts(&self) -> Counts {
        lock(&self.told.counts).clone()
    }

    /// Waits until the counts are so; false where they are not within this time.
    pub fn wait(&self, within: Duration, mut so: impl FnMut(&Counts) -> bool) -> bool {
        let counts = lock(&self.told.counts);
        let waited = self.told.changed.wait_timeout_while(counts, within, |c| !so(c));
        !waited.unwrap_or_else(PoisonError::into_inner).1.timed_out()
    }

    /// The number of the service's thread with the system, for its account of processor time.
    pub fn thread_id(&self) -> i32 {
        self.thread_id
    }

    fn command(&self, command: Command) {
        // The service's thread ends by nothing else than `Stop`.
        let _ = self.commands.send(command);
        let _ = rustix::io::write(&*self.wake, &1_u64.to_ne_bytes());
    }
}

impl Drop for Watches {
    fn drop(&mut self) {
        self.command(Command::Stop);
        let _ = self.thread.take().map(thread::JoinHandle::join);
    }
}

/// What the service's thread holds.
struct Service {
    opened: Instant,
    listener: TcpListener,
    commands: Receiver<Command>,
    wake: Arc<OwnedFd>,
    poll: OwnedFd,
    told: Arc<Told>,
    catalogue: Catalogue,
    connections: BTreeMap<u64, Connection>,
    next: u64,
    /// When idle watches are due an empty line.
    beats: BTreeSet<(Instant, u64)>,
    beat: Message,
    /// Connections that may have something to write.
    unwritten: Vec<u64>,
    counts: Counts,
}

impl Service {
    fn new(
        listener: TcpListener,
        commands: Receiver<Command>,
        wake: &Arc<OwnedFd>,
        told: &Arc<Told>,
        catalogue: Catalogue,
    ) -> io::Result<Service> {
        let poll = epoll::create(epoll::CreateFlags::CLOEXEC)?;
        epoll::add(&poll, &listener, epoll::EventData::new_u64(LISTENER), epoll::EventFlags::IN)?;
        epoll::add(&poll, wake, epoll::EventData::new_u64(COMMANDS), epoll::EventFlags::IN)?;
        Ok(Service {
            opened: Instant::now(),
            listener,
            commands,
            wake: Arc::clone(wake),
            poll,
            told: Arc::clone(told),
            catalogue,
            connections: BTreeMap::new(),
            next: COMMANDS + 1,
            beats: BTreeSet::new(),
            beat: Message::chunk(Kind::Beat, "\n"),
            unwritten: Vec::new(),
            counts: Counts { calls_at: Vec::with_capacity(CALLS), ..Counts::default() },
        })
    }

    fn run(mut self) {
        let mut events = Vec::with_capacity(EVENTS);
        loop {
            let wait = self.beats.first().map(|(at, _)| at.saturating_duration_since(Instant::now()));
            let wait = wait.and_then(|w| Timespec::try_from(w).ok());
            events.clear();
            let spare = rustix::buffer::spare_capacity(&mut events);
            if !matches!(epoll::wait(&self.poll, spare, wait.as_ref()), Ok(_) | Err(rustix::io::Errno::INTR))
            {
                return;
            }
            for event in &events {
                match event.data.u64() {
                    LISTENER => self.accept(),
                    COMMANDS => {
                        if !self.take_commands() {
                            return;
                        }
                    }
                    id => self.ready(id),
                }
            }
            self.send_beats();
            // Told before anything is written: who has read something finds it counted.
            self.tell();
            self.write_all();
        }
    }

    fn accept(&mut self) {
        while let Ok((socket, _)) = self.listener.accept() {
            let id = self.next;
            self.next += 1;
            if let Ok(connection) = self.take_in(id, socket) {
                self.connections.insert(id, connection);
                self.ready(id);
            }
        }
    }

    fn take_in(&self, id: u64, socket: TcpStream) -> io::Result<Connection> {
        socket.set_nonblocking(true)?;
        socket.set_nodelay(true)?;
        let flags = epoll::EventFlags::IN | epoll::EventFlags::OUT | epoll::EventFlags::ET;
        epoll::add(&self.poll, &socket, epoll::EventData::new_u64(id), flags)?;
        Ok(Connection::new(socket))
    }

    /// False where the service is to end.
    fn take_commands(&mut self) -> bool {
        let _ = rustix::io::read(&*self.wake, &mut [0; 8]);
        while let Ok(command) = self.commands.try_recv() {
            match command {
                Command::Change(entries) => {
                    let change = self.catalogue.change(entries);
                    self.send_to_all(&change);
                }
                Command::Cut => {
                    self.connections.clear();
                    self.beats.clear();
                    self.counts.watches = 0;
                }
                Command::Stop => return false,
            }
        }
        true
    }

    fn send_to_all(&mut self, message: &Message) {
        let watches = self.connections.iter().filter(|(_, c)| c.is_watch());
        let ids: Vec<_> = watches.map(|(id, _)| *id).collect();
        ids.into_iter().for_each(|id| self.send(id, message.clone()));
    }

    fn ready(&mut self, id: u64) {
        let Some(connection) = self.connections.get_mut(&id) else { return };
        match connection.read() {
            Ok(Some(asked)) => self.answer(id, asked),
            Ok(None) => {}
            Err(_) => return self.close(id),
        }
        self.unwritten.push(id);
    }

    fn answer(&mut self, id: u64, asked: Asked) {
        self.counts.calls += 1;
        self.counts.calls_at.push(self.opened.elapsed());
        match asked {
            Asked::Fetch => {
                let whole = self.catalogue.fetched();
                self.send(id, whole);
            }
            Asked::Watch { after } => {
                self.counts.watches += 1;
                self.send(id, Message::watch_head());
                let first = self.catalogue.first(after);
                self.send(id, first);
            }
        }
    }

    fn send(&mut self, id: u64, message: Message) {
        let Some(connection) = self.connections.get_mut(&id) else { return };
        let bytes = message.bytes() as u64;
        match message.kind() {
            Kind::List => add(&mut self.counts.lists, &mut self.counts.list_bytes, bytes),
            Kind::Change => add(&mut self.counts.changes, &mut self.counts.change_bytes, bytes),
            Kind::Beat => add(&mut self.counts.beats, &mut self.counts.beat_bytes, bytes),
            Kind::Head => {}
        }
        connection.queue(message);
        self.unwritten.push(id);
        if connection.is_watch() {
            let at = Instant::now() + BEAT;
            if let Some(former) = connection.beat_at.replace(at) {
                self.beats.remove(&(former, id));
            }
            self.beats.insert((at, id));
        }
    }

    /// Writes what was queued in this round, and where sockets can take more.
    fn write_all(&mut self) {
        for id in std::mem::take(&mut self.unwritten) {
            let Some(connection) = self.connections.get_mut(&id) else { continue };
            match connection.write() {
                Ok(written) => self.counts.written += written as u64,
                Err(_) => self.close(id),
            }
        }
    }

    fn close(&mut self, id: u64) {
        let Some(closed) = self.connections.remove(&id) else { return };
        self.counts.watches -= u64::from(closed.is_watch());
        if let Some(at) = closed.beat_at {
            self.beats.remove(&(at, id));
        }
    }

    fn send_beats(&mut self) {
        let now = Instant::now();
        while let Some((_, id)) = self.beats.first().copied().filter(|(at, _)| *at <= now) {
            self.send(id, self.beat.clone());
        }
    }

    /// Tells whoever waits what has been done.
    fn tell(&mut self) {
        let mut counts = lock(&self.told.counts);
        // The calls' times are many, and those told before are the same.
        let told = counts.calls_at.len();
        counts.calls_at.extend_from_slice(&self.counts.calls_at[told..]);
        let calls_at = std::mem::take(&mut counts.calls_at);
        *counts = Counts { calls_at, ..self.counts_alone() };
        drop(counts);
        self.told.changed.notify_all();
    }

    /// The counts without the calls' times.
    fn counts_alone(&self) -> Counts {
        let Counts {
            calls,
            watches,
            lists,
            list_bytes,
            changes,
            change_bytes,
            beats,
            beat_bytes,
            written,
            ..
        } = self.counts;
        let calls_at = Vec::new();
        Counts {
            calls,
            calls_at,
            watches,
            lists,
            list_bytes,
            changes,
            change_bytes,
            beats,
            beat_bytes,
            written,
        }
    }
}

/// Counts a message.
fn add(messages: &mut u64, bytes: &mut u64, of_this: u64) {
    *messages += 1;
    *bytes += of_this;
}
