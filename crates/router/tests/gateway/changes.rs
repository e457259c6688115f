//! Changes of configurations and ownership records: applied to the version from
//! which it was computed a change yields the later version, and applied to
//! another one it fails.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use threadledge::gateway::changes::{ChangeLog, ConfigurationChange};
use threadledge::gateway::cluster_state::ClusterState;
use threadledge::gateway::cluster_state::records::TrackedRecord;
use threadledge::gateway::sync::{Delta, SyncPosition};
use threadledge::gateway::watcher::Update;
use threadledge_coordination::action::Versioned;
use threadledge_coordination::{
    Fence, HandoverToken, Owner, OwnershipRecord, Slice, SliceState, Term,
};
use threadledge_ports::{Change, Changes, Entry, Listing};
use threadledge_types::Timestamp;
use threadledge_types::deployment::{
    BackEnd, BackEndName, CallerLimits, Configuration, ConfigurationVersion, Destination,
    KeyDigest, KeyRange, Route, Service, Tenant, TenantName,
};

use super::samples;

/// The time is irrelevant here: nothing expires.
const NOW: Timestamp = Timestamp::ZERO;

fn route(random: &mut ChaCha8Rng, number: u32) -> Arc<Route> {
    Arc::new(Route {
        name: format!("route-{number}").as_str().into(),
        host: "host.example".to_owned(),
        path_prefix: format!("/{number}/"),
        repeatable: true,
        timeout: Duration::from_millis(random.random_range(1..3)),
        target_latency: Duration::from_millis(200),
        priority: 1,
        max_attempts: 2,
        destinations: vec![Destination {
            service: "service".into(),
            weight: 1,
        }],
        public: false,
        allowed_regions: None,
    })
}

fn configuration(random: &mut ChaCha8Rng, version: u64) -> Configuration {
    let numbers = (0..20).filter(|_| random.random_bool(0.8));
    let numbers: Vec<u32> = numbers.collect();
    let services = (0..4).filter(|_| random.random_bool(0.7));
    let services: Vec<u32> = services.collect();
    let mut routes: Vec<Arc<Route>> = numbers.iter().map(|each| route(random, *each)).collect();
    routes.sort_by(|left, right| left.name.cmp(&right.name));
    let named = services.into_iter().map(|number| {
        let service = Service {
            health_path: "/health".to_owned(),
            max_connections: random.random_range(1..3),
            keyed: false,
            cold_start: Duration::from_secs(3),
            cold_rate: random.random_bool(0.5).then_some(4.2),
        };
        (format!("service-{number}").as_str().into(), service)
    });
    Configuration {
        version: ConfigurationVersion(version),
        routes,
        services: named.collect(),
        limits: CallerLimits {
            max_header_bytes: 1,
            max_body_bytes: version,
            header_timeout: Duration::from_secs(1),
            idle_timeout: Duration::from_secs(1),
        },
        tenants: tenants(random),
    }
}

fn tenants(random: &mut ChaCha8Rng) -> BTreeMap<TenantName, Tenant> {
    let numbers = (0..4).filter(|_| random.random_bool(0.7));
    let numbers: Vec<u32> = numbers.collect();
    let named = numbers.into_iter().map(|number| {
        let key = format!("key-{number}-{}", random.random_range(0..2));
        let tenant = Tenant {
            keys: BTreeSet::from([KeyDigest::of(key.as_bytes())]),
            ..Tenant::default()
        };
        (format!("tenant-{number}").as_str().into(), tenant)
    });
    named.collect()
}

fn record(random: &mut ChaCha8Rng, revision: u64) -> Versioned<OwnershipRecord> {
    let mut slices = Vec::new();
    let mut first = 0_u32;
    while first <= u32::from(u16::MAX) {
        let last = (first + random.random_range(0..20_000)).min(u32::from(u16::MAX));
        let number: u16 = random.random_range(1..3);
        let owner = Owner {
            name: format!("back-end-{number}").as_str().into(),
            address: ([10, 0, 0, 1], number).into(),
        };
        let handover = None;
        let owned = SliceState::Owned { owner, handover };
        let unowned = random.random_bool(0.2);
        slices.push(Slice {
            range: KeyRange::new(first as u16, last as u16).expect("a range"),
            fence: Fence(random.random_range(1..3)),
            state: if unowned { SliceState::Unowned } else { owned },
        });
        first = last + 1;
    }
    let value = OwnershipRecord {
        term: Term(revision),
        next_fence: Fence(9),
        slices,
        former: Vec::new(),
    };
    value.check().expect("a complete record");
    Versioned { value, revision }
}

#[test]
fn configuration_change_yields_the_later_version() {
    let mut random = ChaCha8Rng::seed_from_u64(1);
    for _ in 0..200 {
        let old = configuration(&mut random, 3);
        let new = configuration(&mut random, 5);
        let change = ConfigurationChange::between(&old, &new);
        let other = configuration(&mut random, 4);
        assert_eq!(change.clone().apply(&other), None);
        assert_eq!(change.apply(&old), Some(new));
    }
}

#[test]
fn record_change_yields_the_later_revision() {
    let mut random = ChaCha8Rng::seed_from_u64(2);
    for _ in 0..500 {
        let old = record(&mut random, 3);
        let new = record(&mut random, 5);
        let mut tracked = TrackedRecord::new(old.clone());
        tracked.replace(new.clone());
        let change = tracked.change_since(3).expect("a known revision");
        let other = record(&mut random, 4);
        assert_eq!(change.clone().apply(&other), None);
        assert_eq!(change.apply(&old), Some(new));
    }
}

#[test]
fn one_changed_slice_is_sent_alone() {
    let mut random = ChaCha8Rng::seed_from_u64(3);
    let old = record(&mut random, 3);
    let mut new = old.clone();
    new.revision = 4;
    new.value.slices[1].fence = Fence(8);
    let mut tracked = TrackedRecord::new(old);
    tracked.replace(new);
    let change = tracked.change_since(3).expect("a known revision");
    assert_eq!(change.slices.len(), 1);
    assert_eq!(tracked.change_since(2), None, "an unknown revision");
}

/// While keys of thousands of back ends move, the record changes ten times a
/// second. A follower that missed some of that receives the moved slices and
/// not the full record.
#[test]
fn follower_far_behind_receives_only_changed_slices() {
    let owner = |number: u64| SliceState::Owned {
        owner: Owner {
            name: format!("i-{number:010x}").as_str().into(),
            address: ([10, 0, 0, 1], 8_080).into(),
        },
        handover: None,
    };
    let slices = (0..4_096_u16).map(|number| Slice {
        range: KeyRange::new(16 * number, 16 * number + 15).expect("a range"),
        fence: Fence(1),
        state: owner(number.into()),
    });
    let mut found = Versioned {
        value: OwnershipRecord {
            term: Term(1),
            next_fence: Fence(2),
            slices: slices.collect(),
            former: Vec::new(),
        },
        revision: 1,
    };
    let mut follower = found.clone();
    let mut tracked = TrackedRecord::new(found.clone());
    for revision in 2..=300 {
        found.revision = revision;
        found.value.next_fence = Fence(revision + 1);
        let slice = &mut found.value.slices[revision as usize % 50];
        slice.fence = Fence(revision);
        slice.state = owner(100_000 + revision);
        tracked.replace(found.clone());
    }
    let change = tracked.change_since(1).expect("a known revision");
    assert_eq!(change.slices.len(), 50);
    let size = serde_json::to_string(&change).expect("serialized").len();
    assert!(size < 50 * 100, "{size} bytes");
    follower = change
        .apply(&follower)
        .expect("it applies to the follower's revision");
    assert_eq!(follower, found);
}

/// Fifty back ends for each of 13 gateways. The store's largest object is 1
/// MiB.
#[test]
fn record_of_ten_thousand_owners_fits_an_object_of_the_store() {
    const LARGEST_OBJECT: usize = 1 << 20;
    let slices = (0..10_000_u16).map(|number| Slice {
        range: KeyRange::new(number, number).expect("a range"),
        fence: Fence(1_000_000),
        state: SliceState::Owned {
            owner: Owner {
                name: BackEndName::new(&format!("i-{number:010x}"), Some(1_764_000_000_000)),
                address: ([10, 200, 100, number as u8], 18_080).into(),
            },
            handover: Some(HandoverToken("5c0e7a21d94b36f8".to_owned())),
        },
    });
    let value = OwnershipRecord {
        slices: slices.collect(),
        ..OwnershipRecord::empty(Term(1))
    };
    let written = serde_json::to_string(&value).expect("serialized");
    assert!(written.len() < LARGEST_OBJECT, "{} bytes", written.len());
    let read: OwnershipRecord = serde_json::from_str(&written).expect("deserialized");
    assert_eq!(read, value);
}

#[test]
fn slices_with_field_names_are_accepted() {
    let named = r#"[{"range":{"first":0,"last":9},"fence":3,"state":{"kind":"unowned"}},
        {"range":{"first":10,"last":20},"fence":4,"state":{"kind":"owned",
        "owner":{"name":"b-1","address":"10.0.0.1:80"},"handover":"t"}}]"#;
    let slices: Vec<Slice> = serde_json::from_str(named).expect("deserialized");
    let rows = serde_json::to_string(&slices).expect("serialized");
    assert_eq!(rows, r#"[[0,9,3],[10,20,4,"b-1","10.0.0.1:80","t"]]"#);
    assert_eq!(
        serde_json::from_str::<Vec<Slice>>(&rows).expect("deserialized"),
        slices
    );
}

#[test]
fn change_log_starts_at_the_follower_or_not_at_all() {
    let mut random = ChaCha8Rng::seed_from_u64(4);
    let mut log = ChangeLog::default();
    let mut last = configuration(&mut random, 0);
    for version in 1..=40 {
        let mut next = last.clone();
        next.version = ConfigurationVersion(version);
        log.push(ConfigurationChange::between(&last, &next));
        last = next;
    }
    let after = |version| {
        log.since(ConfigurationVersion(version))
            .map(|steps| steps.len())
    };
    assert_eq!(after(38), Some(2));
    assert_eq!(after(24), Some(16));
    assert_eq!(after(23), None);
    assert_eq!(after(40), None);
}

fn back_end(number: u32, draining: bool) -> BackEnd {
    samples::back_end(&format!("b-{number}"), draining)
}

fn put(revision: u64, back_end: BackEnd) -> Entry<BackEnd> {
    Entry {
        name: back_end.name.as_str().to_owned(),
        revision,
        value: Ok(back_end),
    }
}

/// Whatever a follower missed between its polls, it converges to the relay's
/// state, even if its first list is older than the relay's.
#[test]
fn follower_converges_to_the_relay() {
    for seed in 0..50 {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let mut relay = samples::empty_state();
        let mut follower = samples::empty_state();
        let listed = |at, numbers: std::ops::Range<u32>| {
            let entries = numbers.map(|number| put(at, back_end(number, false)));
            let entries = entries.collect();
            Update::Listed(Listing { entries, at })
        };
        follower.apply_back_ends(listed(5, 0..12), NOW);
        relay.apply_back_ends(listed(9, 2..14), NOW);
        let mut revision = 9;
        for _ in 0..200 {
            revision += 1;
            random_change(&mut random, &mut relay, revision);
            if random.random_bool(0.2) {
                poll(&mut follower, &relay);
            }
        }
        poll(&mut follower, &relay);
        poll(&mut follower, &relay);
        assert_eq!(follower.back_ends(NOW), relay.back_ends(NOW));
        assert_eq!(follower.position(), relay.position());
        assert_eq!(follower.revisions(), relay.revisions());
        assert!(relay.delta_since(&follower.position(), NOW).is_empty());
    }
}

fn random_change(random: &mut ChaCha8Rng, relay: &mut ClusterState, at: u64) {
    match random.random_range(0..4) {
        0 => {
            let number = random.random_range(0..30);
            let change = Change::Put(put(at, back_end(number, random.random_bool(0.3))));
            let changes = vec![change];
            relay.apply_back_ends(Update::Changed(Changes { changes, at }), NOW);
        }
        1 => {
            let gone = format!("b-{}", random.random_range(0..30));
            let changes = vec![Change::Gone(gone)];
            relay.apply_back_ends(Update::Changed(Changes { changes, at }), NOW);
        }
        2 => {
            let value = Ok(record(random, at).value);
            let (name, revision) = ("service".to_owned(), at);
            let changes = vec![Change::Put(Entry {
                name,
                revision,
                value,
            })];
            relay.apply_records(Update::Changed(Changes { changes, at }));
        }
        _ => {
            let value = Ok(configuration(random, at));
            let (name, revision) = ("main".to_owned(), at);
            let changes = vec![Change::Put(Entry {
                name,
                revision,
                value,
            })];
            relay.apply_configurations(Update::Changed(Changes { changes, at }));
        }
    }
}

/// Polls once. What the relay cannot send as changes is listed, as a gateway
/// does.
fn poll(follower: &mut ClusterState, relay: &ClusterState) {
    let delta = relay.delta_since(&follower.position(), NOW);
    let text = serde_json::to_string(&delta).expect("serialized");
    let delta: Delta = serde_json::from_str(&text).expect("deserialized");
    let fetch = delta.fetch_configuration;
    follower.apply_delta(delta, NOW);
    if fetch {
        let update = relay.update_since(&SyncPosition::default(), NOW);
        let value = Ok(update.delta.full_configuration.expect("a configuration"));
        let entry = Entry {
            name: "main".to_owned(),
            revision: 0,
            value,
        };
        let at = relay.revisions().configurations;
        let entries = vec![entry];
        follower.apply_configurations(Update::Listed(Listing { entries, at }));
    }
}

#[test]
fn change_from_another_revision_is_ignored() {
    let mut random = ChaCha8Rng::seed_from_u64(6);
    let mut relay = samples::empty_state();
    let mut follower = samples::empty_state();
    let take = |state: &mut ClusterState, found: &Versioned<OwnershipRecord>| {
        let entries = vec![Entry {
            name: "service".to_owned(),
            revision: found.revision,
            value: Ok(found.value.clone()),
        }];
        let at = found.revision;
        state.apply_records(Update::Listed(Listing { entries, at }));
    };
    let records: BTreeMap<u64, _> = (1..=3).map(|at| (at, record(&mut random, at))).collect();
    take(&mut relay, &records[&2]);
    take(&mut relay, &records[&3]);
    let delta = relay.delta_since(&position_at(&records[&2]), NOW);
    assert_eq!(delta.changed_records.len(), 1);
    take(&mut follower, &records[&1]);
    assert!(follower.apply_delta(delta, NOW).is_empty());
    assert_eq!(follower.position().ownership[&"service".into()], 1);
}

/// A newly started follower has no configuration to apply changes to. It
/// receives a small one in full, so that followers need not ask the store for
/// it.
#[test]
fn small_configuration_is_sent_in_full_and_a_large_one_fetched() {
    let mut random = ChaCha8Rng::seed_from_u64(7);
    for (routes, in_full) in [(3, true), (400, false)] {
        let mut value = configuration(&mut random, 5);
        value.routes = (0..routes)
            .map(|number| route(&mut random, number))
            .collect();
        let mut relay = samples::empty_state();
        let entries = vec![Entry {
            name: "main".to_owned(),
            revision: 5,
            value: Ok(value),
        }];
        relay.apply_configurations(Update::Listed(Listing { entries, at: 5 }));
        let delta = relay.delta_since(&SyncPosition::default(), NOW);
        assert_eq!(delta.full_configuration.is_some(), in_full);
        assert_eq!(delta.fetch_configuration, !in_full);
        let mut follower = samples::empty_state();
        let changes = follower.apply_delta(delta, NOW);
        assert_eq!(changes.len(), usize::from(in_full));
    }
}

/// The link between two regions is shared by all their gateways. A relay with a
/// fast link sends a large configuration, so that only one gateway fetches it
/// over that link.
#[test]
fn large_configuration_is_sent_by_a_relay_with_a_fast_link() {
    let mut random = ChaCha8Rng::seed_from_u64(8);
    let mut relay = samples::empty_state();
    relay.set_link_speed(200.0);
    let mut small = configuration(&mut random, 5);
    small.routes = (0..3).map(|number| route(&mut random, number)).collect();
    let mut large = small.clone();
    large.version = ConfigurationVersion(6);
    let more = (3..1_900).map(|number| route(&mut random, number));
    large.routes.extend(more);
    let mut follower = samples::empty_state();
    for (at, value) in [(5, small), (6, large)] {
        let entries = vec![Entry {
            name: "main".to_owned(),
            revision: at,
            value: Ok(value),
        }];
        relay.apply_configurations(Update::Listed(Listing { entries, at }));
        let delta = relay.delta_since(&follower.position(), NOW);
        assert!(!delta.fetch_configuration);
        assert_eq!(
            delta.full_configuration.is_some(),
            at == 5,
            "later versions are sent as changes"
        );
        follower.apply_delta(delta, NOW);
    }
    assert_eq!(follower.position(), relay.position());
    let delta = relay.delta_since(&SyncPosition::default(), NOW);
    assert!(
        delta.full_configuration.is_some(),
        "a newly started follower gets it in full"
    );
}

fn position_at(found: &Versioned<OwnershipRecord>) -> SyncPosition {
    let ownership = [("service".into(), found.revision)].into();
    SyncPosition {
        ownership,
        ..SyncPosition::default()
    }
}
