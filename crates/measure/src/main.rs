//! Named measurements: `gradeshunt-measure NAME` prints a table, then one line `RESULT name=value ...`, and ends with
//! status 1 where a bound is missed. Each ends within 45 s unless `--long` is given, but `capacity`, which takes up to 15
//! minutes, or 2 with `--quick`, and `growth` (70 s). `capacity --quick` is a part of CI, and no other.

mod capacity;
mod classing;
mod fleet;
mod growth;
mod placement;
mod relay;
mod upgrade;

use std::path::PathBuf;
use std::process::ExitCode;

use clap::{Parser, Subcommand};
use peak_alloc::PeakAlloc;

/// Counts what is held, for the measurements of memory.
#[global_allocator]
static HELD: PeakAlloc = PeakAlloc;

/// Measures gradeshunt on this machine, with stand-ins on loopback addresses.
#[derive(Parser)]
#[command(version, about)]
struct Arguments {
    #[command(subcommand)]
    name: Name,
    /// Take as long as it takes: more rounds, or all of them with the hard case.
    #[arg(long, global = true)]
    long: bool,
    /// The program to measure; the one beside this program, where it is not given.
    #[arg(long, global = true)]
    program: Option<PathBuf>,
}

#[derive(Subcommand)]
enum Name {
    /// Upgrades under load, with and without a disk that stands: what ends at the door.
    Upgrade(upgrade::Options),
    /// The loss of a site: each script of the fleet rig over sites, with the operators' plan and without.
    Fleet(fleet::Options),
    /// The classing of statements: time on a hit and on a miss, hit rates under floods, memory.
    Classing,
    /// Groups and homes at the size of the fleet, by arithmetic: connections, loads, moves, beside every proxy to every host.
    Placement(placement::Options),
    /// CPU of the program for each request, commented and plain, beside another program (`--baseline`).
    Relay(relay::Options),
    /// What one proxy of a large fleet spends as db hosts get more: CPU, connections. Takes 70 s.
    Growth(growth::Options),
    /// What proxies, discovery and db hosts spend, as slopes over sizes; counts alone with `--quick`.
    Capacity(capacity::Options),
}

/// What a measurement came to.
struct Report {
    /// Lines of its table.
    table: Vec<String>,
    results: Vec<(&'static str, String)>,
    /// Bounds that are missed.
    missed: Vec<String>,
}

/// What a measurement is told.
struct Setting {
    long: bool,
    program: PathBuf,
    folder: PathBuf,
}

fn run(arguments: Arguments) -> Result<Report, String> {
    let beside = || std::env::current_exe().map(|me| me.with_file_name("gradeshunt"));
    let program = arguments.program.map_or_else(beside, Ok).map_err(|e| e.to_string())?;
    let needs_program = !matches!(arguments.name, Name::Classing | Name::Placement(_));
    if needs_program && !program.exists() {
        return Err(format!("no program at {}: build it, or name it by --program", program.display()));
    }
    let folder = std::env::temp_dir().join(format!("gradeshunt-measure-{}", std::process::id()));
    let setting = Setting { long: arguments.long, program, folder };
    let report = match arguments.name {
        Name::Upgrade(options) => upgrade::measure(&setting, &options),
        Name::Fleet(options) => fleet::measure(&setting, &options),
        Name::Classing => Ok(classing::measure(&setting)),
        Name::Placement(options) => placement::measure(&setting, &options),
        Name::Relay(options) => relay::measure(&setting, &options),
        Name::Growth(options) => growth::measure(&setting, &options),
        Name::Capacity(options) => capacity::measure(&setting, &options),
    };
    let _ = std::fs::remove_dir_all(&setting.folder);
    report.map_err(|e| e.to_string())
}

fn main() -> ExitCode {
    match run(Arguments::parse()) {
        Ok(Report { table, results, missed }) => {
            table.iter().for_each(|line| println!("{line}"));
            let results: Vec<_> = results.iter().map(|(name, value)| format!("{name}={value}")).collect();
            println!("RESULT {}", results.join(" "));
            missed.iter().for_each(|what| eprintln!("missed: {what}"));
            if missed.is_empty() {
                ExitCode::SUCCESS
            } else {
                ExitCode::FAILURE
            }
        }
        Err(why) => {
            eprintln!("gradeshunt-measure: {why}");
            ExitCode::FAILURE
        }
    }
}
