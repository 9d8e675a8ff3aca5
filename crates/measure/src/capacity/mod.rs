//! `gradeshunt-measure capacity`: what proxies, discovery and db hosts spend, as slopes over sizes. Each slope is a line
//! through at least four sizes, and has to predict one further size within 15%.
//!
//! `--quick` takes small sizes and checks counts alone (connections, messages, bytes): its times and slopes are no basis
//! for anything. All CPU is processor time, never wall-clock.

mod control;
mod data;
mod hollow;
mod output;
mod placement;
mod plot;

use std::io;
use std::ops::RangeInclusive;
use std::path::{Path, PathBuf};
use std::process::Command;
use std::time::Instant;

use clap::Args;
use gradeshunt_capacity::record::{Figure, Record, Series};

use crate::{Report, Setting};

/// How large the sizes are.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Scale {
    /// Small sizes on a build of any kind: only counts are checked.
    Quick,
    /// The sizes that the record is made of, on a release build.
    Whole,
}

/// What one part has measured.
#[derive(Default)]
pub struct Measured {
    pub series: Vec<Series>,
    pub figures: Vec<Figure>,
    pub counts: Vec<Count>,
}

/// A check on a count: connections, messages or bytes.
pub struct Count {
    pub what: String,
    pub expected: RangeInclusive<u64>,
    pub found: u64,
}

impl Count {
    fn holds(&self) -> bool {
        self.expected.contains(&self.found)
    }
}

/// Measures one part, and tells what it is at.
type Measure = fn(Scale, &Setting, &mut dyn FnMut(&str)) -> io::Result<Measured>;

/// The parts, in the order in which they are measured.
const PARTS: &[(&str, Measure)] =
    &[("control", control::measure), ("data", data::measure), ("placement", placement::measure)];

#[derive(Args)]
pub struct Options {
    /// Small sizes; counts alone are checked.
    #[arg(long)]
    quick: bool,
    /// Where the record is written, as JSON.
    #[arg(long, value_name = "FILE")]
    json: Option<PathBuf>,
    /// Where the slopes are drawn, as SVG.
    #[arg(long, value_name = "FILE.svg")]
    plot: Option<PathBuf>,
    /// The commit that the measured program was built from; the working folder's, where it is not given.
    #[arg(long)]
    commit: Option<String>,
    /// Measures one part alone.
    #[arg(long, value_name = "PART")]
    only: Option<String>,
}

pub fn measure(setting: &Setting, options: &Options) -> io::Result<Report> {
    let scale = if options.quick { Scale::Quick } else { Scale::Whole };
    let named = |name: &str| options.only.as_deref().is_none_or(|only| only == name);
    let parts: Vec<_> = PARTS.iter().filter(|(name, _)| named(name)).collect();
    if parts.is_empty() {
        return Err(io::Error::new(io::ErrorKind::InvalidInput, "--only names no part"));
    }
    let began = Instant::now();
    let mut whole = Measured::default();
    for (number, (name, measure)) in parts.iter().enumerate() {
        let mut progress = |what: &str| {
            let (number, seconds) = (number + 1, began.elapsed().as_secs());
            eprintln!("{seconds:>4} s, part {number} of {} ({name}): {what}", parts.len());
        };
        let Measured { series, figures, counts } = measure(scale, setting, &mut progress)?;
        whole.series.extend(series);
        whole.figures.extend(figures);
        whole.counts.extend(counts);
    }
    let record = Record {
        program: options.commit.clone().unwrap_or_else(checked_out),
        quick: options.quick,
        cores: std::thread::available_parallelism()?.get(),
        series: whole.series,
        figures: whole.figures,
    };
    if let Some(file) = &options.json {
        write_record(&record, file)?;
    }
    if let Some(file) = &options.plot {
        plot::draw(&record.series, file).map_err(|e| io::Error::other(e.to_string()))?;
    }
    Ok(output::report(&record, &whole.counts, began.elapsed()))
}

fn write_record(record: &Record, file: &Path) -> io::Result<()> {
    let text = serde_json::to_string_pretty(record).map_err(io::Error::other)?;
    std::fs::write(file, text + "\n")
}

/// The commit that is checked out in the working folder, with `-dirty` behind it where files differ.
fn checked_out() -> String {
    let git =
        Command::new("git").args(["describe", "--always", "--abbrev=40", "--dirty", "--exclude=*"]).output();
    let told = git.ok().filter(|told| told.status.success());
    told.map_or_else(|| "unknown".to_owned(), |told| String::from_utf8_lossy(&told.stdout).trim().to_owned())
}
