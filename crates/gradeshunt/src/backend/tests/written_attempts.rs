//! Attempts that were written whole, on a connection whose buffer holds bytes of the proxy's own: whatever ends them, they may have run.

use std::net::TcpStream;

use leadmast::Ending;

use super::Play;
use crate::exchange::AttemptId;
use crate::ids::ServerId;
use crate::pg::Writer;

impl Play {
    /// An attempt is written whole, and an empty query stands behind it that the system has not taken yet.
    fn attempt_before_an_unwritten_marker(&mut self) -> (TcpStream, AttemptId, ServerId) {
        let (server, attempt) = self.attempt_out();
        let (id, connection) = self.backend.servers.iter_mut().next().expect("its connection");
        assert!(connection.outbound.push(&Writer::default().query(&[b""]).0));
        (server, attempt, *id)
    }
}

/// Guards against repeats of what may have run: a connection that breaks while an empty query is unwritten.
#[test]
fn written_attempt_whose_connection_breaks_before_an_empty_query_may_have_run() {
    let mut play = Play::open();
    let (_server, _, id) = play.attempt_before_an_unwritten_marker();
    play.backend.connection_failed(&mut play.turn, &mut play.exchange, id, "reset");
    assert_eq!(play.exchange.endings(), [("reset", 1)]);
}

/// Guards against repeats of what may have run: an answer that is spoilt while an empty query is unwritten.
#[test]
fn written_attempt_whose_answer_is_spoilt_before_an_empty_query_may_have_run() {
    let mut play = Play::open();
    let (_server, _, id) = play.attempt_before_an_unwritten_marker();
    play.backend.answer_malformed(&mut play.turn, &mut play.exchange, id, "spoilt");
    assert_eq!(play.exchange.endings(), [("error", 1)]);
}

/// Guards against repeats of what may have run: an attempt whose time is over while an empty query is unwritten.
#[test]
fn written_attempt_whose_time_is_over_before_an_empty_query_may_have_run() {
    let mut play = Play::open();
    let (_server, attempt, _) = play.attempt_before_an_unwritten_marker();
    play.backend.give_up(&mut play.turn, &mut play.exchange, attempt, Ending::Timeout);
    assert_eq!(play.exchange.endings(), [("timeout", 1)]);
}

/// Guards writes of answered attempts: an empty query that is unwritten when the time of its attempt's writing is over denies nothing.
#[test]
fn written_attempt_is_not_denied_for_an_unwritten_empty_query() {
    let mut play = Play::open();
    let (_server, _, id) = play.attempt_before_an_unwritten_marker();
    let long_after = play.turn.clock.now() + super::LONG_WAIT;
    assert_eq!(play.backend.write_denial(long_after, id), None);
}
