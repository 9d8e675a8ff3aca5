//! A soak test over real processes: gradeshunt under seeded faults that overlap in time, on real sockets, judged by the rules.
//!
//! [`play`] starts a few dozen processes before stand-ins, lets clients ask, and lets [`trouble`] begin and end in lanes, so
//! that two or three kinds overlap at any time. [`ledger`] holds what clients asked and got and what db hosts were sent, and
//! tells what broke a rule. The processes count violations themselves; a sound play ends with none on either side.

pub mod client;
pub mod connection;
mod crowd;
pub mod db_host;
pub mod fleet;
pub mod ledger;
pub mod play;
pub mod shim;
pub mod site;
pub mod statement;
pub mod trouble;

/// Locks what one thread at a time may touch; what a panicking one left is used as it is.
pub(crate) fn lock<T>(mutex: &std::sync::Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
}
