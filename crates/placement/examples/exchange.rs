//! Prints the imbalance and the churn that result from each policy, while the
//! hot keys change every two minutes.
//!
//! `cargo run --release -p threadledge-placement --example exchange`

#[path = "../tests/common/mod.rs"]
mod common;

use std::collections::BTreeMap;

use common::{Model, Traffic, back_end, gallery, warm_model};
use threadledge_types::objects::PlacementPolicy;
use threadledge_types::{Point, hash_key};

const BACK_ENDS: u32 = 15;
const SHIFTS: u32 = 5;
const STEPS_A_SHIFT: usize = 240;
const RATE: f64 = 3_000.0;
const HOT_KEYS: u32 = 500;
/// Virtual nodes of each back end on the hash ring used for comparison.
const RING_NODES: u32 = 100;

fn main() {
    println!("{BACK_ENDS} back ends, {RATE} requests/s, half of them to {HOT_KEYS} hot keys");
    println!("(Zipf), which are others every two minutes, for ten minutes");
    println!();
    println!("tolerated  budget/min  imbalance: mean    worst   churn/min  splits");
    for tolerated in [1.05, 1.10, 1.25, 1.50] {
        for budget in [0.005, 0.02, 0.10] {
            run(tolerated, budget);
        }
    }
    println!();
    println!("hash ring, {RING_NODES} nodes a back end: {}", ring());
}

fn run(tolerated: f64, budget: f64) {
    let policy = PlacementPolicy {
        tolerated_imbalance: tolerated,
        churn_budget_per_minute: budget,
        ..PlacementPolicy::default()
    };
    let mut model = warm_model(BACK_ENDS, policy, traffic(0));
    let mut imbalances = Vec::new();
    for shift in 1..=SHIFTS {
        model.traffic.insert(gallery(), traffic(shift));
        for _ in 0..STEPS_A_SHIFT {
            model.run(1);
            imbalances.push(model.true_imbalance(&gallery()));
        }
    }
    let mean = imbalances.iter().sum::<f64>() / imbalances.len() as f64;
    let worst = imbalances.iter().copied().fold(0.0, f64::max);
    let minutes = f64::from(SHIFTS) * 2.0;
    println!(
        "{tolerated:>9.2}  {budget:>10.3}  {mean:>15.3}  {worst:>7.3}  {:>10.4}  {:>6}",
        model.churn_of(&gallery()) / minutes,
        splits(&model),
    );
}

fn splits(model: &Model) -> usize {
    model
        .actions
        .iter()
        .filter(|action| matches!(action, threadledge_placement::Action::Split { .. }))
        .count()
}

fn traffic(shift: u32) -> Traffic {
    let norm: f64 = (1..=HOT_KEYS).map(|rank| 1.0 / f64::from(rank)).sum();
    let hot = (1..=HOT_KEYS).map(|rank| {
        let point = hash_key(format!("key-{shift}-{rank}").as_bytes());
        (point, RATE / 2.0 / norm / f64::from(rank))
    });
    Traffic {
        spread: RATE / 2.0,
        hot: hot.collect(),
    }
}

/// Returns the result for the same traffic on a hash ring, which never moves
/// keys.
fn ring() -> String {
    let mut nodes: BTreeMap<Point, u32> = BTreeMap::new();
    for number in 0..BACK_ENDS {
        for node in 0..RING_NODES {
            let name = format!("{}/{node}", back_end(number));
            nodes.insert(hash_key(name.as_bytes()), number);
        }
    }
    let ratios: Vec<f64> = (1..=SHIFTS)
        .map(|shift| ring_ratio(&nodes, &traffic(shift)))
        .collect();
    let mean = ratios.iter().sum::<f64>() / ratios.len() as f64;
    let worst = ratios.iter().copied().fold(0.0, f64::max);
    format!("imbalance mean {mean:.3}, worst {worst:.3}, no churn")
}

fn ring_ratio(nodes: &BTreeMap<Point, u32>, traffic: &Traffic) -> f64 {
    let mut rates = vec![0.0; BACK_ENDS as usize];
    let mut first = Point(0);
    for (point, number) in nodes {
        let slice = threadledge_types::Slice {
            first,
            last: *point,
        };
        rates[*number as usize] += traffic.of(slice);
        first = Point(point.0.saturating_add(1));
    }
    let rest = threadledge_types::Slice {
        first,
        last: Point(u64::MAX),
    };
    if let Some(number) = nodes.values().next() {
        rates[*number as usize] += traffic.of(rest);
    }
    let mean = rates.iter().sum::<f64>() / rates.len() as f64;
    rates.into_iter().fold(0.0, f64::max) / mean
}
