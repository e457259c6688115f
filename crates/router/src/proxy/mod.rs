//! The data path's shell: takes callers' requests, lets
//! [`threadledge_routing::Dispatcher`] decide, and carries its decisions out
//! over pooled connections to back ends.
//!
//! One task a request. It alone holds the request's attempts, so that dropping
//! it, as the server does when the caller hangs up, closes their connections.

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

/// A running data path.
#[derive(Debug)]
pub struct Proxy {
    /// Commands it.
    pub handle: ProxyHandle,
    /// Ends after a planned stop, with what was served.
    pub served: JoinHandle<ServeReport>,
}

/// Commands a running data path. Clones command the same one.
#[derive(Clone, Debug)]
pub struct ProxyHandle {
    shared: Arc<Shared>,
}

/// What all requests share.
#[derive(Debug)]
struct Shared {
    dispatch: Arc<Dispatch>,
    attempts: Attempts,
    observer: Observer,
    budget: MemoryBudget,
    max_buffered_request: usize,
}

impl ProxyHandle {
    /// Serves callers on `listener` until `stop` is given. No request is
    /// taken before [`ProxyHandle::set_ready`].
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

    /// Applies a delta of the group's records.
    ///
    /// # Errors
    ///
    /// [`ApplyError`] when the delta does not fit the copy.
    pub fn apply(&self, delta: &RecordDelta) -> Result<(), ApplyError> {
        self.shared
            .dispatch
            .with(|dispatcher, now| dispatcher.apply(now, delta))
    }

    /// Number of live routers among which slots and connections are divided.
    pub fn set_router_count(&self, count: u32) {
        self.shared
            .dispatch
            .with(|dispatcher, now| dispatcher.set_router_count(now, count));
    }

    /// Says whether new requests are taken. While not they are answered
    /// `not-run`, `not-ready`; requests already taken go on.
    pub fn set_ready(&self, ready: bool) {
        self.shared
            .dispatch
            .with(|dispatcher, _now| dispatcher.set_accepting(ready));
    }

    /// Counts of what the dispatcher did.
    pub fn counters(&self) -> Counters {
        self.with_dispatcher(|dispatcher| dispatcher.counters().clone())
    }

    /// Counts and load of one moment.
    fn counters_and_load(&self) -> (Counters, LoadSnapshot) {
        let look = |dispatcher: &mut Dispatcher, now| {
            (dispatcher.counters().clone(), dispatcher.load(now))
        };
        self.shared.dispatch.with(look)
    }

    /// Takes what the dispatcher has noticed about back ends since the last
    /// time. It keeps them until then.
    pub fn take_notices(&self) -> Vec<Notice> {
        let dispatch = &self.shared.dispatch;
        dispatch.with(|dispatcher, _now| dispatcher.take_notices())
    }

    /// Looks at the dispatcher, for status pages. Holds up every request
    /// while it runs.
    pub fn with_dispatcher<R>(&self, look: impl FnOnce(&Dispatcher) -> R) -> R {
        self.shared
            .dispatch
            .with(|dispatcher, _now| look(dispatcher))
    }
}

/// One request from its head to the head of its answer.
async fn handle(shared: Arc<Shared>, request: Request) -> Response {
    let started = Instant::now();
    let read = Inbound::read(request, shared.max_buffered_request, &shared.budget);
    let inbound = match read.await {
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
            exchange::own_answer(outcome, refused.retry_after, 0)
        }
        Admission::Admitted(admitted) => {
            let exchange = Exchange::new(shared, inbound, admitted, started);
            exchange.run().await
        }
    }
}
