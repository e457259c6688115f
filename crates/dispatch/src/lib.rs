//! The decisions on the path of a request through a gateway: its route, its
//! service and back end, rate limits, waiting, retries and hedged attempts, and
//! its single outcome.
//!
//! This crate opens no sockets and reads no clock, and all its random numbers
//! come from a seed. Its caller, the gateway, performs the I/O: it calls
//! [`Dispatcher::begin`] for each request, calls [`Dispatcher::next`] whenever
//! something may have changed, carries out the [`Step`] and reports how each
//! attempt ended.

mod back_end_events;
mod back_ends;
pub mod budget;
mod choice;
mod cold_start;
pub mod counters;
mod credit_window;
pub mod decaying_mean;
pub mod dispatcher;
mod estimate;
mod exchange;
mod key_refusals;
mod limited_back_ends;
mod observed_load;
pub mod outcome;
mod pacing;
pub mod request;
pub mod routes;
pub mod settings;
mod slack_bucket;

pub use back_end_events::BackEndEvent;
pub use counters::{AllowedRetries, Counters, RetryDenials};
pub use dispatcher::{Dispatcher, StartedExchange};
pub use outcome::{
    AttemptEnd, Fault, Outcome, Refusal, RefusalReason, ReportedLimit, ReportedLoad,
    RequestedBackoff, Signals, UnknownReason,
};
pub use request::{Attempt, AttemptId, ExchangeId, RequestHead, RequestInfo, Step};
pub use routes::RouteTable;
pub use settings::Settings;
