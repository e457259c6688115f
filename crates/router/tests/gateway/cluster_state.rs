//! A gateway's copy of the store's data, from whichever source, never regresses
//! to older data.

use std::collections::BTreeMap;
use std::time::Duration;

use threadledge::gateway::cluster_state::{ClusterState, StateChange};
use threadledge::gateway::sync::{PeerUpdate, SyncPosition};
use threadledge::gateway::watcher::Update;
use threadledge_coordination::{OwnershipRecord, Term};
use threadledge_ports::{Change, Changes, Entry, Listing, Malformed};
use threadledge_types::Timestamp;
use threadledge_types::deployment::{
    CallerLimits, Configuration, ConfigurationVersion, KeyDigest, KeyRange, Tenant,
};

use super::samples::{back_end, back_ends, empty_state, entry};

/// The time is irrelevant here: nothing expires.
const NOW: Timestamp = Timestamp::ZERO;

fn listed<T>(at: u64, entries: Vec<Entry<T>>) -> Update<T> {
    Update::Listed(Listing { entries, at })
}

fn changed<T>(at: u64, changes: Vec<Change<T>>) -> Update<T> {
    Update::Changed(Changes { changes, at })
}

fn configuration(version: u64) -> Configuration {
    Configuration {
        version: ConfigurationVersion(version),
        routes: Vec::new(),
        services: BTreeMap::new(),
        limits: CallerLimits {
            max_header_bytes: 1,
            max_body_bytes: 1,
            header_timeout: Duration::from_secs(1),
            idle_timeout: Duration::from_secs(1),
        },
        tenants: BTreeMap::new(),
    }
}

fn names(state: &ClusterState) -> Vec<String> {
    let back_ends = back_ends(state);
    back_ends.iter().map(|each| each.name.to_string()).collect()
}

#[test]
fn peer_sends_only_missing_data() {
    let mut informed = empty_state();
    informed.apply_configurations(listed(5, vec![entry("main", 5, configuration(3))]));
    informed.apply_back_ends(
        listed(5, vec![entry("b-1", 4, back_end("b-1", false))]),
        NOW,
    );
    let record = OwnershipRecord::empty(Term(1));
    informed.apply_records(listed(5, vec![entry("service", 5, record)]));
    let mut other = empty_state();
    let changes = other.apply_peer_update(informed.update_since(&other.position(), NOW), NOW);
    assert_eq!(changes.len(), 3);
    assert_eq!(other.position(), informed.position());
    assert_eq!(names(&other), ["b-1"]);
    let nothing = informed.update_since(&other.position(), NOW);
    assert_eq!(nothing, PeerUpdate::default());
}

/// Gateways that return from a network partition ask several peers at once,
/// possibly over a narrow link. They receive the changes and not all back ends.
#[test]
fn peer_sends_changes_and_not_all_back_ends() {
    let registered = |count: u64| -> Vec<_> {
        let numbers = 1..=count;
        let each = numbers.map(|at| entry(&format!("b-{at}"), at, back_end("b", false)));
        each.collect()
    };
    let mut informed = empty_state();
    informed.apply_back_ends(listed(200, registered(200)), NOW);
    let mut behind = empty_state();
    behind.apply_back_ends(listed(199, registered(199)), NOW);
    let update = informed.update_since(&behind.position(), NOW);
    assert_eq!(update.delta.back_ends.len(), 1);
    assert_eq!(behind.apply_peer_update(update, NOW).len(), 1);
    assert_eq!(behind.position(), informed.position());
}

/// The peer may be behind the store in the data that it did not send.
#[test]
fn update_does_not_advance_revisions_of_absent_data() {
    let mut informed = empty_state();
    informed.apply_configurations(listed(9, vec![entry("main", 9, configuration(7))]));
    informed.apply_records(listed(9, Vec::new()));
    let mut asking = empty_state();
    let before = asking.revisions();
    asking.apply_peer_update(informed.update_since(&asking.position(), NOW), NOW);
    assert_eq!(asking.revisions(), before);
}

#[test]
fn older_watch_does_not_undo_a_peer_update() {
    let mut informed = empty_state();
    let draining = entry("b-1", 98, back_end("b-1", true));
    informed.apply_back_ends(listed(100, vec![draining]), NOW);
    let mut behind = empty_state();
    let both = vec![
        entry("b-1", 4, back_end("b-1", false)),
        entry("b-2", 4, back_end("b-2", false)),
    ];
    behind.apply_back_ends(listed(90, both), NOW);
    behind.apply_peer_update(informed.update_since(&behind.position(), NOW), NOW);
    assert_eq!(names(&behind), ["b-1"]);
    // The gateway's own watch continues from where it was.
    let put = Change::Put(entry("b-1", 95, back_end("b-1", false)));
    let again = Change::Put(entry("b-2", 96, back_end("b-2", false)));
    assert!(
        behind
            .apply_back_ends(changed(97, vec![put, again]), NOW)
            .is_empty()
    );
    assert_eq!(names(&behind), ["b-1"]);
    assert!(back_ends(&behind)[0].draining);
    let later = Change::Put(entry("b-3", 103, back_end("b-3", false)));
    behind.apply_back_ends(changed(103, vec![later]), NOW);
    assert_eq!(names(&behind), ["b-1", "b-3"]);
    let older_list = listed(99, Vec::new());
    assert!(behind.apply_back_ends(older_list, NOW).is_empty());
    assert_eq!(names(&behind), ["b-1", "b-3"]);
}

#[test]
fn update_from_an_older_peer_changes_nothing() {
    let mut informed = empty_state();
    informed.apply_configurations(listed(9, vec![entry("main", 9, configuration(7))]));
    informed.apply_back_ends(
        listed(9, vec![entry("b-1", 9, back_end("b-1", false))]),
        NOW,
    );
    let mut older = empty_state();
    older.apply_configurations(listed(5, vec![entry("main", 5, configuration(6))]));
    older.apply_back_ends(listed(5, Vec::new()), NOW);
    let everything = older.update_since(&SyncPosition::default(), NOW);
    assert!(informed.apply_peer_update(everything, NOW).is_empty());
    assert_eq!(names(&informed), ["b-1"]);
}

#[test]
fn malformed_objects_remove_nothing() {
    let mut state = empty_state();
    state.apply_back_ends(
        listed(1, vec![entry("b-1", 1, back_end("b-1", false))]),
        NOW,
    );
    let broken = Entry {
        name: "b-1".to_owned(),
        revision: 2,
        value: Err(Malformed {
            problem: "broken".to_owned(),
        }),
    };
    let changes = state.apply_back_ends(changed(2, vec![Change::Put(broken)]), NOW);
    // The malformed entry names no usable back end; the known back end may
    // still be serving.
    assert!(matches!(
        changes[..],
        [StateChange::Malformed(_), StateChange::Leaving(_)]
    ));
    assert_eq!(back_ends(&state), [back_end("b-1", true)]);
    let mut gapped = OwnershipRecord::empty(Term(1));
    gapped.slices[0].range = KeyRange::new(1, 9).expect("a range");
    let changes = state.apply_records(listed(3, vec![entry("service", 3, gapped)]));
    assert!(matches!(changes[..], [StateChange::Malformed(_)]));
    assert!(state.position().ownership.is_empty());
}

#[test]
fn changes_are_reported_once() {
    let mut state = empty_state();
    let first = listed(1, vec![entry("b-1", 1, back_end("b-1", false))]);
    assert!(matches!(
        state.apply_back_ends(first, NOW)[..],
        [StateChange::Registered(_)]
    ));
    let put = Change::Put(entry("b-1", 2, back_end("b-1", true)));
    let changes = state.apply_back_ends(changed(2, vec![put]), NOW);
    assert!(matches!(changes[..], [StateChange::Leaving(_)]));
    let gone = Change::Gone("b-1".to_owned());
    let changes = state.apply_back_ends(changed(3, vec![gone.clone()]), NOW);
    assert!(matches!(changes[..], [StateChange::Gone(_)]));
    assert!(
        state
            .apply_back_ends(changed(4, vec![gone]), NOW)
            .is_empty()
    );
}

/// A version with `tenants` tenants, the first of which has a key made from
/// `key`.
fn with_tenants(version: u64, tenants: usize, key: &str) -> Configuration {
    let mut wanted = configuration(version);
    for number in 0..tenants {
        let key = format!("{number}-{}", if number == 0 { key } else { "key" });
        let tenant = Tenant {
            keys: [KeyDigest::of(key.as_bytes())].into(),
            ..Tenant::default()
        };
        let name = format!("tenant-{number}");
        wanted.tenants.insert(name.as_str().into(), tenant);
    }
    wanted
}

/// A version costs as many bytes as it changes, however many tenants there are.
/// A configuration with many tenants is not sent in full to each follower.
#[test]
fn one_changed_tenant_is_sent_alone_and_many_tenants_are_fetched() {
    for (tenants, sent_in_full) in [(80, true), (5_000, false)] {
        let mut relay = empty_state();
        let mut follower = empty_state();
        for (version, key) in [(3, "old"), (4, "new")] {
            let wanted = with_tenants(version, tenants, key);
            let update = listed(version, vec![entry("main", version, wanted)]);
            if version == 3 {
                follower.apply_configurations(update.clone());
            }
            relay.apply_configurations(update);
        }
        let delta = relay.delta_since(&follower.position(), NOW);
        let size = serde_json::to_string(&delta).expect("serialized").len();
        assert!(size < 1_000, "{size} bytes");
        assert_eq!(delta.configuration[0].tenants.len(), 1);
        let changes = follower.apply_delta(delta, NOW);
        let expected = with_tenants(4, tenants, "new");
        assert!(matches!(&changes[..], [StateChange::Configuration(found)] if **found == expected));
        // A follower that has no data.
        let delta = relay.delta_since(&SyncPosition::default(), NOW);
        assert_eq!(delta.full_configuration.is_some(), sent_in_full);
        assert_eq!(delta.fetch_configuration, !sent_in_full);
    }
}
