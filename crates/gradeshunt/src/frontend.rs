//! The client side: the listener and the clients' sessions.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::io;
use std::net::{Shutdown, TcpListener};
use std::rc::Rc;

use gradeshunt_classing::Key;
use leadmast::settings::{fnv, Names};
use leadmast::{Effect, GroupId, Micros, ReadLevel, RequestId, Settings};
use slog::{debug, info, warn};

use crate::deadlines::Due;
use crate::exchange::{Body, Call, Exchange, Final, Form, ROOM};
use crate::ids::SessionId;
use crate::inbound::Inbound;
use crate::memory;
use crate::pg::{self, sqlstate, Malformed, Startup, Writer, LONGEST_ANSWER, WHOLE_ROW};
use crate::ring::{Moved, Ring, LARGEST, SMALL};
use crate::routing::{Decision, Origin, Routed, Router, Rules};
use crate::turn::{Polled, Source, Turn};

/// Connections accepted, and reads of one connection, in one turn.
const ACCEPTS: usize = 64;
const READS: usize = 8;
/// Messages of one connection worked off in one turn.
const MESSAGES: usize = 32;
/// No further request is begun while this much of earlier answers is unread: the ring has room for one more.
const UNREAD: usize = LARGEST - LONGEST_ANSWER - 1024;
/// A final answer has to fit behind what is unread: one of a value, at most [`UNREAD`]; the rest of a whole result, of which
/// no more is held than this, too.
const _: () = assert!(UNREAD + LONGEST_ANSWER < LARGEST && ROOM + WHOLE_ROW + LONGEST_ANSWER < LARGEST);
/// How long a client may take over one message, its startup message too.
const PATIENCE: Micros = 2_500_000;
/// A slow client may take so long over its first request; and so long a client may be new, or just have had an
/// answer, before it goes where room is needed.
const SLOW: Micros = 2_100_000;
const JUST: Micros = 50_000;
const GUEST: Micros = 500_000;
/// A client without a request so long expects to be closed.
const IDLE: Micros = 2_000_000;
/// Pace at which idle clients are looked over, and what is borne of them among many.
const REAP: Micros = 50_000;
const IDLE_AMONG_MANY: Micros = 100_000;
/// How long a new client may take to ask while clients are sent away.
const FRESH: Micros = 2_300_000;
/// How long a closing connection is read on, so that what was written last is not lost to a reset: from its last byte.
const LINGER: Micros = 1_000_000;
/// How long no byte of what was written last may move, where a client is slow to read it.
const UNREAD_FOR: Micros = 5_000_000;
/// Pause after connections could not be accepted.
const ACCEPT_AGAIN: Micros = 20_000;

enum Stage {
    /// Awaiting the startup message.
    Startup,
    /// Between requests.
    Ready,
    /// A request is out.
    Waiting(RequestId),
    /// The last word is being written; whatever still comes is discarded.
    Closing,
    /// It is written, and sending shut down, once: each time wakes the poll. It is read on until the client closes too.
    Lingering,
}

struct Session {
    polled: Polled,
    inbound: Inbound,
    outbound: Ring,
    stage: Stage,
    /// An unsupported message was answered with an error: all is passed over until Sync.
    skipping: bool,
    ended: bool,
    /// It has sent a query.
    asked: bool,
    /// When it was last of use.
    since: Micros,
    due: Option<Micros>,
    /// Who it is.
    origin: Origin,
    /// Whether what is out may write, and when the last one that might was answered.
    writing: bool,
    wrote: Option<Micros>,
}

impl Session {
    /// Whether it has had its last word, or is about to.
    fn is_ending(&self) -> bool {
        matches!(self.stage, Stage::Closing | Stage::Lingering)
    }
}

/// Who waits for a request, and its id.
struct Owner {
    session: SessionId,
    id: Rc<str>,
}

/// Whom the proxy serves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Service {
    Running,
    /// Operators drain it: clients are served, and closed between requests.
    Standby,
    /// After SIGTERM likewise, and for good.
    Closing,
}

/// The client side.
pub struct Frontend {
    listener: Option<Polled<TcpListener>>,
    settings: Settings,
    names: Names,
    most: usize,
    most_memory: usize,
    sessions: BTreeMap<SessionId, Session>,
    owners: HashMap<RequestId, Owner>,
    /// The ids of open requests, as clients gave them.
    ids: HashSet<Rc<str>>,
    next: u64,
    service: Service,
    /// After SIGTERM: until when all that is still taken has its answer.
    last_call: Option<Micros>,
    /// Clients closed to make room since the last summary, by how readily.
    evicted: [u32; 6],
    /// Whether the proxy knows of db hosts at all.
    pub able: bool,
    /// Routes of plain statements, where the operators' file gives some.
    router: Option<Router>,
    /// Plain statements so far: each has a name of its own.
    plain: u64,
}

impl Frontend {
    /// A client side that has yet to be opened.
    pub fn new(settings: Settings, names: Names) -> Self {
        Frontend {
            listener: None,
            settings,
            names,
            most: 0,
            most_memory: 0,
            sessions: BTreeMap::new(),
            owners: HashMap::new(),
            ids: HashSet::new(),
            next: 0,
            service: Service::Running,
            last_call: None,
            evicted: [0; 6],
            able: false,
            router: None,
            plain: 0,
        }
    }

    /// Plain statements are routed by these rules from now on, or refused where there are none.
    pub fn route_by(&mut self, rules: Option<Rules>) {
        use std::hash::{BuildHasher, RandomState};
        let secret = || RandomState::new().hash_one(0_u8);
        self.router = rules.map(|rules| Router::new(rules, Key(secret(), secret())));
    }

    /// How plain statements fare, as text.
    pub fn exposition(&self) -> Option<String> {
        self.router.as_ref().map(Router::exposition)
    }

    /// Holds `most` clients at most; none gets more memory once `most_memory` is held.
    pub fn limit(&mut self, turn: &mut Turn, most: usize, most_memory: usize) {
        (self.most, self.most_memory) = (most, most_memory);
        // Another process has the rest from now on.
        while self.sessions.len() > most && self.close_oldest_idle(turn) {}
    }

    /// Accepts clients from now on.
    pub fn open(&mut self, turn: &mut Turn, listener: TcpListener) -> io::Result<()> {
        self.listener = Some(Polled::new(turn, listener, Source::Listener)?);
        // What came before the socket was polled is told to nobody.
        turn.again.push(Source::Listener);
        Ok(())
    }

    // ---- The listener ----

    pub fn accept(&mut self, turn: &mut Turn) {
        if self.accept_some(turn) == Backlog::More {
            turn.again.push(Source::Listener);
        }
    }

    fn accept_some(&mut self, turn: &mut Turn) -> Backlog {
        for _ in 0..ACCEPTS {
            let Some(listener) = &self.listener else { return Backlog::Empty };
            match listener.socket.accept() {
                Ok((socket, _)) => {
                    if let Err(e) = self.welcome(turn, socket) {
                        warn!(turn.log, "cannot serve a connection"; "error" => e.to_string());
                    }
                }
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => return Backlog::Empty,
                Err(e)
                    if matches!(e.kind(), io::ErrorKind::ConnectionAborted | io::ErrorKind::Interrupted) => {}
                Err(e) => {
                    // Out of descriptors, most likely: the listener stays readable, so it is tried again only
                    // after a pause, with one more descriptor to spare.
                    warn!(turn.log, "cannot accept connections"; "error" => e.to_string());
                    self.close_oldest_idle(turn);
                    turn.deadlines.set(turn.now + ACCEPT_AGAIN, Due::Accept);
                    return Backlog::Stuck;
                }
            }
        }
        Backlog::More
    }

    fn welcome(&mut self, turn: &mut Turn, socket: std::net::TcpStream) -> io::Result<()> {
        socket.set_nonblocking(true)?;
        socket.set_nodelay(true)?;
        let id = SessionId(self.next);
        self.next += 1;
        let full = self.sessions.len() >= self.most && !self.close_oldest_idle(turn);
        let polled = Polled::new(turn, socket, Source::Session(id))?;
        let session = Session {
            polled,
            inbound: Inbound::default(),
            outbound: Ring::default(),
            stage: Stage::Startup,
            skipping: false,
            ended: false,
            asked: false,
            since: turn.now,
            due: None,
            origin: Origin::default(),
            writing: false,
            wrote: None,
        };
        self.sessions.insert(id, session);
        self.set_due(turn, id, Some(turn.now + PATIENCE));
        if full {
            warn!(turn.log, "too many clients, turning one away"; "clients" => self.sessions.len());
            let error =
                Writer::default().error("FATAL", sqlstate::TOO_MANY_CONNECTIONS, "too many clients", None);
            self.last_word(turn, id, error);
        }
        Ok(())
    }

    /// Stops accepting after SIGTERM, and begins to close clients between requests. What waits on the socket is a
    /// successor's where there is one; it is the same socket, and must not be shut down.
    pub fn close_listener(&mut self, turn: &mut Turn, exchange: &mut Exchange, succeeded: bool) {
        // Connections that the kernel has accepted count as the proxy's.
        let backlog =
            std::iter::repeat_with(|| if succeeded { Backlog::Empty } else { self.accept_some(turn) })
                .find(|b| *b != Backlog::More);
        if backlog == Some(Backlog::Stuck) {
            // They would be reset with the socket: clients that leave make room for them.
            turn.deadlines.set(turn.now + ACCEPT_AGAIN, Due::CloseListener);
        } else if let Some(listener) = self.listener.take() {
            listener.close(turn);
        }
        self.send_away(turn, exchange, Service::Closing);
    }

    /// After SIGTERM no request is held beyond `at`: whoever told us to end may kill us soon after.
    pub fn last_call(&mut self, at: Micros) {
        self.last_call = Some(at);
    }

    /// Clients are sent away between requests, or served on.
    pub fn stand_by(&mut self, turn: &mut Turn, exchange: &mut Exchange, standby: bool) {
        match self.service {
            Service::Closing => {}
            _ if standby => self.send_away(turn, exchange, Service::Standby),
            _ => self.service = Service::Running,
        }
    }

    fn send_away(&mut self, turn: &mut Turn, exchange: &mut Exchange, service: Service) {
        self.service = service;
        for id in self.sessions.keys().copied().collect::<Vec<_>>() {
            self.ready(turn, exchange, id);
        }
    }

    /// Closes a client that is sent away, once it is quiet: nothing unread, nothing unanswered. One that has yet
    /// to ask gets its time; its request is on its way, as a rule.
    fn dismiss(&mut self, turn: &mut Turn, id: SessionId) {
        let Some(s) = self.sessions.get(&id).filter(|_| self.service != Service::Running) else { return };
        let fresh = turn.now - s.since <= FRESH && self.last_call.is_none_or(|at| turn.now < at);
        let between = match s.stage {
            Stage::Startup => !fresh,
            Stage::Ready => s.asked || !fresh,
            Stage::Waiting(_) | Stage::Closing | Stage::Lingering => false,
        };
        if between && s.inbound.is_empty() && s.outbound.is_empty() && s.polled.is_quiet() {
            self.last_word(turn, id, Writer::default());
        }
    }

    /// Sums up in the log who was closed to make room.
    pub fn sum_up(&mut self, turn: &Turn) {
        let [closing, mute, idle, slow, fresh, between] = std::mem::take(&mut self.evicted);
        info!(turn.log, "clients"; "open" => self.sessions.len(), "closing" => closing, "mute" => mute,
            "idle" => idle, "slow" => slow, "between" => between, "new" => fresh);
    }

    /// Closes clients that have had their answers and keep their connection for good, or that connect and say
    /// nothing. Together they would hold all that clients may hold, and nobody else's request would get through. Where few are open, as with a
    /// person at a prompt, none is closed.
    pub fn reap(&mut self, turn: &mut Turn) {
        turn.deadlines.set(turn.now + REAP, Due::Reap);
        if self.service != Service::Running {
            return self
                .sessions
                .keys()
                .copied()
                .collect::<Vec<_>>()
                .into_iter()
                .for_each(|id| self.dismiss(turn, id));
        }
        let open = self.sessions.values().filter(|s| !s.is_ending()).count();
        if open <= self.most / 8 {
            return;
        }
        // One at a time beyond so many, the longest idle first: a close may cross a request.
        let excess = open.saturating_sub(self.most * 2 / 5);
        // The fuller, the sooner: their clients, too, have only so many connections.
        let idle_borne = if open > self.most * 3 / 5 { JUST } else { IDLE_AMONG_MANY };
        let idle = self.sessions.iter().filter_map(|(id, s)| {
            let borne = match s.stage {
                Stage::Startup => SLOW,
                Stage::Ready if s.asked => idle_borne,
                Stage::Ready | Stage::Waiting(_) | Stage::Closing | Stage::Lingering => return None,
            };
            let silent = s.inbound.is_empty() && s.outbound.is_empty() && s.polled.is_quiet();
            (silent && turn.now - s.since > borne).then_some((s.since, *id))
        });
        let mut idle: Vec<_> = idle.collect();
        idle.sort();
        let over = |n: usize, since: Micros| n < excess || turn.now - since > IDLE;
        let idle = idle.into_iter().enumerate().filter(|(n, (since, _))| over(*n, *since));
        for (_, (_, id)) in idle.collect::<Vec<_>>() {
            self.evicted[2] += 1;
            // A request may be on its way: closed at once, the connection would be reset, and the last answer with it.
            self.last_word(turn, id, Writer::default());
        }
    }

    /// Whether the listener is closed and every client has had its answers.
    pub fn is_done(&self) -> bool {
        self.service == Service::Closing && self.listener.is_none() && self.sessions.is_empty()
    }

    /// Makes room by closing the client that [`makes_room`] names first, the oldest of equals.
    fn close_oldest_idle(&mut self, turn: &mut Turn) -> bool {
        let rank = |s: &Session| {
            let empty = s.inbound.is_empty() && s.outbound.is_empty();
            makes_room(&s.stage, s.asked, empty, turn.now - s.since)
        };
        let idle = self.sessions.iter().filter_map(|(id, s)| Some((rank(s)?, s.since, *id)));
        let mut idle: Vec<_> = idle.collect();
        idle.sort();
        // A request may stand unread in the socket: it counts as taken.
        let quiet = |id: &SessionId| self.sessions.get(id).is_some_and(|s| s.polled.is_quiet());
        let oldest = idle.into_iter().find(|(_, _, id)| quiet(id));
        if let Some((rank, _, id)) = oldest {
            self.evicted[rank] += 1;
            self.close(turn, id);
        }
        oldest.is_some()
    }

    // ---- Sessions ----

    /// A deadline of a session: it took too long over a message, or to close.
    pub fn session_due(&mut self, turn: &mut Turn, id: SessionId) {
        let Some(s) = self.sessions.get(&id).filter(|s| s.due.is_some_and(|due| due <= turn.now)) else {
            return;
        };
        if s.is_ending() {
            return self.close(turn, id);
        }
        let (code, what) = (sqlstate::PROTOCOL_VIOLATION, "no whole message in time");
        self.last_word(turn, id, Writer::default().error("FATAL", code, what, None));
    }

    pub fn ready(&mut self, turn: &mut Turn, exchange: &mut Exchange, id: SessionId) {
        let mut full = false;
        let arrived = turn.now - turn.unread;
        for n in 0..=READS {
            let Some(s) = self.sessions.get_mut(&id) else { return };
            if n == READS {
                s.inbound.note_unread(&s.polled.socket, arrived);
                turn.again.push(Source::Session(id));
                break;
            }
            full = s.inbound.is_full();
            match s.inbound.fill(&s.polled.socket, arrived) {
                Ok(Moved::Some(_)) if s.is_ending() => s.inbound.clear(),
                Ok(Moved::Some(_)) => {
                    // Better one long request turned away than the process killed for memory.
                    let waiting = matches!(s.stage, Stage::Waiting(_));
                    if s.inbound.len() > SMALL && !waiting && memory::held() > self.most_memory {
                        warn!(turn.log, "too much in buffers, turning a client away"; "bytes" => memory::held());
                        let w = Writer::default();
                        let error = w.error("FATAL", sqlstate::TOO_MANY_CONNECTIONS, "out of memory", None);
                        return self.last_word(turn, id, error);
                    }
                }
                // What has come fills the ring, and hides whether the client is still there.
                Ok(Moved::Nothing) if s.inbound.is_full() && s.polled.has_hung_up() => {
                    s.ended = true;
                    break;
                }
                Ok(Moved::Nothing) if s.inbound.is_full() => {
                    s.inbound.note_unread(&s.polled.socket, arrived);
                    break;
                }
                Ok(Moved::Nothing) => break,
                Ok(Moved::End) | Err(_) => {
                    s.ended = true;
                    break;
                }
            }
        }
        self.work(turn, exchange, id);
        // A full ring hid what else is readable, and the poll tells of that only once.
        if full && self.sessions.get(&id).is_some_and(|s| !s.inbound.is_full()) {
            turn.again.push(Source::Session(id));
        }
    }

    /// A part of a long answer.
    pub fn part(&mut self, turn: &mut Turn, exchange: &mut Exchange, request: RequestId, bytes: &[u8]) {
        let Some(id) = self.owners.get(&request).map(|o| o.session) else { return };
        let Some(s) = self.sessions.get_mut(&id) else { return };
        if !s.outbound.push(bytes) {
            return self.leave(turn, exchange, id);
        }
        self.flush(turn, id);
        self.tell_unread(exchange, id, bytes.len());
    }

    /// Lets the server side go on with a long answer as far as there is room for it here.
    fn tell_unread(&self, exchange: &mut Exchange, id: SessionId, got: usize) {
        if let Some(Session { stage: Stage::Waiting(request), outbound, .. }) = self.sessions.get(&id) {
            exchange.unread(*request, got, outbound.len());
        }
    }

    /// The final answer of a request.
    pub fn answer(&mut self, turn: &mut Turn, exchange: &mut Exchange, request: RequestId, answer: Final) {
        let Some(id) = self.disown(request) else { return };
        let Some(s) = self.sessions.get_mut(&id) else { return };
        (s.stage, s.since) = (Stage::Ready, turn.now);
        // What was committed was so by now; one that failed may have run as well.
        if std::mem::take(&mut s.writing) {
            s.wrote = Some(turn.now);
        }
        let w = Writer::default();
        let w = match answer {
            Final::Served(bytes) => Writer(bytes),
            Final::Refused { retry_after } => {
                let after = retry_after.map(|t| ((t + 999) / 1000).to_string());
                w.error(
                    "ERROR",
                    sqlstate::TOO_MANY_CONNECTIONS,
                    "no db host can take this now",
                    after.as_deref(),
                )
            }
            // An error would pass for bytes of the value that was cut.
            Final::Broken => return self.last_word(turn, id, w),
            Final::Failed(Some(error)) => Writer(error),
            Final::Failed(None) => {
                w.error("ERROR", sqlstate::SYSTEM_ERROR, "no db host has answered in time", None)
            }
        };
        let fits = s.outbound.push(&w.ready().0);
        if !fits {
            // The client has not read its earlier answers; nothing whole can follow them.
            return self.close(turn, id);
        }
        // Before anything else is read: a client that takes its leave right behind its request gets its answer.
        self.flush(turn, id);
        // What the client sent meanwhile may still stand unread in its socket.
        self.ready(turn, exchange, id);
    }

    /// Works off what has come, as far as the answers before it are out, and writes.
    fn work(&mut self, turn: &mut Turn, exchange: &mut Exchange, id: SessionId) {
        let mut worked = false;
        for n in 0..=MESSAGES {
            let Some(s) = self.sessions.get_mut(&id) else { return };
            if s.ended {
                return self.leave(turn, exchange, id);
            }
            if s.outbound.len() > UNREAD {
                break;
            }
            if n == MESSAGES {
                turn.again.push(Source::Session(id));
                break;
            }
            let step = match s.stage {
                Stage::Startup => self.startup(turn, id),
                Stage::Ready => self.message(turn, exchange, id),
                Stage::Waiting(_) | Stage::Closing | Stage::Lingering => break,
            };
            match step {
                Ok(true) => worked = true,
                Ok(false) => break,
                Err(Malformed(what)) => {
                    info!(turn.log, "client broke the protocol"; "session" => id.0, "what" => what);
                    let error = Writer::default().error("FATAL", sqlstate::PROTOCOL_VIOLATION, what, None);
                    self.last_word(turn, id, error);
                }
            }
        }
        self.flush(turn, id);
        self.tell_unread(exchange, id, 0);
        self.await_rest(turn, id, worked);
        self.dismiss(turn, id);
    }

    /// Sets the deadline for the rest of a message that has begun; each has its own, however slowly it drips.
    fn await_rest(&mut self, turn: &mut Turn, id: SessionId, worked: bool) {
        let Some(s) = self.sessions.get(&id) else { return };
        let part = match s.stage {
            Stage::Startup | Stage::Closing | Stage::Lingering => return,
            Stage::Ready => !s.inbound.is_empty() && s.outbound.len() <= UNREAD,
            Stage::Waiting(_) => false,
        };
        if !part {
            self.set_due(turn, id, None);
        } else if worked || s.due.is_none() {
            self.set_due(turn, id, Some(turn.now + PATIENCE));
        }
    }

    fn flush(&mut self, turn: &mut Turn, id: SessionId) {
        let Some(s) = self.sessions.get_mut(&id) else { return };
        let mut moved = false;
        loop {
            match s.outbound.drain(&s.polled.socket) {
                Ok(Moved::Some(_)) => moved = true,
                Ok(_) => break,
                Err(_) => {
                    // Read readiness tells of the close, too; this is only the first to notice.
                    s.ended = true;
                    return turn.again.push(Source::Session(id));
                }
            }
        }
        match s.stage {
            // The client may still be sending: closing at once would reset what it has yet to read.
            Stage::Closing if s.outbound.is_empty() => {
                s.stage = Stage::Lingering;
                let _ = s.polled.socket.shutdown(Shutdown::Write);
                self.set_due(turn, id, Some(turn.now + LINGER));
            }
            // As long as a slow client reads, it gets the rest.
            Stage::Closing if moved => self.set_due(turn, id, Some(turn.now + UNREAD_FOR)),
            _ => {}
        }
    }

    fn startup(&mut self, turn: &mut Turn, id: SessionId) -> Result<bool, Malformed> {
        let Some(s) = self.sessions.get_mut(&id) else { return Ok(false) };
        let Some((startup, size)) = pg::startup(s.inbound.bytes())? else { return Ok(false) };
        s.inbound.consume(size);
        let w = Writer::default();
        match startup {
            // Neither TLS nor GSSAPI is served: the client may go on in plain text.
            Startup::Encryption => Ok(s.outbound.push(b"N")),
            // Cancels are not served, and get no answer in this protocol.
            Startup::Cancel => {
                self.last_word(turn, id, w);
                Ok(false)
            }
            Startup::Unsupported => {
                let error =
                    w.error("FATAL", sqlstate::FEATURE_NOT_SUPPORTED, "unsupported frontend protocol", None);
                self.last_word(turn, id, error);
                Ok(false)
            }
            Startup::Session { minor, options, parameters } => {
                let named = |name: &str| {
                    parameters.iter().find(|p| p.0 == name).map(|p| p.1.clone()).unwrap_or_default()
                };
                let (user, database) = (named("user"), named("database"));
                // PostgreSQL's rule.
                let database = if database.is_empty() { user.clone() } else { database };
                s.origin = Origin { user, database, application_name: named("application_name") };
                let w = if minor > 0 || !options.is_empty() { w.negotiate(&options) } else { w };
                s.stage = Stage::Ready;
                let fits = s.outbound.push(&w.welcome(id.0 as u32).0);
                self.set_due(turn, id, None);
                Ok(fits)
            }
        }
    }

    fn message(
        &mut self,
        turn: &mut Turn,
        exchange: &mut Exchange,
        id: SessionId,
    ) -> Result<bool, Malformed> {
        let Some(s) = self.sessions.get_mut(&id) else { return Ok(false) };
        let Some(message) = pg::message(s.inbound.bytes(), pg::FRONTEND)? else { return Ok(false) };
        let (tag, size) = (message.tag, message.size);
        let text = if tag == b'Q' { pg::string(message.body)?.to_vec() } else { Vec::new() };
        let arrived = s.inbound.consume(size).unwrap_or(turn.now);
        s.since = turn.now;
        s.asked |= tag == b'Q';
        let skipping = s.skipping;
        let w = Writer::default();
        let reply = match tag {
            // Its last answer may not be written whole yet.
            b'X' if !s.outbound.is_empty() => {
                self.last_word(turn, id, w);
                return Ok(false);
            }
            b'X' => {
                s.ended = true;
                return Ok(true);
            }
            b'S' => {
                s.skipping = false;
                w.ready()
            }
            _ if skipping => return Ok(true),
            b'Q' => match self.query(turn, id, text, arrived) {
                Ok(Step::Reply(w)) => w,
                Ok(Step::Call(call, name)) => {
                    let request = exchange.submit(turn, *call);
                    self.ids.insert(Rc::clone(&name));
                    self.owners.insert(request, Owner { session: id, id: name });
                    if let Some(s) = self.sessions.get_mut(&id) {
                        s.stage = Stage::Waiting(request);
                    }
                    return Ok(true);
                }
                Err(what) => w.error("ERROR", sqlstate::INVALID_PARAMETER, &what, None).ready(),
            },
            b'P' | b'B' | b'D' | b'E' | b'C' | b'H' => {
                s.skipping = tag != b'H';
                w.error("ERROR", sqlstate::FEATURE_NOT_SUPPORTED, "only simple queries are supported", None)
            }
            b'F' => w
                .error("ERROR", sqlstate::FEATURE_NOT_SUPPORTED, "function calls are not supported", None)
                .ready(),
            // Copy data that comes late is passed over, as PostgreSQL does.
            b'd' | b'c' | b'f' => return Ok(true),
            _ => return Err(Malformed("invalid frontend message type")),
        };
        let Some(s) = self.sessions.get_mut(&id) else { return Ok(false) };
        Ok(s.outbound.push(&reply.0))
    }

    /// Works off a statement whose last byte arrived at `arrived`.
    fn query(
        &mut self,
        turn: &Turn,
        session: SessionId,
        text: Vec<u8>,
        arrived: Micros,
    ) -> Result<Step, String> {
        let w = Writer::default();
        let statement = std::str::from_utf8(&text).map_err(|_| "the statement is not UTF-8")?;
        let words = statement.trim().trim_end_matches(';').trim();
        let unable = match self.service {
            _ if !self.able => Some("no db host is known yet"),
            Service::Running | Service::Closing => None,
            Service::Standby => Some("the proxy is in standby"),
        };
        if let (true, Some(why)) = (words.is_empty(), unable) {
            let error = w.error("ERROR", sqlstate::CANNOT_CONNECT_NOW, why, None);
            return Ok(Step::Reply(error.ready()));
        }
        if words.is_empty() {
            return Ok(Step::Reply(w.message(b'I', &[]).ready()));
        }
        let verb = words.split_whitespace().next().unwrap_or("").to_ascii_uppercase();
        // Sessions have no state of their own here, so there is nothing to set and nothing to discard.
        if matches!(verb.as_str(), "SET" | "RESET" | "DISCARD") {
            return Ok(Step::Reply(w.message(b'C', &[verb.as_bytes(), b"\0"]).ready()));
        }
        let c = match pg::comment(statement) {
            Err(_) if self.router.is_some() => return self.plain(turn, session, text, arrived),
            c => c?,
        };
        let mut class = self.names.class(c.class).ok_or_else(|| format!("unknown class {:?}", c.class))?;
        let mut group = GroupId(c.cluster);
        if let (Some(router), Some(s)) = (&mut self.router, self.sessions.get_mut(&session)) {
            if let Some(decision) = router.contradicts(&self.settings, &s.origin, statement, class) {
                match routed(decision) {
                    Ok(r) => (class, group) = (r.class, r.group),
                    Err(reply) => return Ok(Step::Reply(reply)),
                }
            }
        }
        let (read, effect) = (self.settings.classes[class.0].read, self.settings.classes[class.0].effect);
        // Another client waits for the answer that this id has: nobody may be served with it instead.
        if self.ids.contains(c.id) {
            return Err("the id is that of an open request".to_owned());
        }
        if matches!(effect, Effect::Keyed { .. }) && !c.keyed {
            return Err(format!("a request of class {:?} needs a key k", c.class));
        }
        let key = matches!(read, ReadLevel::Session | ReadLevel::Write).then(|| pg::first_literal(statement));
        let key = key.flatten().map(|k| u64::from_str_radix(k, 16).unwrap_or_else(|_| fnv(k)));
        let after = c.after.filter(|_| read == ReadLevel::Session);
        // Never below one: a commit of just now is still a commit.
        let since_write = after.map(|ms| (turn.now - turn.clock.at_unix_ms(ms as f64)).max(1));
        // No client of a class waits longer than its class does, whatever it says.
        let wait = (Micros::from(c.wait_ms) * 1000).min(self.settings.classes[class.0].deadline);
        let deadline = self.deadline(arrived, wait);
        let id = Rc::from(c.id);
        let (repeat, wait_at) = (c.repeat, c.wait_at);
        let tenant = c.tenant.and_then(|t| self.names.tenant(t));
        debug!(turn.log, "request"; "class" => class.0, "wait_ms" => c.wait_ms);
        let body = Body::new(text, Some(wait_at), Form::Value);
        Ok(Step::Call(
            Box::new(Call { class, group, key, deadline, since_write, repeat, checked: true, tenant, body }),
            id,
        ))
    }

    /// A statement without a routing comment goes where the operators' rules say. The connection is its session: what
    /// it has written it sees.
    fn plain(
        &mut self,
        turn: &Turn,
        session: SessionId,
        text: Vec<u8>,
        arrived: Micros,
    ) -> Result<Step, String> {
        let statement = std::str::from_utf8(&text).map_err(|_| "the statement is not UTF-8")?;
        let (Some(router), Some(s)) = (&mut self.router, self.sessions.get_mut(&session)) else {
            return Err("the statement has no routing comment".to_owned());
        };
        let routed = match routed(router.decide(&self.settings, &s.origin, statement)) {
            Ok(routed) => routed,
            Err(reply) => return Ok(Step::Reply(reply)),
        };
        let Routed { class, group, wait, comment, writes } = routed;
        self.plain += 1;
        s.writing = writes;
        let session_reads = self.settings.classes[class.0].read == ReadLevel::Session;
        let since_write = s.wrote.filter(|_| session_reads).map(|at| (turn.now - at).max(1));
        let id: Rc<str> = format!("plain-{:x}-{:x}", session.0, self.plain).into();
        let body = if comment {
            let mut body = format!("/* id={id},c={},d=", self.names.classes[class.0]);
            let at = body.len()..body.len();
            body += &format!(",cluster={} */ {statement}", group.0);
            Body::new(body.into_bytes(), Some(at), Form::Result)
        } else {
            Body::new(text, None, Form::Result)
        };
        let key = Some(fnv(&format!("session {}", session.0)));
        let deadline = self.deadline(arrived, wait);
        let tenant = None;
        let call =
            Call { class, group, key, deadline, since_write, repeat: false, checked: false, tenant, body };
        Ok(Step::Call(Box::new(call), id))
    }

    /// When the wait of a request is over whose last byte arrived at `arrived`. It counts from then, however long the
    /// request stood behind others, and not from when its turn came.
    fn deadline(&self, arrived: Micros, wait: Micros) -> Micros {
        (arrived + wait).min(self.last_call.unwrap_or(Micros::MAX))
    }

    /// Writes the last message of a connection and closes it once the client has had it.
    fn last_word(&mut self, turn: &mut Turn, id: SessionId, last: Writer) {
        let Some(s) = self.sessions.get_mut(&id).filter(|s| !s.is_ending()) else { return };
        s.stage = Stage::Closing;
        s.inbound.clear();
        let _ = s.outbound.push(&last.0);
        self.set_due(turn, id, Some(turn.now + UNREAD_FOR));
        self.flush(turn, id);
    }

    /// The client has left.
    fn leave(&mut self, turn: &mut Turn, exchange: &mut Exchange, id: SessionId) {
        let waiting = self.sessions.get(&id).and_then(|s| match s.stage {
            Stage::Waiting(request) => Some(request),
            Stage::Startup | Stage::Ready | Stage::Closing | Stage::Lingering => None,
        });
        if let Some(request) = waiting {
            self.disown(request);
            exchange.gone(turn, request);
        }
        self.close(turn, id);
    }

    /// A request is over: nobody waits for it, and its id is free.
    fn disown(&mut self, request: RequestId) -> Option<SessionId> {
        let owner = self.owners.remove(&request)?;
        self.ids.remove(&owner.id);
        Some(owner.session)
    }

    fn set_due(&mut self, turn: &mut Turn, id: SessionId, due: Option<Micros>) {
        let Some(s) = self.sessions.get_mut(&id) else { return };
        if let Some(at) = s.due {
            turn.deadlines.clear(at, Due::Session(id));
        }
        s.due = due;
        if let Some(at) = due {
            turn.deadlines.set(at, Due::Session(id));
        }
    }

    fn close(&mut self, turn: &mut Turn, id: SessionId) {
        self.set_due(turn, id, None);
        if let Some(s) = self.sessions.remove(&id) {
            s.polled.close(turn);
        }
    }
}

/// How readily a client is closed where room is needed, 0 first; `None` where it is not. Those go first that are being
/// closed and have their last answer, or took longer over their first request than a slow client may; then those that
/// have had their answer, to whom a close costs no more than a new connection; then the longest under way with a first
/// request, since most of a crowd that never ends one are among them.
fn makes_room(stage: &Stage, asked: bool, empty: bool, age: Micros) -> Option<usize> {
    match stage {
        Stage::Lingering => Some(0),
        Stage::Startup | Stage::Ready if !asked => {
            // One that has introduced itself is no mere connection: it has a while for its request.
            let welcome = matches!(stage, Stage::Ready);
            Some(match age {
                SLOW.. => 1,
                GUEST.. => 3,
                JUST.. if !welcome => 3,
                _ if !welcome => 4,
                _ => 5,
            })
        }
        Stage::Ready if empty => Some(if age >= JUST { 2 } else { 5 }),
        Stage::Startup | Stage::Ready | Stage::Waiting(_) | Stage::Closing => None,
    }
}

/// Where a plain statement goes, or what its client is told instead.
fn routed(decision: Decision) -> Result<Routed, Writer> {
    let w = Writer::default();
    let unsupported = |what: &str| w.error("ERROR", sqlstate::FEATURE_NOT_SUPPORTED, what, None).ready();
    Err(match decision {
        Decision::Send(routed) => return Ok(routed),
        Decision::Empty => Writer::default().message(b'I', &[]).ready(),
        Decision::Session { verb } => {
            unsupported(&format!("{verb} is not supported: the proxy keeps no state of a session"))
        }
        Decision::Several => unsupported("several statements in one query are not supported"),
        Decision::NoRoute { access } => {
            let what = format!("no route is given for a {} of this kind", access.name());
            Writer::default().error("ERROR", sqlstate::NO_ROUTE, &what, None).ready()
        }
    })
}

/// What is left of the connections that the kernel has accepted for us.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Backlog {
    Empty,
    /// More may be waiting.
    More,
    /// The system gives no descriptor for the next one.
    Stuck,
}

/// What a query comes to.
enum Step {
    Reply(Writer),
    /// A request, and its id.
    Call(Box<Call>, Rc<str>),
}

#[cfg(test)]
mod tests;
