//! Thousands of back ends, told by relays in parts that their links bear.

use threadledge::gateway::cluster_state::ClusterState;
use threadledge::gateway::watcher::Update;
use threadledge_ports::Listing;
use threadledge_types::Timestamp;

use super::samples::{back_end, empty_state, entry};

/// Any time: nothing here is awaited.
const NOW: Timestamp = Timestamp::ZERO;
const BACK_ENDS: u64 = 10_000;
/// Links of the machines, in Mbit/s.
const LARGE: f64 = 200.0;
const SMALL: f64 = 20.0;

fn relay() -> ClusterState {
    let mut relay = empty_state();
    relay.set_link_speed(LARGE);
    let numbers = 1..=BACK_ENDS;
    let entries = numbers.map(|number| {
        let id = format!("b-{number}");
        entry(&id, number, back_end(&id, false))
    });
    let entries = entries.collect();
    let at = BACK_ENDS + 7;
    relay.apply_back_ends(Update::Listed(Listing { entries, at }), NOW);
    relay
}

/// One poll; the bytes of the answer.
fn poll(follower: &mut ClusterState, relay: &ClusterState) -> usize {
    let told = relay.delta_since(&follower.position(), NOW);
    let bytes = serde_json::to_vec(&told).expect("written").len();
    follower.apply_delta(told, NOW);
    bytes
}

/// Seconds for which answers of so many bytes fill a link.
fn seconds(bytes: usize, followers: usize, mbps: f64) -> f64 {
    bytes as f64 * followers as f64 * 8.0 / (mbps * 1e6)
}

/// Two levels of a zone's tree, an answer to each follower and the store's own
/// age (0.6 s) stay within the age at which followers give a relay up (1.2 s);
/// nobody counts on a part.
#[test]
fn back_ends_are_told_in_parts_and_used_once_all_are_told() {
    let mut relay = relay();
    relay.set_follower_count(32);
    let mut follower = empty_state();
    follower.set_link_speed(SMALL);
    let mut below = empty_state();
    let mut polls = 0;
    while follower.position() != relay.position() {
        let bytes = poll(&mut follower, &relay);
        let first = seconds(bytes, 32, LARGE);
        assert!(first < 0.3, "{bytes} bytes");
        polls += 1;
        let all = follower.position() == relay.position();
        assert_eq!(follower.back_ends(NOW).is_some(), all, "a part is not used");
        follower.set_follower_count(6);
        let bytes = poll(&mut below, &follower);
        let second = seconds(bytes, 6, SMALL);
        assert!(first + second < 0.6, "{bytes} bytes");
    }
    assert_eq!(polls, 15);
    assert_eq!(follower.back_ends(NOW), relay.back_ends(NOW));
    while below.position() != relay.position() {
        assert!(below.back_ends(NOW).is_none(), "a part is not used");
        poll(&mut below, &follower);
    }
    assert_eq!(below.back_ends(NOW), relay.back_ends(NOW));
}

/// A gateway that is ready with no back end refuses what others would serve.
#[test]
fn nobody_counts_on_back_ends_before_they_are_told() {
    let mut follower = empty_state();
    assert!(follower.back_ends(NOW).is_none());
    let none = Listing {
        entries: Vec::new(),
        at: 3,
    };
    follower.apply_back_ends(Update::Listed(none), NOW);
    assert_eq!(follower.back_ends(NOW).map(|all| all.len()), Some(0));
}

/// One that changes is found without a walk over all: a relay looks for each
/// of its followers.
#[test]
fn one_back_end_that_changes_is_told_alone() {
    let mut relay = relay();
    let mut follower = relay.clone();
    let at = BACK_ENDS + 8;
    let changes = vec![threadledge_ports::Change::Put(entry(
        "b-9",
        at,
        back_end("b-9", true),
    ))];
    let update = Update::Changed(threadledge_ports::Changes { changes, at });
    relay.apply_back_ends(update, NOW);
    let told = relay.delta_since(&follower.position(), NOW);
    assert_eq!(told.back_ends.len(), 1);
    assert!(!told.more_back_ends);
    follower.apply_delta(told, NOW);
    assert_eq!(follower.back_ends(NOW), relay.back_ends(NOW));
}
