//! Formats reports of hollow nodes as text tables.

use std::fmt::Write;

use threadledge_simulator::day::{PhaseReport, RoleCost};

use super::measure::{HollowReport, KINDS};

/// Formats the failures and costs of each report.
pub fn table(reports: &[HollowReport]) -> String {
    let mut text = String::new();
    for report in reports {
        write_header(&mut text, report);
        write_failures(&mut text, &report.phases);
        write_costs(&mut text, report);
    }
    text
}

fn write_header(text: &mut String, report: &HollowReport) {
    let memory = report.memory_bytes_per_router.unwrap_or(f64::NAN) / 1_024.0;
    let _ = writeln!(
        text,
        "\n{} nodes, seed {}: {} of {} regions ran, {} routers each, {} back ends, {} slices in \
         the first",
        report.nodes,
        report.seed,
        report.regions_running,
        report.regions_running + report.regions_listed,
        report.routers,
        report.back_ends,
        report.slices,
    );
    let _ = writeln!(
        text,
        "first assignment {:?} ms, all ready {:?} ms, {memory:.0} KB a router, machine list {} \
         bytes, {} s for {} s of virtual time, violations {}, not run {:?}",
        report.start.first_assignment_ms,
        report.start.all_ready_ms,
        report.machine_list_bytes,
        report.wall_ms / 1_000,
        report.virtual_ms / 1_000,
        report.violations,
        report.not_run,
    );
    for violation in report.violation_details.iter().take(3) {
        let _ = writeln!(text, "    {violation}");
    }
}

fn write_failures(text: &mut String, phases: &[PhaseReport]) {
    let _ = writeln!(
        text,
        "{:22} {:>26} {:>7} {:>7} {:>26} {:>7} {:>10}",
        "failure",
        "unavailable n/p50/p99/max",
        "moved",
        "least",
        "in force n/p50/p99/max",
        "settled",
        "violations"
    );
    for phase in phases {
        let unavailable = &phase.unavailable;
        let in_force = &phase.configuration_in_force;
        let _ = writeln!(
            text,
            "{:22} {:>26} {:>7.3} {:>7.3} {:>26} {:>7} {:>10}",
            format!("{:?}", phase.failure),
            format_spread(unavailable),
            phase.moved,
            phase.moved_at_least,
            format_spread(in_force),
            phase.settled,
            phase.violations
        );
    }
}

/// Formats count, median, 99th percentile and maximum.
fn format_spread(values: &threadledge_simulator::day::DurationSummary) -> String {
    format!(
        "{}/{}/{}/{}",
        values.count, values.median_ms, values.p99_ms, values.worst_ms
    )
}

fn write_costs(text: &mut String, report: &HollowReport) {
    let _ = writeln!(
        text,
        "{:22} {:9} {:>8} {:>8} {:>9} {:>9} {:>8} {:>8} {:>8}  bytes/s by kind",
        "failure", "role", "routers", "msgs/s", "bytes/s", "most", "core %", "most", "step ms"
    );
    for phase in &report.phases {
        for (role, cost) in &phase.roles {
            let _ = writeln!(
                text,
                "{:22} {:9} {}",
                format!("{:?}", phase.failure),
                format!("{role:?}"),
                cost_columns(cost)
            );
        }
    }
}

fn cost_columns(cost: &RoleCost) -> String {
    let kinds = KINDS.iter().map(|kind| {
        let bytes = cost.bytes_by_kind.get(&kind.to_string());
        format!("{kind} {:.0}", bytes.copied().unwrap_or(0.0))
    });
    let kinds: Vec<String> = kinds.collect();
    format!(
        "{:>8} {:>8.1} {:>9.0} {:>9.0} {:>8.4} {:>8.4} {:>8.2}  {}",
        cost.routers,
        cost.messages_per_second,
        cost.bytes_per_second,
        cost.most_bytes_per_second,
        cost.core_percent,
        cost.most_core_percent,
        cost.longest_step_ms,
        kinds.join(", ")
    )
}
