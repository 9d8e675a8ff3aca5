//! What a fleet costs: the record of a measured run, the straight lines that are fitted to its points, and what they
//! come to at the size that is designed for.
//!
//! The measurements themselves are in `gradeshunt-measure capacity`; nothing here does I/O or reads a clock.

pub mod assumptions;
pub mod comparison;
pub mod design;
pub mod fit;
pub mod formula;
pub mod model;
pub mod page;
pub mod record;
pub mod resting;
pub mod rows;
pub mod units;
