//! Printed lines, CSV table and plots of the comparisons.

use std::path::Path;

use plotters::prelude::BLACK;
use plotters::prelude::BLUE;
use plotters::prelude::ChartBuilder;
use plotters::prelude::Circle;
use plotters::prelude::Color;
use plotters::prelude::IntoDrawingArea;
use plotters::prelude::LineSeries;
use plotters::prelude::RED;
use plotters::prelude::SVGBackend;
use plotters::prelude::WHITE;

use crate::compare::Comparison;
use crate::errors::Error;
use crate::errors::Result;

const MINUTE_MS: u64 = 60_000;
const PLOT_SIZE: (u32, u32) = (1_200, 480);

/// Returns a printed line for each measure of a comparison, and one for the idle floor.
pub fn printed_lines(comparison: &Comparison) -> Vec<String> {
    let deployment = &comparison.deployment;
    let case = comparison.case.as_str();
    let mut lines: Vec<String> = comparison
        .lines()
        .iter()
        .map(|line| {
            format!(
                "measure={} deployment={deployment} case={case} baseline={:.4} chosen={:.4} \
                 ratio={:.3} baseline_timeout_min={}",
                line.measure,
                line.baseline,
                line.chosen,
                line.ratio(),
                line.timeout_ms / MINUTE_MS,
            )
        })
        .collect();
    lines.push(format!(
        "floor=idle_accelerator_hours deployment={deployment} case={case} value={:.4}",
        comparison.idle_floor_hours,
    ));
    lines
}

/// Writes each measure of each run as a row of a CSV file.
///
/// # Errors
///
/// [`Error::Unwritable`] if the file can't be written.
pub fn write_csv(path: &Path, comparisons: &[Comparison]) -> Result<()> {
    let mut writer = csv::Writer::from_path(path).map_err(unwritable)?;
    writer
        .write_record([
            "deployment",
            "case",
            "policies",
            "timeout_min",
            "measure",
            "value",
        ])
        .map_err(unwritable)?;
    for comparison in comparisons {
        let chosen = std::iter::once(("chosen", String::new(), &comparison.chosen));
        let baselines = comparison.baselines.iter().map(|(timeout_ms, results)| {
            ("baseline", (timeout_ms / MINUTE_MS).to_string(), results)
        });
        for (policies, timeout, results) in chosen.chain(baselines) {
            for (measure, value) in results.entries() {
                writer
                    .write_record([
                        &comparison.deployment,
                        comparison.case.as_str(),
                        policies,
                        &timeout,
                        measure,
                        &format!("{value:.4}"),
                    ])
                    .map_err(unwritable)?;
            }
        }
    }
    writer.flush().map_err(unwritable)
}

/// Plots the p99 of cold starts and the share of met targets over idle hours. The baseline is a
/// line over its idle timeouts, the default policies are a point.
///
/// # Errors
///
/// [`Error::Unwritable`] if the file can't be written.
pub fn write_plot(path: &Path, comparison: &Comparison) -> Result<()> {
    let root = SVGBackend::new(path, PLOT_SIZE).into_drawing_area();
    root.fill(&WHITE).map_err(unwritable)?;
    let (left, right) = root.split_horizontally(PLOT_SIZE.0 / 2);
    draw(&left, comparison, "cold_start_p99_ms")?;
    draw(&right, comparison, "met_share")?;
    root.present().map_err(unwritable)
}

fn draw(
    area: &plotters::prelude::DrawingArea<SVGBackend<'_>, plotters::coord::Shift>,
    comparison: &Comparison,
    measure: &str,
) -> Result<()> {
    const IDLE: &str = "idle_accelerator_hours";
    let mut line: Vec<(f64, f64)> = comparison
        .baselines
        .iter()
        .map(|(_, results)| (results.get(IDLE), results.get(measure)))
        .collect();
    line.sort_by(|one, other| one.0.total_cmp(&other.0));
    let point = (comparison.chosen.get(IDLE), comparison.chosen.get(measure));
    let all = || line.iter().chain(std::iter::once(&point));
    let max_x = all().map(|(x, _)| *x).fold(1.0, f64::max) * 1.05;
    let max_y = all().map(|(_, y)| *y).fold(f64::MIN, f64::max);
    let min_y = all().map(|(_, y)| *y).fold(f64::MAX, f64::min);
    let margin = ((max_y - min_y) * 0.05).max(1e-6);
    let caption = format!(
        "{} {}: {measure} over {IDLE} (line: fixed timeouts, point: chosen)",
        comparison.deployment,
        comparison.case.as_str(),
    );
    let mut chart = ChartBuilder::on(area)
        .margin(10)
        .caption(caption, ("sans-serif", 13))
        .x_label_area_size(30)
        .y_label_area_size(70)
        .build_cartesian_2d(0.0..max_x, min_y - margin..max_y + margin)
        .map_err(unwritable)?;
    chart.configure_mesh().draw().map_err(unwritable)?;
    chart
        .draw_series(LineSeries::new(line.iter().copied(), &BLUE))
        .map_err(unwritable)?;
    chart
        .draw_series(line.iter().map(|at| Circle::new(*at, 3, BLACK.filled())))
        .map_err(unwritable)?;
    chart
        .draw_series(std::iter::once(Circle::new(point, 6, RED.filled())))
        .map_err(unwritable)?;
    Ok(())
}

fn unwritable(error: impl std::fmt::Display) -> Error {
    Error::Unwritable(error.to_string())
}
