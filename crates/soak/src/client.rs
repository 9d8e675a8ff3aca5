//! Clients of a play: each is a thread that asks one request after the other, and misbehaves now and then.

use std::io::{self, ErrorKind, Read, Write};
use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use fastrand::Rng;
use gradeshunt_stand_ins::postgres::wire;

use crate::fleet::Proxy;
use crate::ledger::{Ledger, Outcome, Rule};
use crate::site::SETS;
use crate::statement::{Class, Statement};

/// A final answer is waited for so much longer than the request's time: what has not come by then never does.
const BEYOND_WAIT: Duration = Duration::from_millis(1_500);
/// A client that stops amid a request is owed an error or a close within this time, and a busy machine's slack.
const HALF_REQUEST: Duration = Duration::from_millis(3_300);
/// The shortest wait of a client.
const SHORTEST_WAIT: Duration = Duration::from_millis(150);
/// Requests that one connection carries at most, and that stand behind each other at most.
const REQUESTS: usize = 20;
const PIPELINE: u32 = 4;
/// Pause of a client that can't connect.
const PAUSE: Duration = Duration::from_millis(20);

/// How often clients misbehave, in a thousand requests. Troubles set it.
#[derive(Default)]
pub struct ClientBehavior {
    /// They close their connection with a request out.
    pub leave: AtomicU64,
    /// They stop amid a request and stay.
    pub stop_midway: AtomicU64,
    /// They send several requests at once.
    pub pipeline: AtomicU64,
    /// They rest for a while between requests.
    pub rest: AtomicU64,
}

impl ClientBehavior {
    /// What clients do by themselves.
    pub fn usual() -> ClientBehavior {
        let behavior = ClientBehavior::default();
        behavior.reset();
        behavior
    }

    /// Back to the usual.
    pub fn reset(&self) {
        self.leave.store(10, Ordering::Relaxed);
        self.stop_midway.store(1, Ordering::Relaxed);
        self.pipeline.store(20, Ordering::Relaxed);
        self.rest.store(20, Ordering::Relaxed);
    }
}

/// One client.
pub struct Client {
    pub proxy: Arc<Proxy>,
    pub ledger: Arc<Ledger>,
    pub behavior: Arc<ClientBehavior>,
    pub ends: Arc<AtomicBool>,
    pub rng: Rng,
    pub longest_wait: Duration,
    /// Others crowd its proxy, which may then close whoever rests or has just come, unread.
    pub is_crowded: bool,
}

/// A session.
struct Session {
    stream: TcpStream,
    epoch: u64,
    /// It has carried a request.
    used: bool,
}

/// What came for one request.
enum Reply {
    Answered(Outcome),
    /// The connection ended before a byte of an answer.
    Ended(String),
    /// Nothing came.
    Silence,
}

impl Client {
    /// Asks until it is told to end.
    pub fn run(mut self) {
        while !self.ends.load(Ordering::Relaxed) {
            let Some(mut session) = self.connect() else {
                thread::sleep(PAUSE);
                continue;
            };
            for _ in 0..REQUESTS {
                let goes_on = self.turn(&mut session);
                session.used = true;
                if !goes_on || self.ends.load(Ordering::Relaxed) {
                    break;
                }
                thread::sleep(Duration::from_millis(self.rng.u64(5..60)));
            }
        }
    }

    fn does(&mut self, rate_of: impl Fn(&ClientBehavior) -> &AtomicU64) -> bool {
        let rate = rate_of(&self.behavior).load(Ordering::Relaxed);
        self.rng.u64(0..1000) < rate
    }

    fn connect(&mut self) -> Option<Session> {
        let availability = self.proxy.availability();
        if !availability.admits() {
            return None;
        }
        let stream = TcpStream::connect(self.proxy.addr).ok()?;
        stream.set_nodelay(true).ok()?;
        Some(Session { stream, epoch: availability.epoch, used: false })
    }

    /// One request, or several, or one that is no whole request; false where the connection is of no more use.
    fn turn(&mut self, session: &mut Session) -> bool {
        // Whoever connects and says nothing for long may be closed, and has not been read.
        if session.used && self.does(|b| &b.rest) {
            thread::sleep(Duration::from_millis(self.rng.u64(200..2_500)));
        }
        if self.does(|b| &b.stop_midway) {
            self.stop_midway(session);
            return false;
        }
        if self.does(|b| &b.leave) {
            self.leave(session);
            return false;
        }
        let requests = if self.does(|b| &b.pipeline) { self.rng.u32(2..=PIPELINE) } else { 1 };
        self.ask(session, requests)
    }

    fn draw(&mut self, behind: u32) -> Statement {
        let class = match self.rng.u32(0..10) {
            0..=6 => Class::Read,
            7..=8 => Class::KeyedWrite,
            _ => Class::PlainWrite,
        };
        let wait = self.rng.u64(SHORTEST_WAIT.as_millis() as u64..=self.longest_wait.as_millis() as u64);
        let set = self.rng.usize(1..=SETS);
        self.ledger.asked(self.proxy.number, class, Duration::from_millis(wait), set, behind)
    }

    /// What a session begins with, before its first request.
    fn greeting(session: &Session) -> Vec<u8> {
        if session.used {
            Vec::new()
        } else {
            wire::startup(&[("user", "portal"), ("database", "crm")])
        }
    }

    /// Sends requests at once and takes their answers.
    fn ask(&mut self, session: &mut Session, requests: u32) -> bool {
        let statements: Vec<_> = (0..requests).map(|behind| self.draw(behind)).collect();
        let mut bytes = Client::greeting(session);
        statements.iter().for_each(|statement| bytes.extend(wire::query(&statement.text())));
        let sent = session.stream.write_all(&bytes).is_ok();
        let mut greeted = session.used;
        let mut answered = session.used;
        for (n, statement) in statements.iter().enumerate() {
            let patience = (statement.wait + BEYOND_WAIT) * (statement_number(n) + 1);
            let reply = if sent {
                read_reply(&mut session.stream, statement, patience, &mut greeted)
            } else {
                Reply::Ended("it could not be sent".to_owned())
            };
            let at = Instant::now();
            let outcome = match reply {
                Reply::Answered(outcome) => outcome,
                _ if self.was_killed(session) => Outcome::Killed,
                Reply::Silence => Outcome::Unanswered,
                // What crosses the end of a resting connection is sent again. Few clients are open, so that only a process that
                // leaves has a reason to close one.
                Reply::Ended(_) if answered && self.proxy.availability().has_left(session.epoch) => {
                    Outcome::Crossed
                }
                // In a crowd, whether it was read first is left to the ledger, which knows of attempts, and to the process's own count.
                Reply::Ended(_) if self.is_crowded || self.proxy.is_crowded() => Outcome::Crossed,
                Reply::Ended(why) => {
                    self.ledger.note(
                        statement.id,
                        format!(
                            "{why}; {:?}; {}; {}",
                            self.proxy.availability(),
                            self.proxy.crowd_text(),
                            self.proxy.log_tail()
                        ),
                    );
                    Outcome::Closed
                }
            };
            self.ledger.ended(statement.id, outcome, at);
            if !matches!(outcome, Outcome::Served | Outcome::Refused | Outcome::Failed) {
                // What stands behind it fares no better, and by no other fault.
                let rest = if outcome == Outcome::Killed { Outcome::Killed } else { Outcome::Crossed };
                statements[n + 1..].iter().for_each(|s| self.ledger.ended(s.id, rest, at));
                return false;
            }
            answered = true;
        }
        true
    }

    fn was_killed(&self, session: &Session) -> bool {
        // A process that is being killed may be found dead a moment later.
        thread::sleep(PAUSE);
        self.proxy.availability().killed >= session.epoch
    }

    /// Sends a request and closes soon after.
    fn leave(&mut self, session: &mut Session) {
        let statement = self.draw(0);
        let bytes = [Client::greeting(session), wire::query(&statement.text())].concat();
        let _ = session.stream.write_all(&bytes);
        thread::sleep(Duration::from_millis(self.rng.u64(0..60)));
        let _ = session.stream.shutdown(std::net::Shutdown::Both);
        self.ledger.left(statement.id, Instant::now());
    }

    /// Sends a part of a request, and waits to be told or closed.
    fn stop_midway(&mut self, session: &mut Session) {
        let bytes = [Client::greeting(session), wire::query("SELECT data FROM facts")].concat();
        let part = bytes.len() - self.rng.usize(1..12);
        if session.stream.write_all(&bytes[..part]).is_err() {
            return;
        }
        let began = Instant::now();
        let mut piece = [0; 512];
        loop {
            let left = HALF_REQUEST.saturating_sub(began.elapsed());
            let _ = session.stream.set_read_timeout(Some(left.max(Duration::from_millis(1))));
            match session.stream.read(&mut piece) {
                // Its startup reply comes as usual.
                Ok(n) if n > 0 => {}
                Err(e) if is_timeout(&e) => break,
                _ => return,
            }
        }
        if !self.was_killed(session) {
            let text = format!("proxy {} kept half a request for {HALF_REQUEST:?}", self.proxy.number);
            self.ledger.fault(Rule::HalfRequest, text);
        }
    }
}

fn statement_number(n: usize) -> u32 {
    u32::try_from(n).unwrap_or(u32::MAX)
}

fn is_timeout(e: &io::Error) -> bool {
    matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut)
}

/// Reads up to the ReadyForQuery behind a request's answer; `greeted` once the session's first one is passed.
fn read_reply(
    stream: &mut TcpStream,
    statement: &Statement,
    patience: Duration,
    greeted: &mut bool,
) -> Reply {
    let _ = stream.set_read_timeout(Some(patience));
    let mut outcome = None;
    let mut begun = false;
    loop {
        let (tag, body) = match wire::read(stream) {
            Ok(message) => message,
            // An error that ends the session is an answer.
            Err(_) if outcome.is_some_and(|o| o != Outcome::Served) => break,
            Err(e) if is_timeout(&e) => return Reply::Silence,
            // A value that broke off: its client can see that.
            Err(_) if begun => return Reply::Answered(Outcome::Failed),
            Err(e) => return Reply::Ended(format!("{e}, greeted {greeted}")),
        };
        match tag {
            b'Z' if !*greeted => *greeted = true,
            b'Z' => break,
            b'D' => {
                begun = true;
                let value = wire::columns(&body).and_then(|mut columns| columns.pop().flatten());
                let own = value.is_some_and(|value| value == statement.value().as_bytes());
                outcome = Some(if own { Outcome::Served } else { Outcome::Foreign });
            }
            b'E' => {
                let refused = matches!(wire::field(&body, b'C').as_deref(), Some("53300" | "57P03"));
                outcome = Some(if refused { Outcome::Refused } else { Outcome::Failed });
            }
            _ => {}
        }
    }
    outcome.map_or_else(|| Reply::Ended("no answer before ReadyForQuery".to_owned()), Reply::Answered)
}
