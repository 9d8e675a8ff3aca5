//! Second copies of answers: each request gets the answer that its db host made for it.

use std::io::Write;
use std::net::TcpStream;

use gradeshunt_stand_ins::postgres::client::Client;
use gradeshunt_stand_ins::postgres::wire;
use gradeshunt_stand_ins::script::Table;

use crate::played_host::*;

/// A whole answer of one value.
fn value(text: &str) -> Vec<u8> {
    let row = Table { tag: "SELECT 1".to_owned(), ..Table::of(&["data"], &[&[text]]) };
    [wire::table(&row), wire::parameter("log_position", POSITION), wire::message(b'Z', b"I")].concat()
}

/// Reads an empty query, with which the proxy asks whose answer came before.
fn read_marker(server: &mut TcpStream) {
    assert_eq!(wire::read(server).expect("it is open"), (b'Q', vec![0]));
}

/// A client asks for a value, and its request comes to the db host.
fn ask(play: &Play, server: &mut TcpStream, id: usize) -> Client {
    let mut client = play.client();
    client.stream().write_all(&request(id, "page-read", 300_000, 0)).expect("it is open");
    assert!(next_request(server).expect("it is sent").contains(&format!("id={id},")));
    client
}

/// Opens a play whose first request is answered, on a connection that is used on.
fn play_with_an_answer(name: &str) -> (Play, TcpStream) {
    let play = Play::open_with(name, 600_000, PATIENT_AIM_MS, |_| {});
    let mut client = play.client();
    client.stream().write_all(&request(1, "page-read", 300_000, 0)).expect("it is open");
    let mut server = play.accept();
    next_request(&mut server).expect("it is sent");
    server.write_all(&value("one")).expect("it is open");
    assert_eq!(client.until_ready().expect("an answer").value().as_deref(), Some("one"));
    (play, server)
}

/// Guards against values of other requests: a second copy of one must not be served to the next request, whose own value follows.
#[test]
fn value_that_is_copied_is_not_served_to_the_next_request() {
    let (play, mut server) = play_with_an_answer("copy-then-own");
    let mut second = ask(&play, &mut server, 2);
    server.write_all(&value("one")).expect("it is open");
    read_marker(&mut server);
    server.write_all(&[value("two"), wire::empty_query_answer()].concat()).expect("it is open");
    assert_eq!(second.until_ready().expect("an answer").value().as_deref(), Some("two"));
    let mut third = ask(&play, &mut server, 3);
    server.write_all(&value("three")).expect("it is open");
    assert_eq!(third.until_ready().expect("an answer").value().as_deref(), Some("three"));
}

/// Guards reads of a value that stands: the same answer to another request is served once it is known for its own.
#[test]
fn value_that_is_the_same_by_nature_is_served() {
    let (play, mut server) = play_with_an_answer("same-by-nature");
    for id in 2..4 {
        let mut client = ask(&play, &mut server, id);
        server.write_all(&value("one")).expect("it is open");
        read_marker(&mut server);
        server.write_all(&wire::empty_query_answer()).expect("it is open");
        assert_eq!(client.until_ready().expect("an answer").value().as_deref(), Some("one"));
    }
}

/// Guards against values of other requests where a db host is silent behind what may be a copy: nobody gets it, and the request's own
/// value, which comes later, is not served to the next one either.
#[test]
fn value_that_comes_behind_its_copy_too_late_is_served_to_nobody() {
    let (play, mut server) = play_with_an_answer("own-too-late");
    let mut second = ask(&play, &mut server, 2);
    server.write_all(&value("one")).expect("it is open");
    read_marker(&mut server);
    let answer = second.until_ready().expect("an answer");
    assert_eq!((answer.value(), answer.code()), (None, Some("58000")));
    let mut third = ask(&play, &mut server, 3);
    let late = [value("two"), wire::empty_query_answer(), value("three")].concat();
    server.write_all(&late).expect("it is open");
    assert_eq!(third.until_ready().expect("an answer").value().as_deref(), Some("three"));
}

/// A whole answer that is an error and tells no position.
fn error_without_position() -> Vec<u8> {
    [wire::error("XX000", "no"), wire::message(b'Z', b"I")].concat()
}

/// Opens a play whose request is answered by an error, and its next attempt by the same error.
fn play_with_an_error_twice(name: &str) -> (Play, Client, TcpStream) {
    let play = Play::open_with(name, 600_000, PATIENT_AIM_MS, |_| {});
    let mut client = play.client();
    client.stream().write_all(&request(1, "page-read", 300_000, 0)).expect("it is open");
    let mut server = play.accept();
    next_request(&mut server).expect("it is sent");
    server.write_all(&error_without_position()).expect("it is open");
    next_request(&mut server).expect("it is sent again");
    server.write_all(&error_without_position()).expect("it is open");
    read_marker(&mut server);
    (play, client, server)
}

/// Guards against values that are lost, and attempts that are left out: a second copy of an error without a position must not end the next
/// attempt, whose own answer follows.
#[test]
fn error_without_a_position_that_is_copied_does_not_end_the_next_attempt() {
    let (_play, mut client, mut server) = play_with_an_error_twice("error-copy-then-own");
    server.write_all(&[value("one"), wire::empty_query_answer()].concat()).expect("it is open");
    assert_eq!(client.until_ready().expect("an answer").value().as_deref(), Some("one"));
}

/// Guards against two attempts at once where a db host is silent behind what may be a copied error: its connection ends before the next
/// attempt.
#[test]
fn error_without_a_position_that_may_be_copied_leaves_no_attempt_out() {
    let (play, _client, mut server) = play_with_an_error_twice("error-own-too-late");
    assert!(next_request(&mut server).is_err(), "another attempt on the same connection");
    assert!(play.next_attempt().contains("id=1,"));
}
