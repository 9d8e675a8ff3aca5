//! Plays a script of the fleet rig: `gradeshunt-fleet-rig SCRIPT --program FILE`. Ends with status 1 where a check fails.

use std::path::PathBuf;
use std::process::ExitCode;

use clap::Parser;
use gradeshunt_fleet_rig::{fleet, script};

/// Starts a fleet of gradeshunt before stand-ins, and breaks it by a script.
#[derive(Parser)]
#[command(version, about)]
struct Arguments {
    /// The script, in protobuf's text format.
    script: PathBuf,
    /// The program; the one beside this one, where it is not given.
    #[arg(long)]
    program: Option<PathBuf>,
}

fn run(arguments: Arguments) -> Result<fleet::Report, String> {
    let text = std::fs::read_to_string(&arguments.script)
        .map_err(|e| format!("cannot read {}: {e}", arguments.script.display()))?;
    let script = script::parse(&text).map_err(|e| format!("{}: {e}", arguments.script.display()))?;
    let beside = || std::env::current_exe().map(|me| me.with_file_name("gradeshunt"));
    let program = arguments.program.map_or_else(beside, Ok).map_err(|e| e.to_string())?;
    let folder = std::env::temp_dir().join(format!("gradeshunt-fleet-{}", std::process::id()));
    let report = fleet::play(&script, &program, &folder).map_err(|e| e.to_string());
    let _ = std::fs::remove_dir_all(&folder);
    report
}

fn main() -> ExitCode {
    match run(Arguments::parse()) {
        Ok(report) => {
            print!("{report}");
            ExitCode::from(u8::from(!report.faults.is_empty()))
        }
        Err(message) => {
            eprintln!("gradeshunt-fleet-rig: {message}");
            ExitCode::FAILURE
        }
    }
}
