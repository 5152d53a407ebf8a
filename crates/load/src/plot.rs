//! Line plots as SVG files.

use crate::report::{ExperimentReport, ReportSeries};
use plotters::prelude::*;
use std::path::Path;

const SIZE_PX: (u32, u32) = (900, 540);
const MARGIN_PX: u32 = 16;
const LABEL_AREA_PX: u32 = 56;

/// Writes the series of a report as an SVG plot.
///
/// # Errors
///
/// When the file cannot be written.
pub fn write_plot(report: &ExperimentReport, path: &Path) -> anyhow::Result<()> {
    let draw = || draw_plot(report, path).map_err(|error| anyhow::anyhow!("{error}"));
    draw().map_err(|error| error.context(format!("cannot write the plot {}", path.display())))
}

fn draw_plot(report: &ExperimentReport, path: &Path) -> Result<(), Box<dyn std::error::Error>> {
    let root = SVGBackend::new(path, SIZE_PX).into_drawing_area();
    root.fill(&WHITE)?;
    let (x_range, y_range) = ranges(&report.series);
    let mut chart = ChartBuilder::on(&root)
        .margin(MARGIN_PX)
        .caption(&report.title, ("sans-serif", 18))
        .x_label_area_size(LABEL_AREA_PX)
        .y_label_area_size(LABEL_AREA_PX)
        .build_cartesian_2d(x_range, y_range)?;
    chart.configure_mesh().x_desc(&report.axes.0).y_desc(&report.axes.1).draw()?;
    for (index, series) in report.series.iter().enumerate() {
        let color = Palette99::pick(index).to_rgba();
        let line = LineSeries::new(series.points.iter().copied(), color.stroke_width(2));
        let legend = move |(x, y)| PathElement::new([(x, y), (x + 18, y)], color.stroke_width(2));
        chart.draw_series(line)?.label(&series.name).legend(legend);
    }
    chart.configure_series_labels().background_style(WHITE.mix(0.8)).border_style(BLACK).draw()?;
    root.present()?;
    Ok(())
}

fn ranges(series: &[ReportSeries]) -> (std::ops::Range<f64>, std::ops::Range<f64>) {
    let points = || series.iter().flat_map(|series| &series.points);
    let min_x = points().map(|point| point.0).fold(f64::INFINITY, f64::min);
    let max_x = points().map(|point| point.0).fold(f64::NEG_INFINITY, f64::max);
    let max_y = points().map(|point| point.1).fold(f64::NEG_INFINITY, f64::max);
    if !min_x.is_finite() {
        return (0.0..1.0, 0.0..1.0);
    }
    (min_x..max_x.max(min_x + f64::EPSILON), 0.0..(max_y * 1.05).max(f64::EPSILON))
}
