//! A soak test over real processes: gradeshunt under seeded faults that overlap in time, on real sockets, judged by the rules.

pub mod shim;
