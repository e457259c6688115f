//! Observations of the leader about slices and services.

mod support;

use std::collections::BTreeMap;
use std::time::Duration;

use support::{
    SingleRouter, back_end, object_version, observed_back_end, observed_service, service,
};
use threadledge_control::{ConfigurationEvent, Input, Observation, Output, SliceChange};
use threadledge_ownership::holder::Holder;
use threadledge_types::session::LeaseRequest;
use threadledge_types::{BackEndId, Incarnation};

const TICK: Duration = Duration::from_millis(20);

/// A leader with back ends that answer immediately.
struct Group {
    router: SingleRouter,
    holders: BTreeMap<BackEndId, Holder>,
    observations: Vec<Observation>,
}

impl Group {
    /// Creates a leader that has accepted `names` as back ends of one service.
    fn new(names: &[&str]) -> Self {
        let mut router = SingleRouter::bootstrap();
        for (port, name) in (4_000..).zip(names) {
            let object = back_end("one", name, port, object_version(10, 1));
            router.configure(ConfigurationEvent::BackEndChanged(observed_back_end(
                object,
            )));
        }
        let object = service("one", "gallery", "gallery.example", object_version(10, 1));
        router.configure(ConfigurationEvent::ServiceChanged(observed_service(object)));
        Group {
            router,
            holders: BTreeMap::new(),
            observations: Vec::new(),
        }
    }

    fn start(&mut self, name: &str) {
        let id = BackEndId::new("one", name);
        let holder = Holder::new(id.clone(), Incarnation(1));
        self.holders.insert(id, holder);
    }

    /// Runs for `time` and collects the observations made.
    fn run(&mut self, time: Duration) {
        let end = self.router.now + time;
        while self.router.now < end {
            self.router.now = self.router.now + TICK;
            let outputs = self.router.step(Input::Tick);
            self.handle_outputs(outputs);
        }
    }

    fn handle_outputs(&mut self, outputs: Vec<Output>) {
        for output in outputs {
            match output {
                Output::SendLease { request, .. } => {
                    let answer = self.answer(*request);
                    let following = self.router.step(answer);
                    self.handle_outputs(following);
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
                let response = Box::new(holder.handle(self.router.now, request));
                let prepared: Vec<_> = holder.slices_to_prepare().cloned().collect();
                for grant in prepared {
                    holder.mark_ready(&grant);
                }
                Input::LeaseAnswered { back_end, response }
            }
            None => Input::LeaseFailed { back_end, order },
        }
    }

    /// Removes and returns the number of slices observed for each kind of
    /// change.
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
    let slices = group.router.node.replica().slices().count() as u64;
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
fn service_without_a_back_end_raises_one_alert_until_it_has_one() {
    let mut group = Group::new(&["a"]);
    group.run(Duration::from_secs(30));
    let alert_count = |group: &Group| {
        let mut alert_count = group.observations.iter();
        let none = |observation: &&Observation| {
            matches!(observation, Observation::NoEligibleBackEnd { .. })
        };
        alert_count.by_ref().filter(none).count()
    };
    assert_eq!(alert_count(&group), 1);
    group.start("a");
    group.run(Duration::from_secs(10));
    assert_eq!(alert_count(&group), 1);
    // The process is gone, and once its lease expires its slices have no owner.
    group.holders.clear();
    group.run(Duration::from_secs(30));
    assert_eq!(alert_count(&group), 2);
}
