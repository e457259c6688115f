//! Back ends that restart under the same id, and malformed entries that another
//! writer left among the registrations.

use threadledge::gateway::cluster_state::{ClusterState, StateChange};
use threadledge::gateway::watcher::Update;
use threadledge_ports::{Change, Changes, Entry, Listing, Malformed};
use threadledge_types::Timestamp;
use threadledge_types::deployment::{BackEnd, BackEndName};

use super::samples::{back_end, back_ends, empty_state, entry};

/// The time is irrelevant here: nothing expires.
const NOW: Timestamp = Timestamp::ZERO;

fn incarnation(id: &str, started: u64) -> BackEnd {
    BackEnd {
        name: BackEndName::new(id, Some(started)),
        ..back_end(id, false)
    }
}

fn malformed(id: &str, revision: u64) -> Entry<BackEnd> {
    Entry {
        name: id.to_owned(),
        revision,
        value: Err(Malformed {
            problem: format!("{id} is malformed"),
        }),
    }
}

fn state_with(entries: Vec<Entry<BackEnd>>) -> ClusterState {
    let mut state = empty_state();
    state.apply_back_ends(Update::Listed(Listing { entries, at: 10 }), NOW);
    state
}

fn put(state: &mut ClusterState, entry: Entry<BackEnd>) -> Vec<StateChange> {
    let at = entry.revision;
    let changes = vec![Change::Put(entry)];
    state.apply_back_ends(Update::Changed(Changes { changes, at }), NOW)
}

#[test]
fn next_incarnation_replaces_the_former_one() {
    let mut state = state_with(vec![entry("b-1", 4, incarnation("b-1", 100))]);
    let changes = put(&mut state, entry("b-1", 11, incarnation("b-1", 200)));
    let (gone, registered) = (incarnation("b-1", 100), incarnation("b-1", 200));
    assert_eq!(
        changes,
        [
            StateChange::Gone(gone),
            StateChange::Registered(registered.clone())
        ]
    );
    assert_eq!(back_ends(&state), [registered]);
}

/// A write of the former incarnation may take effect after that incarnation has
/// ended.
#[test]
fn late_entry_of_a_former_incarnation_is_ignored() {
    let mut state = state_with(vec![entry("b-1", 4, incarnation("b-1", 200))]);
    assert_eq!(
        put(&mut state, entry("b-1", 11, incarnation("b-1", 100))),
        []
    );
    assert_eq!(back_ends(&state), [incarnation("b-1", 200)]);
}

#[test]
fn followers_receive_the_next_incarnation() {
    let mut relay = state_with(vec![entry("b-1", 4, incarnation("b-1", 100))]);
    let mut follower = relay.clone();
    put(&mut relay, entry("b-1", 11, incarnation("b-1", 200)));
    let delta = relay.delta_since(&follower.position(), NOW);
    follower.apply_delta(delta, NOW);
    assert_eq!(back_ends(&follower), [incarnation("b-1", 200)]);
}

#[test]
fn malformed_entry_is_reported_once_and_names_no_back_end() {
    let sound = entry("b-1", 4, back_end("b-1", false));
    let mut state = state_with(vec![sound, malformed("x-1", 5)]);
    assert_eq!(back_ends(&state), [back_end("b-1", false)]);
    let entries = vec![entry("b-1", 4, back_end("b-1", false)), malformed("x-1", 5)];
    let again = Update::Listed(Listing { entries, at: 12 });
    assert_eq!(state.apply_back_ends(again, NOW), []);
    let other = put(&mut state, malformed("x-1", 13));
    assert!(
        matches!(other[..], [StateChange::Malformed(_)]),
        "{other:?}"
    );
}

/// The back end may be serving requests and holding keys: it drains in order,
/// and its own next registration ends the draining.
#[test]
fn back_end_with_a_malformed_entry_drains_until_it_registers_again() {
    let mut relay = state_with(vec![entry("b-1", 4, back_end("b-1", false))]);
    let mut follower = relay.clone();
    let changes = put(&mut relay, malformed("b-1", 11));
    let leaving = back_end("b-1", true);
    assert!(changes.contains(&StateChange::Leaving(leaving.clone())));
    let delta = relay.delta_since(&follower.position(), NOW);
    follower.apply_delta(delta, NOW);
    assert_eq!(back_ends(&follower), [leaving]);
    put(&mut relay, entry("b-1", 12, back_end("b-1", false)));
    let delta = relay.delta_since(&follower.position(), NOW);
    follower.apply_delta(delta, NOW);
    assert_eq!(back_ends(&follower), [back_end("b-1", false)]);
}
