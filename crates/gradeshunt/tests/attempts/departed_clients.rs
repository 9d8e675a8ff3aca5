//! Clients that leave: what they have sent is not sent on, and an id that comes again does not run twice.

use std::net::Shutdown;
use std::time::Duration;

use super::*;

/// Pipelined requests of this number and size are more than the proxy reads of a client in one turn.
const PIPELINED: usize = 20;
const REQUEST_SIZE: usize = 20_000;

/// Guards against requests that are sent on although their client had closed before any of them was read.
#[test]
fn requests_of_a_client_that_closed_with_much_unread_are_not_sent() {
    let fixture = Fixture::open("closed-unread", 1_000);
    let mut host = fixture.accept_with_request();
    let mut client = fixture.client();
    fixture.program.stop();
    let requests: Vec<u8> =
        (10..10 + PIPELINED).flat_map(|id| request(id, "page-read", 300_000, REQUEST_SIZE)).collect();
    let mut stream = client.stream().try_clone().expect("a descriptor");
    let writes = std::thread::spawn(move || stream.write_all(&requests));
    // What does not fit into the sockets' buffers stays with the client's system, behind which the end comes.
    std::thread::sleep(Duration::from_millis(100));
    client.stream().shutdown(Shutdown::Both).expect("the connection is open");
    let _ = writes.join().expect("the client wrote");
    fixture.program.signal("-CONT");
    let mut next = fixture.client();
    next.stream().write_all(&request(2, "page-read", 300_000, 0)).expect("the connection is open");
    let arrived = next_request(&mut host).expect("a request arrives");
    assert!(arrived.contains("id=2,"), "{}", &arrived[..80]);
}

/// A write that its db host has read and not answered, whose client has left.
fn leave_with_write_out(fixture: &Fixture, host: &mut TcpStream, class: &str) {
    let mut client = fixture.client();
    client.stream().write_all(&request(7, class, 300_000, 0)).expect("the connection is open");
    assert!(next_request(host).expect("a request arrives").contains("id=7,"));
    drop(client);
    // The next client is accepted only after the proxy has noticed that the first one left.
    drop(fixture.client());
}

/// Asserts that a request with the id of one whose client has left is answered and not sent.
fn assert_id_does_not_run_again(name: &str, class: &str) {
    let fixture = Fixture::open(name, 1_000);
    let mut host = fixture.accept_with_request();
    leave_with_write_out(&fixture, &mut host, class);
    let mut again = fixture.client();
    again.stream().write_all(&request(7, class, 300_000, 0)).expect("the connection is open");
    let further = fixture.further_attempts();
    let mut next = fixture.client();
    next.stream().write_all(&request(8, "page-read", 300_000, 0)).expect("the connection is open");
    let arrived = further.recv_timeout(TEST_TIMEOUT).expect("a request arrives").expect("a whole one");
    assert!(arrived.contains("id=8,"), "{arrived}");
    let reply = again.until_ready().expect("an answer");
    assert_eq!(reply.outcome(), Outcome::Failed, "{reply:?}");
}

/// Guards against a write that must never run twice and does when its id comes again after its client left.
#[test]
fn id_of_an_unsafe_write_that_comes_again_after_its_client_left_does_not_run_twice() {
    assert_id_does_not_run_again("id-again-unsafe", "plain-write");
}

/// The same for a write with a key, which its db host knows for a while only.
#[test]
fn id_of_a_keyed_write_that_comes_again_after_its_client_left_does_not_run_twice() {
    assert_id_does_not_run_again("id-again-keyed", "tally-write");
}

/// Guards against two attempts of one id at once, where the first one's client has left.
#[test]
fn id_of_a_read_that_comes_again_while_its_attempt_is_out_is_not_sent() {
    assert_id_does_not_run_again("id-again-read", "page-read");
}
