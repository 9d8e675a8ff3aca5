//! What placement comes to at the size that is designed for, as the program is built: a home holds as many connections to a db
//! host as it wants, and a connection between proxies carries one statement at a time. Arithmetic, no sockets.

use std::io;

use gradeshunt_capacity::record::{names, Figure};

use super::{Measured, Scale};
use crate::Setting;

/// Calculates placement's figures; the same at both scales, since nothing is measured on this machine.
pub fn measure(_: Scale, _: &Setting, progress: &mut dyn FnMut(&str)) -> io::Result<Measured> {
    progress("homes of all sets in all groups");
    let built = crate::placement::as_built().map_err(io::Error::other)?;
    let figure = |name: &str, value: f64, unit: &str| Figure {
        name: name.to_owned(),
        value,
        unit: unit.to_owned(),
        how: "gradeshunt-measure placement, as built: arithmetic over the assignment of crates/placement"
            .to_owned(),
    };
    let figures = vec![
        figure(names::PLACEMENT_HOST_CONNECTIONS_MEAN, built.host_mean, "connections"),
        figure(names::PLACEMENT_HOST_CONNECTIONS, built.host_most, "connections"),
        figure(names::PLACEMENT_PROXY_CONNECTIONS, built.proxy_most_unshared, "connections"),
        figure(names::PLACEMENT_NEW_CONNECTIONS_SHARE, built.new_share, "of statements"),
        figure(names::PLACEMENT_LOAD_OVER_MEAN, built.load_most, "of the group's mean"),
    ];
    Ok(Measured { figures, ..Measured::default() })
}
