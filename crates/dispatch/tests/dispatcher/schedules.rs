//! Random schedules of events, checked against the guarantees of outcomes.

use std::collections::BTreeMap;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use threadledge_dispatch::dispatcher::NextAction;
use threadledge_dispatch::outcome::Rejection;
use threadledge_dispatch::{
    Attempt, AttemptEnd, ExchangeId, Fault, Outcome, StartedExchange, Step,
};

use super::support::{Harness, answered, failed_answer, not_run};

const SEEDS: u64 = 150;
const STEPS: u32 = 400;

/// The model's state of one exchange.
struct ExchangeModel {
    begun: StartedExchange,
    repeatable: bool,
    key: Option<u16>,
    /// Attempts that were allowed to be sent and may have run.
    may_have_run: u32,
    arrived: u32,
    running: Vec<Attempt>,
}

#[test]
fn guarantees_hold_in_any_order_of_events() {
    for seed in 0..SEEDS {
        run(seed);
    }
}

fn run(seed: u64) {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut harness = Harness::new();
    let mut exchanges: BTreeMap<ExchangeId, ExchangeModel> = BTreeMap::new();
    let mut draining: Vec<bool> = vec![false; harness.back_ends.len()];
    for _ in 0..STEPS {
        harness.advance(random.random_range(0..40));
        match random.random_range(0..10) {
            0..=3 => begin(&mut random, &mut harness, &mut exchanges),
            4 => {
                let index = random.random_range(0..draining.len());
                draining[index] = !draining[index];
                harness.back_ends[index].draining = draining[index];
                harness.publish_back_ends();
            }
            5 => {
                let names = ["k-1", "k-2", ""];
                let lower = names[random.random_range(0..3)];
                harness.set_owners(lower, names[random.random_range(0..3)]);
            }
            _ => end_one(&mut random, &mut harness, &mut exchanges),
        }
        let ids: Vec<ExchangeId> = exchanges.keys().copied().collect();
        for id in ids {
            advance_exchange(seed, &mut harness, &mut exchanges, id);
        }
    }
}

fn begin(
    random: &mut ChaCha8Rng,
    harness: &mut Harness,
    exchanges: &mut BTreeMap<ExchangeId, ExchangeModel>,
) {
    let (route, key) = match random.random_range(0..3) {
        0 => ("safe", None),
        1 => ("unsafe", None),
        _ => ("keyed", Some(random.random_range(0..=u16::MAX))),
    };
    let begun = harness.begin_with(route, key).expect("a route");
    let entry = ExchangeModel {
        begun: begun.clone(),
        repeatable: route != "unsafe",
        key,
        may_have_run: 0,
        arrived: 0,
        running: Vec::new(),
    };
    exchanges.insert(begun.id, entry);
}

fn end_one(
    random: &mut ChaCha8Rng,
    harness: &mut Harness,
    exchanges: &mut BTreeMap<ExchangeId, ExchangeModel>,
) {
    let busy: Vec<ExchangeId> = exchanges
        .iter()
        .filter(|(_, exchange)| !exchange.running.is_empty())
        .map(|(id, _)| *id)
        .collect();
    if busy.is_empty() {
        return;
    }
    let id = busy[random.random_range(0..busy.len())];
    let exchange = exchanges.get_mut(&id).expect("known");
    let attempt = exchange.running.remove(0);
    let end = match random.random_range(0..9) {
        0..=2 => answered(),
        3 => failed_answer(),
        4 => not_run(Rejection::Busy),
        5 => not_run(Rejection::NotOwner),
        6 => AttemptEnd::Failed(Fault::Broken),
        7 => AttemptEnd::Failed(Fault::BadAnswer),
        _ => AttemptEnd::Failed(Fault::TimedOut),
    };
    if matches!(end, AttemptEnd::NotRun { .. }) {
        exchange.may_have_run -= 1;
    }
    if matches!(
        end,
        AttemptEnd::NotRun {
            reason: Rejection::NotOwner,
            ..
        }
    ) {
        // The limit is on back ends that may run the request; the next owner
        // still may.
        exchange.arrived -= 1;
    }
    let begun = exchange.begun.clone();
    let action = harness.end(&begun, &attempt, end);
    if action == NextAction::Deliver {
        exchanges.remove(&id);
    }
}

fn advance_exchange(
    seed: u64,
    harness: &mut Harness,
    exchanges: &mut BTreeMap<ExchangeId, ExchangeModel>,
    id: ExchangeId,
) {
    loop {
        let exchange = exchanges.get_mut(&id).expect("known");
        let begun = exchange.begun.clone();
        match harness.next(&begun) {
            Step::Send(attempt) => {
                let now = harness.now;
                if !harness.dispatcher.may_send(now, id, attempt.id) {
                    harness.end(&begun, &attempt, AttemptEnd::Abandoned);
                    continue;
                }
                let back_end = harness
                    .back_ends
                    .iter()
                    .find(|back_end| back_end.name == attempt.back_end)
                    .expect("registered");
                assert!(
                    !back_end.draining,
                    "seed {seed}: sent to a leaving back end"
                );
                assert_eq!(back_end.service, begun.service, "seed {seed}");
                assert!(
                    exchange.repeatable || exchange.may_have_run == 0,
                    "seed {seed}: an unsafe request may run twice"
                );
                let is_exclusive = exchange.key.is_none() || exchange.running.is_empty();
                assert!(
                    is_exclusive,
                    "seed {seed}: a keyed request is with two back ends"
                );
                exchange.may_have_run += 1;
                exchange.arrived += 1;
                assert!(exchange.arrived <= 2, "seed {seed}: more than max-attempts");
                exchange.running.push(attempt);
            }
            Step::Wait(until) => {
                assert!(until > harness.now, "seed {seed}: it waits for the past");
                return;
            }
            Step::Finish(outcome) => {
                let refused = matches!(outcome, Outcome::Refused(_));
                assert!(
                    !refused || exchange.may_have_run == 0,
                    "seed {seed}: refused though it may have run"
                );
                exchanges.remove(&id);
                return;
            }
            Step::Ended => panic!("seed {seed}: over without an outcome"),
        }
    }
}
