//! The thread of each connection to a db host: PostgreSQL's protocol, attempts and load reports.

use std::io::{self, Write};
use std::net::TcpStream;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use gradeshunt_stand_ins::postgres::wire;
use gradeshunt_stand_ins::script::Table;

use super::{DbHost, DbHostFaults, KEY_WINDOW};
use crate::connection::has_unread;
use crate::ledger::Arrival;
use crate::lock;
use crate::statement::{Class, Statement};

/// How long a request is worked on.
const WORK: Duration = Duration::from_millis(2);
/// Bytes of an answer that are written at a time, and the pause before each piece where that goes slowly.
const PIECE: usize = 40;
const PIECE_PAUSE: Duration = Duration::from_millis(30);

impl DbHost {
    fn wait_while(&self, has_fault: impl Fn(&DbHostFaults) -> bool) {
        let state = lock(&self.0.state);
        let waited = self.0.changed.wait_while(state, |state| has_fault(&state.faults));
        drop(waited.unwrap_or_else(|poisoned| poisoned.into_inner()));
    }

    /// Serves a connection until it ends.
    pub(super) fn serve(&self, stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let stream = Arc::new(stream);
        self.wait_while(|faults| faults.stops_reading);
        wire::read_startup(&mut &*stream)?;
        (&*stream).write_all(&[wire::message(b'R', &[0; 4]), wire::message(b'Z', b"I")].concat())?;
        // Empty queries that were read and stand before what comes next.
        let mut unanswered = 0;
        loop {
            self.wait_while(|faults| faults.stops_reading);
            let (tag, body) = wire::read(&mut &*stream)?;
            if tag != b'Q' {
                return Ok(());
            }
            let text = String::from_utf8_lossy(&body).trim_end_matches('\0').to_owned();
            // A db host that hangs has what has come all the same.
            if text.is_empty() && self.hangs() && has_unread(&stream) {
                unanswered += 1;
                continue;
            }
            let before = std::mem::take(&mut unanswered);
            let goes_on = match Statement::read(&text) {
                Some(statement) => self.request(&stream, &statement, before)?,
                None if text.is_empty() => self.answer_empty_queries(&stream, before + 1)?,
                None => self.probe(&stream, before)?,
            };
            if !goes_on {
                return Ok(());
            }
        }
    }

    fn hangs(&self) -> bool {
        lock(&self.0.state).faults.hangs
    }

    /// A load report, behind so many empty queries.
    fn probe(&self, mut stream: &TcpStream, empty_queries: usize) -> io::Result<bool> {
        self.answer_empty_queries(stream, empty_queries)?;
        let report = format!("x0={:.3},x1={}", self.position().0 / 1000.0, u8::from(self.0.primary));
        let row = Table { tag: "SHOW".to_owned(), ..Table::of(&["pressure"], &[&[&report]]) };
        stream.write_all(&[wire::table(&row), wire::message(b'Z', b"I")].concat())?;
        Ok(true)
    }

    /// Answers so many empty queries, which do nothing, once it hangs no longer.
    fn answer_empty_queries(&self, mut stream: &TcpStream, empty_queries: usize) -> io::Result<bool> {
        self.wait_while(|faults| faults.hangs);
        stream.write_all(&wire::empty_query_answer().repeat(empty_queries))?;
        Ok(true)
    }

    /// A request, behind so many empty queries.
    fn request(
        &self,
        stream: &Arc<TcpStream>,
        statement: &Statement,
        empty_queries: usize,
    ) -> io::Result<bool> {
        // Its time is taken before any lock is waited for, and what else is judged with it is asked as of then.
        let mut arrival = Arrival::now(*statement, self.0.number, stream);
        (arrival.drains_since, arrival.prompt) = {
            let state = lock(&self.0.state);
            (state.drains_since, state.is_prompt_at(arrival.at))
        };
        let prompt = arrival.prompt;
        let number = self.0.ledger.arrived(arrival);
        // Where that fails its proxy has given up the connection, and the work is done all the same.
        let _ = self.answer_empty_queries(stream, empty_queries);
        let reply = self.work(stream, statement, prompt);
        // Before its proxy can hear of the end, and begin another attempt.
        self.0.ledger.attempt_ended(statement.id, number);
        match reply {
            Some(reply) => self.write_reply(stream, &reply).map(|()| true),
            None => {
                let _ = socket2::SockRef::from(&**stream).set_linger(Some(Duration::ZERO));
                Ok(false)
            }
        }
    }

    /// Writes an answer, in pieces where it does so slowly.
    fn write_reply(&self, mut stream: &TcpStream, reply: &[u8]) -> io::Result<()> {
        for piece in reply.chunks(PIECE) {
            if lock(&self.0.state).faults.writes_slowly {
                thread::sleep(PIECE_PAUSE);
            }
            stream.write_all(piece)?;
        }
        Ok(())
    }

    /// Works on a request, and gives its answer; `None` where its connection is reset in place of one.
    fn work(&self, stream: &TcpStream, statement: &Statement, prompt: bool) -> Option<Vec<u8>> {
        thread::sleep(WORK);
        let faults = lock(&self.0.state).faults;
        let error = |code: &str, text: &str| wire::error(code, text);
        let mut reply = if faults.full {
            error("53300", "too many requests wait")
        } else if statement.class.writes() && !self.0.primary {
            error("25006", "cannot execute INSERT in a read-only transaction")
        } else {
            if statement.class.writes() {
                self.execute(statement);
            } else {
                self.0.reads.fetch_add(1, Ordering::Relaxed);
                let age = self.position().1;
                self.0.ledger.served_from(statement, self.0.number, age, prompt, stream);
            }
            if faults.resets {
                return None;
            }
            if faults.errs {
                error("XX000", "an error of its own")
            } else {
                let tag = if statement.class.writes() { "INSERT 0 1" } else { "SELECT 1" };
                let value = statement.value();
                wire::table(&Table { tag: tag.to_owned(), ..Table::of(&["data"], &[&[&value]]) })
            }
        };
        let role = if self.0.primary { "primary" } else { "standby" };
        reply.extend(wire::parameter("replication_role", role));
        reply.extend(wire::parameter("log_position", &format!("{:.0}", self.position().0.floor())));
        reply.extend(wire::message(b'Z', b"I"));
        Some(reply)
    }

    /// Executes a write, unless its key is known.
    fn execute(&self, statement: &Statement) {
        if statement.class == Class::KeyedWrite {
            let mut keys = lock(&self.0.keys);
            if keys.get(&statement.id).is_some_and(|ran| ran.elapsed() < KEY_WINDOW) {
                return;
            }
            keys.insert(statement.id, Instant::now());
        }
        self.0.ledger.executed(statement);
    }
}
