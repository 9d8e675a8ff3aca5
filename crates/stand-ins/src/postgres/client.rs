//! A client that speaks PostgreSQL, one request at a time.

use std::io::{self, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use super::wire::{self, Message};
use crate::checker::Outcome;
use crate::script::Value;

/// What came for one query, up to ReadyForQuery.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Reply {
    pub columns: usize,
    pub rows: Vec<Vec<Value>>,
    pub tag: Option<String>,
    /// SQLSTATE, text, and detail of an error.
    pub error: Option<(String, String, Option<String>)>,
    pub notices: Vec<String>,
    /// Settings that were reported in the startup reply.
    pub parameters: Vec<(String, String)>,
    /// Types of all messages, in order.
    pub order: String,
}

impl Reply {
    /// The one value of an answer that has one.
    pub fn value(&self) -> Option<String> {
        let value = self.rows.first()?.first()?.as_ref()?;
        Some(String::from_utf8_lossy(value).into_owned())
    }

    pub fn code(&self) -> Option<&str> {
        self.error.as_ref().map(|e| e.0.as_str())
    }

    pub fn outcome(&self) -> Outcome {
        match self.code() {
            Some("53300" | "57P03") => Outcome::Refused,
            Some(_) => Outcome::Failed,
            None => Outcome::Served,
        }
    }

    fn take(&mut self, (tag, body): Message) {
        self.order.push(char::from(tag));
        match tag {
            b'T' => self.columns = body.first_chunk().map_or(0, |b| u16::from_be_bytes(*b).into()),
            b'D' => self.rows.extend(wire::columns(&body)),
            b'C' => {
                self.tag = Some(String::from_utf8_lossy(body.trim_ascii_end()).trim_matches('\0').to_owned())
            }
            b'N' => self.notices.extend(wire::field(&body, b'M')),
            b'E' => {
                let field = |name| wire::field(&body, name);
                self.error =
                    Some((field(b'C').unwrap_or_default(), field(b'M').unwrap_or_default(), field(b'D')));
            }
            b'S' => {
                let text = String::from_utf8_lossy(&body).into_owned();
                let mut parts = text.split('\0');
                if let (Some(name), Some(value)) = (parts.next(), parts.next()) {
                    self.parameters.push((name.to_owned(), value.to_owned()));
                }
            }
            _ => {}
        }
    }
}

/// A connected client.
pub struct Client {
    stream: TcpStream,
}

impl Client {
    /// Connects and starts a session. `patience` bounds each wait for bytes, so that a test that fails ends.
    pub fn connect(addr: SocketAddr, parameters: &[(&str, &str)], patience: Duration) -> io::Result<Client> {
        let mut client = Client::open(addr, parameters, patience)?;
        client.until_ready()?;
        Ok(client)
    }

    /// Connects and introduces itself; what it says next goes right behind.
    pub fn open(addr: SocketAddr, parameters: &[(&str, &str)], patience: Duration) -> io::Result<Client> {
        let mut stream = TcpStream::connect(addr)?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(patience))?;
        stream.write_all(&wire::startup(parameters))?;
        Ok(Client { stream })
    }

    /// Asks one query and takes all that comes of it.
    pub fn query(&mut self, statement: &str) -> io::Result<Reply> {
        self.ask(statement)?;
        self.until_ready()
    }

    /// Whether something has come that nobody has asked for.
    pub fn has_more(&mut self) -> bool {
        let was_set = self.stream.set_nonblocking(true).is_ok();
        let more = self.stream.peek(&mut [0]).is_ok_and(|n| n > 0);
        was_set && self.stream.set_nonblocking(false).is_ok() && more
    }

    /// Asks without waiting.
    pub fn ask(&mut self, statement: &str) -> io::Result<()> {
        self.stream.write_all(&wire::query(statement))
    }

    /// Takes all up to the next ReadyForQuery, or up to a fatal error behind which the connection ends.
    pub fn until_ready(&mut self) -> io::Result<Reply> {
        let mut reply = Reply::default();
        loop {
            match wire::read(&mut self.stream) {
                Ok((b'Z', _)) => {
                    reply.order.push('Z');
                    return Ok(reply);
                }
                Ok(message) => reply.take(message),
                Err(_) if reply.error.is_some() => return Ok(reply),
                Err(e) => return Err(e),
            }
        }
    }

    pub fn stream(&mut self) -> &mut TcpStream {
        &mut self.stream
    }
}
