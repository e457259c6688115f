//! What back ends report in their responses that affects later requests.

use std::time::Duration;

use threadledge_dispatch::outcome::Rejection;
use threadledge_dispatch::{
    AttemptEnd, BackEndEvent, Outcome, RefusalReason, RequestedBackoff, Signals, Step,
};
use threadledge_types::deployment::{BackEndName, ServiceName};

use super::support::{Harness, answered, back_end, is_refused, not_run};

const KEY: Option<u16> = Some(7);

/// Sends one request and ends it with these signals in the response's head.
fn answer_with_signals(
    harness: &mut Harness,
    route: &str,
    key: Option<u16>,
    signals: &Signals,
    end: AttemptEnd,
) {
    let begun = harness.begin_with(route, key).expect("admitted");
    let attempt = harness.send(&begun);
    harness.advance(20);
    let now = harness.now;
    harness
        .dispatcher
        .on_response_head(now, begun.id, attempt.id, signals);
    harness.end(&begun, &attempt, end);
    harness.dispatcher.abandon(now, begun.id);
}

fn announce_leaving(harness: &mut Harness) {
    let leaving = Signals {
        leaving: true,
        ..Signals::default()
    };
    answer_with_signals(harness, "keyed", KEY, &leaving, answered());
}

/// Whether a request for the key is sent to its owner.
fn reaches_owner(harness: &mut Harness) -> bool {
    let begun = harness.begin_with("keyed", KEY).expect("admitted");
    let sent = matches!(harness.next(&begun), Step::Send(_));
    harness.dispatcher.abandon(harness.now, begun.id);
    sent
}

#[test]
fn leaving_back_end_gets_no_requests_whatever_its_registration_says() {
    let mut harness = Harness::new();
    announce_leaving(&mut harness);
    assert!(!reaches_owner(&mut harness));
    // Its registration still says that it is ready.
    harness.publish_back_ends();
    assert!(!reaches_owner(&mut harness));
    let all = std::mem::take(&mut harness.back_ends);
    harness.publish_back_ends();
    harness.advance(2_000);
    harness.back_ends = all;
    harness.publish_back_ends();
    assert!(!reaches_owner(&mut harness));
}

#[test]
fn signals_of_an_unregistered_back_end_count() {
    for signals in [
        Signals {
            leaving: true,
            ..Signals::default()
        },
        Signals {
            backoff: seconds(3),
            ..Signals::default()
        },
    ] {
        let mut harness = Harness::new();
        let begun = harness.begin_with("keyed", KEY).expect("admitted");
        let attempt = harness.send(&begun);
        let all = std::mem::take(&mut harness.back_ends);
        harness.publish_back_ends();
        let now = harness.now;
        harness
            .dispatcher
            .on_response_head(now, begun.id, attempt.id, &signals);
        harness.back_ends = all;
        harness.publish_back_ends();
        harness.advance(1_000);
        assert!(!reaches_owner(&mut harness), "{signals:?}");
    }
}

#[test]
fn attempt_started_before_the_leaving_signal_may_not_be_sent_after_it() {
    let mut harness = Harness::new();
    let slow = harness.begin_with("keyed", KEY).expect("admitted");
    let Step::Send(attempt) = harness.next(&slow) else {
        panic!("not sent");
    };
    announce_leaving(&mut harness);
    let now = harness.now;
    assert!(!harness.dispatcher.may_send(now, slow.id, attempt.id));
    harness.end(&slow, &attempt, AttemptEnd::Abandoned);
    assert!(!matches!(harness.next(&slow), Step::Send(_)));
}

#[test]
fn next_incarnation_of_a_leaving_back_end_gets_requests() {
    let mut harness = Harness::new();
    announce_leaving(&mut harness);
    let next = BackEndName::new("k-1", Some(5_000));
    harness
        .back_ends
        .push(back_end(next.as_str(), "keyed", "near", 3));
    harness.publish_back_ends();
    harness.set_owners(next.as_str(), "k-2");
    assert!(reaches_owner(&mut harness));
}

#[test]
fn leaving_is_one_event_and_is_reported_until_the_registration_shows_it() {
    let mut harness = Harness::new();
    let early = harness.begin_with("keyed", KEY).expect("admitted");
    let attempt = harness.send(&early);
    let service = ServiceName::from("keyed");
    announce_leaving(&mut harness);
    let event = BackEndEvent::Leaving {
        back_end: "k-1".into(),
        service: service.clone(),
    };
    assert_eq!(harness.dispatcher.take_back_end_events(), vec![event]);
    let now = harness.now;
    let leaving = Signals {
        leaving: true,
        ..Signals::default()
    };
    harness
        .dispatcher
        .on_response_head(now, early.id, attempt.id, &leaving);
    assert!(harness.dispatcher.take_back_end_events().is_empty());
    for _ in 0..2 {
        let report = harness.dispatcher.take_load_report(&service);
        assert_eq!(report.leaving, vec![BackEndName::from("k-1")]);
    }
    let entry = harness.back_ends.iter_mut();
    for entry in entry.filter(|entry| entry.name.as_str() == "k-1") {
        entry.draining = true;
    }
    harness.publish_back_ends();
    assert!(
        harness
            .dispatcher
            .take_load_report(&service)
            .leaving
            .is_empty()
    );
}

#[test]
fn request_whose_owner_leaves_is_refused_in_time() {
    let mut harness = Harness::new();
    announce_leaving(&mut harness);
    let begun = harness.begin_with("keyed", KEY).expect("admitted");
    harness.next(&begun);
    harness.advance(100);
    assert!(is_refused(&harness.next(&begun)));
}

fn request_backoff(
    harness: &mut Harness,
    route: &str,
    key: Option<u16>,
    backoff: RequestedBackoff,
) {
    let signals = Signals {
        backoff,
        ..Signals::default()
    };
    answer_with_signals(harness, route, key, &signals, not_run(Rejection::Busy));
}

fn seconds(seconds: u64) -> RequestedBackoff {
    RequestedBackoff::For(Duration::from_secs(seconds))
}

#[test]
fn owner_that_requested_a_backoff_gets_no_requests_until_its_end() {
    let mut harness = Harness::new();
    request_backoff(&mut harness, "keyed", KEY, seconds(3));
    let event = BackEndEvent::Resting {
        back_end: "k-1".into(),
        service: "keyed".into(),
        backoff: Duration::from_secs(3),
    };
    assert_eq!(harness.dispatcher.take_back_end_events(), vec![event]);
    for _ in 0..29 {
        assert!(!reaches_owner(&mut harness));
        // Registrations that arrive meanwhile do not end the backoff.
        harness.publish_back_ends();
        harness.advance(100);
    }
    harness.advance(100);
    assert!(reaches_owner(&mut harness));
}

#[test]
fn request_whose_owner_backs_off_is_refused_at_once_with_the_end_of_the_backoff() {
    let mut harness = Harness::new();
    request_backoff(&mut harness, "keyed", KEY, seconds(3));
    harness.advance(1_000);
    let begun = harness.begin_with("keyed", KEY).expect("admitted");
    let step = harness.next(&begun);
    let Step::Finish(Outcome::Refused(refusal)) = step else {
        panic!("{step:?}");
    };
    assert_eq!(refusal.reason, RefusalReason::BackEndResting);
    assert_eq!(refusal.retry_after, Some(Duration::from_secs(2)));
}

#[test]
fn of_two_backoffs_the_one_that_ends_last_counts() {
    let mut harness = Harness::new();
    let other = harness.begin_with("keyed", KEY).expect("admitted");
    let attempt = harness.send(&other);
    request_backoff(&mut harness, "keyed", KEY, seconds(3));
    let shorter = Signals {
        backoff: seconds(1),
        ..Signals::default()
    };
    let now = harness.now;
    harness
        .dispatcher
        .on_response_head(now, other.id, attempt.id, &shorter);
    harness.advance(2_000);
    assert!(!reaches_owner(&mut harness));
}

#[test]
fn unlimited_backoff_ends_after_some_minutes() {
    let mut harness = Harness::new();
    request_backoff(
        &mut harness,
        "keyed",
        KEY,
        RequestedBackoff::For(Duration::MAX),
    );
    harness.advance(299_000);
    assert!(!reaches_owner(&mut harness));
    harness.advance(2_000);
    assert!(reaches_owner(&mut harness));
}

#[test]
fn unreadable_backoff_is_one_event() {
    let mut harness = Harness::new();
    request_backoff(&mut harness, "keyed", KEY, RequestedBackoff::Unreadable);
    let events = harness.dispatcher.take_back_end_events();
    assert!(matches!(
        events[..],
        [BackEndEvent::BackoffUnreadable { .. }]
    ));
    harness.advance(2_000);
    request_backoff(&mut harness, "keyed", KEY, RequestedBackoff::Unreadable);
    assert!(harness.dispatcher.take_back_end_events().is_empty());
}

#[test]
fn attempt_started_before_a_backoff_was_requested_may_not_be_sent_after_it() {
    let mut harness = Harness::new();
    let slow = harness.begin_with("keyed", KEY).expect("admitted");
    let Step::Send(attempt) = harness.next(&slow) else {
        panic!("not sent");
    };
    request_backoff(&mut harness, "keyed", KEY, seconds(3));
    let now = harness.now;
    assert!(!harness.dispatcher.may_send(now, slow.id, attempt.id));
}

#[test]
fn refusals_while_all_back_ends_back_off_use_no_retry_budget() {
    let mut harness = Harness::new();
    for _ in 0..2 {
        request_backoff(&mut harness, "safe", None, seconds(3));
    }
    let repeats = harness.dispatcher.counters().repeats;
    for _ in 0..20 {
        let begun = harness.begin("safe").expect("admitted");
        assert!(is_refused(&harness.next(&begun)));
        harness.advance(50);
    }
    let counters = harness.dispatcher.counters();
    assert_eq!((counters.repeats, counters.repeats_denied), (repeats, 0));
}
