//! Draws the charts of a report as SVG.

use std::collections::BTreeMap;
use std::fmt::Display;

use plotters::prelude::*;

use super::schema::Report;

const SIZE: (u32, u32) = (960, 320);
/// Height of one back end in the ownership chart, in pixels.
const ROW_HEIGHT: u32 = 14;
const FRAME_HEIGHT: u32 = 90;
const X_LABELS_HEIGHT: u32 = 40;
const Y_LABELS: usize = 6;
const MARGIN: f64 = 8.0;
const FAULT: RGBColor = RGBColor(200, 40, 40);
const MEDIAN: RGBColor = RGBColor(30, 90, 160);
const TAIL: RGBColor = RGBColor(220, 130, 20);
const OWNED: RGBColor = RGBColor(40, 120, 90);
const MILLIS_PER_SECOND: f64 = 1_000.0;

/// Draws latency over time, with the faults marked.
pub(super) fn latency(report: &Report) -> Result<String, String> {
    let highest = report.timeline.iter().map(|point| point.p99_ms);
    let highest = highest.fold(1.0, f64::max);
    let median = report
        .timeline
        .iter()
        .map(|point| (point.at_ms, point.p50_ms));
    let tail = report
        .timeline
        .iter()
        .map(|point| (point.at_ms, point.p99_ms));
    over_time(
        report,
        "Latency of answered requests, ms, each line 10 times the one below (blue: median, orange: 99 in 100, red: faults)",
        Scale::Logarithmic,
        highest,
        [(median.collect(), MEDIAN), (tail.collect(), TAIL)],
    )
}

/// Draws answered and failed requests over time.
pub(super) fn requests(report: &Report) -> Result<String, String> {
    let counts = report.timeline.iter();
    let highest = counts.map(|point| point.answered.max(point.failed) as f64);
    let highest = highest.fold(1.0, f64::max);
    let answered = report.timeline.iter();
    let answered = answered.map(|point| (point.at_ms, point.answered as f64));
    let failed = report.timeline.iter();
    let failed = failed.map(|point| (point.at_ms, point.failed as f64));
    over_time(
        report,
        "Requests in 250 ms (blue: answered, orange: not answered, red: faults)",
        Scale::Linear,
        highest,
        [(answered.collect(), MEDIAN), (failed.collect(), TAIL)],
    )
}

/// Scale of the vertical axis.
#[derive(Clone, Copy)]
enum Scale {
    Linear,
    Logarithmic,
}

impl Scale {
    /// Returns the height of a value. On the logarithmic scale, latencies below
    /// a millisecond are drawn on the axis.
    fn height(self, value: f64) -> f64 {
        match self {
            Scale::Linear => value,
            Scale::Logarithmic => value.max(1.0).log10(),
        }
    }

    fn label(self, height: f64) -> String {
        match self {
            Scale::Linear => format!("{height:.0}"),
            Scale::Logarithmic => format!("{:.0}", 10_f64.powf(height)),
        }
    }
}

type Line = (Vec<(u64, f64)>, RGBColor);

fn over_time(
    report: &Report,
    caption: &str,
    scale: Scale,
    highest: f64,
    lines: [Line; 2],
) -> Result<String, String> {
    let mut svg = String::new();
    {
        let root = SVGBackend::with_string(&mut svg, SIZE).into_drawing_area();
        root.fill(&WHITE).map_err(text)?;
        let end = seconds(report.duration_ms);
        let top = scale.height(highest * 1.05);
        let mut chart = ChartBuilder::on(&root)
            .caption(caption, ("sans-serif", 15))
            .margin(MARGIN)
            .x_label_area_size(X_LABELS_HEIGHT)
            .y_label_area_size(56)
            .build_cartesian_2d(0.0..end, 0.0..top)
            .map_err(text)?;
        let mut mesh = chart.configure_mesh();
        mesh.light_line_style(TRANSPARENT)
            .y_labels(Y_LABELS)
            .y_label_formatter(&|height| scale.label(*height))
            .x_desc("seconds since the load began")
            .draw()
            .map_err(text)?;
        for fault in &report.faults {
            let at = seconds(fault.at_ms);
            let mark = vec![(at, 0.0), (at, top)];
            chart
                .draw_series(LineSeries::new(mark, &FAULT))
                .map_err(text)?;
        }
        for (points, colour) in lines {
            let points = points
                .into_iter()
                .map(|(at, value)| (seconds(at), scale.height(value)));
            chart
                .draw_series(LineSeries::new(points, &colour))
                .map_err(text)?;
        }
        root.present().map_err(text)?;
    }
    Ok(svg)
}

/// Draws the number of executions at each back end.
pub(super) fn load(report: &Report) -> Result<String, String> {
    let highest = report
        .back_end_requests
        .values()
        .copied()
        .max()
        .unwrap_or(1);
    let count = report.back_end_requests.len().max(1);
    let names: Vec<&String> = report.back_end_requests.keys().collect();
    let mut svg = String::new();
    {
        let root = SVGBackend::with_string(&mut svg, SIZE).into_drawing_area();
        root.fill(&WHITE).map_err(text)?;
        let mut chart = ChartBuilder::on(&root)
            .caption("Requests carried out by each back end", ("sans-serif", 15))
            .margin(MARGIN)
            .x_label_area_size(X_LABELS_HEIGHT)
            .y_label_area_size(56)
            .build_cartesian_2d(0.0..count as f64, 0.0..highest as f64 * 1.05)
            .map_err(text)?;
        let first = names.first().map_or("", |name| name.as_str());
        let last = names.last().map_or("", |name| name.as_str());
        let mut mesh = chart.configure_mesh();
        mesh.disable_x_mesh()
            .light_line_style(TRANSPARENT)
            .x_labels(0)
            .x_desc(format!("{first} to {last}, by name"))
            .draw()
            .map_err(text)?;
        let bars = report.back_end_requests.values().enumerate();
        let bars = bars.map(|(number, requests)| {
            let left = number as f64 + 0.1;
            let corners = [(left, 0.0), (left + 0.8, *requests as f64)];
            Rectangle::new(corners, MEDIAN.filled())
        });
        chart.draw_series(bars).map_err(text)?;
        root.present().map_err(text)?;
    }
    Ok(svg)
}

/// Draws the share of points that each back end owned over time: one row per
/// back end, darker for a larger share.
pub(super) fn ownership(report: &Report) -> Result<String, String> {
    let mut rows: BTreeMap<(&str, &str), usize> = BTreeMap::new();
    let mut largest: BTreeMap<&str, f64> = BTreeMap::new();
    for interval in &report.ownership {
        rows.insert((&interval.service, &interval.back_end), 0);
        let most = largest.entry(&interval.service).or_default();
        *most = most.max(interval.share);
    }
    let count = rows.len().max(1);
    for (number, row) in rows.values_mut().enumerate() {
        *row = count - 1 - number;
    }
    let mut svg = String::new();
    {
        let size = (SIZE.0, FRAME_HEIGHT + ROW_HEIGHT * count as u32);
        let root = SVGBackend::with_string(&mut svg, size).into_drawing_area();
        root.fill(&WHITE).map_err(text)?;
        let mut chart = ChartBuilder::on(&root)
            .caption(
                "Share of points owned (darker is more, red: faults)",
                ("sans-serif", 15),
            )
            .margin(MARGIN)
            .x_label_area_size(X_LABELS_HEIGHT)
            .y_label_area_size(170)
            .build_cartesian_2d(0.0..seconds(report.duration_ms), 0.0..count as f64)
            .map_err(text)?;
        let mut mesh = chart.configure_mesh();
        mesh.disable_mesh()
            .y_labels(0)
            .x_desc("seconds since the load began")
            .draw()
            .map_err(text)?;
        let boxes = report.ownership.iter().map(|interval| {
            let row = rows[&(interval.service.as_str(), interval.back_end.as_str())] as f64;
            let strength = interval.share / largest[interval.service.as_str()];
            let corners = [
                (seconds(interval.from_ms), row + 0.08),
                (seconds(interval.until_ms), row + 0.92),
            ];
            Rectangle::new(corners, OWNED.mix(strength.clamp(0.05, 1.0)).filled())
        });
        chart.draw_series(boxes).map_err(text)?;
        for fault in &report.faults {
            let at = seconds(fault.at_ms);
            let mark = vec![(at, 0.0), (at, count as f64)];
            chart
                .draw_series(LineSeries::new(mark, &FAULT))
                .map_err(text)?;
        }
        label_rows(&root, &rows, count).map_err(text)?;
        root.present().map_err(text)?;
    }
    Ok(svg)
}

/// Draws the back end names beside the rows, because the axis has only numbers.
fn label_rows(
    root: &DrawingArea<SVGBackend<'_>, plotters::coord::Shift>,
    rows: &BTreeMap<(&str, &str), usize>,
    count: usize,
) -> Result<(), impl Display> {
    let style = ("sans-serif", 11).into_font().color(&BLACK);
    let (_, height) = root.dim_in_pixel();
    let bottom = f64::from(height) - f64::from(X_LABELS_HEIGHT) - MARGIN;
    let top = 30.0;
    let step = (bottom - top) / count as f64;
    for ((_, back_end), row) in rows {
        let y = bottom - (*row as f64 + 0.9) * step;
        root.draw_text(back_end, &style, (8, y as i32))?;
    }
    Ok::<(), DrawingAreaErrorKind<std::io::Error>>(())
}

fn seconds(millis: u64) -> f64 {
    millis as f64 / MILLIS_PER_SECOND
}

fn text(error: impl Display) -> String {
    error.to_string()
}
