//! Formats a report as a self-contained HTML page.

use super::charts;
use super::schema::{Report, ReportError};
use super::table::table;

/// Returns a page with the table and the charts that loads no external
/// resources.
///
/// # Errors
///
/// Fails if a chart cannot be drawn.
pub fn page(report: &Report) -> Result<String, ReportError> {
    let draw = |chart: Result<String, String>| chart.map_err(ReportError::Chart);
    let charts = [
        draw(charts::latency(report))?,
        draw(charts::requests(report))?,
        draw(charts::load(report))?,
        draw(charts::ownership(report))?,
    ];
    let title = escape(&report.experiment);
    Ok(format!(
        "<!DOCTYPE html>\n<html lang=\"en\"><head><meta charset=\"utf-8\">\
         <title>{title}</title></head>\n\
         <body style=\"font-family: sans-serif; max-width: 1000px; margin: auto\">\n\
         <h1>{title}</h1>\n{}\n<pre>{}</pre>\n</body></html>\n",
        charts.join("\n"),
        escape(&table(report))
    ))
}

fn escape(text: &str) -> String {
    text.replace('&', "&amp;")
        .replace('<', "&lt;")
        .replace('>', "&gt;")
}
