//! PostgreSQL's protocol, version 3: messages in and out, and the comment before a statement. No I/O here.

use std::ops::Range;

use leadmast::Micros;

use crate::ring::LARGEST;

/// The whole of an empty query.
pub const EMPTY_QUERY_SIZE: usize = 6;
/// Longest message taken, its length field included; a ring holds one with its type byte and an empty query before it.
pub const LONGEST_MESSAGE: usize = LARGEST - EMPTY_QUERY_SIZE - 1;
/// Longest row that is taken whole before any of it is passed on, and longest one at all, with their framing.
pub const WHOLE_ROW: usize = 64 * 1024 + 64;
pub const LONGEST_ROW: usize = 4 * 1024 * 1024 + 64;
/// Longest answer that is taken whole, with what stands around its row.
pub const LONGEST_ANSWER: usize = 96 * 1024;
/// Longest startup packet, as in PostgreSQL.
const LONGEST_STARTUP: usize = 10_000;

/// Longest id taken: those of open requests are kept.
const LONGEST_ID: usize = 64;

/// A message's type byte and length field.
const HEADER: usize = 5;

const PROTOCOL_3: u32 = 3 << 16;
const CANCEL_REQUEST: u32 = (1234 << 16) | 5678;
const SSL_REQUEST: u32 = (1234 << 16) | 5679;
const GSSENC_REQUEST: u32 = (1234 << 16) | 5680;

/// SQLSTATEs that mean something on this path.
pub mod sqlstate {
    pub const PROTOCOL_VIOLATION: &str = "08P01";
    pub const FEATURE_NOT_SUPPORTED: &str = "0A000";
    pub const INVALID_PARAMETER: &str = "22023";
    pub const QUERY_CANCELED: &str = "57014";
    pub const READ_ONLY: &str = "25006";
    pub const TOO_MANY_CONNECTIONS: &str = "53300";
    pub const CANNOT_CONNECT_NOW: &str = "57P03";
    pub const SNAPSHOT_TOO_OLD: &str = "72000";
    pub const SYSTEM_ERROR: &str = "58000";
    /// Invalid authorization: whoever connects is none that may.
    pub const INVALID_AUTHORIZATION: &str = "28000";
    /// A proxy ends, and has not read what another one sends it. No code of PostgreSQL's: a db host's must not be taken for it.
    pub const PROXY_LEAVING: &str = "PX001";
    /// Insufficient privilege: the operators' rules let no such statement through.
    pub const NO_ROUTE: &str = "42501";

    /// Whether an error is the statement's own fault, and so the same at any db host: unsupported, wrong
    /// cardinality, data, constraints, syntax and access, check options, errors raised by functions.
    pub fn is_verdict(code: &str) -> bool {
        ["0A", "21", "22", "23", "42", "44", "P0"].iter().any(|class| code.starts_with(class))
    }
}

/// Input that is not PostgreSQL's protocol.
#[derive(Debug, PartialEq, Eq)]
pub struct Malformed(pub &'static str);

/// The first packet of a connection; it has no type byte.
#[derive(Debug, PartialEq, Eq)]
pub enum Startup {
    /// A session begins. `minor` is the minor version asked for; `options` are `_pq_.` options asked for, `parameters` all
    /// that the client says of itself.
    Session { minor: u16, options: Vec<String>, parameters: Vec<(String, String)> },
    /// Encryption is asked for.
    Encryption,
    /// Another connection's query is to be cancelled.
    Cancel { process: u32, secret: u32 },
    /// A protocol version that is not served.
    Unsupported,
}

/// One message with its type byte; `size` counts all its bytes.
#[derive(Debug, PartialEq, Eq)]
pub struct Message<'a> {
    pub tag: u8,
    pub body: &'a [u8],
    pub size: usize,
}

/// Reads a startup packet; `None` until it is whole.
pub fn startup(bytes: &[u8]) -> Result<Option<(Startup, usize)>, Malformed> {
    let Some(size) = be32(bytes, 0).map(|n| n as usize) else { return Ok(None) };
    if !(8..=LONGEST_STARTUP).contains(&size) {
        return Err(Malformed("invalid length of startup packet"));
    }
    let (Some(code), Some(packet)) = (be32(bytes, 4), bytes.get(8..size)) else { return Ok(None) };
    let startup = match code {
        CANCEL_REQUEST => {
            let (Some(process), Some(secret)) = (be32(packet, 0), be32(packet, 4)) else {
                return Err(Malformed("invalid length of a cancel request"));
            };
            Startup::Cancel { process, secret }
        }
        SSL_REQUEST | GSSENC_REQUEST => Startup::Encryption,
        v if v >> 16 == PROTOCOL_3 >> 16 => {
            let Some((0, list)) = packet.split_last() else {
                return Err(Malformed("invalid startup packet layout: expected terminator as last byte"));
            };
            let names = list.split(|b| *b == 0).step_by(2);
            let options = names.filter(|n| n.starts_with(b"_pq_."));
            let options = options.map(|n| String::from_utf8_lossy(n).into_owned()).collect();
            let text = |b: &[u8]| String::from_utf8_lossy(b).into_owned();
            let mut parts = list.split(|b| *b == 0);
            let mut parameters = Vec::new();
            while let (Some(name), Some(value)) = (parts.next(), parts.next()) {
                parameters.push((text(name), text(value)));
            }
            Startup::Session { minor: (v & 0xffff) as u16, options, parameters }
        }
        _ => Startup::Unsupported,
    };
    Ok(Some((startup, size)))
}

/// What clients may send, and what db hosts may.
pub const FRONTEND: &[u8] = b"QXSPBDECHFdcf";
pub const BACKEND: &[u8] = b"RSKNvZETDCAI";

/// Reads a message of one of the kinds in `tags`; `None` until it is whole. Noise is known by its first bytes:
/// nobody waits for as much as its length field claims.
pub fn message<'a>(bytes: &'a [u8], tags: &[u8]) -> Result<Option<Message<'a>>, Malformed> {
    let Some((tag, size)) = header_up_to(bytes, tags, LONGEST_MESSAGE)? else { return Ok(None) };
    Ok(bytes.get(HEADER..size).map(|body| Message { tag, body, size }))
}

/// The type and the size of a message of one of the kinds in `tags`, which may be a long row; `None` until they have come.
pub fn header(bytes: &[u8], tags: &[u8]) -> Result<Option<(u8, usize)>, Malformed> {
    header_up_to(bytes, tags, LONGEST_ROW)
}

fn header_up_to(bytes: &[u8], tags: &[u8], longest: usize) -> Result<Option<(u8, usize)>, Malformed> {
    let Some(tag) = bytes.first() else { return Ok(None) };
    if !tags.contains(tag) {
        return Err(Malformed("invalid message type"));
    }
    let Some(length) = be32(bytes, 1) else { return Ok(None) };
    let size = length as usize + 1;
    if !(HEADER..=longest).contains(&size) {
        return Err(Malformed("invalid message length"));
    }
    Ok(Some((*tag, size)))
}

/// The size of a DataRow of one column that is longer than [`WHOLE_ROW`], once its header has come; `None` where it
/// has not, or where something else begins here.
pub fn long_row(bytes: &[u8]) -> Result<Option<usize>, Malformed> {
    let (Some(b'D'), Some(length), Some(value)) = (bytes.first(), be32(bytes, 1), be32(bytes, 7)) else {
        return Ok(None);
    };
    let (size, value) = (length as usize + 1, value as usize);
    if size <= WHOLE_ROW {
        Ok(None)
    } else if size > LONGEST_ROW || bytes[5..7] != [0, 1] || size != 11 + value {
        Err(Malformed("invalid DataRow"))
    } else {
        Ok(Some(size))
    }
}

/// The text of a body that holds one string and nothing else.
pub fn string(body: &[u8]) -> Result<&[u8], Malformed> {
    match body.split_last() {
        Some((0, text)) if !text.contains(&0) => Ok(text),
        _ => Err(Malformed("invalid string in message")),
    }
}

/// The name and value of a ParameterStatus; nothing where it can't be read. It comes beside an answer and
/// must not spoil it.
pub fn parameter_status(body: &[u8]) -> Option<(&str, &str)> {
    let mut parts = std::str::from_utf8(body).ok()?.split('\0');
    match (parts.next(), parts.next(), parts.next(), parts.next()) {
        (Some(name), Some(value), Some(""), None) => Some((name, value)),
        _ => None,
    }
}

/// The SQLSTATE of an ErrorResponse that is one throughout: fields of a letter and a string each, and a zero behind the
/// last. Clients are handed it as it came, so what no client can read must not pass for an error.
pub fn error_code(body: &[u8]) -> Result<&str, Malformed> {
    let invalid = Malformed("invalid ErrorResponse");
    let text = std::str::from_utf8(body).map_err(|_| Malformed("ErrorResponse that is not UTF-8"))?;
    let fields = text.strip_suffix("\0\0").ok_or(invalid)?;
    let mut code = None;
    for field in fields.split('\0') {
        if !field.starts_with(|c: char| c.is_ascii_alphabetic()) {
            return Err(Malformed("invalid field in ErrorResponse"));
        }
        code = code.or(field.strip_prefix('C'));
    }
    let is_code = |c: &&str| c.len() == 5 && c.bytes().all(|b| b.is_ascii_digit() || b.is_ascii_uppercase());
    code.filter(is_code).ok_or(Malformed("ErrorResponse without a code"))
}

/// The first column of a DataRow.
pub fn first_column(body: &[u8]) -> Result<&[u8], Malformed> {
    check_row(body)?;
    let length = be32(body, 2).unwrap_or(0) as usize;
    body.get(6..6 + length).ok_or(Malformed("DataRow without a value"))
}

/// Whether a DataRow is whole: one column that fills it exactly.
pub fn check_row(body: &[u8]) -> Result<(), Malformed> {
    let length = match be32(body, 2) {
        // Minus one stands for NULL.
        Some(u32::MAX) => Some(0),
        length => length.map(|n| n as usize),
    };
    if body.starts_with(&[0, 1]) && length.is_some_and(|n| body.len() == 6 + n) {
        Ok(())
    } else {
        Err(Malformed("invalid DataRow"))
    }
}

/// Whether a RowDescription describes one column: its name, then 18 bytes on its type.
pub fn check_description(body: &[u8]) -> Result<(), Malformed> {
    let name = body.strip_prefix(&[0, 1]).and_then(|b| b.iter().position(|b| *b == 0));
    if name.is_some_and(|n| body.len() == 2 + n + 1 + 18) {
        Ok(())
    } else {
        Err(Malformed("invalid RowDescription"))
    }
}

fn be32(bytes: &[u8], at: usize) -> Option<u32> {
    let b = bytes.get(at..at.checked_add(4)?)?;
    Some(u32::from_be_bytes([b[0], b[1], b[2], b[3]]))
}

/// Builds messages.
#[derive(Default)]
pub struct Writer(pub Vec<u8>);

impl Writer {
    pub fn message(mut self, tag: u8, parts: &[&[u8]]) -> Self {
        let length = 4 + parts.iter().map(|p| p.len()).sum::<usize>() as u32;
        self.0.push(tag);
        self.0.extend(length.to_be_bytes());
        parts.iter().for_each(|p| self.0.extend(*p));
        self
    }

    /// The reply to a startup message, up to and with the first ReadyForQuery.
    pub fn startup_reply(self, process: u32, secret: u32) -> Self {
        let mut w = self.message(b'R', &[&0u32.to_be_bytes()]);
        let parameters = [
            ("server_version", "15.0 (gradeshunt)"),
            ("server_encoding", "UTF8"),
            ("client_encoding", "UTF8"),
            ("DateStyle", "ISO, MDY"),
            ("TimeZone", "Etc/UTC"),
            ("integer_datetimes", "on"),
            ("standard_conforming_strings", "on"),
        ];
        for (name, value) in parameters {
            w = w.message(b'S', &[name.as_bytes(), b"\0", value.as_bytes(), b"\0"]);
        }
        w.message(b'K', &[&process.to_be_bytes(), &secret.to_be_bytes()]).ready()
    }

    pub fn negotiate(self, options: &[String]) -> Self {
        let mut names = Vec::new();
        options.iter().for_each(|o| names.extend(o.bytes().chain([0])));
        self.message(b'v', &[&0u32.to_be_bytes(), &(options.len() as u32).to_be_bytes(), &names])
    }

    pub fn ready(self) -> Self {
        self.message(b'Z', &[b"I"])
    }

    pub fn error(self, severity: &str, code: &str, text: &str, detail: Option<&str>) -> Self {
        let detail = detail.map(|d| format!("D{d}\0")).unwrap_or_default();
        let fields = format!("S{severity}\0V{severity}\0C{code}\0M{text}\0{detail}\0");
        self.message(b'E', &[fields.as_bytes()])
    }

    /// The proxy's own first packet on a db host connection.
    pub fn startup(mut self, user: &str, database: &str, application_name: Option<&str>) -> Self {
        let application_name = application_name.map(|name| format!("application_name\0{name}\0"));
        let application_name = application_name.unwrap_or_default();
        let body = format!("user\0{user}\0database\0{database}\0{application_name}\0");
        self.0.extend((8 + body.len() as u32).to_be_bytes());
        self.0.extend(PROTOCOL_3.to_be_bytes());
        self.0.extend(body.as_bytes());
        self
    }

    pub fn query(self, parts: &[&[u8]]) -> Self {
        let mut all = parts.to_vec();
        all.push(b"\0");
        self.message(b'Q', &all)
    }
}

/// The time after which a refused request may come again: the whole milliseconds in the field D of an ErrorResponse, where
/// there are any.
pub fn retry_after(error: &[u8]) -> Option<Micros> {
    let fields = error.get(5..)?.split(|b| *b == 0);
    let detail = fields.filter_map(|f| f.strip_prefix(b"D")).next()?;
    let ms: u32 = std::str::from_utf8(detail).ok()?.parse().ok()?;
    Some(Micros::from(ms) * 1000)
}

/// What the comment before a statement says.
#[derive(Debug, PartialEq, Eq)]
pub struct Comment<'a> {
    /// The request's id: one that is open has another client waiting for it.
    pub id: &'a str,
    /// Whether an idempotency key stands there.
    pub keyed: bool,
    pub class: &'a str,
    /// The tenant whose it is.
    pub tenant: Option<&'a str>,
    /// The client's wait in milliseconds, and where in the statement it stands.
    pub wait_ms: u32,
    pub wait_at: Range<usize>,
    pub repeat: bool,
    pub cluster: u64,
    /// The position that the read has to see, in Unix milliseconds.
    pub after: Option<i64>,
}

/// Parses the comment that leads a statement: `/* name=value,name=value */`.
pub fn comment(statement: &str) -> Result<Comment<'_>, String> {
    let start = statement.len() - statement.trim_start().len();
    let inner = statement[start..].strip_prefix("/*").and_then(|s| s.split_once("*/"));
    let (inner, _) = inner.ok_or("the statement has no routing comment")?;
    let mut at = start + 2;
    let (mut id, mut keyed, mut class, mut wait) = (None, false, None, None);
    let (mut repeat, mut cluster, mut after, mut tenant) = (false, None, None, None);
    for pair in inner.split(',') {
        let from = at + (pair.len() - pair.trim_start().len());
        at += pair.len() + 1;
        let (name, value) =
            pair.trim().split_once('=').ok_or("the routing comment has a name without a value")?;
        let bad = |_| format!("the routing comment's {name} is not a number");
        match name {
            "id" => id = Some(value).filter(|v| (1..=LONGEST_ID).contains(&v.len())),
            "k" => keyed = !value.is_empty(),
            "c" => class = Some(value),
            "t" => tenant = Some(value),
            "d" => {
                let at = from + 2;
                wait = Some((value.parse().map_err(bad)?, at..at + value.len()));
            }
            "r" => repeat = value == "1",
            "cluster" => cluster = Some(value.parse().map_err(bad)?),
            "after" => after = Some(value.parse().map_err(bad)?),
            // What later versions may add goes on as it is.
            _ => {}
        }
    }
    let (wait_ms, wait_at) = wait.ok_or("the routing comment has no d")?;
    let id = id.ok_or("the routing comment has no usable id")?;
    let class = class.ok_or("the routing comment has no c")?;
    let cluster = cluster.ok_or("the routing comment has no cluster")?;
    Ok(Comment { id, keyed, class, tenant, wait_ms, wait_at, repeat, cluster, after })
}

/// The first quoted literal: it names the session.
pub fn first_literal(statement: &str) -> Option<&str> {
    let rest = statement.split_once("*/").map_or(statement, |s| s.1);
    rest.split('\'').nth(1)
}

#[cfg(test)]
mod tests;
