//! Clients that leave: an id that comes again does not run twice.

use super::*;

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
