//! SVG charts of a verdict.

use std::path::Path;

use hallpin_simulation::invariants::Verdict;
use plotters::prelude::*;

/// Error of drawing a chart or writing its file.
#[derive(Debug)]
pub struct ChartError(String);

impl std::fmt::Display for ChartError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::error::Error for ChartError {}

impl<E: std::error::Error + Send + Sync> From<DrawingAreaErrorKind<E>> for ChartError {
    fn from(error: DrawingAreaErrorKind<E>) -> Self {
        ChartError(error.to_string())
    }
}

/// Color of text, grid and incident shading.
const FOREGROUND: RGBColor = RGBColor(40, 40, 40);
const SERVED_COLOR: RGBColor = RGBColor(44, 123, 182);
const REJECTED_COLOR: RGBColor = RGBColor(215, 110, 30);
const FAILED_COLOR: RGBColor = RGBColor(190, 30, 45);
const PLANNER_COLOR: RGBColor = RGBColor(90, 150, 70);

/// Draws one run second by second in three panels: the share of the requested worth that was served, rejections and
/// failures, and planner calls; incidents are shaded.
///
/// # Errors
/// If drawing fails or the file cannot be written.
pub fn draw_run(verdict: &Verdict, title: &str, path: &Path) -> Result<(), ChartError> {
    let mut svg = String::new();
    render_run(verdict, title, &mut svg)?;
    std::fs::write(path, svg).map_err(|error| ChartError(format!("{}: {error}", path.display())))
}

fn render_run(verdict: &Verdict, title: &str, svg: &mut String) -> Result<(), ChartError> {
    let root = SVGBackend::with_string(svg, (960, 720)).into_drawing_area();
    root.fill(&WHITE)?;
    let root = root.titled(title, ("sans-serif", 20).into_font().color(&FOREGROUND))?;
    let panels = root.split_evenly((3, 1));
    let seconds = &verdict.seconds;
    let share = |n: usize| if seconds[n].asked > 0.0 { seconds[n].served / seconds[n].asked } else { 1.0 };
    let request_seconds = seconds.iter().rposition(|s| s.requests > 0).map_or(0, |n| n + 1);
    let served: Vec<f64> = (0..request_seconds).map(share).collect();
    let per_second = |counter: &dyn Fn(&hallpin_simulation::invariants::Second) -> u64| -> Vec<f64> {
        seconds.iter().map(|second| counter(second) as f64).collect()
    };
    draw_panel(
        &panels[0],
        verdict,
        "served share of the worth asked for",
        Some(1.0),
        &[("served", SERVED_COLOR, served)],
    )?;
    let rejected = per_second(&|s| s.rejected);
    let failed = per_second(&|s| s.failed);
    let rejected_and_failed = [("refused", REJECTED_COLOR, rejected), ("failed", FAILED_COLOR, failed)];
    draw_panel(&panels[1], verdict, "final refusals and failures a second", None, &rejected_and_failed)?;
    let planner = per_second(&|s| s.planner);
    let cold = per_second(&|s| s.planner_cold);
    let calls = [("calls", PLANNER_COLOR, planner), ("of cold boxes", SERVED_COLOR, cold)];
    draw_panel(&panels[2], verdict, "calls to the planner a second", None, &calls)?;
    root.present()?;
    Ok(())
}

type Area<'a, 'b> = DrawingArea<SVGBackend<'a>, plotters::coord::Shift>;

fn draw_panel(
    area: &Area<'_, '_>,
    verdict: &Verdict,
    title: &str,
    max_value: Option<f64>,
    lines: &[(&str, RGBColor, Vec<f64>)],
) -> Result<(), ChartError> {
    let length = verdict.seconds.len().max(1) as f64;
    let highest = lines.iter().flat_map(|(.., values)| values).copied().fold(1.0, f64::max);
    let max_value = max_value.unwrap_or(highest) * 1.05;
    let mut chart = ChartBuilder::on(area)
        .margin(8)
        .caption(title, ("sans-serif", 14).into_font().color(&FOREGROUND))
        .x_label_area_size(28)
        .y_label_area_size(48)
        .build_cartesian_2d(0.0..length, 0.0..max_value)?;
    chart
        .configure_mesh()
        .x_desc("seconds")
        .x_labels(13)
        .y_labels(5)
        .light_line_style(WHITE)
        .bold_line_style(FOREGROUND.mix(0.1))
        .draw()?;
    for (from, until, _) in &verdict.incidents {
        let until = until.map_or(length, |at| at.as_secs().min(length));
        let corners = [(from.as_secs(), 0.0), (until.max(from.as_secs() + 0.2), max_value)];
        chart.draw_series([Rectangle::new(corners, FOREGROUND.mix(0.06).filled())])?;
    }
    for (name, color, values) in lines {
        let points = values.iter().enumerate().map(|(n, value)| (n as f64 + 0.5, *value));
        let color = *color;
        chart
            .draw_series(LineSeries::new(points, color.stroke_width(2)))?
            .label(*name)
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], color.stroke_width(2)));
    }
    if lines.len() > 1 {
        chart
            .configure_series_labels()
            .background_style(WHITE.mix(0.8))
            .border_style(FOREGROUND.mix(0.2))
            .position(SeriesLabelPosition::UpperRight)
            .draw()?;
    }
    Ok(())
}
