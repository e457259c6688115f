//! Compares two reports.

use std::fmt::Write;

use super::schema::Report;

/// One row of the comparison table.
struct Row {
    name: &'static str,
    unit: &'static str,
    value: fn(&Report) -> Option<f64>,
}

const ROWS: [Row; 11] = [
    Row {
        name: "violations",
        unit: "",
        value: |report| Some(report.violations as f64),
    },
    Row {
        name: "requests answered",
        unit: "",
        value: |report| Some(report.outcomes.answered as f64),
    },
    Row {
        name: "requests not run",
        unit: "",
        value: |report| Some(report.outcomes.not_run as f64),
    },
    Row {
        name: "requests unknown",
        unit: "",
        value: |report| Some(report.outcomes.unknown as f64),
    },
    Row {
        name: "latency p50",
        unit: "ms",
        value: |report| Some(report.latency_ms.all.p50),
    },
    Row {
        name: "latency p99",
        unit: "ms",
        value: |report| Some(report.latency_ms.all.p99),
    },
    Row {
        name: "added latency p50",
        unit: "ms",
        value: |report| report.latency_ms.added_p50,
    },
    Row {
        name: "imbalance",
        unit: "",
        value: |report| Some(report.imbalance),
    },
    Row {
        name: "churn",
        unit: "",
        value: |report| Some(report.churn),
    },
    Row {
        name: "unavailable",
        unit: "ms",
        value: |report| Some(report.unavailable_ms),
    },
    Row {
        name: "configuration in force",
        unit: "ms",
        value: |report| report.configuration_in_force_ms,
    },
];

/// Formats a table of both reports with the ratio of the second to the first.
pub fn compare(first: &Report, second: &Report) -> String {
    let mut text = String::new();
    let names = (&first.experiment, &second.experiment);
    let _ = writeln!(
        text,
        "{:<26} {:>14} {:>14} {:>8}",
        "", names.0, names.1, "ratio"
    );
    for row in &ROWS {
        let left = (row.value)(first);
        let right = (row.value)(second);
        let label = format!("{} {}", row.name, row.unit);
        let _ = writeln!(
            text,
            "{:<26} {:>14} {:>14} {:>8}",
            label.trim_end(),
            format_value(left),
            format_value(right),
            ratio(left, right)
        );
    }
    text
}

fn format_value(value: Option<f64>) -> String {
    value.map_or("-".to_owned(), |value| format!("{value:.3}"))
}

fn ratio(left: Option<f64>, right: Option<f64>) -> String {
    match (left, right) {
        (Some(left), Some(right)) if left != 0.0 => format!("{:.3}", right / left),
        _ => "-".to_owned(),
    }
}
