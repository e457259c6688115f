//! Back ends that start again under their ids, and entries that another writer
//! left among the registrations.

use threadledge::gateway::cluster_state::{ClusterState, StateChange};
use threadledge::gateway::watcher::Update;
use threadledge_ports::{Change, Changes, Entry, Listing, Malformed};
use threadledge_types::Timestamp;
use threadledge_types::deployment::{BackEnd, BackEndName};

use super::samples::{back_end, back_ends, empty_state, entry};

/// Any time: nothing here is awaited.
const NOW: Timestamp = Timestamp::ZERO;

fn life(id: &str, started: u64) -> BackEnd {
    BackEnd {
        name: BackEndName::new(id, Some(started)),
        ..back_end(id, false)
    }
}

fn spoiled(id: &str, revision: u64) -> Entry<BackEnd> {
    Entry {
        name: id.to_owned(),
        revision,
        value: Err(Malformed {
            problem: format!("{id} cannot be read"),
        }),
    }
}

fn knowing(entries: Vec<Entry<BackEnd>>) -> ClusterState {
    let mut knowing = empty_state();
    knowing.apply_back_ends(Update::Listed(Listing { entries, at: 10 }), NOW);
    knowing
}

fn put(state: &mut ClusterState, entry: Entry<BackEnd>) -> Vec<StateChange> {
    let at = entry.revision;
    let changes = vec![Change::Put(entry)];
    state.apply_back_ends(Update::Changed(Changes { changes, at }), NOW)
}

#[test]
fn next_life_takes_the_place_of_the_one_before_it() {
    let mut state = knowing(vec![entry("b-1", 4, life("b-1", 100))]);
    let learned = put(&mut state, entry("b-1", 11, life("b-1", 200)));
    let (gone, registered) = (life("b-1", 100), life("b-1", 200));
    assert_eq!(
        learned,
        [
            StateChange::Gone(gone),
            StateChange::Registered(registered.clone())
        ]
    );
    assert_eq!(back_ends(&state), [registered]);
}

/// What the former life wrote may take effect after it has ended.
#[test]
fn entry_of_a_former_life_that_comes_late_is_not_taken() {
    let mut state = knowing(vec![entry("b-1", 4, life("b-1", 200))]);
    assert_eq!(put(&mut state, entry("b-1", 11, life("b-1", 100))), []);
    assert_eq!(back_ends(&state), [life("b-1", 200)]);
}

#[test]
fn followers_are_told_of_the_next_life() {
    let mut relay = knowing(vec![entry("b-1", 4, life("b-1", 100))]);
    let mut follower = relay.clone();
    put(&mut relay, entry("b-1", 11, life("b-1", 200)));
    let told = relay.delta_since(&follower.position(), NOW);
    follower.apply_delta(told, NOW);
    assert_eq!(back_ends(&follower), [life("b-1", 200)]);
}

#[test]
fn entry_that_cannot_be_read_is_told_once_and_names_no_back_end() {
    let sound = entry("b-1", 4, back_end("b-1", false));
    let mut state = knowing(vec![sound, spoiled("x-1", 5)]);
    assert_eq!(back_ends(&state), [back_end("b-1", false)]);
    let entries = vec![entry("b-1", 4, back_end("b-1", false)), spoiled("x-1", 5)];
    let again = Update::Listed(Listing { entries, at: 12 });
    assert_eq!(state.apply_back_ends(again, NOW), []);
    let other = put(&mut state, spoiled("x-1", 13));
    assert!(
        matches!(other[..], [StateChange::Malformed(_)]),
        "{other:?}"
    );
}

/// Requests may be at work there, and keys held: they go in order, and what it
/// says itself brings it back.
#[test]
fn back_end_whose_entry_is_spoiled_gets_nothing_new_until_it_registers_again() {
    let mut relay = knowing(vec![entry("b-1", 4, back_end("b-1", false))]);
    let mut follower = relay.clone();
    let learned = put(&mut relay, spoiled("b-1", 11));
    let leaving = back_end("b-1", true);
    assert!(learned.contains(&StateChange::Leaving(leaving.clone())));
    let told = relay.delta_since(&follower.position(), NOW);
    follower.apply_delta(told, NOW);
    assert_eq!(back_ends(&follower), [leaving]);
    put(&mut relay, entry("b-1", 12, back_end("b-1", false)));
    let told = relay.delta_since(&follower.position(), NOW);
    follower.apply_delta(told, NOW);
    assert_eq!(back_ends(&follower), [back_end("b-1", false)]);
}
