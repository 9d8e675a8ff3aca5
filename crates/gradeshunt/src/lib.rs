//! gradeshunt: a proxy for replicated PostgreSQL. The module `leadmast` decides; this program is its sockets.
//!
//! A library so that measurements can run the parts that a proxy spends on control, without its sockets. What is public
//! serves those measurements and the program's `main`; it is no interface for anybody else.

mod backend;
mod cli;
mod clock;
mod config;
mod control;
mod deadlines;
mod discovery;
mod exchange;
mod figures;
mod frontend;
mod ids;
mod inbound;
mod logging;
mod loop_stats;
mod memory;
mod pg;
mod planning;
mod proc_stats;
mod proxy;
mod ring;
mod routing;
mod run;
mod shared;
mod site_loss;
mod turn;

pub use cli::Arguments;
pub use run::run;
