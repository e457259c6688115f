//! Events that a router learns about back ends from their responses.

use std::time::Duration;

use threadledge_types::deployment::{BackEndName, ServiceName};

/// Something a back end's response headers said that affects later requests.
#[derive(Clone, Debug, PartialEq)]
pub enum BackEndEvent {
    /// The back end reported a rate limit, either its first or a changed one.
    Limited {
        /// The back end.
        back_end: BackEndName,
        /// The new limit, in requests per second.
        rate: f64,
        /// The previous limit, if there was one.
        before: Option<f64>,
    },
    /// The back end no longer reports a rate limit.
    LimitLifted {
        /// The back end.
        back_end: BackEndName,
    },
    /// The back end reported a rate limit that cannot be parsed. The previous
    /// limit, if any, stays in force.
    LimitUnreadable {
        /// The back end.
        back_end: BackEndName,
    },
    /// The back end announced that it is shutting down.
    Leaving {
        /// The back end.
        back_end: BackEndName,
        /// Its service.
        service: ServiceName,
    },
    /// The back end asked for a backoff while none was running.
    Resting {
        /// The back end.
        back_end: BackEndName,
        /// Its service.
        service: ServiceName,
        /// How long it asked not to be sent requests.
        backoff: Duration,
    },
    /// The back end asked for a backoff that cannot be parsed. It gets the same
    /// pause as a back end that is full.
    BackoffUnreadable {
        /// The back end.
        back_end: BackEndName,
    },
}
