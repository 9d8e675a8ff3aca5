//! The server side: connections to db hosts, their pool, attempts and probes.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;

use leadmast::settings::{Connections, Names};
use leadmast::{Ending, ListKind, MemberId, Micros, Note, Phase, Probed, Report};
use slog::{debug, info, warn};

use crate::deadlines::Due;
use crate::exchange::{name, AttemptId, Body, Ended, Exchange, Form, Order, Said};
use crate::ids::ServerId;
use crate::memory::Held;
use crate::pg::{self, sqlstate, Malformed, Writer};
use crate::ring::{Moved, Ring};
use crate::turn::{Polled, Source, Turn};

/// Who the proxy is to db hosts; they welcome anyone.
const USER: &str = "portal";
const DATABASE: &str = "crm";
/// The share of a db host's idle time after which a connection is dropped here: well before the host drops
/// it, or a request would be written to a connection that is just being closed.
const IDLE_SHARE: f64 = 0.6;
/// How long ReadyForQuery may take behind a whole answer. What a db host tells of itself may come in between.
const READY: Micros = 3_000;
/// How long it may take until the connection is given up.
const TRAIL: Micros = 500_000;
/// How long no byte of a long answer may move; and how much of it is read at a time.
const STALL: Micros = 5_000_000;
const CHUNK: usize = 32 * 1024;
/// Reads of one connection in one turn.
const READS: usize = 8;

/// What a connection is used for.
#[derive(Debug)]
enum Job {
    Attempt {
        id: AttemptId,
        body: Rc<Body>,
        since: Micros,
        until: Micros,
        /// Until when it may be written at all; afterwards it may only end.
        write_by: Micros,
    },
    Probe {
        since: Micros,
    },
}

impl Job {
    /// Whether it came too late to be written: its time is over, or that in which a repeat is none.
    fn is_late(&self, now: Micros) -> bool {
        matches!(self, Job::Attempt { write_by, .. } if *write_by <= now)
    }
}

/// A reply as far as it has come. Each job begins with a fresh one: nothing of an earlier reply stays.
#[derive(Debug, Default)]
struct Reply {
    /// What it has to be.
    form: Form,
    bytes: Vec<u8>,
    held: Held,
    shape: Shape,
    /// When bytes of a long answer were last passed on; it has begun then.
    passed: Option<Micros>,
    error: Option<String>,
    row: Option<Vec<u8>>,
    position: Option<Micros>,
    primary: Option<bool>,
}

/// How far the one row of an answer has come: anything in another order is none.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Shape {
    #[default]
    Nothing,
    Described,
    /// So much of a long row is yet to be passed on.
    Passing(usize),
    Row,
    Complete,
}

#[derive(Debug)]
enum Stage {
    /// Coming up: connecting, then exchanging startup messages.
    Starting {
        by: Micros,
    },
    Idle {
        since: Micros,
        until: Micros,
    },
    Busy {
        job: Job,
        reply: Reply,
        /// By when ReadyForQuery has to follow an answer that is whole.
        ready_by: Option<Micros>,
    },
    /// Its job was taken from it; it closes at once.
    Spent,
    /// Its job has ended with a whole answer; ReadyForQuery is still to come.
    Trailing {
        by: Micros,
    },
}

struct Server {
    polled: Polled,
    member: MemberId,
    inbound: Ring,
    outbound: Ring,
    stage: Stage,
    /// The latest error that was an answer here, with the position that it told.
    refused: Option<(String, Micros)>,
}

impl Server {
    /// Whether a long row is being passed on.
    fn is_passing(&self) -> bool {
        match &self.stage {
            Stage::Busy { reply, .. } => matches!(reply.shape, Shape::Passing(_)) || reply.is_full(),
            _ => false,
        }
    }
}

/// Whether anything new may go to a db host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Standing {
    Open,
    Draining,
    /// Not listed any more: it is forgotten once nothing of ours is left there.
    Gone,
}

struct Host {
    addr: SocketAddr,
    standing: Standing,
    /// Operators hold it out, whatever the list says.
    held_out: bool,
    /// The most recently used last.
    idle: Vec<ServerId>,
    starting: usize,
    /// All connections to it.
    servers: usize,
    /// Jobs that wait for a connection, oldest first.
    waiting: VecDeque<Job>,
}

impl Host {
    fn takes_jobs(&self) -> bool {
        self.standing == Standing::Open && !self.held_out
    }
}

/// Where a job stands.
#[derive(Clone, Copy, Debug)]
enum Place {
    Waiting(MemberId),
    On(ServerId),
}

/// A db host as discovery tells of it.
pub struct Listed {
    /// Its name, which stays when a number is given back.
    pub id: String,
    pub member: MemberId,
    pub addr: SocketAddr,
    pub phase: Phase,
}

/// The server side.
pub struct Backend {
    connections: Connections,
    fields: Vec<String>,
    most: usize,
    hosts: BTreeMap<MemberId, Host>,
    servers: BTreeMap<ServerId, Server>,
    attempts: BTreeMap<AttemptId, (Micros, Place)>,
    probes: BTreeMap<MemberId, (Micros, Place)>,
    next: u64,
}

impl Backend {
    pub fn new(connections: Connections, names: &Names) -> Self {
        Backend {
            connections,
            fields: names.fields.clone(),
            most: 0,
            hosts: BTreeMap::new(),
            servers: BTreeMap::new(),
            attempts: BTreeMap::new(),
            probes: BTreeMap::new(),
            next: 0,
        }
    }

    /// Holds `most` connections at most.
    pub fn limit(&mut self, turn: &mut Turn, most: usize) {
        self.most = most;
        while self.servers.len() > most && self.close_oldest_idle(turn) {}
    }

    // ---- Orders ----

    pub fn carry_out(&mut self, turn: &mut Turn, exchange: &mut Exchange, order: Order) {
        match order {
            Order::Start { attempt, member, body, until, write_by } => {
                let write_by = write_by.min(until);
                let job = Job::Attempt { id: attempt, body, since: turn.now, until, write_by };
                self.begin(turn, exchange, member, job);
            }
            // One at a time: the one that is out answers for both.
            Order::Probe(member) if self.probes.contains_key(&member) => {}
            Order::Probe(member) => {
                self.begin(turn, exchange, member, Job::Probe { since: turn.now });
            }
            Order::Resume(id) => {
                if let Some((_, Place::On(server))) = self.attempts.get(&id).copied() {
                    match self.read(turn, exchange, server) {
                        Ok(()) => self.ready(turn, exchange, server),
                        Err(Malformed(what)) => self.spoilt(turn, exchange, server, what),
                    }
                }
            }
            Order::Abandon(id) => self.give_up(turn, exchange, id, Ending::Cancelled),
            Order::Withdraw(id) => {
                if self.is_unsent(id) {
                    self.give_up(turn, exchange, id, Ending::Cancelled);
                }
            }
            Order::CloseIdle(member) => self.close_idle(turn, member),
        }
    }

    /// Takes over what discovery tells. A host that drains or is gone loses its idle connections and all that
    /// still waits for one: a send may not follow a connect that takes until after the grace.
    pub fn list(&mut self, turn: &mut Turn, exchange: &mut Exchange, kind: ListKind, listed: &[Listed]) {
        let mut closed = Vec::new();
        if matches!(kind, ListKind::Full | ListKind::Saved) {
            let all: BTreeSet<_> = listed.iter().map(|l| l.member).collect();
            for (member, host) in self.hosts.iter_mut().filter(|(m, _)| !all.contains(m)) {
                host.standing = Standing::Gone;
                closed.push(*member);
            }
        }
        for l in listed {
            let standing = match l.phase {
                Phase::Up => Standing::Open,
                Phase::Draining => Standing::Draining,
                Phase::Removed => Standing::Gone,
            };
            let host = self.hosts.entry(l.member).or_insert_with(|| Host {
                addr: l.addr,
                standing,
                held_out: false,
                idle: Vec::new(),
                starting: 0,
                servers: 0,
                waiting: VecDeque::new(),
            });
            let moved = host.addr != l.addr;
            (host.addr, host.standing) = (l.addr, standing);
            if standing != Standing::Open {
                closed.push(l.member);
            } else if moved {
                self.close_idle(turn, l.member);
            }
        }
        for member in closed {
            self.stop(turn, exchange, member);
            self.forget_if_gone(member);
        }
    }

    /// Operators hold a db host out, or readmit it.
    pub fn maintain(&mut self, turn: &mut Turn, exchange: &mut Exchange, member: MemberId, out: bool) {
        let Some(host) = self.hosts.get_mut(&member) else { return };
        host.held_out = out;
        if out {
            self.stop(turn, exchange, member);
        }
    }

    /// Ends what waits for a connection to a host, and closes its idle ones.
    fn stop(&mut self, turn: &mut Turn, exchange: &mut Exchange, member: MemberId) {
        let Some(host) = self.hosts.get_mut(&member) else { return };
        for job in std::mem::take(&mut host.waiting) {
            self.end(turn, exchange, member, job, Ending::Moot, Reply::default());
        }
        self.close_idle(turn, member);
    }

    /// Guards a long life's memory: hosts are replaced by others under new names, again and again.
    fn forget_if_gone(&mut self, member: MemberId) {
        let gone = |h: &Host| h.standing == Standing::Gone && h.servers == 0;
        if self.hosts.get(&member).is_some_and(gone) {
            self.hosts.remove(&member);
        }
    }

    // ---- Deadlines ----

    /// An attempt has waited long enough.
    pub fn attempt_due(&mut self, turn: &mut Turn, exchange: &mut Exchange, id: AttemptId) {
        // A long answer that has begun is waited for as long as it moves.
        if let Some((until, Place::On(server))) = self.attempts.get_mut(&id) {
            let passed = self.servers.get(server).and_then(|s| match &s.stage {
                Stage::Busy { reply, .. } => reply.passed,
                _ => None,
            });
            if let Some(at) = passed.map(|at| at + STALL).filter(|at| *at > turn.now) {
                *until = at;
                return turn.deadlines.set(at, Due::Attempt(id));
            }
        }
        self.give_up(turn, exchange, id, Ending::Timeout);
    }

    pub fn probe_due(&mut self, turn: &mut Turn, exchange: &mut Exchange, member: MemberId) {
        let Some((_, place)) = self.probes.get(&member).copied() else { return };
        // A machine that vanished leaves its connections open and silent: the pool's are no better.
        self.close_idle(turn, member);
        self.leave(turn, exchange, place, Ending::Timeout, |j| matches!(j, Job::Probe { .. }));
    }

    pub fn server_due(&mut self, turn: &mut Turn, exchange: &mut Exchange, id: ServerId) {
        match self.servers.get(&id).map(|s| &s.stage) {
            Some(Stage::Starting { by }) if *by <= turn.now => {
                self.broke(turn, exchange, id, "not up in time")
            }
            Some(Stage::Idle { until, .. }) if *until <= turn.now => self.close(turn, id),
            Some(Stage::Busy { ready_by: Some(by), .. }) if *by <= turn.now => self.trail(turn, exchange, id),
            Some(Stage::Trailing { by }) if *by <= turn.now => self.close(turn, id),
            _ => {}
        }
    }

    // ---- Readiness ----

    pub fn ready(&mut self, turn: &mut Turn, exchange: &mut Exchange, id: ServerId) {
        if let Err(e) = self.flush(exchange, id) {
            return self.broke(turn, exchange, id, &e.to_string());
        }
        for _ in 0..READS {
            let Some(s) = self.servers.get_mut(&id) else { return };
            if s.is_passing() {
                // What the client side can't take yet stays with the db host; it says when it can.
                if s.inbound.len() >= CHUNK {
                    return;
                }
                s.inbound.reserve(CHUNK);
            }
            let moved = s.inbound.fill(&s.polled.socket);
            let end = match moved {
                Ok(Moved::Nothing) => return,
                Ok(Moved::Some(_)) => None,
                Ok(Moved::End) => Some("closed by the db host".to_owned()),
                Err(e) if e.kind() == io::ErrorKind::NotConnected => return,
                Err(e) => Some(e.to_string()),
            };
            if let Err(Malformed(what)) = self.read(turn, exchange, id) {
                return self.spoilt(turn, exchange, id, what);
            }
            if let Some(why) = end {
                // The end is met again once the client side has taken what came before it.
                if self.servers.get(&id).is_some_and(|s| s.is_passing() && !s.inbound.is_empty()) {
                    return;
                }
                return self.broke(turn, exchange, id, &why);
            }
        }
        turn.again.push(Source::Server(id));
    }

    /// Works off the whole messages that have come.
    fn read(&mut self, turn: &mut Turn, exchange: &mut Exchange, id: ServerId) -> Result<(), Malformed> {
        loop {
            if self.pass(turn, exchange, id) {
                continue;
            }
            let Some(s) = self.servers.get_mut(&id) else { return Ok(()) };
            if let Stage::Busy { job: Job::Attempt { .. }, reply, .. } = &mut s.stage {
                if reply.is_full() {
                    return Ok(());
                }
                match reply.shape {
                    _ if reply.form == Form::Result => {}
                    Shape::Described => {
                        if let Some(size) = pg::long_row(s.inbound.bytes())? {
                            reply.shape = Shape::Passing(size);
                            continue;
                        }
                    }
                    Shape::Passing(_) => return Ok(()),
                    Shape::Nothing | Shape::Row | Shape::Complete => {}
                }
            }
            let Some(message) = pg::message(s.inbound.bytes(), pg::BACKEND)? else {
                // Half a message would pass for the beginning of the next request's answer.
                if matches!(s.stage, Stage::Idle { .. }) && !s.inbound.is_empty() {
                    return Err(Malformed("half a message between requests"));
                }
                // The client must not wait for what is not its answer.
                if let Stage::Busy { reply, ready_by: ready_by @ None, .. } = &mut s.stage {
                    if reply.ending().is_some() {
                        *ready_by = Some(turn.now + READY);
                        turn.deadlines.set(turn.now + READY, Due::Server(id));
                    }
                }
                return Ok(());
            };
            let (tag, size) = (message.tag, message.size);
            let up = match &mut s.stage {
                Stage::Starting { .. } => match tag {
                    b'R' if message.body != [0; 4] => return Err(Malformed("it asks for a password")),
                    b'E' => {
                        let code = pg::error_code(message.body)?.to_owned();
                        self.turned_away(turn, exchange, id, &code);
                        return Ok(());
                    }
                    b'R' | b'S' | b'K' | b'N' | b'v' => false,
                    b'Z' => true,
                    _ => return Err(Malformed("unexpected message during startup")),
                },
                Stage::Trailing { .. } if tag == b'Z' => true,
                Stage::Idle { .. } | Stage::Spent | Stage::Trailing { .. } => match tag {
                    b'S' | b'N' => false,
                    _ => return Err(Malformed("unexpected message between requests")),
                },
                Stage::Busy { reply, .. } => reply.take(&message, turn)?,
            };
            s.inbound.consume(size);
            if up {
                self.up(turn, exchange, id);
            }
        }
    }

    /// Passes on what has come of a long answer, as far as the client side can take it; true where some was.
    fn pass(&mut self, turn: &mut Turn, exchange: &mut Exchange, id: ServerId) -> bool {
        let Some(s) = self.servers.get_mut(&id) else { return false };
        let Stage::Busy { job: Job::Attempt { id: attempt, .. }, reply, .. } = &mut s.stage else {
            return false;
        };
        if reply.form == Form::Result {
            // One that may still fail as a whole is not begun.
            if reply.error.is_some() || (reply.passed.is_none() && !reply.is_full()) {
                return false;
            }
            let n = reply.bytes.len().min(exchange.room(*attempt));
            if n == 0 {
                return false;
            }
            let rest = reply.bytes.split_off(n);
            let part = std::mem::replace(&mut reply.bytes, rest);
            reply.held.set(reply.bytes.len());
            reply.passed = Some(turn.now);
            exchange.part(turn, *attempt, part, reply.note());
            return true;
        }
        let Shape::Passing(left) = reply.shape else { return false };
        if s.inbound.is_empty() {
            return false;
        }
        let n = left.min(s.inbound.len()).min(exchange.room(*attempt));
        if n == 0 {
            return false;
        }
        // What stands before the row goes first.
        let mut bytes = std::mem::take(&mut reply.bytes);
        reply.held.set(0);
        bytes.extend(&s.inbound.bytes()[..n]);
        s.inbound.consume(n);
        reply.passed = Some(turn.now);
        reply.shape = if n == left { Shape::Row } else { Shape::Passing(left - n) };
        exchange.part(turn, *attempt, bytes, reply.note());
        true
    }

    /// An answer is whole, and its ReadyForQuery late: the client does not wait for that, the connection does.
    fn trail(&mut self, turn: &mut Turn, exchange: &mut Exchange, id: ServerId) {
        let Some((member, _, job, reply)) = self.take_job(id) else { return };
        let by = turn.now + TRAIL;
        if let (Some(ending), Some(s)) = (reply.ending(), self.servers.get_mut(&id)) {
            s.stage = Stage::Trailing { by };
            turn.deadlines.set(by, Due::Server(id));
            self.end(turn, exchange, member, job, ending, reply);
        }
    }

    // ---- Jobs ----

    fn begin(&mut self, turn: &mut Turn, exchange: &mut Exchange, member: MemberId, job: Job) {
        let open = self.hosts.get(&member).is_some_and(Host::takes_jobs);
        if !open || job.is_late(turn.now) {
            return self.end(turn, exchange, member, job, Ending::Moot, Reply::default());
        }
        match &job {
            Job::Attempt { id, write_by, .. } => {
                turn.deadlines.set(*write_by, Due::Attempt(*id));
                self.attempts.insert(*id, (*write_by, Place::Waiting(member)));
            }
            Job::Probe { since } => {
                let until = since + self.connections.connect_timeout;
                turn.deadlines.set(until, Due::Probe(member));
                self.probes.insert(member, (until, Place::Waiting(member)));
            }
        }
        if let Some(id) = self.lease(turn, member) {
            return self.write(turn, exchange, id, job);
        }
        let full = self.servers.len() >= self.most && !self.close_oldest_idle(turn);
        let opened =
            if full { Err(io::Error::other("too many connections")) } else { self.open(turn, member) };
        // The system may have fewer descriptors than the configuration says.
        let opened = match opened {
            Err(_) if self.close_oldest_idle(turn) => self.open(turn, member),
            opened => opened,
        };
        match opened {
            Ok(()) => {
                if let Some(host) = self.hosts.get_mut(&member) {
                    host.waiting.push_back(job);
                }
            }
            Err(e) => {
                // Ours is the fault, not the host's: nothing was sent.
                warn!(turn.log, "no connection to spare for a db host"; "error" => e.to_string());
                self.end(turn, exchange, member, job, Ending::Moot, Reply::default());
            }
        }
    }

    /// The most recently used idle connection that still stands.
    fn lease(&mut self, turn: &mut Turn, member: MemberId) -> Option<ServerId> {
        loop {
            let id = *self.hosts.get(&member)?.idle.last()?;
            let polled = &self.servers.get(&id)?.polled;
            if polled.is_quiet() {
                self.take_idle(turn, id);
                return Some(id);
            }
            self.close(turn, id);
        }
    }

    fn open(&mut self, turn: &mut Turn, member: MemberId) -> io::Result<()> {
        let Some(host) = self.hosts.get_mut(&member) else { return Ok(()) };
        let id = ServerId(self.next);
        self.next += 1;
        let polled = Polled::connect(turn, host.addr, Source::Server(id))?;
        let by = turn.now + self.connections.connect_timeout;
        let mut s = Server {
            polled,
            member,
            inbound: Ring::default(),
            outbound: Ring::default(),
            stage: Stage::Starting { by },
            refused: None,
        };
        if !s.outbound.push(&Writer::default().startup(USER, DATABASE).0) {
            return Err(io::ErrorKind::OutOfMemory.into());
        }
        host.starting += 1;
        host.servers += 1;
        turn.deadlines.set(by, Due::Server(id));
        self.servers.insert(id, s);
        Ok(())
    }

    /// A connection has no job any more: the oldest waiting one gets it, or the pool.
    fn up(&mut self, turn: &mut Turn, exchange: &mut Exchange, id: ServerId) {
        let Some(s) = self.servers.get_mut(&id) else { return };
        let member = s.member;
        let until = turn.now + (self.connections.idle as f64 * IDLE_SHARE) as Micros;
        let stage = std::mem::replace(&mut s.stage, Stage::Idle { since: turn.now, until });
        turn.deadlines.set(until, Due::Server(id));
        let Some(host) = self.hosts.get_mut(&member) else { return };
        host.idle.push(id);
        // A second copy of an error, that of the request before, tells nothing of this one: it may be at work there yet, and
        // is sent again. Positions move on, so one that stands still between two errors is a copy's.
        let error = match &stage {
            Stage::Busy { reply, .. } => reply.error.clone().zip(reply.position),
            _ => None,
        };
        let copied = error.is_some() && s.refused == error;
        s.refused = error;
        match stage {
            Stage::Starting { by } => {
                host.starting -= 1;
                turn.deadlines.clear(by, Due::Server(id));
            }
            Stage::Trailing { by } => turn.deadlines.clear(by, Due::Server(id)),
            Stage::Idle { .. } | Stage::Spent => {}
            Stage::Busy { job, reply, .. } => {
                let ending = reply.ending().unwrap_or(Ending::Reset);
                let (ending, reply) =
                    if copied { (Ending::Error, Reply::default()) } else { (ending, reply) };
                self.end(turn, exchange, member, job, ending, reply);
            }
        }
        // What comes behind an answer belongs to no request, least of all to the next: a second copy would pass
        // for its value. The answer before it stands; the connection is of no further use.
        let surplus = self.servers.get(&id).is_some_and(|s| !s.inbound.is_empty() || !s.polled.is_quiet());
        let Some(host) = self.hosts.get_mut(&member) else { return };
        if !host.takes_jobs() || surplus || copied {
            self.close(turn, id);
            return self.unserved(turn, exchange, member, Ending::ConnectFailed);
        }
        while let Some(job) = self.hosts.get_mut(&member).and_then(|h| h.waiting.pop_front()) {
            // Events are worked off before deadlines: its own may have passed while the connection came up.
            if job.is_late(turn.now) {
                self.end(turn, exchange, member, job, Ending::Moot, Reply::default());
                continue;
            }
            self.take_idle(turn, id);
            return self.write(turn, exchange, id, job);
        }
    }

    fn write(&mut self, turn: &mut Turn, exchange: &mut Exchange, id: ServerId, job: Job) {
        let Some(s) = self.servers.get_mut(&id) else { return };
        let pushed = match &job {
            Job::Attempt { id: attempt, body, until, .. } => {
                if let Some(a) = self.attempts.get_mut(attempt) {
                    turn.deadlines.clear(a.0, Due::Attempt(*attempt));
                    turn.deadlines.set(*until, Due::Attempt(*attempt));
                    *a = (*until, Place::On(id));
                }
                let (before, after) = body.around_wait();
                let wait = ((until - turn.now) / 1000).max(1).to_string();
                let query = match after {
                    Some(after) => Writer::default().query(&[before, wait.as_bytes(), after]),
                    None => Writer::default().query(&[before]),
                };
                s.outbound.push(&query.0)
            }
            Job::Probe { .. } => {
                if let Some(p) = self.probes.get_mut(&s.member) {
                    p.1 = Place::On(id);
                }
                s.outbound.push(&Writer::default().query(&[b"SHOW pressure"]).0)
            }
        };
        let form = match &job {
            Job::Attempt { body, .. } => body.form,
            Job::Probe { .. } => Form::Value,
        };
        s.stage = Stage::Busy { job, reply: Reply { form, ..Reply::default() }, ready_by: None };
        let flushed =
            if pushed { self.flush(exchange, id) } else { Err(io::Error::other("the request is too long")) };
        if let Err(e) = flushed {
            self.broke(turn, exchange, id, &e.to_string());
        }
    }

    fn flush(&mut self, exchange: &mut Exchange, id: ServerId) -> io::Result<()> {
        let Some(s) = self.servers.get_mut(&id) else { return Ok(()) };
        loop {
            match s.outbound.drain(&s.polled.socket) {
                Ok(Moved::Some(_)) => {
                    let attempt = match &s.stage {
                        Stage::Busy { job: Job::Attempt { id, .. }, .. } => Some(*id),
                        _ => None,
                    };
                    if let (Some(id), true) = (attempt, s.outbound.is_empty()) {
                        exchange.dispatched(id);
                    }
                }
                Ok(_) => return Ok(()),
                // Still connecting.
                Err(e) if e.kind() == io::ErrorKind::NotConnected => return Ok(()),
                Err(e) => return Err(e),
            }
        }
    }

    /// Whether nothing of an attempt can have reached its db host as a whole statement yet.
    fn is_unsent(&self, id: AttemptId) -> bool {
        match self.attempts.get(&id) {
            Some((_, Place::Waiting(_))) => true,
            Some((_, Place::On(server))) => self.servers.get(server).is_some_and(|s| !s.outbound.is_empty()),
            None => false,
        }
    }

    /// Stops waiting for an attempt, whose connection can't be used again.
    fn give_up(&mut self, turn: &mut Turn, exchange: &mut Exchange, id: AttemptId, ending: Ending) {
        let Some((_, place)) = self.attempts.get(&id).copied() else { return };
        self.leave(turn, exchange, place, ending, |j| matches!(j, Job::Attempt { id: i, .. } if *i == id));
    }

    fn leave(
        &mut self,
        turn: &mut Turn,
        exchange: &mut Exchange,
        place: Place,
        ending: Ending,
        is_it: impl Fn(&Job) -> bool,
    ) {
        match place {
            Place::Waiting(member) => {
                let Some(host) = self.hosts.get_mut(&member) else { return };
                let Some(at) = host.waiting.iter().position(is_it) else { return };
                let Some(job) = host.waiting.remove(at) else { return };
                // Its connection goes on coming up, for the next one. Of an attempt nothing was sent.
                let ending = match job {
                    Job::Probe { .. } => ending,
                    Job::Attempt { since, .. } => {
                        unsent(ending, turn.now - since, self.connections.connect_timeout)
                    }
                };
                self.end(turn, exchange, member, job, ending, Reply::default());
            }
            Place::On(id) => {
                let Some((member, unsent, job, reply)) = self.take_job(id) else { return };
                self.close(turn, id);
                // What is whole counts, though ReadyForQuery is still missing.
                let ending = reply.ending().unwrap_or(if unsent { Ending::Moot } else { ending });
                self.end(turn, exchange, member, job, ending, reply);
            }
        }
    }

    /// The one place where a job ends: with one outcome.
    fn end(
        &mut self,
        turn: &mut Turn,
        exchange: &mut Exchange,
        member: MemberId,
        job: Job,
        ending: Ending,
        reply: Reply,
    ) {
        match job {
            Job::Attempt { id, .. } => {
                if let Some((until, _)) = self.attempts.remove(&id) {
                    turn.deadlines.clear(until, Due::Attempt(id));
                }
                debug!(turn.log, "attempt ended"; "request" => id.request.0, "number" => id.number,
                    "member" => member.0, "ending" => name(ending));
                let note = reply.note();
                let said = match ending {
                    Ending::Ok => Said::Answer(reply.bytes),
                    Ending::Error if reply.error.as_deref().is_some_and(sqlstate::is_verdict) => {
                        Said::Verdict(reply.bytes)
                    }
                    // A spoilt answer says nothing: handed on, it would leave the client without a word.
                    Ending::Error if reply.error.is_some() => Said::Error(reply.bytes),
                    _ => Said::Nothing,
                };
                exchange.ended(turn, Ended { attempt: id, ending, note, said });
            }
            Job::Probe { since } => {
                if let Some((until, _)) = self.probes.remove(&member) {
                    turn.deadlines.clear(until, Due::Probe(member));
                }
                let report = reply.row.filter(|_| ending == Ending::Ok);
                let report = report.and_then(|row| report_of(&row, &self.fields, turn));
                exchange.probed(turn, Probed { member, ending, elapsed: turn.now - since, report });
            }
        }
    }

    // ---- Connections that end ----

    /// A connection has broken, or can't be used any more.
    fn broke(&mut self, turn: &mut Turn, exchange: &mut Exchange, id: ServerId, why: &str) {
        if let Some((member, unsent, job, reply)) = self.take_job(id) {
            info!(turn.log, "db host connection broke"; "member" => member.0, "why" => why, "unsent" => unsent);
            self.close(turn, id);
            let broken = if unsent { Ending::ConnectFailed } else { Ending::Reset };
            let ending = reply.ending().unwrap_or(broken);
            return self.end(turn, exchange, member, job, ending, reply);
        }
        let Some(s) = self.servers.get(&id) else { return };
        if let Stage::Starting { .. } = s.stage {
            info!(turn.log, "db host connection failed"; "member" => s.member.0, "why" => why);
            self.failed_start(turn, exchange, id, Ending::ConnectFailed);
        } else {
            self.close(turn, id);
        }
    }

    /// What came is no answer. The request has run, for all that is known; nothing of it is believed, and the
    /// connection is of no further use. A db host that is not heard rightly once is not ill for that.
    fn spoilt(&mut self, turn: &mut Turn, exchange: &mut Exchange, id: ServerId, what: &str) {
        let Some((member, unsent, job, reply)) = self.take_job(id) else {
            return self.broke(turn, exchange, id, what);
        };
        info!(turn.log, "db host's answer is spoilt"; "member" => member.0, "what" => what);
        self.close(turn, id);
        let (ending, reply) = match reply.ending() {
            Some(ending) => (ending, reply),
            None if unsent => (Ending::ConnectFailed, Reply::default()),
            None => (Ending::Error, Reply::default()),
        };
        self.end(turn, exchange, member, job, ending, reply);
    }

    /// Takes the job from a busy connection, with whether some of the request is still unsent.
    fn take_job(&mut self, id: ServerId) -> Option<(MemberId, bool, Job, Reply)> {
        let s = self.servers.get_mut(&id)?;
        match std::mem::replace(&mut s.stage, Stage::Spent) {
            Stage::Busy { job, reply, .. } => Some((s.member, !s.outbound.is_empty(), job, reply)),
            other => {
                s.stage = other;
                None
            }
        }
    }

    /// The db host has answered the startup with an error.
    fn turned_away(&mut self, turn: &mut Turn, exchange: &mut Exchange, id: ServerId, code: &str) {
        let member = self.servers.get(&id).map_or(0, |s| s.member.0);
        info!(turn.log, "db host turned a connection away"; "member" => member, "code" => code);
        let ending = match code {
            sqlstate::TOO_MANY_CONNECTIONS | sqlstate::CANNOT_CONNECT_NOW => Ending::Full,
            _ => Ending::ConnectFailed,
        };
        self.failed_start(turn, exchange, id, ending);
    }

    /// A connection did not come up: the oldest job goes with it, unless others still come up for all.
    fn failed_start(&mut self, turn: &mut Turn, exchange: &mut Exchange, id: ServerId, ending: Ending) {
        let Some(member) = self.servers.get(&id).map(|s| s.member) else { return };
        self.close(turn, id);
        self.unserved(turn, exchange, member, ending);
    }

    /// Ends the oldest waiting job where fewer connections come up than jobs wait.
    fn unserved(&mut self, turn: &mut Turn, exchange: &mut Exchange, member: MemberId, ending: Ending) {
        let Some(host) = self.hosts.get_mut(&member) else { return };
        if host.waiting.len() > host.starting {
            if let Some(job) = host.waiting.pop_front() {
                self.end(turn, exchange, member, job, ending, Reply::default());
            }
        }
    }

    /// Closes a connection; its job has been taken from it.
    fn close(&mut self, turn: &mut Turn, id: ServerId) {
        self.take_idle(turn, id);
        let Some(s) = self.servers.remove(&id) else { return };
        if let Some(host) = self.hosts.get_mut(&s.member) {
            host.servers -= 1;
            match s.stage {
                Stage::Starting { by } => {
                    host.starting -= 1;
                    turn.deadlines.clear(by, Due::Server(id));
                }
                Stage::Trailing { by } => turn.deadlines.clear(by, Due::Server(id)),
                Stage::Idle { .. } | Stage::Busy { .. } | Stage::Spent => {}
            }
        }
        s.polled.close(turn);
        self.forget_if_gone(s.member);
    }

    /// Takes a connection out of the pool.
    fn take_idle(&mut self, turn: &mut Turn, id: ServerId) {
        let Some(s) = self.servers.get(&id) else { return };
        if let (Stage::Idle { until, .. }, Some(host)) = (&s.stage, self.hosts.get_mut(&s.member)) {
            turn.deadlines.clear(*until, Due::Server(id));
            host.idle.retain(|i| *i != id);
        }
    }

    fn close_idle(&mut self, turn: &mut Turn, member: MemberId) {
        let idle = self.hosts.get(&member).map(|h| h.idle.clone()).unwrap_or_default();
        idle.into_iter().for_each(|id| self.close(turn, id));
    }

    /// Makes room by closing the connection that has been idle longest; false where none is.
    pub fn close_oldest_idle(&mut self, turn: &mut Turn) -> bool {
        let idle = self.servers.iter().filter_map(|(id, s)| match s.stage {
            Stage::Idle { since, .. } => Some((since, *id)),
            Stage::Starting { .. } | Stage::Busy { .. } | Stage::Spent | Stage::Trailing { .. } => None,
        });
        let oldest = idle.min();
        oldest.into_iter().for_each(|(_, id)| self.close(turn, id));
        oldest.is_some()
    }
}

impl Reply {
    /// Takes one message; true at ReadyForQuery, which ends the reply.
    fn take(&mut self, message: &pg::Message, turn: &Turn) -> Result<bool, Malformed> {
        if self.form == Form::Result {
            return self.take_result(message, turn);
        }
        match message.tag {
            b'Z' if self.ending().is_none() || !matches!(message.body, b"I" | b"T" | b"E") => {
                return Err(Malformed("ReadyForQuery without an answer"))
            }
            b'Z' => return Ok(true),
            b'S' => drop(self.told(message, turn)),
            b'N' | b'A' => {}
            _ if self.ending().is_some() => return Err(Malformed("more than one answer")),
            b'E' => {
                self.error = Some(pg::error_code(message.body)?.to_owned());
                self.bytes.clear();
                self.append(message)?;
            }
            b'T' if self.shape == Shape::Nothing => {
                pg::check_description(message.body)?;
                self.shape = Shape::Described;
                self.append(message)?;
            }
            b'D' if self.shape == Shape::Described => {
                pg::check_row(message.body)?;
                self.row = pg::first_column(message.body).ok().map(<[u8]>::to_vec);
                self.shape = Shape::Row;
                self.append(message)?;
            }
            b'C' if self.shape == Shape::Row => {
                pg::string(message.body)?;
                self.shape = Shape::Complete;
                self.append(message)?;
            }
            _ => return Err(Malformed("not one row of one column")),
        }
        Ok(false)
    }

    /// Takes one message of a whole result, any rows of any columns, and keeps all that is the client's; true at
    /// ReadyForQuery, and only then is the result whole.
    fn take_result(&mut self, message: &pg::Message, turn: &Turn) -> Result<bool, Malformed> {
        match message.tag {
            b'Z' if self.shape != Shape::Row && self.error.is_none() => {
                return Err(Malformed("ReadyForQuery without an answer"))
            }
            // Whoever got this connection next would find itself in it.
            b'Z' if message.body != b"I" => return Err(Malformed("it leaves a transaction open")),
            b'Z' => {
                self.shape = Shape::Complete;
                return Ok(true);
            }
            b'S' if self.told(message, turn) => {}
            b'S' | b'N' => self.append(message)?,
            b'A' => {}
            _ if self.error.is_some() || self.shape == Shape::Row => {
                return Err(Malformed("more than one answer"))
            }
            b'E' if self.passed.is_some() => {
                // The client has rows of it already, and is owed the rest of the story.
                self.shape = Shape::Row;
                self.append(message)?;
            }
            b'E' => {
                self.error = Some(pg::error_code(message.body)?.to_owned());
                self.bytes.clear();
                self.append(message)?;
            }
            b'T' if self.shape == Shape::Nothing => {
                self.shape = Shape::Described;
                self.append(message)?;
            }
            b'D' if self.shape == Shape::Described => self.append(message)?,
            b'C' | b'I' => {
                self.shape = Shape::Row;
                self.append(message)?;
            }
            _ => return Err(Malformed("not a result")),
        }
        Ok(false)
    }

    /// Whether more of a result waits to be passed on than is held of an answer.
    fn is_full(&self) -> bool {
        self.form == Form::Result && self.bytes.len() > pg::WHOLE_ROW
    }

    /// What a db host tells of itself; false where a ParameterStatus is none of that.
    fn told(&mut self, message: &pg::Message, turn: &Turn) -> bool {
        match pg::parameter_status(message.body) {
            Some(("log_position", value)) => {
                self.position = value.parse().ok().and_then(|ms| turn.clock.position(ms));
            }
            Some(("replication_role", value)) => self.primary = role(value),
            Some(("pressure", _)) => {}
            _ => return false,
        }
        true
    }

    fn append(&mut self, message: &pg::Message) -> Result<(), Malformed> {
        let before = if self.form == Form::Result { 0 } else { self.bytes.len() };
        if before + message.size > pg::LONGEST_ANSWER {
            return Err(Malformed("the answer is too long"));
        }
        self.held.set(self.bytes.len() + message.size);
        self.bytes = Writer(std::mem::take(&mut self.bytes)).message(message.tag, &[message.body]).0;
        Ok(())
    }

    /// How the attempt has ended, by what has come; `None` while the answer is not whole.
    fn ending(&self) -> Option<Ending> {
        match self.error.as_deref() {
            None => (self.shape == Shape::Complete).then_some(Ending::Ok),
            Some(sqlstate::READ_ONLY | sqlstate::SNAPSHOT_TOO_OLD) => Some(Ending::Miss),
            Some(sqlstate::TOO_MANY_CONNECTIONS | sqlstate::CANNOT_CONNECT_NOW) => Some(Ending::Full),
            Some(_) => Some(Ending::Error),
        }
    }

    fn note(&self) -> Option<Note> {
        self.primary.map(|primary| Note { position: self.position, primary })
    }
}

/// How an attempt ends that is given up while its connection comes up. Most are given up before that may take as long
/// as the settings allow: waited for half as long in vain, they tell that the host is out of reach.
fn unsent(ending: Ending, waited: Micros, connect_timeout: Micros) -> Ending {
    if ending == Ending::Timeout && waited >= connect_timeout / 2 {
        Ending::ConnectFailed
    } else {
        Ending::Moot
    }
}

fn role(value: &str) -> Option<bool> {
    match value {
        "primary" => Some(true),
        "standby" => Some(false),
        _ => None,
    }
}

/// Reads a load report, `x0=1767225600.123,x1=1`: a position in Unix seconds, and the role. One that can't be
/// read throughout tells nothing.
fn report_of(row: &[u8], fields: &[String], turn: &Turn) -> Option<Report> {
    let mut report = Report::default();
    for pair in std::str::from_utf8(row).ok()?.split(',') {
        let (name, value) = pair.split_once('=')?;
        let name = name.trim();
        if !fields.iter().any(|f| f == name) {
            continue;
        }
        let value = value.trim().parse::<f64>().ok().filter(|v| v.is_finite())?;
        match name {
            "x0" => report.position = Some(turn.clock.position(value * 1000.0)?),
            "x1" => report.primary = Some(value == 1.0),
            "concurrent" => report.inflight = Some(value),
            "depth" => report.queue = Some(value),
            _ => {}
        }
    }
    Some(report)
}

#[cfg(test)]
mod tests;
