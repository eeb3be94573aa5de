//! A cost measured at several sizes, with a straight line through the points.

use serde::Serialize;

/// A cost that grows with a size.
#[derive(Clone, Debug, Serialize)]
pub struct Slope {
    /// What was measured.
    pub name: String,
    /// Unit of the cost.
    pub unit: String,
    /// Unit of the size.
    pub per: String,
    /// Measured points, size and cost.
    pub points: Vec<(f64, f64)>,
    /// Cost at size zero according to the fit.
    pub fixed: f64,
    /// Cost of one more unit of size according to the fit.
    pub each: f64,
    /// Size to come.
    pub target: f64,
    /// Cost at the size to come according to the fit.
    pub expected: f64,
}

impl Slope {
    /// Fits a straight line by least squares and evaluates it at the size to come.
    pub fn fit(name: &str, unit: &str, per: &str, points: Vec<(f64, f64)>, target: f64) -> Self {
        let count = points.len() as f64;
        let mean =
            |value: &dyn Fn(&(f64, f64)) -> f64| points.iter().map(value).sum::<f64>() / count;
        let (x, y) = (mean(&|point| point.0), mean(&|point| point.1));
        let covariance = mean(&|point| (point.0 - x) * (point.1 - y));
        let variance = mean(&|point| (point.0 - x) * (point.0 - x));
        let each = if variance > 0.0 {
            covariance / variance
        } else {
            0.0
        };
        let fixed = y - each * x;
        Self {
            name: name.into(),
            unit: unit.into(),
            per: per.into(),
            points,
            fixed,
            each,
            target,
            expected: fixed + each * target,
        }
    }
}

/// Prints the slopes as a table, or as one JSON object a line.
pub fn print(slopes: &[Slope], json: bool) {
    for slope in slopes {
        if json {
            let line = serde_json::to_string(slope).expect("a slope is serialisable");
            println!("{line}");
            continue;
        }
        let points: Vec<String> = slope
            .points
            .iter()
            .map(|(size, cost)| format!("{size:.0}: {cost:.1}"))
            .collect();
        println!(
            "{:<44} {:>10.2} + {:>9.4} per {:<10} at {:>6.0}: {:>12.1} {} ({})",
            slope.name,
            slope.fixed,
            slope.each,
            slope.per,
            slope.target,
            slope.expected,
            slope.unit,
            points.join(", "),
        );
    }
}
