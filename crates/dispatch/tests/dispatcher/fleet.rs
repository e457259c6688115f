//! What a router leaves to the others.

use std::time::Duration;

use threadledge_dispatch::{Fault, Step};

use super::support::{Station, answered, failed_answer, fault, is_refused};

/// Repeats that one router makes for 40 requests that fail at first, a while
/// after it was told that so many routers are there.
fn repeats(routers: Option<u32>) -> usize {
    let mut station = Station::new();
    if let Some(routers) = routers {
        station
            .dispatcher
            .set_router_count(station.now, routers, None);
    }
    station.after(20_000);
    let mut repeats = 0;
    for _ in 0..40 {
        let begun = station.begin("safe").expect("admitted");
        let first = station.send(&begun);
        station.end(&begun, &first, failed_answer());
        if let Step::Send(second) = station.next(&begun) {
            repeats += 1;
            station.end(&begun, &second, answered());
        }
    }
    repeats
}

/// Of 100 repeats beside the ratio, half may come at once.
#[test]
fn slack_of_the_retry_budget_is_divided_among_routers() {
    assert_eq!(repeats(None), 40);
    let alone = repeats(Some(10));
    assert!(
        (10..=20).contains(&alone),
        "{alone} repeats of 100 / 10 + ratio"
    );
    let few = repeats(Some(100));
    assert!(
        (1..=10).contains(&few),
        "{few} repeats of 100 / 100 + ratio"
    );
}

#[test]
fn connections_that_back_ends_take_are_divided_among_routers() {
    let limit = |routers| {
        let mut station = Station::new();
        station
            .dispatcher
            .set_router_count(station.now, routers, None);
        let begun = station.begin("safe").expect("admitted");
        station.send(&begun).connection_limit
    };
    // The stations' back ends take 100 connections, of which 80 are shared.
    assert_eq!(limit(1), 8);
    assert_eq!(limit(20), 4);
    assert_eq!(limit(1_000), 1);
}

/// Some back ends break connections when they are full. Their owner's keys
/// have nowhere else to go: without the estimate each request breaks anew.
#[test]
fn owner_that_breaks_connections_at_once_is_left_alone_for_a_moment() {
    let mut station = Station::new();
    let warm = station.begin_with("keyed", Some(1)).expect("admitted");
    let attempt = station.send(&warm);
    station.after(100);
    station.end(&warm, &attempt, answered());
    let full = station.begin_with("keyed", Some(1)).expect("admitted");
    let attempt = station.send(&full);
    station.after(2);
    station.end(&full, &attempt, fault(Fault::Broken));
    let next = station.begin_with("keyed", Some(1)).expect("admitted");
    assert!(matches!(station.next(&next), Step::Wait(_)));
    station.after(100);
    assert!(is_refused(&station.next(&next)));
    station.after(50);
    let later = station.begin_with("keyed", Some(1)).expect("admitted");
    assert!(matches!(station.next(&later), Step::Send(_)));
}

/// A connection that breaks while the request may be running says nothing
/// about how full the back end is.
#[test]
fn owner_that_breaks_a_connection_late_is_asked_again() {
    let mut station = Station::new();
    let warm = station.begin_with("keyed", Some(1)).expect("admitted");
    let attempt = station.send(&warm);
    station.after(100);
    station.end(&warm, &attempt, answered());
    let broken = station.begin_with("keyed", Some(1)).expect("admitted");
    let attempt = station.send(&broken);
    station.after(90);
    station.end(&broken, &attempt, fault(Fault::Broken));
    let next = station.begin_with("keyed", Some(1)).expect("admitted");
    assert!(matches!(station.next(&next), Step::Send(_)));
}

/// With many routers each may have one connection to a back end only. Without
/// the bound a second request was chosen for, refused by the pool and chosen
/// for again without end.
#[test]
fn request_waits_while_every_connection_to_its_owner_is_used() {
    let mut station = Station::new();
    station
        .dispatcher
        .set_router_count(station.now, 1_000, None);
    let first = station.begin_with("keyed", Some(1)).expect("admitted");
    let attempt = station.send(&first);
    let second = station.begin_with("keyed", Some(2)).expect("admitted");
    assert!(matches!(station.next(&second), Step::Wait(_)));
    station.after(20);
    station.end(&first, &attempt, answered());
    assert!(matches!(station.next(&second), Step::Send(_)));
}

/// An answer that is still being passed on holds its connection, which the
/// dispatcher does not see.
#[test]
fn owner_without_a_free_connection_is_not_asked_at_once_again() {
    let mut station = Station::new();
    let begun = station.begin_with("keyed", Some(1)).expect("admitted");
    let attempt = station.send(&begun);
    station.end(&begun, &attempt, fault(Fault::NoConnection));
    let pause = Duration::from_millis(20);
    assert_eq!(station.next(&begun), Step::Wait(station.now + pause));
    station.after(20);
    assert!(matches!(station.next(&begun), Step::Send(_)));
}
