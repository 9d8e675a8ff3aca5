//! Tests of clients that are sent away while something of theirs is always under way. The test sets the clock.

use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::Duration;

use gradeshunt_placement::Source;
use leadmast::{Micros, RequestId};

use crate::exchange::{Exchange, FinalAnswer};
use crate::frontend::session::{
    Stage, CLOSE_STALL_TIMEOUT, DELIVERY_CHECK_INTERVAL, MAX_DELIVERY_TIME, MESSAGE_TIMEOUT,
};
use crate::frontend::tests::{call_with_deadline, frontend_with_one_client, read_query, Pipeline};
use crate::frontend::MAX_UNREAD_BYTES;
use crate::pg::{Writer, EMPTY_QUERY_SIZE};

/// In standby: when the reading of a client ends that has sent a request, and of one that has not.
const READING_ENDS: Micros = 1_000_000;
const READING_OF_NEW_ENDS: Micros = 2_300_000;
/// In standby: a message must be complete by then, and a request that came late answered.
const STANDBY_LIMIT: Micros = 3_500_000;
/// Size of the sockets' buffers where an answer is to take many rounds.
const BUFFER_SIZE: usize = 32 * 1024;
/// Ends a test that fails; no passing test waits this long.
const PATIENCE: Duration = Duration::from_secs(20);

/// A query with an empty statement, which the proxy answers itself.
fn empty_query() -> Vec<u8> {
    let query = Writer::default().query(&[b""]).0;
    assert_eq!(query.len(), EMPTY_QUERY_SIZE);
    query
}

/// A Sync, which is no request.
fn sync() -> Vec<u8> {
    Writer::default().message(b'S', &[]).0
}

impl Pipeline {
    fn standby(&mut self, at: Micros, standby: bool) {
        self.turn.now = at;
        self.frontend.set_standby(&mut self.turn, standby);
        self.settle();
    }

    /// The proxy's regular look at its clients.
    fn scan(&mut self, at: Micros) {
        self.turn.now = at;
        self.frontend.close_idle_clients(&mut self.turn);
        self.settle();
    }

    fn stage(&self) -> &Stage {
        &self.frontend.sessions[&self.id].stage
    }

    /// Answers all requests, one after the other, from `at` on.
    fn answer_all(&mut self, at: Micros) {
        self.turn.now = at;
        self.settle();
        while let Stage::Waiting(request) = *self.stage() {
            let failed = FinalAnswer::Failed(None);
            self.frontend.answer(&mut self.turn, &mut self.exchange, request, failed);
            self.settle();
        }
    }

    /// Asserts that the proxy has written its last message and left the rest of the input in the socket.
    fn assert_sent_away_with_unread_bytes(&self) {
        assert!(matches!(self.stage(), Stage::Lingering));
        assert!(!self.frontend.sessions[&self.id].polled.is_quiet(), "the last request was read");
    }

    /// Number of requests that were taken so far.
    fn requests_taken(&mut self) -> u64 {
        self.exchange.submit(&mut self.turn, call_with_deadline(0)).0
    }

    /// Reads the client's connection to its end, and returns the types of the messages behind the startup
    /// reply.
    fn received_to_the_end(&mut self) -> String {
        message_types(&mut self.client).split_once('Z').expect("a startup reply").1.to_owned()
    }
}

/// The types of all messages up to the end of a connection.
fn message_types(client: &mut TcpStream) -> String {
    client.set_read_timeout(Some(PATIENCE)).expect("the connection is open");
    let mut bytes = Vec::new();
    client.read_to_end(&mut bytes).expect("an end and no reset");
    let (mut types, mut rest) = (String::new(), &bytes[..]);
    while let [tag, a, b, c, d, ..] = rest {
        types.push(char::from(*tag));
        rest = &rest[1 + u32::from_be_bytes([*a, *b, *c, *d]) as usize..];
    }
    types
}

/// Guards against clients that are read for ever in standby because a further request of theirs is always
/// there: one that comes after the reading has ended stays unread, and what was read is answered.
#[test]
fn request_that_comes_after_the_reading_has_ended_stays_unread() {
    let mut client = Pipeline::begin();
    client.standby(0, true);
    client.send(READING_ENDS - 1, &read_query(1, 10_000));
    client.send(READING_ENDS, &read_query(2, 10_000));
    client.answer_all(READING_ENDS + 1);
    client.assert_sent_away_with_unread_bytes();
    assert_eq!(client.requests_taken(), 2);
    assert_eq!(client.received_to_the_end(), "EZEZ");
}

/// A client whose requests leave a gap is closed in it, long before the reading ends.
#[test]
fn client_is_sent_away_as_soon_as_nothing_of_it_is_under_way() {
    let mut client = Pipeline::begin();
    client.standby(0, true);
    client.answer_all(1);
    assert!(matches!(client.stage(), Stage::Lingering));
}

/// Guards against a message that is cut in two by the end of the reading: the rest of it is read and it is
/// answered, whatever stands before it and wherever it is cut; the message behind it is not begun.
#[test]
fn message_that_has_been_read_in_part_is_read_to_its_end() {
    let request = read_query(2, 10_000);
    for before in [Vec::new(), read_query(1, 10_000), empty_query(), [empty_query(), sync()].concat()] {
        for cut in [1, 4, 5, 30, request.len() - 1] {
            let mut client = Pipeline::begin();
            client.standby(0, true);
            client.send(READING_ENDS - 1, &[&before[..], &request[..cut]].concat());
            client.send(READING_ENDS, &[&request[cut..], &read_query(3, 10_000)].concat());
            client.answer_all(READING_ENDS + 1);
            client.assert_sent_away_with_unread_bytes();
            let requests = 2 + u64::from(before.len() > 2 * EMPTY_QUERY_SIZE);
            assert_eq!(client.requests_taken(), requests, "cut at {cut}");
            assert!(client.received_to_the_end().ends_with("EZ"));
        }
    }
}

/// A message of which nothing more comes does not keep its client: it has its own time from its first byte on,
/// and in standby no longer than the limit.
#[test]
fn message_that_stays_incomplete_ends_its_connection() {
    let began = READING_ENDS - 100_000;
    let mut client = Pipeline::begin();
    client.standby(0, true);
    client.send(began, &read_query(1, 10_000)[..30]);
    client.answer_all(READING_ENDS + 1);
    client.scan(began + MESSAGE_TIMEOUT - 1);
    assert_eq!(client.frontend.sessions[&client.id].deadline, Some(began + MESSAGE_TIMEOUT));
    client.turn.now = began + MESSAGE_TIMEOUT;
    client.frontend.session_due(&mut client.turn, client.id);
    assert_eq!(client.received_to_the_end(), "EZE");

    let mut client = Pipeline::without_request();
    client.standby(0, true);
    client.send(READING_OF_NEW_ENDS - 1, &read_query(1, 10_000)[..30]);
    assert_eq!(client.frontend.sessions[&client.id].deadline, Some(STANDBY_LIMIT));
}

/// Guards against clients that stay for ever with messages that are no requests.
#[test]
fn messages_that_are_no_requests_do_not_keep_a_client() {
    for (message, reading_ends) in [(empty_query(), READING_ENDS), (sync(), READING_OF_NEW_ENDS)] {
        let (first, second) = message.split_at(2);
        let mut client = Pipeline::without_request();
        client.standby(0, true);
        // The next message has always begun, so that the client is never between two.
        client.send(1, &[&message[..], first].concat());
        for at in (100_000..reading_ends).step_by(100_000) {
            client.send(at, &[second, first].concat());
            assert!(matches!(client.stage(), Stage::Ready));
        }
        client.send(reading_ends, &[second, first].concat());
        client.settle();
        client.assert_sent_away_with_unread_bytes();
    }
}

/// A startup packet that is not complete by the end of the reading ends its connection as at other times.
#[test]
fn startup_packet_that_stays_incomplete_ends_its_connection() {
    let (mut frontend, mut turn, mut client, id, _poll) = frontend_with_one_client();
    let mut exchange = Exchange::new(frontend.settings.clone(), Vec::new(), 7, 0);
    frontend.set_standby(&mut turn, true);
    client
        .write_all(&Writer::default().startup("portal", "crm", None).0[..20])
        .expect("the connection is open");
    while frontend.sessions[&id].polled.is_quiet() {}
    frontend.ready(&mut turn, &mut exchange, id);
    turn.now = MESSAGE_TIMEOUT;
    frontend.session_due(&mut turn, id);
    assert_eq!(message_types(&mut client), "E");
}

/// A startup packet that is completed after the end of the reading is answered, and its client sent away.
#[test]
fn startup_packet_that_is_completed_late_is_answered() {
    let startup = Writer::default().startup("portal", "crm", None).0;
    for cut in [2, 20] {
        let (mut frontend, mut turn, mut client, id, _poll) = frontend_with_one_client();
        let mut exchange = Exchange::new(frontend.settings.clone(), Vec::new(), 7, 0);
        frontend.set_standby(&mut turn, true);
        let late = [&startup[cut..], &read_query(1, 10_000)].concat();
        for (at, bytes) in [(READING_OF_NEW_ENDS - 1, &startup[..cut]), (READING_OF_NEW_ENDS, &late[..])] {
            turn.now = at;
            client.write_all(bytes).expect("the connection is open");
            while frontend.sessions[&id].polled.is_quiet() {}
            frontend.ready(&mut turn, &mut exchange, id);
        }
        assert!(message_types(&mut client).ends_with('Z'));
        assert!(exchange.is_idle() && !frontend.sessions[&id].polled.is_quiet(), "the request was read");
    }
}

/// Leaving standby reads on what was left unread, and a further standby begins anew; entering it twice does
/// not.
#[test]
fn leaving_standby_reads_on_and_entering_it_twice_does_not_prolong_it() {
    let mut client = Pipeline::begin();
    client.standby(0, true);
    client.standby(READING_ENDS / 2, true);
    client.send(READING_ENDS, &read_query(1, 10_000));
    assert!(client.frontend.sessions[&client.id].inbound.is_empty(), "the second call began it anew");
    client.standby(READING_ENDS + 1, false);
    assert!(!client.frontend.sessions[&client.id].inbound.is_empty(), "the request is not read");
    client.standby(READING_ENDS + 2, true);
    client.send(2 * READING_ENDS + 1, &read_query(2, 10_000));
    client.answer_all(2 * READING_ENDS + 1);
    assert_eq!(client.requests_taken(), 3);
    assert_eq!(client.received_to_the_end(), "EZEZEZ");
}

/// Guards against a process in standby that looks ready again once it gets SIGTERM: its clients are not read
/// on, and the front goes on being refused.
#[test]
fn sigterm_does_not_end_a_standby() {
    let mut client = Pipeline::begin();
    client.standby(0, true);
    client.send(READING_ENDS - 1, &empty_query());
    client.frontend.set_drain_deadline(3_000_000);
    client.frontend.set_last_read(3_050_000);
    client.frontend.start_closing(&mut client.turn);
    client.standby(READING_ENDS - 1, false);
    client.send(READING_ENDS, &read_query(1, 10_000));
    client.answer_all(READING_ENDS + 1);
    client.assert_sent_away_with_unread_bytes();
    assert_eq!(client.requests_taken(), 1);
    assert_eq!(client.received_to_the_end(), "EZEZ", "the empty query gets an error");
}

/// Guards against requests that are read just before the process exits after SIGTERM: from the last answers on
/// none is begun. Those of the time before it are refused at once.
#[test]
fn request_that_comes_after_the_last_answers_stays_unread() {
    const LATEST_DEADLINE: Micros = 3_000_000;
    const LAST_READ: Micros = 3_050_000;
    let mut client = Pipeline::begin();
    client.frontend.set_drain_deadline(LATEST_DEADLINE);
    client.frontend.set_last_read(LAST_READ);
    client.frontend.start_closing(&mut client.turn);
    client.send(LAST_READ - 1, &read_query(1, 10_000));
    client.send(LAST_READ, &read_query(2, 10_000));
    client.answer_all(LAST_READ);
    client.assert_sent_away_with_unread_bytes();
    assert_eq!(client.exchange.figures().expired_unsent, 1);
    assert_eq!(client.requests_taken(), 2);
    assert_eq!(client.received_to_the_end(), "EZEZ");
}

/// In standby a request whose last byte comes late is answered by the limit, however long its client waits.
#[test]
fn request_that_is_completed_late_is_bounded() {
    let expired = |at: Micros| {
        let mut client = Pipeline::begin();
        let request = read_query(1, 1_200);
        client.standby(0, true);
        client.send(READING_ENDS - 1, &request[..30]);
        client.send(STANDBY_LIMIT - 1_000_000, &request[30..]);
        client.count_expired(at)
    };
    assert_eq!((expired(STANDBY_LIMIT - 1), expired(STANDBY_LIMIT)), (0, 1));
}

/// Guards against connections of other proxies that are kept because a further request is always there: each is
/// told that the proxy stops, and what was not read goes to another proxy.
#[test]
fn other_proxy_that_always_has_a_further_request_is_sent_away() {
    let mut peer = Pipeline::begin();
    let session = peer.frontend.sessions.get_mut(&peer.id).expect("the connection is open");
    session.source = Source::Proxy;
    peer.standby(0, true);
    peer.send(READING_ENDS - 1, &read_query(1, 10_000));
    peer.send(READING_ENDS, &read_query(2, 10_000));
    peer.answer_all(READING_ENDS + 1);
    peer.assert_sent_away_with_unread_bytes();
    assert_eq!(peer.requests_taken(), 2);
    assert_eq!(peer.received_to_the_end(), "EZEZE");
}

/// Fills the output of a client that does not read, beyond what a further request may begin behind.
fn fill_output(client: &mut Pipeline) {
    while client.frontend.sessions[&client.id].outbound.len() <= MAX_UNREAD_BYTES {
        let s = client.frontend.sessions.get_mut(&client.id).expect("the connection is open");
        let notice = Writer::default().message(b'N', &[&[0; 4096]]).0;
        assert!(s.outbound.push(&notice));
        client.frontend.flush(&mut client.turn, client.id);
    }
}

/// A client that does not read its answers, and whose further requests can't be answered for that, is given up
/// once nothing has moved for a while.
#[test]
fn client_that_reads_no_answers_is_given_up() {
    let mut client = Pipeline::begin();
    client.standby(0, true);
    client.send(1, &read_query(1, 10_000));
    fill_output(&mut client);
    client.answer_all(READING_ENDS);
    assert!(matches!(client.stage(), Stage::Ready), "the next request waits for room");
    client.turn.now = READING_ENDS + CLOSE_STALL_TIMEOUT;
    client.frontend.session_due(&mut client.turn, client.id);
    assert!(matches!(client.stage(), Stage::Closing));
    client.turn.now += CLOSE_STALL_TIMEOUT;
    client.frontend.session_due(&mut client.turn, client.id);
    assert!(client.frontend.sessions.is_empty());
}

/// Guards a slow client's answers: it gets those to all that was read, with its further requests unread in the
/// socket all the while, and no reset takes the end of the last answer.
#[test]
fn slow_client_gets_its_answers_before_unread_requests_reset_the_connection() {
    let mut client = Pipeline::begin();
    let socket = &client.frontend.sessions[&client.id].polled.socket;
    socket2::SockRef::from(&**socket).set_send_buffer_size(BUFFER_SIZE).expect("the size can be set");
    socket2::SockRef::from(&client.client).set_recv_buffer_size(BUFFER_SIZE).expect("the size can be set");
    client.client.set_read_timeout(Some(PATIENCE)).expect("the connection is open");
    client.standby(0, true);
    fill_output(&mut client);
    client.send(READING_ENDS, &read_query(1, 10_000));
    client.answer_all(READING_ENDS + 1);
    // The client reads until the proxy has handed everything to the system, which holds the rest.
    let mut piece = [0; 4096];
    while !client.frontend.sessions[&client.id].outbound.is_empty() {
        assert!(client.client.read(&mut piece).expect("the connection is open") > 0);
        client.frontend.ready(&mut client.turn, &mut client.exchange, client.id);
        client.scan(READING_ENDS + 2);
    }
    assert!(client.frontend.sessions[&client.id].polled.has_unsent_bytes(), "nothing is left to lose");
    client.turn.now += DELIVERY_CHECK_INTERVAL;
    client.frontend.session_due(&mut client.turn, client.id);
    assert!(matches!(client.stage(), Stage::Closing), "the sending side is shut down");
    // The client reads on, until the system has sent everything.
    let until = client.turn.now + MAX_DELIVERY_TIME / 2;
    let mut last = Vec::new();
    while client.frontend.sessions[&client.id].polled.has_unsent_bytes() {
        let length = client.client.read(&mut piece).expect("the connection is open");
        last = piece[..length].to_vec();
    }
    client.turn.now = until;
    client.frontend.session_due(&mut client.turn, client.id);
    client.assert_sent_away_with_unread_bytes();
    client.client.read_to_end(&mut last).expect("an end and no reset");
    assert_eq!(last.last_chunk(), Some(&[b'Z', 0, 0, 0, 5, b'I']));
}

/// A client that receives nothing more does not keep its connection for ever.
#[test]
fn client_that_receives_nothing_more_is_given_up() {
    let mut client = Pipeline::begin();
    client.standby(0, true);
    fill_output(&mut client);
    client.send(READING_ENDS, &read_query(1, 10_000));
    client.answer_all(READING_ENDS + 1);
    let mut due = 0;
    while let Some(s) = client.frontend.sessions.get(&client.id) {
        due = s.deadline.expect("the session has a deadline");
        client.turn.now = due;
        client.frontend.session_due(&mut client.turn, client.id);
    }
    assert!(due <= READING_ENDS + 1 + 2 * CLOSE_STALL_TIMEOUT + MAX_DELIVERY_TIME, "{due}");
}

/// The rest of a request is not taken for a new one: the request that was read in part is the one that runs.
#[test]
fn request_in_progress_is_not_disturbed_by_the_end_of_the_reading() {
    let mut client = Pipeline::begin();
    client.standby(0, true);
    client.scan(READING_ENDS);
    client.scan(STANDBY_LIMIT);
    assert!(matches!(client.stage(), Stage::Waiting(RequestId(0))));
    client.answer_all(STANDBY_LIMIT + 1);
    assert_eq!(client.received_to_the_end(), "EZ");
}
