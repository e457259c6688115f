//! The callers of one partner. They send requests on schedule, retry at
//! another router when that is safe, and record the outcome of each request.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use async_std::task;
use http_types::Method;
use threadledge_types::{NotRunReason, Timestamp, hash_key};

use super::arrivals::Arrivals;
use super::connection_pool::ConnectionPool;
use super::exchange::{ExchangeResult, OutgoingRequest, exchange};
use super::popularity::KeyPopularity;
use super::settings::{CallerSettings, Surge, TrafficSettings};
use crate::clock;
use crate::history::{Attempt, AttemptOutcome, Event, Recorder, RequestId};

/// Maximum number of requests of one partner in flight. An open loop does not
/// wait for responses, but the machine's resources are limited.
const MAX_OUTSTANDING: u64 = 4_000;

/// State shared by the callers of one partner.
pub(super) struct Callers {
    routers: Vec<ConnectionPool>,
    begin: Timestamp,
    end: Timestamp,
    next_request: AtomicU64,
    outstanding: AtomicU64,
    surges: Vec<Surge>,
    recorder: Recorder,
}

impl Callers {
    pub fn new(settings: &CallerSettings, recorder: Recorder) -> Self {
        let routers = settings.routers.iter().copied();
        Callers {
            routers: routers.map(ConnectionPool::new).collect(),
            begin: settings.begin,
            end: settings.end,
            next_request: AtomicU64::new(settings.first_request),
            outstanding: AtomicU64::new(0),
            surges: settings.surges.clone(),
            recorder,
        }
    }

    /// Returns a request id that is unique within the run.
    pub fn next_request(&self) -> RequestId {
        RequestId(self.next_request.fetch_add(1, Ordering::SeqCst))
    }

    pub fn recorder(&self) -> &Recorder {
        &self.recorder
    }

    /// Sends one kind of request on schedule, then waits until the last of
    /// them have ended.
    pub async fn send_traffic(self: Arc<Self>, traffic: TrafficSettings, seed: u64) {
        let traffic = Arc::new(traffic);
        let mut popularity = KeyPopularity::new(traffic.popularity.clone(), seed);
        let arrivals = Arrivals::new(self.begin, traffic.per_second, seed.wrapping_add(1))
            .with_surges(&self.surges);
        let mut pending = Vec::new();
        let mut skipped = 0_u64;
        for intended in arrivals.take_while(|intended| *intended < self.end) {
            task::sleep(intended.since(clock::now())).await;
            let since_start = Timestamp::ZERO + intended.since(self.begin);
            let key = popularity.draw(since_start);
            if self.outstanding.load(Ordering::SeqCst) >= MAX_OUTSTANDING {
                skipped += 1;
                continue;
            }
            self.outstanding.fetch_add(1, Ordering::SeqCst);
            let callers = self.clone();
            let traffic = traffic.clone();
            let request = task::spawn(async move {
                callers.call(&traffic, intended, &key).await;
                callers.outstanding.fetch_sub(1, Ordering::SeqCst);
            });
            pending.push(request);
            if pending.len() > 2 * MAX_OUTSTANDING as usize {
                pending.drain(..MAX_OUTSTANDING as usize);
            }
        }
        futures::future::join_all(pending).await;
        self.record_skipped(&traffic, skipped);
    }

    /// Records how many requests were not sent because too many were in
    /// flight, so that the report shows that the lab itself reduced the load.
    fn record_skipped(&self, traffic: &TrafficSettings, skipped: u64) {
        if skipped > 0 {
            let service = &traffic.service;
            self.recorder.record(Event::Fault {
                at: clock::now(),
                what: format!(
                    "the lab left out {skipped} requests to {service}: {MAX_OUTSTANDING} were under way"
                ),
            });
        }
    }

    /// Sends one request, with retries, and records its outcome.
    async fn call(&self, traffic: &TrafficSettings, intended: Timestamp, key: &str) {
        let message = build_request(traffic, self.next_request(), key);
        let deadline = intended + Duration::from_millis(traffic.patience_ms);
        let mut attempts = Vec::new();
        let mut answer_matches = None;
        let first = message.request.0 as usize;
        let mut retries = traffic.retries_at_once;
        let mut tried = 0;
        for number in 0.. {
            let router = (first + number) % self.routers.len();
            let begin = clock::now();
            let time_left = deadline.since(begin);
            let result = exchange(&self.routers[router], &message, time_left).await;
            answer_matches = result.answer_matches;
            tried += 1;
            let mut retry =
                tried < self.routers.len() && should_retry_elsewhere(&result, traffic.repeatable);
            if !retry && retries > 0 && should_retry_immediately(&result, traffic.repeatable) {
                retries -= 1;
                retry = true;
            }
            attempts.push(Attempt {
                router,
                begin,
                end: clock::now(),
                outcome: result.outcome,
                reason: result.reason,
                status: result.status,
            });
            if !retry || clock::now() >= deadline {
                break;
            }
        }
        self.recorder.record(Event::RequestEnded {
            intended,
            request: message.request,
            service: traffic.service.clone(),
            point: hash_key(key.as_bytes()),
            repeatable: traffic.repeatable,
            attempts,
            answer_matches,
        });
    }
}

/// Returns whether to retry at another router. That requires that a request
/// which must not be repeated cannot run twice, and that another router could
/// succeed.
fn should_retry_elsewhere(result: &ExchangeResult, repeatable: bool) -> bool {
    match result.outcome {
        AttemptOutcome::NotSent => true,
        AttemptOutcome::NotRun => result.reason.as_deref() == Some(NotRunReason::NotReady.as_str()),
        AttemptOutcome::Cut => repeatable,
        AttemptOutcome::Answered | AttemptOutcome::Unknown | AttemptOutcome::TimedOut => false,
    }
}

/// Returns whether a caller of a retry storm retries immediately. It retries
/// every failure but its own timeout, unless the request may have run and must
/// not be repeated.
fn should_retry_immediately(result: &ExchangeResult, repeatable: bool) -> bool {
    match result.outcome {
        AttemptOutcome::NotSent | AttemptOutcome::NotRun => true,
        AttemptOutcome::Cut | AttemptOutcome::Unknown => repeatable,
        AttemptOutcome::Answered | AttemptOutcome::TimedOut => false,
    }
}

fn build_request(traffic: &TrafficSettings, request: RequestId, key: &str) -> OutgoingRequest {
    let headers = traffic
        .key_header
        .iter()
        .map(|name| (name.clone(), key.to_owned()))
        .collect();
    OutgoingRequest {
        request,
        method: traffic.method.parse().unwrap_or(Method::Get),
        host: traffic.host.clone(),
        path: traffic.path.replace("{key}", key),
        headers,
        repeatable: traffic.repeatable,
    }
}
