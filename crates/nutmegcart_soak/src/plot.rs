//! A picture of a run: its faults as bars, broken promises as red lines.

use std::error::Error;
use std::path::Path;

use plotters::prelude::*;

use crate::schedule::Kind;
use crate::soak::Report;

/// Result of drawing.
pub type Result<T> = std::result::Result<T, Box<dyn Error>>;

/// Width of the picture in pixels.
const WIDTH: u32 = 1_000;
/// Height of the picture in pixels.
const HEIGHT: u32 = 500;

/// Draws a run as an SVG file.
///
/// Pauses and ends of instances are blue, faults of the store orange, and faults of workers green.
///
/// # Errors
///
/// Fails if the file cannot be written.
pub fn draw(report: &Report, path: &Path) -> Result<()> {
    let root = SVGBackend::new(path, (WIDTH, HEIGHT)).into_drawing_area();
    root.fill(&WHITE)?;
    let rows = report.timeline.len().max(1) as f64;
    let mut chart = ChartBuilder::on(&root)
        .margin(10)
        .caption(format!("seed {}", report.seed), ("sans-serif", 18))
        .x_label_area_size(30)
        .build_cartesian_2d(0.0..report.seconds, 0.0..rows)?;
    chart
        .configure_mesh()
        .disable_y_mesh()
        .disable_y_axis()
        .x_desc("seconds")
        .draw()?;
    let seconds = |millis: u64| millis as f64 / 1_000.0;
    for (number, (from, until, fault)) in report.timeline.iter().enumerate() {
        let colour = match fault.kind {
            Kind::Pause(_)
            | Kind::Kill(_)
            | Kind::Terminate(_)
            | Kind::Reload(_)
            | Kind::Configure
            | Kind::Reset(_) => BLUE,
            Kind::Store(..) | Kind::WholeStore(..) | Kind::Forget => RGBColor(230, 140, 0),
            Kind::Worker(..) | Kind::Crash(_) | Kind::Leave(_) | Kind::Partition(..) => GREEN,
        };
        let (low, high) = (number as f64 + 0.1, number as f64 + 0.9);
        let corners = [(seconds(*from), low), (seconds(*until) + 0.05, high)];
        chart.draw_series([Rectangle::new(corners, colour.mix(0.4).filled())])?;
        let text = fault.kind.to_string();
        let style = ("sans-serif", 11).into_font();
        chart.draw_series([Text::new(text, (seconds(*from), high), style)])?;
    }
    for broken in &report.broken {
        let x = seconds(broken.at_ms);
        chart.draw_series(LineSeries::new([(x, 0.0), (x, rows)], RED))?;
        let style = ("sans-serif", 11).into_font().color(&RED);
        chart.draw_series([Text::new(broken.promise, (x, rows), style)])?;
    }
    root.present()?;
    Ok(())
}
