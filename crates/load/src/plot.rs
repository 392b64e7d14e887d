//! Plots of a run: outcomes and tail latency in each second, and the latency of each class.

use std::path::Path;

use derive_more::{Display, Error};
use plotters::backend::SVGBackend;
use plotters::chart::{ChartBuilder, SeriesLabelPosition};
use plotters::coord::Shift;
use plotters::drawing::{DrawingArea, IntoDrawingArea};
use plotters::element::PathElement;
use plotters::prelude::IntoLogRange;
use plotters::series::LineSeries;
use plotters::style::{BLACK, BLUE, Color, GREEN, MAGENTA, RED, RGBColor, WHITE};

use crate::measure::{Measures, Second, Summary};

const WIDTH: u32 = 960;
const HEIGHT: u32 = 900;
const FONT: (&str, u32) = ("sans-serif", 14);
const COLOURS: [RGBColor; 4] = [BLUE, GREEN, MAGENTA, RED];

/// Why a plot could not be drawn.
#[derive(Debug, Display, Error)]
#[display("the plot could not be drawn: {reason}")]
pub struct PlotError {
    reason: String,
}

type Area<'a> = DrawingArea<SVGBackend<'a>, Shift>;

/// Draws the measures into an SVG file.
///
/// # Errors
///
/// Returns an error if the file cannot be written.
pub fn plot(measures: &Measures, title: &str, file: &Path) -> Result<(), PlotError> {
    draw(measures, title, file).map_err(|error| PlotError {
        reason: error.to_string(),
    })
}

/// A chart with named series of points.
#[derive(Debug, Default)]
pub struct Panel {
    /// The caption.
    pub title: String,
    /// The meaning of the horizontal axis.
    pub x_axis: String,
    /// The meaning of the vertical axis.
    pub y_axis: String,
    /// The series in the order of their legend, at most four.
    pub series: Vec<(String, Vec<(f64, f64)>)>,
}

/// Draws charts, one below the other, into an SVG file.
///
/// # Errors
///
/// Returns an error if the file cannot be written.
pub fn plot_panels(panels: &[Panel], file: &Path) -> Result<(), PlotError> {
    draw_panels(panels, file).map_err(|error| PlotError {
        reason: error.to_string(),
    })
}

fn draw_panels(panels: &[Panel], file: &Path) -> Result<(), Box<dyn std::error::Error>> {
    let root = SVGBackend::new(file, (WIDTH, HEIGHT)).into_drawing_area();
    root.fill(&WHITE)?;
    for (panel, area) in panels.iter().zip(root.split_evenly((panels.len(), 1))) {
        let series = panel
            .series
            .iter()
            .map(|(name, points)| (name.as_str(), points.clone()));
        let series: Vec<_> = series.collect();
        lines(&area, [&panel.title, &panel.x_axis, &panel.y_axis], &series)?;
    }
    root.present()?;
    Ok(())
}

fn draw(measures: &Measures, title: &str, file: &Path) -> Result<(), Box<dyn std::error::Error>> {
    let root = SVGBackend::new(file, (WIDTH, HEIGHT)).into_drawing_area();
    root.fill(&WHITE)?;
    let areas = root.split_evenly((3, 1));
    counts(&areas[0], title, &measures.seconds)?;
    tail(&areas[1], &measures.seconds)?;
    distribution(&areas[2], &measures.classes)?;
    root.present()?;
    Ok(())
}

type Series = Vec<(f64, f64)>;

fn over_time(seconds: &[Second], value: impl Fn(&Second) -> f64) -> Series {
    let points = seconds.iter().enumerate();
    points
        .map(|(at, second)| (at as f64, value(second)))
        .collect()
}

fn counts(
    area: &Area<'_>,
    title: &str,
    seconds: &[Second],
) -> Result<(), Box<dyn std::error::Error>> {
    let series = [
        ("due", over_time(seconds, |s| s.sent as f64)),
        ("answered", over_time(seconds, |s| s.answered as f64)),
        ("refused", over_time(seconds, |s| s.refused as f64)),
    ];
    lines(area, [title, "seconds", "requests a second"], &series)
}

fn tail(area: &Area<'_>, seconds: &[Second]) -> Result<(), Box<dyn std::error::Error>> {
    let series = [("p99", over_time(seconds, |s| s.p99))];
    let title = "latency from the intended start";
    lines(area, [title, "seconds", "ms"], &series)
}

fn lines(
    area: &Area<'_>,
    [title, x_axis, y_axis]: [&str; 3],
    series: &[(&str, Series)],
) -> Result<(), Box<dyn std::error::Error>> {
    let points = || series.iter().flat_map(|(_, points)| points);
    let right = points().map(|(x, _)| *x).fold(1.0, f64::max);
    let top = points().map(|(_, y)| *y).fold(0.1, f64::max) * 1.1;
    let mut chart = ChartBuilder::on(area)
        .caption(title, FONT)
        .margin(8)
        .x_label_area_size(28)
        .y_label_area_size(60)
        .build_cartesian_2d(0.0..right, 0.0..top)?;
    chart
        .configure_mesh()
        .x_desc(x_axis)
        .y_desc(y_axis)
        .draw()?;
    for ((name, points), colour) in series.iter().zip(COLOURS) {
        chart
            .draw_series(LineSeries::new(points.iter().copied(), &colour))?
            .label(*name)
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], colour));
    }
    legend(&mut chart)
}

fn distribution(area: &Area<'_>, classes: &[Summary]) -> Result<(), Box<dyn std::error::Error>> {
    const STEPS: u32 = 200;
    let quantiles = |class: &Summary| -> Series {
        let at = |step| {
            let quantile = f64::from(step) / f64::from(STEPS);
            let millis = class.histogram.value_at_quantile(quantile) as f64 / 1_000.0;
            (millis.max(0.1), 100.0 * quantile)
        };
        (0..=STEPS).map(at).collect()
    };
    let right = classes.iter().map(|c| c.latency.max).fold(1.0, f64::max) * 1.1;
    let mut chart = ChartBuilder::on(area)
        .caption("latency of each class", FONT)
        .margin(8)
        .x_label_area_size(28)
        .y_label_area_size(60)
        .build_cartesian_2d((0.1..right).log_scale(), 0.0..100.0)?;
    chart
        .configure_mesh()
        .x_desc("ms")
        .y_desc("percent answered")
        .draw()?;
    for (class, colour) in classes.iter().zip(COLOURS) {
        chart
            .draw_series(LineSeries::new(quantiles(class), &colour))?
            .label(&class.name)
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], colour));
    }
    legend(&mut chart)
}

fn legend<'a, X, Y>(
    chart: &mut plotters::chart::ChartContext<
        'a,
        SVGBackend<'a>,
        plotters::coord::cartesian::Cartesian2d<X, Y>,
    >,
) -> Result<(), Box<dyn std::error::Error>>
where
    X: plotters::coord::ranged1d::Ranged<ValueType = f64>,
    Y: plotters::coord::ranged1d::Ranged<ValueType = f64>,
{
    chart
        .configure_series_labels()
        .position(SeriesLabelPosition::UpperLeft)
        .background_style(WHITE.mix(0.8))
        .border_style(BLACK)
        .draw()?;
    Ok(())
}
