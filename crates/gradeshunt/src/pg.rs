//! PostgreSQL's wire protocol, version 3: parsing and building messages, and the routing comment before a
//! statement. This module does no I/O.

use std::ops::Range;

use leadmast::Micros;

use crate::ring::MAX_RING_SIZE;

/// Size in bytes of a Query message with an empty statement.
pub const EMPTY_QUERY_SIZE: usize = 6;
/// Maximum size of a message with its type byte, so that a ring holds one message behind an empty query.
pub const MAX_MESSAGE_SIZE: usize = MAX_RING_SIZE - EMPTY_QUERY_SIZE - 1;
/// Maximum size with framing of a row that is received whole before any of it is passed on, and of any row.
pub const MAX_BUFFERED_ROW: usize = 64 * 1024 + 64;
pub const MAX_ROW_SIZE: usize = 4 * 1024 * 1024 + 64;
/// Maximum size of an answer that is received whole, including the messages around its row.
pub const MAX_BUFFERED_ANSWER: usize = 96 * 1024;
/// Maximum size of a startup packet, as in PostgreSQL.
const MAX_STARTUP_SIZE: usize = 10_000;
/// The parameters of a startup packet that are used. A packet may hold thousands of others.
const STARTUP_PARAMETERS: [&[u8]; 3] = [b"user", b"database", b"application_name"];

/// Maximum length of a request id, which bounds the memory for the ids of requests in progress.
const MAX_ID_LENGTH: usize = 64;

/// Maximum number of names in a routing comment, which bounds the time for parsing it.
const MAX_ROUTING_FIELDS: usize = 256;

/// Size of a message's type byte and length field.
const HEADER_SIZE: usize = 5;
/// Size of the length field of a startup packet.
const STARTUP_LENGTH_SIZE: usize = 4;

const PROTOCOL_3: u32 = 3 << 16;
const CANCEL_REQUEST: u32 = (1234 << 16) | 5678;
const SSL_REQUEST: u32 = (1234 << 16) | 5679;
const GSSENC_REQUEST: u32 = (1234 << 16) | 5680;

/// SQLSTATE codes that the proxy sends or recognizes.
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
    /// Invalid authorization: the client is not a proxy that may connect at this address.
    pub const INVALID_AUTHORIZATION: &str = "28000";
    /// A proxy is stopping and has not read what another proxy sent. PostgreSQL has no such code, so an error
    /// of a db host can't be mistaken for it.
    pub const PROXY_LEAVING: &str = "PX001";
    /// Insufficient privilege: no route of the operators' rules accepts the statement.
    pub const NO_ROUTE: &str = "42501";

    /// Whether an error comes from the statement itself, so that every db host would return it: feature not
    /// supported, cardinality, data, constraint, syntax or access, check option, or an error raised by a
    /// function.
    pub fn is_statement_error(code: &str) -> bool {
        ["0A", "21", "22", "23", "42", "44", "P0"].iter().any(|class| code.starts_with(class))
    }
}

/// Input that is not PostgreSQL's protocol.
#[derive(Debug, PartialEq, Eq)]
pub struct Malformed(pub &'static str);

/// The first packet of a connection; it has no type byte.
#[derive(Debug, PartialEq, Eq)]
pub enum Startup {
    /// Start of a session: the requested minor version, the requested `_pq_.` options, and the parameters that
    /// are used.
    Session { minor: u16, options: Vec<String>, parameters: Vec<(String, String)> },
    /// A request for TLS or GSSAPI encryption.
    Encryption,
    /// A request to cancel another connection's query.
    Cancel { process: u32, secret: u32 },
    /// A protocol version that is not supported.
    Unsupported,
}

/// One message; `size` counts all of its bytes, including the type byte.
#[derive(Debug, PartialEq, Eq)]
pub struct Message<'a> {
    pub tag: u8,
    pub body: &'a [u8],
    pub size: usize,
}

/// Parses a startup packet and returns it with its size, or `None` until it is complete.
pub fn parse_startup(bytes: &[u8]) -> Result<Option<(Startup, usize)>, Malformed> {
    let Some(size) = be32(bytes, 0).map(|n| n as usize) else { return Ok(None) };
    if !(8..=MAX_STARTUP_SIZE).contains(&size) {
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
                if STARTUP_PARAMETERS.contains(&name) {
                    parameters.push((text(name), text(value)));
                }
            }
            Startup::Session { minor: (v & 0xffff) as u16, options, parameters }
        }
        _ => Startup::Unsupported,
    };
    Ok(Some((startup, size)))
}

/// The types of messages that clients may send, and those that db hosts may send.
pub const FRONTEND_MESSAGE_TYPES: &[u8] = b"QXSPBDECHFdcf";
pub const BACKEND_MESSAGE_TYPES: &[u8] = b"RSKNvZETDCAI";

/// Parses a message of one of the types in `tags`; returns `None` until it is complete. Invalid input fails
/// by its header, so that nobody waits for as many bytes as its length field claims.
pub fn parse_message<'a>(bytes: &'a [u8], tags: &[u8]) -> Result<Option<Message<'a>>, Malformed> {
    let Some((tag, size)) = parse_header_up_to(bytes, tags, MAX_MESSAGE_SIZE)? else { return Ok(None) };
    Ok(bytes.get(HEADER_SIZE..size).map(|body| Message { tag, body, size }))
}

/// Returns how many bytes complete the first message, which has begun: those of its header until that is
/// complete, and then all others. Returns 0 if it has not begun, is complete or is invalid.
pub fn missing_from_message(bytes: &[u8], tags: &[u8]) -> usize {
    if bytes.is_empty() {
        return 0;
    }
    match parse_header_up_to(bytes, tags, MAX_MESSAGE_SIZE) {
        Ok(Some((_, size))) => size.saturating_sub(bytes.len()),
        Ok(None) => HEADER_SIZE.saturating_sub(bytes.len()),
        Err(Malformed(_)) => 0,
    }
}

/// Like [`missing_from_message`], for a startup packet.
pub fn missing_from_startup(bytes: &[u8]) -> usize {
    if bytes.is_empty() {
        return 0;
    }
    match be32(bytes, 0).map(|size| size as usize) {
        None => STARTUP_LENGTH_SIZE.saturating_sub(bytes.len()),
        Some(size) if size <= MAX_STARTUP_SIZE => size.saturating_sub(bytes.len()),
        Some(_) => 0,
    }
}

/// Returns the type and size of a message of one of the types in `tags`, which may be a long row; `None`
/// until its header is complete.
pub fn parse_header(bytes: &[u8], tags: &[u8]) -> Result<Option<(u8, usize)>, Malformed> {
    parse_header_up_to(bytes, tags, MAX_ROW_SIZE)
}

fn parse_header_up_to(bytes: &[u8], tags: &[u8], longest: usize) -> Result<Option<(u8, usize)>, Malformed> {
    let Some(tag) = bytes.first() else { return Ok(None) };
    if !tags.contains(tag) {
        return Err(Malformed("invalid message type"));
    }
    let Some(length) = be32(bytes, 1) else { return Ok(None) };
    let size = length as usize + 1;
    if !(HEADER_SIZE..=longest).contains(&size) {
        return Err(Malformed("invalid message length"));
    }
    Ok(Some((*tag, size)))
}

/// Returns the size of a DataRow of one column that is larger than [`MAX_BUFFERED_ROW`]. Returns `None` while
/// its header is incomplete, and for any other message.
pub fn long_row_size(bytes: &[u8]) -> Result<Option<usize>, Malformed> {
    let (Some(b'D'), Some(length), Some(value)) = (bytes.first(), be32(bytes, 1), be32(bytes, 7)) else {
        return Ok(None);
    };
    let (size, value) = (length as usize + 1, value as usize);
    if size <= MAX_BUFFERED_ROW {
        Ok(None)
    } else if size > MAX_ROW_SIZE || bytes[5..7] != [0, 1] || size != 11 + value {
        Err(Malformed("invalid DataRow"))
    } else {
        Ok(Some(size))
    }
}

/// Returns the text of a message body that consists of a single string.
pub fn parse_string(body: &[u8]) -> Result<&[u8], Malformed> {
    match body.split_last() {
        Some((0, text)) if !text.contains(&0) => Ok(text),
        _ => Err(Malformed("invalid string in message")),
    }
}

/// Returns the name and value of a ParameterStatus, or `None` if it can't be parsed. This is no error, since
/// the message may arrive within a valid answer.
pub fn parse_parameter_status(body: &[u8]) -> Option<(&str, &str)> {
    let mut parts = std::str::from_utf8(body).ok()?.split('\0');
    match (parts.next(), parts.next(), parts.next(), parts.next()) {
        (Some(name), Some(value), Some(""), None) => Some((name, value)),
        _ => None,
    }
}

/// Returns the SQLSTATE of an ErrorResponse and checks its whole body: fields of a letter and a string each,
/// and a zero byte after the last. Clients receive the message unchanged, so one that a client can't parse is
/// rejected.
pub fn parse_error_code(body: &[u8]) -> Result<&str, Malformed> {
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

/// Returns the value of a DataRow of one column.
pub fn first_column(body: &[u8]) -> Result<&[u8], Malformed> {
    check_row(body)?;
    let length = be32(body, 2).unwrap_or(0) as usize;
    body.get(6..6 + length).ok_or(Malformed("DataRow without a value"))
}

/// Checks that a DataRow has one column that fills the message exactly.
pub fn check_row(body: &[u8]) -> Result<(), Malformed> {
    let length = match be32(body, 2) {
        // A length of -1 means NULL.
        Some(u32::MAX) => Some(0),
        length => length.map(|n| n as usize),
    };
    if body.starts_with(&[0, 1]) && length.is_some_and(|n| body.len() == 6 + n) {
        Ok(())
    } else {
        Err(Malformed("invalid DataRow"))
    }
}

/// Checks that a RowDescription describes one column: its name, then 18 bytes about its type.
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

/// Builds messages; each method appends one or more and returns the writer.
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

    /// Appends the reply to a startup message, up to and including the first ReadyForQuery.
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

    /// Appends NegotiateProtocolVersion: only minor version 0 and none of these options are supported.
    pub fn negotiate_version(self, options: &[String]) -> Self {
        let mut names = Vec::new();
        options.iter().for_each(|o| names.extend(o.bytes().chain([0])));
        self.message(b'v', &[&0u32.to_be_bytes(), &(options.len() as u32).to_be_bytes(), &names])
    }

    /// Appends ReadyForQuery, outside a transaction.
    pub fn ready(self) -> Self {
        self.message(b'Z', &[b"I"])
    }

    /// Appends an ErrorResponse.
    pub fn error(self, severity: &str, code: &str, text: &str, detail: Option<&str>) -> Self {
        let detail = detail.map(|d| format!("D{d}\0")).unwrap_or_default();
        let fields = format!("S{severity}\0V{severity}\0C{code}\0M{text}\0{detail}\0");
        self.message(b'E', &[fields.as_bytes()])
    }

    /// Appends the startup packet that the proxy sends on its own connections.
    pub fn startup(mut self, user: &str, database: &str, application_name: Option<&str>) -> Self {
        let application_name = application_name.map(|name| format!("application_name\0{name}\0"));
        let application_name = application_name.unwrap_or_default();
        let body = format!("user\0{user}\0database\0{database}\0{application_name}\0");
        self.0.extend((8 + body.len() as u32).to_be_bytes());
        self.0.extend(PROTOCOL_3.to_be_bytes());
        self.0.extend(body.as_bytes());
        self
    }

    /// Appends a Query message whose statement is the concatenation of `parts`.
    pub fn query(self, parts: &[&[u8]]) -> Self {
        let mut all = parts.to_vec();
        all.push(b"\0");
        self.message(b'Q', &all)
    }
}

/// Returns the time after which a refused request may be sent again: the integer milliseconds in the detail
/// field of an ErrorResponse, if it holds any.
pub fn parse_retry_after(error: &[u8]) -> Option<Micros> {
    let fields = error.get(5..)?.split(|b| *b == 0);
    let detail = fields.filter_map(|f| f.strip_prefix(b"D")).next()?;
    let ms: u32 = std::str::from_utf8(detail).ok()?.parse().ok()?;
    Some(Micros::from(ms) * 1000)
}

/// The contents of a routing comment.
#[derive(Debug, PartialEq, Eq)]
pub struct RoutingComment<'a> {
    /// The request's id, unique among requests in progress.
    pub id: &'a str,
    /// Whether the comment has an idempotency key.
    pub has_key: bool,
    pub class: &'a str,
    /// The tenant to which the request belongs.
    pub tenant: Option<&'a str>,
    /// How long the client waits at most, in milliseconds.
    pub wait_ms: u32,
    /// The bytes of the statement that hold the digits of `wait_ms`.
    pub wait_span: Range<usize>,
    /// Whether the client sends this request again.
    pub repeat: bool,
    /// The number of the group of db hosts.
    pub cluster: u64,
    /// The time of the commit that the read must see, in Unix milliseconds.
    pub after: Option<i64>,
}

/// Parses the routing comment at the start of a statement: `/* name=value,name=value */`.
pub fn parse_routing_comment(statement: &str) -> Result<RoutingComment<'_>, String> {
    let start = statement.len() - statement.trim_start().len();
    let inner = statement[start..].strip_prefix("/*").and_then(|s| s.split_once("*/"));
    let (inner, _) = inner.ok_or("the statement has no routing comment")?;
    let mut at = start + 2;
    let (mut id, mut has_key, mut class, mut wait) = (None, false, None, None);
    let (mut repeat, mut cluster, mut after, mut tenant) = (false, None, None, None);
    for (n, pair) in inner.split(',').enumerate() {
        if n >= MAX_ROUTING_FIELDS {
            return Err(format!("the routing comment has more than {MAX_ROUTING_FIELDS} names"));
        }
        let from = at + (pair.len() - pair.trim_start().len());
        at += pair.len() + 1;
        let (name, value) =
            pair.trim().split_once('=').ok_or("the routing comment has a name without a value")?;
        let not_a_number = |_| format!("the routing comment's {name} is not a number");
        match name {
            "id" => id = Some(value).filter(|v| (1..=MAX_ID_LENGTH).contains(&v.len())),
            "k" => has_key = !value.is_empty(),
            "c" => class = Some(value),
            "t" => tenant = Some(value),
            "d" => {
                let at = from + 2;
                wait = Some((value.parse().map_err(not_a_number)?, at..at + value.len()));
            }
            "r" => repeat = value == "1",
            "cluster" => cluster = Some(value.parse().map_err(not_a_number)?),
            "after" => after = Some(value.parse().map_err(not_a_number)?),
            // Unknown names, which later versions may add, are passed on unchanged.
            _ => {}
        }
    }
    let (wait_ms, wait_span) = wait.ok_or("the routing comment has no d")?;
    let id = id.ok_or("the routing comment has no usable id")?;
    let class = class.ok_or("the routing comment has no c")?;
    let cluster = cluster.ok_or("the routing comment has no cluster")?;
    Ok(RoutingComment { id, has_key, class, tenant, wait_ms, wait_span, repeat, cluster, after })
}

/// Returns the first quoted literal after the comment; it identifies the session.
pub fn first_literal(statement: &str) -> Option<&str> {
    let rest = statement.split_once("*/").map_or(statement, |s| s.1);
    rest.split('\'').nth(1)
}

#[cfg(test)]
mod tests;
