//! A cost measured at several sizes, with a straight line fitted to the points.

use serde::Serialize;

/// A cost as a linear function of a size, such as the number of instances.
#[derive(Clone, Debug, Serialize)]
pub struct LinearFit {
    /// What was measured.
    pub name: String,
    /// Unit of the cost.
    pub unit: String,
    /// Unit of the size.
    #[serde(rename = "per")]
    pub size_unit: String,
    /// Measured points: size and cost.
    pub points: Vec<(f64, f64)>,
    /// Cost at size zero according to the fit.
    #[serde(rename = "fixed")]
    pub intercept: f64,
    /// Cost of one more unit of size according to the fit.
    #[serde(rename = "each")]
    pub slope: f64,
    /// Size for which capacity is planned.
    #[serde(rename = "target")]
    pub target_size: f64,
    /// Cost at the target size according to the fit.
    pub expected: f64,
}

impl LinearFit {
    /// Fits a straight line by least squares and evaluates it at the target size.
    pub fn fit(
        name: &str,
        unit: &str,
        size_unit: &str,
        points: Vec<(f64, f64)>,
        target_size: f64,
    ) -> Self {
        let count = points.len() as f64;
        let mean =
            |value: &dyn Fn(&(f64, f64)) -> f64| points.iter().map(value).sum::<f64>() / count;
        let (x, y) = (mean(&|point| point.0), mean(&|point| point.1));
        let covariance = mean(&|point| (point.0 - x) * (point.1 - y));
        let variance = mean(&|point| (point.0 - x) * (point.0 - x));
        let slope = if variance > 0.0 {
            covariance / variance
        } else {
            0.0
        };
        let intercept = y - slope * x;
        Self {
            name: name.into(),
            unit: unit.into(),
            size_unit: size_unit.into(),
            points,
            intercept,
            slope,
            target_size,
            expected: intercept + slope * target_size,
        }
    }
}

/// Prints the fits as a table, or as one JSON object per line.
pub fn print(fits: &[LinearFit], json: bool) {
    for fit in fits {
        if json {
            let line = serde_json::to_string(fit).expect("a linear fit is serialisable");
            println!("{line}");
            continue;
        }
        let points: Vec<String> = fit
            .points
            .iter()
            .map(|(size, cost)| format!("{size:.0}: {cost:.1}"))
            .collect();
        println!(
            "{:<44} {:>10.2} + {:>9.4} per {:<10} at {:>6.0}: {:>12.1} {} ({})",
            fit.name,
            fit.intercept,
            fit.slope,
            fit.size_unit,
            fit.target_size,
            fit.expected,
            fit.unit,
            points.join(", "),
        );
    }
}
