//! The rules on attempts, connections and the process, in one place.
//!
//! Code that is about to send, repeat, write, close or start something passes the current state and the time,
//! and gets permission or a typed reason for the denial. The functions do no I/O, read no clock and keep no
//! state, so that the same state gives the same result on every code path. [`invariant`](crate::invariant) is
//! the counterpart: it checks afterwards what was done.
//!
//! The rules come from the protocol specification and the specification of the standing test;
//! `docs/promises.md` lists them with the code paths.

mod attempt;
mod connection;
mod process;

pub use attempt::{
    may_begin, may_begin_at_host, may_repeat, may_write, remaining_time_to_send, repeat_deadline, settled_at,
    AttemptDenial, AttemptLimits, HostState, PossibleExecution, RemainingTime, RequestState, WriteState,
};
pub use connection::{
    may_close, may_reuse, ClientStage, ClientState, CloseDenial, DrainingClient, PooledConnection,
    ReuseDenial,
};
pub use process::{
    id_retired_until, may_accept, may_apply_list, may_exit, may_hand_over, AcceptDenial, ExitDenial,
    HandOverDenial, ListDenial, ListVersions, ProcessState,
};
