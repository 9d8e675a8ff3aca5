//! `gradeshunt-soak`: plays seeds of the soak test.

fn main() {}
