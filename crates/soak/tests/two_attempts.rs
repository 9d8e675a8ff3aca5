//! The ledger's check that one attempt of a request is out at a time, over real connections.

use std::net::{TcpListener, TcpStream};
use std::sync::Arc;
use std::time::Duration;

use gradeshunt_soak::ledger::{Arrival, Ledger, Rule};
use gradeshunt_soak::statement::{Class, Statement};
use socket2::SockRef;

const WAIT: Duration = Duration::from_secs(1);
const HOST: usize = 0;

/// The proxy's end of an attempt's connection, and the db host's.
struct Pair {
    proxy: TcpStream,
    host: Arc<TcpStream>,
}

impl Pair {
    fn open() -> Pair {
        let listener = TcpListener::bind("127.0.0.1:0").expect("it listens");
        let proxy = TcpStream::connect(listener.local_addr().expect("an address")).expect("it connects");
        let (host, _) = listener.accept().expect("it is accepted");
        Pair { proxy, host: Arc::new(host) }
    }

    /// Its proxy resets it; returns once the db host's end has heard of that.
    fn reset(self) {
        SockRef::from(&self.proxy).set_linger(Some(Duration::ZERO)).expect("an option");
        drop(self.proxy);
        assert!(!matches!(self.host.peek(&mut [0]), Ok(n) if n > 0), "nothing was sent on it");
    }
}

fn asked(ledger: &Ledger) -> Statement {
    ledger.asked(0, Class::Read, WAIT, 1, 0)
}

fn arrival(statement: Statement, pair: &Pair) -> Arrival {
    Arrival::now(statement, HOST, &pair.host)
}

fn two_attempts_out(ledger: &Ledger) -> u64 {
    ledger.summary().counts.get(&Rule::TwoAttemptsOut).copied().unwrap_or(0)
}

/// Guards against a check that finds nothing: two attempts whose connections both stand, though none was heard of since the first one's record.
#[test]
fn two_attempts_whose_connections_stand_are_found() {
    let ledger = Ledger::default();
    let statement = asked(&ledger);
    let (first, second) = (Pair::open(), Pair::open());
    ledger.arrived(arrival(statement, &first));
    ledger.arrived(arrival(statement, &second));
    assert_eq!(two_attempts_out(&ledger), 1, "{:?}", ledger.summary().faults);
}

/// Guards against a check that depends on who comes first: the earlier of two attempts that both stand is recorded second.
#[test]
fn two_attempts_whose_connections_stand_are_found_in_either_order() {
    let ledger = Ledger::default();
    let statement = asked(&ledger);
    let (first, second) = (Pair::open(), Pair::open());
    let held = arrival(statement, &first);
    ledger.arrived(arrival(statement, &second));
    ledger.arrived(held);
    assert_eq!(two_attempts_out(&ledger), 1, "{:?}", ledger.summary().faults);
}

/// Guards against a check that finds too much: a repeat behind an attempt that was answered, or whose connection was reset.
#[test]
fn repeat_behind_an_attempt_that_has_ended_is_none() {
    let ledger = Ledger::default();
    let statement = asked(&ledger);
    let (answered, reset, last) = (Pair::open(), Pair::open(), Pair::open());
    let number = ledger.arrived(arrival(statement, &answered));
    ledger.attempt_ended(statement.id, number);
    ledger.arrived(arrival(statement, &reset));
    reset.reset();
    ledger.arrived(arrival(statement, &last));
    assert_eq!(two_attempts_out(&ledger), 0, "{:?}", ledger.summary().faults);
}

/// Guards against answers that are old by the time they are judged by: the first attempt is read while its connection stands, held up
/// before the ledger, and given up; its repeat is recorded first. What the first one then finds open is its own, permitted repeat.
#[test]
fn attempt_given_up_before_it_reaches_the_ledger_is_no_second_one() {
    let ledger = Ledger::default();
    let statement = asked(&ledger);
    let (first, repeat) = (Pair::open(), Pair::open());
    let held = arrival(statement, &first);
    first.reset();
    ledger.arrived(arrival(statement, &repeat));
    ledger.arrived(held);
    assert_eq!(two_attempts_out(&ledger), 0, "{:?}", ledger.summary().faults);
    assert_eq!(ledger.summary().attempts, 2, "it is recorded as an attempt");
    // A third one beside the repeat, which still stands, is a real second one.
    ledger.arrived(arrival(statement, &Pair::open()));
    assert_eq!(two_attempts_out(&ledger), 1, "{:?}", ledger.summary().faults);
}
