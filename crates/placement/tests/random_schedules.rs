//! Random changes with fixed seeds. The model asserts that each action matches
//! the records, goes to an open session that is not draining, and stays within
//! its namespace.

mod common;

use common::{Model, Traffic, owner_of};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use threadledge_placement::{Action, Planner};
use threadledge_types::objects::PlacementPolicy;
use threadledge_types::records::RecordChange;
use threadledge_types::{BackEndId, Point, ServiceId};

const SEEDS: u64 = 30;
const CHANGES: usize = 60;
const NAMESPACES: [&str; 2] = ["hearts", "kauri"];
const APPS: [&str; 2] = ["one", "two"];

struct Schedule {
    model: Model,
    random: ChaCha8Rng,
    incarnation: u64,
    /// Label of each back end, to configure another planner.
    app_of: std::collections::BTreeMap<BackEndId, &'static str>,
}

impl Schedule {
    fn new(seed: u64) -> Self {
        let mut model = Model::new();
        for namespace in NAMESPACES {
            for app in APPS {
                let service = ServiceId::new(namespace, app);
                model.service(&service, 24, PlacementPolicy::default());
                let traffic = Traffic {
                    spread: 100.0,
                    ..Traffic::default()
                };
                model.traffic.insert(service, traffic);
            }
        }
        Schedule {
            model,
            random: ChaCha8Rng::seed_from_u64(seed),
            incarnation: 0,
            app_of: std::collections::BTreeMap::new(),
        }
    }

    fn any_back_end(&mut self) -> BackEndId {
        let namespace = NAMESPACES[self.random.random_range(0..NAMESPACES.len())];
        let number = self.random.random_range(0..6);
        BackEndId::new(namespace, format!("server-{number}"))
    }

    fn change(&mut self) {
        let id = self.any_back_end();
        let open = self.model.sessions.contains_key(&id);
        match self.random.random_range(0..6) {
            0 | 1 => {
                let app = APPS[self.random.random_range(0..APPS.len())];
                self.app_of.insert(id.clone(), app);
                self.model.back_end(&id, app, 2);
            }
            2 if open => self.model.drain(&id),
            3 if open => self.model.end_session(&id),
            4 => self.heat_random_key(),
            _ if !open => {
                self.incarnation += 1;
                self.model.open(&id, self.incarnation);
            }
            _ => {}
        }
    }

    fn heat_random_key(&mut self) {
        let point = Point(self.random.random());
        for traffic in self.model.traffic.values_mut() {
            traffic.hot.clear();
            traffic.hot.insert(point, 80.0);
        }
    }

    fn run(&mut self) {
        for _ in 0..CHANGES {
            self.change();
            let max_actions = self.random.random_range(0..20);
            self.model.now = self.model.now + common::STEP;
            if self.random.random_bool(0.8) {
                self.model.complete_moves();
            }
            self.model.report(&mut |_, rate| rate);
            self.model.plan(max_actions);
        }
    }

    /// Creates a planner that sees only the current records.
    fn fresh_planner(&self) -> Planner {
        let mut model = Model::new();
        for (id, app) in &self.app_of {
            model.back_end(id, app, 2);
        }
        for namespace in NAMESPACES {
            for app in APPS {
                let id = ServiceId::new(namespace, app);
                model.change_service(&id, app, PlacementPolicy::default());
            }
        }
        let mut planner = model.planner;
        for session in self.model.sessions.values() {
            planner.observe(&RecordChange::Session(session.clone()));
        }
        for record in self.model.records() {
            planner.observe(&RecordChange::Slice(record.clone()));
        }
        planner
    }
}

#[test]
fn every_slice_finds_an_owner_that_may_serve_it() {
    for seed in 0..SEEDS {
        let mut schedule = Schedule::new(seed);
        schedule.run();
        schedule.model.run(40);
        let model = &schedule.model;
        for record in model.records() {
            let receivers = model.planner.receivers(&record.service);
            let settled = match owner_of(record) {
                Some(owner) => receivers.is_empty() || receivers.contains(owner),
                None => receivers.is_empty(),
            };
            assert!(settled, "seed {seed}: {record:?} with {receivers:?}");
        }
    }
}

#[test]
fn indices_equal_those_of_a_planner_that_starts_from_the_records() {
    for seed in 0..SEEDS {
        let mut schedule = Schedule::new(seed);
        schedule.model.traffic.clear();
        for _ in 0..CHANGES {
            schedule.change();
            schedule.model.now = schedule.model.now + common::STEP;
            schedule.model.complete_moves();
            schedule.model.plan(10);
            let fresh = schedule.fresh_planner();
            for service in schedule.model.slices.keys() {
                let kept = &schedule.model.planner;
                assert_eq!(kept.receivers(service), fresh.receivers(service));
                assert_eq!(kept.unowned_slices(service), fresh.unowned_slices(service));
                let (kept, fresh) = (kept.imbalance(service), fresh.imbalance(service));
                assert_eq!(kept, fresh, "seed {seed}, {service}");
            }
        }
    }
}

#[test]
fn same_inputs_give_the_same_actions() {
    let actions_of = |seed| -> Vec<Action> {
        let mut schedule = Schedule::new(seed);
        schedule.run();
        schedule.model.actions
    };
    for seed in 0..5 {
        assert_eq!(actions_of(seed), actions_of(seed));
    }
}
