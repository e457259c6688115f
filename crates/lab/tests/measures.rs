//! Tests of the measures on small histories, and of reports and bounds.

mod support;

use std::collections::BTreeMap;

use support::*;
use threadledge_lab::experiment::Bounds;
use threadledge_lab::history::{AttemptOutcome, Event};
use threadledge_lab::measures;
use threadledge_lab::report::{REPORT_VERSION, Report, ReportError};
use threadledge_types::{Slice, Timestamp};

fn report() -> Report {
    let history = assemble(correct_run());
    let churn = measures::churn(&history, Timestamp::ZERO);
    let unavailable = measures::unavailable(&history, Timestamp::ZERO, millis(3_000));
    Report {
        version: REPORT_VERSION,
        experiment: "small".to_owned(),
        deployments: Vec::new(),
        seed: 1,
        duration_ms: 3_000,
        violations: 0,
        violation_details: Vec::new(),
        breached_bounds: Vec::new(),
        outcomes: measures::outcomes(&history),
        latency_ms: measures::latencies(&history, &BTreeMap::new()),
        imbalance: 1.0,
        imbalance_by_service: measures::imbalance(&history, &BTreeMap::new()),
        churn: churn.key_share,
        churn_details: churn,
        unavailable_ms: unavailable.longest_ms(),
        unavailable_details: unavailable,
        configuration_in_force_ms: None,
        faults: Vec::new(),
        timeline: measures::timeline(&history, Timestamp::ZERO),
        back_end_requests: measures::back_end_requests(&history),
        ownership: measures::ownership(&history, Timestamp::ZERO, millis(3_000)),
        ready_ms: 0,
        goodput: Vec::new(),
        baselines: None,
    }
}

#[test]
fn a_move_of_all_points_counts_as_a_churn_of_one() {
    let report = report();
    assert_eq!((report.churn, report.churn_details.moves), (1.0, 1));
}

#[test]
fn a_move_of_half_a_slice_counts_as_half() {
    let (low, _) = Slice::ALL
        .split_at(threadledge_types::Point(1 << 63))
        .expect("two halves");
    let mut run = correct_run();
    let half = ownership("c", 3, 3_100, 3_500)
        .into_iter()
        .map(|event| match event {
            Event::GrantTaken {
                at,
                session,
                mut grant,
            } => {
                grant.slice = low;
                Event::GrantTaken { at, session, grant }
            }
            Event::GrantReleased {
                at,
                session,
                mut grant,
            } => {
                grant.slice = low;
                Event::GrantReleased { at, session, grant }
            }
            other => other,
        });
    run.push(half.collect());
    let churn = measures::churn(&assemble(run), millis(2_000));
    assert_eq!(churn.key_share, 0.5);
}

#[test]
fn the_gap_between_two_owners_is_unavailable_time() {
    let unavailable = report().unavailable_details;
    assert_eq!((unavailable.keys_ms, unavailable.requests_ms), (10.0, 50.0));
}

#[test]
fn keys_that_stay_without_an_owner_count_until_the_end() {
    let history = assemble(vec![ownership("a", 1, 0, 1_000)]);
    let unavailable = measures::unavailable(&history, Timestamp::ZERO, millis(5_000));
    assert_eq!(unavailable.keys_ms, 4_000.0);
}

#[test]
fn a_series_of_failures_ends_with_the_next_response() {
    let failing =
        |number, at| request(number, vec![attempt(0, at, at + 1, AttemptOutcome::NotRun)]);
    let answered = request(6, vec![attempt(0, 500, 501, AttemptOutcome::Answered)]);
    let events = vec![failing(4, 100), failing(5, 400), answered, failing(7, 900)];
    let unavailable =
        measures::unavailable(&assemble(vec![events]), Timestamp::ZERO, millis(1_000));
    assert_eq!(unavailable.requests_ms, 301.0);
}

#[test]
fn latency_counts_from_the_intended_time() {
    let mut late = request(9, vec![attempt(0, 150, 160, AttemptOutcome::Answered)]);
    if let Event::RequestEnded { intended, .. } = &mut late {
        *intended = millis(60);
    }
    let latencies = measures::latencies(&assemble(vec![vec![late]]), &BTreeMap::new());
    assert_eq!(latencies.all.count, 1);
    assert!(
        (latencies.all.p50 - 100.0).abs() < 0.2,
        "{}",
        latencies.all.p50
    );
}

#[test]
fn ownership_over_time_follows_the_move() {
    let intervals: Vec<_> = report()
        .ownership
        .into_iter()
        .map(|one| (one.back_end, one.from_ms, one.until_ms, one.share))
        .collect();
    let expected = vec![
        ("kasamahan/a".to_owned(), 0, 1_000, 1.0),
        ("kasamahan/b".to_owned(), 1_010, 3_000, 1.0),
    ];
    assert_eq!(intervals, expected);
}

#[test]
fn a_page_contains_every_chart_and_no_external_resources() {
    let page = threadledge_lab::report::page(&report()).expect("a page");
    assert_eq!(page.matches("<svg").count(), 4);
    assert!(!page.contains("<script") && !page.contains("src="));
}

#[test]
fn idle_members_raise_the_imbalance() {
    let members = BTreeMap::from([(service(), 4)]);
    let imbalance = measures::imbalance(&assemble(correct_run()), &members);
    let of_service = imbalance[&service().to_string()];
    assert!((of_service.load - 2.0 * 4.0 / 3.0).abs() < 1e-9);
}

#[test]
fn a_bound_without_a_measured_value_is_exceeded() {
    let bounds = Bounds {
        configuration_in_force_ms: Some(5_000.0),
        unavailable_ms: Some(9.0),
        answered: Some(3.0),
        ..Bounds::default()
    };
    let breached: Vec<String> = bounds
        .breached(&report())
        .into_iter()
        .map(|breach| breach.bound)
        .collect();
    assert_eq!(
        breached,
        vec!["unavailable-ms", "configuration-in-force-ms"]
    );
}

#[test]
fn a_report_round_trips_and_another_version_is_rejected() {
    let name = format!("threadledge-lab-report-{}.json", std::process::id());
    let path = std::env::temp_dir().join(name);
    let mut written = report();
    written.write(&path).expect("a file");
    assert_eq!(Report::read(&path).expect("a report"), written);
    written.version += 1;
    written.write(&path).expect("a file");
    let error = Report::read(&path).expect_err("another version");
    assert!(matches!(error, ReportError::Version { .. }));
    std::fs::remove_file(&path).expect("the file");
}
