//! The reverse proxy of a router: accepts callers' requests, asks
//! [`threadledge_routing::Dispatcher`] what to do with each, and executes its
//! decisions over pooled connections to back ends.
//!
//! Each request has one task, which alone owns the request's attempts.
//! Dropping the task, as the server does when the caller disconnects, closes
//! the attempts' connections.

pub(crate) mod answer;
mod attempt;
mod clock;
mod delivery;
mod dispatch;
mod exchange;
pub(crate) mod headers;
pub(crate) mod inbound;
pub(crate) mod memory_budget;
mod metrics;
mod observe;
mod outbound;
pub(crate) mod replayable_body;
pub(crate) mod replayable_request;
mod settings;
pub(crate) mod stream;

use std::sync::Arc;

use async_std::net::TcpListener;
use async_std::task::JoinHandle;
use http_types::{Request, Response};
use threadledge_net::{Instant, Pool, ServeReport, StopSignal, error_response, serve};
use threadledge_routing::dispatcher::Dispatcher;
use threadledge_routing::table::ApplyError;
use threadledge_routing::{Counters, LoadSnapshot, Notice};
use threadledge_types::Outcome;
use threadledge_types::records::RecordDelta;

use attempt::Attempts;
use dispatch::{Admission, Dispatch};
use exchange::Exchange;
use inbound::Inbound;
use memory_budget::MemoryBudget;

pub use clock::Clock;
pub(crate) use dispatch::Signal;
pub use metrics::ProxyMetrics;
pub use observe::{Observation, Observer};
pub use settings::ProxySettings;

/// A running proxy.
#[derive(Debug)]
pub struct Proxy {
    /// Controls the proxy.
    pub handle: ProxyHandle,
    /// The server's task. It finishes after a planned stop and returns what
    /// was served.
    pub served: JoinHandle<ServeReport>,
}

/// Controls a running proxy. Clones control the same one.
#[derive(Clone, Debug)]
pub struct ProxyHandle {
    shared: Arc<Shared>,
}

/// State shared by all requests.
#[derive(Debug)]
struct Shared {
    dispatch: Arc<Dispatch>,
    attempts: Attempts,
    observer: Observer,
    budget: MemoryBudget,
    max_buffered_request: usize,
}

impl ProxyHandle {
    /// Serves callers on `listener` until `stop` is signalled. No request is
    /// accepted before [`ProxyHandle::set_ready`].
    pub fn start(
        settings: ProxySettings,
        clock: Clock,
        listener: TcpListener,
        stop: StopSignal,
        observer: Observer,
    ) -> Proxy {
        let dispatcher = Dispatcher::new(settings.routing, settings.seed, clock.now());
        let dispatch = Arc::new(Dispatch::new(dispatcher, clock));
        let budget = MemoryBudget::new(settings.max_buffered_total);
        let attempts = Attempts {
            dispatch: dispatch.clone(),
            pool: Pool::new(settings.pool),
            budget: budget.clone(),
            max_buffered_response: settings.max_buffered_response,
        };
        let shared = Arc::new(Shared {
            dispatch,
            attempts,
            observer,
            budget,
            max_buffered_request: settings.max_buffered_request,
        });
        let handler_shared = shared.clone();
        let handler = move |request, _connection| handle(handler_shared.clone(), request);
        let served = async_std::task::spawn(serve(listener, settings.server, stop, handler));
        Proxy {
            handle: ProxyHandle { shared },
            served,
        }
    }

    /// Applies a delta of the group's records to the proxy's copy.
    ///
    /// # Errors
    ///
    /// Returns [`ApplyError`] if the delta does not fit the copy.
    pub fn apply(&self, delta: &RecordDelta) -> Result<(), ApplyError> {
        self.shared
            .dispatch
            .with(|dispatcher, now| dispatcher.apply(now, delta))
    }

    /// Sets the number of live routers among which slots and connections are
    /// divided.
    pub fn set_router_count(&self, count: u32) {
        self.shared
            .dispatch
            .with(|dispatcher, now| dispatcher.set_router_count(now, count));
    }

    /// Sets whether new requests are accepted. While they are not, they are
    /// answered with outcome `not-run` and reason `not-ready`; requests that
    /// were accepted before continue.
    pub fn set_ready(&self, ready: bool) {
        self.shared
            .dispatch
            .with(|dispatcher, _now| dispatcher.set_accepting(ready));
    }

    /// Returns the dispatcher's counters.
    pub fn counters(&self) -> Counters {
        self.with_dispatcher(|dispatcher| dispatcher.counters().clone())
    }

    /// Returns counters and load as of the same moment.
    fn counters_and_load(&self) -> (Counters, LoadSnapshot) {
        let read = |dispatcher: &mut Dispatcher, now| {
            (dispatcher.counters().clone(), dispatcher.load(now))
        };
        self.shared.dispatch.with(read)
    }

    /// Takes the notices about back ends that the dispatcher has collected
    /// since the last call.
    pub fn take_notices(&self) -> Vec<Notice> {
        let dispatch = &self.shared.dispatch;
        dispatch.with(|dispatcher, _now| dispatcher.take_notices())
    }

    /// Reads the dispatcher's state, for status pages. The dispatcher is locked
    /// meanwhile, so every request waits until `read` returns.
    pub fn with_dispatcher<R>(&self, read: impl FnOnce(&Dispatcher) -> R) -> R {
        self.shared
            .dispatch
            .with(|dispatcher, _now| read(dispatcher))
    }
}

/// Handles one request and returns the response, whose body may still be
/// streaming.
async fn handle(shared: Arc<Shared>, request: Request) -> Response {
    let started = Instant::now();
    let read_request = Inbound::read(request, shared.max_buffered_request, &shared.budget);
    let inbound = match read_request.await {
        Ok(inbound) => inbound,
        Err((reason, detail)) => {
            shared
                .observer
                .observe(&Observation::refused(reason, started));
            return error_response::not_run(reason, &detail);
        }
    };
    match shared.dispatch.begin(&inbound) {
        Admission::Refused(refused) => {
            shared
                .observer
                .observe(&Observation::refused(refused.reason, started));
            let outcome = Outcome::NotRun(refused.reason);
            exchange::router_response(outcome, refused.retry_after, 0)
        }
        Admission::Admitted(admitted) => {
            let exchange = Exchange::new(shared, inbound, admitted, started);
            exchange.run().await
        }
    }
}
