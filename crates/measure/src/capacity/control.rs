//! What control costs: a proxy's list of db hosts, its changes and restarts, and what proxies cost discovery.
//!
//! Hollow proxies ([`super::hollow`]) stand for a thousand and more of them; real processes tell what a whole proxy holds
//! and spends, and how far a hollow one does the same.

mod account;
mod bench;
mod discovery;
mod lists;
mod real;
mod sizes;

use std::io;

use gradeshunt_capacity::fit::Point;
use gradeshunt_capacity::record::{Figure, Series};

use super::{Measured, Scale};
use crate::Setting;
use sizes::Sizes;

/// Measures all of it, and tells what it is at.
///
/// # Errors
///
/// Where the system gives no sockets or processes, or what is awaited does not come.
pub fn measure(scale: Scale, setting: &Setting, progress: &mut dyn FnMut(&str)) -> io::Result<Measured> {
    let sizes = Sizes::of(scale);
    let folder = setting.folder.join("hollow");
    let mut whole = Measured::default();
    // First, as memory that this process has held and given back would hide what hollow proxies take.
    whole.extend(real::beside(&sizes, setting, progress)?);
    whole.extend(real::by_hosts(&sizes, setting, progress)?);
    whole.extend(lists::by_hosts(&sizes, &folder, progress)?);
    whole.extend(lists::by_changes(&sizes, &folder, progress)?);
    whole.extend(discovery::by_proxies(&sizes, &folder, progress)?);
    Ok(whole)
}

impl Measured {
    fn extend(&mut self, more: Measured) {
        self.series.extend(more.series);
        self.figures.extend(more.figures);
        self.counts.extend(more.counts);
    }
}

fn point(size: usize, cost: f64) -> Point {
    Point { x: size as f64, y: cost }
}

/// The least value: what else the machine does adds to processor time, by its caches, and takes nothing away.
fn least(values: &[f64]) -> f64 {
    values.iter().copied().fold(f64::INFINITY, f64::min)
}

/// The value in the middle.
fn median(mut values: Vec<f64>) -> f64 {
    values.sort_by(f64::total_cmp);
    values.get(values.len() / 2).copied().unwrap_or_default()
}

/// A slope through all points but the last, which it has to predict.
fn series(name: &str, units: (&str, &str), how: &str, mut points: Vec<Point>) -> io::Result<Series> {
    let further = points.pop().ok_or_else(|| io::Error::other(format!("{name}: no point")))?;
    Series::new(name, units, how, points, further).map_err(|e| io::Error::other(format!("{name}: {e}")))
}

fn figure(name: &str, value: f64, unit: &str, how: &str) -> Figure {
    Figure { name: name.to_owned(), value, unit: unit.to_owned(), how: how.to_owned() }
}
