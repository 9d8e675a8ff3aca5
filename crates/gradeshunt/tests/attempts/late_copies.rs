//! Second copies that a db host has written right behind an answer, and that come only once the next request is on its way. The db host
//! answers in the order in which it reads: the copy comes before the answers to what was written after it.

use std::io::Write;
use std::net::TcpStream;

use gradeshunt_stand_ins::checker::Outcome;
use gradeshunt_stand_ins::postgres::client::{Client, Reply};
use gradeshunt_stand_ins::postgres::wire;
use gradeshunt_stand_ins::script::Table;

use crate::played_host::*;

/// A value of more than is taken whole before it is passed on.
const LONG_VALUE: usize = 100 * 1024;
/// The longest statement that the proxy takes.
const LONGEST_STATEMENT: usize = 256 * 1024 - 13;

/// An answer of one value, up to its ReadyForQuery.
fn value(text: &str) -> Vec<u8> {
    let row = Table { tag: "SELECT 1".to_owned(), ..Table::of(&["data"], &[&[text]]) };
    [wire::table(&row), wire::parameter("log_position", POSITION)].concat()
}

/// The value of an answer, as far as a failed test need print it.
fn beginning(answer: &Reply) -> String {
    answer.value().unwrap_or_default().chars().take(8).collect()
}

fn ready() -> Vec<u8> {
    wire::message(b'Z', b"I")
}

/// A refusal that tells no position.
fn refusal_without_position() -> Vec<u8> {
    [wire::error("53300", "busy"), ready()].concat()
}

/// A client's request is written, and comes to the db host on this connection; a connection that is opened beside it does not come up.
fn ask(play: &Play, server: &mut TcpStream, request: &[u8]) -> (Client, usize) {
    let mut client = play.client();
    client.stream().write_all(request).expect("it is open");
    let (markers, _) = read_request(server).expect("it is sent");
    (client, markers)
}

/// The copy of an earlier answer comes, then the answers to what the db host has read since.
fn answer_behind_copy(server: &mut TcpStream, copy: &[u8], markers: usize, own: &[u8]) {
    let answers = [copy, &wire::empty_query_answer().repeat(markers), own, &ready()].concat();
    server.write_all(&answers).expect("it is open");
}

/// The first request is answered so, with ReadyForQuery, and its copy comes behind the next one: what the next client gets.
fn answer_behind_a_copied_value(name: &str, first_value: &str, next: &[u8]) -> (Play, TcpStream, Reply) {
    let play = Play::open_with(name, 600_000, PATIENT_AIM_MS, |_| {});
    let mut client = play.client();
    client.stream().write_all(&request(1, "page-read", 300_000, 0)).expect("it is open");
    let mut server = play.accept();
    next_request(&mut server).expect("it is sent");
    let whole = [value(first_value), ready()].concat();
    server.write_all(&whole).expect("it is open");
    assert_eq!(client.until_ready().expect("an answer").value().as_deref(), Some(first_value));
    let (mut second, markers) = ask(&play, &mut server, next);
    answer_behind_copy(&mut server, &whole, markers, &value("two"));
    let answer = second.until_ready().expect("an answer");
    (play, server, answer)
}

/// Guards against values of other requests: a second copy of a value whose ReadyForQuery came late must not be served to the next request.
#[test]
fn copy_of_a_value_whose_ready_for_query_was_late_is_not_served() {
    let play = Play::open_with("late-ready-copy", 600_000, PATIENT_AIM_MS, |_| {});
    let mut client = play.client();
    client.stream().write_all(&request(1, "page-read", 300_000, 0)).expect("it is open");
    let mut server = play.accept();
    next_request(&mut server).expect("it is sent");
    server.write_all(&value("one")).expect("it is open");
    // The client has its answer, though ReadyForQuery has not come.
    assert_eq!(client.until_ready().expect("an answer").value().as_deref(), Some("one"));
    server.write_all(&ready()).expect("it is open");
    let (mut second, markers) = ask(&play, &mut server, &request(2, "page-read", 300_000, 0));
    let copy = [value("one"), ready()].concat();
    answer_behind_copy(&mut server, &copy, markers, &value("two"));
    assert_eq!(second.until_ready().expect("an answer").value().as_deref(), Some("two"));
}

/// Guards against values of other requests: a second copy of a long value, which was passed on in parts, must not be served to the next
/// request.
#[test]
fn copy_of_a_long_value_is_not_served() {
    let next = request(2, "page-read", 300_000, 0);
    let (_play, _server, answer) = answer_behind_a_copied_value("long-copy", &"1".repeat(LONG_VALUE), &next);
    assert_eq!(beginning(&answer), "two");
}

/// Guards against values of other requests on a connection that is used on: behind a long value's copy each request gets its own value.
#[test]
fn each_request_behind_the_copy_of_a_long_value_gets_its_own() {
    let next = request(2, "page-read", 300_000, 0);
    let (play, mut server, _) =
        answer_behind_a_copied_value("long-copy-and-on", &"1".repeat(LONG_VALUE), &next);
    for id in 3..6 {
        let (mut client, markers) = ask(&play, &mut server, &request(id, "page-read", 300_000, 0));
        let own = id.to_string();
        answer_behind_copy(&mut server, &[], markers, &value(&own));
        assert_eq!(client.until_ready().expect("an answer").value().as_deref(), Some(own.as_str()));
    }
}

/// Guards long statements: one that fills the connection's buffer still has room for the empty query before it.
#[test]
fn long_statement_behind_a_long_value_is_written_whole() {
    let next = request(2, "page-read", 300_000, LONGEST_STATEMENT);
    let (_play, _server, answer) =
        answer_behind_a_copied_value("long-copy-long-statement", &"1".repeat(LONG_VALUE), &next);
    assert_eq!(beginning(&answer), "two");
}

/// Guards against values of other requests: a copy that breaks off is followed by nobody's value.
#[test]
fn copy_of_a_long_value_that_breaks_off_is_not_served() {
    let play = Play::open_with("cut-copy", 600_000, PATIENT_AIM_MS, |_| {});
    let mut client = play.client();
    client.stream().write_all(&request(1, "plain-write", 300_000, 0)).expect("it is open");
    let mut server = play.accept();
    next_request(&mut server).expect("it is sent");
    let whole = [value(&"1".repeat(LONG_VALUE)), ready()].concat();
    server.write_all(&whole).expect("it is open");
    client.until_ready().expect("an answer");
    let (mut second, markers) = ask(&play, &mut server, &request(2, "plain-write", 300_000, 0));
    answer_behind_copy(&mut server, &whole[..LONG_VALUE / 2], markers, &value("two"));
    drop(server);
    let answer = second.until_ready().expect("an answer");
    assert_eq!((answer.value(), answer.outcome()), (None, Outcome::Failed));
}

/// Guards writes that must never run twice: a second copy of a refusal that tells no position must not pass for the refusal of a write that
/// had waited for the connection and is at work there.
#[test]
fn copy_of_a_refusal_is_not_taken_for_the_answer_to_a_write_that_waited() {
    let play = Play::open_with("refusal-copy", 600_000, PATIENT_AIM_MS, |_| {});
    let mut client = play.client();
    client.stream().write_all(&request(1, "plain-write", 300_000, 0)).expect("it is open");
    let mut server = play.accept();
    next_request(&mut server).expect("it is sent");
    let mut second = play.client();
    second.stream().write_all(&request(2, "plain-write", 300_000, 0)).expect("it is open");
    // A connection for the second write, which does not come up: it waits.
    let (_waits, _) = play.host.accept().expect("another connection");
    server.write_all(&refusal_without_position()).expect("it is open");
    let (markers, text) = read_request(&mut server).expect("it is sent");
    assert!(text.contains("id=2,"));
    answer_behind_copy(&mut server, &refusal_without_position(), markers, &value("two"));
    assert_eq!(second.until_ready().expect("an answer").value().as_deref(), Some("two"));
}
