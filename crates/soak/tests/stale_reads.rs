//! The ledger's check that no read is served from data that is too old.

use std::io::Write;
use std::net::{TcpListener, TcpStream};
use std::time::Duration;

use gradeshunt_soak::ledger::{Ledger, Rule};
use gradeshunt_soak::statement::Class;
use socket2::SockRef;

const WAIT: Duration = Duration::from_secs(1);
const HOST: usize = 0;
const TOO_OLD: Duration = Duration::from_secs(2);

/// The proxy's end of an attempt's connection, and the db host's.
fn connection() -> (TcpStream, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("it listens");
    let proxy = TcpStream::connect(listener.local_addr().expect("an address")).expect("it connects");
    (proxy, listener.accept().expect("it is accepted").0)
}

/// Stale reads that are found where one is served on this connection from data that is too old.
fn found_on(connection: &TcpStream) -> u64 {
    let ledger = Ledger::default();
    let statement = ledger.asked(0, Class::Read, WAIT, 1, 0);
    ledger.served_from(&statement, HOST, TOO_OLD, true, connection);
    ledger.summary().counts.get(&Rule::StaleRead).copied().unwrap_or(0)
}

/// Guards against a check that finds what nobody gets: a read that a db host held while its data aged, and that its proxy gave up.
#[test]
fn read_that_was_given_up_is_served_to_nobody() {
    let (proxy, host) = connection();
    SockRef::from(&proxy).set_linger(Some(Duration::ZERO)).expect("an option");
    drop(proxy);
    assert!(!matches!(host.peek(&mut [0]), Ok(n) if n > 0), "nothing was sent on it");
    assert_eq!(found_on(&host), 0);
}

/// Guards against a check that finds nothing: stale data on a connection that stands, also where a next request stands unread on it.
#[test]
fn stale_read_on_a_standing_connection_is_found() {
    let (mut proxy, host) = connection();
    assert_eq!(found_on(&host), 1);
    proxy.write_all(b"Q").expect("it is sent");
    assert_eq!(host.peek(&mut [0]).expect("a byte"), 1);
    assert_eq!(found_on(&host), 1);
}
