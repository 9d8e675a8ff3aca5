//! A crowd before one proxy: clients that ask once, if at all, and stay on their connections, more of them than it has descriptors for.

use std::io::{ErrorKind, Read, Write};
use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use fastrand::Rng;
use gradeshunt_stand_ins::postgres::wire;

use crate::fleet::Proxy;
use crate::ledger::Ledger;
use crate::site::SETS;
use crate::statement::Class;

/// Pace at which closed connections are replaced.
const LOOK: Duration = Duration::from_millis(20);
/// Connections that are opened between two looks, at most.
const OPENED_AT_ONCE: usize = 3;
/// One in so many asks nothing at all.
const SILENT: u32 = 4;

/// The crowd before one proxy.
pub struct Crowd {
    pub proxy: Arc<Proxy>,
    pub ledger: Arc<Ledger>,
    pub ends: Arc<AtomicBool>,
    pub rng: Rng,
    pub longest_wait: Duration,
    /// Connections that it holds open.
    pub size: usize,
}

impl Crowd {
    /// Keeps its connections open until it is told to end.
    pub fn run(mut self) {
        let mut connections: Vec<TcpStream> = Vec::new();
        while !self.ends.load(Ordering::Relaxed) {
            connections.retain_mut(stays_open);
            let wanting = self.size.saturating_sub(connections.len()).min(OPENED_AT_ONCE);
            connections.extend((0..wanting).map_while(|_| self.connect()));
            thread::sleep(LOOK);
        }
    }

    fn connect(&mut self) -> Option<TcpStream> {
        if !self.proxy.availability().admits() {
            return None;
        }
        let mut connection = TcpStream::connect(self.proxy.addr).ok()?;
        let mut bytes = wire::startup(&[("user", "portal"), ("database", "crm")]);
        if self.rng.u32(0..SILENT) > 0 {
            let set = self.rng.usize(1..=SETS);
            let statement = self.ledger.asked(self.proxy.number, Class::Read, self.longest_wait, set, 0);
            bytes.extend(wire::query(&statement.text()));
        }
        connection.write_all(&bytes).ok()?;
        connection.set_nonblocking(true).ok()?;
        Some(connection)
    }
}

/// Reads what has come; false where the connection has ended.
fn stays_open(connection: &mut TcpStream) -> bool {
    let mut bytes = [0; 1024];
    loop {
        match connection.read(&mut bytes) {
            Ok(0) => return false,
            Ok(_) => {}
            Err(e) => return e.kind() == ErrorKind::WouldBlock,
        }
    }
}
