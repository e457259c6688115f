//! Full lists and incremental updates of the registered back ends.

use std::collections::BTreeMap;
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use threadledge_types::deployment::{BackEnd, BackEndName};

use super::support::{Harness, back_end};

fn random_back_end(random: &mut ChaCha8Rng) -> BackEnd {
    let name = format!("b-{}", random.random_range(0..8));
    let service = ["plain", "keyed"][random.random_range(0..2)];
    // Few addresses, so that they are shared and taken over.
    let mut drawn = back_end(&name, service, "near", random.random_range(1..5));
    drawn.draining = random.random_bool(0.3);
    if random.random_bool(0.2) {
        drawn.cold_for = Duration::from_secs(1);
    }
    drawn
}

/// The addresses that are no longer used decide which connections are closed,
/// so both ways of updating must return the same ones.
#[test]
fn incremental_updates_and_full_lists_give_the_same_result() {
    for seed in 0..60 {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let mut replacing = Harness::new();
        let mut updating = Harness::new();
        let mut registered: BTreeMap<BackEndName, BackEnd> = BTreeMap::new();
        let now = replacing.now;
        replacing.dispatcher.set_back_ends(now, &[]);
        updating.dispatcher.set_back_ends(now, &[]);
        for step in 0..60 {
            let changed: Vec<BackEnd> = (0..2).map(|_| random_back_end(&mut random)).collect();
            registered.extend(changed.iter().map(|each| (each.name.clone(), each.clone())));
            let mut changed: BTreeMap<BackEndName, BackEnd> = changed
                .into_iter()
                .map(|each| (each.name.clone(), each))
                .collect();
            let removed: Vec<BackEndName> = registered
                .keys()
                .filter(|_| random.random_bool(0.1))
                .cloned()
                .collect();
            for name in &removed {
                registered.remove(name);
                changed.remove(name);
            }
            let all: Vec<BackEnd> = registered.values().cloned().collect();
            let changed: Vec<BackEnd> = changed.into_values().collect();
            let mut released = replacing.dispatcher.set_back_ends(now, &all);
            let mut also_released = updating
                .dispatcher
                .update_back_ends(now, &changed, &removed);
            released.sort();
            released.dedup();
            also_released.sort();
            also_released.dedup();
            assert_eq!(also_released, released, "seed {seed}, step {step}");
            let counts = updating.dispatcher.back_end_counts(now);
            assert_eq!(counts, replacing.dispatcher.back_end_counts(now));
            assert_eq!(counts.0, registered.len(), "seed {seed}, step {step}");
        }
    }
}
