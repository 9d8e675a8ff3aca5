//! The operators' address: HTTP/1.1, one call a connection. Here calls are read and answers written; what a
//! call asks for is done by the parts that own it.

use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::io;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};

use leadmast::Micros;
use slog::warn;

use crate::accept_failure::AcceptFailure;
use crate::deadlines::Due;
use crate::figures::{Metrics, OutcomeCounts};
use crate::ids::CallerId;
use crate::ring::{Moved, Ring};
use crate::turn::{self, Polled, Source, Turn};

/// Longest call taken, and its most headers.
const LONGEST_CALL: usize = 8 * 1024;
const HEADERS: usize = 64;
/// How long a caller may take over its call, and how long it is read on after the answer.
const CALL_TIMEOUT: Micros = 3_000_000;
const LINGER: Micros = 500_000;
/// Pause after callers could not be accepted.
const ACCEPT_RETRY: Micros = 20_000;

/// What an operator asks for.
#[derive(Debug, PartialEq, Eq)]
pub enum Command {
    Status,
    Figures,
    /// How the loop has fared.
    Loop,
    /// How plain statements fare.
    Shapes,
    /// Nothing new to the db host of this name, until it is readmitted.
    HoldOut(String),
    Readmit(String),
    /// How sites stand.
    Sites,
    /// Nothing new to a site's db hosts, until it is let back.
    HoldSite(String),
    LetSiteBack(String),
    /// Which group this proxy is in, and how the others of it stand.
    Placement,
    /// Clients are to be sent away, or served again.
    Standby,
    Active,
}

/// What a caller is told.
#[derive(Debug, PartialEq, Eq)]
pub struct Answer {
    status: u16,
    /// The one method that the path has, where the call used another.
    allow: Option<&'static str>,
    body: String,
}

impl Answer {
    pub fn new(status: u16, body: impl Into<String>) -> Self {
        Answer { status, allow: None, body: body.into() }
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

enum Stage {
    /// Its call is not whole yet.
    Asking,
    /// Its call is being carried out.
    Owed,
    /// Its answer is given; whatever still comes is discarded until it closes too.
    Answered,
}

struct Caller {
    polled: Polled,
    inbound: Ring,
    outbound: Ring,
    stage: Stage,
    due: Micros,
}

/// The operators' side.
pub struct Control {
    listener: Polled<TcpListener>,
    most: usize,
    callers: BTreeMap<CallerId, Caller>,
    next: u64,
}

impl Control {
    /// Listens at `addr` and holds `most` callers at most.
    pub fn listen(turn: &Turn, addr: SocketAddr, most: usize) -> io::Result<Self> {
        let listener = Polled::new(turn, turn::listener(addr)?, Source::Control)?;
        Ok(Control { listener, most, callers: BTreeMap::new(), next: 0 })
    }

    pub fn local_addr(&self) -> Option<SocketAddr> {
        self.listener.socket.local_addr().ok()
    }

    pub fn accept(&mut self, turn: &mut Turn) {
        // As many as there may be at a time: those that come after them have their turn, too.
        for _ in 0..self.most {
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
                        turn.deadlines.set(turn.now + ACCEPT_RETRY, Due::AcceptCallers);
                        return;
                    }
                },
            }
        }
        turn.again.push(Source::Control);
    }

    fn accept_caller(&mut self, turn: &mut Turn, socket: TcpStream) -> io::Result<()> {
        if self.callers.len() >= self.most {
            // Whoever has been silent longest makes room; one whose call stands unread is spared.
            let silent = |c: &Caller| match c.stage {
                Stage::Answered => true,
                Stage::Owed => false,
                Stage::Asking => c.polled.is_quiet(),
            };
            let oldest = self.callers.iter().find(|(_, c)| silent(c)).map(|(id, _)| *id);
            match oldest.or(self.callers.keys().next().copied()) {
                Some(id) => self.close(turn, id),
                None => return Err(io::Error::other("no descriptors for operators")),
            }
        }
        socket.set_nonblocking(true)?;
        socket.set_nodelay(true)?;
        let id = CallerId(self.next);
        self.next += 1;
        let polled = Polled::new(turn, socket, Source::Caller(id))?;
        let due = turn.now + CALL_TIMEOUT;
        turn.deadlines.set(due, Due::Caller(id));
        let (inbound, outbound) = (Ring::default(), Ring::default());
        self.callers.insert(id, Caller { polled, inbound, outbound, stage: Stage::Asking, due });
        Ok(())
    }

    /// Reads on; a whole call is handed out once, and owed [`Control::answer`].
    pub fn ready(&mut self, turn: &mut Turn, id: CallerId) -> Option<Command> {
        loop {
            let c = self.callers.get_mut(&id)?;
            let moved = c.outbound.drain(&c.polled.socket).and_then(|_| c.inbound.fill(&c.polled.socket));
            match (moved, &c.stage) {
                (Ok(Moved::Nothing), Stage::Answered) if c.outbound.is_empty() => {
                    // Closing at once would reset what the caller has yet to read.
                    let _ = c.polled.socket.shutdown(Shutdown::Write);
                    return None;
                }
                (Ok(Moved::Nothing), _) => return None,
                (Ok(Moved::Some(n)), Stage::Answered | Stage::Owed) => c.inbound.consume(n),
                (Ok(Moved::Some(_)), Stage::Asking) => match read(c.inbound.bytes()) {
                    Ok(None) => {}
                    Ok(Some(command)) => {
                        (c.stage, c.inbound) = (Stage::Owed, Ring::default());
                        return Some(command);
                    }
                    Err(answer) => self.answer(turn, id, &answer),
                },
                // One that has said all it will still waits for its answer.
                (Ok(Moved::End), Stage::Owed) => return None,
                (Ok(Moved::End) | Err(_), _) => {
                    self.close(turn, id);
                    return None;
                }
            }
        }
    }

    pub fn answer(&mut self, turn: &mut Turn, id: CallerId, answer: &Answer) {
        let Some(c) = self.callers.get_mut(&id) else { return };
        (c.stage, c.inbound) = (Stage::Answered, Ring::default());
        let _ = c.outbound.push(&answer.bytes());
        turn.deadlines.clear(c.due, Due::Caller(id));
        c.due = turn.now + LINGER;
        turn.deadlines.set(c.due, Due::Caller(id));
        self.ready(turn, id);
    }

    /// A caller took too long over its call, or to close.
    pub fn due(&mut self, turn: &mut Turn, id: CallerId) {
        match self.callers.get(&id).map(|c| &c.stage) {
            Some(Stage::Asking) => self.answer(turn, id, &Answer::new(408, "no whole call in time\n")),
            Some(Stage::Owed) => {
                warn!(turn.log, "an operator's call is not carried out in time, but may be yet");
                self.answer(turn, id, &Answer::new(504, "not carried out in time, but may be yet\n"));
            }
            Some(Stage::Answered) => self.close(turn, id),
            None => {}
        }
    }

    fn close(&mut self, turn: &mut Turn, id: CallerId) {
        if let Some(c) = self.callers.remove(&id) {
            turn.deadlines.clear(c.due, Due::Caller(id));
            c.polled.close(turn);
        }
    }
}

/// Reads a call; `None` until its head is whole. A body asks for nothing here.
fn read(bytes: &[u8]) -> Result<Option<Command>, Answer> {
    let mut headers = [httparse::EMPTY_HEADER; HEADERS];
    let mut request = httparse::Request::new(&mut headers);
    match request.parse(bytes) {
        Ok(httparse::Status::Complete(_)) => {}
        Ok(httparse::Status::Partial) if bytes.len() < LONGEST_CALL => return Ok(None),
        Ok(httparse::Status::Partial) | Err(httparse::Error::TooManyHeaders) => {
            return Err(Answer::new(431, "the call is too long\n"))
        }
        Err(e) => return Err(Answer::new(400, format!("not HTTP/1.1: {e}\n"))),
    }
    let (method, target) = (request.method.unwrap_or_default(), request.path.unwrap_or_default());
    let path = target.split('?').next().unwrap_or_default();
    let parts: Vec<_> = path.split('/').skip(1).collect();
    let id = |id: &str| decode(id).ok_or_else(|| Answer::new(400, "the id can't be read\n"));
    let (allow, command) = match parts[..] {
        ["status"] => ("GET", Command::Status),
        ["status", "metrics"] => ("GET", Command::Figures),
        ["shapes"] => ("GET", Command::Shapes),
        ["status", "loop"] => ("GET", Command::Loop),
        ["maintenance", "enter", name] => ("PUT", Command::HoldOut(id(name)?)),
        ["maintenance", "exit", name] => ("PUT", Command::Readmit(id(name)?)),
        ["sites"] => ("GET", Command::Sites),
        ["placement"] => ("GET", Command::Placement),
        ["sites", "hold", name] => ("PUT", Command::HoldSite(id(name)?)),
        ["sites", "back", name] => ("PUT", Command::LetSiteBack(id(name)?)),
        ["standby"] => ("PUT", Command::Standby),
        ["active"] => ("PUT", Command::Active),
        _ => return Err(Answer::new(404, "no such call\n")),
    };
    if method != allow {
        return Err(Answer { status: 405, allow: Some(allow), body: format!("only {allow}\n") });
    }
    Ok(Some(command))
}

/// Undoes percent-encoding.
fn decode(text: &str) -> Option<String> {
    let mut pieces = text.split('%');
    let mut bytes = pieces.next()?.as_bytes().to_vec();
    for piece in pieces {
        let code = piece.get(..2).filter(|c| c.bytes().all(|b| b.is_ascii_hexdigit()))?;
        bytes.push(u8::from_str_radix(code, 16).ok()?);
        bytes.extend(&piece.as_bytes()[2..]);
    }
    String::from_utf8(bytes).ok().filter(|id| !id.is_empty())
}

/// The figures as text: a line each, by class where a class has its own.
pub fn exposition(figures: &Metrics, classes: &[String], tenants: &[String]) -> String {
    let statuses = |c: &OutcomeCounts| [("success", c.served), ("overload", c.refused), ("error", c.failed)];
    let mut text = String::from("# TYPE app_replies counter\n");
    for (class, count) in classes.iter().zip(&figures.classes) {
        for (status, n) in statuses(count) {
            let _ = writeln!(text, "app_replies{{type=\"{class}\",status=\"{status}\"}} {n}");
        }
    }
    if !tenants.is_empty() {
        text += "# TYPE app_tenant_replies counter\n";
    }
    for (tenant, count) in tenants.iter().zip(&figures.tenants) {
        for (share, count) in [("within", &count.within), ("beyond", &count.beyond)] {
            for (status, n) in statuses(count) {
                let labels = format!("tenant={tenant:?},share=\"{share}\",status=\"{status}\"");
                let _ = writeln!(text, "app_tenant_replies{{{labels}}} {n}");
            }
        }
    }
    text += "# TYPE app_violations counter\n";
    for (rule, n) in figures.violations.by_rule() {
        let _ = writeln!(text, "app_violations{{rule=\"{}\"}} {n}", rule.name());
    }
    let by_label = [
        ("denials", "reason", &figures.denials),
        ("retries", "after", &figures.retries),
        ("answer_checks", "found", &figures.answer_checks),
        ("client_closes", "reason", &figures.closes),
    ];
    for (name, label, counts) in by_label.into_iter().filter(|(.., counts)| !counts.is_empty()) {
        let _ = writeln!(text, "# TYPE app_{name} counter");
        for (value, n) in counts {
            let _ = writeln!(text, "app_{name}{{{label}=\"{value}\"}} {n}");
        }
    }
    if !figures.unserved.is_empty() {
        text += "# TYPE app_not_served counter\n";
    }
    for ((outcome, reason), n) in &figures.unserved {
        let _ = writeln!(text, "app_not_served{{outcome=\"{outcome}\",reason=\"{reason}\"}} {n}");
    }
    let totals = [
        ("dispatches", "counter", figures.dispatches),
        ("gone_unsent", "counter", figures.gone_unsent),
        ("sent_after_gone", "counter", figures.sent_after_gone),
        ("expired_unsent", "counter", figures.expired_unsent),
        ("concurrent", "gauge", figures.concurrent),
        ("targets", "gauge", figures.targets),
        ("targets_disabled", "gauge", figures.targets_avoided),
    ];
    for (name, kind, n) in totals {
        let _ = writeln!(text, "# TYPE app_{name} {kind}\napp_{name} {n}");
    }
    text
}

#[cfg(test)]
mod tests;
