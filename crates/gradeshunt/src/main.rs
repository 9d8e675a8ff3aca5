//! The program's arguments and exit code; all else is the library's.

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
