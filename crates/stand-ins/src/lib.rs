//! Stand-ins for what gradeshunt meets: db hosts of a replica set, discovery, clients, and the platform that starts the
//! program. They are written from public specifications, listen on loopback addresses at ports that the system gives,
//! and are played by scripts that are plain data and no protocol's. [`checker`] tells whether every accepted request
//! had exactly one outcome and what ran more often than it may.
//!
//! Nothing here is linked into the program.

pub mod checker;
pub mod discovery;
pub mod ending;
pub mod engine;
pub mod flood;
pub mod postgres;
pub mod program;
pub mod script;
pub mod set;
pub mod site;
pub mod slow_clients;
pub mod standalone;
pub mod toy;
pub mod upgrade;
pub mod watches;

use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Unix time: all machines of a site read one clock.
pub fn now() -> Duration {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default()
}

/// Locks what one thread at a time may touch; what a panicking one left is used as it is.
fn lock<T>(mutex: &std::sync::Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
}
