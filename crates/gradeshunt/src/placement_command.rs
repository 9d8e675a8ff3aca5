//! `gradeshunt placement`: prints the groups of the fleet in the operators' file, with the homes, loads and
//! connections of each.

use std::fmt::Write as _;
use std::io::Write as _;
use std::path::PathBuf;

use clap::Args;
use gradeshunt_placement::{Fleet, Group, Homes, Member};

/// Options of `gradeshunt placement`.
#[derive(Args, Debug)]
pub struct Options {
    /// The operators' file on placement.
    file: PathBuf,
    /// Connections that a db host supports from the whole fleet.
    #[arg(long, default_value_t = 128)]
    host_connections: u32,
}

/// Prints the groups.
///
/// # Errors
/// If the file can't be read or describes no valid placement, or standard output can't be written.
pub fn print_groups(options: &Options) -> Result<(), String> {
    let file = options.file.display().to_string();
    let text =
        std::fs::read_to_string(&options.file).map_err(|error| format!("cannot read {file}: {error}"))?;
    let fleet = Fleet::parse(&file, &text).map_err(|error| error.to_string())?;
    let output: String =
        fleet.groups().iter().map(|group| table(&fleet, group, options.host_connections)).collect();
    match std::io::stdout().write_all(output.as_bytes()) {
        // The reader has closed the pipe.
        Err(error) if error.kind() != std::io::ErrorKind::BrokenPipe => {
            Err(format!("cannot write standard output: {error}"))
        }
        _ => Ok(()),
    }
}

/// Formats a group's proxies, then its sets.
fn table(fleet: &Fleet, group: &Group, host_connections: u32) -> String {
    let homes = fleet.homes(group);
    let mut lines = format!("group {}: {} proxies\n", group.id, group.proxies.len());
    for (place, proxy) in (0..).zip(&group.proxies) {
        let address = proxy.address.map_or_else(|| "-".to_owned(), |address| address.to_string());
        let (load, sets) = (homes.relative_load(Member(place)), homes.sets_at(Member(place)));
        // Writing to a String can't fail.
        let _ = writeln!(lines, "  proxy {:<20} {address:<24} load {load:.2} sets {sets:.2}", proxy.name);
    }
    let budget = fleet.budget(group);
    for (cluster, parts) in homes.parts() {
        for (part, list) in (0..).zip(parts) {
            let connections =
                budget.connections(cluster, part, host_connections, fleet.sets(), fleet.settings());
            let (of, names) = (parts.len(), names(&homes, list));
            let _ = writeln!(
                lines,
                "  set {cluster} part {} of {of}: {names}; connections to each host {connections}",
                part + 1
            );
        }
    }
    lines
}

fn names(homes: &Homes, list: &[Member]) -> String {
    let name = |member: &Member| homes.names().get(member.0 as usize).map_or("-", String::as_str);
    list.iter().map(name).collect::<Vec<_>>().join(", ")
}
