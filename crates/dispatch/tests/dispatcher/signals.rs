//! What back ends say in their answers that concerns later requests.

use std::time::Duration;

use threadledge_dispatch::outcome::Rejection;
use threadledge_dispatch::{
    AttemptEnd, BackEndEvent, Outcome, RefusalReason, RequestedBackoff, Signals, Step,
};
use threadledge_types::deployment::{BackEndName, ServiceName};

use super::support::{Station, answered, back_end, is_refused, not_run};

const KEY: Option<u16> = Some(7);

/// Sends one request, and lets the head of its answer say this.
fn hear(station: &mut Station, route: &str, key: Option<u16>, signals: &Signals, end: AttemptEnd) {
    let begun = station.begin_with(route, key).expect("admitted");
    let attempt = station.send(&begun);
    station.after(20);
    let now = station.now;
    station
        .dispatcher
        .on_response_head(now, begun.id, attempt.id, signals);
    station.end(&begun, &attempt, end);
    station.dispatcher.abandon(now, begun.id);
}

fn hear_leaving(station: &mut Station) {
    let leaving = Signals {
        leaving: true,
        ..Signals::default()
    };
    hear(station, "keyed", KEY, &leaving, answered());
}

/// Whether a request for the key is sent to its owner.
fn is_asked(station: &mut Station) -> bool {
    let begun = station.begin_with("keyed", KEY).expect("admitted");
    let sent = matches!(station.next(&begun), Step::Send(_));
    station.dispatcher.abandon(station.now, begun.id);
    sent
}

#[test]
fn back_end_that_said_that_it_leaves_gets_nothing_whatever_lists_say() {
    let mut station = Station::new();
    hear_leaving(&mut station);
    assert!(!is_asked(&mut station));
    // Its entry still says that it is ready.
    station.publish();
    assert!(!is_asked(&mut station));
    let all = std::mem::take(&mut station.back_ends);
    station.publish();
    station.after(2_000);
    station.back_ends = all;
    station.publish();
    assert!(!is_asked(&mut station));
}

#[test]
fn what_a_back_end_says_counts_also_while_a_list_lacks_it() {
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
        let mut station = Station::new();
        let begun = station.begin_with("keyed", KEY).expect("admitted");
        let attempt = station.send(&begun);
        let all = std::mem::take(&mut station.back_ends);
        station.publish();
        let now = station.now;
        station
            .dispatcher
            .on_response_head(now, begun.id, attempt.id, &signals);
        station.back_ends = all;
        station.publish();
        station.after(1_000);
        assert!(!is_asked(&mut station), "{signals:?}");
    }
}

#[test]
fn request_that_was_chosen_before_the_back_end_said_that_it_leaves_is_not_sent_after() {
    let mut station = Station::new();
    let slow = station.begin_with("keyed", KEY).expect("admitted");
    let Step::Send(attempt) = station.next(&slow) else {
        panic!("not sent");
    };
    hear_leaving(&mut station);
    let now = station.now;
    assert!(!station.dispatcher.may_send(now, slow.id, attempt.id));
    station.end(&slow, &attempt, AttemptEnd::Abandoned);
    assert!(!matches!(station.next(&slow), Step::Send(_)));
}

#[test]
fn next_life_of_a_back_end_that_left_gets_requests() {
    let mut station = Station::new();
    hear_leaving(&mut station);
    let next = BackEndName::new("k-1", Some(5_000));
    station
        .back_ends
        .push(back_end(next.as_str(), "keyed", "near", 3));
    station.publish();
    station.own(next.as_str(), "k-2");
    assert!(is_asked(&mut station));
}

#[test]
fn leaving_is_told_once_and_reported_until_the_store_tells_of_it() {
    let mut station = Station::new();
    let early = station.begin_with("keyed", KEY).expect("admitted");
    let attempt = station.send(&early);
    let service = ServiceName::from("keyed");
    hear_leaving(&mut station);
    let told = BackEndEvent::Leaving {
        back_end: "k-1".into(),
        service: service.clone(),
    };
    assert_eq!(station.dispatcher.take_back_end_events(), vec![told]);
    let now = station.now;
    let leaving = Signals {
        leaving: true,
        ..Signals::default()
    };
    station
        .dispatcher
        .on_response_head(now, early.id, attempt.id, &leaving);
    assert!(station.dispatcher.take_back_end_events().is_empty());
    for _ in 0..2 {
        let report = station.dispatcher.take_load_report(&service);
        assert_eq!(report.leaving, vec![BackEndName::from("k-1")]);
    }
    let entry = station.back_ends.iter_mut();
    for entry in entry.filter(|entry| entry.name.as_str() == "k-1") {
        entry.draining = true;
    }
    station.publish();
    assert!(
        station
            .dispatcher
            .take_load_report(&service)
            .leaving
            .is_empty()
    );
}

#[test]
fn request_whose_owner_leaves_is_refused_in_time() {
    let mut station = Station::new();
    hear_leaving(&mut station);
    let begun = station.begin_with("keyed", KEY).expect("admitted");
    station.next(&begun);
    station.after(100);
    assert!(is_refused(&station.next(&begun)));
}

fn hear_rest(station: &mut Station, route: &str, key: Option<u16>, backoff: RequestedBackoff) {
    let signals = Signals {
        backoff,
        ..Signals::default()
    };
    hear(station, route, key, &signals, not_run(Rejection::Busy));
}

fn seconds(seconds: u64) -> RequestedBackoff {
    RequestedBackoff::For(Duration::from_secs(seconds))
}

#[test]
fn owner_that_asked_for_rest_gets_nothing_until_its_end() {
    let mut station = Station::new();
    hear_rest(&mut station, "keyed", KEY, seconds(3));
    let told = BackEndEvent::Resting {
        back_end: "k-1".into(),
        service: "keyed".into(),
        backoff: Duration::from_secs(3),
    };
    assert_eq!(station.dispatcher.take_back_end_events(), vec![told]);
    for _ in 0..29 {
        assert!(!is_asked(&mut station));
        // Registrations that come meanwhile end no backoff.
        station.publish();
        station.after(100);
    }
    station.after(100);
    assert!(is_asked(&mut station));
}

#[test]
fn request_whose_owner_rests_is_refused_at_once_with_the_end_of_the_rest() {
    let mut station = Station::new();
    hear_rest(&mut station, "keyed", KEY, seconds(3));
    station.after(1_000);
    let begun = station.begin_with("keyed", KEY).expect("admitted");
    let step = station.next(&begun);
    let Step::Finish(Outcome::Refused(refusal)) = step else {
        panic!("{step:?}");
    };
    assert_eq!(refusal.reason, RefusalReason::BackEndResting);
    assert_eq!(refusal.retry_after, Some(Duration::from_secs(2)));
}

#[test]
fn of_two_rests_the_one_counts_that_ends_last() {
    let mut station = Station::new();
    let other = station.begin_with("keyed", KEY).expect("admitted");
    let attempt = station.send(&other);
    hear_rest(&mut station, "keyed", KEY, seconds(3));
    let shorter = Signals {
        backoff: seconds(1),
        ..Signals::default()
    };
    let now = station.now;
    station
        .dispatcher
        .on_response_head(now, other.id, attempt.id, &shorter);
    station.after(2_000);
    assert!(!is_asked(&mut station));
}

#[test]
fn rest_without_end_ends_after_some_minutes() {
    let mut station = Station::new();
    hear_rest(
        &mut station,
        "keyed",
        KEY,
        RequestedBackoff::For(Duration::MAX),
    );
    station.after(299_000);
    assert!(!is_asked(&mut station));
    station.after(2_000);
    assert!(is_asked(&mut station));
}

#[test]
fn rest_that_is_no_time_is_told_once() {
    let mut station = Station::new();
    hear_rest(&mut station, "keyed", KEY, RequestedBackoff::Unreadable);
    let told = station.dispatcher.take_back_end_events();
    assert!(matches!(told[..], [BackEndEvent::BackoffUnreadable { .. }]));
    station.after(2_000);
    hear_rest(&mut station, "keyed", KEY, RequestedBackoff::Unreadable);
    assert!(station.dispatcher.take_back_end_events().is_empty());
}

#[test]
fn request_that_was_chosen_before_the_rest_was_asked_for_is_not_sent_after() {
    let mut station = Station::new();
    let slow = station.begin_with("keyed", KEY).expect("admitted");
    let Step::Send(attempt) = station.next(&slow) else {
        panic!("not sent");
    };
    hear_rest(&mut station, "keyed", KEY, seconds(3));
    let now = station.now;
    assert!(!station.dispatcher.may_send(now, slow.id, attempt.id));
}

#[test]
fn refusals_while_all_back_ends_rest_cost_no_retry() {
    let mut station = Station::new();
    for _ in 0..2 {
        hear_rest(&mut station, "safe", None, seconds(3));
    }
    let repeats = station.dispatcher.counters().repeats;
    for _ in 0..20 {
        let begun = station.begin("safe").expect("admitted");
        assert!(is_refused(&station.next(&begun)));
        station.after(50);
    }
    let counters = station.dispatcher.counters();
    assert_eq!((counters.repeats, counters.repeats_denied), (repeats, 0));
}
