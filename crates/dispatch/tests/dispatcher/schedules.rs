//! Random schedules against the promises of outcomes.

use std::collections::BTreeMap;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use threadledge_dispatch::dispatcher::NextAction;
use threadledge_dispatch::outcome::Rejection;
use threadledge_dispatch::{
    Attempt, AttemptEnd, ExchangeId, Fault, Outcome, StartedExchange, Step,
};

use super::support::{Station, answered, failed_answer, not_run};

const SEEDS: u64 = 150;
const STEPS: u32 = 400;

/// What the model knows of one exchange.
struct Known {
    begun: StartedExchange,
    repeatable: bool,
    key: Option<u16>,
    /// Attempts that were given leave and may have run.
    may_have_run: u32,
    arrived: u32,
    running: Vec<Attempt>,
}

#[test]
fn no_promise_is_broken_by_any_order_of_events() {
    for seed in 0..SEEDS {
        run(seed);
    }
}

fn run(seed: u64) {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut station = Station::new();
    let mut known: BTreeMap<ExchangeId, Known> = BTreeMap::new();
    let mut draining: Vec<bool> = vec![false; station.back_ends.len()];
    for _ in 0..STEPS {
        station.after(random.random_range(0..40));
        match random.random_range(0..10) {
            0..=3 => begin(&mut random, &mut station, &mut known),
            4 => {
                let index = random.random_range(0..draining.len());
                draining[index] = !draining[index];
                station.back_ends[index].draining = draining[index];
                station.publish();
            }
            5 => {
                let names = ["k-1", "k-2", ""];
                let lower = names[random.random_range(0..3)];
                station.own(lower, names[random.random_range(0..3)]);
            }
            _ => end_one(&mut random, &mut station, &mut known),
        }
        let ids: Vec<ExchangeId> = known.keys().copied().collect();
        for id in ids {
            ask(seed, &mut station, &mut known, id);
        }
    }
}

fn begin(random: &mut ChaCha8Rng, station: &mut Station, known: &mut BTreeMap<ExchangeId, Known>) {
    let (route, key) = match random.random_range(0..3) {
        0 => ("safe", None),
        1 => ("unsafe", None),
        _ => ("keyed", Some(random.random_range(0..=u16::MAX))),
    };
    let begun = station.begin_with(route, key).expect("a route");
    let entry = Known {
        begun: begun.clone(),
        repeatable: route != "unsafe",
        key,
        may_have_run: 0,
        arrived: 0,
        running: Vec::new(),
    };
    known.insert(begun.id, entry);
}

fn end_one(
    random: &mut ChaCha8Rng,
    station: &mut Station,
    known: &mut BTreeMap<ExchangeId, Known>,
) {
    let busy: Vec<ExchangeId> = known
        .iter()
        .filter(|(_, each)| !each.running.is_empty())
        .map(|(id, _)| *id)
        .collect();
    if busy.is_empty() {
        return;
    }
    let id = busy[random.random_range(0..busy.len())];
    let each = known.get_mut(&id).expect("known");
    let attempt = each.running.remove(0);
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
        each.may_have_run -= 1;
    }
    if matches!(
        end,
        AttemptEnd::NotRun {
            reason: Rejection::NotOwner,
            ..
        }
    ) {
        // The bound is on back ends that may run it; the next owner may.
        each.arrived -= 1;
    }
    let begun = each.begun.clone();
    let verdict = station.end(&begun, &attempt, end);
    if verdict == NextAction::Deliver {
        known.remove(&id);
    }
}

fn ask(seed: u64, station: &mut Station, known: &mut BTreeMap<ExchangeId, Known>, id: ExchangeId) {
    loop {
        let each = known.get_mut(&id).expect("known");
        let begun = each.begun.clone();
        match station.next(&begun) {
            Step::Send(attempt) => {
                let now = station.now;
                if !station.dispatcher.may_send(now, id, attempt.id) {
                    station.end(&begun, &attempt, AttemptEnd::Abandoned);
                    continue;
                }
                let back_end = station
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
                    each.repeatable || each.may_have_run == 0,
                    "seed {seed}: an unsafe request may run twice"
                );
                let alone = each.key.is_none() || each.running.is_empty();
                assert!(alone, "seed {seed}: a keyed request is with two back ends");
                each.may_have_run += 1;
                each.arrived += 1;
                assert!(each.arrived <= 2, "seed {seed}: more than max-attempts");
                each.running.push(attempt);
            }
            Step::Wait(until) => {
                assert!(until > station.now, "seed {seed}: it waits for the past");
                return;
            }
            Step::Finish(outcome) => {
                let refused = matches!(outcome, Outcome::Refused(_));
                assert!(
                    !refused || each.may_have_run == 0,
                    "seed {seed}: refused though it may have run"
                );
                known.remove(&id);
                return;
            }
            Step::Ended => panic!("seed {seed}: over without an outcome"),
        }
    }
}
