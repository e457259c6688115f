//! Which paths count as lost, and when they are checked.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use threadledge_paths::{DirectPaths, Evidence, PathChange};
use threadledge_types::Timestamp;

fn back_end(number: u16) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], 8_000 + number))
}

fn at(millis: u64) -> Timestamp {
    Timestamp::from_millis(millis)
}

fn reached(back_ends: u16) -> DirectPaths {
    let mut paths = DirectPaths::default();
    for number in 0..back_ends {
        paths.on_connected(at(0), back_end(number));
    }
    paths
}

#[test]
fn path_is_lost_until_a_new_connection_opens_whatever_old_ones_answer() {
    let mut paths = reached(2);
    paths.on_connect_failed(at(10), back_end(0), Evidence::Refused);
    paths.on_answer(at(20), back_end(0));
    assert!(paths.is_lost(back_end(0)));
    assert!(!paths.is_lost(back_end(1)));
    paths.on_connected(at(30), back_end(0));
    assert!(!paths.is_lost(back_end(0)));
    let changes = paths.take_changes();
    assert!(matches!(changes[0], PathChange::Lost { .. }), "{changes:?}");
    assert!(
        matches!(changes[1], PathChange::Restored { .. }),
        "{changes:?}"
    );
}

#[test]
fn silence_of_one_back_end_checks_it_alone_and_total_silence_checks_all() {
    let mut paths = reached(5);
    paths.on_answer(at(150), back_end(4));
    assert_eq!(
        paths.on_silence(at(200), back_end(0), at(100)),
        [back_end(0)]
    );
    let mut paths = reached(5);
    let all: BTreeSet<SocketAddr> = (0..5).map(back_end).collect();
    let checks = paths.on_silence(at(200), back_end(0), at(100));
    assert_eq!(BTreeSet::from_iter(checks), all);
    assert_eq!(paths.on_silence(at(210), back_end(0), at(100)), []);
}

#[test]
fn all_lost_paths_are_checked_at_once_after_one_works_again() {
    let mut paths = reached(40);
    for number in 0..40 {
        paths.on_connect_failed(at(10), back_end(number), Evidence::Timeout);
    }
    let first = paths.take_due_checks(at(400));
    assert!(!first.is_empty() && first.len() < 40, "{}", first.len());
    paths.on_connected(at(410), first[0]);
    let rest: BTreeSet<SocketAddr> = paths.take_due_checks(at(410)).into_iter().collect();
    assert!((0..40).all(|each| first.contains(&back_end(each)) || rest.contains(&back_end(each))));
}

#[test]
fn gateway_that_lost_most_paths_to_a_service_is_no_witness() {
    let service: Vec<SocketAddr> = (0..4).map(back_end).collect();
    let mut paths = reached(40);
    assert!(paths.is_witness(&service));
    paths.on_connect_failed(at(10), back_end(0), Evidence::Timeout);
    paths.on_connect_failed(at(10), back_end(1), Evidence::Timeout);
    assert!(paths.is_witness(&service));
    paths.on_connect_failed(at(10), back_end(2), Evidence::Timeout);
    assert!(!paths.is_witness(&service));
}

#[test]
fn path_is_proven_by_a_recent_answer_or_connection_only() {
    let mut paths = reached(1);
    assert!(paths.is_proven(at(199), back_end(0)));
    assert!(!paths.is_proven(at(200), back_end(0)));
    paths.on_answer(at(300), back_end(0));
    assert!(paths.is_proven(at(499), back_end(0)));
    assert!(!paths.is_proven(at(500), back_end(0)));
    assert!(!paths.is_proven(at(0), back_end(1)));
}
