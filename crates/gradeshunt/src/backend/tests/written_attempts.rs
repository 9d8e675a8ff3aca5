//! Attempts that were written completely on a connection whose outbound buffer holds other bytes of the
//! proxy: however they end, they may have run.

use std::net::TcpStream;

use leadmast::Ending;

use super::Play;
use crate::exchange::AttemptId;
use crate::ids::ServerId;
use crate::pg::Writer;

impl Play {
    /// An attempt has been written completely, and is followed by an empty query that the kernel has not
    /// taken yet.
    fn attempt_before_an_unwritten_marker(&mut self) -> (TcpStream, AttemptId, ServerId) {
        let (server, attempt) = self.attempt_out();
        let (id, connection) = self.backend.servers.iter_mut().next().expect("no connection");
        assert!(connection.outbound.push(&Writer::default().query(&[b""]).0));
        (server, attempt, *id)
    }
}

/// If the connection breaks while an empty query is unwritten, the attempt before it must count as one that
/// may have run, so that it is not repeated.
#[test]
fn written_attempt_whose_connection_breaks_before_an_empty_query_may_have_run() {
    let mut play = Play::open();
    let (_server, _, id) = play.attempt_before_an_unwritten_marker();
    play.backend.connection_failed(&mut play.turn, &mut play.exchange, id, "reset");
    assert_eq!(play.exchange.endings(), [("reset", 1)]);
}

/// If the answer is malformed while an empty query is unwritten, the attempt before it must count as one that
/// may have run, so that it is not repeated.
#[test]
fn written_attempt_whose_answer_is_spoilt_before_an_empty_query_may_have_run() {
    let mut play = Play::open();
    let (_server, _, id) = play.attempt_before_an_unwritten_marker();
    play.backend.answer_malformed(&mut play.turn, &mut play.exchange, id, "malformed");
    assert_eq!(play.exchange.endings(), [("error", 1)]);
}

/// If an attempt times out while the empty query after it is unwritten, it must count as one that may have
/// run, so that it is not repeated.
#[test]
fn written_attempt_whose_time_is_over_before_an_empty_query_may_have_run() {
    let mut play = Play::open();
    let (_server, attempt, _) = play.attempt_before_an_unwritten_marker();
    play.backend.give_up(&mut play.turn, &mut play.exchange, attempt, Ending::Timeout);
    assert_eq!(play.exchange.endings(), [("timeout", 1)]);
}

/// The time for writing an attempt must not apply to an empty query that is written after it.
#[test]
fn written_attempt_is_not_denied_for_an_unwritten_empty_query() {
    let mut play = Play::open();
    let (_server, _, id) = play.attempt_before_an_unwritten_marker();
    let long_after = play.turn.clock.now() + super::LONG_WAIT;
    assert_eq!(play.backend.write_denial(long_after, id), None);
}
