//! The ledger's check that no request is read and closed without an answer.

use std::net::{TcpListener, TcpStream};
use std::sync::Arc;
use std::time::{Duration, Instant};

use gradeshunt_soak::ledger::{Arrival, Ledger, Outcome, Rule};
use gradeshunt_soak::statement::Class;

const WAIT: Duration = Duration::from_secs(1);
const HOST: usize = 0;

/// Guards against a request that was read and sent on, and passes for unread since its attempt is recorded behind its client's close.
#[test]
fn attempt_tells_that_a_closed_request_was_read_whichever_is_recorded_first() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("it listens");
    let _proxy = TcpStream::connect(listener.local_addr().expect("an address")).expect("it connects");
    let host = Arc::new(listener.accept().expect("it is accepted").0);
    for closed_first in [true, false] {
        let ledger = Ledger::default();
        let statement = ledger.asked(0, Class::Read, WAIT, 1, 0);
        let close = || ledger.ended(statement.id, Outcome::Crossed, Instant::now());
        let arrive = || {
            let _ = ledger.arrived(Arrival::now(statement, HOST, &host));
        };
        if closed_first {
            close();
            arrive();
        } else {
            arrive();
            close();
        }
        let counts = ledger.summary().counts;
        assert_eq!(counts.get(&Rule::ReadAndClosed), Some(&1), "closed first: {closed_first}, {counts:?}");
    }
}
