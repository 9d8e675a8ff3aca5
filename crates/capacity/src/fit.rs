//! A straight line through measured points, by least squares.

use serde::{Deserialize, Serialize};

/// The fewest sizes that a slope may be fitted to.
pub const FEWEST_POINTS: usize = 4;

/// One measured point: a size, and what it cost.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Point {
    /// The size, in the unit of its series' x axis.
    pub x: f64,
    /// What was measured there, in the unit of its series' y axis.
    pub y: f64,
}

/// A fitted line, `y = intercept + slope * x`.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Line {
    /// Units of y for each unit of x.
    pub slope: f64,
    /// The value at x = 0.
    pub intercept: f64,
    /// The standard error of the slope, in its unit.
    pub slope_error: f64,
    /// The root of the mean squared distance of the points from the line, in units of y.
    pub residual: f64,
}

/// Why no line can be fitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FitError {
    /// Fewer than [`FEWEST_POINTS`] points.
    TooFewPoints,
    /// All points have the same x.
    OneSize,
    /// A coordinate is not a finite number.
    NotFinite,
}

impl std::fmt::Display for FitError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            FitError::TooFewPoints => "a line needs at least four points",
            FitError::OneSize => "a line needs points of several sizes",
            FitError::NotFinite => "a point is not a finite number",
        })
    }
}

impl std::error::Error for FitError {}

impl Line {
    /// Fits a line to `points` by ordinary least squares.
    ///
    /// # Errors
    ///
    /// See [`FitError`].
    pub fn fit(points: &[Point]) -> Result<Line, FitError> {
        if points.len() < FEWEST_POINTS {
            return Err(FitError::TooFewPoints);
        }
        if points.iter().any(|p| !p.x.is_finite() || !p.y.is_finite()) {
            return Err(FitError::NotFinite);
        }
        let count = points.len() as f64;
        let mean_x = points.iter().map(|p| p.x).sum::<f64>() / count;
        let mean_y = points.iter().map(|p| p.y).sum::<f64>() / count;
        let spread = points.iter().map(|p| (p.x - mean_x).powi(2)).sum::<f64>();
        if spread == 0.0 {
            return Err(FitError::OneSize);
        }
        let common = points.iter().map(|p| (p.x - mean_x) * (p.y - mean_y)).sum::<f64>();
        let slope = common / spread;
        let intercept = mean_y - slope * mean_x;
        let squares = points.iter().map(|p| (p.y - intercept - slope * p.x).powi(2)).sum::<f64>();
        // Two degrees of freedom are spent on the line itself.
        let slope_error = (squares / (count - 2.0) / spread).sqrt();
        Ok(Line { slope, intercept, slope_error, residual: (squares / count).sqrt() })
    }

    /// The value that the line gives at `x`.
    pub fn at(&self, x: f64) -> f64 {
        self.intercept + self.slope * x
    }
}
