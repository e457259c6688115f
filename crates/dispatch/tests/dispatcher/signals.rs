//! What back ends say in their answers that concerns later requests.

use threadledge_dispatch::{AttemptEnd, Signals, Step};
use threadledge_types::deployment::{BackEndName, ServiceName};

use super::support::{Station, answered, back_end, is_refused};

const KEY: Option<u16> = Some(7);

/// Sends one request, and lets the head of its answer say this.
fn hear(station: &mut Station, route: &str, key: Option<u16>, signals: &Signals, end: AttemptEnd) {
    let begun = station.begin_with(route, key).expect("admitted");
    let attempt = station.send(&begun);
    station.after(20);
    let now = station.now;
    station
        .dispatcher
        .on_head(now, begun.id, attempt.id, signals);
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
    let next = BackEndName::of_life("k-1", Some(5_000));
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
    let service = ServiceName::from("keyed");
    hear_leaving(&mut station);
    let left = station.dispatcher.take_left();
    assert_eq!(left, vec![("k-1".into(), service.clone())]);
    assert!(station.dispatcher.take_left().is_empty());
    for _ in 0..2 {
        let report = station.dispatcher.take_load(&service);
        assert_eq!(report.leaving, vec![BackEndName::from("k-1")]);
    }
    let entry = station.back_ends.iter_mut();
    for entry in entry.filter(|entry| entry.name.as_str() == "k-1") {
        entry.draining = true;
    }
    station.publish();
    assert!(station.dispatcher.take_load(&service).leaving.is_empty());
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
