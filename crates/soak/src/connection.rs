//! Connections of attempts, as a db host sees them: whether they still stand on their proxy's side, and for how long.

use std::fmt::{self, Display};
use std::io::{self, ErrorKind};
use std::net::TcpStream;
use std::thread;
use std::time::{Duration, Instant};

use rustix::net::RecvFlags;

/// How long a connection that should have been closed is looked at, for the text of a fault.
const LOOKED_AT: Duration = Duration::from_millis(50);

/// For how long the connection of an attempt was open behind the arrival of the next one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OpenFor {
    ClosedAfter(Duration),
    /// It was looked at for this long.
    AtLeast(Duration),
}

impl Display for OpenFor {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            OpenFor::ClosedAfter(time) => write!(f, "closed {time:?} later"),
            OpenFor::AtLeast(time) => write!(f, "open for {time:?} at least"),
        }
    }
}

/// Whether a connection stands on its proxy's side, and nothing stands unread on it.
pub fn is_open(stream: &TcpStream) -> bool {
    matches!(peek(stream), Err(e) if e.kind() == ErrorKind::WouldBlock)
}

/// Whether its proxy has closed or reset a connection, and nothing stands unread before that: nobody takes an answer on it.
pub fn has_ended(stream: &TcpStream) -> bool {
    match peek(stream) {
        Ok(unread) => unread == 0,
        Err(e) => e.kind() != ErrorKind::WouldBlock,
    }
}

/// Whether bytes stand unread.
pub fn has_unread(stream: &TcpStream) -> bool {
    peek(stream).is_ok_and(|unread| unread > 0)
}

/// How many bytes stand unread, 1 at most.
fn peek(stream: &TcpStream) -> io::Result<usize> {
    let mut byte = [0_u8; 1];
    Ok(rustix::net::recv(stream, &mut byte[..], RecvFlags::PEEK | RecvFlags::DONTWAIT)?.0)
}

/// For how long a connection still stands on its proxy's side, where it does.
pub fn open_for(stream: &TcpStream) -> Option<OpenFor> {
    let began = Instant::now();
    if !is_open(stream) {
        return None;
    }
    while is_open(stream) {
        if began.elapsed() > LOOKED_AT {
            return Some(OpenFor::AtLeast(LOOKED_AT));
        }
        thread::yield_now();
    }
    Some(OpenFor::ClosedAfter(began.elapsed()))
}
