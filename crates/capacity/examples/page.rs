//! Writes the generated blocks of a page anew from a record.
//!
//!     cargo run --locked -p gradeshunt-capacity --example page -- RECORD.json PAGE.md

use std::error::Error;
use std::process::ExitCode;

use gradeshunt_capacity::page;
use gradeshunt_capacity::record::Record;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let [record, page] = arguments.as_slice() else {
        eprintln!("usage: page RECORD.json PAGE.md");
        return ExitCode::from(2);
    };
    match rewrite(record, page) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::FAILURE
        }
    }
}

fn rewrite(record: &str, page: &str) -> Result<(), Box<dyn Error>> {
    let record: Record = serde_json::from_str(&std::fs::read_to_string(record)?)?;
    let text = page::regenerate(&std::fs::read_to_string(page)?, &record)?;
    Ok(std::fs::write(page, text)?)
}
