//! Plays a script of the fleet rig: `gradeshunt-fleet-rig SCRIPT`, one over sites: `gradeshunt-fleet-rig --sites SCRIPT`, or
//! faults drawn by a seed with placement on: `gradeshunt-fleet-rig --placement`. Ends with status 1 where a check fails.

use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::Duration;

use clap::Parser;
use gradeshunt_fleet_rig::placement::fleet::Options;
use gradeshunt_fleet_rig::placement::report::Report;
use gradeshunt_fleet_rig::placement::roster::Shape;
use gradeshunt_fleet_rig::{event, fleet, placement, region, script};
use serde_json::Value;

/// What a busy machine may add to the wait of a request in a play with placement.
const SLACK: Duration = Duration::from_secs(1);

/// Starts a fleet of gradeshunt before stand-ins, and breaks it by a script.
#[derive(Parser)]
#[command(version, about)]
struct Arguments {
    /// The script, in protobuf's text format.
    #[arg(required_unless_present = "placement", conflicts_with = "placement")]
    script: Option<PathBuf>,
    /// The program; the one beside this one, where it is not given.
    #[arg(long)]
    program: Option<PathBuf>,
    /// It is a script over sites.
    #[arg(long)]
    sites: bool,
    /// Draws the sites and the requests.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// The proxies get no operators' file on sites; a script that waits for what a proxy says of a site waits about as long.
    #[arg(long)]
    no_plan: bool,
    /// Draws worth by second: an SVG file.
    #[arg(long)]
    plot: Option<PathBuf>,
    /// Plays faults that the seed draws, with placement on.
    #[arg(long)]
    placement: bool,
    /// The same faults with placement off.
    #[arg(long, requires = "placement")]
    no_placement: bool,
    /// Proxies of a play with placement, and their groups.
    #[arg(long, default_value_t = 24)]
    processes: usize,
    #[arg(long, default_value_t = 3)]
    groups: usize,
    /// How long clients of a play with placement wait, in milliseconds.
    #[arg(long, default_value_t = 2000)]
    wait_ms: u64,
    /// Writes the figures of a play with placement to this file.
    #[arg(long, requires = "placement")]
    json: Option<PathBuf>,
}

/// Plays it; what it came to, and whether all checks hold.
fn run(arguments: &Arguments) -> Result<(String, bool), String> {
    let beside = || std::env::current_exe().map(|me| me.with_file_name("gradeshunt"));
    let program = arguments.program.clone().map_or_else(beside, Ok).map_err(|e| e.to_string())?;
    let folder = std::env::temp_dir().join(format!("gradeshunt-fleet-{}", std::process::id()));
    let Some(file) = &arguments.script else {
        let told = play_placement(arguments, &program, &folder);
        let _ = std::fs::remove_dir_all(&folder);
        return told;
    };
    let text = read(file)?;
    let named = |e: String| format!("{}:{e}", file.display());
    let told = if arguments.sites {
        let script = event::parse(&text).map_err(named)?;
        let sites = read(&file.with_file_name(&script.sites))?;
        let mut options = region::Options::of(&program, &folder, arguments.seed);
        options.planned = !arguments.no_plan;
        let report = region::play(&script, &sites, &options).map_err(|e| e.to_string())?;
        if let Some(to) = &arguments.plot {
            report.plot(to).map_err(|e| format!("cannot draw {}: {e}", to.display()))?;
        }
        (report.table(), report.faults.is_empty())
    } else {
        let script = script::parse(&text).map_err(named)?;
        let report = fleet::play(&script, &program, &folder).map_err(|e| e.to_string())?;
        (report.to_string(), report.faults.is_empty())
    };
    let _ = std::fs::remove_dir_all(&folder);
    Ok(told)
}

/// Plays faults that the seed draws.
fn play_placement(arguments: &Arguments, program: &Path, folder: &Path) -> Result<(String, bool), String> {
    let options = Options {
        program,
        folder,
        seed: arguments.seed,
        shape: Shape { processes: arguments.processes, groups: arguments.groups },
        placement: !arguments.no_placement,
        wait: Duration::from_millis(arguments.wait_ms),
        slack: SLACK,
        drains_at_once: true,
    };
    let report = placement::play(&options).map_err(|e| e.to_string())?;
    if let Some(file) = &arguments.json {
        let text = |value: Value| format!("{value}\n");
        std::fs::write(file, text(report.json()))
            .map_err(|e| format!("cannot write {}: {e}", file.display()))?;
    }
    for (at, mark) in &report.marks {
        eprintln!("{:7.2} s  {mark}", at.as_secs_f64());
    }
    Ok((format!("{}\n{report}", Report::head()), report.faults.is_empty()))
}

fn read(file: &Path) -> Result<String, String> {
    std::fs::read_to_string(file).map_err(|e| format!("cannot read {}: {e}", file.display()))
}

fn main() -> ExitCode {
    match run(&Arguments::parse()) {
        Ok((told, holds)) => {
            print!("{told}");
            ExitCode::from(u8::from(!holds))
        }
        Err(message) => {
            eprintln!("gradeshunt-fleet-rig: {message}");
            ExitCode::FAILURE
        }
    }
}
