//! Peers that send at full speed, beside clients that send one request at a time and are owed their answers
//! in time.

mod closing_clients;
mod fixture;
mod messages;
mod other_peers;
