//! Thousands of back ends, sent by relays in parts that fit their links.

use threadledge::gateway::cluster_state::ClusterState;
use threadledge::gateway::watcher::Update;
use threadledge_ports::Listing;
use threadledge_types::Timestamp;

use super::samples::{back_end, empty_state, entry};

/// The time is irrelevant here: nothing expires.
const NOW: Timestamp = Timestamp::ZERO;
const BACK_ENDS: u64 = 10_000;
/// Links of large and small machines, in Mbit/s.
const LARGE_LINK_MBPS: f64 = 200.0;
const SMALL_LINK_MBPS: f64 = 20.0;

fn relay() -> ClusterState {
    let mut relay = empty_state();
    relay.set_link_speed(LARGE_LINK_MBPS);
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

/// Polls once and returns the size of the answer in bytes.
fn poll(follower: &mut ClusterState, relay: &ClusterState) -> usize {
    let delta = relay.delta_since(&follower.position(), NOW);
    let bytes = serde_json::to_vec(&delta).expect("serialized").len();
    follower.apply_delta(delta, NOW);
    bytes
}

/// Time in seconds for which answers of this size to all followers occupy a
/// link.
fn transfer_seconds(bytes: usize, followers: usize, mbps: f64) -> f64 {
    bytes as f64 * followers as f64 * 8.0 / (mbps * 1e6)
}

/// On two levels of a zone's tree, sending an answer to each follower and the
/// age of the store's own data (0.6 s) stay within the age at which followers
/// leave a relay (1.2 s). An incomplete list is not used.
#[test]
fn back_ends_are_sent_in_parts_and_used_once_complete() {
    let mut relay = relay();
    relay.set_follower_count(32);
    let mut follower = empty_state();
    follower.set_link_speed(SMALL_LINK_MBPS);
    let mut second_level = empty_state();
    let mut polls = 0;
    while follower.position() != relay.position() {
        let bytes = poll(&mut follower, &relay);
        let first = transfer_seconds(bytes, 32, LARGE_LINK_MBPS);
        assert!(first < 0.3, "{bytes} bytes");
        polls += 1;
        let complete = follower.position() == relay.position();
        assert_eq!(
            follower.back_ends(NOW).is_some(),
            complete,
            "a part is not used"
        );
        follower.set_follower_count(6);
        let bytes = poll(&mut second_level, &follower);
        let second = transfer_seconds(bytes, 6, SMALL_LINK_MBPS);
        assert!(first + second < 0.6, "{bytes} bytes");
    }
    assert_eq!(polls, 15);
    assert_eq!(follower.back_ends(NOW), relay.back_ends(NOW));
    while second_level.position() != relay.position() {
        assert!(second_level.back_ends(NOW).is_none(), "a part is not used");
        poll(&mut second_level, &follower);
    }
    assert_eq!(second_level.back_ends(NOW), relay.back_ends(NOW));
}

/// A gateway that reports ready without back ends would refuse requests that
/// others could serve.
#[test]
fn no_back_end_is_used_before_the_list_is_complete() {
    let mut follower = empty_state();
    assert!(follower.back_ends(NOW).is_none());
    let none = Listing {
        entries: Vec::new(),
        at: 3,
    };
    follower.apply_back_ends(Update::Listed(none), NOW);
    assert_eq!(follower.back_ends(NOW).map(|all| all.len()), Some(0));
}

/// A changed back end is found without scanning all of them: a relay computes a
/// delta for each follower.
#[test]
fn one_changed_back_end_is_sent_alone() {
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
    let delta = relay.delta_since(&follower.position(), NOW);
    assert_eq!(delta.back_ends.len(), 1);
    assert!(!delta.more_back_ends);
    follower.apply_delta(delta, NOW);
    assert_eq!(follower.back_ends(NOW), relay.back_ends(NOW));
}

/// Guards against a gateway that counts as complete with only the first parts:
/// its own stale list was older than the last part and was discarded.
#[test]
fn an_older_list_completes_a_partial_state() {
    let mut relay = relay();
    relay.set_follower_count(32);
    let mut follower = empty_state();
    for _ in 0..3 {
        poll(&mut follower, &relay);
    }
    let listed_at = follower.position().back_ends - 1;
    let numbers = 1..=listed_at;
    let entries = numbers.map(|number| {
        let id = format!("b-{number}");
        entry(&id, number, back_end(&id, false))
    });
    let entries = entries.collect();
    let listing = Listing {
        entries,
        at: listed_at,
    };
    follower.apply_back_ends(Update::Listed(listing), NOW);
    assert_eq!(follower.position().back_ends, listed_at);
    assert_eq!(
        follower.back_ends(NOW).map(|all| all.len() as u64),
        Some(listed_at)
    );
}
