//! Db hosts that write a long answer or read a large request slowly.

use std::time::{Duration, Instant};

use super::*;

/// The wait of the clients, and what the rules grant beyond it (docs/acceptance.md).
const WAIT_MS: u64 = 400;
const LOST_AFTER: Duration = Duration::from_millis(500);
/// Pieces of a long value, and the pause between two of them: it takes far longer than its client's wait.
const PIECES: usize = 30;
const PIECE_SIZE: usize = 10_000;
const PIECE_PAUSE: Duration = Duration::from_millis(100);

/// Guards a long answer that its db host goes on writing slowly: it is passed on whole.
#[test]
fn long_answer_that_is_written_slowly_is_not_cut_off() {
    let fixture = Fixture::open("slow-answer", 1_000);
    let mut client = fixture.client();
    client.stream().write_all(&request(1, "page-read", WAIT_MS, 0)).expect("the connection is open");
    let mut host = fixture.accept();
    next_request(&mut host).expect("a request arrives");
    let value = "x".repeat(PIECES * PIECE_SIZE);
    let answer = [wire::table(&Table::of(&["data"], &[&[&value]])), wire::message(b'Z', b"I")].concat();
    let writes = std::thread::spawn(move || {
        for piece in answer.chunks(PIECE_SIZE) {
            host.write_all(piece).expect("the proxy goes on reading");
            std::thread::sleep(PIECE_PAUSE);
        }
        host
    });
    let reply = client.until_ready().expect("an answer");
    assert_eq!(reply.value().map(|value| value.len()), Some(PIECES * PIECE_SIZE), "{:?}", reply.error);
    drop(writes.join().expect("the db host wrote"));
}

/// Asserts that a request is answered in time though its db host reads this much of it and no more.
fn assert_answered_in_time(name: &str, length: usize, class: &str) {
    let fixture = Fixture::open(name, 1_000);
    let mut client = fixture.client();
    let asked = Instant::now();
    client.stream().write_all(&request(1, class, WAIT_MS, length)).expect("the connection is open");
    let mut host = fixture.accept();
    wait_for_request_start(&mut host);
    let reads = std::thread::spawn(move || {
        let mut piece = [0; 1_000];
        while host.read(&mut piece).is_ok_and(|n| n > 0) {
            std::thread::sleep(PIECE_PAUSE);
        }
    });
    let reply = client.until_ready().expect("an answer");
    let took = asked.elapsed();
    assert!(took <= Duration::from_millis(WAIT_MS) + LOST_AFTER, "{took:?}: {reply:?}");
    assert_ne!(reply.outcome(), Outcome::Served, "{reply:?}");
    drop(fixture);
    reads.join().expect("the db host read");
}

/// Guards the final answer's time where a db host reads a statement slowly that does not fit into the
/// sockets' buffers.
#[test]
fn statement_that_is_read_slowly_is_answered_in_time() {
    assert_answered_in_time("slow-statement", STATEMENT_BEYOND_BUFFERS, "page-read");
}

/// The same for a write that must never run twice.
#[test]
fn unsafe_write_that_is_read_slowly_is_answered_in_time() {
    assert_answered_in_time("slow-write", STATEMENT_BEYOND_BUFFERS, "plain-write");
}

/// The same for a statement of which a part stays in the system's buffers.
#[test]
fn statement_in_the_send_buffer_is_answered_in_time() {
    assert_answered_in_time("slow-buffered", STATEMENT_IN_SEND_BUFFER, "page-read");
}
