//! Back ends in use, told by what changed.

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

/// Who uses what was told so far.
#[derive(Default)]
struct User {
    back_ends: BTreeMap<BackEndName, BackEnd>,
}

impl User {
    fn take(&mut self, in_use: BackEndUpdate) {
        match in_use {
            BackEndUpdate::All(all) => {
                let named = all.iter().map(|each| (each.name.clone(), each.clone()));
                self.back_ends = named.collect();
            }
            BackEndUpdate::Changed { changed, removed } => {
                // One that came and went between two tellings was never in use.
                for name in removed {
                    self.back_ends.remove(&name);
                }
                let named = changed.into_iter().map(|each| (each.name.clone(), each));
                self.back_ends.extend(named);
            }
        }
    }
}

fn one_of(random: &mut ChaCha8Rng) -> BackEnd {
    let id = format!("b-{}", random.random_range(0..12));
    let started = random.random_range(1..4);
    let mut drawn = back_end(&id, random.random_bool(0.2));
    drawn.name = BackEndName::new(&id, Some(started));
    drawn.zone = if random.random_bool(0.5) { "a" } else { "b" }.into();
    drawn
}

fn update(random: &mut ChaCha8Rng, at: u64) -> Update<BackEnd> {
    let back_end = one_of(random);
    let id = back_end.name.id().to_owned();
    let changes = match random.random_range(0..5) {
        0 => {
            let entries = (0..8).map(|number| entry(&format!("b-{number}"), at, one_of(random)));
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

/// Registrations, lapses, next lives, spoiled entries and zones in any order.
#[test]
fn what_changed_adds_up_to_the_back_ends_in_use() {
    for seed in 0..60 {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let mut state = empty_state();
        let mut user = User::default();
        let mut now = Timestamp::from_millis(1_000);
        for at in 1..150 {
            now = now + Duration::from_millis(200);
            let awaited = random
                .random_bool(0.4)
                .then(|| now + Duration::from_secs(1));
            state.set_lapse_grace(awaited);
            match random.random_range(0..8) {
                0 => drain(&mut random, &mut state, at, now),
                1 => drop(state.expire_lapsed(now)),
                _ => drop(state.apply_back_ends(update(&mut random, at), now)),
            }
            if random.random_bool(0.5) {
                continue;
            }
            let Some(in_use) = state.take_in_use(now) else {
                continue;
            };
            user.take(in_use);
            let all = state.back_ends(now).expect("the zones are known");
            let used: Vec<BackEnd> = user.back_ends.values().cloned().collect();
            assert_eq!(used, all.to_vec(), "seed {seed}, step {at}");
        }
    }
}

/// Each gateway walked over all of them for every change.
#[test]
fn one_change_among_thousands_of_back_ends_is_told_as_one() {
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
