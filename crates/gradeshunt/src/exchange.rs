//! Where the client side and the server side meet. Requests, attempts and final answers stand here in no
//! protocol's terms: bodies and answers are bytes that only the two sides read.
//!
//! The exchange owns the module. It hands it events one at a time and queues what the module asks for; the
//! turn carries the queues to the two sides, so that the module is never re-entered.
mod audit;
mod client_side;
mod decisions;
mod endings;
mod final_answers;
mod forwarding;
mod messages;
mod reason;
mod request;
mod server_side;
mod state;
mod summary;
mod tally;
mod trace;

pub use self::endings::name;
pub use self::messages::{Answer, AnswerCheck, Ask, Body, Call, Ended, Final, Form, Order, Said, ROOM};
pub use self::state::Exchange;
pub use self::trace::{AttemptTrace, ConnectionEnd};
pub use crate::ids::AttemptId;

#[cfg(test)]
mod tests;
