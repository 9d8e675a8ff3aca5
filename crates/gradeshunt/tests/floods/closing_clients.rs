//! Clients that go on sending behind a Terminate.

use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

use gradeshunt_stand_ins::postgres::wire;

use super::fixture::Fixture;

/// How long the flood lasts.
const FLOOD: Duration = Duration::from_secs(3);
const FLOODING_CLIENTS: u64 = 24;
/// Bytes that a flooding client writes behind its Terminate before it connects anew.
const BYTES_BEHIND_TERMINATE: usize = 1 << 20;

/// Sends a request, Terminate and empty statements on one connection after the other.
fn flood(addr: SocketAddr, client: u64, ends: &AtomicBool) {
    let behind = wire::query("").repeat(10_000);
    for number in 0.. {
        if ends.load(Ordering::Relaxed) {
            return;
        }
        let Ok(mut stream) = TcpStream::connect(addr) else { continue };
        let request = format!(
            "/* id=flood-{client}-{number},c=page-read,d=400,cluster=1 */ SELECT data FROM facts WHERE code = 'a'"
        );
        let opening =
            [wire::startup(&[("user", "portal")]), wire::query(&request), wire::message(b'X', &[])].concat();
        let mut written = 0;
        let mut open = stream.write_all(&opening).is_ok();
        while open && written < BYTES_BEHIND_TERMINATE && !ends.load(Ordering::Relaxed) {
            open = stream.write_all(&behind).is_ok();
            written += behind.len();
        }
    }
}

/// Guards other clients against peers that each send a request, Terminate and statements without end, and connect
/// again.
#[test]
fn statements_behind_a_terminate_delay_no_other_client() {
    let mut fixture = Fixture::open_with("terminate", |_, _| {});
    let addr = fixture.addr();
    fixture.assert_in_time_beside(|| {
        let ends = &AtomicBool::new(false);
        thread::scope(|scope| {
            (0..FLOODING_CLIENTS).for_each(|client| drop(scope.spawn(move || flood(addr, client, ends))));
            thread::sleep(FLOOD);
            ends.store(true, Ordering::Relaxed);
        });
    });
}
