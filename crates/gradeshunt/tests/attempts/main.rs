//! Attempts that take long to start or to write. The test plays the only db host of a real process and forces
//! each order of events by the bytes that it reads and writes.

mod copied_answers;
mod departed_clients;
mod late_copies;
mod played_host;
mod reset_behind_answer;
mod slow_hosts;

use std::io::{self, Read, Write};
use std::net::TcpStream;
use std::time::{Duration, Instant};

use gradeshunt_stand_ins::checker::Outcome;
use gradeshunt_stand_ins::postgres::wire;
use gradeshunt_stand_ins::script::Table;
use played_host::*;
use serde_json::{json, Value};

/// A client leaves while the db host does not read its request of this length. The bytes in the kernel's send
/// buffer must not arrive afterwards.
fn client_leaves_before_arrival(fixture: Fixture, length: usize) {
    let mut client = fixture.client();
    client.stream().write_all(&request(1, "page-read", 300_000, length)).expect("the connection is closed");
    let mut server = fixture.accept();
    wait_for_request_start(&mut server);
    client.stream().shutdown(std::net::Shutdown::Both).expect("the connection is closed");
    // The next client is accepted only after the proxy has noticed that the first one left.
    let mut next = fixture.client();
    next.stream().write_all(&request(2, "page-read", 300_000, 0)).expect("the connection is closed");
    next_request(&mut fixture.accept()).expect("no request arrived");
    let mut rest = Vec::new();
    let ended = server.read_to_end(&mut rest);
    assert!(rest.len() < length, "the request arrived completely: {ended:?}");
}

/// The window of a repeat of this length ends while the db host does not read. The repeat must not arrive
/// completely.
fn window_ends_before_arrival(name: &str, length: usize) {
    const WINDOW_MS: u64 = 1_000;
    let fixture = Fixture::open_with(name, WINDOW_MS, LONG_AIM_MS, |_| {});
    let mut client = fixture.client();
    // The db host answers shortly before its connection breaks: otherwise it would be suspected, and the
    // repeat held back. On a loaded machine the answer was 50 ms old by then (log: `elapsed: 49706`), too old
    // for a short aim.
    client.stream().write_all(&request(100, "tally-write", 300_000, 0)).expect("the connection is closed");
    let mut first = fixture.accept();
    next_request(&mut first).expect("no request arrived");
    let row = Table { tag: "INSERT 0 1".to_owned(), ..Table::of(&["data"], &[&["v"]]) };
    first
        .write_all(&[wire::table(&row), wire::message(b'Z', b"I")].concat())
        .expect("the connection is closed");
    assert_eq!(client.until_ready().expect("no answer").code(), None);
    client.stream().write_all(&request(1, "tally-write", 300_000, length)).expect("the connection is closed");
    assert!(next_request(&mut first).expect("no request arrived").contains("id=1,"));
    socket2::SockRef::from(&first).set_linger(Some(Duration::ZERO)).expect("cannot set a socket option");
    drop(first);
    let mut second = fixture.accept();
    wait_for_request_start(&mut second);
    pass_time(&fixture, WINDOW_MS + 200);
    let mut rest = Vec::new();
    let ended = second.read_to_end(&mut rest);
    assert!(rest.len() < length, "the request was written completely: {ended:?}");
}

/// A db host stops reading while a statement is half written. Once the wait time that the statement states is
/// no longer accurate, the rest must not be written, and another attempt must state the time that is left.
#[test]
fn statement_whose_stated_wait_is_outdated_is_not_completed() {
    const WAIT_MS: u64 = 300_000;
    const PASSED_MS: u64 = 1_500;
    let fixture = Fixture::open("half-written", 600_000);
    let mut client = fixture.client();
    client
        .stream()
        .write_all(&request(1, "plain-write", WAIT_MS, STATEMENT_BEYOND_BUFFERS))
        .expect("the connection is closed");
    let mut server = fixture.accept();
    wait_for_request_start(&mut server);
    pass_time(&fixture, PASSED_MS);
    let mut rest = Vec::new();
    let ended = server.read_to_end(&mut rest);
    assert!(rest.len() < STATEMENT_BEYOND_BUFFERS, "the request was written completely: {ended:?}");
    let again = next_request(&mut fixture.accept()).expect("no further attempt arrived");
    assert!(
        again.contains("id=1,") && stated_wait_ms(&again) <= WAIT_MS - PASSED_MS + 150,
        "{}",
        stated_wait_ms(&again)
    );
}

/// A statement that is completely in the kernel's send buffer arrives whenever its db host reads again, and
/// would then state an outdated wait time. It must not arrive.
#[test]
fn short_statement_whose_stated_wait_is_outdated_does_not_arrive_later() {
    const WAIT_MS: u64 = 300_000;
    const PASSED_MS: u64 = 1_500;
    let fixture = Fixture::open("held-time-told", 600_000);
    let mut client = fixture.client();
    client
        .stream()
        .write_all(&request(1, "plain-write", WAIT_MS, STATEMENT_IN_SEND_BUFFER))
        .expect("the connection is closed");
    let mut server = fixture.accept();
    wait_for_request_start(&mut server);
    pass_time(&fixture, PASSED_MS);
    let mut rest = Vec::new();
    let ended = server.read_to_end(&mut rest);
    assert!(rest.len() < STATEMENT_IN_SEND_BUFFER, "the request arrived completely: {ended:?}");
}

/// A client leaves while the db host does not read: the part of its request in the kernel's send buffer must
/// not arrive afterwards.
#[test]
fn attempt_whose_client_has_left_does_not_arrive_later() {
    client_leaves_before_arrival(Fixture::open("left-in-the-queue", 600_000), STATEMENT_BEYOND_BUFFERS);
}

/// The kernel's send buffer holds a complete statement that was given up. An ordinary close would still
/// deliver it.
#[test]
fn short_abandoned_attempt_does_not_arrive_later() {
    let fixture = Fixture::open("given-up-in-the-queue", 600_000);
    let mut client = fixture.client();
    client
        .stream()
        .write_all(&request(1, "page-read", 700, STATEMENT_IN_SEND_BUFFER))
        .expect("the connection is closed");
    let mut server = fixture.accept();
    wait_for_request_start(&mut server);
    assert!(client.until_ready().expect("no answer").code().is_some());
    let mut rest = Vec::new();
    let ended = server.read_to_end(&mut rest);
    assert!(rest.len() < STATEMENT_IN_SEND_BUFFER, "the request arrived completely: {ended:?}");
}

/// The kernel's send buffer holds a complete statement whose client has left. An ordinary close would still
/// deliver it.
#[test]
fn short_attempt_whose_client_has_left_does_not_arrive_later() {
    client_leaves_before_arrival(Fixture::open("left-in-the-system", 600_000), STATEMENT_IN_SEND_BUFFER);
}

/// The same where the settings do not allow cancelling what was sent.
#[test]
fn short_attempt_that_may_not_be_cancelled_does_not_arrive_after_its_client_has_left() {
    let keep_sent = |config: &mut Value| config["settings"]["allowed"]["mayCancel"] = json!(false);
    client_leaves_before_arrival(
        Fixture::open_with("left-and-kept", 600_000, AIM_MS, keep_sent),
        STATEMENT_IN_SEND_BUFFER,
    );
}

/// The kernel's send buffer holds a complete repeat when its window ends. It must not arrive afterwards.
#[test]
fn short_repeat_whose_window_has_ended_does_not_arrive_later() {
    window_ends_before_arrival("held-repeat", STATEMENT_IN_SEND_BUFFER);
}

/// A repeat is half written when the window ends within which db hosts drop repeats. It must never be
/// completed.
#[test]
fn repeat_whose_window_has_ended_is_not_completed() {
    window_ends_before_arrival("half-repeat", STATEMENT_BEYOND_BUFFERS);
}

/// A client sends a CancelRequest. It must get an answer, and no further attempt may begin when the one that
/// is out breaks.
#[test]
fn cancelled_request_is_answered_and_begins_no_further_attempt() {
    const CANCEL_REQUEST: u32 = 80_877_102;
    let fixture = Fixture::open("cancelled", 600_000);
    let mut client = fixture.program.connect(TEST_TIMEOUT);
    client.write_all(&wire::startup(&[("user", "portal")])).expect("the connection is closed");
    let mut key = Vec::new();
    loop {
        match wire::read(&mut client).expect("the session does not start") {
            (b'K', body) => key = body,
            (b'Z', _) => break,
            _ => {}
        }
    }
    client.write_all(&request(1, "page-read", 300_000, 0)).expect("the connection is closed");
    let mut server = fixture.accept();
    next_request(&mut server).expect("no request arrived");
    let mut cancel = fixture.program.connect(TEST_TIMEOUT);
    let message = [&16_u32.to_be_bytes()[..], &CANCEL_REQUEST.to_be_bytes(), &key].concat();
    cancel.write_all(&message).expect("the connection is closed");
    assert_eq!(cancel.read(&mut [0]).expect("the connection is still open"), 0);
    let (tag, body) = wire::read(&mut client).expect("no answer");
    assert_eq!((tag, wire::field(&body, b'C').as_deref()), (b'E', Some("57014")));
    drop(server);
    // The next attempt belongs to another request.
    client.write_all(&request(2, "page-read", 300_000, 0)).expect("the connection is closed");
    assert!(next_request(&mut fixture.accept()).expect("no request arrived").contains("id=2,"));
}

/// An attempt whose ReadyForQuery is missing is still out at its db host for as long as its connection is
/// open. The connection must be closed before the next attempt.
#[test]
fn no_further_attempt_is_out_while_ready_for_query_is_missing() {
    let fixture = Fixture::open("not-ready", 600_000);
    let mut client = fixture.client();
    client.stream().write_all(&request(1, "page-read", 300_000, 0)).expect("the connection is closed");
    let mut first = fixture.accept();
    next_request(&mut first).expect("no request arrived");
    first.write_all(&wire::message(b'E', b"SERROR\0CXX000\0Mbroken\0\0")).expect("the connection is closed");
    let mut second = fixture.accept();
    assert!(next_request(&mut second).expect("the request was not sent again").contains("id=1,"));
    first.set_nonblocking(true).expect("cannot set a socket option");
    let end = first.read(&mut [0]);
    let has_ended = match &end {
        Ok(read) => *read == 0,
        Err(e) => e.kind() == io::ErrorKind::ConnectionReset,
    };
    assert!(has_ended, "the first connection is still open: {end:?}");
}

/// A db host answers a statement before it has read all of it. The rest must not be written afterwards, or
/// the statement would run after it was answered.
#[test]
fn statement_answered_before_its_end_is_not_completed() {
    let fixture = Fixture::open_in_shell("answered-early", 600_000, AIM_MS, |_| {}, WITH_DEBUG_LOG);
    let mut client = fixture.client();
    client
        .stream()
        .write_all(&request(1, "page-read", 300_000, STATEMENT_BEYOND_BUFFERS))
        .expect("the connection is closed");
    let mut first = fixture.accept();
    wait_for_request_start(&mut first);
    let refusal = wire::message(b'E', b"SERROR\0C53300\0Mbusy\0\0");
    first.write_all(&[refusal, wire::message(b'Z', b"I")].concat()).expect("the connection is closed");
    // The db host reads on only once the proxy has handled the answer: before that, the proxy would rightly
    // write the whole statement.
    fixture.program.until_logged("attempt ended", TEST_TIMEOUT);
    // The next attempt arrives on a connection of its own, if the first one is not used again.
    first.set_read_timeout(Some(Duration::from_secs(2))).expect("cannot set a socket option");
    let mut rest = Vec::new();
    let ended = first.read_to_end(&mut rest);
    assert!(rest.len() < STATEMENT_BEYOND_BUFFERS, "the request was written completely: {ended:?}");
}

/// The time between the end of the previous attempt and the writing of this one, by the process's own clock,
/// in microseconds.
fn repeat_wait(fixture: &Fixture, number: u64) -> i64 {
    let began = Instant::now();
    loop {
        let log = fixture.program.log();
        let lines = log.lines().filter_map(|line| serde_json::from_str::<Value>(line).ok());
        let mut repeats = lines.filter(|line| line["msg"] == "repeat written");
        if let Some(told) = repeats.find(|line| line["number"] == number && line["earlier"] == number - 1) {
            let micros = |name: &str| told[name].as_i64().expect("no time in milliseconds or microseconds");
            return micros("at") - micros("earlier_ended");
        }
        assert!(began.elapsed() < TEST_TIMEOUT, "no repeat {number}: {log}");
    }
}

/// After an attempt was given up, for whatever reason, the next one must not be written before the close of
/// its connection has settled, or the db host could see two at once.
#[test]
fn repeat_is_not_written_before_the_close_of_the_earlier_attempt_has_settled() {
    const SETTLES_IN_US: i64 = 2_000;
    let more_attempts = |config: &mut Value| config["settings"]["allowed"]["attempts"] = json!(9);
    let fixture = Fixture::open_in_shell("settled", 600_000, VERY_LONG_AIM_MS, more_attempts, WITH_DEBUG_LOG);
    let mut client = fixture.client();
    client
        .stream()
        .write_all(&request(1, "page-read", 300_000, STATEMENT_BEYOND_BUFFERS))
        .expect("the connection is closed");
    let refusal = wire::message(b'E', b"SERROR\0C53300\0Mbusy\0\0");
    let early = [refusal, wire::message(b'Z', b"I")].concat();
    let error = wire::message(b'E', b"SERROR\0CXX000\0Mbroken\0\0");
    let spoilt = vec![b'?', 0, 0, 0, 4];
    let mut first = fixture.accept();
    wait_for_request_start(&mut first);
    first.write_all(&early).expect("the connection is closed");
    let broken = Vec::new();
    for (number, answer) in [(1, error), (2, spoilt), (3, broken), (4, Vec::new())] {
        let mut server = fixture.accept();
        assert!(next_request(&mut server).expect("no request arrived").contains("id=1,"));
        let wait = repeat_wait(&fixture, number);
        assert!(wait >= SETTLES_IN_US, "attempt {number} was written {wait} us after the close");
        server.write_all(&answer).expect("the connection is closed");
    }
}

/// Checks that a connection has ended as its db host sees it: reading from it would not block.
fn has_ended(server: &mut TcpStream) -> Result<(), String> {
    server.set_nonblocking(true).expect("cannot set a socket option");
    let end = server.read(&mut [0]);
    match &end {
        Ok(0) => Ok(()),
        Err(e) if e.kind() == io::ErrorKind::ConnectionReset => Ok(()),
        _ => Err(format!("the connection is still open: {end:?}")),
    }
}

/// An answer that says that nothing has run, but lacks ReadyForQuery, must not leave its connection open
/// during the next attempt either.
#[test]
fn no_further_attempt_is_out_while_ready_for_query_of_a_refusal_is_missing() {
    for code in ["53300", "57P03", "25006", "72000"] {
        let fixture = Fixture::open_in_shell(
            &format!("not-ready-{code}"),
            600_000,
            VERY_LONG_AIM_MS,
            |_| {},
            WITH_DEBUG_LOG,
        );
        let mut client = fixture.client();
        client.stream().write_all(&request(1, "page-read", 300_000, 0)).expect("the connection is closed");
        let mut first = fixture.accept();
        next_request(&mut first).expect("no request arrived");
        first.write_all(&refusal(code, POSITION)).expect("the connection is closed");
        assert!(fixture.next_attempt().contains("id=1,"));
        assert_eq!(has_ended(&mut first), Ok(()), "{code}");
    }
}

/// After no answer or a malformed one, the db host must see the end of the connection before the next
/// attempt.
#[test]
fn no_further_attempt_is_out_during_an_abandoned_one() {
    let silent = Vec::new();
    let spoilt = vec![b'?', 0, 0, 0, 4];
    let ready_alone = wire::message(b'Z', b"I");
    let row_alone = wire::message(b'D', &[0, 1, 0, 0, 0, 1, b'v']);
    let cut = wire::message(b'E', b"SERROR\0CXX000\0")[..9].to_vec();
    let ways =
        [("silent", silent), ("spoilt", spoilt), ("ready", ready_alone), ("row", row_alone), ("cut", cut)];
    for (way, answer) in ways {
        let fixture = Fixture::open(&format!("given-up-{way}"), 600_000);
        let mut client = fixture.client();
        client.stream().write_all(&request(1, "page-read", 20_000, 0)).expect("the connection is closed");
        let mut first = fixture.accept();
        next_request(&mut first).expect("no request arrived");
        first.write_all(&answer).expect("the connection is closed");
        assert!(fixture.next_attempt().contains("id=1,"), "{way}");
        assert_eq!(has_ended(&mut first), Ok(()), "{way}");
    }
}

/// A connection is established only after its attempt was given up and the next one was sent elsewhere. It
/// must not carry the first attempt as well.
#[test]
fn late_connection_does_not_carry_the_attempt_that_was_sent_elsewhere() {
    let fixture = Fixture::open("up-late", 600_000);
    let mut client = fixture.client();
    client.stream().write_all(&request(1, "page-read", 20_000, 0)).expect("the connection is closed");
    let (mut late, _) = fixture.host.accept().expect("no connection arrived");
    late.set_read_timeout(Some(TEST_TIMEOUT)).expect("cannot set a socket option");
    let mut second = fixture.accept();
    assert!(next_request(&mut second).expect("no request arrived").contains("id=1,"));
    late.write_all(&[wire::message(b'R', &[0; 4]), wire::message(b'Z', b"I")].concat())
        .expect("the connection is closed");
    wire::read_startup(&mut late).expect("no startup message");
    let mut other = fixture.client();
    other.stream().write_all(&request(2, "page-read", 20_000, 0)).expect("the connection is closed");
    assert!(next_request(&mut late).expect("no request arrived").contains("id=2,"));
}

/// A duplicate of an error may arrive after its connection has carried another answer. If it were taken for
/// the answer to the next request, a further attempt could be sent while that request still runs.
#[test]
fn error_copied_after_another_answer_leaves_no_attempt_out() {
    let ready = wire::message(b'Z', b"I");
    let error = [refusal("XX000", POSITION), ready.clone()].concat();
    let row = Table { tag: "SELECT 1".to_owned(), ..Table::of(&["data"], &[&["v"]]) };
    let value = [wire::table(&row), ready.clone()].concat();
    let other_error = [refusal("XX000", "1767225600124"), ready].concat();
    for (way, between) in [("value", value), ("error", other_error)] {
        let fixture = Fixture::open_with(&format!("copied-behind-{way}"), 600_000, VERY_LONG_AIM_MS, |_| {});
        let mut client = fixture.client();
        client.stream().write_all(&request(1, "page-read", 300_000, 0)).expect("the connection is closed");
        let mut first = fixture.accept();
        assert!(next_request(&mut first).expect("no request arrived").contains("id=1,"));
        first.write_all(&error).expect("the connection is closed");
        assert!(next_request(&mut first).expect("the request was not sent again").contains("id=1,"));
        first.write_all(&between).expect("the connection is closed");
        let mut other = fixture.client();
        if way == "value" {
            other.stream().write_all(&request(2, "page-read", 300_000, 0)).expect("the connection is closed");
        }
        let copied = next_request(&mut first).expect("no request arrived");
        first.write_all(&error).expect("the connection is closed");
        // The db host is busy with the request that it has read, and answers no empty query before it is
        // done.
        let again = read_request(&mut first);
        assert!(again.is_err(), "{way}: {copied:?} is out, but another attempt arrived: {again:?}");
    }
}

/// A duplicate of a refusal, complete or not, says nothing about the attempt that follows it. The write may
/// be running and must not be sent again.
#[test]
fn partly_copied_refusal_is_not_taken_for_the_next_attempts_answer() {
    let fixture = Fixture::open_with("copied-in-part", 600_000, VERY_LONG_AIM_MS, |_| {});
    let mut client = fixture.client();
    client.stream().write_all(&request(1, "plain-write", 300_000, 0)).expect("the connection is closed");
    let mut first = fixture.accept();
    assert!(next_request(&mut first).expect("no request arrived").contains("id=1,"));
    let whole = [refusal("53300", POSITION), wire::message(b'Z', b"I")].concat();
    first.write_all(&whole).expect("the connection is closed");
    assert!(next_request(&mut first).expect("the request was not sent again").contains("id=1,"));
    first.write_all(&refusal("53300", POSITION)).expect("the connection is closed");
    let answer =
        client.until_ready().expect("no answer, though the write may run and must not be sent again");
    assert_eq!(answer.outcome(), Outcome::Failed, "{:?}", answer.code());
}

/// While a primary is replaced, positions do not advance. A db host that refuses writes twice with the same
/// answer has not duplicated it: the write has never run, and its client must not be told that it may have.
#[test]
fn write_that_was_told_twice_to_go_elsewhere_has_never_run() {
    let fixture = Fixture::open_with("read-only-twice", 600_000, VERY_LONG_AIM_MS, |_| {});
    let mut client = fixture.client();
    client.stream().write_all(&request(1, "plain-write", 5_000, 0)).expect("the connection is closed");
    let told = [refusal("25006", POSITION), wire::message(b'Z', b"I")].concat();
    let host = fixture.host.try_clone().expect("cannot clone the listener");
    std::thread::spawn(move || {
        while let Ok((server, _)) = host.accept() {
            let told = told.clone();
            std::thread::spawn(move || {
                let mut server = complete_startup(server);
                while next_request(&mut server).is_ok() && server.write_all(&told).is_ok() {}
            });
        }
    });
    let answer = client.until_ready().expect("no answer");
    assert_eq!(answer.outcome(), Outcome::Refused, "{:?}: {}", answer.code(), fixture.program.log());
}

/// A db host answers a statement of which a part is still in the kernel's send buffer. That part must not
/// arrive afterwards.
#[test]
fn short_statement_answered_before_its_end_does_not_arrive_later() {
    let fixture = Fixture::open_in_shell("answered-early-held", 600_000, AIM_MS, |_| {}, WITH_DEBUG_LOG);
    let mut client = fixture.client();
    client
        .stream()
        .write_all(&request(1, "page-read", 300_000, STATEMENT_IN_SEND_BUFFER))
        .expect("the connection is closed");
    let mut first = fixture.accept();
    wait_for_request_start(&mut first);
    first
        .write_all(&[refusal("53300", POSITION), wire::message(b'Z', b"I")].concat())
        .expect("the connection is closed");
    fixture.program.until_logged("attempt ended", TEST_TIMEOUT);
    first.set_read_timeout(Some(Duration::from_secs(2))).expect("cannot set a socket option");
    let mut rest = Vec::new();
    let ended = first.read_to_end(&mut rest);
    assert!(rest.len() < STATEMENT_IN_SEND_BUFFER, "the request arrived completely: {ended:?}");
}

/// A db host sends a value, without ReadyForQuery, before it has read the whole statement. The rest must not
/// be written afterwards.
#[test]
fn statement_whose_value_arrived_before_its_end_is_not_completed() {
    let fixture = Fixture::open_in_shell("value-early", 600_000, AIM_MS, |_| {}, WITH_DEBUG_LOG);
    let mut client = fixture.client();
    client
        .stream()
        .write_all(&request(1, "page-read", 300_000, STATEMENT_BEYOND_BUFFERS))
        .expect("the connection is closed");
    let mut first = fixture.accept();
    wait_for_request_start(&mut first);
    let row = Table { tag: "SELECT 1".to_owned(), ..Table::of(&["data"], &[&["v"]]) };
    first.write_all(&wire::table(&row)).expect("the connection is closed");
    assert_eq!(client.until_ready().expect("no answer").code(), None);
    first.set_read_timeout(Some(Duration::from_secs(2))).expect("cannot set a socket option");
    let mut rest = Vec::new();
    let ended = first.read_to_end(&mut rest);
    assert!(rest.len() < STATEMENT_BEYOND_BUFFERS, "the request was written completely: {ended:?}");
}

/// A duplicate of an error without a position must not be taken for the next attempt's answer, or two
/// attempts could be out at once.
#[test]
fn copied_error_without_a_position_leaves_no_attempt_out() {
    let fixture = Fixture::open_with("copied-unpositioned", 600_000, VERY_LONG_AIM_MS, |_| {});
    let mut client = fixture.client();
    client.stream().write_all(&request(1, "page-read", 300_000, 0)).expect("the connection is closed");
    let mut first = fixture.accept();
    let error = [wire::error("XX000", "no"), wire::message(b'Z', b"I")].concat();
    next_request(&mut first).expect("no request arrived");
    first.write_all(&error).expect("the connection is closed");
    next_request(&mut first).expect("the request was not sent again");
    first.write_all(&error).expect("the connection is closed");
    // The db host is busy with the second attempt, and answers no empty query before it is done.
    let again = read_request(&mut first);
    assert!(again.is_err(), "the second attempt is out, but another one arrived: {again:?}");
}

/// After a value that arrived twice, each request could get the answer of the request before it. An error
/// must then not lead to another attempt while its request still runs.
#[test]
fn error_after_a_copied_value_leaves_no_attempt_out() {
    let fixture = Fixture::open_with("copied-value", 600_000, VERY_LONG_AIM_MS, |_| {});
    let row = Table { tag: "SELECT 1".to_owned(), ..Table::of(&["data"], &[&["v"]]) };
    let value = [wire::table(&row), wire::message(b'Z', b"I")].concat();
    let mut clients = [fixture.client(), fixture.client(), fixture.client()];
    clients[0].stream().write_all(&request(1, "page-read", 300_000, 0)).expect("the connection is closed");
    let mut first = fixture.accept();
    next_request(&mut first).expect("no request arrived");
    first.write_all(&value).expect("the connection is closed");
    clients[0].until_ready().expect("no answer");
    clients[1].stream().write_all(&request(2, "page-read", 300_000, 0)).expect("the connection is closed");
    next_request(&mut first).expect("no request arrived");
    first.write_all(&value).expect("the connection is closed");
    clients[1].until_ready().expect("no answer; the duplicate was expected");
    clients[2].stream().write_all(&request(3, "page-read", 300_000, 0)).expect("the connection is closed");
    // The db host is still busy with the second request, and answers the empty query after it only later.
    read_request(&mut first).expect("no request arrived");
    first
        .write_all(&[refusal("XX000", POSITION), wire::message(b'Z', b"I")].concat())
        .expect("the connection is closed");
    let again = next_request(&mut first);
    assert!(again.is_err(), "request 3 is out, but another attempt arrived: {again:?}");
}
