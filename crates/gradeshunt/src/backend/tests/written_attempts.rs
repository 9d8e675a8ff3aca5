//! Attempts that were written completely on a connection whose outbound buffer holds other bytes of the
//! proxy: however they end, they may have run.

use std::net::TcpStream;

use leadmast::Ending;

use super::Fixture;
use crate::exchange::AttemptId;
use crate::ids::ServerId;
use crate::pg::Writer;

impl Fixture {
    /// An attempt has been written completely, and is followed by an empty query that the kernel has not
    /// taken yet.
    fn attempt_before_an_unwritten_marker(&mut self) -> (TcpStream, AttemptId, ServerId) {
        let (server, attempt) = self.start_attempt();
        let (id, connection) = self.backend.connections.iter_mut().next().expect("no connection");
        assert!(connection.outbound.push(&Writer::default().query(&[b""]).0));
        (server, attempt, *id)
    }
}

/// If the connection breaks while an empty query is unwritten, the attempt before it must count as one that
/// may have run, so that it is not repeated.
#[test]
fn written_attempt_whose_connection_breaks_before_an_empty_query_may_have_run() {
    let mut fixture = Fixture::open();
    let (_server, _, id) = fixture.attempt_before_an_unwritten_marker();
    fixture.backend.connection_failed(&mut fixture.turn, &mut fixture.exchange, id, "reset");
    assert_eq!(fixture.exchange.endings(), [("reset", 1)]);
}

/// If the answer is malformed while an empty query is unwritten, the attempt before it must count as one that
/// may have run, so that it is not repeated.
#[test]
fn written_attempt_with_a_malformed_answer_before_an_empty_query_may_have_run() {
    let mut fixture = Fixture::open();
    let (_server, _, id) = fixture.attempt_before_an_unwritten_marker();
    fixture.backend.answer_malformed(&mut fixture.turn, &mut fixture.exchange, id, "malformed");
    assert_eq!(fixture.exchange.endings(), [("error", 1)]);
}

/// If an attempt times out while the empty query after it is unwritten, it must count as one that may have
/// run, so that it is not repeated.
#[test]
fn written_attempt_that_times_out_before_an_empty_query_may_have_run() {
    let mut fixture = Fixture::open();
    let (_server, attempt, _) = fixture.attempt_before_an_unwritten_marker();
    fixture.backend.give_up(&mut fixture.turn, &mut fixture.exchange, attempt, Ending::Timeout);
    assert_eq!(fixture.exchange.endings(), [("timeout", 1)]);
}

/// The time for writing an attempt must not apply to an empty query that is written after it.
#[test]
fn written_attempt_is_not_denied_for_an_unwritten_empty_query() {
    let mut fixture = Fixture::open();
    let (_server, _, id) = fixture.attempt_before_an_unwritten_marker();
    let long_after = fixture.turn.clock.now() + super::LONG_WAIT;
    assert_eq!(fixture.backend.write_denial(long_after, id), None);
}
