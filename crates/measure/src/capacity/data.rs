//! What client connections and statements cost a proxy, and what db hosts see of many proxies: on real processes of the
//! program, between stand-ins.

mod checks;
mod clients;
mod load;
mod proxies;
mod stage;
mod statements;

use std::io;

use gradeshunt_capacity::fit::Point;
use gradeshunt_capacity::record::Series;

use super::{Measured, Scale};
use crate::Setting;

/// Measures clients, statements and what db hosts see, one after the other.
pub fn measure(scale: Scale, setting: &Setting, progress: &mut dyn FnMut(&str)) -> io::Result<Measured> {
    let mut all = Measured::default();
    for part in [clients::measure, statements::measure, proxies::measure] {
        let Measured { series, figures, counts } = part(scale, setting, progress)?;
        all.series.extend(series);
        all.figures.extend(figures);
        all.counts.extend(counts);
    }
    Ok(all)
}

/// A series through all points but the last, which is the further size.
fn series(name: &str, units: (&str, &str), how: &str, mut points: Vec<Point>) -> io::Result<Series> {
    let further = points.pop().ok_or(io::ErrorKind::InvalidInput)?;
    Series::new(name, units, how, points, further).map_err(io::Error::other)
}
