//! Duplicates that a db host writes right after an answer, and that arrive only after the next request was
//! written. The db host answers in the order in which it reads, so the duplicate arrives before the answers
//! to whatever was written after it.

use std::io::Write;
use std::net::TcpStream;

use gradeshunt_stand_ins::checker::Outcome;
use gradeshunt_stand_ins::postgres::client::{Client, Reply};
use gradeshunt_stand_ins::postgres::wire;
use gradeshunt_stand_ins::script::Table;

use crate::played_host::*;

/// A value too long to be buffered completely, so that it is passed on in parts.
const LONG_VALUE: usize = 100 * 1024;
/// The longest statement that the proxy takes.
const LONGEST_STATEMENT: usize = 256 * 1024 - 13;

/// An answer with one value, without ReadyForQuery.
fn value(text: &str) -> Vec<u8> {
    let row = Table { tag: "SELECT 1".to_owned(), ..Table::of(&["data"], &[&[text]]) };
    [wire::table(&row), wire::parameter("log_position", POSITION)].concat()
}

/// The first characters of an answer's value, short enough to be printed by a failed test.
fn beginning(answer: &Reply) -> String {
    answer.value().unwrap_or_default().chars().take(8).collect()
}

fn ready() -> Vec<u8> {
    wire::message(b'Z', b"I")
}

/// A complete refusal that reports no position.
fn refusal_without_position() -> Vec<u8> {
    [wire::error("53300", "busy"), ready()].concat()
}

/// Sends a client's request and reads it at the db host on this connection. Other connections that the proxy
/// opens are not accepted. Returns the number of empty queries before the request.
fn ask(play: &Play, server: &mut TcpStream, request: &[u8]) -> (Client, usize) {
    let mut client = play.client();
    client.stream().write_all(request).expect("the connection is closed");
    let (markers, _) = read_request(server).expect("no request arrived");
    (client, markers)
}

/// Sends the duplicate of an earlier answer, then the answers to what the db host has read since.
fn answer_behind_copy(server: &mut TcpStream, copy: &[u8], markers: usize, own: &[u8]) {
    let answers = [copy, &wire::empty_query_answer().repeat(markers), own, &ready()].concat();
    server.write_all(&answers).expect("the connection is closed");
}

/// Answers the first request with `first_value` and ReadyForQuery, and sends a duplicate of that answer after
/// the next request. Returns what the next request's client receives.
fn answer_behind_a_copied_value(name: &str, first_value: &str, next: &[u8]) -> (Play, TcpStream, Reply) {
    let play = Play::open_with(name, 600_000, PATIENT_AIM_MS, |_| {});
    let mut client = play.client();
    client.stream().write_all(&request(1, "page-read", 300_000, 0)).expect("the connection is closed");
    let mut server = play.accept();
    next_request(&mut server).expect("no request arrived");
    let whole = [value(first_value), ready()].concat();
    server.write_all(&whole).expect("the connection is closed");
    assert_eq!(client.until_ready().expect("no answer").value().as_deref(), Some(first_value));
    let (mut second, markers) = ask(&play, &mut server, next);
    answer_behind_copy(&mut server, &whole, markers, &value("two"));
    let answer = second.until_ready().expect("no answer");
    (play, server, answer)
}

/// A duplicate of a value whose ReadyForQuery was late must not be served to the next request.
#[test]
fn copy_of_a_value_whose_ready_for_query_was_late_is_not_served() {
    let play = Play::open_with("late-ready-copy", 600_000, PATIENT_AIM_MS, |_| {});
    let mut client = play.client();
    client.stream().write_all(&request(1, "page-read", 300_000, 0)).expect("the connection is closed");
    let mut server = play.accept();
    next_request(&mut server).expect("no request arrived");
    server.write_all(&value("one")).expect("the connection is closed");
    // The client has its answer although ReadyForQuery has not been sent.
    assert_eq!(client.until_ready().expect("no answer").value().as_deref(), Some("one"));
    server.write_all(&ready()).expect("the connection is closed");
    let (mut second, markers) = ask(&play, &mut server, &request(2, "page-read", 300_000, 0));
    let copy = [value("one"), ready()].concat();
    answer_behind_copy(&mut server, &copy, markers, &value("two"));
    assert_eq!(second.until_ready().expect("no answer").value().as_deref(), Some("two"));
}

/// A duplicate of a long value, which was passed on in parts, must not be served to the next request.
#[test]
fn copy_of_a_long_value_is_not_served() {
    let next = request(2, "page-read", 300_000, 0);
    let (_play, _server, answer) = answer_behind_a_copied_value("long-copy", &"1".repeat(LONG_VALUE), &next);
    assert_eq!(beginning(&answer), "two");
}

/// After a duplicate of a long value the connection is used again. Each further request must get its own
/// value.
#[test]
fn each_request_behind_the_copy_of_a_long_value_gets_its_own() {
    let next = request(2, "page-read", 300_000, 0);
    let (play, mut server, _) =
        answer_behind_a_copied_value("long-copy-and-on", &"1".repeat(LONG_VALUE), &next);
    for id in 3..6 {
        let (mut client, markers) = ask(&play, &mut server, &request(id, "page-read", 300_000, 0));
        let own = id.to_string();
        answer_behind_copy(&mut server, &[], markers, &value(&own));
        assert_eq!(client.until_ready().expect("no answer").value().as_deref(), Some(own.as_str()));
    }
}

/// A statement that fills the connection's buffer must still leave room for the empty query before it.
#[test]
fn long_statement_behind_a_long_value_is_written_whole() {
    let next = request(2, "page-read", 300_000, LONGEST_STATEMENT);
    let (_play, _server, answer) =
        answer_behind_a_copied_value("long-copy-long-statement", &"1".repeat(LONG_VALUE), &next);
    assert_eq!(beginning(&answer), "two");
}

/// The connection breaks in the middle of a duplicate. The next request must fail and must not get any part
/// of it.
#[test]
fn copy_of_a_long_value_that_breaks_off_is_not_served() {
    let play = Play::open_with("cut-copy", 600_000, PATIENT_AIM_MS, |_| {});
    let mut client = play.client();
    client.stream().write_all(&request(1, "plain-write", 300_000, 0)).expect("the connection is closed");
    let mut server = play.accept();
    next_request(&mut server).expect("no request arrived");
    let whole = [value(&"1".repeat(LONG_VALUE)), ready()].concat();
    server.write_all(&whole).expect("the connection is closed");
    client.until_ready().expect("no answer");
    let (mut second, markers) = ask(&play, &mut server, &request(2, "plain-write", 300_000, 0));
    answer_behind_copy(&mut server, &whole[..LONG_VALUE / 2], markers, &value("two"));
    drop(server);
    let answer = second.until_ready().expect("no answer");
    assert_eq!((answer.value(), answer.outcome()), (None, Outcome::Failed));
}

/// A write waits for the connection of an earlier one and is running there when a duplicate of the earlier
/// refusal, which reports no position, arrives. It must not be taken for the write's own refusal, or the
/// write would run twice.
#[test]
fn copy_of_a_refusal_is_not_taken_for_the_answer_to_a_write_that_waited() {
    let play = Play::open_with("refusal-copy", 600_000, PATIENT_AIM_MS, |_| {});
    let mut client = play.client();
    client.stream().write_all(&request(1, "plain-write", 300_000, 0)).expect("the connection is closed");
    let mut server = play.accept();
    next_request(&mut server).expect("no request arrived");
    let mut second = play.client();
    second.stream().write_all(&request(2, "plain-write", 300_000, 0)).expect("the connection is closed");
    // The connection that is opened for the second write is not accepted, so that the write waits.
    let (_waits, _) = play.host.accept().expect("no further connection arrived");
    server.write_all(&refusal_without_position()).expect("the connection is closed");
    let (markers, text) = read_request(&mut server).expect("no request arrived");
    assert!(text.contains("id=2,"));
    answer_behind_copy(&mut server, &refusal_without_position(), markers, &value("two"));
    assert_eq!(second.until_ready().expect("no answer").value().as_deref(), Some("two"));
}
