//! Connections that are reset right after a complete answer: a request that may have run must still count as
//! such.

use std::io::Write;
use std::net::TcpStream;
use std::time::Duration;

use gradeshunt_stand_ins::checker::Outcome;
use gradeshunt_stand_ins::postgres::client::Client;
use gradeshunt_stand_ins::postgres::wire;

use crate::played_host::*;

/// A complete error answer that reports no position.
fn error_without_position() -> Vec<u8> {
    [wire::error("XX000", "no"), wire::message(b'Z', b"I")].concat()
}

/// Answers a request and resets the connection. The process is suspended meanwhile, so that it reads the
/// answer only after the reset.
fn answer_and_reset(play: &Play, mut server: TcpStream, answer: &[u8]) {
    play.program.stop();
    server.write_all(answer).expect("the connection is closed");
    socket2::SockRef::from(&server).set_linger(Some(Duration::ZERO)).expect("cannot set a socket option");
    drop(server);
    play.program.signal("-CONT");
}

/// Answers a client's second write with the same error as its first, and resets the connection right after
/// that.
fn write_that_ends_in_an_error_and_a_reset(play: &Play, class: &str) -> Client {
    let mut client = play.client();
    client.stream().write_all(&request(1, "plain-write", 300_000, 0)).expect("the connection is closed");
    let mut server = play.accept();
    next_request(&mut server).expect("no request arrived");
    server.write_all(&error_without_position()).expect("the connection is closed");
    assert_eq!(client.until_ready().expect("no answer").outcome(), Outcome::Failed);
    client.stream().write_all(&request(2, class, 300_000, 0)).expect("the connection is closed");
    assert!(next_request(&mut server).expect("no request arrived").contains("id=2,"));
    answer_and_reset(play, server, &error_without_position());
    client
}

/// The connection of a write is reset while the proxy checks whether the write's error is a duplicate. The
/// write may have run and must not be sent again.
#[test]
fn write_whose_connection_is_reset_behind_an_error_is_not_sent_again() {
    let play = Play::open_with("reset-behind-error", 600_000, PATIENT_AIM_MS, |_| {});
    let mut client = write_that_ends_in_an_error_and_a_reset(&play, "plain-write");
    let attempts = play.further_attempts();
    let answer = client.until_ready().expect("no answer");
    let again: Vec<_> = attempts.try_iter().collect();
    assert_eq!((answer.outcome(), again), (Outcome::Failed, Vec::new()));
}

/// The connection of a keyed write is reset while the proxy checks whether the write's error is a duplicate.
/// The write may have run and must not be sent again after its window.
#[test]
fn keyed_write_whose_connection_is_reset_behind_an_error_is_not_sent_behind_its_window() {
    const WINDOW_MS: u64 = 1_000;
    let play = Play::open_with("reset-behind-keyed", WINDOW_MS, PATIENT_AIM_MS, |_| {});
    let mut client = write_that_ends_in_an_error_and_a_reset(&play, "tally-write");
    let (late, _) = play.host.accept().expect("no further connection arrived");
    late.set_read_timeout(Some(PATIENCE)).expect("cannot set a socket option");
    let_pass(&play, WINDOW_MS + 200);
    let mut other = play.client();
    other.stream().write_all(&request(3, "page-read", 300_000, 0)).expect("the connection is closed");
    let sent = next_request(&mut greet(late)).expect("no request arrived");
    assert!(sent.contains("id=3,"), "the write was sent again after its window: {sent}");
    assert_eq!(client.until_ready().expect("no answer").outcome(), Outcome::Failed);
}
