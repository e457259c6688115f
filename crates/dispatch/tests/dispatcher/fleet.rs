//! How the retry budget and the connections are divided among routers, and how
//! a router treats back ends that are full.

use std::time::Duration;

use threadledge_dispatch::{Fault, Step};

use super::support::{Harness, answered, failed_answer, fault, is_refused};

/// Number of retries by one router for 40 requests that fail at first, some
/// time after it was told this number of routers.
fn repeats(routers: Option<u32>) -> usize {
    let mut harness = Harness::new();
    if let Some(routers) = routers {
        harness
            .dispatcher
            .set_router_count(harness.now, routers, None);
    }
    harness.advance(20_000);
    let mut repeats = 0;
    for _ in 0..40 {
        let begun = harness.begin("safe").expect("admitted");
        let first = harness.send(&begun);
        harness.end(&begun, &first, failed_answer());
        if let Step::Send(second) = harness.next(&begun) {
            repeats += 1;
            harness.end(&begun, &second, answered());
        }
    }
    repeats
}

/// Of 100 retries in addition to the ratio, half may be sent at once.
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
fn connections_to_back_ends_are_divided_among_routers() {
    let limit = |routers| {
        let mut harness = Harness::new();
        harness
            .dispatcher
            .set_router_count(harness.now, routers, None);
        let begun = harness.begin("safe").expect("admitted");
        harness.send(&begun).connection_limit
    };
    // The back ends accept 100 connections, of which 80 are shared.
    assert_eq!(limit(1), 8);
    assert_eq!(limit(20), 4);
    assert_eq!(limit(1_000), 1);
}

/// Some back ends break connections when they are full. Keys of such an owner
/// cannot go elsewhere: without a pause, each request would break again.
#[test]
fn owner_that_breaks_connections_at_once_is_paused() {
    let mut harness = Harness::new();
    let warm = harness.begin_with("keyed", Some(1)).expect("admitted");
    let attempt = harness.send(&warm);
    harness.advance(100);
    harness.end(&warm, &attempt, answered());
    let full = harness.begin_with("keyed", Some(1)).expect("admitted");
    let attempt = harness.send(&full);
    harness.advance(2);
    harness.end(&full, &attempt, fault(Fault::Broken));
    let next = harness.begin_with("keyed", Some(1)).expect("admitted");
    assert!(matches!(harness.next(&next), Step::Wait(_)));
    harness.advance(100);
    assert!(is_refused(&harness.next(&next)));
    harness.advance(50);
    let later = harness.begin_with("keyed", Some(1)).expect("admitted");
    assert!(matches!(harness.next(&later), Step::Send(_)));
}

/// A connection that breaks while the request may be running says nothing about
/// how full the back end is.
#[test]
fn owner_that_breaks_a_connection_late_is_not_paused() {
    let mut harness = Harness::new();
    let warm = harness.begin_with("keyed", Some(1)).expect("admitted");
    let attempt = harness.send(&warm);
    harness.advance(100);
    harness.end(&warm, &attempt, answered());
    let broken = harness.begin_with("keyed", Some(1)).expect("admitted");
    let attempt = harness.send(&broken);
    harness.advance(90);
    harness.end(&broken, &attempt, fault(Fault::Broken));
    let next = harness.begin_with("keyed", Some(1)).expect("admitted");
    assert!(matches!(harness.next(&next), Step::Send(_)));
}

/// With many routers, each may have only one connection to a back end. Without
/// the limit, a second request was assigned, refused by the connection pool and
/// assigned again without end.
#[test]
fn request_waits_while_every_connection_to_its_owner_is_used() {
    let mut harness = Harness::new();
    harness
        .dispatcher
        .set_router_count(harness.now, 1_000, None);
    let first = harness.begin_with("keyed", Some(1)).expect("admitted");
    let attempt = harness.send(&first);
    let second = harness.begin_with("keyed", Some(2)).expect("admitted");
    assert!(matches!(harness.next(&second), Step::Wait(_)));
    harness.advance(20);
    harness.end(&first, &attempt, answered());
    assert!(matches!(harness.next(&second), Step::Send(_)));
}

/// A response that is still being streamed holds its connection, which the
/// dispatcher does not see.
#[test]
fn owner_without_a_free_connection_is_retried_after_a_pause() {
    let mut harness = Harness::new();
    let begun = harness.begin_with("keyed", Some(1)).expect("admitted");
    let attempt = harness.send(&begun);
    harness.end(&begun, &attempt, fault(Fault::NoConnection));
    let pause = Duration::from_millis(20);
    assert_eq!(harness.next(&begun), Step::Wait(harness.now + pause));
    harness.advance(20);
    assert!(matches!(harness.next(&begun), Step::Send(_)));
}
