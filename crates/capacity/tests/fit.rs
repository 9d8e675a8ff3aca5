//! The fit of measured slopes, and the check against a further size.

use gradeshunt_capacity::fit::{FitError, Line, Point};
use gradeshunt_capacity::record::{names, Record, Series};

fn points(values: &[(f64, f64)]) -> Vec<Point> {
    values.iter().map(|&(x, y)| Point { x, y }).collect()
}

#[test]
fn line_through_exact_points_has_no_error() {
    let line = Line::fit(&points(&[(0.0, 5.0), (10.0, 25.0), (20.0, 45.0), (40.0, 85.0)])).expect("a line");
    assert!((line.slope - 2.0).abs() < 1e-9 && (line.intercept - 5.0).abs() < 1e-9);
    assert!(line.slope_error < 1e-9 && line.residual < 1e-9);
    assert!((line.at(100.0) - 205.0).abs() < 1e-9);
}

/// The values of the slope, the intercept and the standard error were worked out by hand.
#[test]
fn scattered_points_give_the_standard_error() {
    let line = Line::fit(&points(&[(1.0, 1.0), (2.0, 3.0), (3.0, 2.0), (4.0, 4.0)])).expect("a line");
    assert!((line.slope - 0.8).abs() < 1e-9 && (line.intercept - 0.5).abs() < 1e-9);
    assert!((line.slope_error - (0.9f64 / 5.0).sqrt()).abs() < 1e-9, "{}", line.slope_error);
    assert!((line.residual - 0.45f64.sqrt()).abs() < 1e-9);
}

#[test]
fn what_no_line_can_be_fitted_to_is_an_error() {
    let few = points(&[(1.0, 1.0), (2.0, 2.0), (3.0, 3.0)]);
    assert_eq!(Line::fit(&few), Err(FitError::TooFewPoints));
    let one_size = points(&[(1.0, 1.0), (1.0, 2.0), (1.0, 3.0), (1.0, 4.0)]);
    assert_eq!(Line::fit(&one_size), Err(FitError::OneSize));
    let infinite = points(&[(1.0, 1.0), (2.0, f64::INFINITY), (3.0, 3.0), (4.0, 4.0)]);
    assert_eq!(Line::fit(&infinite), Err(FitError::NotFinite));
}

#[test]
fn further_size_is_predicted_within_the_bound_or_not() {
    let straight = points(&[(0.0, 0.0), (10.0, 10.0), (20.0, 20.0), (30.0, 30.0)]);
    let series = |y| {
        let further = Point { x: 100.0, y };
        Series::new(names::LIST_BYTES_BY_HOSTS, ("db hosts", "bytes"), "", straight.clone(), further)
            .expect("a series")
    };
    assert!(series(100.0).check.holds() && series(116.0).check.holds());
    assert!(!series(120.0).check.holds() && !series(80.0).check.holds() && !series(0.0).check.holds());
}

#[test]
fn record_survives_the_file() {
    let straight = points(&[(0.0, 0.0), (10.0, 10.5), (20.0, 20.0), (30.0, 30.0)]);
    let series = |y| {
        let further = Point { x: 100.0, y };
        Series::new(names::LIST_BYTES_BY_HOSTS, ("db hosts", "bytes"), "so", straight.clone(), further)
            .expect("a series")
    };
    // Where nothing was measured, the prediction is off without bound.
    let series = vec![series(99.0), series(0.0)];
    let record = Record { program: "abc".into(), cores: 8, series, ..Record::default() };
    let text = serde_json::to_string(&record).expect("JSON");
    let read: Record = serde_json::from_str(&text).expect("the same record");
    assert_eq!(read, record);
    assert!(read.series(names::LIST_BYTES_BY_HOSTS).is_some() && read.series("other").is_none());
}
