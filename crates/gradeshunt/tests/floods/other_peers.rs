//! Operators, db hosts and discovery that send at full speed.

use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

use gradeshunt_stand_ins::postgres::client::Client;
use gradeshunt_stand_ins::script::{Act, Rule, Table};
use serde_json::json;

use super::fixture::Fixture;

/// How long a peer sends at full speed.
const FLOOD: Duration = Duration::from_secs(2);
/// Ends a test that fails; no passing test waits this long.
const PATIENCE: Duration = Duration::from_secs(20);
/// Rows of a long result.
const ROWS: usize = 1_000;
/// Threads that write to one connection.
const WRITERS: usize = 4;

/// Writes the same bytes until the time is over or the connection ends.
fn write_at_full_speed(stream: &mut TcpStream, bytes: &[u8]) {
    let began = Instant::now();
    while began.elapsed() < FLOOD && stream.write_all(bytes).is_ok() {}
}

/// Guards the event loop against an operator's call behind which bytes come without end.
#[test]
fn bytes_behind_an_operators_call_delay_no_client() {
    let mut fixture = Fixture::open_with("operator", |_, _| {});
    let control = fixture.process.control;
    fixture.assert_in_time_beside(|| {
        let began = Instant::now();
        while began.elapsed() < FLOOD {
            let Ok(mut stream) = TcpStream::connect(control) else { continue };
            let called = stream.write_all(b"GET /status HTTP/1.1\r\nHost: x\r\n\r\n");
            called.expect("the operators' address takes calls");
            // Several threads, so that the process can't read faster than they write.
            thread::scope(|scope| {
                for _ in 0..WRITERS {
                    let mut stream = stream.try_clone().expect("a descriptor");
                    scope.spawn(move || write_at_full_speed(&mut stream, &[b'x'; 64 * 1024]));
                }
            });
        }
    });
}

/// Guards the event loop against a result without end that its db host sends as fast as its client reads.
#[test]
fn result_that_is_read_as_fast_as_it_is_sent_delays_no_client() {
    const RULES: &str = r#"route { name: "all" class: "plain-write" cluster: 1 }"#;
    const CLIENTS: usize = 4;
    let rows = vec![vec![Some(vec![b'x'; 30_000])]; ROWS];
    let table = Table { columns: vec!["data".to_owned()], rows, ..Table::default() };
    let mut fixture = Fixture::open_with("result", |_, platform| {
        let file = platform.folder.join("rules.textproto");
        std::fs::write(&file, RULES).expect("a file");
        platform.environment.push(("ROUTER_RULES".to_owned(), file.display().to_string()));
    });
    for host in 0..3 {
        fixture.site.sets[0].script(host, Rule::always("SELECT all", Act::Answer(table.clone())));
    }
    let addr = fixture.addr();
    fixture.assert_in_time_beside(|| {
        thread::scope(|scope| (0..CLIENTS).for_each(|_| drop(scope.spawn(|| read_results(addr)))));
    });
}

/// Reads one result after the other.
fn read_results(addr: SocketAddr) {
    let client = Client::connect(addr, &[("user", "portal")], PATIENCE);
    let mut client = client.expect("the session starts");
    let began = Instant::now();
    while began.elapsed() < FLOOD {
        let reply = client.query("SELECT all FROM facts").expect("an answer");
        // A db host that is too slow fails the request.
        assert!(reply.code().is_some() || reply.rows.len() == ROWS, "{} rows", reply.rows.len());
    }
}

/// Guards the event loop against a watch of discovery that tells small changes as fast as they are read.
#[test]
fn changes_without_end_from_discovery_delay_no_client() {
    let discovery = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let addr = discovery.local_addr().expect("the listener has an address");
    let mut fixture = Fixture::open_with("discovery", |config, _| {
        config["discovery"] = json!(addr.to_string());
    });
    let change = b"{\"generation\":9,\"reset\":false,\"instances\":[]}\n";
    let changes = change.repeat(1_000);
    fixture.assert_in_time_beside(|| {
        let (mut stream, _) = discovery.accept().expect("the process watches");
        let head = b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nConnection: close\r\n\r\n";
        stream.write_all(head).expect("the connection is open");
        write_at_full_speed(&mut stream, &changes);
    });
}
