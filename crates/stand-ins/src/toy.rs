//! A toy site to try gradeshunt by hand: discovery, one primary and one replica, which print what they get.

use std::io;

use crate::discovery::Discovery;
use crate::postgres::host::Host;
use crate::set::Set;
use crate::site;

/// Where the parts of the site listen.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Addresses {
    pub discovery: String,
    pub primary: String,
    pub replica: String,
}

impl Default for Addresses {
    /// Those that `examples/config.json` goes with.
    fn default() -> Self {
        let at = |port: u16| format!("127.0.0.1:{port}");
        Addresses { discovery: at(8500), primary: at(5441), replica: at(5442) }
    }
}

/// A running toy site.
pub struct Toy {
    pub discovery: Discovery,
    pub hosts: [Host; 2],
}

/// Opens the site.
///
/// # Errors
/// Where an address can't be listened at; the error names it.
pub fn open(addresses: &Addresses) -> io::Result<Toy> {
    let named = |addr: &str, e: io::Error| io::Error::new(e.kind(), format!("cannot listen at {addr}: {e}"));
    let set = Set::new(2, std::time::Duration::from_secs(2));
    let host = |addr: &str, number, name| {
        Host::open_at(addr, &set, number, true).map(|h| h.echo(name)).map_err(|e| named(addr, e))
    };
    let hosts = [host(&addresses.primary, 0, "primary")?, host(&addresses.replica, 1, "standby")?];
    let entries = vec![
        site::entry("s-1", &addresses.primary, 1, true),
        site::entry("s-2", &addresses.replica, 1, false),
    ];
    let discovery =
        Discovery::open_at(&addresses.discovery, entries).map_err(|e| named(&addresses.discovery, e))?;
    Ok(Toy { discovery, hosts })
}
