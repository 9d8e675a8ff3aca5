//! A program that is no proxy worth the name: it is started as the real one is and breaks one rule, so that the checks of the
//! fleet rig can be seen to find it. `GRADESHUNT_BROKEN` names the rule: `stale`, `drained`, `cold`, `twice`, `lost`, `mute`,
//! `late`, `double`; any other word makes a plain relay to the first db host of each set, which breaks none while that lives.

use std::collections::HashMap;
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use gradeshunt_fleet_rig::region::WAIT;
use gradeshunt_stand_ins::postgres::wire;
use rustix::process::{getpid, pidfd_getfd, pidfd_open, PidfdFlags, PidfdGetfdFlags};
use serde_json::Value;

/// Where the platform puts the clients' socket.
const HELD: i32 = 7;

struct Relay {
    fault: String,
    /// By set, as the configuration lists them.
    hosts: HashMap<u64, Vec<SocketAddr>>,
    turn: AtomicUsize,
}

fn main() -> io::Result<()> {
    let file = std::env::var_os("ROUTER_CONFIG").ok_or(io::ErrorKind::NotFound)?;
    let config: Value = serde_json::from_slice(&std::fs::read(file)?)?;
    let mut hosts: HashMap<u64, Vec<SocketAddr>> = HashMap::new();
    for entry in config["known"]["instances"].as_array().into_iter().flatten() {
        let addr: Option<SocketAddr> = entry["hostPort"].as_str().and_then(|a| a.parse().ok());
        hosts.entry(entry["cell"].as_u64().unwrap_or(0)).or_default().extend(addr);
    }
    let listener = match std::env::var_os("ROUTER_LISTEN_FD") {
        Some(_) => {
            let own = pidfd_open(getpid(), PidfdFlags::empty())?;
            TcpListener::from(pidfd_getfd(own, HELD, PidfdGetfdFlags::empty())?)
        }
        None => TcpListener::bind(config["listen"].as_str().unwrap_or_default())?,
    };
    let control = std::env::var("ROUTER_CONTROL").ok().filter(|addr| !addr.is_empty());
    let control = TcpListener::bind(control.as_deref().unwrap_or("127.0.0.1:0"))?;
    eprintln!("control: {}, listen: {}", control.local_addr()?, listener.local_addr()?);
    thread::spawn(move || control.incoming().flatten().for_each(|stream| drop(operators(stream))));
    if let Some(discovery) = config["discovery"].as_str().map(str::to_owned) {
        thread::spawn(move || watch(&discovery));
    }
    let fault = std::env::var("GRADESHUNT_BROKEN").unwrap_or_default();
    let relay = Arc::new(Relay { fault, hosts, turn: AtomicUsize::new(0) });
    for stream in listener.incoming().flatten() {
        let relay = Arc::clone(&relay);
        thread::spawn(move || relay.serve(stream));
    }
    Ok(())
}

/// Is told of every change of the list, and follows none.
fn watch(discovery: &str) -> io::Result<()> {
    let mut stream = TcpStream::connect(discovery)?;
    write!(stream, "GET /api/targets?stream=1&index=0 HTTP/1.1\r\nHost: x\r\n\r\n")?;
    io::copy(&mut stream, &mut io::sink()).map(drop)
}

/// Whatever operators ask, all is well.
fn operators(mut stream: TcpStream) -> io::Result<()> {
    let mut call = Vec::new();
    // What is left unread would reset the connection under the answer.
    while !call.ends_with(b"\r\n\r\n") {
        let mut byte = [0];
        stream.read_exact(&mut byte)?;
        call.extend(byte);
    }
    let body = "serving\n";
    write!(stream, "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len())
}

impl Relay {
    fn serve(&self, mut client: TcpStream) -> io::Result<()> {
        client.set_nodelay(true)?;
        wire::read_startup(&mut client)?;
        client.write_all(&[wire::message(b'R', &[0; 4]), wire::message(b'Z', b"I")].concat())?;
        loop {
            let (_, body) = wire::read(&mut client)?;
            let statement = String::from_utf8_lossy(&body).trim_end_matches('\0').to_owned();
            let turn = self.turn.fetch_add(1, Ordering::Relaxed);
            let write = statement.contains("INSERT");
            let answer = match self.fault.as_str() {
                "lost" if write => served(),
                "mute" if turn % 9 == 5 => return Ok(()),
                _ => self
                    .ask(&statement, turn, write)
                    .unwrap_or_else(|_| [wire::error("57P03", "nobody"), wire::message(b'Z', b"I")].concat()),
            };
            match self.fault.as_str() {
                "twice" if write => drop(self.ask(&statement, turn, true)),
                "late" if turn % 9 == 5 => thread::sleep(WAIT + Duration::from_secs(2)),
                // A crowd of its own, where a cold db host has to bear it.
                "cold" if !write => (0..12).for_each(|n| drop(self.send(&statement, turn + n))),
                "double" => client.write_all(&answer)?,
                _ => {}
            }
            client.write_all(&answer)?;
        }
    }

    fn host(&self, statement: &str, number: usize) -> io::Result<SocketAddr> {
        let set = statement.split("cluster=").nth(1).and_then(|s| s.split([',', ' ']).next()?.parse().ok());
        let hosts = set.and_then(|s: u64| self.hosts.get(&s)).ok_or(io::ErrorKind::NotFound)?;
        hosts.get(number % hosts.len().max(1)).copied().ok_or_else(|| io::ErrorKind::NotFound.into())
    }

    fn send(&self, statement: &str, number: usize) -> io::Result<TcpStream> {
        let mut host = TcpStream::connect(self.host(statement, number)?)?;
        host.set_read_timeout(Some(WAIT))?;
        host.write_all(&wire::startup(&[("user", "portal"), ("database", "crm")]))?;
        while wire::read(&mut host)?.0 != b'Z' {}
        host.write_all(&wire::query(statement))?;
        Ok(host)
    }

    /// The answer of a db host, whole.
    fn ask(&self, statement: &str, turn: usize, write: bool) -> io::Result<Vec<u8>> {
        let number = match self.fault.as_str() {
            "stale" | "drained" | "cold" if !write => turn,
            _ => 0,
        };
        let mut host = self.send(statement, number)?;
        let mut answer = Vec::new();
        loop {
            let (tag, body) = wire::read(&mut host)?;
            answer.extend(wire::message(tag, &body));
            if tag == b'Z' {
                return Ok(answer);
            }
        }
    }
}

/// Nobody was asked.
fn served() -> Vec<u8> {
    use gradeshunt_stand_ins::script::Table;
    [wire::table(&Table::of(&["data"], &[&["x"]])), wire::message(b'Z', b"I")].concat()
}
