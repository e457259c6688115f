//! Sans-I/O decisions for forwarding one request: matching its route, finding
//! the owner of its key, applying limits, queueing, retrying, hedging, and
//! settling the single outcome of each exchange.
//!
//! Nothing here opens a socket, reads a clock or draws randomness. The code
//! that does the I/O, called the shell here, drives a [`Dispatcher`]: it calls
//! [`Dispatcher::begin`] for each request, then [`Dispatcher::next`] whenever
//! something may have changed, carries out the [`Step`] it gets, and reports
//! what happened to each attempt with [`Dispatcher::on_event`]. The simulator
//! drives the same code in virtual time.

pub mod attempt;
mod back_end;
pub mod backoff;
pub mod budget;
pub mod classify;
pub mod concurrency;
pub mod counters;
pub mod deadline;
pub mod dispatcher;
pub mod ejection;
mod exchange;
pub mod fairness;
pub mod head;
pub mod hedge;
pub mod host;
pub mod key;
pub mod latency;
mod owner_refusals;
pub mod queue;
pub mod ramp;
pub mod settings;
pub mod snapshot;
pub mod table;

pub use attempt::{
    Attempt, AttemptEvent, AttemptFailure, AttemptNumber, ExchangeId, Finish, Refused,
    SendDecision, Step,
};
pub use counters::Counters;
pub use dispatcher::Dispatcher;
pub use head::{HeaderLookup, RequestHead};
pub use settings::Settings;
pub use snapshot::{BackEndLoad, LoadSnapshot, NamespaceLoad, Notice};
pub use table::{ApplyError, MatchedRoute, Owner, RoutingTable};
