//! Peers that are slow, stop, or leave, beside clients that are owed their answers in time.

#[path = "../floods/fixture.rs"]
mod fixture;
mod slow_clients;
