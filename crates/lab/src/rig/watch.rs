//! Asks every router for its state throughout a run.

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

use super::processes::Router;
use crate::clock;
use crate::history::{ConfigurationSeen, Event, SliceSeen};
use crate::load::{KeyPopularity, TrafficSettings};

/// Interval between two rounds.
const INTERVAL: Duration = Duration::from_millis(200);
/// Longest wait for one answer.
const ANSWER_LIMIT: Duration = Duration::from_millis(500);
/// Keys of each kind of request whose owner is asked for.
const KEYS_ASKED: u32 = 3;

/// A thread that asks in rounds.
pub(super) struct Watch {
    shared: Arc<Shared>,
    thread: Option<JoinHandle<()>>,
}

struct Shared {
    stop: AtomicBool,
    states: Mutex<Vec<Option<StatusReport>>>,
    events: Mutex<Vec<Event>>,
    questions: Vec<ExplainRequest>,
    routers: Vec<(String, SocketAddr)>,
}

impl Watch {
    /// Begins to ask `routers`, also for the owners of a few keys of `traffic`.
    pub fn start(routers: &[Router], traffic: &[TrafficSettings]) -> Watch {
        let shared = Arc::new(Shared {
            stop: AtomicBool::new(false),
            states: Mutex::new(Vec::new()),
            events: Mutex::new(Vec::new()),
            questions: traffic.iter().flat_map(questions).collect(),
            routers: routers
                .iter()
                .map(|router| (router.name.clone(), router.settings.operator_address))
                .collect(),
        });
        let asked = shared.clone();
        let thread = std::thread::spawn(move || {
            while !asked.stop.load(Ordering::SeqCst) {
                task::block_on(asked.round());
                std::thread::sleep(INTERVAL);
            }
        });
        Watch {
            shared,
            thread: Some(thread),
        }
    }

    /// Latest states, in the order of the routers; `None` for one that did not
    /// answer.
    fn states(&self) -> Vec<Option<StatusReport>> {
        self.shared.states.lock().clone()
    }

    /// Whether every router serves: it takes new work, and each of `services`
    /// has an owner everywhere.
    pub fn all_serve(&self, services: &[ServiceId]) -> bool {
        let states = self.states();
        states.len() == self.shared.routers.len()
            && states.iter().all(|state| serves(state, services))
    }

    /// Number of the router that leads the group, as most recently told.
    pub fn leader(&self) -> Option<usize> {
        let states = self.states();
        let told = states.iter().flatten();
        let leader: RouterId = told
            .flat_map(|report| &report.groups)
            .max_by_key(|group| (group.generation, group.term))
            .and_then(|group| group.leader)?;
        let is_leader = |report: &StatusReport| report.router.id == leader;
        states
            .iter()
            .position(|state| state.as_ref().is_some_and(is_leader))
    }

    /// Stops asking and gives back what was told.
    pub fn finish(mut self) -> Vec<Event> {
        self.shared.stop.store(true, Ordering::SeqCst);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
        std::mem::take(&mut self.shared.events.lock())
    }
}

impl Shared {
    async fn round(&self) {
        let asked = self.routers.iter();
        let states = join_all(asked.map(|(name, address)| self.ask(name, *address))).await;
        *self.states.lock() = states;
    }

    async fn ask(&self, name: &str, address: SocketAddr) -> Option<StatusReport> {
        let client = OperatorClient::new(address);
        let report = timeout(ANSWER_LIMIT, client.status()).await;
        let report = report.ok().and_then(Result::ok);
        if let Some(report) = &report {
            self.events
                .lock()
                .push(Event::ConfigurationSeen(ConfigurationSeen {
                    at: clock::now(),
                    router: life_of(name, report),
                    revision: report.revision,
                    ready: report.readiness.is_ready(),
                }));
            self.ask_owners(&life_of(name, report), &client).await;
        }
        report
    }

    async fn ask_owners(&self, name: &str, client: &OperatorClient) {
        for question in &self.questions {
            let begin = clock::now();
            let Ok(Ok(told)) = timeout(ANSWER_LIMIT, client.explain(question)).await else {
                continue;
            };
            self.events.lock().push(Event::SliceSeen(SliceSeen {
                begin,
                end: clock::now(),
                router: name.to_owned(),
                service: told.service,
                slice: told.slice,
                owner: told.owner.map(|owner| owner.session),
                epoch: told.epoch,
            }));
        }
    }
}

/// A machine that took the place of another knows nothing at first, so it must
/// not be taken for the one that was there before.
fn life_of(name: &str, report: &StatusReport) -> String {
    format!("{name} ({})", report.router.machine)
}

fn serves(state: &Option<StatusReport>, services: &[ServiceId]) -> bool {
    let Some(report) = state else {
        return false;
    };
    let owned = |service: &ServiceId| {
        let mut told = report.services.iter();
        told.any(|one| one.service == *service && one.slices > 0 && one.unowned == 0)
    };
    report.readiness.is_ready() && services.iter().all(owned)
}

fn questions(traffic: &TrafficSettings) -> Vec<ExplainRequest> {
    let popularity = KeyPopularity::new(traffic.popularity.clone(), 0);
    let keys = 0..KEYS_ASKED.min(traffic.popularity.keys);
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
