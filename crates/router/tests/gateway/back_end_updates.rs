//! Updates of the usable back ends.

use std::collections::BTreeMap;
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use threadledge::gateway::back_end_updates::BackEndUpdate;
use threadledge::gateway::cluster_state::ClusterState;
use threadledge::gateway::watcher::Update;
use threadledge_ports::{Change, Changes, Listing, Malformed};
use threadledge_types::Timestamp;
use threadledge_types::deployment::{BackEnd, BackEndName, DrainedZone};

use super::samples::{back_end, empty_state, entry};

/// Applies updates as a consumer of them does.
#[derive(Default)]
struct Consumer {
    back_ends: BTreeMap<BackEndName, BackEnd>,
}

impl Consumer {
    fn apply(&mut self, update: BackEndUpdate) {
        match update {
            BackEndUpdate::All(all) => {
                let named = all.iter().map(|each| (each.name.clone(), each.clone()));
                self.back_ends = named.collect();
            }
            BackEndUpdate::Changed { changed, removed } => {
                // A back end that was added and removed between two updates was
                // never used.
                for name in removed {
                    self.back_ends.remove(&name);
                }
                let named = changed.into_iter().map(|each| (each.name.clone(), each));
                self.back_ends.extend(named);
            }
        }
    }
}

fn random_back_end(random: &mut ChaCha8Rng) -> BackEnd {
    let id = format!("b-{}", random.random_range(0..12));
    let started = random.random_range(1..4);
    let mut drawn = back_end(&id, random.random_bool(0.2));
    drawn.name = BackEndName::new(&id, Some(started));
    drawn.zone = if random.random_bool(0.5) { "a" } else { "b" }.into();
    drawn
}

fn random_update(random: &mut ChaCha8Rng, at: u64) -> Update<BackEnd> {
    let back_end = random_back_end(random);
    let id = back_end.name.id().to_owned();
    let changes = match random.random_range(0..5) {
        0 => {
            let entries =
                (0..8).map(|number| entry(&format!("b-{number}"), at, random_back_end(random)));
            let mut entries: Vec<_> = entries.collect();
            for entry in &mut entries {
                let drawn = entry.value.as_mut().expect("it can be read");
                drawn.name = BackEndName::new(&entry.name, Some(at));
            }
            return Update::Listed(Listing { entries, at });
        }
        1 => vec![Change::Gone(id)],
        2 => {
            let mut spoiled = entry(&id, at, back_end);
            spoiled.value = Err(Malformed {
                problem: "it cannot be read".to_owned(),
            });
            vec![Change::Put(spoiled)]
        }
        _ => vec![Change::Put(entry(&id, at, back_end))],
    };
    Update::Changed(Changes { changes, at })
}

fn drain(random: &mut ChaCha8Rng, state: &mut ClusterState, at: u64, now: Timestamp) {
    let changes = if random.random_bool(0.5) {
        let zone = DrainedZone("a".into());
        vec![Change::Put(entry("a", at, zone))]
    } else {
        vec![Change::Gone("a".to_owned())]
    };
    state.apply_zones(Update::Changed(Changes { changes, at }), now);
}

/// Applies registrations, lapses, new incarnations, malformed entries and zone
/// drains in random order.
#[test]
fn updates_add_up_to_the_usable_back_ends() {
    for seed in 0..60 {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let mut state = empty_state();
        let mut consumer = Consumer::default();
        let mut now = Timestamp::from_millis(1_000);
        for at in 1..150 {
            now = now + Duration::from_millis(200);
            let grace_until = random
                .random_bool(0.4)
                .then(|| now + Duration::from_secs(1));
            state.set_lapse_grace(grace_until);
            match random.random_range(0..8) {
                0 => drain(&mut random, &mut state, at, now),
                1 => drop(state.expire_lapsed(now)),
                _ => drop(state.apply_back_ends(random_update(&mut random, at), now)),
            }
            if random.random_bool(0.5) {
                continue;
            }
            let Some(update) = state.take_in_use(now) else {
                continue;
            };
            consumer.apply(update);
            let all = state.back_ends(now).expect("the zones are known");
            let used: Vec<BackEnd> = consumer.back_ends.values().cloned().collect();
            assert_eq!(used, all.to_vec(), "seed {seed}, step {at}");
        }
    }
}

/// Guards against every gateway walking over all back ends for each change.
#[test]
fn one_change_among_thousands_of_back_ends_gives_a_small_update() {
    let mut state = empty_state();
    let now = Timestamp::from_millis(1_000);
    let numbered = |number: u32| {
        let id = format!("b-{number:05}");
        entry(&id, 5, back_end(&id, false))
    };
    let entries = (0..10_000).map(numbered).collect();
    state.apply_back_ends(Update::Listed(Listing { entries, at: 5 }), now);
    let first = state.take_in_use(now).expect("all are known");
    assert!(matches!(first, BackEndUpdate::All(all) if all.len() == 10_000));
    let leaving = entry("b-00077", 6, back_end("b-00077", true));
    let changes = vec![Change::Put(leaving), Change::Gone("b-00078".to_owned())];
    state.apply_back_ends(Update::Changed(Changes { changes, at: 6 }), now);
    let second = state.take_in_use(now).expect("all are known");
    let changed = BackEndUpdate::Changed {
        changed: vec![back_end("b-00077", true)],
        removed: vec!["b-00078".into()],
    };
    assert_eq!(second, changed);
}
