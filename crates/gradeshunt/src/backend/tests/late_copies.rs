//! Duplicates of load reports that arrive after the next request was written, and which requests are preceded
//! by an empty query.

use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::rc::Rc;

use leadmast::{MemberId, RequestId};

use super::{empty_query_answer, Play, LONG_WAIT, MEMBER};
use crate::backend::connection::{HostConnection, Stage};
use crate::backend::reading::READY_GRACE;
use crate::exchange::{Answer, AnswerForm, AttemptId, BackendCommand, Body, FinalAnswer};
use crate::pg::Writer;
use crate::placing::{is_peer, Peer};

fn ready() -> Vec<u8> {
    Writer::default().ready().0
}

/// A complete answer with one value.
fn value(text: &[u8]) -> Vec<u8> {
    let writer = Writer::default().message(b'T', &[&[0, 1], b"data\0", &[0; 18]]);
    let writer = writer.message(b'D', &[&[0, 1], &(text.len() as u32).to_be_bytes(), text]);
    writer.message(b'C', &[b"SELECT 1\0"]).ready().0
}

/// A load report that differs from all earlier ones.
fn report() -> Vec<u8> {
    value(b"x0=5,x1=1")
}

impl Play {
    /// A load report arrives, and its ReadyForQuery only after the probe was answered without it.
    fn pool_connection_with_a_late_ready_for_query(&mut self) -> TcpStream {
        let mut server = self.pool_connection();
        self.backend.execute(&mut self.turn, &mut self.exchange, BackendCommand::Probe(MEMBER));
        let answers = [empty_query_answer(), report()].concat();
        server
            .write_all(
                answers.strip_suffix(ready().as_slice()).expect("the answer does not end with ReadyForQuery"),
            )
            .expect("the connection is closed");
        let awaits_ready = |s: &HostConnection| matches!(s.stage, Stage::Busy { ready_by: Some(_), .. });
        self.until(|backend| backend.servers.values().any(awaits_ready));
        self.pass(READY_GRACE);
        server.write_all(&ready()).expect("the connection is closed");
        self.until(|backend| backend.hosts[&MEMBER].idle.len() == 1);
        server
    }
}

/// A duplicate of a load report whose ReadyForQuery was late must not be served as the answer to the next
/// request.
#[test]
fn copy_of_a_load_report_whose_ready_for_query_was_late_is_not_served() {
    let mut play = Play::open();
    let mut server = play.pool_connection_with_a_late_ready_for_query();
    play.attempt_out_on(&mut server);
    let answers = [report(), empty_query_answer(), value(b"own")].concat();
    server.write_all(&answers).expect("the connection is closed");
    play.until(|backend| backend.attempts.is_empty());
    let (_, answer) = play.exchange.answers.pop_front().expect("no answer");
    let Answer::Final(FinalAnswer::Served(bytes)) = answer else { panic!("{answer:?}") };
    assert!(bytes.windows(3).any(|part| part == b"own"), "{bytes:?}");
}

/// Other proxies refuse empty queries in standby, so none must precede a request to a proxy.
#[test]
fn request_that_is_sent_on_to_a_proxy_has_no_empty_query_before_it() {
    const PEER: MemberId = MemberId(u32::MAX);
    assert!(is_peer(PEER));
    let mut play = Play::open();
    let proxy = TcpListener::bind("127.0.0.1:0").expect("cannot bind a port");
    let address = proxy.local_addr().expect("no local address");
    let peer = Peer { name: "n1".to_owned(), member: PEER, address };
    play.backend.set_peers(&mut play.turn, &mut play.exchange, "n0", &[peer]);
    let statement = b"SELECT 1".to_vec();
    let body = Rc::new(Body::new(statement, None, AnswerForm::Value));
    let until = play.turn.clock.now() + LONG_WAIT;
    let command = |number| {
        let attempt = AttemptId { request: RequestId(1), number };
        BackendCommand::Start { attempt, member: PEER, body: Rc::clone(&body), until, write_by: until }
    };
    play.backend.execute(&mut play.turn, &mut play.exchange, command(0));
    let (mut server, _) = proxy.accept().expect("no connection arrived");
    server
        .write_all(&Writer::default().message(b'R', &[&[0; 4]]).ready().0)
        .expect("the connection is closed");
    play.until(|backend| backend.hosts[&PEER].starting == 0);
    server.write_all(&value(b"one")).expect("the connection is closed");
    play.until(|backend| backend.attempts.is_empty());
    play.backend.execute(&mut play.turn, &mut play.exchange, command(1));
    let query = Writer::default().query(&[b"SELECT 1"]).0;
    let mut bytes = Vec::new();
    while !bytes.ends_with(&query.repeat(2)) {
        let mut byte = [0];
        assert_eq!(server.read(&mut byte).expect("the connection is closed"), 1, "{bytes:?}");
        bytes.extend(byte);
        assert!(!bytes.ends_with(&Writer::default().query(&[b""]).0), "{bytes:?}");
    }
}
