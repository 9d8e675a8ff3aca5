//! A drawing of all slopes: the points that each line is fitted to, the line, and the further size.

use std::error::Error;
use std::path::Path;

use gradeshunt_capacity::record::Series;
use plotters::prelude::*;

/// Charts beside each other, and the size of one in pixels.
const COLUMNS: usize = 3;
const CHART: (u32, u32) = (420, 280);

/// Draws each series as a chart of its own into one SVG file.
pub fn draw(series: &[Series], file: &Path) -> Result<(), Box<dyn Error>> {
    let rows = series.len().div_ceil(COLUMNS).max(1);
    let size = (CHART.0 * COLUMNS as u32, CHART.1 * rows as u32);
    let root = SVGBackend::new(file, size).into_drawing_area();
    root.fill(&WHITE)?;
    for (area, series) in root.split_evenly((rows, COLUMNS)).iter().zip(series) {
        draw_one(series, area)?;
    }
    root.present()?;
    Ok(())
}

fn draw_one(
    series: &Series,
    area: &DrawingArea<SVGBackend, plotters::coord::Shift>,
) -> Result<(), Box<dyn Error>> {
    let Series { name, x_unit, y_unit, points, line, check, .. } = series;
    let measured = check.measured;
    let highest = |values: &mut dyn Iterator<Item = f64>| values.fold(0.0_f64, f64::max);
    let widest = highest(&mut points.iter().map(|p| p.x).chain([measured.x])) * 1.05;
    let top =
        highest(&mut points.iter().map(|p| p.y).chain([measured.y, check.predicted, line.at(0.0)])) * 1.1;
    let (widest, top) = (widest.max(f64::MIN_POSITIVE), top.max(f64::MIN_POSITIVE));
    // A falling line may end below zero.
    let bottom = line.at(widest).min(line.at(0.0)).min(0.0);
    let held = if check.holds() { "held" } else { "MISSED" };
    let caption = format!("{name}: {:.1}% off, {held}", check.off * 100.0);
    let mut chart = ChartBuilder::on(area)
        .caption(caption, ("sans-serif", 14))
        .margin(6)
        .x_label_area_size(34)
        .y_label_area_size(64)
        .build_cartesian_2d(0.0..widest, bottom..top)?;
    chart
        .configure_mesh()
        .x_desc(x_unit)
        .y_desc(y_unit)
        .x_labels(6)
        .y_labels(5)
        .y_label_formatter(&|y| if top < 0.01 { format!("{y:.1e}") } else { format!("{y}") })
        .draw()?;
    chart.draw_series(LineSeries::new([(0.0, line.at(0.0)), (widest, line.at(widest))], &BLUE))?;
    chart.draw_series(points.iter().map(|p| Circle::new((p.x, p.y), 3, BLACK.filled())))?;
    chart.draw_series([Circle::new((measured.x, measured.y), 4, RED.stroke_width(2))])?;
    Ok(())
}
