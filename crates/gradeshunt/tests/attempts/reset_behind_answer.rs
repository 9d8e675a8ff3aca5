//! Connections that are reset behind a whole answer: what may have run stays what may have run.

use std::io::Write;
use std::net::TcpStream;
use std::time::Duration;

use gradeshunt_stand_ins::checker::Outcome;
use gradeshunt_stand_ins::postgres::client::Client;
use gradeshunt_stand_ins::postgres::wire;

use crate::played_host::*;

/// A whole answer that is an error and tells no position.
fn error_without_position() -> Vec<u8> {
    [wire::error("XX000", "no"), wire::message(b'Z', b"I")].concat()
}

/// The db host answers and resets its connection. The process reads the answer only once both have come.
fn answer_and_reset(play: &Play, mut server: TcpStream, answer: &[u8]) {
    play.program.stop();
    server.write_all(answer).expect("it is open");
    socket2::SockRef::from(&server).set_linger(Some(Duration::ZERO)).expect("it can be set");
    drop(server);
    play.program.signal("-CONT");
}

/// A client's second write ends as its first one has, with the same error, and its connection is reset behind that.
fn write_that_ends_in_an_error_and_a_reset(play: &Play, class: &str) -> Client {
    let mut client = play.client();
    client.stream().write_all(&request(1, "plain-write", 300_000, 0)).expect("it is open");
    let mut server = play.accept();
    next_request(&mut server).expect("it is sent");
    server.write_all(&error_without_position()).expect("it is open");
    assert_eq!(client.until_ready().expect("an answer").outcome(), Outcome::Failed);
    client.stream().write_all(&request(2, class, 300_000, 0)).expect("it is open");
    assert!(next_request(&mut server).expect("it is sent").contains("id=2,"));
    answer_and_reset(play, server, &error_without_position());
    client
}

/// Guards writes that must never run twice: one whose error was looked into while its connection was reset may have run, and is not sent
/// again.
#[test]
fn write_whose_connection_is_reset_behind_an_error_is_not_sent_again() {
    let play = Play::open_with("reset-behind-error", 600_000, PATIENT_AIM_MS, |_| {});
    let mut client = write_that_ends_in_an_error_and_a_reset(&play, "plain-write");
    let attempts = play.further_attempts();
    let answer = client.until_ready().expect("an answer");
    let again: Vec<_> = attempts.try_iter().collect();
    assert_eq!((answer.outcome(), again), (Outcome::Failed, Vec::new()));
}

/// Guards keyed writes: one whose error was looked into while its connection was reset may have run, and is not sent again behind its
/// window.
#[test]
fn keyed_write_whose_connection_is_reset_behind_an_error_is_not_sent_behind_its_window() {
    const WINDOW_MS: u64 = 1_000;
    let play = Play::open_with("reset-behind-keyed", WINDOW_MS, PATIENT_AIM_MS, |_| {});
    let mut client = write_that_ends_in_an_error_and_a_reset(&play, "tally-write");
    let (late, _) = play.host.accept().expect("another connection");
    late.set_read_timeout(Some(PATIENCE)).expect("it can be set");
    let_pass(&play, WINDOW_MS + 200);
    let mut other = play.client();
    other.stream().write_all(&request(3, "page-read", 300_000, 0)).expect("it is open");
    let sent = next_request(&mut greet(late)).expect("it is sent");
    assert!(sent.contains("id=3,"), "behind its window: {sent}");
    assert_eq!(client.until_ready().expect("an answer").outcome(), Outcome::Failed);
}
