//! Parses the program's arguments and sets its exit code; everything else is in the library.

use std::process::ExitCode;

use clap::Parser;

fn main() -> ExitCode {
    match gradeshunt::run(gradeshunt::Arguments::parse()) {
        Ok(code) => code,
        Err(message) => {
            eprintln!("gradeshunt: {message}");
            ExitCode::FAILURE
        }
    }
}
