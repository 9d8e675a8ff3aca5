//! The operators' HTTP/1.1 interface, with one request per connection ("call"). This module parses calls and
//! writes responses; the parts of the proxy that own a command carry it out.

use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::io;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};

use leadmast::Micros;
use slog::warn;

use crate::accept_failure::AcceptFailure;
use crate::deadlines::DeadlineKind;
use crate::figures::{Metrics, OutcomeCounts};
use crate::ids::CallerId;
use crate::ring::{Ring, Transfer};
use crate::turn::{self, EventSource, Polled, Turn};

/// Maximum size in bytes of a call's head, and maximum number of its headers.
const MAX_CALL_SIZE: usize = 8 * 1024;
const MAX_HEADERS: usize = 64;
/// How long a call may take to arrive and to be carried out, and how long a connection stays open after the
/// response.
const CALL_TIMEOUT: Micros = 3_000_000;
const LINGER: Micros = 500_000;
/// Pause after a failed accept.
const ACCEPT_RETRY: Micros = 20_000;
/// Maximum number of reads of one connection in one turn.
const READS_PER_TURN: usize = 8;

/// A command of an operator.
#[derive(Debug, PartialEq, Eq)]
pub enum Command {
    /// Report the proxy's state.
    Status,
    /// Report the metrics.
    Metrics,
    /// Report the timing of the event loop.
    Loop,
    /// Report the counters of plain statements.
    Shapes,
    /// Send no new requests to the db host of this name until it is readmitted.
    HoldOut(String),
    /// Readmit the db host of this name.
    Readmit(String),
    /// Report the state of the sites.
    Sites,
    /// Send no new requests to the db hosts of this site until the site is readmitted.
    HoldSite(String),
    /// Readmit the site of this name.
    ReadmitSite(String),
    /// Report the group of this proxy and the state of its peers.
    Placement,
    /// Close clients between requests.
    Standby,
    /// Serve clients again.
    Active,
}

/// The response to a call.
#[derive(Debug, PartialEq, Eq)]
pub struct Response {
    status: u16,
    /// The method that the path supports, if the call used another one.
    allow: Option<&'static str>,
    body: String,
}

impl Response {
    pub fn new(status: u16, body: impl Into<String>) -> Self {
        Response { status, allow: None, body: body.into() }
    }

    fn bytes(&self) -> Vec<u8> {
        let reason = match self.status {
            200 => "OK",
            400 => "Bad Request",
            404 => "Not Found",
            405 => "Method Not Allowed",
            408 => "Request Timeout",
            431 => "Request Header Fields Too Large",
            503 => "Service Unavailable",
            504 => "Gateway Timeout",
            _ => "Internal Server Error",
        };
        let allow = self.allow.map(|m| format!("Allow: {m}\r\n")).unwrap_or_default();
        let (status, length) = (self.status, self.body.len());
        let head = format!("HTTP/1.1 {status} {reason}\r\nContent-Type: text/plain; version=0.0.4\r\n");
        format!("{head}{allow}Content-Length: {length}\r\nConnection: close\r\n\r\n{}", self.body)
            .into_bytes()
    }
}

/// The state of an operator's connection.
enum Stage {
    /// The call is incomplete.
    Receiving,
    /// The call is being carried out.
    Executing,
    /// The response is written or buffered; further input is discarded until the caller closes.
    Answered,
    /// The response is written and the sending side is shut down, which happens only once, because each
    /// shutdown wakes the poll.
    Lingering,
}

/// An operator's connection.
struct Caller {
    polled: Polled,
    inbound: Ring,
    outbound: Ring,
    stage: Stage,
    due: Micros,
}

/// The listener for operators and their connections.
pub struct Control {
    listener: Polled<TcpListener>,
    max_callers: usize,
    callers: BTreeMap<CallerId, Caller>,
    next_caller: u64,
}

impl Control {
    /// Listens at `addr` and keeps at most `max_callers` connections open.
    pub fn listen(turn: &Turn, addr: SocketAddr, max_callers: usize) -> io::Result<Self> {
        let listener = Polled::new(turn, turn::listening_socket(addr)?, EventSource::Control)?;
        Ok(Control { listener, max_callers, callers: BTreeMap::new(), next_caller: 0 })
    }

    pub fn local_addr(&self) -> Option<SocketAddr> {
        self.listener.socket.local_addr().ok()
    }

    /// Accepts connections of operators.
    pub fn accept(&mut self, turn: &mut Turn) {
        // At most as many per turn as may be open at a time, so that accepted callers are served before more
        // come.
        for _ in 0..self.max_callers {
            match self.listener.socket.accept() {
                Ok((socket, _)) => {
                    if let Err(e) = self.accept_caller(turn, socket) {
                        warn!(turn.log, "cannot serve an operator's connection"; "error" => e.to_string());
                    }
                }
                Err(e) => match AcceptFailure::from_error(&e) {
                    AcceptFailure::NoneWaiting => return,
                    AcceptFailure::BrokenConnection => {}
                    AcceptFailure::OutOfDescriptors | AcceptFailure::System => {
                        warn!(turn.log, "cannot accept an operator's connection"; "error" => e.to_string());
                        turn.deadlines.set(turn.now + ACCEPT_RETRY, DeadlineKind::RetryAcceptCallers);
                        return;
                    }
                },
            }
        }
        turn.defer(EventSource::Control);
    }

    /// Starts to serve an accepted connection; if there are too many, closes another one first.
    fn accept_caller(&mut self, turn: &mut Turn, socket: TcpStream) -> io::Result<()> {
        if self.callers.len() >= self.max_callers {
            // Closes the oldest connection that is answered or has nothing unread; if there is none, the
            // oldest one.
            let may_make_room = |c: &Caller| match c.stage {
                Stage::Answered | Stage::Lingering => true,
                Stage::Executing => false,
                Stage::Receiving => c.polled.is_quiet(),
            };
            let oldest = self.callers.iter().find(|(_, c)| may_make_room(c)).map(|(id, _)| *id);
            match oldest.or(self.callers.keys().next().copied()) {
                Some(id) => self.close(turn, id),
                None => return Err(io::Error::other("no descriptors for operators")),
            }
        }
        socket.set_nonblocking(true)?;
        socket.set_nodelay(true)?;
        let id = CallerId(self.next_caller);
        self.next_caller += 1;
        let polled = Polled::new(turn, socket, EventSource::Caller(id))?;
        let due = turn.now + CALL_TIMEOUT;
        turn.deadlines.set(due, DeadlineKind::Caller(id));
        let (inbound, outbound) = (Ring::default(), Ring::default());
        self.callers.insert(id, Caller { polled, inbound, outbound, stage: Stage::Receiving, due });
        Ok(())
    }

    /// Reads and writes as far as its share of a turn allows. Returns a complete call once; the proxy carries
    /// it out and then calls [`Control::respond`].
    pub fn ready(&mut self, turn: &mut Turn, id: CallerId) -> Option<Command> {
        for _ in 0..READS_PER_TURN {
            let c = self.callers.get_mut(&id)?;
            let moved =
                c.outbound.write_to(&c.polled.socket).and_then(|_| c.inbound.read_from(&c.polled.socket));
            match (moved, &c.stage) {
                (Ok(Transfer::Blocked), Stage::Answered) if c.outbound.is_empty() => {
                    // An immediate close could reset the connection and destroy what the caller has yet to
                    // read.
                    c.stage = Stage::Lingering;
                    let _ = c.polled.socket.shutdown(Shutdown::Write);
                    return None;
                }
                (Ok(Transfer::Blocked), _) => return None,
                (Ok(Transfer::Bytes(n)), Stage::Answered | Stage::Executing | Stage::Lingering) => {
                    c.inbound.consume(n)
                }
                (Ok(Transfer::Bytes(_)), Stage::Receiving) => match parse_call(c.inbound.bytes()) {
                    Ok(None) => {}
                    Ok(Some(command)) => {
                        (c.stage, c.inbound) = (Stage::Executing, Ring::default());
                        // More may be unread, and the edge-triggered poll reports it only once.
                        turn.defer(EventSource::Caller(id));
                        return Some(command);
                    }
                    Err(response) => {
                        self.respond(turn, id, &response);
                        return None;
                    }
                },
                // A caller that has shut down its sending side still waits for the response.
                (Ok(Transfer::End), Stage::Executing) => return None,
                (Ok(Transfer::End) | Err(_), _) => {
                    self.close(turn, id);
                    return None;
                }
            }
        }
        turn.defer(EventSource::Caller(id));
        None
    }

    /// Writes the response to a call.
    pub fn respond(&mut self, turn: &mut Turn, id: CallerId, response: &Response) {
        let Some(c) = self.callers.get_mut(&id) else { return };
        (c.stage, c.inbound) = (Stage::Answered, Ring::default());
        let _ = c.outbound.push(&response.bytes());
        // An error is met again in the caller's next share.
        let _ = c.outbound.write_to(&c.polled.socket);
        turn.deadlines.clear(c.due, DeadlineKind::Caller(id));
        c.due = turn.now + LINGER;
        turn.deadlines.set(c.due, DeadlineKind::Caller(id));
        turn.defer(EventSource::Caller(id));
    }

    /// Handles an expired deadline: the call did not arrive or was not carried out in time, or the caller did
    /// not close.
    pub fn due(&mut self, turn: &mut Turn, id: CallerId) {
        match self.callers.get(&id).map(|c| &c.stage) {
            Some(Stage::Receiving) => self.respond(turn, id, &Response::new(408, "no whole call in time\n")),
            Some(Stage::Executing) => {
                warn!(turn.log, "an operator's call was not carried out in time, but may still be");
                self.respond(turn, id, &Response::new(504, "not carried out in time, but may be yet\n"));
            }
            Some(Stage::Answered | Stage::Lingering) => self.close(turn, id),
            None => {}
        }
    }

    fn close(&mut self, turn: &mut Turn, id: CallerId) {
        if let Some(c) = self.callers.remove(&id) {
            turn.deadlines.clear(c.due, DeadlineKind::Caller(id));
            c.polled.close(turn);
        }
    }
}

/// Parses a call; returns `None` until its head is complete. Bodies are ignored.
fn parse_call(bytes: &[u8]) -> Result<Option<Command>, Response> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut request = httparse::Request::new(&mut headers);
    match request.parse(bytes) {
        Ok(httparse::Status::Complete(_)) => {}
        Ok(httparse::Status::Partial) if bytes.len() < MAX_CALL_SIZE => return Ok(None),
        Ok(httparse::Status::Partial) | Err(httparse::Error::TooManyHeaders) => {
            return Err(Response::new(431, "the call is too long\n"))
        }
        Err(e) => return Err(Response::new(400, format!("not HTTP/1.1: {e}\n"))),
    }
    let (method, target) = (request.method.unwrap_or_default(), request.path.unwrap_or_default());
    let path = target.split('?').next().unwrap_or_default();
    let parts: Vec<_> = path.split('/').skip(1).collect();
    let id = |id: &str| decode_percent(id).ok_or_else(|| Response::new(400, "the id can't be read\n"));
    let (allow, command) = match parts[..] {
        ["status"] => ("GET", Command::Status),
        ["status", "metrics"] => ("GET", Command::Metrics),
        ["shapes"] => ("GET", Command::Shapes),
        ["status", "loop"] => ("GET", Command::Loop),
        ["maintenance", "enter", name] => ("PUT", Command::HoldOut(id(name)?)),
        ["maintenance", "exit", name] => ("PUT", Command::Readmit(id(name)?)),
        ["sites"] => ("GET", Command::Sites),
        ["placement"] => ("GET", Command::Placement),
        ["sites", "hold", name] => ("PUT", Command::HoldSite(id(name)?)),
        ["sites", "back", name] => ("PUT", Command::ReadmitSite(id(name)?)),
        ["standby"] => ("PUT", Command::Standby),
        ["active"] => ("PUT", Command::Active),
        _ => return Err(Response::new(404, "no such call\n")),
    };
    if method != allow {
        return Err(Response { status: 405, allow: Some(allow), body: format!("only {allow}\n") });
    }
    Ok(Some(command))
}

/// Decodes percent-encoding; returns `None` if the text is empty or malformed.
fn decode_percent(text: &str) -> Option<String> {
    let mut pieces = text.split('%');
    let mut bytes = pieces.next()?.as_bytes().to_vec();
    for piece in pieces {
        let code = piece.get(..2).filter(|c| c.bytes().all(|b| b.is_ascii_hexdigit()))?;
        bytes.push(u8::from_str_radix(code, 16).ok()?);
        bytes.extend(&piece.as_bytes()[2..]);
    }
    String::from_utf8(bytes).ok().filter(|id| !id.is_empty())
}

/// Renders the metrics in the text exposition format.
pub fn exposition(metrics: &Metrics, classes: &[String], tenants: &[String]) -> String {
    let statuses = |c: &OutcomeCounts| [("success", c.served), ("overload", c.refused), ("error", c.failed)];
    let mut text = String::from("# TYPE app_replies counter\n");
    for (class, count) in classes.iter().zip(&metrics.classes) {
        for (status, n) in statuses(count) {
            let _ = writeln!(text, "app_replies{{type=\"{class}\",status=\"{status}\"}} {n}");
        }
    }
    if !tenants.is_empty() {
        text += "# TYPE app_tenant_replies counter\n";
    }
    for (tenant, count) in tenants.iter().zip(&metrics.tenants) {
        for (share, count) in [("within", &count.within), ("beyond", &count.beyond)] {
            for (status, n) in statuses(count) {
                let labels = format!("tenant={tenant:?},share=\"{share}\",status=\"{status}\"");
                let _ = writeln!(text, "app_tenant_replies{{{labels}}} {n}");
            }
        }
    }
    text += "# TYPE app_violations counter\n";
    for (rule, n) in metrics.violations.by_rule() {
        let _ = writeln!(text, "app_violations{{rule=\"{}\"}} {n}", rule.name());
    }
    let by_label = [
        ("denials", "reason", &metrics.denials),
        ("retries", "after", &metrics.retries),
        ("answer_checks", "found", &metrics.answer_checks),
        ("client_closes", "reason", &metrics.closes),
    ];
    for (name, label, counts) in by_label.into_iter().filter(|(.., counts)| !counts.is_empty()) {
        let _ = writeln!(text, "# TYPE app_{name} counter");
        for (value, n) in counts {
            let _ = writeln!(text, "app_{name}{{{label}=\"{value}\"}} {n}");
        }
    }
    if !metrics.unserved.is_empty() {
        text += "# TYPE app_not_served counter\n";
    }
    for ((outcome, reason), n) in &metrics.unserved {
        let _ = writeln!(text, "app_not_served{{outcome=\"{outcome}\",reason=\"{reason}\"}} {n}");
    }
    let totals = [
        ("dispatches", "counter", metrics.dispatches),
        ("gone_unsent", "counter", metrics.gone_unsent),
        ("sent_after_gone", "counter", metrics.sent_after_gone),
        ("expired_unsent", "counter", metrics.expired_unsent),
        ("concurrent", "gauge", metrics.concurrent),
        ("targets", "gauge", metrics.targets),
        ("targets_disabled", "gauge", metrics.targets_avoided),
    ];
    for (name, kind, n) in totals {
        let _ = writeln!(text, "# TYPE app_{name} {kind}\napp_{name} {n}");
    }
    let refused = metrics.reads_refused_as_writes;
    if refused > 0 {
        let name = "app_reads_refused_as_writes";
        let _ = writeln!(text, "# TYPE {name} counter\n{name} {refused}");
    }
    text
}

#[cfg(test)]
mod tests;
