//! What clients asked and got and what db hosts were sent, and which of it breaks a rule.
//!
//! All times are monotonic: the wall clocks of a play are stepped.

use std::collections::{BTreeMap, HashMap};
use std::net::TcpStream;
use std::sync::{Arc, Mutex, OnceLock};
use std::time::{Duration, Instant};

use gradeshunt_stand_ins::discovery::Discovery;

use crate::connection::{has_ended, is_open, open_for, OpenFor};
use crate::lock;
use crate::statement::{Class, Statement, READ_BOUND};

/// A process may be held up for this long between reading its clock and writing, where a trouble does that.
const HELD_UP: Duration = Duration::from_millis(150);
/// So long after processes were held up, what they do may still be late by it.
const HELD_UP_LASTS: Duration = Duration::from_secs(1);
/// Threads of the stand-ins on a busy machine may come this much later.
const SCHEDULING: Duration = Duration::from_millis(150);
/// A client may have left this long before an attempt begins.
const LEFT_GRACE: Duration = Duration::from_millis(100);
/// The time told to a db host may exceed what is left by this much.
const TOLD_SLACK: Duration = Duration::from_millis(150);
/// A final answer may come this long after its request's time.
const ANSWER_SLACK: Duration = Duration::from_millis(500);
/// Nothing new goes to a db host this long after it was told to drain.
const DRAIN_GRACE: Duration = Duration::from_millis(250);
/// What an answer tells counts as known this long after its writing.
const KNOWN_AFTER: Duration = Duration::from_millis(100);
/// Requests that a ledger has room for from its start: while a map of crowded plays' 28,672 grows and is copied, hundreds of threads wait
/// for the ledger.
const REQUESTS: usize = 1 << 17;
/// Faults that are kept word for word.
const KEPT: usize = 40;

/// How a request ended for its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Outcome {
    Served,
    Refused,
    Failed,
    /// Served with a value that is not this request's.
    Foreign,
    /// Its connection was closed between requests before it was read, as far as its client can tell: it is sent again.
    Crossed,
    /// Its connection was closed, though it had just been opened for it or its process had no reason to.
    Closed,
    /// Nothing came in its time.
    Unanswered,
    /// Its client left.
    Left,
    /// Its process was killed.
    Killed,
}

/// A rule that a play is judged by.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rule {
    FinalAnswer,
    AnswerInTime,
    ForeignValue,
    ReadAndClosed,
    RanTwice,
    TwoAttemptsOut,
    ClientLeft,
    DeadlineTold,
    Drain,
    StaleRead,
    /// A client that stops amid a request gets an error or a close in time.
    HalfRequest,
    /// A process ends with an error, or is not ready or gone in time.
    Process,
    /// A process has counted violations itself.
    OwnCount,
    /// A process holds more memory than it may.
    Memory,
}

/// An attempt as it arrives at a db host: what is known of it before the ledger is held.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// The request as the attempt tells it.
    pub statement: Statement,
    /// The db host.
    pub host: usize,
    /// When it was read.
    pub at: Instant,
    /// The generation of the list that says that its db host drains.
    pub drains_since: Option<u64>,
    /// Its db host reads as soon as bytes come: times of arrival are those of the network.
    pub prompt: bool,
    /// Its connection. Whether that stands is asked where the ledger is held: an answer from before may be older than the next attempt.
    connection: Arc<TcpStream>,
}

impl Arrival {
    /// One that a db host has just read promptly, and that no list says to drain.
    pub fn now(statement: Statement, host: usize, connection: &Arc<TcpStream>) -> Arrival {
        Arrival {
            statement,
            host,
            at: Instant::now(),
            drains_since: None,
            prompt: true,
            connection: Arc::clone(connection),
        }
    }
}

struct Attempt {
    /// Its connection while it is out.
    connection: Option<Arc<TcpStream>>,
}

struct Request {
    /// The proxy that it was asked of.
    proxy: usize,
    statement: Statement,
    asked: Instant,
    /// Behind how many others on its connection it stands: it waits for them first.
    behind: u32,
    left: Option<Instant>,
    outcome: Option<Outcome>,
    attempts: Vec<Attempt>,
    executions: u32,
    /// What its client noted of its end.
    note: String,
}

impl Request {
    /// An attempt whose connection stands beside this one's on their proxy's side, by its number, and for how long it does.
    fn attempt_out_beside(&self, connection: &TcpStream) -> Option<(usize, OpenFor)> {
        // One given up before it came here was followed by a repeat, which may have come first.
        if !is_open(connection) {
            return None;
        }
        let out = |(n, attempt): (usize, &Attempt)| Some((n, open_for(attempt.connection.as_ref()?)?));
        self.attempts.iter().enumerate().find_map(out)
    }
}

struct Book {
    requests: HashMap<u64, Request>,
    next: u64,
    faults: Vec<String>,
    counts: BTreeMap<Rule, u64>,
    outcomes: BTreeMap<Outcome, u64>,
    attempts: u64,
    /// When processes were held up last.
    held_up: Option<Instant>,
}

/// The ledger of a play.
#[derive(Default)]
pub struct Ledger {
    book: Mutex<Book>,
    discovery: OnceLock<Discovery>,
    /// When each proxy's process has started: what a former one was told, this one was not.
    started: Mutex<HashMap<usize, Instant>>,
}

/// What a play came to.
#[derive(Clone, Debug, Default)]
pub struct Summary {
    pub outcomes: BTreeMap<Outcome, u64>,
    pub attempts: u64,
    pub counts: BTreeMap<Rule, u64>,
    pub faults: Vec<String>,
}

impl Default for Book {
    fn default() -> Book {
        Book {
            requests: HashMap::with_capacity(REQUESTS),
            next: 0,
            faults: Vec::new(),
            counts: BTreeMap::new(),
            outcomes: BTreeMap::new(),
            attempts: 0,
            held_up: None,
        }
    }
}

impl Book {
    /// By how much times may be off then, beside the rules' own slack. Where processes were held up since, they may have been before.
    fn slack_at(&self, at: Instant) -> Duration {
        let lasts = |held_up: Instant| at.saturating_duration_since(held_up) < HELD_UP_LASTS;
        match self.held_up.is_some_and(lasts) {
            true => SCHEDULING + HELD_UP,
            false => SCHEDULING,
        }
    }

    fn fault(&mut self, rule: Rule, text: String) {
        *self.counts.entry(rule).or_default() += 1;
        if self.faults.len() < KEPT {
            self.faults.push(format!("{rule:?}: {text}"));
        }
    }
}

impl Ledger {
    /// A fault that the ledger itself can't see.
    pub fn fault(&self, rule: Rule, text: String) {
        lock(&self.book).fault(rule, text);
    }

    /// Processes are held up now.
    pub fn held_up(&self) {
        lock(&self.book).held_up = Some(Instant::now());
    }

    /// Drains are judged by what this service has told each proxy.
    pub fn judge_drains_by(&self, discovery: &Discovery) {
        let _ = self.discovery.set(discovery.clone());
    }

    /// A proxy's process starts now.
    pub fn starts(&self, proxy: usize) {
        lock(&self.started).insert(proxy, Instant::now());
    }

    /// When the process of a proxy was told of a generation of the list.
    fn told(&self, proxy: usize, generation: u64) -> Option<Instant> {
        let started = lock(&self.started).get(&proxy).copied()?;
        self.discovery.get()?.told(proxy, generation, started)
    }

    /// A request is about to be written to a proxy; `behind` others stand before it on its connection.
    pub fn asked(&self, proxy: usize, class: Class, wait: Duration, set: usize, behind: u32) -> Statement {
        let mut book = lock(&self.book);
        book.next += 1;
        let statement = Statement { id: book.next, class, wait, set };
        let request = Request {
            proxy,
            statement,
            asked: Instant::now(),
            behind,
            left: None,
            outcome: None,
            attempts: Vec::new(),
            executions: 0,
            note: String::new(),
        };
        book.requests.insert(statement.id, request);
        statement
    }

    /// A request's client has closed its connection then.
    pub fn left(&self, id: u64, at: Instant) {
        let mut book = lock(&self.book);
        if let Some(request) = book.requests.get_mut(&id) {
            request.left = Some(at);
        }
        drop(book);
        self.ended(id, Outcome::Left, at);
    }

    /// Notes how a request's connection ended, for the text of a fault.
    pub fn note(&self, id: u64, note: String) {
        lock(&self.book).requests.get_mut(&id).into_iter().for_each(|request| request.note = note.clone());
    }

    /// A request has ended for its client then.
    pub fn ended(&self, id: u64, outcome: Outcome, at: Instant) {
        let mut book = lock(&self.book);
        *book.outcomes.entry(outcome).or_default() += 1;
        let slack = book.slack_at(at);
        let Some(request) = book.requests.get_mut(&id) else { return };
        request.outcome = Some(outcome);
        let (took, statement) = (at.saturating_duration_since(request.asked), request.statement);
        let (attempts, note) = (request.attempts.len(), std::mem::take(&mut request.note));
        let allowed = (statement.wait + ANSWER_SLACK) * (request.behind + 1) + slack;
        match outcome {
            Outcome::Foreign => book.fault(Rule::ForeignValue, format!("{statement:?}")),
            Outcome::Unanswered => book.fault(Rule::FinalAnswer, format!("{statement:?} after {took:?}")),
            Outcome::Closed => {
                book.fault(
                    Rule::ReadAndClosed,
                    format!("{statement:?} after {took:?} {attempts} attempts: {note}"),
                );
            }
            Outcome::Crossed if attempts > 0 => {
                book.fault(Rule::ReadAndClosed, format!("{statement:?} after {attempts} attempts"));
            }
            Outcome::Served | Outcome::Refused | Outcome::Failed if took > allowed => {
                book.fault(Rule::AnswerInTime, format!("{statement:?} after {took:?}"));
            }
            _ => {}
        }
    }

    /// An attempt has arrived; gives its number among those of its request.
    pub fn arrived(&self, arrival: Arrival) -> usize {
        let told = |proxy: usize, generation: u64| self.told(proxy, generation);
        let mut book = lock(&self.book);
        book.attempts += 1;
        let Arrival { statement, host, at, drains_since, prompt, connection } = arrival;
        let slack = book.slack_at(at);
        let Some(request) = book.requests.get_mut(&statement.id) else { return 0 };
        let number = request.attempts.len();
        let mut found = Vec::new();
        if let Some((n, open)) = request.attempt_out_beside(&connection) {
            found.push((Rule::TwoAttemptsOut, format!("beside attempt {n}, whose connection was {open}")));
        }
        // One that comes behind the close was not counted at the close.
        if request.outcome == Some(Outcome::Crossed) && request.attempts.is_empty() {
            found.push((Rule::ReadAndClosed, "after its client was closed without an answer".to_owned()));
        }
        if prompt {
            if let Some(since) = request.left.and_then(|left| at.checked_duration_since(left)) {
                if since > LEFT_GRACE + slack {
                    found.push((Rule::ClientLeft, format!("{since:?} after its client")));
                }
            }
            let ends = request.asked
                + (statement_wait(request) + ANSWER_SLACK) * request.behind
                + statement_wait(request);
            let left = ends.saturating_duration_since(at);
            if statement.wait > left + TOLD_SLACK + SCHEDULING {
                found.push((Rule::DeadlineTold, format!("{:?} told, {left:?} left", statement.wait)));
            }
            // Its proxy counts as told once discovery has written that to one of its watches.
            let proxy = request.proxy;
            let told = drains_since.and_then(|generation| told(proxy, generation));
            let since = told.and_then(|told| at.checked_duration_since(told));
            if let Some(since) = since.filter(|since| *since > DRAIN_GRACE + slack) {
                found.push((
                    Rule::Drain,
                    format!("{since:?} after proxy {proxy} was told that host {host} drains"),
                ));
            }
        }
        request.attempts.push(Attempt { connection: Some(connection) });
        for (rule, text) in found {
            book.fault(rule, format!("attempt {number} of {statement:?} at host {host} {text}"));
        }
        number
    }

    /// A db host has ended an attempt, or given it up.
    pub fn attempt_ended(&self, id: u64, number: usize) {
        let mut book = lock(&self.book);
        let attempt = book.requests.get_mut(&id).and_then(|r| r.attempts.get_mut(number));
        attempt.into_iter().for_each(|a| a.connection = None);
    }

    /// A db host has executed a write; a repeat that it dropped is none.
    pub fn executed(&self, statement: &Statement) {
        let mut book = lock(&self.book);
        let Some(request) = book.requests.get_mut(&statement.id) else { return };
        request.executions += 1;
        if request.executions > 1 {
            let times = request.executions;
            book.fault(Rule::RanTwice, format!("{statement:?} has run {times} times"));
        }
    }

    /// A db host is about to serve a read from data of this age on this connection.
    pub fn served_from(
        &self,
        statement: &Statement,
        host: usize,
        age: Duration,
        prompt: bool,
        connection: &TcpStream,
    ) {
        let at = Instant::now();
        let slack = lock(&self.book).slack_at(at);
        let stale = statement.class == Class::Read && age > READ_BOUND + KNOWN_AFTER + slack;
        // One that its proxy gave up while it was held is served to nobody.
        if prompt && stale && !has_ended(connection) {
            self.fault(
                Rule::StaleRead,
                format!("{statement:?} from data of host {host} that is {age:?} old"),
            );
        }
    }

    /// What the play came to.
    pub fn summary(&self) -> Summary {
        let book = lock(&self.book);
        Summary {
            outcomes: book.outcomes.clone(),
            attempts: book.attempts,
            counts: book.counts.clone(),
            faults: book.faults.clone(),
        }
    }
}

fn statement_wait(request: &Request) -> Duration {
    request.statement.wait
}
