//! The loss of a site: the plan for it, what a proxy makes of what it sees, how it keeps to the plan, and how load comes back.
//! No I/O and no clock: times come with each call. docs/site-loss.md tells the mechanism and the roads not taken.

pub mod admission;
pub mod greedy;
pub mod layout;
pub mod plan;
pub mod proxy;
pub mod watch;
