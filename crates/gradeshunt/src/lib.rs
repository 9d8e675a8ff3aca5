//! gradeshunt: a proxy for replicated PostgreSQL. The library `leadmast` makes the decisions; this crate does
//! the I/O.
//!
//! It is a library so that measurements can run a proxy's control work without its sockets. The public items
//! serve those measurements and the program's `main` only; they are not a stable interface.

mod accept_failure;
mod backend;
mod cli;
mod clock;
mod config;
mod control;
mod control_core;
mod cycle;
mod deadlines;
mod discovery;
mod exchange;
mod figures;
mod frontend;
mod ids;
mod inbound;
mod log_limit;
mod logging;
mod loop_stats;
mod memory;

mod pg;
mod placement_command;
mod placing;
mod planning;
mod position;
mod proc_stats;
mod proxy;
mod ready_queue;
mod resumed;
mod ring;
mod routing;
mod run;
mod shared;
mod site_loss;
mod start_offset;
mod transient;
mod turn;
mod unix_time;
mod work_times;

pub use cli::Arguments;
pub use config::{Config, ConfigError};
pub use control_core::{Core, List, Step};
pub use cycle::{Handlers, ProxyLoop};
pub use deadlines::DeadlineKind;
pub use run::run;
pub use turn::EventSource;
