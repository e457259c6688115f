//! A world of routers, back ends, store and network, run in virtual time.

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

use crate::back_end::{BackEndModel, Traffic};
use crate::clock::ModelClock;
use crate::costs::{RouterCost, json_bytes};
use crate::event::{Event, EventQueue};
use crate::invariants::Invariants;
use crate::measures::Measures;
use crate::network::{Network, Place};
use crate::router::{RouterModel, RouterProcess};
use crate::scenario::{self, NAMESPACE, Scenario};
use crate::store::StoreModel;

/// Largest clock offset at the start of a process, in microseconds.
const MAX_CLOCK_OFFSET: u64 = 10_000_000_000;
/// Time between two rounds of probes.
const PROBE_INTERVAL: Duration = Duration::from_millis(10);

/// Number of a routing machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RouterIndex(pub usize);

/// Number of a back end.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct BackEndIndex(pub usize);

/// A key that is looked at regularly, by the table of one router.
struct Probe {
    region: usize,
    service: ServiceId,
    point: threadledge_types::Point,
}

/// A simulated world of one region or several.
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
    configuration: configuration::ConfigurationWatch,
    /// Back ends that were ever granted a slice of a service.
    grantees: BTreeMap<ServiceId, BTreeSet<BackEndIndex>>,
    traffic: Traffic,
    exchanges: BTreeMap<u64, threadledge_types::session::LeaseSequence>,
    lease_back_end: BTreeMap<u64, BackEndId>,
    next_exchange: u64,
    tables: BTreeMap<RouterIndex, RoutingTable>,
    probes: Vec<Probe>,
    probe_round: usize,
    invariants: Invariants,
    measures: Measures,
    costs: Vec<RouterCost>,
    /// Receivers that messages of the current step already go to.
    batched: Vec<Option<RouterIndex>>,
    stopwatch: Option<fn() -> u64>,
}

impl World {
    /// Lays out and starts everything a scenario names.
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
            configuration: configuration::ConfigurationWatch::default(),
            grantees: BTreeMap::new(),
            traffic: Traffic::default(),
            exchanges: BTreeMap::new(),
            lease_back_end: BTreeMap::new(),
            next_exchange: 0,
            tables: BTreeMap::new(),
            probes: Vec::new(),
            probe_round: 0,
            invariants: Invariants::default(),
            measures: Measures::default(),
            costs: Vec::new(),
            batched: Vec::new(),
            stopwatch: None,
            scenario,
        };
        world.lay_out_services();
        world.lay_out_routers();
        world.queue.schedule(Timestamp::ZERO, Event::Probe);
        world
    }

    /// Measures the time that cores take with `stopwatch`, which returns
    /// nanoseconds since any origin.
    pub fn set_stopwatch(&mut self, stopwatch: fn() -> u64) {
        self.stopwatch = Some(stopwatch);
    }

    /// Virtual time.
    pub fn now(&self) -> Timestamp {
        self.now
    }

    /// Runs for a stretch of virtual time.
    pub fn run_for(&mut self, duration: Duration) {
        let until = self.now + duration;
        while let Some((at, event)) = self.queue.pop_until(until) {
            self.now = at;
            self.deliver(event);
        }
        self.now = until;
    }

    /// Verdicts so far.
    pub fn invariants(&self) -> &Invariants {
        &self.invariants
    }

    /// Figures so far.
    pub fn measures(&self) -> &Measures {
        &self.measures
    }

    /// Starts the figures anew.
    pub fn reset_measures(&mut self) {
        self.measures.reset();
        self.costs.fill(RouterCost::default());
    }

    /// What control cost a router since the figures were started anew.
    pub fn cost(&self, index: RouterIndex) -> &RouterCost {
        &self.costs[index.0]
    }

    /// How the world was laid out.
    pub fn scenario(&self) -> &Scenario {
        &self.scenario
    }

    /// The platform.
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

    /// Rates of requests that servers report.
    pub fn traffic(&mut self) -> &mut Traffic {
        &mut self.traffic
    }

    /// Routers of the world.
    pub fn router_count(&self) -> usize {
        self.routers.len()
    }

    /// The control core of a running router.
    pub fn router(&self, index: RouterIndex) -> Option<&ControlNode> {
        let process = self.routers[index.0].process.as_ref()?;
        Some(&process.node)
    }

    /// A server.
    pub fn back_end(&self, index: BackEndIndex) -> &BackEndModel {
        &self.back_ends[index.0]
    }

    /// Servers of the world.
    pub fn back_end_count(&self) -> usize {
        self.back_ends.len()
    }

    /// Where a router stands.
    pub fn router_place(&self, index: RouterIndex) -> &Place {
        &self.routers[index.0].place
    }

    /// The router that leads with a valid leader lease, if any; of several
    /// regions' leaders the first.
    pub fn leader(&self) -> Option<RouterIndex> {
        (0..self.scenario.regions).find_map(|region| self.region_leader(region))
    }

    /// The router that leads a region with a valid leader lease, if any.
    pub fn region_leader(&self, region: usize) -> Option<RouterIndex> {
        self.routers_of(region).find(|index| {
            let process = self.routers[index.0].process.as_ref();
            process.is_some_and(|process| {
                !process.paused && process.node.is_leader(process.clock.read(self.now))
            })
        })
    }

    /// Routers of a region.
    pub fn routers_of(&self, region: usize) -> impl Iterator<Item = RouterIndex> + use<> {
        let each = self.scenario.routers;
        (region * each..(region + 1) * each).map(RouterIndex)
    }

    /// Whether every probed key can be served.
    pub fn all_served(&self) -> bool {
        let (probes, _) = self.measures.probes();
        probes > 0 && self.measures.failing() == 0
    }

    /// Whether every router runs and takes requests.
    pub fn all_ready(&self) -> bool {
        self.ready_routers().len() == self.routers.len()
    }

    /// Whether keys are served, routers ready and edits in force everywhere.
    pub fn is_settled(&self) -> bool {
        self.all_served() && self.all_ready() && self.open_edits() == 0
    }

    /// Service identifier of a planned service.
    pub fn service_id(&self, name: &str) -> ServiceId {
        ServiceId::new(NAMESPACE, name)
    }

    fn lay_out_services(&mut self) {
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
            self.traffic.base.push((service.clone(), plan.rate));
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

    fn lay_out_routers(&mut self) {
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
                lives: 0,
            });
        }
        self.publish_machines();
        for number in 0..routers {
            self.start_router(RouterIndex(number));
        }
    }

    /// Brings the platform's machine list up to date with the machines.
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
        router.lives += 1;
        let identity = RouterIdentity {
            id: RouterId(id),
            machine: router.machine.clone(),
            incarnation: Incarnation(router.lives),
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
            envelope_bytes: json_bytes(&envelope),
            node: ControlNode::new(settings, identity, clock.read(self.now)),
            clock,
            paused: false,
            held_back: Vec::new(),
            watching: false,
            revision: Revision::NONE,
            machines_version: None,
        }
    }
}
