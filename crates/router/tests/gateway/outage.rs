//! Registrations that lapse while the store is away, in virtual time.

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

/// Where the time of an update says nothing.
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

fn returned(at: StoreRevision, name: &str) -> Update<BackEnd> {
    let changes = vec![Change::Put(entry(name, at, back_end(name, false)))];
    Update::Changed(Changes { changes, at })
}

/// Knows `a` and `b`, and `c`, which is draining.
fn knowing() -> ClusterState {
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

/// What crosses the network is written and read.
fn told(relay: &ClusterState, follower: &ClusterState, now: Timestamp) -> Delta {
    let told = relay.delta_since(&follower.position(), now);
    let text = serde_json::to_string(&told).expect("written");
    serde_json::from_str(&text).expect("read")
}

#[test]
fn silence_counts_from_the_first_answer_after_it() {
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
fn registration_that_lapsed_is_awaited_and_comes_back_unnoticed() {
    let mut state = knowing();
    state.set_lapse_grace(Some(at(12_000)));
    let learned = state.apply_back_ends(gone(4, &["a"]), NOW);
    assert!(matches!(learned[..], [StateChange::Lapsed(_)]));
    assert_eq!(names(&state), ["a", "b", "c"]);
    assert!(state.expire_lapsed(at(11_999)).is_empty());
    assert!(state.apply_back_ends(returned(5, "a"), NOW).is_empty());
    assert!(state.expire_lapsed(at(12_000)).is_empty());
    assert_eq!(names(&state), ["a", "b", "c"]);
}

#[test]
fn registration_still_missing_after_the_wait_is_gone() {
    let mut state = knowing();
    state.set_lapse_grace(Some(at(12_000)));
    state.apply_back_ends(gone(4, &["a"]), NOW);
    assert_eq!(state.next_expiry(), Some(at(12_000)));
    let learned = state.expire_lapsed(at(12_000));
    assert!(matches!(&learned[..], [StateChange::Gone(each)] if each.name.as_str() == "a"));
    assert_eq!(names(&state), ["b", "c"]);
    assert_eq!(state.next_expiry(), None);
}

#[test]
fn list_after_the_return_awaits_what_it_lacks() {
    let mut state = knowing();
    state.set_lapse_grace(Some(at(12_000)));
    let entries = vec![entry("b", 2, back_end("b", false))];
    let learned = state.apply_back_ends(Update::Listed(Listing { entries, at: 9 }), NOW);
    assert_eq!(names(&state), ["a", "b"]);
    assert!(matches!(
        learned[..],
        [StateChange::Lapsed(_), StateChange::Gone(_)]
    ));
}

#[test]
fn back_end_that_said_it_leaves_is_gone_at_once() {
    let mut state = knowing();
    state.set_lapse_grace(Some(at(12_000)));
    let learned = state.apply_back_ends(gone(4, &["c"]), NOW);
    assert!(matches!(learned[..], [StateChange::Gone(_)]));
    assert_eq!(names(&state), ["a", "b"]);
}

#[test]
fn without_an_outage_a_registration_that_goes_is_gone() {
    let mut state = knowing();
    state.set_lapse_grace(None);
    let learned = state.apply_back_ends(gone(4, &["a"]), NOW);
    assert!(matches!(learned[..], [StateChange::Gone(_)]));
}

/// The relay watched the store, the follower did not: it goes by what the
/// relay tells, and so does one that has just started.
#[test]
fn followers_await_what_their_relay_awaits() {
    let mut relay = knowing();
    let mut follower = knowing();
    relay.set_lapse_grace(Some(at(12_000)));
    relay.apply_back_ends(gone(4, &["a"]), NOW);
    let mut newcomer = empty_state();
    for each in [&mut follower, &mut newcomer] {
        let differences = told(&relay, each, at(11_000));
        each.apply_delta(differences, at(11_100));
        assert_eq!(names(each), ["a", "b", "c"]);
        assert!(told(&relay, each, at(11_200)).is_empty());
        assert!(each.expire_lapsed(at(12_000)).is_empty());
        assert_eq!(names(each), ["a", "b", "c"]);
    }
    relay.expire_lapsed(at(12_000));
    let learned = follower.expire_lapsed(at(12_100));
    assert!(matches!(learned[..], [StateChange::Gone(_)]));
    assert_eq!(names(&follower), names(&relay));
    relay.apply_back_ends(returned(6, "a"), NOW);
    let differences = told(&relay, &newcomer, at(12_050));
    newcomer.apply_delta(differences, at(12_060));
    assert!(newcomer.expire_lapsed(at(12_100)).is_empty());
    assert_eq!(names(&newcomer), names(&relay));
}

/// A relay that was served while the store turned others away knows that a
/// back end is gone, whatever its followers wait for.
#[test]
fn what_a_relay_knows_to_be_gone_is_not_awaited() {
    let mut relay = knowing();
    relay.apply_back_ends(gone(4, &["a"]), NOW);
    let mut follower = knowing();
    follower.set_lapse_grace(Some(at(12_000)));
    let differences = told(&relay, &follower, at(11_000));
    let learned = follower.apply_delta(differences, at(11_100));
    assert!(matches!(learned[..], [StateChange::Gone(_)]));
    assert_eq!(names(&follower), ["b", "c"]);
}

#[test]
fn later_word_that_it_is_gone_ends_the_wait() {
    let mut relay = knowing();
    let mut follower = knowing();
    follower.set_lapse_grace(Some(at(12_000)));
    follower.apply_back_ends(gone(4, &["a"]), NOW);
    relay.apply_back_ends(gone(4, &["a"]), NOW);
    relay.apply_back_ends(returned(5, "a"), NOW);
    relay.apply_back_ends(gone(6, &["a"]), NOW);
    let differences = told(&relay, &follower, at(11_000));
    let learned = follower.apply_delta(differences, at(11_100));
    assert!(matches!(learned[..], [StateChange::Gone(_)]));
    assert_eq!(names(&follower), ["b", "c"]);
}

#[test]
fn peers_tell_what_they_await() {
    let mut peer = knowing();
    peer.set_lapse_grace(Some(at(12_000)));
    peer.apply_back_ends(gone(4, &["a"]), NOW);
    let mut asking = knowing();
    asking.apply_peer_update(
        peer.update_since(&asking.position(), at(11_000)),
        at(11_100),
    );
    assert_eq!(names(&asking), ["a", "b", "c"]);
    assert_eq!(asking.next_expiry(), Some(at(12_100)));
}
