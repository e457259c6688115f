//! Tests of the platform's availability as reported in the log.

use threadledge::control_shell::availability::{
    Availability, AvailabilityChange, PlatformUse, means_unavailable,
};
use threadledge_object_api::PlatformErrorKind;

#[test]
fn repeated_failures_are_reported_once() {
    let mut availability = Availability::default();
    let first = availability.record_failure(PlatformUse::WatchBackEnds);
    assert_eq!(first, Some(AvailabilityChange::Lost));
    assert_eq!(
        availability.record_failure(PlatformUse::WatchBackEnds),
        None
    );
    assert_eq!(
        availability.record_failure(PlatformUse::WatchServices),
        None
    );
    assert_eq!(availability.record_failure(PlatformUse::Single), None);
}

#[test]
fn one_watch_that_works_does_not_restore_while_the_other_fails() {
    let mut availability = Availability::default();
    availability.record_failure(PlatformUse::WatchBackEnds);
    availability.record_failure(PlatformUse::WatchServices);
    assert_eq!(
        availability.record_success(PlatformUse::WatchBackEnds),
        None
    );
    let restored = availability.record_success(PlatformUse::WatchServices);
    assert_eq!(restored, Some(AvailabilityChange::Restored));
    assert_eq!(
        availability.record_success(PlatformUse::WatchServices),
        None
    );
}

#[test]
fn any_success_ends_the_failure_of_a_single_request() {
    let mut availability = Availability::default();
    availability.record_failure(PlatformUse::Single);
    let restored = availability.record_success(PlatformUse::WatchBackEnds);
    assert_eq!(restored, Some(AvailabilityChange::Restored));
}

#[test]
fn ended_watch_neither_restores_nor_delays_the_next_success() {
    let mut availability = Availability::default();
    availability.record_failure(PlatformUse::WatchBackEnds);
    availability.clear(PlatformUse::WatchBackEnds);
    assert_eq!(availability.record_failure(PlatformUse::Single), None);
    let restored = availability.record_success(PlatformUse::Single);
    assert_eq!(restored, Some(AvailabilityChange::Restored));
}

#[test]
fn refusal_of_one_request_does_not_mean_unavailable() {
    for kind in [
        PlatformErrorKind::Conflict,
        PlatformErrorKind::AlreadyExists,
        PlatformErrorKind::NotFound,
        PlatformErrorKind::Gone,
    ] {
        assert!(!means_unavailable(&kind), "{kind}");
    }
    assert!(means_unavailable(&PlatformErrorKind::Unauthorized));
    let refused = PlatformErrorKind::Unreachable("refused".to_owned());
    assert!(means_unavailable(&refused));
}
