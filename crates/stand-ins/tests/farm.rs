//! The farm of db hosts counts what measurements rest on.

use std::net::SocketAddr;
use std::thread;
use std::time::{Duration, Instant};

use gradeshunt_stand_ins::postgres::client::Client;
use gradeshunt_stand_ins::postgres::farm::HostFarm;

const PATIENCE: Duration = Duration::from_secs(20);

fn addr(farm: &HostFarm, host: usize) -> SocketAddr {
    let entry = &farm.entries()[host];
    entry["hostPort"].as_str().expect("an address").parse().expect("an address")
}

fn connect(farm: &HostFarm, host: usize) -> Client {
    Client::connect(addr(farm, host), &[("user", "u")], PATIENCE).expect("it welcomes")
}

/// Waits until so many connections are open.
fn until_open(farm: &HostFarm, connections: u64) {
    let since = Instant::now();
    while farm.seen().sum(|t| t.connections) != connections {
        assert!(since.elapsed() < PATIENCE, "{:?}", farm.seen());
        thread::sleep(Duration::from_millis(1));
    }
}

#[test]
fn counts_connections_probes_and_statements_by_host() {
    let farm = HostFarm::open(&[1, 2]).expect("it opens");
    let ids: Vec<_> = farm.entries().iter().map(|e| e["instanceId"].clone()).collect();
    assert_eq!(ids, ["s-1-0", "s-2-0", "s-2-1"]);
    assert_eq!(farm.entries()[2]["replication"], "standby");
    let (mut first, mut second) = (connect(&farm, 0), connect(&farm, 2));
    assert_eq!(first.query("SELECT 1").expect("an answer").value().as_deref(), Some("done"));
    assert_eq!(first.query("/* id=1 */ SELECT 2 */").expect("an answer").code(), None);
    let probed = second.query("SHOW pressure").expect("an answer").value().expect("a value");
    assert!(probed.ends_with(",x1=0"), "{probed}");
    let seen = farm.seen();
    let counts = |n: usize| (seen.hosts[n].opened, seen.hosts[n].probes, seen.hosts[n].statements);
    assert_eq!([counts(0), counts(1), counts(2)], [(1, 0, 2), (0, 0, 0), (1, 1, 0)]);
    assert_eq!(seen.sum(|t| t.statement_bytes), 8 + 12, "without the routing comment");
    assert_eq!((farm.reached(PATIENCE), farm.reached(Duration::ZERO)), (2, 0));
    drop(second);
    until_open(&farm, 1);
    let _third = connect(&farm, 1);
    let seen = farm.seen();
    assert_eq!((seen.most_connections, seen.sum(|t| t.opened)), (2, 3));
}

/// What comes in pieces is one message, and what is no message ends the connection.
#[test]
fn reads_messages_in_pieces_and_ends_on_nonsense() {
    use std::io::{Read, Write};
    let farm = HostFarm::open(&[1]).expect("it opens");
    let mut client = connect(&farm, 0);
    let query = [b"Q\0\0\0\x0d".as_slice(), b"SELECT 1\0"].concat();
    for piece in query.chunks(3) {
        client.stream().write_all(piece).expect("it writes");
        thread::sleep(Duration::from_millis(2));
    }
    assert_eq!(client.until_ready().expect("an answer").value().as_deref(), Some("done"));
    client.stream().write_all(b"Q\0\0\0\x01").expect("it writes");
    assert_eq!(client.stream().read(&mut [0; 8]).expect("it ends"), 0);
    until_open(&farm, 0);
}

/// A proxy that gives up on a slow answer closes the connection right behind its statement: that was sent all the same.
#[test]
fn counts_a_statement_whose_sender_has_closed() {
    let farm = HostFarm::open(&[1]).expect("it opens");
    for sent in 1..=50 {
        let mut client = connect(&farm, 0);
        client.ask("SELECT 1").expect("it writes");
        drop(client);
        let since = Instant::now();
        while farm.seen().sum(|t| t.statements) < sent {
            assert!(since.elapsed() < PATIENCE, "{sent}: {:?}", farm.seen());
            thread::sleep(Duration::from_millis(1));
        }
    }
}
