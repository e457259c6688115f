//! One request's path as decisions: route, owner, limits, queueing, retries,
//! hedges and the one outcome of each exchange.
//!
//! Nothing here opens a socket, reads a clock or draws randomness. A shell
//! drives a [`Dispatcher`]: it calls [`Dispatcher::begin`] for each request,
//! then [`Dispatcher::next`] whenever something may have changed, carries out
//! the [`Step`] it gets, and reports what happened to each attempt with
//! [`Dispatcher::on_event`]. The simulator drives the same code in virtual
//! time.

pub mod attempt;
pub mod dispatcher;
pub mod head;
pub mod settings;
pub mod table;

pub use attempt::{
    Attempt, AttemptEvent, AttemptFailure, AttemptNumber, ExchangeId, Finish, Refused,
    SendDecision, Step,
};
pub use dispatcher::Dispatcher;
pub use head::{HeaderLookup, RequestHead};
pub use settings::Settings;
pub use table::{ApplyError, Matched, Owner, RoutingTable};
