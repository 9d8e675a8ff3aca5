//! A db host that speaks PostgreSQL: a thread for each connection.
//!
//! It knows `INSERT INTO facts (code, data) VALUES ('c', 'd') RETURNING data`, `SELECT data FROM facts WHERE code = 'c'`
//! and `SHOW pressure`; any other statement is a read of one row, and all of them can be scripted.

use std::collections::BTreeMap;
use std::io::{self, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;

use super::wire;
use crate::engine::Engine;
use crate::lock;
use crate::script::{Act, Table};
use crate::set::{Declined, Role, Set};

struct Inner {
    set: Set,
    number: usize,
    addr: SocketAddr,
    /// Open connections, to be cut.
    open: Mutex<BTreeMap<u64, TcpStream>>,
    /// Prints each statement behind this name.
    echo: Mutex<Option<String>>,
    /// What it bears, where that is limited.
    engine: Mutex<Option<Arc<Engine>>>,
    /// Whether it tells its role and position in each answer.
    tells: bool,
}

/// A db host. Clones are the same one.
#[derive(Clone)]
pub struct Host(Arc<Inner>);

impl Host {
    /// Listens at a port that the system gives; it is number `number` of its set.
    pub fn open(set: &Set, number: usize) -> io::Result<Self> {
        Self::open_at("127.0.0.1:0", set, number, true)
    }

    pub fn open_at(addr: &str, set: &Set, number: usize, tells: bool) -> io::Result<Self> {
        let listener = TcpListener::bind(addr)?;
        let addr = listener.local_addr()?;
        let host = Host(Arc::new(Inner {
            set: set.clone(),
            number,
            addr,
            open: Mutex::default(),
            echo: Mutex::default(),
            engine: Mutex::default(),
            tells,
        }));
        let served = host.clone();
        thread::spawn(move || {
            for (id, stream) in (0..).zip(listener.incoming().flatten()) {
                let served = served.clone();
                if let Ok(copy) = stream.try_clone() {
                    lock(&served.0.open).insert(id, copy);
                }
                thread::spawn(move || {
                    let _ = served.serve(stream);
                    lock(&served.0.open).remove(&id);
                });
            }
        });
        Ok(host)
    }

    /// Prints each statement on standard output, behind a name.
    pub fn echo(self, name: &str) -> Self {
        *lock(&self.0.echo) = Some(name.to_owned());
        self
    }

    /// It bears no more than this.
    pub fn bears(&self, engine: &Arc<Engine>) {
        *lock(&self.0.engine) = Some(Arc::clone(engine));
    }

    pub fn addr(&self) -> SocketAddr {
        self.0.addr
    }

    /// Cuts all connections, as a crash does. New ones are taken.
    pub fn cut(&self) {
        for stream in lock(&self.0.open).values() {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    /// Connections that are open.
    pub fn connections(&self) -> usize {
        lock(&self.0.open).len()
    }

    fn serve(&self, mut stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        wire::read_startup(&mut stream)?;
        stream.write_all(&[wire::message(b'R', &[0; 4]), wire::message(b'Z', b"I")].concat())?;
        loop {
            let (tag, body) = wire::read(&mut stream)?;
            if tag != b'Q' {
                return Ok(());
            }
            let statement = String::from_utf8_lossy(&body).trim_end_matches('\0').to_owned();
            // It does nothing, and no script speaks of it.
            if statement.is_empty() {
                stream.write_all(&wire::empty_query_answer())?;
            } else if !self.answer(&mut stream, &statement)? {
                return Ok(());
            }
        }
    }

    /// Answers one statement; false where the connection is done with.
    fn answer(&self, stream: &mut TcpStream, statement: &str) -> io::Result<bool> {
        let Inner { set, number, echo, .. } = &*self.0;
        if let Some(name) = &*lock(echo) {
            println!("{name} {statement}");
        }
        let (takes, act) = set.meet(*number, statement);
        thread::sleep(takes);
        let engine = lock(&self.0.engine).clone();
        if let Some(engine) = engine.filter(|_| !statement.starts_with("SHOW")) {
            let full = engine.work(statement, || set.position(*number)).is_err();
            if full {
                stream.write_all(
                    &[wire::error("53300", "too many requests wait"), wire::message(b'Z', b"I")].concat(),
                )?;
                return Ok(true);
            }
        }
        let reset = |stream: &TcpStream| {
            reset_on_close(stream);
            Ok(false)
        };
        let reply = match &act {
            Act::ResetBefore => return reset(stream),
            Act::Hang => {
                thread::park();
                return Ok(false);
            }
            Act::Refuse { code, text } => wire::error(code, text),
            Act::Answer(table) | Act::CutAfter(table, _) => {
                set.note(*number, statement, key(statement));
                wire::table(table)
            }
            Act::Usual | Act::ResetAfter | Act::CutAt(_) | Act::Silence => self.usual(statement),
        };
        let mut reply = reply;
        if self.0.tells {
            let role = if set.role(*number) == Role::Primary { "primary" } else { "standby" };
            reply.extend(wire::parameter("replication_role", role));
            reply.extend(wire::parameter("log_position", &set.position(*number).as_millis().to_string()));
        }
        reply.extend(wire::message(b'Z', b"I"));
        match act {
            Act::ResetAfter => reset(stream),
            Act::CutAt(bytes) | Act::CutAfter(_, bytes) => {
                stream.write_all(&reply[..bytes.min(reply.len())])?;
                stream.shutdown(Shutdown::Both)?;
                Ok(false)
            }
            Act::Silence => {
                thread::park();
                Ok(false)
            }
            _ => stream.write_all(&reply).map(|()| true),
        }
    }

    fn usual(&self, statement: &str) -> Vec<u8> {
        let Inner { set, number, .. } = &*self.0;
        let words = statement.split_once("*/").map_or(statement, |s| s.1).trim();
        let literals: Vec<_> = words.split('\'').skip(1).step_by(2).collect();
        let one = |column: &str, value: &[u8], tag: &str| {
            let rows = vec![vec![Some(value.to_vec())]];
            let (columns, tag) = (vec![column.to_owned()], tag.to_owned());
            wire::table(&Table { columns, rows, tag, notices: Vec::new() })
        };
        match (words.split_whitespace().next().unwrap_or_default(), literals.as_slice()) {
            ("SHOW", _) => {
                let (at, role) = (set.position(*number).as_secs_f64(), set.role(*number));
                one(
                    "pressure",
                    format!("x0={at:.3},x1={}", u8::from(role == Role::Primary)).as_bytes(),
                    "SHOW",
                )
            }
            ("INSERT", [code, data, ..]) => {
                match set.put(*number, statement, key(statement), code, data.as_bytes()) {
                    Ok(_) => one("data", data.as_bytes(), "INSERT 0 1"),
                    Err(Declined::NotPrimary) => {
                        wire::error("25006", "cannot execute INSERT in a read-only transaction")
                    }
                }
            }
            ("SELECT", [code]) if words.contains("FROM facts") => {
                set.note(*number, statement, key(statement));
                one("data", &set.get(*number, code).unwrap_or_default(), "SELECT 1")
            }
            _ => {
                set.note(*number, statement, key(statement));
                one("said", b"done", "SELECT 1")
            }
        }
    }
}

/// Closes with a reset, by a linger of none.
fn reset_on_close(stream: &TcpStream) {
    use rustix::net::sockopt::set_socket_linger;
    let _ = set_socket_linger(stream, Some(std::time::Duration::ZERO));
}

/// The idempotency key in the routing comment.
fn key(statement: &str) -> Option<&str> {
    let comment = statement.split_once("/*")?.1.split_once("*/")?.0;
    comment.split(',').find_map(|pair| pair.trim().strip_prefix("k="))
}
