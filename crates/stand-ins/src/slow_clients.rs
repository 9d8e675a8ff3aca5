//! Clients that write and read slowly, stop, or read nothing, many of them at once.

use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread::{self, JoinHandle};
use std::time::Duration;

/// Pause between two rounds over all clients.
const PAUSE: Duration = Duration::from_millis(10);

/// How each of the clients behaves.
#[derive(Clone, Debug)]
pub struct Behavior {
    pub clients: usize,
    /// What a connection writes.
    pub bytes: Vec<u8>,
    /// Bytes that a client writes, and reads, every 10 ms at most.
    pub bytes_written_at_once: usize,
    pub bytes_read_at_once: usize,
}

/// Slow clients that connect anew where they are closed, until this is dropped.
pub struct SlowClients {
    ends: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

impl SlowClients {
    pub fn begin(addr: SocketAddr, behavior: Behavior) -> SlowClients {
        let ends = Arc::new(AtomicBool::new(false));
        let ended = Arc::clone(&ends);
        let thread = Some(thread::spawn(move || run(addr, &behavior, &ended)));
        SlowClients { ends, thread }
    }
}

impl Drop for SlowClients {
    fn drop(&mut self) {
        self.ends.store(true, Ordering::Relaxed);
        self.thread.take().into_iter().for_each(|thread| drop(thread.join()));
    }
}

/// A slow client, and what it has yet to write.
struct SlowClient {
    stream: TcpStream,
    unwritten: Vec<u8>,
}

/// Keeps up the clients until told to stop.
fn run(addr: SocketAddr, behavior: &Behavior, ends: &AtomicBool) {
    let mut clients: Vec<SlowClient> = Vec::new();
    while !ends.load(Ordering::Relaxed) {
        clients.retain_mut(|client| client.go_on(behavior));
        while clients.len() < behavior.clients {
            let Some(client) = SlowClient::connect(addr, behavior) else { break };
            clients.push(client);
        }
        thread::sleep(PAUSE);
    }
}

impl SlowClient {
    fn connect(addr: SocketAddr, behavior: &Behavior) -> Option<SlowClient> {
        let stream = TcpStream::connect(addr).ok()?;
        stream.set_nonblocking(true).ok()?;
        Some(SlowClient { stream, unwritten: behavior.bytes.clone() })
    }

    /// Writes and reads a little; false once the connection has ended.
    fn go_on(&mut self, behavior: &Behavior) -> bool {
        let n = self.unwritten.len().min(behavior.bytes_written_at_once);
        let wrote = if n == 0 { Ok(0) } else { self.stream.write(&self.unwritten[..n]) };
        match wrote {
            Ok(n) => drop(self.unwritten.drain(..n)),
            Err(e) if e.kind() == ErrorKind::WouldBlock => {}
            Err(_) => return false,
        }
        let mut piece = vec![0; behavior.bytes_read_at_once];
        match self.stream.read(&mut piece) {
            Ok(n) => n > 0 || piece.is_empty(),
            Err(e) => e.kind() == ErrorKind::WouldBlock,
        }
    }
}
