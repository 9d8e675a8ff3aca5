//! When a hung db host has a request: what its proxy wrote has come, though nothing is worked on.

use std::io::{Read, Write};
use std::net::TcpStream;
use std::sync::Arc;
use std::time::{Duration, Instant};

use gradeshunt_soak::db_host::{DbHost, Keys, Shared, WallClock};
use gradeshunt_soak::ledger::Ledger;
use gradeshunt_soak::statement::Class;
use gradeshunt_stand_ins::postgres::wire;

/// A wait that ends a test which fails, and bounds none that passes.
const PATIENCE: Duration = Duration::from_secs(8);

/// Guards against times told that are judged as of the end of a hang: a request behind an empty query, in the same write, has arrived at a
/// db host that hangs, and neither is answered before that ends.
#[test]
fn request_behind_an_empty_query_has_arrived_at_a_db_host_that_hangs() {
    let ledger = Arc::new(Ledger::default());
    let shared = Shared { wall: WallClock::default(), ledger: Arc::clone(&ledger) };
    let host = DbHost::open(0, true, &Keys::default(), &shared).expect("it listens");
    let mut proxy = TcpStream::connect(host.addr()).expect("it connects");
    proxy.set_read_timeout(Some(PATIENCE)).expect("it can be set");
    proxy.write_all(&wire::startup(&[("user", "portal")])).expect("it is open");
    while wire::read(&mut proxy).expect("it is open").0 != b'Z' {}
    host.set_faults(|faults| faults.hangs = true);
    let statement = ledger.asked(0, Class::Read, PATIENCE, 1, 0);
    proxy.write_all(&[wire::query(""), wire::query(&statement.text())].concat()).expect("it is open");
    let began = Instant::now();
    while ledger.summary().attempts == 0 {
        assert!(began.elapsed() < PATIENCE, "it has not arrived");
        std::thread::yield_now();
    }
    proxy.set_nonblocking(true).expect("it can be set");
    assert!(proxy.read(&mut [0]).is_err(), "it hangs, and answers");
    proxy.set_nonblocking(false).expect("it can be set");
    host.set_faults(|faults| faults.hangs = false);
    assert_eq!(wire::read(&mut proxy).expect("an answer").0, b'I');
    assert_eq!(wire::read(&mut proxy).expect("its end").0, b'Z');
    assert_eq!(wire::read(&mut proxy).expect("the request's answer").0, b'T');
}
