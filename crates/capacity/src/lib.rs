//! What a fleet costs: the record of a measured run, and the straight lines that are fitted to its points.
//!
//! The measurements themselves are in `gradeshunt-measure capacity`; nothing here does I/O or reads a clock.

pub mod fit;
pub mod record;
