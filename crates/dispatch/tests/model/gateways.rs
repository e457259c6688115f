//! Policies for choosing a back end: the dispatcher's, and others to compare it
//! with.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use threadledge_dispatch::{
    Attempt, AttemptEnd, Dispatcher, Fault, RequestHead, RequestInfo, Settings, StartedExchange,
    Step,
};
use threadledge_suspects::{IdentityBuilder, RequestIdentity};
use threadledge_types::Timestamp;
use threadledge_types::deployment::{
    BackEnd, BackEndName, CallerLimits, Configuration, ConfigurationVersion, Destination, Route,
    Service, Topology,
};

use super::fleet::{Choice, End, Fleet, Gateways, Load};

/// One dispatcher per gateway, as in production.
pub struct Dispatchers {
    gateways: Vec<Dispatcher>,
    numbers: HashMap<BackEndName, usize>,
    begun: HashMap<u64, StartedExchange>,
    requests: HashMap<(usize, u64), u64>,
    sent: HashMap<u64, Attempt>,
}

impl Dispatchers {
    pub fn new(fleet: &Fleet, seed: u64) -> Self {
        let now = Timestamp::from_millis(500);
        let names: Vec<BackEndName> = (0..fleet.speeds.len())
            .map(|number| format!("b-{number:03}").into())
            .collect();
        let back_ends: Vec<BackEnd> = names
            .iter()
            .enumerate()
            .map(|(number, name)| back_end(name, number, fleet))
            .collect();
        let configuration = Arc::new(configuration(fleet));
        let gateway = |number: usize| {
            let settings = Settings {
                topology: Topology::new("zone".into(), None, BTreeMap::new()),
                retry_slack: 100,
                ..Settings::default()
            };
            let mut dispatcher = Dispatcher::new(settings, seed * 1_000 + number as u64);
            dispatcher.set_configuration(now, configuration.clone());
            dispatcher.set_back_ends(now, &back_ends);
            dispatcher
        };
        Dispatchers {
            gateways: (0..fleet.gateways).map(gateway).collect(),
            numbers: names.into_iter().zip(0..).collect(),
            begun: HashMap::new(),
            requests: HashMap::new(),
            sent: HashMap::new(),
        }
    }
}

fn back_end(name: &BackEndName, number: usize, fleet: &Fleet) -> BackEnd {
    BackEnd {
        name: name.clone(),
        service: "service".into(),
        address: SocketAddr::from(([10, 0, 0, 1], 1_000 + number as u16)),
        zone: "zone".into(),
        slots: fleet.slots as u32,
        draining: false,
        cold_for: Duration::ZERO,
        registration: number as u64,
    }
}

fn configuration(fleet: &Fleet) -> Configuration {
    let route = Route {
        name: "route".into(),
        host: "host.example".to_owned(),
        path_prefix: "/".to_owned(),
        repeatable: false,
        timeout: Duration::from_secs_f64(fleet.timeout_s),
        target_latency: Duration::from_secs_f64(fleet.target_s),
        priority: 1,
        max_attempts: 2,
        destinations: vec![Destination {
            service: "service".into(),
            weight: 1,
        }],
        public: false,
        allowed_regions: None,
    };
    let service = Service {
        health_path: "/health".to_owned(),
        max_connections: 500,
        keyed: false,
        cold_start: Duration::ZERO,
        cold_rate: None,
    };
    Configuration {
        version: ConfigurationVersion(1),
        routes: vec![Arc::new(route)],
        services: BTreeMap::from([("service".into(), service)]),
        limits: CallerLimits {
            max_header_bytes: 16_384,
            max_body_bytes: 1_000_000,
            header_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        },
        tenants: BTreeMap::new(),
    }
}

/// The identity of a request that differs from all others.
fn identity(request: u64) -> RequestIdentity {
    let target = format!("/x/{request}");
    let builder = IdentityBuilder::new("GET", "host.example", &target);
    builder.from_address([10, 0, 0, 9].into())
}

impl Gateways for Dispatchers {
    fn choose(&mut self, now: u64, request: u64, gateway: usize, _loads: &[Load]) -> Choice {
        let now = Timestamp::from_micros(now);
        let dispatcher = &mut self.gateways[gateway];
        if !self.begun.contains_key(&request) {
            let info = RequestInfo {
                head: RequestHead {
                    host: "host.example",
                    path: "/x",
                    api_key: None,
                },
                age: Duration::ZERO,
                time_left: Some(Duration::from_secs(60)),
                key: None,
                replayable: true,
                method: "GET",
                identity: identity(request),
            };
            let Ok(begun) = dispatcher.begin(now, &info) else {
                return Choice::Refuse;
            };
            self.requests.insert((gateway, begun.id.0), request);
            self.begun.insert(request, begun);
        }
        let id = self.begun[&request].id;
        match dispatcher.next(now, id) {
            Step::Send(attempt) => {
                assert!(dispatcher.may_send(now, id, attempt.id));
                let number = self.numbers[&attempt.back_end];
                self.sent.insert(request, attempt);
                Choice::Send(number)
            }
            Step::Wait(until) => Choice::Wait(until.as_micros()),
            Step::Finish(_) | Step::Ended => Choice::Refuse,
        }
    }

    fn ended(&mut self, now: u64, request: u64, gateway: usize, end: End) -> Vec<u64> {
        let now = Timestamp::from_micros(now);
        let end = match end {
            End::Answered => AttemptEnd::Answered {
                failed: false,
                load: None,
            },
            End::Reset => AttemptEnd::Failed(Fault::Broken),
            End::TimedOut => AttemptEnd::Failed(Fault::TimedOut),
        };
        let dispatcher = &mut self.gateways[gateway];
        let id = self.begun[&request].id;
        let attempt = self.sent.remove(&request).expect("it was sent");
        dispatcher.on_attempt_end(now, id, attempt.id, &end);
        dispatcher.abandon(now, id);
        let woken = dispatcher.take_woken();
        woken
            .iter()
            .filter_map(|id| self.requests.get(&(gateway, id.0)).copied())
            .collect()
    }
}

/// Chooses a random back end.
pub struct Random(ChaCha8Rng);

impl Random {
    pub fn new(seed: u64) -> Self {
        Random(ChaCha8Rng::seed_from_u64(seed))
    }
}

impl Gateways for Random {
    fn choose(&mut self, _now: u64, _request: u64, _gateway: usize, loads: &[Load]) -> Choice {
        Choice::Send(self.0.random_range(0..loads.len()))
    }

    fn ended(&mut self, _now: u64, _request: u64, _gateway: usize, _end: End) -> Vec<u64> {
        Vec::new()
    }
}

/// The number of requests that each gateway has in flight at each back end.
struct OwnCounts {
    counts: Vec<Vec<usize>>,
    sent: HashMap<u64, usize>,
    random: ChaCha8Rng,
}

impl OwnCounts {
    fn new(fleet: &Fleet, seed: u64) -> Self {
        OwnCounts {
            counts: vec![vec![0; fleet.speeds.len()]; fleet.gateways],
            sent: HashMap::new(),
            random: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    fn send(&mut self, request: u64, gateway: usize, back_end: usize) -> Choice {
        self.counts[gateway][back_end] += 1;
        self.sent.insert(request, back_end);
        Choice::Send(back_end)
    }

    fn ended(&mut self, request: u64, gateway: usize) -> Vec<u64> {
        if let Some(back_end) = self.sent.remove(&request) {
            self.counts[gateway][back_end] -= 1;
        }
        Vec::new()
    }
}

/// Draws two back ends at random and chooses the one at which the gateway has
/// fewer requests in flight.
pub struct TwoChoices(OwnCounts);

impl TwoChoices {
    pub fn new(fleet: &Fleet, seed: u64) -> Self {
        TwoChoices(OwnCounts::new(fleet, seed))
    }
}

impl Gateways for TwoChoices {
    fn choose(&mut self, _now: u64, request: u64, gateway: usize, loads: &[Load]) -> Choice {
        let first = self.0.random.random_range(0..loads.len());
        let second = self.0.random.random_range(0..loads.len());
        let counts = &self.0.counts[gateway];
        let chosen = if counts[second] < counts[first] {
            second
        } else {
            first
        };
        self.0.send(request, gateway, chosen)
    }

    fn ended(&mut self, _now: u64, request: u64, gateway: usize, _end: End) -> Vec<u64> {
        self.0.ended(request, gateway)
    }
}

/// Chooses at random among the back ends at which the gateway has the fewest
/// requests in flight.
pub struct LeastOwn(OwnCounts);

impl LeastOwn {
    pub fn new(fleet: &Fleet, seed: u64) -> Self {
        LeastOwn(OwnCounts::new(fleet, seed))
    }
}

impl Gateways for LeastOwn {
    fn choose(&mut self, _now: u64, request: u64, gateway: usize, loads: &[Load]) -> Choice {
        let counts = &self.0.counts[gateway];
        let least = counts.iter().min().copied().unwrap_or(0);
        let equal: Vec<usize> = (0..loads.len())
            .filter(|number| counts[*number] == least)
            .collect();
        let chosen = equal[self.0.random.random_range(0..equal.len())];
        self.0.send(request, gateway, chosen)
    }

    fn ended(&mut self, _now: u64, request: u64, gateway: usize, _end: End) -> Vec<u64> {
        self.0.ended(request, gateway)
    }
}

/// Chooses with knowledge of every queue and every speed.
pub struct Oracle;

impl Gateways for Oracle {
    fn choose(&mut self, _now: u64, _request: u64, _gateway: usize, loads: &[Load]) -> Choice {
        let expected = |load: &Load| {
            let rounds = (load.in_flight + 1) as f64 / load.slots as f64;
            rounds.max(1.0) / load.speed
        };
        let free = |load: &Load| load.in_flight < load.slots + load.queue;
        let best = (0..loads.len())
            .filter(|number| free(&loads[*number]))
            .min_by(|left, right| expected(&loads[*left]).total_cmp(&expected(&loads[*right])));
        best.map_or(Choice::Refuse, Choice::Send)
    }

    fn ended(&mut self, _now: u64, _request: u64, _gateway: usize, _end: End) -> Vec<u64> {
        Vec::new()
    }
}
