//! One connection of discovery's: the call that comes, and what is sent.

use std::collections::VecDeque;
use std::io::{self, Read, Write};
use std::net::TcpStream;
use std::sync::Arc;
use std::time::Instant;

/// The longest head of a call.
const LONGEST_HEAD: usize = 8192;

/// What a message is counted as.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    Head,
    List,
    Change,
    Beat,
}

/// Bytes to be sent, shared by all that are sent them.
#[derive(Clone)]
pub struct Message {
    kind: Kind,
    bytes: Arc<[u8]>,
}

impl Message {
    /// A chunk of a watch.
    pub fn chunk(kind: Kind, line: &str) -> Message {
        let bytes = format!("{:x}\r\n{line}\r\n", line.len()).into_bytes().into();
        Message { kind, bytes }
    }

    /// The head of a watch's answer.
    pub fn watch_head() -> Message {
        Message {
            kind: Kind::Head,
            bytes: (*b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n").into(),
        }
    }

    /// A whole answer that is no watch.
    pub fn whole_answer(body: &str) -> Message {
        let text = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len());
        Message { kind: Kind::List, bytes: text.into_bytes().into() }
    }

    pub fn kind(&self) -> Kind {
        self.kind
    }

    pub fn bytes(&self) -> usize {
        self.bytes.len()
    }
}

/// What a call asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Asked {
    Fetch,
    /// What came after this version, and all that comes.
    Watch {
        after: u64,
    },
}

/// A connection.
pub struct Connection {
    socket: TcpStream,
    head: Vec<u8>,
    asked: Option<Asked>,
    queue: VecDeque<Message>,
    /// Bytes of the first message in the queue that are sent.
    sent: usize,
    /// When an idle watch is due an empty line.
    pub beat_at: Option<Instant>,
}

impl Connection {
    pub fn new(socket: TcpStream) -> Connection {
        Connection { socket, head: Vec::new(), asked: None, queue: VecDeque::new(), sent: 0, beat_at: None }
    }

    /// Whether it is a watch.
    pub fn is_watch(&self) -> bool {
        matches!(self.asked, Some(Asked::Watch { .. }))
    }

    /// Reads what has come, and gives the call once its head is whole; an error also where the peer has left.
    pub fn read(&mut self) -> io::Result<Option<Asked>> {
        let mut bytes = [0; 1024];
        loop {
            match self.socket.read(&mut bytes) {
                Ok(0) => return Err(io::ErrorKind::UnexpectedEof.into()),
                Ok(n) if self.asked.is_none() => self.head.extend_from_slice(&bytes[..n]),
                Ok(_) => {}
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => break,
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(e) => return Err(e),
            }
        }
        if self.asked.is_some() || !self.head.ends_with(b"\r\n\r\n") {
            return if self.head.len() > LONGEST_HEAD {
                Err(io::ErrorKind::InvalidData.into())
            } else {
                Ok(None)
            };
        }
        let head = std::mem::take(&mut self.head);
        self.asked = Some(asked(&String::from_utf8_lossy(&head)));
        Ok(self.asked)
    }

    pub fn queue(&mut self, message: Message) {
        self.queue.push_back(message);
    }

    /// Writes what the socket takes, and gives how much that was.
    pub fn write(&mut self) -> io::Result<usize> {
        let mut written = 0;
        while let Some(message) = self.queue.front() {
            match self.socket.write(&message.bytes[self.sent..]) {
                Ok(n) => {
                    written += n;
                    self.sent += n;
                }
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => break,
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(e) => return Err(e),
            }
            if self.sent == message.bytes.len() {
                self.queue.pop_front();
                self.sent = 0;
            }
        }
        // Thousands of watches that are idle hold nothing for what they were sent.
        if self.queue.is_empty() {
            self.queue.shrink_to_fit();
        }
        Ok(written)
    }
}

/// Reads the first line of a call.
fn asked(head: &str) -> Asked {
    let path = head.split(' ').nth(1).unwrap_or_default();
    let query = path.split_once('?').map_or("", |p| p.1);
    let field = |name: &str| query.split('&').find_map(|pair| pair.strip_prefix(name)?.strip_prefix('='));
    match field("stream") {
        Some("1") => Asked::Watch { after: field("index").and_then(|i| i.parse().ok()).unwrap_or(0) },
        _ => Asked::Fetch,
    }
}
