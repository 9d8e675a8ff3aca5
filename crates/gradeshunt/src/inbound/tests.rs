//! Tests of the arrival times of clients' bytes.

use std::io::Write;
use std::net::TcpListener;

use super::*;
use crate::ring::MAX_RING_SIZE;

/// Returns the two ends of a real connection; the second one is non-blocking.
fn connection() -> (TcpStream, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let client = TcpStream::connect(listener.local_addr().expect("an address"))
        .expect("the listener accepts connections");
    let (server, _) = listener.accept().expect("the client has connected");
    server.set_nonblocking(true).expect("the socket can be made non-blocking");
    (client, server)
}

/// Sends bytes and reads them at time `at`.
fn transfer(client: &mut TcpStream, server: &TcpStream, inbound: &mut InputBuffer, bytes: &[u8], at: Micros) {
    client.write_all(bytes).expect("the connection is open");
    let expected = inbound.len() + bytes.len();
    while inbound.len() < expected {
        inbound.read_at_most(server, usize::MAX, at).expect("the connection is open");
    }
}

/// Messages that arrive in pieces or several in one read each have the arrival time of their own last byte.
#[test]
fn each_message_has_the_time_of_its_last_byte() {
    let (mut client, server) = connection();
    let mut inbound = InputBuffer::default();
    transfer(&mut client, &server, &mut inbound, b"aabb", 10);
    transfer(&mut client, &server, &mut inbound, b"bcc", 30);
    transfer(&mut client, &server, &mut inbound, b"c", 20);
    assert_eq!(inbound.bytes(), b"aabbbccc");
    assert_eq!(inbound.consume(2), Some(10));
    assert_eq!(inbound.consume(3), Some(30), "its last byte arrived with the second piece");
    assert_eq!(inbound.consume(3), Some(30), "no byte arrives before the bytes in front of it");
    assert_eq!(inbound.consume(1), None);
}

/// Bytes that stay in the socket while the ring is full keep the time at which they were seen there.
#[test]
fn bytes_in_the_socket_have_arrived() {
    let (mut client, server) = connection();
    let mut inbound = InputBuffer::default();
    for _ in 0..MAX_RING_SIZE / 1024 {
        transfer(&mut client, &server, &mut inbound, &[b'x'; 1024], 5);
    }
    assert!(inbound.is_full());
    let unread = || rustix::io::ioctl_fionread(&server).expect("FIONREAD is supported");
    client.write_all(b"yy").expect("the connection is open");
    while unread() < 2 {}
    inbound.record_unread(&server, 100);
    client.write_all(b"z").expect("the connection is open");
    while unread() < 3 {}
    assert_eq!(inbound.consume(MAX_RING_SIZE), Some(5));
    while inbound.len() < 3 {
        inbound.read_at_most(&server, usize::MAX, 700).expect("the connection is open");
    }
    assert_eq!(inbound.consume(2), Some(100), "they arrived while the ring was full");
    assert_eq!(inbound.consume(1), Some(700), "it was not seen before it was read");
}

/// A client that sends single bytes takes bounded memory, and no recorded arrival time is later than the true
/// one.
#[test]
fn arrivals_are_bounded_and_never_late() {
    let mut arrivals = Arrivals::default();
    let count = 5_000_u64;
    for n in 1..=count {
        arrivals.record(n, n as Micros * 10);
        assert!(arrivals.ranges.len() <= MAX_ARRIVALS);
    }
    let whole = count as Micros * 10;
    for n in 1..=count {
        let (recorded, true_time) =
            (arrivals.nth_arrival(1).expect("the byte has arrived"), n as Micros * 10);
        // Equal ranges would be whole / MAX_ARRIVALS wide; pairwise merging leaves none wider than four times
        // that.
        let early = true_time - recorded;
        assert!((0..=4 * whole / MAX_ARRIVALS as Micros).contains(&early), "byte {n}: {early}");
        arrivals.consume(1);
    }
    assert_eq!((arrivals.nth_arrival(1), arrivals.ranges.capacity()), (None, 0));
}
