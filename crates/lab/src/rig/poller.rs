//! Polls the state of every router throughout a run.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::JoinHandle;
use std::time::Duration;

use async_std::future::timeout;
use async_std::task;
use futures::future::join_all;
use parking_lot::Mutex;
use threadledge::operations::{ExplainRequest, OperatorClient, StatusReport};
use threadledge_types::{RouterId, ServiceId};

use super::product_processes::Router;
use crate::clock;
use crate::history::{ConfigurationSeen, Event, SliceSeen};
use crate::load::{KeyPopularity, TrafficSettings};

/// Pause between two polling rounds.
const POLL_PAUSE: Duration = Duration::from_millis(200);
/// Timeout of one query.
const QUERY_TIMEOUT: Duration = Duration::from_millis(500);
/// Number of keys of each kind of request whose owner is queried.
const KEYS_QUERIED: u32 = 3;

/// A thread that polls the routers in rounds.
pub(super) struct RouterPoller {
    shared: Arc<Shared>,
    thread: Option<JoinHandle<()>>,
}

/// State shared with the polling thread.
struct Shared {
    stop: AtomicBool,
    states: Mutex<Vec<Option<StatusReport>>>,
    events: Mutex<Vec<Event>>,
    queries: Vec<ExplainRequest>,
    routers: Vec<(String, SocketAddr)>,
}

impl RouterPoller {
    /// Starts polling `routers` for their state and for the owners of a few
    /// keys of `traffic`.
    pub fn start(routers: &[Router], traffic: &[TrafficSettings]) -> RouterPoller {
        let shared = Arc::new(Shared {
            stop: AtomicBool::new(false),
            states: Mutex::new(Vec::new()),
            events: Mutex::new(Vec::new()),
            queries: traffic.iter().flat_map(queries).collect(),
            routers: routers
                .iter()
                .map(|router| (router.name.clone(), router.settings.operator_address))
                .collect(),
        });
        let poller_state = shared.clone();
        let thread = std::thread::spawn(move || {
            while !poller_state.stop.load(Ordering::SeqCst) {
                task::block_on(poller_state.poll_all());
                std::thread::sleep(POLL_PAUSE);
            }
        });
        RouterPoller {
            shared,
            thread: Some(thread),
        }
    }

    /// Returns the latest states in the order of the routers; `None` for one
    /// that did not respond.
    fn states(&self) -> Vec<Option<StatusReport>> {
        self.shared.states.lock().clone()
    }

    /// Returns whether every router is ready and every slice of `services` has
    /// an owner in its view.
    pub fn all_serve(&self, services: &[ServiceId]) -> bool {
        let states = self.states();
        states.len() == self.shared.routers.len()
            && states.iter().all(|state| serves(state, services))
    }

    /// Returns the number of the router that leads the group, according to the
    /// report with the highest generation and term.
    pub fn leader(&self) -> Option<usize> {
        let states = self.states();
        let reports = states.iter().flatten();
        let leader: RouterId = reports
            .flat_map(|report| &report.groups)
            .max_by_key(|group| (group.generation, group.term))
            .and_then(|group| group.leader)?;
        let is_leader = |report: &StatusReport| report.router.id == leader;
        states
            .iter()
            .position(|state| state.as_ref().is_some_and(is_leader))
    }

    /// Stops polling and returns the recorded events.
    pub fn finish(mut self) -> Vec<Event> {
        self.shared.stop.store(true, Ordering::SeqCst);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
        std::mem::take(&mut self.shared.events.lock())
    }
}

impl Shared {
    /// Queries all routers at the same time and stores their states.
    async fn poll_all(&self) {
        let routers = self.routers.iter();
        let states =
            join_all(routers.map(|(name, address)| self.query_state(name, *address))).await;
        *self.states.lock() = states;
    }

    /// Queries one router for its state and owners, and records both. Returns
    /// `None` if it does not respond in time.
    async fn query_state(&self, name: &str, address: SocketAddr) -> Option<StatusReport> {
        let client = OperatorClient::new(address);
        let report = timeout(QUERY_TIMEOUT, client.status()).await;
        let report = report.ok().and_then(Result::ok);
        if let Some(report) = &report {
            self.events
                .lock()
                .push(Event::ConfigurationSeen(ConfigurationSeen {
                    at: clock::now(),
                    router: incarnation_name(name, report),
                    revision: report.revision,
                    ready: report.readiness.is_ready(),
                }));
            self.query_owners(&incarnation_name(name, report), &client)
                .await;
        }
        report
    }

    async fn query_owners(&self, name: &str, client: &OperatorClient) {
        for query in &self.queries {
            let begin = clock::now();
            let Ok(Ok(explanation)) = timeout(QUERY_TIMEOUT, client.explain(query)).await else {
                continue;
            };
            self.events.lock().push(Event::SliceSeen(SliceSeen {
                begin,
                end: clock::now(),
                router: name.to_owned(),
                service: explanation.service,
                slice: explanation.slice,
                owner: explanation.owner.map(|owner| owner.session),
                epoch: explanation.epoch,
            }));
        }
    }
}

/// Returns a name that distinguishes a machine from the one it replaced. A new
/// machine starts without state, so its reports must not be compared with
/// those of the previous one.
fn incarnation_name(name: &str, report: &StatusReport) -> String {
    format!("{name} ({})", report.router.machine)
}

/// Returns whether a router is ready and reports an owner for every slice of
/// `services`.
fn serves(state: &Option<StatusReport>, services: &[ServiceId]) -> bool {
    let Some(report) = state else {
        return false;
    };
    let fully_owned = |service: &ServiceId| {
        let mut statuses = report.services.iter();
        statuses.any(|one| one.service == *service && one.slices > 0 && one.unowned == 0)
    };
    report.readiness.is_ready() && services.iter().all(fully_owned)
}

/// Returns owner queries for the most popular keys of one kind of request.
fn queries(traffic: &TrafficSettings) -> Vec<ExplainRequest> {
    let popularity = KeyPopularity::new(traffic.popularity.clone(), 0);
    let keys = 0..KEYS_QUERIED.min(traffic.popularity.keys);
    keys.map(|rank| {
        let key = popularity.key_at(rank, threadledge_types::Timestamp::ZERO);
        let header = traffic.key_header.iter();
        ExplainRequest {
            host: traffic.host.clone(),
            method: traffic.method.clone(),
            path: traffic.path.replace("{key}", &key),
            headers: header.map(|name| (name.clone(), key.clone())).collect(),
        }
    })
    .collect()
}
