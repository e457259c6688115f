//! Guarantees that hold under random schedules, with fixed seeds.

mod common;

use common::world::{Faults, World};
use common::{at, millis};
use threadledge_routing::Settings;
use threadledge_types::Outcome;

const METHODS: [&str; 2] = ["GET", "POST"];
const PATHS: [&str; 3] = ["/", "/critical", "/background"];

/// Offers requests for five seconds and runs until all of them have ended.
fn run(seed: u64, faults: Faults, requests_per_second: u64, settings: Settings) -> World {
    let mut world = World::new(seed, faults, settings);
    let requests = requests_per_second * 5;
    for number in 0..requests {
        let time = at(0) + millis(number * 5_000 / requests);
        world.run_until(time);
        let service = world.draw(2) as usize;
        let method = METHODS[world.draw(2) as usize];
        let path = PATHS[world.draw(3) as usize];
        let id = world.request(service, method, path);
        if let Some(id) = id
            && world.draw(50) == 0
        {
            let after = world.draw(30);
            world.disconnect_later(id, after);
        }
        if number % 20 == 0 {
            world.inject_record_fault();
        }
    }
    world.run_until(at(60_000));
    world.check_outcomes();
    world
}

fn check_extra_attempts(world: &World, settings: &Settings) {
    let counters = world.dispatcher.counters();
    let first = counters.admitted;
    let budget =
        |percent: u32, reserve: u32| u64::from(reserve) * 3 + first * u64::from(percent) / 100;
    assert!(counters.retries <= budget(settings.retry_percent, settings.retry_reserve));
    assert!(counters.hedges <= budget(settings.hedge_percent, settings.hedge_reserve));
}

#[test]
fn guarantees_hold_under_any_fault() {
    for seed in 0..40 {
        let faults = Faults {
            attempts: 5 + seed % 4 * 25,
            records: seed % 3 * 30,
        };
        let settings = Settings::default();
        let world = run(seed, faults, 200, settings.clone());
        check_extra_attempts(&world, &settings);
    }
}

#[test]
fn guarantees_hold_when_capacity_is_scarce() {
    for seed in 100..120 {
        let settings = Settings {
            max_exchanges: 12,
            queue_per_back_end: 3,
            ..Settings::default()
        };
        let faults = Faults {
            attempts: 20,
            records: 30,
        };
        let world = run(seed, faults, 2_000, settings.clone());
        check_extra_attempts(&world, &settings);
        assert!(world.rejected > 0);
    }
}

#[test]
fn every_request_is_answered_when_nothing_fails() {
    let faults = Faults {
        attempts: 0,
        records: 0,
    };
    for seed in 200..205 {
        let world = run(seed, faults, 200, Settings::default());
        let answered = world.outcomes(|_, outcome| outcome == Outcome::Answered);
        let caller_disconnected = world
            .exchanges
            .values()
            .filter(|record| record.caller_disconnected)
            .count();
        assert_eq!(answered + caller_disconnected, world.exchanges.len());
    }
}

#[test]
fn the_same_seed_gives_the_same_run() {
    let faults = Faults {
        attempts: 30,
        records: 50,
    };
    let first = run(300, faults, 200, Settings::default());
    let second = run(300, faults, 200, Settings::default());
    assert_eq!(first.dispatcher.counters(), second.dispatcher.counters());
}
