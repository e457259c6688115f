//! A dispatcher with back ends, driven step by step.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use threadledge_coordination::Term;
use threadledge_coordination::{Fence, Owner, OwnershipRecord, OwnershipView, Slice, SliceState};
use threadledge_dispatch::dispatcher::NextAction;
use threadledge_dispatch::outcome::Rejection;
use threadledge_dispatch::{
    Attempt, AttemptEnd, Dispatcher, Fault, Outcome, Refusal, ReportedLoad, RequestHead,
    RequestInfo, Settings, StartedExchange, Step,
};
use threadledge_suspects::{IdentityBuilder, RequestIdentity};
use threadledge_types::Timestamp;
use threadledge_types::deployment::{
    BackEnd, CallerLimits, Configuration, ConfigurationVersion, Destination, KeyDigest, KeyRange,
    Route, Service, ShardKey, Topology,
};

pub const HOST: &str = "host.example";
pub const TARGET: Duration = Duration::from_millis(200);
pub const TIMEOUT: Duration = Duration::from_millis(1_200);

pub struct Harness {
    pub dispatcher: Dispatcher,
    pub now: Timestamp,
    pub back_ends: Vec<BackEnd>,
    fence: u64,
    begun: u64,
}

pub fn route(name: &str, service: &str, repeatable: bool) -> Route {
    Route {
        name: name.into(),
        host: HOST.to_owned(),
        path_prefix: format!("/{name}/"),
        repeatable,
        timeout: TIMEOUT,
        target_latency: TARGET,
        priority: 1,
        max_attempts: 2,
        destinations: vec![Destination {
            service: service.into(),
            weight: 1,
        }],
        public: false,
        allowed_regions: None,
    }
}

pub fn configuration(version: u64, routes: Vec<Route>) -> Configuration {
    let service = |keyed| Service {
        health_path: "/health".to_owned(),
        max_connections: 100,
        keyed,
        cold_start: Duration::ZERO,
        cold_rate: None,
    };
    Configuration {
        version: ConfigurationVersion(version),
        routes: routes.into_iter().map(Arc::new).collect(),
        services: BTreeMap::from([
            ("plain".into(), service(false)),
            ("keyed".into(), service(true)),
        ]),
        limits: CallerLimits {
            max_header_bytes: 16_384,
            max_body_bytes: 1_000_000,
            header_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        },
        tenants: BTreeMap::new(),
    }
}

pub fn back_end(name: &str, service: &str, zone: &str, number: u16) -> BackEnd {
    BackEnd {
        name: name.into(),
        service: service.into(),
        address: SocketAddr::from(([10, 0, 0, 1], number)),
        zone: zone.into(),
        slots: 2,
        draining: false,
        cold_for: Duration::ZERO,
        registration: u64::from(number),
    }
}

impl Harness {
    /// The only router of a deployment, which has run for some time. It has two
    /// back ends of each service, one per zone, and the routes `safe`, `unsafe`
    /// and `keyed`.
    pub fn new() -> Self {
        Harness::with_seed(1)
    }

    /// The same with a different seed.
    pub fn with_seed(seed: u64) -> Self {
        Harness::at(Topology::new("near".into(), None, BTreeMap::new()), seed)
    }

    /// The same for a router in another place.
    pub fn at(topology: Topology, seed: u64) -> Self {
        let settings = Settings {
            topology,
            retry_slack: 100,
            ..Settings::default()
        };
        let mut harness = Harness::with(settings, seed);
        harness
            .dispatcher
            .set_router_count(Timestamp::ZERO, 1, None);
        harness
    }

    /// The same for a router that is just starting, with these settings.
    pub fn with(settings: Settings, seed: u64) -> Self {
        let mut harness = Harness {
            dispatcher: Dispatcher::new(settings, seed),
            now: Timestamp::from_millis(100_000),
            back_ends: vec![
                back_end("p-near", "plain", "near", 1),
                back_end("p-far", "plain", "far", 2),
                back_end("k-1", "keyed", "near", 3),
                back_end("k-2", "keyed", "far", 4),
            ],
            fence: 0,
            begun: 0,
        };
        let routes = vec![
            route("safe", "plain", true),
            route("unsafe", "plain", false),
            route("keyed", "keyed", true),
        ];
        harness.configure(configuration(1, routes));
        harness.publish_back_ends();
        harness.set_owners("k-1", "k-2");
        harness
    }

    pub fn configure(&mut self, configuration: Configuration) -> bool {
        let now = self.now;
        self.dispatcher
            .set_configuration(now, Arc::new(configuration))
            .is_some()
    }

    pub fn publish_back_ends(&mut self) {
        let back_ends = self.back_ends.clone();
        self.dispatcher.set_back_ends(self.now, &back_ends);
    }

    /// Assigns the lower half of the keys to one back end and the upper half to
    /// another. An empty name leaves a half without an owner.
    pub fn set_owners(&mut self, lower: &str, upper: &str) {
        let state = |name: &str| match name {
            "" => SliceState::Unowned,
            name => SliceState::Owned {
                owner: Owner {
                    name: name.into(),
                    address: SocketAddr::from(([10, 0, 0, 1], 3)),
                },
                handover: None,
            },
        };
        let (left, right) = KeyRange::ALL.split_after(32_768).expect("two halves");
        self.fence += 1;
        let fence = Fence(self.fence);
        let slice = |range, name| Slice {
            range,
            fence,
            state: state(name),
        };
        let record = OwnershipRecord {
            term: Term(1),
            next_fence: Fence(self.fence + 1),
            slices: vec![slice(left, lower), slice(right, upper)],
            former: Vec::new(),
        };
        let view = OwnershipView::of(&record);
        self.dispatcher
            .set_ownership(self.now, "keyed".into(), view);
    }

    pub fn advance(&mut self, millis: u64) {
        self.now = self.now + Duration::from_millis(millis);
    }

    pub fn begin(&mut self, route: &str) -> Result<StartedExchange, Refusal> {
        self.begin_with(route, None)
    }

    pub fn begin_with(
        &mut self,
        route: &str,
        key: Option<u16>,
    ) -> Result<StartedExchange, Refusal> {
        self.begin_by(route, key, Duration::ZERO, None)
    }

    /// Starts a request whose head arrived `age` ago.
    pub fn begin_after(
        &mut self,
        route: &str,
        key: Option<u16>,
        age: Duration,
    ) -> Result<StartedExchange, Refusal> {
        self.begin_by(route, key, age, None)
    }

    /// The same for a caller whose API key has this digest.
    pub fn begin_by(
        &mut self,
        route: &str,
        key: Option<u16>,
        age: Duration,
        api_key: Option<&KeyDigest>,
    ) -> Result<StartedExchange, Refusal> {
        let path = format!("/{route}/x");
        self.begun += 1;
        let info = RequestInfo {
            head: RequestHead {
                host: HOST,
                path: &path,
                api_key,
            },
            age,
            time_left: Some(Duration::from_secs(5)),
            key: key.map(ShardKey),
            replayable: true,
            method: "GET",
            identity: identity(&path, self.begun),
        };
        self.dispatcher.begin(self.now, &info)
    }

    pub fn next(&mut self, begun: &StartedExchange) -> Step {
        self.dispatcher.next(self.now, begun.id)
    }

    pub fn send(&mut self, begun: &StartedExchange) -> Attempt {
        let step = self.next(begun);
        let Step::Send(attempt) = step else {
            panic!("{step:?}");
        };
        assert!(self.dispatcher.may_send(self.now, begun.id, attempt.id));
        attempt
    }

    pub fn end(
        &mut self,
        begun: &StartedExchange,
        attempt: &Attempt,
        end: AttemptEnd,
    ) -> NextAction {
        self.dispatcher
            .on_attempt_end(self.now, begun.id, attempt.id, &end)
    }

    /// Starts and sends one request and answers it after `millis`.
    pub fn answer_one(&mut self, route: &str, millis: u64) -> Attempt {
        let begun = self.begin(route).expect("admitted");
        let attempt = self.send(&begun);
        self.advance(millis);
        assert_eq!(self.end(&begun, &attempt, answered()), NextAction::Deliver);
        attempt
    }
}

/// The identity of a request that differs from those with other numbers.
pub fn identity(path: &str, number: u64) -> RequestIdentity {
    let target = format!("{path}?number={number}");
    let builder = IdentityBuilder::new("GET", HOST, &target);
    builder.from_address([10, 0, 0, 9].into())
}

pub fn answered() -> AttemptEnd {
    AttemptEnd::Answered {
        failed: false,
        load: None,
    }
}

pub fn failed_answer() -> AttemptEnd {
    AttemptEnd::Answered {
        failed: true,
        load: None,
    }
}

pub fn not_run(reason: Rejection) -> AttemptEnd {
    let full = ReportedLoad {
        running: 2,
        waiting: 8,
        slots: 2,
    };
    AttemptEnd::NotRun {
        reason,
        load: (reason == Rejection::Busy).then_some(full),
    }
}

pub fn fault(fault: Fault) -> AttemptEnd {
    AttemptEnd::Failed(fault)
}

pub fn is_refused(step: &Step) -> bool {
    matches!(step, Step::Finish(Outcome::Refused(_)))
}

pub fn is_unknown(step: &Step) -> bool {
    matches!(step, Step::Finish(Outcome::Unknown(_)))
}
