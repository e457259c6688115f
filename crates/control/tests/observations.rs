//! What the leader tells of slices and services, for the log.

mod support;

use std::collections::BTreeMap;
use std::time::Duration;

use support::{Alone, back_end, observed_back_end, observed_service, service, stamp};
use threadledge_control::{ConfigurationEvent, Input, Observation, Output, SliceChange};
use threadledge_ownership::holder::Holder;
use threadledge_types::session::LeaseRequest;
use threadledge_types::{BackEndId, Incarnation};

const TICK: Duration = Duration::from_millis(20);

/// A leader with back ends that answer at once.
struct Group {
    alone: Alone,
    holders: BTreeMap<BackEndId, Holder>,
    observations: Vec<Observation>,
}

impl Group {
    /// Accepts `names` as back ends of one service.
    fn new(names: &[&str]) -> Self {
        let mut alone = Alone::found();
        for (port, name) in (4_000..).zip(names) {
            let object = back_end("one", name, port, stamp(10, 1));
            alone.configure(ConfigurationEvent::BackEndChanged(observed_back_end(
                object,
            )));
        }
        let object = service("one", "gallery", "gallery.example", stamp(10, 1));
        alone.configure(ConfigurationEvent::ServiceChanged(observed_service(object)));
        Group {
            alone,
            holders: BTreeMap::new(),
            observations: Vec::new(),
        }
    }

    fn start(&mut self, name: &str) {
        let id = BackEndId::new("one", name);
        let holder = Holder::new(id.clone(), Incarnation(1));
        self.holders.insert(id, holder);
    }

    /// Lets time pass and collects what is observed meanwhile.
    fn run(&mut self, time: Duration) {
        let end = self.alone.now + time;
        while self.alone.now < end {
            self.alone.now = self.alone.now + TICK;
            let outputs = self.alone.step(Input::Tick);
            self.carry_out(outputs);
        }
    }

    fn carry_out(&mut self, outputs: Vec<Output>) {
        for output in outputs {
            match output {
                Output::SendLease { request, .. } => {
                    let answer = self.answer(*request);
                    let following = self.alone.step(answer);
                    self.carry_out(following);
                }
                Output::Observe(observation) => self.observations.push(observation),
                _ => {}
            }
        }
    }

    fn answer(&mut self, request: LeaseRequest) -> Input {
        let back_end = request.back_end.clone();
        let order = request.order;
        match self.holders.get_mut(&back_end) {
            Some(holder) => {
                let response = Box::new(holder.handle(self.alone.now, request));
                let prepared: Vec<_> = holder.slices_to_prepare().cloned().collect();
                for grant in prepared {
                    holder.mark_ready(&grant);
                }
                Input::LeaseAnswered { back_end, response }
            }
            None => Input::LeaseFailed { back_end, order },
        }
    }

    /// Takes the number of slices observed to have changed so.
    fn take_changes(&mut self) -> BTreeMap<SliceChange, u64> {
        let mut counts = BTreeMap::new();
        for observation in self.observations.drain(..) {
            if let Observation::Slices { change, slices, .. } = observation {
                *counts.entry(change).or_default() += slices;
            }
        }
        counts
    }
}

#[test]
fn assignments_and_handovers_are_counted() {
    let mut group = Group::new(&["a", "b"]);
    group.start("a");
    group.start("b");
    group.run(Duration::from_secs(5));
    let slices = group.alone.node.replica().slices().count() as u64;
    let changes = group.take_changes();
    assert_eq!(changes, [(SliceChange::Assigned, slices)].into());

    let leaving = BackEndId::new("one", "b");
    let held = group.holders[&leaving].held_grants().len() as u64;
    let holder = group.holders.get_mut(&leaving).expect("started");
    holder.begin_drain();
    group.run(Duration::from_secs(10));
    let wanted = [
        (SliceChange::MoveStarted, held),
        (SliceChange::MoveCompleted, held),
    ];
    assert!(held > 0);
    assert_eq!(group.take_changes(), wanted.into());
}

#[test]
fn service_without_a_back_end_is_told_once_until_it_has_one() {
    let mut group = Group::new(&["a"]);
    group.run(Duration::from_secs(30));
    let told = |group: &Group| {
        let mut told = group.observations.iter();
        let none = |observation: &&Observation| {
            matches!(observation, Observation::NoEligibleBackEnd { .. })
        };
        told.by_ref().filter(none).count()
    };
    assert_eq!(told(&group), 1);
    group.start("a");
    group.run(Duration::from_secs(10));
    assert_eq!(told(&group), 1);
    // Its process is gone, and with its lease its slices have no owner.
    group.holders.clear();
    group.run(Duration::from_secs(30));
    assert_eq!(told(&group), 2);
}
