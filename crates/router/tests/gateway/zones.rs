//! Zones that the operator drains and restores.

use std::collections::BTreeMap;
use std::time::Duration;

use serde_json::json;
use threadledge::gateway::cluster_state::{ClusterState, StateChange};
use threadledge::gateway::sync::{Delta, PeerUpdate, SyncPosition};
use threadledge::gateway::watcher::Update;
use threadledge_ports::{Change, Changes, Listing};
use threadledge_types::Timestamp;
use threadledge_types::deployment::{
    BackEnd, CallerLimits, Configuration, ConfigurationVersion, DrainedZone, Service,
};

use super::process::{TestRequest, World, eventually};
use super::samples::{back_end, entry};

const NOW: Timestamp = Timestamp::from_millis(10_000);
const COLD_START: Duration = Duration::from_secs(3);

fn after(millis: u64) -> Timestamp {
    NOW + Duration::from_millis(millis)
}

fn drained(zone: &str, revision: u64) -> Change<DrainedZone> {
    Change::Put(entry(zone, revision, DrainedZone(zone.into())))
}

fn changed(at: u64, changes: Vec<Change<DrainedZone>>) -> Update<DrainedZone> {
    Update::Changed(Changes { changes, at })
}

fn nothing_drained(at: u64) -> Update<DrainedZone> {
    let entries = Vec::new();
    Update::Listed(Listing { entries, at })
}

fn in_zone(name: &str, zone: &str) -> BackEnd {
    BackEnd {
        zone: zone.into(),
        ..back_end(name, false)
    }
}

/// One back end in each of the zones `a` and `b`, of a service with a cold
/// start; the drained zones are unknown.
fn two_zones() -> ClusterState {
    let mut state = ClusterState::default();
    let entries = vec![
        entry("b-1", 1, in_zone("b-1", "a")),
        entry("b-2", 1, in_zone("b-2", "b")),
    ];
    state.apply_back_ends(Update::Listed(Listing { entries, at: 1 }), NOW);
    let service = Service {
        health_path: "/health".to_owned(),
        max_connections: 100,
        keyed: false,
        cold_start: COLD_START,
        cold_rate: Some(4.2),
    };
    let configuration = Configuration {
        version: ConfigurationVersion(1),
        routes: Vec::new(),
        services: BTreeMap::from([("service".into(), service)]),
        limits: CallerLimits {
            max_header_bytes: 1,
            max_body_bytes: 1,
            header_timeout: Duration::from_secs(1),
            idle_timeout: Duration::from_secs(1),
        },
        tenants: BTreeMap::new(),
    };
    let entries = vec![entry("main", 1, configuration)];
    state.apply_configurations(Update::Listed(Listing { entries, at: 1 }));
    state
}

fn draining(state: &ClusterState, now: Timestamp) -> Vec<bool> {
    let back_ends = state.back_ends(now).expect("zones are known");
    back_ends.iter().map(|each| each.draining).collect()
}

fn cold_for(state: &ClusterState, now: Timestamp) -> Vec<Duration> {
    let back_ends = state.back_ends(now).expect("zones are known");
    back_ends.iter().map(|each| each.cold_for).collect()
}

#[test]
fn no_back_end_is_used_before_drained_zones_are_known() {
    let mut state = two_zones();
    assert_eq!(state.back_ends(NOW), None);
    state.apply_zones(nothing_drained(2), NOW);
    assert_eq!(draining(&state, NOW), [false, false]);
}

#[test]
fn back_ends_of_a_drained_zone_drain_and_return_cold() {
    let mut state = two_zones();
    state.apply_zones(nothing_drained(2), NOW);
    let state_changes = state.apply_zones(changed(3, vec![drained("b", 3)]), NOW);
    assert_eq!(state_changes, [StateChange::ZoneDrained("b".into())]);
    assert_eq!(draining(&state, NOW), [false, true]);
    let gone = Change::Gone("b".to_owned());
    let state_changes = state.apply_zones(changed(9, vec![gone]), NOW);
    assert_eq!(state_changes, [StateChange::ZoneRestored("b".into())]);
    assert_eq!(draining(&state, NOW), [false, false]);
    assert_eq!(cold_for(&state, NOW), [Duration::ZERO, COLD_START]);
    let soon = after(2_000);
    assert_eq!(cold_for(&state, soon)[1], Duration::from_secs(1));
    assert_eq!(cold_for(&state, after(3_000))[1], Duration::ZERO);
}

/// A registration from before the back end turned cold may arrive after its
/// zone was restored.
#[test]
fn late_warm_registration_does_not_end_the_cold_time_of_a_restored_zone() {
    let mut state = two_zones();
    state.apply_zones(changed(3, vec![drained("b", 3)]), NOW);
    state.apply_zones(changed(9, vec![Change::Gone("b".to_owned())]), NOW);
    let put = Change::Put(entry("b-2", 8, in_zone("b-2", "b")));
    let changes = vec![put];
    state.apply_back_ends(Update::Changed(Changes { changes, at: 8 }), after(100));
    assert_eq!(cold_for(&state, after(1_000))[1], Duration::from_secs(2));
}

#[test]
fn cold_time_counts_from_its_report() {
    let mut state = two_zones();
    state.apply_zones(nothing_drained(2), NOW);
    let mut cold = in_zone("b-2", "b");
    cold.cold_for = Duration::from_millis(2_500);
    let put = |cold: BackEnd, at| {
        let changes = vec![Change::Put(entry("b-2", at, cold))];
        Update::Changed(Changes { changes, at })
    };
    state.apply_back_ends(put(cold.clone(), 5), NOW);
    assert_eq!(cold_for(&state, after(500))[1], Duration::from_secs(2));
    // A follower receives the remaining cold time.
    let delta = state.delta_since(&SyncPosition::default(), after(500));
    let delta = &delta
        .back_ends
        .iter()
        .find(|each| each.back_end.name == cold.name);
    assert_eq!(
        delta.expect("sent").back_end.cold_for,
        Duration::from_secs(2)
    );
    // The back end turns warm, and later cold again.
    state.apply_back_ends(put(in_zone("b-2", "b"), 6), after(4_000));
    assert_eq!(cold_for(&state, after(4_000))[1], Duration::ZERO);
    state.apply_back_ends(put(cold, 7), after(9_000));
    assert_eq!(
        cold_for(&state, after(10_000))[1],
        Duration::from_millis(1_500)
    );
}

#[test]
fn zones_reach_followers_and_peers_and_never_regress() {
    let mut informed = two_zones();
    informed.apply_zones(nothing_drained(2), NOW);
    informed.apply_zones(changed(7, vec![drained("b", 6)]), NOW);
    let mut follower = two_zones();
    let delta = informed.delta_since(&follower.position(), NOW);
    follower.apply_delta(delta, NOW);
    assert_eq!(draining(&follower, NOW), [false, true]);
    assert_eq!(follower.position(), informed.position());
    assert!(informed.delta_since(&follower.position(), NOW).is_empty());
    let mut peer = two_zones();
    peer.apply_peer_update(informed.update_since(&peer.position(), NOW), NOW);
    assert_eq!(draining(&peer, NOW), [false, true]);
    assert_eq!(
        informed.update_since(&peer.position(), NOW),
        PeerUpdate::default()
    );
    // An older list, watch or peer changes nothing.
    assert!(follower.apply_zones(nothing_drained(3), NOW).is_empty());
    let mut older = two_zones();
    older.apply_zones(nothing_drained(4), NOW);
    let delta: Delta = older.delta_since(&SyncPosition::default(), NOW);
    follower.apply_delta(delta, NOW);
    follower.apply_peer_update(older.update_since(&SyncPosition::default(), NOW), NOW);
    assert_eq!(draining(&follower, NOW), [false, true]);
}

/// A watch that continues from before the peer's update replays the changes
/// that led to it.
#[test]
fn zone_stays_drained_when_an_older_watch_replays_changes() {
    let mut state = two_zones();
    let mut informed = two_zones();
    informed.apply_zones(changed(8, vec![drained("b", 8)]), NOW);
    state.apply_zones(changed(3, vec![drained("b", 3)]), NOW);
    state.apply_peer_update(informed.update_since(&state.position(), NOW), NOW);
    let repeated = vec![Change::Gone("b".to_owned()), drained("b", 8)];
    assert!(state.apply_zones(changed(9, repeated), NOW).is_empty());
    assert_eq!(draining(&state, NOW), [false, true]);
}

/// Invariant: a drained zone receives no requests, and other zones serve its
/// keys.
#[test]
fn drained_zone_gets_no_request_and_loses_its_keys_until_it_is_restored() {
    let world = World::start();
    let (near, far) = (&world.plain[0], &world.plain[1]);
    let (keeping_owner, drained_owner) = (&world.keyed[0], &world.keyed[1]);
    for (service, each) in [("plain", far), ("keyed", drained_owner)] {
        let mut entry = each.registration(service, "ready");
        entry["Zone"] = json!("zone-b");
        world.store.put("servers", &each.id, entry);
    }
    world.store.put("evacuations", "zone-b", json!({}));
    let keys: Vec<u16> = (0..=u16::MAX).step_by(4_096).collect();
    eventually(|| (keeping_owner.held(&keys).len() == keys.len()).then_some(()));
    let before = far.runs().len() + drained_owner.runs().len();
    for number in 0..40 {
        let id = format!("plain-{number}");
        let plain = TestRequest {
            id: &id,
            ..TestRequest::default()
        };
        assert_eq!(plain.send(&world.gateway).status(), 200);
        let id = format!("keyed-{number}");
        let keyed = TestRequest {
            host: "keyed.example",
            target: "/k/x",
            id: &id,
            key: Some(number * 1_600),
            ..TestRequest::default()
        };
        assert_eq!(keyed.send(&world.gateway).status(), 200);
    }
    assert_eq!(near.runs().len(), 40);
    assert_eq!(far.runs().len() + drained_owner.runs().len(), before);
    world.store.remove("evacuations", "zone-b");
    eventually(|| (!drained_owner.held(&keys).is_empty()).then_some(()));
}
