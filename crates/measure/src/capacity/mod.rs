//! Measurements of what a fleet costs.

pub mod control;
mod hollow;

use std::ops::RangeInclusive;

use clap::Args;
use gradeshunt_capacity::record::{Figure, Series};

use crate::{Report, Setting};

/// How large the sizes are.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Scale {
    Quick,
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

#[derive(Args)]
pub struct Options {
    /// Small sizes; counts alone are checked.
    #[arg(long)]
    quick: bool,
}

pub fn measure(setting: &Setting, options: &Options) -> std::io::Result<Report> {
    let scale = if options.quick { Scale::Quick } else { Scale::Whole };
    let began = std::time::Instant::now();
    let mut progress = |what: &str| eprintln!("{:>4} s: {what}", began.elapsed().as_secs());
    let Measured { series, figures, counts } = control::measure(scale, setting, &mut progress)?;
    let slope = |s: &Series| {
        let (line, check) = (s.line, s.check);
        let points = s.points.iter().chain([&check.measured]).map(|p| format!("{}: {:.4e}", p.x, p.y));
        let points = points.collect::<Vec<_>>().join(", ");
        format!(
            "{}: {:.4e} + {:.4e} x, error {:.1e}, off {:.3}; {points}",
            s.name, line.intercept, line.slope, line.slope_error, check.off
        )
    };
    let table = series.iter().map(slope);
    let table =
        table.chain(figures.iter().map(|f| format!("{}: {:.4} {}", f.name, f.value, f.unit))).collect();
    let missed = counts.iter().filter(|c| !c.expected.contains(&c.found));
    let missed = missed.map(|c| format!("{}: {} where {:?} is expected", c.what, c.found, c.expected));
    let mut missed: Vec<_> = missed.collect();
    if scale == Scale::Whole {
        missed.extend(
            series.iter().filter(|s| !s.check.holds()).map(|s| format!("{}: off {:.3}", s.name, s.check.off)),
        );
    }
    Ok(Report { table, results: vec![("counts", counts.len().to_string())], missed })
}
