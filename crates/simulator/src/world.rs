//! A world of routers, back ends, a store and a network, run in virtual time.

mod configuration;
mod deliver;
mod faults;
mod outputs;
mod probes;

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use threadledge_control::{ControlNode, ControlSettings, PeerBatch};
use threadledge_membership::{Machine, MachineState};
use threadledge_routing::RoutingTable;
use threadledge_types::{
    BackEndId, GroupId, Incarnation, Revision, RouterId, RouterIdentity, ServiceId, Timestamp,
};

use crate::back_end::{BackEndModel, RequestRates};
use crate::clock::ModelClock;
use crate::costs::{RouterCost, json_length};
use crate::event::{Event, EventQueue};
use crate::invariants::Invariants;
use crate::metrics::Metrics;
use crate::network::{Network, Place};
use crate::router::{RouterModel, RouterProcess};
use crate::scenario::{self, NAMESPACE, Scenario};
use crate::store::StoreModel;

/// Largest clock offset at the start of a process, in microseconds.
const MAX_CLOCK_OFFSET: u64 = 10_000_000_000;
/// Time between two rounds of probes.
const PROBE_INTERVAL: Duration = Duration::from_millis(10);

/// Index of a router.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RouterIndex(pub usize);

/// Index of a back end.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct BackEndIndex(pub usize);

/// A key that is probed regularly through the routing table of a router.
struct Probe {
    region: usize,
    service: ServiceId,
    point: threadledge_types::Point,
}

/// A simulated world of one or more regions.
pub struct World {
    scenario: Scenario,
    now: Timestamp,
    random: ChaCha8Rng,
    queue: EventQueue,
    network: Network,
    routers: Vec<RouterModel>,
    router_addresses: BTreeMap<SocketAddr, RouterIndex>,
    back_ends: Vec<BackEndModel>,
    back_end_addresses: BTreeMap<SocketAddr, BackEndIndex>,
    back_end_ids: BTreeMap<BackEndId, BackEndIndex>,
    store: StoreModel,
    configuration: configuration::ConfigurationTracker,
    /// Back ends that were ever granted a slice of a service.
    grantees: BTreeMap<ServiceId, BTreeSet<BackEndIndex>>,
    request_rates: RequestRates,
    /// Sequence numbers of the open lease exchanges, by number of the exchange.
    lease_sequences: BTreeMap<u64, threadledge_types::session::LeaseSequence>,
    /// Back ends of the open lease exchanges, by number of the exchange.
    lease_back_ends: BTreeMap<u64, BackEndId>,
    next_exchange: u64,
    routing_tables: BTreeMap<RouterIndex, RoutingTable>,
    probes: Vec<Probe>,
    /// Number of probe rounds so far.
    probe_round: usize,
    invariants: Invariants,
    metrics: Metrics,
    /// Cost of each router, by index.
    costs: Vec<RouterCost>,
    /// Receivers to which the current step has already sent messages.
    batched_receivers: Vec<Option<RouterIndex>>,
    /// Returns nanoseconds since any origin.
    stopwatch: Option<fn() -> u64>,
}

impl World {
    /// Creates and starts everything in a scenario.
    pub fn new(scenario: Scenario) -> Self {
        let mut world = World {
            now: Timestamp::ZERO,
            random: ChaCha8Rng::seed_from_u64(scenario.seed),
            queue: EventQueue::default(),
            network: Network::new(scenario.network.clone()),
            routers: Vec::new(),
            router_addresses: BTreeMap::new(),
            back_ends: Vec::new(),
            back_end_addresses: BTreeMap::new(),
            back_end_ids: BTreeMap::new(),
            store: StoreModel::default(),
            configuration: configuration::ConfigurationTracker::default(),
            grantees: BTreeMap::new(),
            request_rates: RequestRates::default(),
            lease_sequences: BTreeMap::new(),
            lease_back_ends: BTreeMap::new(),
            next_exchange: 0,
            routing_tables: BTreeMap::new(),
            probes: Vec::new(),
            probe_round: 0,
            invariants: Invariants::default(),
            metrics: Metrics::default(),
            costs: Vec::new(),
            batched_receivers: Vec::new(),
            stopwatch: None,
            scenario,
        };
        world.create_services();
        world.create_routers();
        world.queue.schedule(Timestamp::ZERO, Event::Probe);
        world
    }

    /// Measures the processor time of the cores with `stopwatch`, which returns
    /// nanoseconds since any origin.
    pub fn set_stopwatch(&mut self, stopwatch: fn() -> u64) {
        self.stopwatch = Some(stopwatch);
    }

    /// Current virtual time.
    pub fn now(&self) -> Timestamp {
        self.now
    }

    /// Runs for a period of virtual time.
    pub fn run_for(&mut self, duration: Duration) {
        let until = self.now + duration;
        while let Some((at, event)) = self.queue.pop_until(until) {
            self.now = at;
            self.deliver(event);
        }
        self.now = until;
    }

    /// Invariant checks and the violations found so far.
    pub fn invariants(&self) -> &Invariants {
        &self.invariants
    }

    /// Metrics collected so far.
    pub fn metrics(&self) -> &Metrics {
        &self.metrics
    }

    /// Resets the metrics and the costs of the routers.
    pub fn reset_metrics(&mut self) {
        self.metrics.reset();
        self.costs.fill(RouterCost::default());
    }

    /// Cost of the control plane for a router since the last reset.
    pub fn cost(&self, index: RouterIndex) -> &RouterCost {
        &self.costs[index.0]
    }

    /// The scenario from which the world was created.
    pub fn scenario(&self) -> &Scenario {
        &self.scenario
    }

    /// The platform's store.
    pub fn store(&mut self) -> &mut StoreModel {
        &mut self.store
    }

    /// The network.
    pub fn network(&mut self) -> &mut Network {
        &mut self.network
    }

    /// Length of the machine list as JSON.
    pub fn machine_list_bytes(&self) -> u64 {
        self.store.machines_bytes()
    }

    /// Request rates that back ends report.
    pub fn request_rates(&mut self) -> &mut RequestRates {
        &mut self.request_rates
    }

    /// Number of routers.
    pub fn router_count(&self) -> usize {
        self.routers.len()
    }

    /// The control core of a router, if its process runs.
    pub fn router(&self, index: RouterIndex) -> Option<&ControlNode> {
        let process = self.routers[index.0].process.as_ref()?;
        Some(&process.node)
    }

    /// A back end.
    pub fn back_end(&self, index: BackEndIndex) -> &BackEndModel {
        &self.back_ends[index.0]
    }

    /// Number of back ends.
    pub fn back_end_count(&self) -> usize {
        self.back_ends.len()
    }

    /// Region and zone of a router.
    pub fn router_place(&self, index: RouterIndex) -> &Place {
        &self.routers[index.0].place
    }

    /// Returns the leader with a valid leader lease, if any; with several
    /// regions, that of the first region that has one.
    pub fn leader(&self) -> Option<RouterIndex> {
        (0..self.scenario.regions).find_map(|region| self.region_leader(region))
    }

    /// Returns the leader of a region with a valid leader lease, if any.
    pub fn region_leader(&self, region: usize) -> Option<RouterIndex> {
        self.region_routers(region).find(|index| {
            let process = self.routers[index.0].process.as_ref();
            process.is_some_and(|process| {
                !process.paused && process.node.is_leader(process.clock.read(self.now))
            })
        })
    }

    /// Routers of a region.
    pub fn region_routers(&self, region: usize) -> impl Iterator<Item = RouterIndex> + use<> {
        let each = self.scenario.routers;
        (region * each..(region + 1) * each).map(RouterIndex)
    }

    /// Returns whether every probed key can be served.
    pub fn all_served(&self) -> bool {
        let (probes, _) = self.metrics.probes();
        probes > 0 && self.metrics.failing_probes() == 0
    }

    /// Returns whether every router runs and accepts requests.
    pub fn all_ready(&self) -> bool {
        self.ready_routers().len() == self.routers.len()
    }

    /// Returns whether all keys are served, all routers are ready and all edits
    /// are in force.
    pub fn is_settled(&self) -> bool {
        self.all_served() && self.all_ready() && self.pending_edits() == 0
    }

    /// Id of a simulated service.
    pub fn service_id(&self, name: &str) -> ServiceId {
        ServiceId::new(NAMESPACE, name)
    }

    fn create_services(&mut self) {
        for plan in self.scenario.services.clone() {
            for number in 0..plan.back_ends {
                let machine = self.back_ends.len();
                let place = Place {
                    region: plan.region,
                    zone: machine % self.scenario.zones,
                };
                let object = scenario::back_end_object(&plan.name, number, machine, &place);
                self.store.put_back_end(object);
                self.add_back_end(&scenario::back_end_name(&plan.name, number), place);
            }
            self.store.put_service(scenario::service_object(&plan));
            let service = self.service_id(&plan.name);
            self.request_rates.base.push((service.clone(), plan.rate));
            for _ in 0..self.scenario.probes_per_service {
                let point = threadledge_types::Point(self.random.random());
                let service = service.clone();
                let region = plan.region;
                self.probes.push(Probe {
                    region,
                    service,
                    point,
                });
            }
        }
    }

    fn add_back_end(&mut self, name: &str, place: Place) {
        let index = BackEndIndex(self.back_ends.len());
        let control = scenario::control_address(index.0);
        let id = BackEndId::new(NAMESPACE, name);
        self.back_end_addresses.insert(control, index);
        self.back_end_ids.insert(id.clone(), index);
        self.back_ends.push(BackEndModel::new(id, place, control));
        self.start_back_end(index);
    }

    fn create_routers(&mut self) {
        let routers = self.scenario.regions * self.scenario.routers;
        self.costs = vec![RouterCost::default(); routers];
        for number in 0..routers {
            let address = scenario::router_address(number);
            self.router_addresses.insert(address, RouterIndex(number));
            self.routers.push(RouterModel {
                machine: scenario::machine_name(number),
                place: self.scenario.router_place(number),
                address,
                process: None,
                incarnations: 0,
            });
        }
        self.publish_machines();
        for number in 0..routers {
            self.start_router(RouterIndex(number));
        }
    }

    /// Updates the platform's machine list from the scenario's machines.
    pub fn publish_machines(&mut self) {
        let regions = self.scenario.regions + self.scenario.listed_regions;
        let numbers = 0..regions * self.scenario.routers;
        let machines = numbers.map(|number| {
            let place = self.scenario.router_place(number);
            Machine {
                name: scenario::machine_name(number),
                region: scenario::region_name(place.region),
                zone: scenario::zone_name(&place),
                peer_address: scenario::router_address(number),
                state: MachineState::Live,
            }
        });
        let machines = machines.collect();
        self.store.set_machines(machines);
    }

    fn new_clock(&mut self) -> ModelClock {
        let drift = self.scenario.drift_ppm;
        let offset = self.random.random_range(0..MAX_CLOCK_OFFSET);
        let drift = self.random.random_range(-drift..=drift);
        ModelClock::new(offset, drift)
    }

    fn new_process(&mut self, index: RouterIndex) -> RouterProcess {
        let clock = self.new_clock();
        let id: u64 = self.random.random();
        let router = &mut self.routers[index.0];
        router.incarnations += 1;
        let identity = RouterIdentity {
            id: RouterId(id),
            machine: router.machine.clone(),
            incarnation: Incarnation(router.incarnations),
            region: scenario::region_name(router.place.region),
            zone: scenario::zone_name(&router.place),
            peer_address: router.address,
            caller_address: router.address,
        };
        let settings = ControlSettings {
            group: GroupId(router.place.region as u32),
            group_size: self.scenario.group_size,
            timing: self.scenario.timing.clone(),
            seed: id,
            ..Default::default()
        };
        let envelope = PeerBatch {
            from: identity.clone(),
            to: Some(identity.id),
            messages: Vec::new(),
        };
        RouterProcess {
            envelope_bytes: json_length(&envelope),
            node: ControlNode::new(settings, identity, clock.read(self.now)),
            clock,
            paused: false,
            deferred_events: Vec::new(),
            watching: false,
            revision: Revision::NONE,
            machines_version: None,
        }
    }
}
