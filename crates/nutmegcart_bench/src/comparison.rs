//! A measured value next to the value of a baseline.

use serde::Serialize;

/// One value measured for a baseline and for the current code.
#[derive(Clone, Debug, Serialize)]
pub struct Comparison {
    /// What was measured.
    pub name: String,
    /// Unit of both values.
    pub unit: String,
    /// Value measured for, computed for or prescribed by the baseline.
    pub baseline: f64,
    /// Value of the current code.
    pub current: f64,
    /// Current divided by baseline; `None` if the baseline is zero.
    pub ratio: Option<f64>,
}

impl Comparison {
    /// Creates a comparison and computes its ratio.
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

/// Prints the comparisons as a table, or as one JSON object per line.
pub fn print(comparisons: &[Comparison], json: bool) {
    for comparison in comparisons {
        if json {
            let line = serde_json::to_string(comparison).expect("a comparison is serialisable");
            println!("{line}");
        } else {
            let ratio = comparison
                .ratio
                .map_or("-".into(), |ratio| format!("{ratio:.3}"));
            println!(
                "{:<48} {:>14.3} {:>14.3} {:>8} {}",
                comparison.name, comparison.baseline, comparison.current, ratio, comparison.unit
            );
        }
    }
}
