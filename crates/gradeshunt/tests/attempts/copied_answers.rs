//! Duplicated answers: each request must get the answer that the db host made for it.

use std::io::Write;
use std::net::TcpStream;

use gradeshunt_stand_ins::postgres::client::Client;
use gradeshunt_stand_ins::postgres::wire;
use gradeshunt_stand_ins::script::Table;

use crate::played_host::*;

/// A complete answer with one value.
fn value(text: &str) -> Vec<u8> {
    let row = Table { tag: "SELECT 1".to_owned(), ..Table::of(&["data"], &[&[text]]) };
    [wire::table(&row), wire::parameter("log_position", POSITION), wire::message(b'Z', b"I")].concat()
}

/// Reads an empty query, with which the proxy finds out which request an earlier answer belongs to.
fn read_marker(server: &mut TcpStream) {
    assert_eq!(wire::read(server).expect("the connection is closed"), (b'Q', vec![0]));
}

/// Sends a client's request for a value, and reads it at the db host.
fn ask(play: &Play, server: &mut TcpStream, id: usize) -> Client {
    let mut client = play.client();
    client.stream().write_all(&request(id, "page-read", 300_000, 0)).expect("the connection is closed");
    assert!(next_request(server).expect("no request arrived").contains(&format!("id={id},")));
    client
}

/// Opens a play whose first request has been answered, on a connection that is used again.
fn play_with_an_answer(name: &str) -> (Play, TcpStream) {
    let play = Play::open_with(name, 600_000, PATIENT_AIM_MS, |_| {});
    let mut client = play.client();
    client.stream().write_all(&request(1, "page-read", 300_000, 0)).expect("the connection is closed");
    let mut server = play.accept();
    next_request(&mut server).expect("no request arrived");
    server.write_all(&value("one")).expect("the connection is closed");
    assert_eq!(client.until_ready().expect("no answer").value().as_deref(), Some("one"));
    (play, server)
}

/// A duplicate of a value must not be served to the next request, whose own value follows.
#[test]
fn value_that_is_copied_is_not_served_to_the_next_request() {
    let (play, mut server) = play_with_an_answer("copy-then-own");
    let mut second = ask(&play, &mut server, 2);
    server.write_all(&value("one")).expect("the connection is closed");
    read_marker(&mut server);
    server.write_all(&[value("two"), wire::empty_query_answer()].concat()).expect("the connection is closed");
    assert_eq!(second.until_ready().expect("no answer").value().as_deref(), Some("two"));
    let mut third = ask(&play, &mut server, 3);
    server.write_all(&value("three")).expect("the connection is closed");
    assert_eq!(third.until_ready().expect("no answer").value().as_deref(), Some("three"));
}

/// Two requests may have equal answers because the value has not changed. The second answer must be served
/// once it is known to be the request's own.
#[test]
fn value_that_is_the_same_by_nature_is_served() {
    let (play, mut server) = play_with_an_answer("same-by-nature");
    for id in 2..4 {
        let mut client = ask(&play, &mut server, id);
        server.write_all(&value("one")).expect("the connection is closed");
        read_marker(&mut server);
        server.write_all(&wire::empty_query_answer()).expect("the connection is closed");
        assert_eq!(client.until_ready().expect("no answer").value().as_deref(), Some("one"));
    }
}

/// The db host does not answer the check of a possibly duplicated value in time. No client may get that
/// value, and the request's own value, which arrives later, must not be served to the next request.
#[test]
fn value_that_comes_behind_its_copy_too_late_is_served_to_nobody() {
    let (play, mut server) = play_with_an_answer("own-too-late");
    let mut second = ask(&play, &mut server, 2);
    server.write_all(&value("one")).expect("the connection is closed");
    read_marker(&mut server);
    let answer = second.until_ready().expect("no answer");
    assert_eq!((answer.value(), answer.code()), (None, Some("58000")));
    let mut third = ask(&play, &mut server, 3);
    let late = [value("two"), wire::empty_query_answer(), value("three")].concat();
    server.write_all(&late).expect("the connection is closed");
    assert_eq!(third.until_ready().expect("no answer").value().as_deref(), Some("three"));
}

/// A complete error answer that reports no position.
fn error_without_position() -> Vec<u8> {
    [wire::error("XX000", "no"), wire::message(b'Z', b"I")].concat()
}

/// Opens a play whose request and its next attempt are both answered by the same error.
fn play_with_an_error_twice(name: &str) -> (Play, Client, TcpStream) {
    let play = Play::open_with(name, 600_000, PATIENT_AIM_MS, |_| {});
    let mut client = play.client();
    client.stream().write_all(&request(1, "page-read", 300_000, 0)).expect("the connection is closed");
    let mut server = play.accept();
    next_request(&mut server).expect("no request arrived");
    server.write_all(&error_without_position()).expect("the connection is closed");
    next_request(&mut server).expect("the request was not sent again");
    server.write_all(&error_without_position()).expect("the connection is closed");
    read_marker(&mut server);
    (play, client, server)
}

/// A duplicate of an error that reports no position must not end the next attempt, whose own answer follows:
/// the value would be lost, and a third attempt could run at the same time.
#[test]
fn error_without_a_position_that_is_copied_does_not_end_the_next_attempt() {
    let (_play, mut client, mut server) = play_with_an_error_twice("error-copy-then-own");
    server.write_all(&[value("one"), wire::empty_query_answer()].concat()).expect("the connection is closed");
    assert_eq!(client.until_ready().expect("no answer").value().as_deref(), Some("one"));
}

/// The db host does not answer the check of a possibly duplicated error in time. The connection must end
/// before the next attempt, or two could be out at once.
#[test]
fn error_without_a_position_that_may_be_copied_leaves_no_attempt_out() {
    let (play, _client, mut server) = play_with_an_error_twice("error-own-too-late");
    assert!(next_request(&mut server).is_err(), "another attempt arrived on the same connection");
    assert!(play.next_attempt().contains("id=1,"));
}
