//! Random schedules of failures over the composed cores, from fixed seeds.
//!
//! Each schedule draws faults (drops, delays, duplicates and reorderings of
//! messages, pauses, restarts, losses, partitions, drains, operators' edits,
//! outages of the platform) and runs on. The invariants are checked at every
//! step. At the end all faults are repaired, and every key must be served
//! again.

use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use threadledge_simulator::{
    BackEndIndex, NetworkSettings, RouterIndex, Scenario, ServicePlan, World,
};

const SERVICE: &str = "gallery";
const SEEDS: u64 = 24;
/// Seeds beyond the first ones that failed once: with 26 two groups existed at
/// once; with 34 and 53 a learner prevented the bootstrap of a lost group; with
/// 1423 routers that missed a bootstrap never looked for the new group; with
/// 2060 a planned move ran while the check required every probe to be served.
const REGRESSION_SEEDS: [u64; 6] = [26, 34, 53, 63, 1423, 2060];
/// Environment variable with the number of seeds to run instead, for a longer
/// manual search.
const SEEDS_VARIABLE: &str = "THREADLEDGE_SEEDS";
/// Environment variable with a single seed to run, to investigate a failure.
const SEED_VARIABLE: &str = "THREADLEDGE_SEED";
const FAULTS: usize = 14;
const RECOVERY_TIME: Duration = Duration::from_secs(20);
/// A key has no owner for at most this time during a planned move, which may
/// run at any time.
const MOVE_BOUND: Duration = Duration::from_millis(50);

struct Schedule {
    world: World,
    random: ChaCha8Rng,
    log: Vec<String>,
}

impl Schedule {
    fn new(seed: u64) -> Self {
        let world = World::new(Scenario {
            seed,
            routers: 7,
            services: vec![ServicePlan::new(SERVICE, 6)],
            probes_per_service: 16,
            drift_ppm: 20_000,
            ..Default::default()
        });
        Schedule {
            world,
            random: ChaCha8Rng::seed_from_u64(seed ^ 0x5eed),
            log: Vec::new(),
        }
    }

    fn random_router(&mut self) -> RouterIndex {
        RouterIndex(self.random.random_range(0..self.world.router_count()))
    }

    fn random_back_end(&mut self) -> BackEndIndex {
        BackEndIndex(self.random.random_range(0..self.world.back_end_count()))
    }

    fn two_zones(&mut self) -> (usize, usize) {
        let one = self.random.random_range(0..3);
        (one, (one + self.random.random_range(1..3)) % 3)
    }

    fn log_fault(&mut self, fault: &str) {
        let at = self.world.now().as_millis();
        self.log.push(format!("{at} ms: {fault}"));
    }

    fn inject_random_fault(&mut self) {
        match self.random.random_range(0..19) {
            0 => {
                let router = self.random_router();
                self.log_fault(&format!("kill {router:?}"));
                self.world.kill_router(router);
            }
            1 | 2 => {
                let router = self.random_router();
                self.log_fault(&format!("start {router:?}"));
                self.world.start_router(router);
            }
            3 => {
                let router = self.random_router();
                self.log_fault(&format!("pause {router:?}"));
                self.world.pause_router(router);
            }
            4 => {
                let router = self.random_router();
                self.log_fault(&format!("resume {router:?}"));
                self.world.resume_router(router);
            }
            5 => {
                let router = self.random_router();
                self.log_fault(&format!("isolate {router:?}"));
                self.world.isolate_router(router, true);
            }
            6 => {
                let router = self.random_router();
                self.log_fault(&format!("rejoin {router:?}"));
                self.world.isolate_router(router, false);
            }
            7 => {
                let back_end = self.random_back_end();
                self.log_fault(&format!("kill {back_end:?}"));
                self.world.kill_back_end(back_end);
            }
            8 | 9 => {
                let back_end = self.random_back_end();
                self.log_fault(&format!("start {back_end:?}"));
                self.world.start_back_end(back_end);
            }
            10 => {
                let back_end = self.random_back_end();
                self.log_fault(&format!("freeze {back_end:?}"));
                self.world.freeze_back_end(back_end);
            }
            11 => {
                let back_end = self.random_back_end();
                self.log_fault(&format!("unfreeze {back_end:?}"));
                self.world.unfreeze_back_end(back_end);
            }
            12 => {
                let back_end = self.random_back_end();
                self.log_fault(&format!("drain {back_end:?}"));
                self.world.drain_back_end(back_end);
            }
            13 => {
                let (one, other) = self.two_zones();
                let cut = self.random.random_bool(0.5);
                self.log_fault(&format!("zones {one} and {other} cut: {cut}"));
                self.world.cut_zones(one, other, cut);
            }
            14 => {
                let down = self.random.random_bool(0.5);
                self.log_fault(&format!("store down: {down}"));
                self.world.store().set_down(down);
            }
            15 => {
                let back_end = self.random_back_end();
                self.log_fault(&format!("isolate {back_end:?}"));
                self.world.isolate_back_end(back_end, true);
            }
            16 => {
                let back_end = self.random_back_end();
                self.log_fault(&format!("rejoin {back_end:?}"));
                self.world.isolate_back_end(back_end, false);
            }
            17 => {
                self.log_fault("an operator adds a back end");
                self.world.add_back_end_to_service(SERVICE);
            }
            _ => self.change_network(),
        }
    }

    fn change_network(&mut self) {
        let is_bad = self.random.random_bool(0.5);
        self.log_fault(&format!("network bad: {is_bad}"));
        let mut settings = NetworkSettings::default();
        if is_bad {
            settings.loss = 0.1;
            settings.duplication = 0.05;
            settings.jitter = Duration::from_millis(80);
        }
        self.world.network().set_settings(settings);
    }

    fn repair_all(&mut self) {
        self.log_fault("all faults repaired");
        self.world
            .network()
            .set_settings(NetworkSettings::default());
        self.world.store().set_down(false);
        for (one, other) in [(0, 1), (0, 2), (1, 2)] {
            self.world.cut_zones(one, other, false);
        }
        for number in 0..self.world.router_count() {
            let index = RouterIndex(number);
            self.world.isolate_router(index, false);
            self.world.resume_router(index);
            if self.world.router(index).is_none() {
                self.world.start_router(index);
            }
        }
        for number in 0..self.world.back_end_count() {
            let index = BackEndIndex(number);
            self.world.isolate_back_end(index, false);
            self.world.unfreeze_back_end(index);
            let process = self.world.back_end(index).process.as_ref();
            if process.is_none_or(|process| process.holder.is_draining()) {
                self.world.start_back_end(index);
            }
        }
    }
}

fn run(seed: u64) {
    let mut schedule = Schedule::new(seed);
    schedule.world.run_for(Duration::from_secs(4));
    for _ in 0..FAULTS {
        schedule.inject_random_fault();
        let pause = schedule.random.random_range(20..1_500);
        schedule.world.run_for(Duration::from_millis(pause));
    }
    schedule.repair_all();
    schedule.world.run_for(RECOVERY_TIME);
    let log = schedule.log.join("\n");
    let violations = schedule.world.invariants().violations();
    assert!(violations.is_empty(), "seed {seed}: {violations:#?}\n{log}");
    schedule.world.reset_metrics();
    schedule.world.run_for(Duration::from_secs(1));
    let (probes, _) = schedule.world.metrics().probes();
    assert!(probes > 0, "seed {seed}: nothing was probed");
    let outage = schedule
        .world
        .metrics()
        .longest_outage(schedule.world.now());
    assert!(
        outage <= MOVE_BOUND,
        "seed {seed}: not served after the repair for {outage:?}\n{log}"
    );
}

/// Returns the number in an environment variable, if it is set.
fn number_from(variable: &str) -> Option<u64> {
    std::env::var(variable).ok()?.parse().ok()
}

/// The seeds are divided over several tests that run in parallel.
fn run_part(part: u64) {
    if let Some(seed) = number_from(SEED_VARIABLE) {
        return run(seed);
    }
    let seeds = number_from(SEEDS_VARIABLE).unwrap_or(SEEDS);
    for seed in (0..seeds).filter(|seed| seed % 4 == part) {
        run(seed);
    }
}

#[test]
fn random_schedules_keep_the_invariants_first_part() {
    run_part(0);
}

#[test]
fn random_schedules_keep_the_invariants_second_part() {
    run_part(1);
}

#[test]
fn random_schedules_keep_the_invariants_third_part() {
    run_part(2);
}

#[test]
fn random_schedules_keep_the_invariants_fourth_part() {
    run_part(3);
}

#[test]
fn schedules_that_failed_once_keep_the_invariants() {
    for seed in REGRESSION_SEEDS {
        run(seed);
    }
}
