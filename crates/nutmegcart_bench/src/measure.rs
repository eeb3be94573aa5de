//! One measured figure with its baseline.

use serde::Serialize;

/// A figure of the present code next to that of a baseline.
#[derive(Clone, Debug, Serialize)]
pub struct Measure {
    /// What was measured.
    pub name: String,
    /// Unit of both figures.
    pub unit: String,
    /// Figure of the baseline.
    pub baseline: f64,
    /// Figure of the present code.
    pub current: f64,
    /// Current divided by baseline; none if the baseline is zero.
    pub ratio: Option<f64>,
}

impl Measure {
    /// Creates a measure and its ratio.
    pub fn new(name: impl Into<String>, unit: &str, baseline: f64, current: f64) -> Self {
        let ratio = (baseline != 0.0).then(|| current / baseline);
        Self {
            name: name.into(),
            unit: unit.into(),
            baseline,
            current,
            ratio,
        }
    }
}

/// Prints the measures as a table, or as one JSON object a line.
pub fn print(measures: &[Measure], json: bool) {
    for measure in measures {
        if json {
            let line = serde_json::to_string(measure).expect("a measure is serialisable");
            println!("{line}");
        } else {
            let ratio = measure
                .ratio
                .map_or("-".into(), |ratio| format!("{ratio:.3}"));
            println!(
                "{:<48} {:>14.3} {:>14.3} {:>8} {}",
                measure.name, measure.baseline, measure.current, ratio, measure.unit
            );
        }
    }
}
