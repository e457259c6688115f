//! Tests of balancing, hot keys, noise, and the trade-off between imbalance and
//! churn.

mod common;

use std::collections::BTreeMap;

use common::{Model, Traffic, back_end, gallery, warm_model};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use threadledge_placement::Action;
use threadledge_types::objects::PlacementPolicy;
use threadledge_types::{BackEndId, Point, hash_key};

const COUNT: u32 = 15;

fn policy(tolerated_imbalance: f64, churn_budget_per_minute: f64) -> PlacementPolicy {
    PlacementPolicy {
        tolerated_imbalance,
        churn_budget_per_minute,
        slices_per_back_end: 32,
    }
}

fn hot(keys: &[(&str, f64)]) -> BTreeMap<Point, f64> {
    keys.iter()
        .map(|(key, rate)| (hash_key(key.as_bytes()), *rate))
        .collect()
}

fn zipf(keys: u32, total: f64) -> BTreeMap<Point, f64> {
    let norm: f64 = (1..=keys).map(|rank| 1.0 / f64::from(rank)).sum();
    (1..=keys)
        .map(|rank| {
            let point = hash_key(format!("key-{rank}").as_bytes());
            (point, total / norm / f64::from(rank))
        })
        .collect()
}

fn splits(model: &Model) -> usize {
    model
        .actions
        .iter()
        .filter(|action| matches!(action, Action::Split { .. }))
        .count()
}

#[test]
fn hot_keys_are_spread_to_the_tolerated_imbalance() {
    let quiet = Traffic {
        spread: 3_000.0,
        hot: BTreeMap::new(),
    };
    let mut model = warm_model(COUNT, policy(1.10, 0.10), quiet);
    let keys = [("a", 150.0), ("b", 120.0), ("c", 90.0), ("d", 60.0)];
    model.traffic.insert(
        gallery(),
        Traffic {
            spread: 3_000.0,
            hot: hot(&keys),
        },
    );
    let before = model.true_imbalance(&gallery());
    model.run(240);
    let after = model.true_imbalance(&gallery());
    assert!(
        before > 1.5,
        "the hot keys do put it out of balance: {before}"
    );
    assert!(after <= 1.15, "{after}");
    // The owner of a hot key must give up as much load as the key adds above
    // the mean.
    let mean = 3_420.0 / f64::from(COUNT);
    let excess: f64 = keys
        .iter()
        .map(|(_, rate)| 3_000.0 / f64::from(COUNT) + rate - mean)
        .sum();
    let churn = model.churn_of(&gallery());
    assert!(churn <= excess / 3_000.0, "{churn}");
}

#[test]
fn skewed_keys_are_balanced_with_little_churn() {
    let quiet = Traffic {
        spread: 1_000.0,
        hot: BTreeMap::new(),
    };
    let mut model = warm_model(COUNT, policy(1.10, 0.05), quiet);
    model.traffic.insert(
        gallery(),
        Traffic {
            spread: 1_000.0,
            hot: zipf(500, 1_000.0),
        },
    );
    let before = model.true_imbalance(&gallery());
    model.run(480);
    let after = model.true_imbalance(&gallery());
    let churn = model.churn_of(&gallery());
    assert!(before > 1.5 && after <= 1.12, "{before} to {after}");
    assert!(churn < 0.10, "{churn}");
}

#[test]
fn slice_with_several_hot_keys_is_split_until_they_can_be_separated() {
    let quiet = Traffic {
        spread: 1_500.0,
        hot: BTreeMap::new(),
    };
    let mut model = warm_model(COUNT, policy(1.10, 0.10), quiet);
    let base = hash_key(b"hot").0;
    let neighbours = (0..8).map(|number| (Point(base + number), 60.0)).collect();
    model.traffic.insert(
        gallery(),
        Traffic {
            spread: 1_500.0,
            hot: neighbours,
        },
    );
    model.run(360);
    assert!(splits(&model) > 0);
    let after = model.true_imbalance(&gallery());
    assert!(after <= 1.15, "{after}");
    let single = model
        .records()
        .filter(|record| record.slice.first == record.slice.last)
        .count();
    assert!(single > 0, "some slice is one key");
}

#[test]
fn key_hotter_than_a_back_end_moves_only_adjacent_slices_away() {
    let quiet = Traffic {
        spread: 1_500.0,
        hot: BTreeMap::new(),
    };
    let mut model = warm_model(COUNT, policy(1.10, 0.10), quiet);
    let hot_key = hot(&[("hot", 300.0)]);
    model.traffic.insert(
        gallery(),
        Traffic {
            spread: 1_500.0,
            hot: hot_key.clone(),
        },
    );
    model.run(600);
    let point = *hot_key.keys().next().expect("one key");
    let owner = model
        .records()
        .find(|record| record.slice.contains(point))
        .and_then(|record| record.owner.clone())
        .expect("owned");
    let rate = model.rate_of(&gallery(), &owner.back_end);
    assert!(rate <= 305.0, "the owner keeps little besides: {rate}");
    assert!(model.churn_of(&gallery()) <= 1.2 / f64::from(COUNT));
}

#[test]
fn cold_fragments_are_merged_again() {
    let quiet = Traffic {
        spread: 1_500.0,
        hot: BTreeMap::new(),
    };
    let mut model = warm_model(4, policy(1.10, 0.02), quiet.clone());
    let base = hash_key(b"hot").0;
    let neighbours = (0..4).map(|number| (Point(base + number), 150.0)).collect();
    model.traffic.insert(
        gallery(),
        Traffic {
            spread: 1_500.0,
            hot: neighbours,
        },
    );
    model.run(240);
    let fragments = model.slices[&gallery()].len();
    model.traffic.insert(gallery(), quiet);
    model.run(1_200);
    let after = model.slices[&gallery()].len();
    assert!(fragments > 4 * 32, "{fragments}");
    assert!(after < fragments, "{fragments} slices became {after}");
}

#[test]
fn noisy_reports_move_nothing() {
    let traffic = Traffic {
        spread: 1_500.0,
        hot: BTreeMap::new(),
    };
    let mut model = warm_model(COUNT, policy(1.10, 0.02), traffic);
    let mut random = ChaCha8Rng::seed_from_u64(3);
    model.run_with(360, |_, rate| rate * random.random_range(0.0..2.0));
    assert_eq!(model.actions, Vec::new());
}

#[test]
fn few_requests_are_no_evidence_of_imbalance() {
    let traffic = Traffic {
        spread: 20.0,
        hot: BTreeMap::new(),
    };
    let mut model = warm_model(COUNT, policy(1.10, 0.02), traffic);
    let mut random = ChaCha8Rng::seed_from_u64(4);
    // Each report counts whole requests in half a second.
    model.run_with(360, |_, rate| {
        let expected = rate / 2.0;
        let seen = random.random_bool(expected.min(1.0));
        if seen { 2.0 } else { 0.0 }
    });
    assert!(
        model.churn_of(&gallery()) <= 0.005,
        "{}",
        model.churn_of(&gallery())
    );
}

#[test]
fn late_reports_do_not_make_slices_flap() {
    let traffic = Traffic {
        spread: 1_500.0,
        hot: hot(&[("a", 100.0), ("b", 100.0)]),
    };
    let mut model = warm_model(COUNT, policy(1.10, 0.10), traffic);
    model.report_delay = 8;
    model.run(240);
    let settled = model.churn_of(&gallery());
    model.run(360);
    assert!(
        model.churn_of(&gallery()) <= settled + 1e-9,
        "nothing moves any more"
    );
}

#[test]
fn imbalance_is_acted_on_while_a_merge_is_awaited() {
    let quiet = Traffic {
        spread: 1_500.0,
        hot: BTreeMap::new(),
    };
    let mut model = warm_model(4, policy(1.10, 0.10), quiet);
    let base = hash_key(b"hot").0;
    let neighbours = (0..4).map(|number| (Point(base + number), 150.0)).collect();
    let traffic = |hot| Traffic {
        spread: 1_500.0,
        hot,
    };
    model.traffic.insert(gallery(), traffic(neighbours));
    model.run(160);
    assert!(splits(&model) > 0, "there are fragments to merge");
    model
        .traffic
        .insert(gallery(), traffic(hot(&[("other", 300.0)])));
    model.run(60);
    let after = model.true_imbalance(&gallery());
    assert!(after <= 1.25, "{after} after half a minute");
}

#[test]
fn new_leader_moves_nothing_that_its_predecessor_had_settled() {
    let traffic = Traffic {
        spread: 1_500.0,
        hot: hot(&[("a", 60.0), ("b", 60.0), ("c", 40.0)]),
    };
    let mut model = warm_model(COUNT, policy(1.10, 0.10), traffic);
    model.run(360);
    model.reset_churn();
    model.replace_planner();
    // One back end is slow to respond to the new leader.
    let late = back_end(0);
    model.unreporting.insert(late.clone());
    model.run(40);
    model.unreporting.remove(&late);
    model.run(120);
    assert_eq!(model.actions, Vec::new());
}

#[test]
fn back_end_that_exaggerates_cannot_cause_churn_beyond_the_budget() {
    let traffic = Traffic {
        spread: 1_500.0,
        hot: BTreeMap::new(),
    };
    let mut model = warm_model(COUNT, policy(1.10, 0.01), traffic);
    let exaggerating = back_end(3);
    let exaggerate = |id: &BackEndId, rate| {
        if *id == exaggerating {
            rate * 1_000.0
        } else {
            rate
        }
    };
    model.run_with(600, exaggerate);
    let minutes = 5.0;
    let churn = model.churn_of(&gallery());
    assert!(churn <= 0.01 * (minutes + 1.0), "{churn}");
}

#[test]
fn invalid_rates_in_reports_change_nothing() {
    let traffic = Traffic {
        spread: 1_500.0,
        hot: BTreeMap::new(),
    };
    let mut model = warm_model(3, policy(1.10, 0.02), traffic);
    let values = [f64::NAN, f64::NEG_INFINITY, -5.0];
    let mut number = 0;
    model.run_with(60, |_, _| {
        number += 1;
        values[number % values.len()]
    });
    let imbalance = model
        .planner
        .imbalance(&gallery())
        .expect("three back ends");
    assert!((1.0..=1.1).contains(&imbalance), "{imbalance}");
}

#[test]
fn zero_churn_budget_moves_nothing_for_balance() {
    let mut model = warm_model(COUNT, policy(1.10, 0.0), Traffic::default());
    model.traffic.insert(
        gallery(),
        Traffic {
            spread: 500.0,
            hot: zipf(100, 1_000.0),
        },
    );
    model.run(600);
    assert!(model.churn_of(&gallery()).abs() < 1e-12);
}

#[test]
fn higher_tolerance_causes_less_churn() {
    let churn_with = |tolerated: f64| {
        let mut model = warm_model(COUNT, policy(tolerated, 0.05), Traffic::default());
        model.traffic.insert(
            gallery(),
            Traffic {
                spread: 1_000.0,
                hot: zipf(500, 1_000.0),
            },
        );
        model.run(480);
        (model.churn_of(&gallery()), model.true_imbalance(&gallery()))
    };
    let (strict_churn, strict_imbalance) = churn_with(1.05);
    let (loose_churn, loose_imbalance) = churn_with(1.50);
    assert!(
        loose_churn < strict_churn,
        "{loose_churn} against {strict_churn}"
    );
    assert!(strict_imbalance < loose_imbalance);
    assert!(loose_imbalance <= 1.55);
}

#[test]
fn without_reports_keys_are_balanced() {
    let mut model = warm_model(5, policy(1.10, 1.0), Traffic::default());
    model.back_end(&back_end(5), "gallery", 2);
    model.open(&back_end(5), 1);
    model.run(240);
    let share = model.share_of(&back_end(5)) * 6.0;
    assert!((0.85..=1.01).contains(&share), "{share}");
}
