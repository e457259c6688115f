//! A report as one self-contained HTML page.

use super::form::{Report, ReportError};
use super::pictures;
use super::table::table;

/// The page: the table and the pictures, with nothing loaded from elsewhere.
///
/// # Errors
///
/// A picture cannot be drawn.
pub fn page(report: &Report) -> Result<String, ReportError> {
    let draw = |picture: Result<String, String>| picture.map_err(ReportError::Picture);
    let pictures = [
        draw(pictures::latency(report))?,
        draw(pictures::requests(report))?,
        draw(pictures::load(report))?,
        draw(pictures::ownership(report))?,
    ];
    let title = escape(&report.experiment);
    Ok(format!(
        "<!DOCTYPE html>\n<html lang=\"en\"><head><meta charset=\"utf-8\">\
         <title>{title}</title></head>\n\
         <body style=\"font-family: sans-serif; max-width: 1000px; margin: auto\">\n\
         <h1>{title}</h1>\n{}\n<pre>{}</pre>\n</body></html>\n",
        pictures.join("\n"),
        escape(&table(report))
    ))
}

fn escape(text: &str) -> String {
    text.replace('&', "&amp;")
        .replace('<', "&lt;")
        .replace('>', "&gt;")
}
