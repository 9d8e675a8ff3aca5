//! What may be done now: the rules on attempts, connections and the process, in one place.
//!
//! Whoever is about to send, repeat, write, close or start something states the facts, with the time, and gets leave or a
//! typed reason why not. Nothing here does I/O or reads a clock, and nothing keeps state: the same facts get the same answer
//! on every path. [`invariant`](crate::invariant) is the other half: it judges what was done.
//!
//! Sources: the protocol page and the page of the standing test; `docs/promises.md` lists the rules and the paths.

mod attempt;
mod connection;
mod process;

pub use attempt::{
    may_begin, may_begin_at, may_repeat, may_write, repeat_by, settled_at, time_to_tell, AttemptDenial,
    AttemptLimits, Doubt, HostStanding, RequestFacts, Telling, WriteFacts,
};
pub use connection::{
    may_close, may_reuse, ClientFacts, ClientStage, CloseDenial, PooledConnection, ReuseDenial,
};
pub use process::{
    may_apply_list, may_end, may_hand_over, may_take, EndDenial, HandOverDenial, ListDenial, ListVersions,
    ProcessFacts, TakeDenial,
};
