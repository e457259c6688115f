//! The path of one request through a gateway, as decisions: its route, its
//! service and back end, limits, waiting, second attempts and the one outcome.
//!
//! Nothing here opens a socket, reads a clock or draws randomness of its own.
//! A shell calls [`Dispatcher::begin`] for each request, then
//! [`Dispatcher::next`] whenever something may have changed, carries the
//! [`Step`] out and reports how each attempt ended.

mod back_end_events;
mod back_ends;
pub mod budget;
mod choice;
mod cold;
pub mod counters;
pub mod decaying_mean;
pub mod dispatcher;
mod estimate;
mod exchange;
mod limited;
mod not_held;
mod observed;
pub mod outcome;
mod pace;
pub mod request;
pub mod routes;
pub mod settings;
mod slack;

pub use back_end_events::BackEndEvent;
pub use counters::{Counters, RetryDenials};
pub use dispatcher::{Dispatcher, StartedExchange};
pub use outcome::{
    AttemptEnd, Fault, Outcome, Refusal, RefusalReason, ReportedLimit, ReportedLoad,
    RequestedBackoff, Signals, UnknownReason,
};
pub use request::{Attempt, AttemptId, ExchangeId, RequestHead, RequestInfo, Step};
pub use routes::RouteTable;
pub use settings::Settings;
