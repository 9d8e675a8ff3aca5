//! Clients that leave: each asks, and closes its connection before its answer can be there.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, PoisonError};
use std::thread::{self, JoinHandle};
use std::time::Duration;

use gradeshunt_stand_ins::postgres::client::Client;

use crate::load::Front;

/// Between two clients of a group.
const PERIOD: Duration = Duration::from_millis(50);
/// What they tell that they wait.
const WAIT: Duration = Duration::from_secs(2);
/// The first letter of their requests' ids.
pub const PREFIX: &str = "l-";

/// The leaving clients of one group.
pub struct Leaving {
    ends: Arc<AtomicBool>,
    thread: JoinHandle<()>,
}

impl Leaving {
    pub fn start(group: usize, sets: usize, front: Front) -> Leaving {
        let ends = Arc::new(AtomicBool::new(false));
        let over = Arc::clone(&ends);
        let thread = thread::spawn(move || {
            for number in 0.. {
                if over.load(Ordering::Relaxed) {
                    return;
                }
                let addresses = front.lock().unwrap_or_else(PoisonError::into_inner).clone();
                if let Some(address) = addresses.get(number % addresses.len().max(1)) {
                    ask_and_leave(*address, &statement(group, number, sets));
                }
                thread::sleep(PERIOD);
            }
        });
        Leaving { ends, thread }
    }

    /// Ends it.
    pub fn end(self) {
        self.ends.store(true, Ordering::Relaxed);
        let _ = self.thread.join();
    }
}

/// Every other one writes what must never be written twice.
fn statement(group: usize, number: usize, sets: usize) -> String {
    let (id, set, wait) = (format!("{PREFIX}{group:x}-{number:x}"), number % sets + 1, WAIT.as_millis());
    match number % 2 {
        0 => format!("/* id={id},c=page-read,d={wait},cluster={set} */ SELECT data FROM facts WHERE code = '{id}'"),
        _ => format!("/* id={id},c=plain-write,d={wait},k={id},cluster={set} */ INSERT INTO facts (code, data) VALUES ('{id}', '') RETURNING data"),
    }
}

/// The proxy may be gone just then: nothing is asked there.
fn ask_and_leave(address: SocketAddr, statement: &str) {
    let identity = [("user", "portal"), ("database", "crm")];
    if let Ok(mut client) = Client::open(address, &identity, WAIT) {
        let _ = client.ask(statement);
        // About the time of its way to a home.
        thread::sleep(Duration::from_millis(1));
    }
}
