//! Thousands of db hosts in one thread: all sockets are served by one epoll instance, work takes no time, and what each
//! host saw is counted. Nothing can be scripted here; `host` is for that.

use std::collections::HashMap;
use std::io::{self, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::fd::{AsFd, OwnedFd};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use rustix::event::epoll::{self, CreateFlags, EventData, EventFlags};
use rustix::event::Timespec;
use serde_json::Value;

use super::wire;
use crate::script::Table;
use crate::site::{entry, Site};
use crate::{lock, now};

/// Events taken from the system at a time.
const EVENTS: usize = 1024;
/// How often the thread looks whether it is to end.
const PATIENCE: Timespec = Timespec { tv_sec: 0, tv_nsec: 50_000_000 };
/// Bytes read from a connection at a time.
const CHUNK: usize = 16 * 1024;
/// The fewest bytes of a startup message, and those in front of a message's body.
const STARTUP: usize = 8;
const HEAD: usize = 5;

/// What one db host has seen.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Traffic {
    /// Connections that are open now.
    pub connections: u64,
    /// Connections accepted since the start.
    pub opened: u64,
    /// Probes answered since the start: `SHOW pressure`.
    pub probes: u64,
    /// Statements answered since the start, but probes, and the bytes of their text behind the routing comment, which a
    /// proxy writes anew.
    pub statements: u64,
    pub statement_bytes: u64,
    /// When the last probe or statement came.
    pub last_asked: Option<Instant>,
}

/// What all db hosts have seen.
#[derive(Clone, Debug, Default)]
pub struct Seen {
    /// By db host, in the order of the list.
    pub hosts: Vec<Traffic>,
    /// The most connections that all of them had open at once.
    pub most_connections: u64,
}

impl Seen {
    /// One count over all db hosts.
    pub fn sum(&self, count: impl Fn(&Traffic) -> u64) -> u64 {
        self.hosts.iter().map(count).sum()
    }
}

/// Many db hosts, at a port each that the system gives. They end when this is dropped.
pub struct HostFarm {
    sets: Vec<usize>,
    addrs: Vec<SocketAddr>,
    seen: Arc<Mutex<Seen>>,
    ends: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

impl HostFarm {
    /// Opens sets of so many db hosts each; the first of a set is its primary.
    pub fn open(sets: &[usize]) -> io::Result<HostFarm> {
        let roles = sets.iter().flat_map(|hosts| (0..*hosts).map(|number| number == 0));
        let listeners: Vec<_> = roles.map(|primary| Ok((listen()?, primary))).collect::<io::Result<_>>()?;
        let addrs = listeners.iter().map(|(l, _)| l.local_addr()).collect::<io::Result<Vec<_>>>()?;
        let seen = Seen { hosts: vec![Traffic::default(); addrs.len()], most_connections: 0 };
        let (seen, ends) = (Arc::new(Mutex::new(seen)), Arc::new(AtomicBool::new(false)));
        let mut server = Server::new(listeners, Arc::clone(&seen))?;
        let told = Arc::clone(&ends);
        let thread = thread::spawn(move || while !told.load(Ordering::Relaxed) && server.turn().is_ok() {});
        Ok(HostFarm { sets: sets.to_vec(), addrs, seen, ends, thread: Some(thread) })
    }

    /// What discovery lists.
    pub fn entries(&self) -> Vec<Value> {
        let places =
            (1..).zip(&self.sets).flat_map(|(set, hosts)| (0..*hosts).map(move |number| (set, number)));
        let listed = places.zip(&self.addrs);
        listed
            .map(|((set, number), addr)| entry(&Site::id(set, number), &addr.to_string(), set, number == 0))
            .collect()
    }

    /// What the db hosts have seen up to now. Whatever a client has had its answer for is counted.
    pub fn seen(&self) -> Seen {
        lock(&self.seen).clone()
    }

    /// Db hosts that got a probe or a statement within this time.
    pub fn reached(&self, within: Duration) -> usize {
        let recent = |t: &&Traffic| t.last_asked.is_some_and(|last| last.elapsed() <= within);
        lock(&self.seen).hosts.iter().filter(recent).count()
    }
}

impl Drop for HostFarm {
    fn drop(&mut self) {
        self.ends.store(true, Ordering::Relaxed);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

fn listen() -> io::Result<TcpListener> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    listener.set_nonblocking(true)?;
    Ok(listener)
}

/// One connection of a db host.
struct Connection {
    stream: TcpStream,
    host: usize,
    introduced: bool,
    inbound: Vec<u8>,
}

/// The thread's side. Events bear the number of a listener, or, beyond those, of a connection.
struct Server {
    epoll: OwnedFd,
    /// Each with whether it is its set's primary.
    listeners: Vec<(TcpListener, bool)>,
    connections: HashMap<u64, Connection>,
    next: u64,
    seen: Arc<Mutex<Seen>>,
}

impl Server {
    fn new(listeners: Vec<(TcpListener, bool)>, seen: Arc<Mutex<Seen>>) -> io::Result<Server> {
        let epoll = epoll::create(CreateFlags::CLOEXEC)?;
        for (number, (listener, _)) in (0..).zip(&listeners) {
            watch(&epoll, listener, number)?;
        }
        let next = listeners.len() as u64;
        Ok(Server { epoll, listeners, connections: HashMap::new(), next, seen })
    }

    /// Waits for events and serves them.
    fn turn(&mut self) -> io::Result<()> {
        let mut events: Vec<epoll::Event> = Vec::with_capacity(EVENTS);
        let waited = epoll::wait(&self.epoll, rustix::buffer::spare_capacity(&mut events), Some(&PATIENCE));
        match waited {
            Err(rustix::io::Errno::INTR) => return Ok(()),
            waited => waited?,
        };
        let seen = Arc::clone(&self.seen);
        let mut seen = lock(&seen);
        let numbers: Vec<u64> = events.iter().map(|event| event.data.u64()).collect();
        let listeners = self.listeners.len() as u64;
        // Ends first: a proxy at its bound closes a connection and then opens another.
        for number in numbers.iter().filter(|n| **n >= listeners) {
            self.serve(*number, &mut seen);
        }
        for number in numbers.iter().filter(|n| **n < listeners) {
            self.accept(*number as usize, &mut seen)?;
        }
        Ok(())
    }

    /// Takes one connection; the event comes again where there are more.
    fn accept(&mut self, host: usize, seen: &mut Seen) -> io::Result<()> {
        let stream = match self.listeners[host].0.accept() {
            Ok((stream, _)) => stream,
            // It has gone again.
            Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::ConnectionAborted) => {
                return Ok(())
            }
            Err(e) => return Err(e),
        };
        stream.set_nonblocking(true)?;
        stream.set_nodelay(true)?;
        let number = self.next;
        self.next += 1;
        watch(&self.epoll, &stream, number)?;
        self.connections.insert(number, Connection { stream, host, introduced: false, inbound: Vec::new() });
        seen.hosts[host].connections += 1;
        seen.hosts[host].opened += 1;
        seen.most_connections = seen.most_connections.max(self.connections.len() as u64);
        Ok(())
    }

    /// Answers what has come on a connection, and drops it where it has ended.
    fn serve(&mut self, number: u64, seen: &mut Seen) {
        let Some(connection) = self.connections.get_mut(&number) else { return };
        let host = connection.host;
        let primary = self.listeners[host].1;
        if !connection.serve(primary, &mut seen.hosts[host]) {
            self.connections.remove(&number);
            seen.hosts[host].connections -= 1;
        }
    }
}

fn watch(epoll: &OwnedFd, socket: impl AsFd, number: u64) -> io::Result<()> {
    Ok(epoll::add(epoll, socket, EventData::new_u64(number), EventFlags::IN)?)
}

impl Connection {
    /// Reads and answers; false where the connection has ended.
    fn serve(&mut self, primary: bool, traffic: &mut Traffic) -> bool {
        let open = self.receive();
        loop {
            match self.take(primary, traffic) {
                // A proxy waits for each answer, so that one always fits into the socket's buffer.
                Ok(Some(answer)) if self.stream.write_all(&answer).is_ok() => {}
                Ok(None) => return open,
                Ok(Some(_)) | Err(()) => return false,
            }
        }
    }

    /// Reads all that is there; false behind the end. What came before the end is still a message that was sent.
    fn receive(&mut self) -> bool {
        let mut chunk = [0; CHUNK];
        loop {
            match self.stream.read(&mut chunk) {
                Ok(0) => return false,
                Ok(n) => self.inbound.extend_from_slice(&chunk[..n]),
                Err(e) if e.kind() == ErrorKind::WouldBlock => return true,
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(_) => return false,
            }
        }
    }

    /// Takes the next whole message and makes its answer; nothing while there is none, an error where it ends the
    /// connection.
    fn take(&mut self, primary: bool, traffic: &mut Traffic) -> Result<Option<Vec<u8>>, ()> {
        // A startup message has no type in front of its length.
        let typed = usize::from(self.introduced);
        let Some(length) = self.inbound.get(typed..typed + 4) else { return Ok(None) };
        let length = u32::from_be_bytes([length[0], length[1], length[2], length[3]]) as usize;
        if length < if self.introduced { HEAD - 1 } else { STARTUP } {
            return Err(());
        }
        let end = typed + length;
        if self.inbound.len() < end {
            return Ok(None);
        }
        let message: Vec<u8> = self.inbound.drain(..end).collect();
        if !self.introduced {
            self.introduced = true;
            return Ok(Some([wire::message(b'R', &[0; 4]), ready()].concat()));
        }
        if message[0] != b'Q' {
            return Err(());
        }
        let statement = message[HEAD..].strip_suffix(b"\0").ok_or(())?;
        if statement.is_empty() {
            return Ok(Some(wire::empty_query_answer()));
        }
        traffic.last_asked = Some(Instant::now());
        let answer = if statement.starts_with(b"SHOW") {
            traffic.probes += 1;
            let pressure = format!("x0={:.3},x1={}", now().as_secs_f64(), u8::from(primary));
            one("pressure", &pressure, "SHOW")
        } else {
            traffic.statements += 1;
            traffic.statement_bytes += without_comment(statement).len() as u64;
            one("said", "done", "SELECT 1")
        };
        let role = if primary { "primary" } else { "standby" };
        let role = wire::parameter("replication_role", role);
        let position = wire::parameter("log_position", &now().as_millis().to_string());
        Ok(Some([answer, role, position, ready()].concat()))
    }
}

/// The text of a statement behind the comment that leads it, or all of it.
pub fn without_comment(statement: &[u8]) -> &[u8] {
    let end = statement.windows(2).position(|pair| pair == b"*/").filter(|_| statement.starts_with(b"/*"));
    end.map_or(statement, |end| &statement[end + 2..])
}

fn ready() -> Vec<u8> {
    wire::message(b'Z', b"I")
}

/// A result of one value.
fn one(column: &str, value: &str, tag: &str) -> Vec<u8> {
    let rows = vec![vec![Some(value.as_bytes().to_vec())]];
    let (columns, tag) = (vec![column.to_owned()], tag.to_owned());
    wire::table(&Table { columns, rows, tag, notices: Vec::new() })
}
