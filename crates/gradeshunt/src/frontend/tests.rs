//! Tests of the client side: eviction, closing, and the deadlines of requests and messages.

use std::io::{Read, Write};
use std::net::{Shutdown, TcpListener, TcpStream};

use leadmast::{GroupId, Micros, RequestId};

use super::close_reason::CloseReason;
use super::eviction::{eviction_rank, FIRST_REQUEST_LIMIT, RECENT_ACTIVITY};
use super::session::{Stage, CLOSE_STALL_TIMEOUT, LINGER};
use super::Frontend;
use crate::exchange::{AnswerForm, Body, Exchange, FinalAnswer, IncomingRequest};
use crate::ids::SessionId;
use crate::pg::{Writer, MAX_BUFFERED_ANSWER};
use crate::ready_queue::Phase;
use crate::ring::MAX_RING_SIZE;
use crate::turn::{EventSource, ReadySources, Turn};

/// Slow clients are not evicted early when many clients are open: they may take 2 s to send a request, and
/// clients that already had an answer are evicted first.
#[test]
fn idle_clients_make_room_before_slow_ones() {
    let slow = eviction_rank(&Stage::Startup, false, false, FIRST_REQUEST_LIMIT - 1);
    let half = eviction_rank(&Stage::Ready, false, false, FIRST_REQUEST_LIMIT - 1);
    let served = eviction_rank(&Stage::Ready, true, true, RECENT_ACTIVITY);
    let stuck = eviction_rank(&Stage::Startup, false, false, FIRST_REQUEST_LIMIT);
    assert!(stuck < served && served < slow && slow == half && slow.is_some());
    let new = eviction_rank(&Stage::Startup, false, true, 0);
    assert!(
        slow < new && new < eviction_rank(&Stage::Ready, false, true, 0),
        "a client that connected just now may still send a request"
    );
    assert_eq!(
        eviction_rank(&Stage::Ready, true, false, FIRST_REQUEST_LIMIT),
        None,
        "its request may be unread"
    );
    assert_eq!(eviction_rank(&Stage::Waiting(RequestId(0)), true, true, FIRST_REQUEST_LIMIT), None);
}

/// A closing client is not evicted while its last answer is unwritten, so that the answer is not lost.
#[test]
fn closing_client_makes_room_once_it_has_its_last_answer() {
    assert_eq!(eviction_rank(&Stage::Closing, true, false, FIRST_REQUEST_LIMIT), None);
    assert_eq!(eviction_rank(&Stage::Lingering, true, true, 0), Some(0));
}

/// Sets up a client side with one client on a real connection; the test sets the clock.
pub(super) fn frontend_with_one_client(
) -> (Frontend, Turn, TcpStream, SessionId, calloop::EventLoop<'static, ReadySources>) {
    let poll = calloop::EventLoop::<ReadySources>::try_new().expect("a poll");
    let mut turn = Turn::new(poll.handle(), slog::Logger::root(slog::Discard, slog::o!()));
    turn.now = 0;
    let config = std::fs::read_to_string("../../examples/config.json").expect("the example file is readable");
    let config: serde_json::Value = serde_json::from_str(&config).expect("JSON");
    let facts = leadmast::settings::read(&config["settings"]).expect("settings");
    let mut frontend = Frontend::new(facts.settings, facts.names);
    frontend.set_limits(&mut turn, 10, 1 << 20);
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let client = TcpStream::connect(listener.local_addr().expect("an address"))
        .expect("the listener accepts connections");
    let (socket, _) = listener.accept().expect("the client has connected");
    frontend
        .accept_session(&mut turn, socket, gradeshunt_placement::Source::Client)
        .expect("the session is accepted");
    let id = *frontend.sessions.first_key_value().expect("a session").0;
    (frontend, turn, client, id, poll)
}

/// A closing client that reads slowly gets its whole last answer, because each progress extends the deadline;
/// one that stops reading is closed at the deadline.
#[test]
fn slow_client_gets_its_whole_last_answer() {
    let (mut frontend, mut turn, mut client, id, _poll) = frontend_with_one_client();
    // Small socket buffers, so that the answer takes many rounds.
    let socket = &frontend.sessions[&id].polled.socket;
    socket2::SockRef::from(&**socket).set_send_buffer_size(32 * 1024).expect("the buffer size can be set");
    socket2::SockRef::from(&client).set_recv_buffer_size(32 * 1024).expect("the buffer size can be set");
    let mut sent = 0;
    while frontend.sessions[&id].outbound.len() <= MAX_RING_SIZE / 2 {
        let s = frontend.sessions.get_mut(&id).expect("the connection is open");
        assert!(s.outbound.push(&[b'x'; MAX_BUFFERED_ANSWER]));
        sent += MAX_BUFFERED_ANSWER;
        frontend.flush(&mut turn, id);
    }
    frontend.close_with(&mut turn, id, Writer::default(), CloseReason::Idle);
    let mut read = 0;
    let mut piece = vec![0; 64 * 1024];
    let mut rounds = 0;
    while !frontend.sessions[&id].outbound.is_empty() {
        rounds += 1;
        // Some bytes are read just before the deadline.
        turn.now += CLOSE_STALL_TIMEOUT - 1;
        frontend.session_due(&mut turn, id);
        let before = frontend.sessions[&id].outbound.len();
        while frontend.sessions[&id].outbound.len() == before {
            read += client.read(&mut piece).expect("the connection is open");
            frontend.flush(&mut turn, id);
        }
    }
    assert!(rounds > 1, "the answer took longer than one deadline");
    turn.now += LINGER - 1;
    frontend.session_due(&mut turn, id);
    while read < sent {
        read += client.read(&mut piece).expect("the connection is open");
    }
    assert_eq!((read, client.read(&mut piece).expect("the end of the stream, not a reset")), (sent, 0));

    let (mut frontend, mut turn, _client, id, _poll) = frontend_with_one_client();
    while frontend.sessions[&id].outbound.is_empty() {
        let s = frontend.sessions.get_mut(&id).expect("the connection is open");
        assert!(s.outbound.push(&[b'x'; MAX_BUFFERED_ANSWER]));
        frontend.flush(&mut turn, id);
    }
    frontend.close_with(&mut turn, id, Writer::default(), CloseReason::Idle);
    turn.now = frontend.sessions[&id].deadline.expect("the session has a deadline");
    frontend.session_due(&mut turn, id);
    assert!(frontend.sessions.is_empty(), "a client that reads nothing is closed");
}

/// A lingering session causes no wakeups. Each shutdown of a socket wakes the poll, so a session that shuts
/// down its socket in every turn would keep the loop busy for ever.
#[test]
fn lingering_session_causes_no_wakeups() {
    let (mut frontend, mut turn, mut client, id, mut poll) = frontend_with_one_client();
    let mut exchange = Exchange::new(frontend.settings.clone(), Vec::new(), 7, 0);
    frontend.close_with(&mut turn, id, Writer::default(), CloseReason::Idle);
    assert_eq!(client.read(&mut [0]).expect("a close"), 0);
    let mut woken = 0;
    loop {
        let mut ready = ReadySources::new();
        poll.dispatch(Some(std::time::Duration::ZERO), &mut ready).expect("the poll works");
        if ready.is_empty() {
            break;
        }
        woken += 1;
        assert!(woken < 10, "the session wakes itself");
        frontend.ready(&mut turn, &mut exchange, id);
    }
    assert!(matches!(frontend.sessions[&id].stage, Stage::Lingering));
    drop(client);
    let mut ready = ReadySources::new();
    poll.dispatch(None, &mut ready).expect("the poll works");
    frontend.ready(&mut turn, &mut exchange, id);
    assert!(frontend.sessions.is_empty(), "the session closes after the client");
}

/// A request that crosses the close of a drained or idle connection is not read: a request that is read and
/// not answered is lost, an unread one the client may send again.
#[test]
fn request_that_crosses_a_close_is_not_read() {
    for reason in [CloseReason::Draining, CloseReason::Idle] {
        let (mut frontend, mut turn, mut client, id, _poll) = frontend_with_one_client();
        let mut exchange = Exchange::new(frontend.settings.clone(), Vec::new(), 7, 0);
        frontend.close_with(&mut turn, id, Writer::default(), reason);
        assert_eq!(client.read(&mut [0]).expect("a close"), 0);
        client.write_all(&read_query(1, 1_000)).expect("the connection is still open for writing");
        while frontend.sessions[&id].polled.is_quiet() {}
        frontend.ready(&mut turn, &mut exchange, id);
        assert!(!frontend.sessions[&id].polled.is_quiet(), "the request was read");
        drop(client);
        while !frontend.sessions[&id].polled.has_hung_up() {}
        frontend.ready(&mut turn, &mut exchange, id);
        assert!(frontend.sessions.is_empty(), "the session closes after the client");
    }
}

/// The bytes of a read query that waits `wait_ms` at most.
pub(super) fn read_query(number: usize, wait_ms: u32) -> Vec<u8> {
    let statement = format!(
        "/* id={number},c=page-read,d={wait_ms},cluster=1 */ SELECT data FROM facts WHERE code = '{number:x}'"
    );
    Writer::default().query(&[statement.as_bytes()]).0
}

/// A client whose first request is in progress, so that everything it sends next queues behind that request.
pub(super) struct Pipeline {
    pub(super) frontend: Frontend,
    pub(super) turn: Turn,
    pub(super) exchange: Exchange,
    pub(super) client: TcpStream,
    pub(super) id: SessionId,
    _poll: calloop::EventLoop<'static, ReadySources>,
}

impl Pipeline {
    pub(super) fn begin() -> Pipeline {
        let mut pipeline = Pipeline::without_request();
        pipeline.send(0, &read_query(0, 1_200));
        assert!(matches!(pipeline.frontend.sessions[&pipeline.id].stage, Stage::Waiting(RequestId(0))));
        pipeline
    }

    /// A client that has sent its startup packet alone.
    pub(super) fn without_request() -> Pipeline {
        let (frontend, turn, client, id, poll) = frontend_with_one_client();
        let exchange = Exchange::new(frontend.settings.clone(), Vec::new(), 7, 0);
        let mut pipeline = Pipeline { frontend, turn, exchange, client, id, _poll: poll };
        pipeline.send(0, &Writer::default().startup("portal", "crm", None).0);
        pipeline
    }

    /// Sends bytes, which the client side reads at time `at`.
    pub(super) fn send(&mut self, at: Micros, bytes: &[u8]) {
        use std::io::Write;
        self.turn.now = at;
        self.client.write_all(bytes).expect("the connection is open");
        while self.frontend.sessions[&self.id].polled.is_quiet() {}
        self.frontend.ready(&mut self.turn, &mut self.exchange, self.id);
    }

    /// Answers the first request at `at` and processes the requests behind it. Returns how many of those had
    /// expired.
    pub(super) fn count_expired(&mut self, at: Micros) -> u64 {
        self.answer_first(at);
        self.exchange.figures().expired_unsent
    }

    /// Answers the first request at `at` and processes the requests behind it.
    pub(super) fn answer_first(&mut self, at: Micros) {
        self.turn.now = at;
        self.frontend.answer(&mut self.turn, &mut self.exchange, RequestId(0), FinalAnswer::Failed(None));
        self.settle();
    }

    /// Processes answers and deferred work until none is left.
    pub(super) fn settle(&mut self) {
        loop {
            if let Some((request, answer)) = self.exchange.answers.pop_front() {
                let crate::exchange::Answer::Final(last) = answer else { panic!("a part of an answer") };
                // No db host is known, so the decision module refuses requests, also those with little time
                // left.
                assert!(matches!(last, FinalAnswer::Refused { .. }), "{last:?}");
                self.frontend.answer(&mut self.turn, &mut self.exchange, request, last);
            } else if self.turn.ready.pop(Phase::Clients).is_some() {
                self.frontend.ready(&mut self.turn, &mut self.exchange, self.id);
            } else {
                return;
            }
        }
    }
}

/// Returns how many of the requests that `prepare` sends have expired if the request before them is answered
/// at `at`.
fn count_expired_at(at: Micros, prepare: impl Fn(&mut Pipeline)) -> u64 {
    let mut pipeline = Pipeline::begin();
    prepare(&mut pipeline);
    pipeline.count_expired(at)
}

/// The wait of a request that arrives in pieces counts from its last byte.
#[test]
fn wait_counts_from_the_last_byte() {
    let pieces = |pipeline: &mut Pipeline| {
        let bytes = read_query(1, 100);
        let (first, last) = bytes.split_at(30);
        pipeline.send(10_000, first);
        pipeline.send(50_000, last);
    };
    assert_eq!(count_expired_at(149_999, pieces), 0);
    assert_eq!(count_expired_at(150_000, pieces), 1);
}

/// Pipelined requests that arrive in one read expire while they queue behind a request that takes long.
#[test]
fn pipelined_requests_expire_behind_a_long_request() {
    let ten = |pipeline: &mut Pipeline| {
        let bytes: Vec<u8> = (1..=10).flat_map(|number| read_query(number, 100)).collect();
        pipeline.send(10_000, &bytes);
    };
    assert_eq!(count_expired_at(109_999, ten), 0);
    assert_eq!(count_expired_at(110_000, ten), 10);
}

/// The wait of a request that stayed in the socket while the client's ring was full counts from its arrival
/// there.
#[test]
fn wait_counts_while_the_ring_is_full() {
    let behind_a_full_ring = |pipeline: &mut Pipeline| {
        // The proxy answers these statements itself, once the request before them is answered.
        let mut filler = b"SET a TO b".to_vec();
        filler.resize(MAX_RING_SIZE / 4 - 6, b' ');
        let filler = Writer::default().query(&[&filler]).0;
        for _ in 0..4 {
            for piece in filler.chunks(4096) {
                pipeline.send(20_000, piece);
            }
        }
        assert!(pipeline.frontend.sessions[&pipeline.id].inbound.is_full());
        pipeline.send(50_000, &read_query(1, 100));
    };
    assert_eq!(count_expired_at(149_999, behind_a_full_ring), 0);
    assert_eq!(count_expired_at(150_000, behind_a_full_ring), 1);
}

/// No request is held beyond the drain deadline, and one that arrives later is refused at once.
#[test]
fn drain_deadline_bounds_the_wait() {
    let before = |pipeline: &mut Pipeline| {
        pipeline.frontend.set_drain_deadline(100_000);
        pipeline.send(50_000, &read_query(1, 1_000));
    };
    assert_eq!(count_expired_at(99_999, before), 0);
    assert_eq!(count_expired_at(100_000, before), 1);
    let after = |pipeline: &mut Pipeline| {
        pipeline.frontend.set_drain_deadline(100_000);
        pipeline.send(120_000, &read_query(1, 1_000));
    };
    assert_eq!(count_expired_at(120_001, after), 1);
}

/// Pipelined requests of a client that has disconnected are dropped unprocessed.
#[test]
fn pipelined_requests_of_a_disconnected_client_are_dropped() {
    let mut pipeline = Pipeline::begin();
    pipeline.send(10_000, &read_query(1, 100));
    pipeline.client.shutdown(Shutdown::Both).expect("the connection is open");
    while !pipeline.frontend.sessions[&pipeline.id].polled.has_hung_up() {}
    pipeline.frontend.ready(&mut pipeline.turn, &mut pipeline.exchange, pipeline.id);
    assert!(pipeline.frontend.sessions.is_empty() && pipeline.frontend.owners.is_empty());
    assert!(pipeline.exchange.is_idle() && pipeline.exchange.answers.is_empty());
    let next = pipeline.exchange.submit(&mut pipeline.turn, call_with_deadline(10_000));
    assert_eq!(next, RequestId(1), "the second request was never submitted");
}

/// A request whose wait ends at `deadline`.
pub(super) fn call_with_deadline(deadline: Micros) -> IncomingRequest {
    IncomingRequest {
        class: leadmast::ClassId(0),
        group: GroupId(1),
        key: None,
        deadline,
        since_write: None,
        repeat: false,
        checked: true,
        tenant: None,
        source: gradeshunt_placement::Source::Client,
        body: Body::new(Vec::new(), None, AnswerForm::Value),
    }
}

/// A client that stops in the middle of a message, sent behind a request in progress, is closed after the
/// message timeout from the message's first byte, not from the answer to the request before it.
#[test]
fn incomplete_message_is_bounded_from_its_first_byte() {
    const STOPPED: Micros = 10_000;
    let mut pipeline = Pipeline::begin();
    pipeline.send(STOPPED, &read_query(1, 1_000)[..30]);
    pipeline.count_expired(1_100_000);
    let due = pipeline.frontend.sessions[&pipeline.id].deadline.expect("the session has a deadline");
    assert_eq!(due, STOPPED + super::session::MESSAGE_TIMEOUT);
}

/// Guards the event loop at SIGTERM: connections that wait to be accepted and clients that are open are taken
/// in shares, not in one call.
#[test]
fn sigterm_spreads_waiting_connections_and_open_clients_over_turns() {
    const WAITING: usize = 200;
    let (mut frontend, mut turn, _client, id, _poll) = frontend_with_one_client();
    frontend.set_limits(&mut turn, 2 * WAITING, 1 << 20);
    let listener = crate::turn::listening_socket(([127, 0, 0, 1], 0).into()).expect("a port");
    let addr = listener.local_addr().expect("an address");
    frontend.listen_for_clients(&mut turn, listener).expect("the listener is registered");
    let waiting: Vec<_> = (0..WAITING).map(|_| TcpStream::connect(addr).expect("a connection")).collect();
    frontend.close_listener(&mut turn, false);
    assert!(frontend.sessions.len() <= 1 + WAITING / 2, "{} sessions in one call", frontend.sessions.len());
    assert_eq!(turn.ready.pop(Phase::Clients).map(|(source, _)| source), Some(EventSource::Session(id)));
    for _ in 0..WAITING {
        frontend.close_listener(&mut turn, false);
    }
    assert_eq!((frontend.sessions.len(), frontend.may_accept()), (1 + waiting.len(), false));
}

/// Guards other clients against peers that connect faster than they are served: accepted at once, they filled the
/// proxy, and everyone's requests waited behind theirs.
#[test]
fn connections_wait_in_the_backlog_while_many_clients_wait_for_their_shares() {
    const PUT_OFF_AT: Micros = 40_000;
    const WAITING: u64 = 65;
    let (mut frontend, mut turn, _client, _, _poll) = frontend_with_one_client();
    let listener = crate::turn::listening_socket(([127, 0, 0, 1], 0).into()).expect("a port");
    let addr = listener.local_addr().expect("an address");
    frontend.listen_for_clients(&mut turn, listener).expect("the listener is registered");
    let before = frontend.sessions.len();
    let _connected = TcpStream::connect(addr).expect("a connection");
    while turn.ready.pop(Phase::Clients).is_some() || turn.ready.pop(Phase::Others).is_some() {}

    (0..WAITING).for_each(|n| turn.defer(EventSource::Session(SessionId(1_000 + n))));
    turn.now = PUT_OFF_AT;
    frontend.accept(&mut turn);
    assert_eq!(frontend.sessions.len(), before, "accepted while {WAITING} clients wait");
    let listener = turn.ready.pop(Phase::Others).map(|(source, _)| source);
    assert_eq!(listener, Some(EventSource::Listener), "the listener is looked at again");

    turn.ready.pop(Phase::Clients);
    turn.now += 10_000;
    frontend.accept(&mut turn);
    assert_eq!(frontend.sessions.len(), before + 1);
    let session = frontend.sessions.values().next_back().expect("the accepted session");
    assert_eq!(session.backlogged_since, Some(PUT_OFF_AT), "its wait in the backlog counts");
}

/// Guards against requests that are submitted although the end of their client's connection has arrived, behind
/// more bytes than a share of a turn reads.
#[test]
fn requests_before_an_end_beyond_one_share_are_not_submitted() {
    const RECEIVE_BUFFER: usize = 400 * 1024;
    const REQUESTS: usize = 14;
    const REQUEST_SIZE: usize = 20_000;
    let (mut frontend, mut turn, mut client, id, _poll) = frontend_with_one_client();
    let mut exchange = Exchange::new(frontend.settings.clone(), Vec::new(), 7, 0);
    let socket = std::rc::Rc::clone(&frontend.sessions[&id].polled.socket);
    socket2::SockRef::from(&*socket).set_recv_buffer_size(RECEIVE_BUFFER).expect("the size can be set");
    let mut bytes = Writer::default().startup("portal", "crm", None).0;
    for number in 0..REQUESTS {
        let mut query = read_query(number, 1_000);
        query.splice(query.len() - 1..query.len() - 1, vec![b' '; REQUEST_SIZE - query.len()]);
        let length = (query.len() as u32 - 1).to_be_bytes();
        query[1..5].copy_from_slice(&length);
        bytes.extend(query);
    }
    assert!(bytes.len() > MAX_RING_SIZE);
    client.write_all(&bytes).expect("the connection is open");
    client.shutdown(Shutdown::Write).expect("the connection is open");
    while !frontend.sessions[&id].polled.has_hung_up() {}
    frontend.ready(&mut turn, &mut exchange, id);
    assert!(frontend.sessions.is_empty() && exchange.is_idle(), "a request was submitted");
}
