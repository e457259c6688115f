//! Registrations that lapse during an outage of the store, in virtual time.

use std::time::Duration;

use threadledge::gateway::cluster_state::{ClusterState, StateChange};
use threadledge::gateway::outage::OutageTracker;
use threadledge::gateway::sync::Delta;
use threadledge::gateway::watcher::Update;
use threadledge_coordination::action::StoreRevision;
use threadledge_ports::{Change, Changes, Listing};
use threadledge_types::Timestamp;
use threadledge_types::deployment::BackEnd;

use super::samples::{back_end, back_ends, empty_state, entry};

/// For updates whose time is irrelevant.
const NOW: Timestamp = Timestamp::ZERO;
const HEARTBEAT: Duration = Duration::from_millis(1_300);

fn at(millis: u64) -> Timestamp {
    Timestamp::from_millis(millis)
}

fn gone(at: StoreRevision, names: &[&str]) -> Update<BackEnd> {
    let changes = names.iter().map(|name| Change::Gone((*name).to_owned()));
    let changes = changes.collect();
    Update::Changed(Changes { changes, at })
}

fn registered_again(at: StoreRevision, name: &str) -> Update<BackEnd> {
    let changes = vec![Change::Put(entry(name, at, back_end(name, false)))];
    Update::Changed(Changes { changes, at })
}

/// A state with back ends `a`, `b`, and `c`, which is draining.
fn state_with_back_ends() -> ClusterState {
    let mut state = empty_state();
    let entries = vec![
        entry("a", 1, back_end("a", false)),
        entry("b", 2, back_end("b", false)),
        entry("c", 3, back_end("c", true)),
    ];
    state.apply_back_ends(Update::Listed(Listing { entries, at: 3 }), NOW);
    state
}

fn names(state: &ClusterState) -> Vec<String> {
    let back_ends = back_ends(state);
    back_ends.iter().map(|each| each.name.to_string()).collect()
}

/// The relay's delta for the follower, serialized and deserialized as on the
/// network.
fn delta_over_the_wire(relay: &ClusterState, follower: &ClusterState, now: Timestamp) -> Delta {
    let delta = relay.delta_since(&follower.position(), now);
    let text = serde_json::to_string(&delta).expect("serialized");
    serde_json::from_str(&text).expect("deserialized")
}

#[test]
fn grace_period_starts_with_the_first_answer_after_an_outage() {
    let mut outage = OutageTracker::new(HEARTBEAT);
    outage.record_answer(at(50_000));
    assert_eq!(outage.grace_until(at(50_000)), None, "a start is no return");
    outage.record_answer(at(52_500));
    assert_eq!(outage.grace_until(at(52_500)), None, "too short to lapse");
    outage.record_answer(at(55_100));
    assert_eq!(outage.grace_until(at(55_200)), Some(at(57_100)));
    outage.record_answer(at(54_000));
    outage.record_answer(at(56_000));
    assert_eq!(outage.grace_until(at(57_099)), Some(at(57_100)));
    assert_eq!(outage.grace_until(at(57_100)), None);
    outage.record_answer(at(60_000));
    assert_eq!(outage.grace_until(at(60_000)), Some(at(62_000)));
}

#[test]
fn lapsed_registration_that_returns_causes_no_change() {
    let mut state = state_with_back_ends();
    state.set_lapse_grace(Some(at(12_000)));
    let changes = state.apply_back_ends(gone(4, &["a"]), NOW);
    assert!(matches!(changes[..], [StateChange::Lapsed(_)]));
    assert_eq!(names(&state), ["a", "b", "c"]);
    assert!(state.expire_lapsed(at(11_999)).is_empty());
    assert!(
        state
            .apply_back_ends(registered_again(5, "a"), NOW)
            .is_empty()
    );
    assert!(state.expire_lapsed(at(12_000)).is_empty());
    assert_eq!(names(&state), ["a", "b", "c"]);
}

#[test]
fn registration_missing_after_the_grace_period_is_gone() {
    let mut state = state_with_back_ends();
    state.set_lapse_grace(Some(at(12_000)));
    state.apply_back_ends(gone(4, &["a"]), NOW);
    assert_eq!(state.next_expiry(), Some(at(12_000)));
    let changes = state.expire_lapsed(at(12_000));
    assert!(matches!(&changes[..], [StateChange::Gone(each)] if each.name.as_str() == "a"));
    assert_eq!(names(&state), ["b", "c"]);
    assert_eq!(state.next_expiry(), None);
}

#[test]
fn list_after_an_outage_starts_grace_periods() {
    let mut state = state_with_back_ends();
    state.set_lapse_grace(Some(at(12_000)));
    let entries = vec![entry("b", 2, back_end("b", false))];
    let changes = state.apply_back_ends(Update::Listed(Listing { entries, at: 9 }), NOW);
    assert_eq!(names(&state), ["a", "b"]);
    assert!(matches!(
        changes[..],
        [StateChange::Lapsed(_), StateChange::Gone(_)]
    ));
}

#[test]
fn draining_back_end_is_gone_at_once() {
    let mut state = state_with_back_ends();
    state.set_lapse_grace(Some(at(12_000)));
    let changes = state.apply_back_ends(gone(4, &["c"]), NOW);
    assert!(matches!(changes[..], [StateChange::Gone(_)]));
    assert_eq!(names(&state), ["a", "b"]);
}

#[test]
fn without_an_outage_a_missing_registration_is_gone() {
    let mut state = state_with_back_ends();
    state.set_lapse_grace(None);
    let changes = state.apply_back_ends(gone(4, &["a"]), NOW);
    assert!(matches!(changes[..], [StateChange::Gone(_)]));
}

/// The relay watched the store and the follower did not: the follower takes
/// over the relay's grace periods, and so does a newly started one.
#[test]
fn followers_take_over_the_grace_periods_of_their_relay() {
    let mut relay = state_with_back_ends();
    let mut follower = state_with_back_ends();
    relay.set_lapse_grace(Some(at(12_000)));
    relay.apply_back_ends(gone(4, &["a"]), NOW);
    let mut newcomer = empty_state();
    for each in [&mut follower, &mut newcomer] {
        let delta = delta_over_the_wire(&relay, each, at(11_000));
        each.apply_delta(delta, at(11_100));
        assert_eq!(names(each), ["a", "b", "c"]);
        assert!(delta_over_the_wire(&relay, each, at(11_200)).is_empty());
        assert!(each.expire_lapsed(at(12_000)).is_empty());
        assert_eq!(names(each), ["a", "b", "c"]);
    }
    relay.expire_lapsed(at(12_000));
    let changes = follower.expire_lapsed(at(12_100));
    assert!(matches!(changes[..], [StateChange::Gone(_)]));
    assert_eq!(names(&follower), names(&relay));
    relay.apply_back_ends(registered_again(6, "a"), NOW);
    let delta = delta_over_the_wire(&relay, &newcomer, at(12_050));
    newcomer.apply_delta(delta, at(12_060));
    assert!(newcomer.expire_lapsed(at(12_100)).is_empty());
    assert_eq!(names(&newcomer), names(&relay));
}

/// A relay that the store answered while it refused others knows that a back
/// end is gone, even if its followers have a grace period for it.
#[test]
fn back_end_gone_at_the_relay_has_no_grace_period() {
    let mut relay = state_with_back_ends();
    relay.apply_back_ends(gone(4, &["a"]), NOW);
    let mut follower = state_with_back_ends();
    follower.set_lapse_grace(Some(at(12_000)));
    let delta = delta_over_the_wire(&relay, &follower, at(11_000));
    let changes = follower.apply_delta(delta, at(11_100));
    assert!(matches!(changes[..], [StateChange::Gone(_)]));
    assert_eq!(names(&follower), ["b", "c"]);
}

#[test]
fn later_removal_ends_the_grace_period() {
    let mut relay = state_with_back_ends();
    let mut follower = state_with_back_ends();
    follower.set_lapse_grace(Some(at(12_000)));
    follower.apply_back_ends(gone(4, &["a"]), NOW);
    relay.apply_back_ends(gone(4, &["a"]), NOW);
    relay.apply_back_ends(registered_again(5, "a"), NOW);
    relay.apply_back_ends(gone(6, &["a"]), NOW);
    let delta = delta_over_the_wire(&relay, &follower, at(11_000));
    let changes = follower.apply_delta(delta, at(11_100));
    assert!(matches!(changes[..], [StateChange::Gone(_)]));
    assert_eq!(names(&follower), ["b", "c"]);
}

#[test]
fn peers_send_their_grace_periods() {
    let mut peer = state_with_back_ends();
    peer.set_lapse_grace(Some(at(12_000)));
    peer.apply_back_ends(gone(4, &["a"]), NOW);
    let mut asking = state_with_back_ends();
    asking.apply_peer_update(
        peer.update_since(&asking.position(), at(11_000)),
        at(11_100),
    );
    assert_eq!(names(&asking), ["a", "b", "c"]);
    assert_eq!(asking.next_expiry(), Some(at(12_100)));
}

#[test]
fn batch_that_began_before_the_list_does_not_remove_a_back_end_that_registered_again() {
    for grace in [None, Some(at(12_000))] {
        let mut state = empty_state();
        state.set_lapse_grace(grace);
        let entries = vec![entry("a", 8, back_end("a", false))];
        state.apply_back_ends(Update::Listed(Listing { entries, at: 10 }), NOW);
        // The store removed `a` at 7 and took it again at 8.
        let changes = vec![
            Change::Gone("a".to_owned()),
            Change::Put(entry("a", 8, back_end("a", false))),
            Change::Put(entry("b", 12, back_end("b", false))),
        ];
        state.apply_back_ends(Update::Changed(Changes { changes, at: 12 }), NOW);
        state.expire_lapsed(at(12_000));
        assert_eq!(names(&state), ["a", "b"]);
    }
}

#[test]
fn relay_that_saw_a_back_end_return_does_not_remove_it_from_a_follower_that_listed_it_since() {
    let mut relay = state_with_back_ends();
    let changes = vec![
        Change::Gone("a".to_owned()),
        Change::Put(entry("a", 8, back_end("a", false))),
        Change::Put(entry("d", 12, back_end("d", false))),
    ];
    relay.apply_back_ends(Update::Changed(Changes { changes, at: 12 }), NOW);
    let mut follower = empty_state();
    let entries = vec![
        entry("a", 8, back_end("a", false)),
        entry("b", 2, back_end("b", false)),
    ];
    follower.apply_back_ends(Update::Listed(Listing { entries, at: 10 }), NOW);
    let delta = delta_over_the_wire(&relay, &follower, NOW);
    follower.apply_delta(delta, NOW);
    assert_eq!(names(&follower), ["a", "b", "d"]);
}
