//! Back ends told whole, or by what changed.

use std::collections::BTreeMap;
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use threadledge_types::deployment::{BackEnd, BackEndName};

use super::support::{Station, back_end};

fn drawn(random: &mut ChaCha8Rng) -> BackEnd {
    let name = format!("b-{}", random.random_range(0..8));
    let service = ["plain", "keyed"][random.random_range(0..2)];
    // Few addresses: they are shared, and taken over.
    let mut drawn = back_end(&name, service, "near", random.random_range(1..5));
    drawn.draining = random.random_bool(0.3);
    if random.random_bool(0.2) {
        drawn.cold_for = Duration::from_secs(1);
    }
    drawn
}

/// Which addresses are left decides which connections are closed.
#[test]
fn changes_leave_the_same_back_ends_and_addresses_as_the_whole_list() {
    for seed in 0..60 {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let mut whole = Station::new();
        let mut changing = Station::new();
        let mut there: BTreeMap<BackEndName, BackEnd> = BTreeMap::new();
        let now = whole.now;
        whole.dispatcher.set_back_ends(now, &[]);
        changing.dispatcher.set_back_ends(now, &[]);
        for step in 0..60 {
            let changed: Vec<BackEnd> = (0..2).map(|_| drawn(&mut random)).collect();
            there.extend(changed.iter().map(|each| (each.name.clone(), each.clone())));
            let mut changed: BTreeMap<BackEndName, BackEnd> = changed
                .into_iter()
                .map(|each| (each.name.clone(), each))
                .collect();
            let gone: Vec<BackEndName> = there
                .keys()
                .filter(|_| random.random_bool(0.1))
                .cloned()
                .collect();
            for name in &gone {
                there.remove(name);
                changed.remove(name);
            }
            let all: Vec<BackEnd> = there.values().cloned().collect();
            let changed: Vec<BackEnd> = changed.into_values().collect();
            let mut left = whole.dispatcher.set_back_ends(now, &all);
            let mut also_left = changing.dispatcher.update_back_ends(now, &changed, &gone);
            left.sort();
            left.dedup();
            also_left.sort();
            also_left.dedup();
            assert_eq!(also_left, left, "seed {seed}, step {step}");
            let counts = changing.dispatcher.back_end_counts(now);
            assert_eq!(counts, whole.dispatcher.back_end_counts(now));
            assert_eq!(counts.0, there.len(), "seed {seed}, step {step}");
        }
    }
}
