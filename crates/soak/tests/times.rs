//! Times that the ledger judges by: those of what happened, however late a busy ledger came to it.

use std::net::{TcpListener, TcpStream};
use std::sync::Arc;
use std::time::{Duration, Instant};

use gradeshunt_soak::ledger::{Arrival, Ledger, Outcome, Rule};
use gradeshunt_soak::statement::{Class, Statement};

const WAIT: Duration = Duration::from_secs(10);
const HOST: usize = 0;
/// So long after its client left, an attempt breaks the rule where processes are not held up.
const TOO_LATE: Duration = Duration::from_millis(300);

fn connection() -> (TcpStream, Arc<TcpStream>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("it listens");
    let proxy = TcpStream::connect(listener.local_addr().expect("an address")).expect("it connects");
    let (host, _) = listener.accept().expect("it is accepted");
    (proxy, Arc::new(host))
}

fn asked(ledger: &Ledger) -> Statement {
    ledger.asked(0, Class::Read, WAIT, 1, 0)
}

/// An attempt that a db host read then; what is left of its time is told.
fn arrives_at(ledger: &Ledger, statement: Statement, at: Instant) {
    let (_proxy, host) = connection();
    let statement = Statement { wait: Duration::from_millis(1), ..statement };
    let mut arrival = Arrival::now(statement, HOST, &host);
    arrival.at = at;
    ledger.arrived(arrival);
}

fn broken(ledger: &Ledger, rule: Rule) -> u64 {
    ledger.summary().counts.get(&rule).copied().unwrap_or(0)
}

/// Guards against a client that counts as gone only once the ledger is free: attempts long behind its close would pass.
#[test]
fn client_has_left_when_it_closed() {
    let ledger = Ledger::default();
    let statement = asked(&ledger);
    // Both have happened by now.
    let closed = Instant::now() - 2 * TOO_LATE;
    ledger.left(statement.id, closed);
    arrives_at(&ledger, statement, closed + TOO_LATE);
    assert_eq!(broken(&ledger, Rule::ClientLeft), 1, "{:?}", ledger.summary().faults);
}

/// Guards against answers that are timed when the ledger is free: one that came too late is found, and one that came in time is not
/// late because its client's thread waited for the ledger.
#[test]
fn answer_is_timed_when_it_came() {
    const TOO_LATE: Duration = Duration::from_secs(1);
    let ledger = Ledger::default();
    let (in_time, late) = (asked(&ledger), asked(&ledger));
    let now = Instant::now();
    ledger.ended(in_time.id, Outcome::Served, now + WAIT);
    assert_eq!(broken(&ledger, Rule::AnswerInTime), 0, "{:?}", ledger.summary().faults);
    ledger.ended(late.id, Outcome::Served, now + WAIT + TOO_LATE);
    assert_eq!(broken(&ledger, Rule::AnswerInTime), 1, "{:?}", ledger.summary().faults);
}

/// Guards against slack for processes that are held up that goes by when the ledger is free: it ends, and begins, by the attempt's own time.
#[test]
fn slack_for_processes_held_up_is_that_of_the_attempt() {
    const SLACK_LASTS: Duration = Duration::from_secs(1);
    let ledger = Ledger::default();
    let (within, behind) = (asked(&ledger), asked(&ledger));
    let now = Instant::now();
    ledger.held_up();
    for (statement, attempt) in [(within, now + SLACK_LASTS / 2), (behind, now + 2 * SLACK_LASTS)] {
        ledger.left(statement.id, attempt - TOO_LATE);
        arrives_at(&ledger, statement, attempt);
    }
    let faults = ledger.summary().faults;
    assert_eq!(broken(&ledger, Rule::ClientLeft), 1, "{faults:?}");
    assert!(faults[0].contains(&format!("id: {}", behind.id)), "{faults:?}");
}
