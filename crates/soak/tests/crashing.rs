//! Tests of the limit on runs of a request that crashes back ends.

use std::time::Duration;

use threadledge_soak::Violation;
use threadledge_soak::caller::Kind;
use threadledge_soak::crashing::check_runs;

fn seconds(times: &[f64]) -> Vec<Duration> {
    let times = times.iter().copied();
    times.map(Duration::from_secs_f64).collect()
}

#[test]
fn three_runs_after_the_propagation_time_are_allowed() {
    let runs = [1.0, 1.5, 2.0, 4.9, 5.1, 9.0, 30.0];
    assert_eq!(check_runs(Kind::Safe, seconds(&runs), 1), None);
}

#[test]
fn fourth_run_after_the_propagation_time_is_a_violation() {
    let runs = [30.0, 1.0, 1.5, 2.0, 5.1, 9.0, 12.0];
    let found = check_runs(Kind::Safe, seconds(&runs), 1);
    let Some(Violation::CrashingRequestForwarded { runs, late, .. }) = found else {
        panic!("{found:?}");
    };
    assert_eq!((runs, late), (7, 4));
}

#[test]
fn two_crashes_impose_no_limit() {
    assert_eq!(check_runs(Kind::Keyed, seconds(&[1.0, 60.0]), 1), None);
}
