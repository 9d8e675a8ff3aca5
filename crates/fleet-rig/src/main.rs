//! Plays a script of the fleet rig: `gradeshunt-fleet-rig SCRIPT`, or one over sites: `gradeshunt-fleet-rig --sites SCRIPT`. Ends
//! with status 1 where a check fails.

use std::path::{Path, PathBuf};
use std::process::ExitCode;

use clap::Parser;
use gradeshunt_fleet_rig::{event, fleet, region, script};

/// Starts a fleet of gradeshunt before stand-ins, and breaks it by a script.
#[derive(Parser)]
#[command(version, about)]
struct Arguments {
    /// The script, in protobuf's text format.
    script: PathBuf,
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
}

/// Plays it; what it came to, and whether all checks hold.
fn run(arguments: &Arguments) -> Result<(String, bool), String> {
    let text = read(&arguments.script)?;
    let beside = || std::env::current_exe().map(|me| me.with_file_name("gradeshunt"));
    let program = arguments.program.clone().map_or_else(beside, Ok).map_err(|e| e.to_string())?;
    let folder = std::env::temp_dir().join(format!("gradeshunt-fleet-{}", std::process::id()));
    let named = |e: String| format!("{}:{e}", arguments.script.display());
    let told = if arguments.sites {
        let script = event::parse(&text).map_err(named)?;
        let sites = read(&arguments.script.with_file_name(&script.sites))?;
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
