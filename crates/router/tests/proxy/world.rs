//! Test environment: a proxy in front of one back end.

use std::collections::BTreeMap;
use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_std::net::TcpListener;
use parking_lot::Mutex;
use threadledge::proxy::{Clock, Observation, Observer, Proxy, ProxyHandle, ProxySettings};
use threadledge_net::{StopSignal, timer};
use threadledge_types::objects::{
    BackEndSpec, KeySource, KeyedServiceSpec, PlacementPolicy, Priority, RouteRule,
};
use threadledge_types::records::{
    BackEndRecord, RecordChange, RecordDelta, ServiceRecord, SessionRecord, SliceRecord,
};
use threadledge_types::{
    BackEndId, Epoch, Generation, GroupId, Incarnation, RegionName, Revision, ServiceId, SessionId,
    Slice, ZoneName,
};

use crate::back_end::BackEnd;
use crate::caller::{Answer, Caller};

/// Timeout that ends a hanging test; no test depends on durations.
const TEST_TIMEOUT: Duration = Duration::from_secs(30);

/// Deadline of the route `/short`, in milliseconds.
const SHORT_DEADLINE_MS: u64 = 300;
/// Deadline of the route `/many`, in milliseconds. A request whose retries are
/// delayed because the retry budget is exhausted waits that long.
const MANY_DEADLINE_MS: u64 = 1_000;

/// Awaits `future` with the test timeout.
pub async fn within<F: Future>(future: F) -> F::Output {
    timer::timeout(TEST_TIMEOUT, future)
        .await
        .expect("the test timed out")
}

/// A proxy in front of one back end that owns every key.
pub struct World {
    pub address: SocketAddr,
    pub back_end: BackEnd,
    pub handle: ProxyHandle,
    pub stop: StopSignal,
    pub proxy: Proxy,
    pub observations: Arc<Mutex<Vec<Observation>>>,
}

impl World {
    pub async fn start() -> World {
        let back_end = BackEnd::start().await;
        World::start_with(back_end, ProxySettings::with_seed(7)).await
    }

    pub async fn start_with(back_end: BackEnd, mut settings: ProxySettings) -> World {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let stop = StopSignal::new();
        let observations = Arc::new(Mutex::new(Vec::new()));
        let seen = observations.clone();
        let observer = Observer::new(move |observation| seen.lock().push(observation.clone()));
        settings.server.stop_idle_timeout = Duration::from_millis(20);
        let proxy = ProxyHandle::start(settings, Clock::start(), listener, stop.clone(), observer);
        let handle = proxy.handle.clone();
        handle.apply(&records(back_end.address)).unwrap();
        handle.set_ready(true);
        World {
            address,
            back_end,
            handle,
            stop,
            proxy,
            observations,
        }
    }

    pub async fn caller(&self) -> Caller {
        Caller::connect(self.address).await
    }

    /// Checks the outcome of a response against the number of times that the back
    /// end ran the request.
    #[track_caller]
    pub fn check(&self, answer: &Answer, target: &str, repeatable: bool) {
        let runs = self.back_end.runs_of(target);
        let context = format!("{target}: {answer:?}, {runs} runs");
        assert!(repeatable || runs <= 1, "ran twice: {context}");
        match answer.outcome() {
            "answered" => {
                assert!(runs > 0, "answered without a run: {context}");
                assert_eq!(answer.body, format!("answer to {target}"), "{context}");
            }
            "not-run" => assert_eq!(runs, 0, "a wrong not-run: {context}"),
            "unknown" => assert!(answer.status >= 500, "{context}"),
            _ => panic!("no outcome: {context}"),
        }
    }
}

fn route(name: &str, prefix: &str, deadline_ms: u64) -> RouteRule {
    RouteRule {
        name: name.to_owned(),
        path_prefix: prefix.to_owned(),
        methods: Vec::new(),
        key: KeySource::QueryParameter("key".to_owned()),
        repeatable: None,
        priority: Priority::Normal,
        deadline_ms,
        may_queue: true,
    }
}

/// Returns the records of one service whose only back end owns every key.
pub fn records(address: SocketAddr) -> RecordDelta {
    let service = ServiceId::new("a", "s");
    let session = SessionId {
        back_end: BackEndId::new("a", "one"),
        incarnation: Incarnation(1),
    };
    let revision = Revision::new(Generation(1), 42);
    RecordDelta {
        group: GroupId(0),
        from: Revision::NONE,
        to: revision,
        full: true,
        changes: vec![
            RecordChange::Service(Box::new(ServiceRecord {
                id: service.clone(),
                spec: KeyedServiceSpec {
                    region: RegionName::from("luzon"),
                    hosts: vec!["s.test".to_owned()],
                    back_end_selector: Default::default(),
                    routes: vec![
                        route("short", "/short", SHORT_DEADLINE_MS),
                        route("many", "/many", MANY_DEADLINE_MS),
                        route("all", "/", 20_000),
                    ],
                    placement: PlacementPolicy::default(),
                },
                resource_version: 1,
                object_generation: 1,
            })),
            RecordChange::BackEnd(Box::new(BackEndRecord {
                id: session.back_end.clone(),
                labels: BTreeMap::new(),
                spec: BackEndSpec {
                    address,
                    control_address: address,
                    zone: ZoneName::from("a"),
                    slots: 8,
                    connections: 64,
                },
                resource_version: 1,
                object_generation: 1,
            })),
            RecordChange::Session(SessionRecord {
                id: session.clone(),
                draining: false,
            }),
            RecordChange::Slice(SliceRecord {
                service,
                slice: Slice::ALL,
                owner: Some(session),
                epoch: Epoch(revision),
                next: None,
            }),
        ],
    }
}
