//! A fleet of real processes of the program before stand-ins, with links and processes that a script breaks, and a
//! checker of what came of it. docs/fleet-rig.md tells what is between whom and why.

pub mod event;
pub mod fleet;
pub mod link;
pub mod load;
pub mod outcome;
pub mod placement;
pub mod region;
pub mod script;
pub mod written;
