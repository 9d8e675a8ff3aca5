//! The exchange connects the frontend (connections to clients) with the backend (connections to db hosts). It
//! handles requests, attempts and final answers without knowledge of the wire protocol: bodies and answers
//! are opaque bytes here.
//!
//! The exchange owns the decision library's balancer. It passes events to it one at a time and queues the
//! actions that the balancer returns. The turn carries these queues to the frontend and the backend, so that
//! the balancer is never re-entered.
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

pub use self::endings::ending_name;
pub use self::messages::{
    Answer, AnswerCheck, AnswerForm, AttemptEnd, BackendCommand, Body, DiscoveryCall, FinalAnswer, HostReply,
    IncomingRequest, ANSWER_BUFFER_SIZE,
};
pub use self::state::Exchange;
pub use self::trace::{AttemptTrace, ConnectionEnd};
pub use crate::ids::AttemptId;

#[cfg(test)]
mod tests;
