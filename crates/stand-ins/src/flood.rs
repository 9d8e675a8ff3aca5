//! Clients that send at full speed on one connection each, whatever comes back: small messages, unsound ones, and new connections
//! without end.

use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::thread::{self, JoinHandle};
use std::time::Duration;

use crate::postgres::wire;

/// Messages that are written at a time.
const MESSAGES_AT_ONCE: u64 = 500;
/// Pause of a client that can neither write nor read.
const PAUSE: Duration = Duration::from_micros(200);
/// The wait that sound requests of a flood state, in milliseconds.
const WAIT_MS: u32 = 400;
/// A request for TLS, as a client sends it before its startup message.
const TLS_REQUEST: [u8; 8] = [0, 0, 0, 8, 4, 210, 22, 47];

/// What a flood consists of.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Form {
    /// Requests for TLS in place of a startup message.
    TlsRequests,
    EmptyStatements,
    /// Statements without a routing comment, and so without id and time.
    NoRoutingComment,
    /// Statements of ever new classes, which no settings name.
    NewClasses,
    CopyData,
    Syncs,
    Parses,
    /// Sound reads, each sent without a wait for the answers before it.
    PipelinedReads,
    /// Reads of sets that nobody has.
    UnknownSets,
    /// New connections, each closed after its startup message.
    NewConnections,
    /// New connections whose first message breaks the protocol.
    BrokenConnections,
    /// New connections that ask for a cancel.
    Cancels,
}

impl Form {
    pub const ALL: [Form; 12] = [
        Form::TlsRequests,
        Form::EmptyStatements,
        Form::NoRoutingComment,
        Form::NewClasses,
        Form::CopyData,
        Form::Syncs,
        Form::Parses,
        Form::PipelinedReads,
        Form::UnknownSets,
        Form::NewConnections,
        Form::BrokenConnections,
        Form::Cancels,
    ];

    /// Whether it consists of new connections rather than of messages on a few.
    pub fn is_connections(self) -> bool {
        self.message(0).is_none()
    }

    /// What a connection begins with.
    fn opening(self) -> Vec<u8> {
        match self {
            Form::TlsRequests => Vec::new(),
            Form::BrokenConnections => [wire::startup(&[("user", "portal")]), vec![0; 16]].concat(),
            Form::Cancels => {
                [16_u32, (1234 << 16) | 5678, 1, 1].iter().flat_map(|n| n.to_be_bytes()).collect()
            }
            _ => wire::startup(&[("user", "portal"), ("database", "crm")]),
        }
    }

    /// The message with a number that no other message of the flood has; none where connections are the flood.
    fn message(self, number: u64) -> Option<Vec<u8>> {
        let read = |class: &str, set: u32| {
            let code = format!("{number:x}");
            wire::query(&format!(
                "/* id=flood-{code},c={class},d={WAIT_MS},cluster={set} */ SELECT data FROM facts WHERE code = '{code}'"
            ))
        };
        Some(match self {
            Form::TlsRequests => TLS_REQUEST.to_vec(),
            Form::EmptyStatements => wire::query(""),
            Form::NoRoutingComment => wire::query("SELECT 1"),
            Form::NewClasses => read(&format!("class-{number}"), 1),
            Form::CopyData => wire::message(b'd', b"x"),
            Form::Syncs => wire::message(b'S', &[]),
            Form::Parses => wire::message(b'P', b"\0SELECT 1\0\0\0"),
            Form::PipelinedReads => read("page-read", 1),
            Form::UnknownSets => read("page-read", 9_999),
            Form::NewConnections | Form::BrokenConnections | Form::Cancels => return None,
        })
    }
}

/// A flood that goes on until it is dropped.
pub struct Flood {
    ends: Arc<AtomicBool>,
    written: Arc<AtomicU64>,
    clients: Vec<JoinHandle<()>>,
}

impl Flood {
    /// Begins a flood by so many clients.
    pub fn begin(addr: SocketAddr, form: Form, clients: u64) -> Flood {
        let (ends, written) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicU64::new(0)));
        let client = |number| {
            let (ends, written) = (Arc::clone(&ends), Arc::clone(&written));
            let flooder = Flooder { addr, form, next: number << 40, ends, written };
            thread::spawn(move || flooder.run())
        };
        let clients = (0..clients).map(client).collect();
        Flood { ends, written, clients }
    }

    /// Bytes that were written so far.
    pub fn written(&self) -> u64 {
        self.written.load(Ordering::Relaxed)
    }
}

impl Drop for Flood {
    fn drop(&mut self) {
        self.ends.store(true, Ordering::Relaxed);
        self.clients.drain(..).for_each(|client| drop(client.join()));
    }
}

/// One client of a flood.
struct Flooder {
    addr: SocketAddr,
    form: Form,
    /// The number of the next message.
    next: u64,
    ends: Arc<AtomicBool>,
    written: Arc<AtomicU64>,
}

impl Flooder {
    fn run(mut self) {
        while !self.ends.load(Ordering::Relaxed) {
            let Ok(stream) = TcpStream::connect(self.addr) else {
                thread::sleep(PAUSE);
                continue;
            };
            let opened = (&stream).write_all(&self.form.opening());
            if opened.is_ok() && stream.set_nonblocking(true).is_ok() {
                self.send(&stream);
            }
        }
    }

    /// Writes until the connection ends, and passes over what comes back.
    fn send(&mut self, mut stream: &TcpStream) {
        let mut unwritten: Vec<u8> = Vec::new();
        while !self.ends.load(Ordering::Relaxed) {
            if unwritten.is_empty() {
                for number in self.next..self.next + MESSAGES_AT_ONCE {
                    let Some(message) = self.form.message(number) else { return };
                    unwritten.extend(message);
                }
                self.next += MESSAGES_AT_ONCE;
            }
            let wrote = match stream.write(&unwritten) {
                Ok(n) => n,
                Err(e) if e.kind() == ErrorKind::WouldBlock => 0,
                Err(_) => return,
            };
            unwritten.drain(..wrote);
            self.written.fetch_add(wrote as u64, Ordering::Relaxed);
            let read = match stream.read(&mut [0; 64 * 1024]) {
                Ok(0) => return,
                Ok(n) => n,
                Err(e) if e.kind() == ErrorKind::WouldBlock => 0,
                Err(_) => return,
            };
            if wrote + read == 0 {
                thread::sleep(PAUSE);
            }
        }
    }
}
