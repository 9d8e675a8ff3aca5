//! PostgreSQL, protocol 3 (its documentation, "Frontend/Backend Protocol"), as far as the stand-ins speak it.

pub mod client;
pub mod farm;
pub mod host;
pub mod wire;
