//! Human-readable text of reports.

use std::fmt::Write;

use super::report::{Explanation, SelectedBackEnd, SliceOwner, StatusReport};

/// Formats a status report as lines of text.
pub fn status_text(report: &StatusReport) -> String {
    let mut out = String::new();
    // Writing to a String cannot fail.
    let _ = write_status(&mut out, report);
    out
}

fn write_status(out: &mut String, report: &StatusReport) -> std::fmt::Result {
    write_router(out, report)?;
    writeln!(out, "\nmembers ({})", report.members.len())?;
    for member in &report.members {
        let identity = &member.identity;
        writeln!(
            out,
            "  {}  {:<20} {:<12} {:<8} {}",
            identity.id,
            identity.machine,
            identity.zone,
            member.state.as_str(),
            identity.peer_address
        )?;
    }
    write_groups(out, report)?;
    writeln!(out, "\nsessions ({})", report.sessions.len())?;
    for session in &report.sessions {
        let state = if session.draining { "draining" } else { "open" };
        writeln!(
            out,
            "  {:<48} {state:<9} {} slices",
            session.session.to_string(),
            session.slices
        )?;
    }
    write_services(out, report)
}

fn write_router(out: &mut String, report: &StatusReport) -> std::fmt::Result {
    let router = &report.router;
    writeln!(
        out,
        "router    {} on {} ({}, {})",
        router.id, router.machine, router.region, router.zone
    )?;
    if report.readiness.is_ready() {
        writeln!(out, "ready     yes")?;
    }
    for reason in &report.readiness.reasons {
        writeln!(out, "ready     no: {reason}; {}", reason.remedy())?;
    }
    let confirmed = match report.confirmed_age_ms {
        Some(age) => format!("confirmed {age} ms ago"),
        None => "never confirmed".to_owned(),
    };
    writeln!(out, "revision  {}, {confirmed}", report.revision)?;
    writeln!(out, "uptime    {} s", report.uptime_ms / 1_000)?;
    writeln!(out, "in flight {}", report.requests_in_flight)
}

fn write_groups(out: &mut String, report: &StatusReport) -> std::fmt::Result {
    writeln!(out, "\ngroups ({})", report.groups.len())?;
    for group in &report.groups {
        let leader = match group.leader {
            Some(leader) => leader.to_string(),
            None => "none".to_owned(),
        };
        writeln!(
            out,
            "  {}  generation {} term {} leader {leader} voters {} learners {} committed {}",
            group.group,
            group.generation.0,
            group.term,
            group.voters.len(),
            group.learners.len(),
            group.committed
        )?;
    }
    Ok(())
}

fn write_services(out: &mut String, report: &StatusReport) -> std::fmt::Result {
    writeln!(out, "\nservices ({})", report.services.len())?;
    for service in &report.services {
        let imbalance = match service.imbalance {
            Some(value) => format!("{value:.2}"),
            None => "not known here".to_owned(),
        };
        writeln!(
            out,
            "  {:<32} version {} back ends {} slices {} unowned {} moving {} imbalance {imbalance}",
            service.service.to_string(),
            service.resource_version,
            service.back_ends,
            service.slices,
            service.unowned,
            service.moving
        )?;
    }
    Ok(())
}

/// Formats an explanation as lines of text.
pub fn explanation_text(explanation: &Explanation) -> String {
    let mut out = String::new();
    // Writing to a String cannot fail.
    let _ = write_explanation(&mut out, explanation);
    out
}

fn write_explanation(out: &mut String, explanation: &Explanation) -> std::fmt::Result {
    let route = &explanation.route;
    writeln!(out, "service   {}", explanation.service)?;
    writeln!(
        out,
        "route     {} (repeatable {}, priority {:?}, deadline {} ms, may queue {})",
        route.name, route.repeatable, route.priority, route.deadline_ms, route.may_queue
    )?;
    writeln!(out, "selector  {}", explanation.selector)?;
    for back_end in &explanation.selected {
        writeln!(
            out,
            "            {} {}",
            back_end.back_end,
            session_state(back_end)
        )?;
    }
    writeln!(out, "key       {}", explanation.key)?;
    writeln!(out, "point     {}", explanation.point)?;
    writeln!(out, "slice     {}", explanation.slice)?;
    writeln!(out, "owner     {}", owner_text(explanation.owner.as_ref()))?;
    if let Some(next) = &explanation.next {
        writeln!(out, "next      {next}")?;
    }
    writeln!(out, "epoch     {}", explanation.epoch)?;
    writeln!(out, "revision  {}", explanation.revision)
}

fn session_state(back_end: &SelectedBackEnd) -> &'static str {
    match (back_end.session_open, back_end.draining) {
        (false, _) => "no session",
        (true, true) => "draining",
        (true, false) => "open",
    }
}

fn owner_text(owner: Option<&SliceOwner>) -> String {
    match owner {
        None => "none: requests are refused as not run until there is one".to_owned(),
        Some(owner) => match owner.address {
            Some(address) => format!("{} at {address}", owner.session),
            None => format!("{}, whose object is gone", owner.session),
        },
    }
}
