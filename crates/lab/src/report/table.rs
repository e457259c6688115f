//! Formats a report as a text table.

use std::fmt::Write;

use super::schema::Report;
use crate::baseline::baseline_table;
use crate::measures::Goodput;

/// Maximum number of violations in the table.
const MAX_VIOLATIONS: usize = 8;

/// Formats the report as a text table.
pub fn table(report: &Report) -> String {
    let mut text = String::new();
    let mut line = |name: &str, value: String| {
        // Writing to a string cannot fail.
        let _ = writeln!(text, "{name:<26} {value}");
    };
    let latency = &report.latency_ms;
    line("experiment", report.experiment.clone());
    line("deployments", report.deployments.join(", "));
    line("seed", report.seed.to_string());
    line(
        "time under load",
        format!("{:.1} s", report.duration_ms as f64 / 1_000.0),
    );
    line("time until ready", format!("{} ms", report.ready_ms));
    line("requests answered", report.outcomes.answered.to_string());
    line("requests not run", report.outcomes.not_run.to_string());
    line("requests unknown", report.outcomes.unknown.to_string());
    for (reason, count) in &report.outcomes.reasons {
        line("", format!("{count} {reason}"));
    }
    line(
        "latency p50 / p99",
        format!("{:.2} / {:.2} ms", latency.all.p50, latency.all.p99),
    );
    for (service, summary) in &latency.services {
        let figures = format!("{:.2} / {:.2} ms", summary.p50, summary.p99);
        line(&format!("  {service}"), figures);
    }
    for (service, summary) in &latency.direct {
        let figures = format!("{:.2} / {:.2} ms, direct", summary.p50, summary.p99);
        line(&format!("  {service}"), figures);
    }
    let added = match (latency.added_p50, latency.added_p99) {
        (Some(median), Some(tail)) => format!("{median:.2} / {tail:.2} ms"),
        _ => "not measured".to_owned(),
    };
    line("added latency p50 / p99", added);
    line(
        "imbalance, worst service",
        format!("{:.2}", report.imbalance),
    );
    for (service, imbalance) in &report.imbalance_by_service {
        let figures = format!(
            "{:.2} by load, {:.2} by keys",
            imbalance.load, imbalance.keys
        );
        line(&format!("  {service}"), figures);
    }
    let moves = report.churn_details.moves;
    line(
        "churn",
        format!("{:.4} of the keys in {moves} moves", report.churn),
    );
    let unavailable = &report.unavailable_details;
    line(
        "longest unavailable time",
        format!(
            "{:.0} ms (keys {:.0} ms, requests {:.0} ms)",
            report.unavailable_ms, unavailable.keys_ms, unavailable.requests_ms
        ),
    );
    let in_force = report
        .configuration_in_force_ms
        .map_or("nothing changed".to_owned(), |millis| {
            format!("{millis:.0} ms")
        });
    line("configuration in force", in_force);
    for fault in &report.faults {
        line("fault", format!("at {} ms: {}", fault.at_ms, fault.what));
    }
    line("violations", report.violations.to_string());
    for violation in report.violation_details.iter().take(MAX_VIOLATIONS) {
        line("", violation.to_string());
    }
    for breach in &report.breached_bounds {
        let measured = breach
            .measured
            .map_or("no figure".to_owned(), |value| format!("{value:.3}"));
        line(
            "bound not held",
            format!(
                "{}: {measured}, allowed {:.3}",
                breach.bound, breach.allowed
            ),
        );
    }
    if report.goodput.len() > 1 {
        text.push_str(&goodput_lines(&report.goodput));
    }
    if let Some(baselines) = &report.baselines {
        text.push_str(&baseline_table(baselines));
    }
    text
}

fn goodput_lines(intervals: &[Goodput]) -> String {
    let mut text = String::new();
    for interval in intervals {
        let name = format!("load times {}", interval.factor);
        let _ = writeln!(
            text,
            "{name:<26} {:.0} requests a second offered, {:.0} answered, p99 {:.1} ms",
            interval.offered_per_second, interval.answered_per_second, interval.latency_p99_ms
        );
    }
    text
}
