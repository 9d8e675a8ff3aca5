//! A toy site to try gradeshunt by hand: discovery, one primary and one standby, all on loopback addresses.
//! README.md tells how; the addresses are those of `examples/config.json`.

use gradeshunt_stand_ins::toy::{open, Addresses};

fn main() -> std::io::Result<()> {
    let addresses = Addresses::default();
    let _site = open(&addresses)?;
    let Addresses { discovery, primary, replica } = addresses;
    println!("discovery at {discovery}, primary at {primary}, standby at {replica}; ^C ends it");
    loop {
        std::thread::park();
    }
}
