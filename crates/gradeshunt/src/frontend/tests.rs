//! Tests of the part named by the folder.

use std::io::Read;
use std::net::TcpStream;

use super::*;
use crate::turn::Ready;

/// Guards slow clients in a crowd: they may take 2 s over a request, and whoever has had an answer goes first.
#[test]
fn idle_clients_make_room_before_slow_ones() {
    let slow = makes_room(&Stage::Startup, false, false, SLOW - 1);
    let half = makes_room(&Stage::Ready, false, false, SLOW - 1);
    let served = makes_room(&Stage::Ready, true, true, JUST);
    let stuck = makes_room(&Stage::Startup, false, false, SLOW);
    assert!(stuck < served && served < slow && slow == half && slow.is_some());
    let new = makes_room(&Stage::Startup, false, true, 0);
    assert!(slow < new && new < makes_room(&Stage::Ready, false, true, 0), "what came just now may ask yet");
    assert_eq!(makes_room(&Stage::Ready, true, false, SLOW), None, "a request may be unread");
    assert_eq!(makes_room(&Stage::Waiting(RequestId(0)), true, true, SLOW), None);
}

/// Guards the last answer of a client that is being closed: while it is unwritten its connection makes no room.
#[test]
fn closing_client_makes_room_once_it_has_its_last_answer() {
    assert_eq!(makes_room(&Stage::Closing, true, false, SLOW), None);
    assert_eq!(makes_room(&Stage::Lingering, true, true, 0), Some(0));
}

/// A client side with one client on a real connection, and a clock that the test sets.
fn one_client() -> (Frontend, Turn, TcpStream, SessionId, calloop::EventLoop<'static, Ready>) {
    let poll = calloop::EventLoop::<Ready>::try_new().expect("a poll");
    let mut turn = Turn::new(poll.handle(), slog::Logger::root(slog::Discard, slog::o!()));
    turn.now = 0;
    let config = std::fs::read_to_string("../../examples/config.json").expect("the example");
    let config: serde_json::Value = serde_json::from_str(&config).expect("JSON");
    let facts = leadmast::settings::read(&config["settings"]).expect("settings");
    let mut frontend = Frontend::new(facts.settings, facts.names);
    frontend.limit(&mut turn, 10, 1 << 20);
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let client = TcpStream::connect(listener.local_addr().expect("an address")).expect("it listens");
    let (socket, _) = listener.accept().expect("it has connected");
    frontend.welcome(&mut turn, socket).expect("it is welcome");
    let id = *frontend.sessions.first_key_value().expect("a session").0;
    (frontend, turn, client, id, poll)
}

/// Guards the tail of a last answer: a client that reads slowly has it for as long as bytes move, and one that reads
/// nothing any more is closed in the end.
#[test]
fn slow_client_gets_the_whole_of_its_last_answer() {
    let (mut frontend, mut turn, mut client, id, _poll) = one_client();
    // The system holds little for them, so that it takes many rounds.
    let socket = &frontend.sessions[&id].polled.socket;
    socket2::SockRef::from(&**socket).set_send_buffer_size(32 * 1024).expect("it can be set");
    socket2::SockRef::from(&client).set_recv_buffer_size(32 * 1024).expect("it can be set");
    let mut sent = 0;
    while frontend.sessions[&id].outbound.len() <= LARGEST / 2 {
        let s = frontend.sessions.get_mut(&id).expect("it is open");
        assert!(s.outbound.push(&[b'x'; LONGEST_ANSWER]));
        sent += LONGEST_ANSWER;
        frontend.flush(&mut turn, id);
    }
    frontend.last_word(&mut turn, id, Writer::default());
    let mut read = 0;
    let mut piece = vec![0; 64 * 1024];
    let mut rounds = 0;
    while !frontend.sessions[&id].outbound.is_empty() {
        rounds += 1;
        // Just before its time is over some of it moves.
        turn.now += UNREAD_FOR - 1;
        frontend.session_due(&mut turn, id);
        let before = frontend.sessions[&id].outbound.len();
        while frontend.sessions[&id].outbound.len() == before {
            read += client.read(&mut piece).expect("it is open");
            frontend.flush(&mut turn, id);
        }
    }
    assert!(rounds > 1, "it took more than its time");
    turn.now += LINGER - 1;
    frontend.session_due(&mut turn, id);
    while read < sent {
        read += client.read(&mut piece).expect("it is open");
    }
    assert_eq!((read, client.read(&mut piece).expect("an end, and no reset")), (sent, 0));

    let (mut frontend, mut turn, _client, id, _poll) = one_client();
    while frontend.sessions[&id].outbound.is_empty() {
        let s = frontend.sessions.get_mut(&id).expect("it is open");
        assert!(s.outbound.push(&[b'x'; LONGEST_ANSWER]));
        frontend.flush(&mut turn, id);
    }
    frontend.last_word(&mut turn, id, Writer::default());
    turn.now = frontend.sessions[&id].due.expect("it has a deadline");
    frontend.session_due(&mut turn, id);
    assert!(frontend.sessions.is_empty(), "no byte has moved");
}

/// Guards the loop: a client that is closed and rests, as many do, is no work while it is waited for. Each shutdown wakes
/// the poll, so that one a turn would turn for ever.
#[test]
fn closed_client_that_rests_wakes_nobody() {
    let (mut frontend, mut turn, mut client, id, mut poll) = one_client();
    let mut exchange = Exchange::new(frontend.settings.clone(), Vec::new(), 7, 0);
    frontend.last_word(&mut turn, id, Writer::default());
    assert_eq!(client.read(&mut [0]).expect("a close"), 0);
    let mut woken = 0;
    loop {
        let mut ready = Ready::new();
        poll.dispatch(Some(std::time::Duration::ZERO), &mut ready).expect("it polls");
        if ready.is_empty() {
            break;
        }
        woken += 1;
        assert!(woken < 10, "it wakes itself");
        frontend.ready(&mut turn, &mut exchange, id);
    }
    assert!(matches!(frontend.sessions[&id].stage, Stage::Lingering));
    drop(client);
    let mut ready = Ready::new();
    poll.dispatch(None, &mut ready).expect("it polls");
    frontend.ready(&mut turn, &mut exchange, id);
    assert!(frontend.sessions.is_empty(), "it has closed too");
}
