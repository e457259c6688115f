//! What became known of back ends from their own answers.

use std::time::Duration;

use threadledge_types::deployment::{BackEndName, ServiceName};

/// What a back end said that concerns later requests.
#[derive(Clone, Debug, PartialEq)]
pub enum BackEndEvent {
    /// It names a limit, or another one than before.
    Limited {
        /// The back end.
        back_end: BackEndName,
        /// The limit that counts, in requests a second.
        rate: f64,
        /// The one before.
        before: Option<f64>,
    },
    /// It names no limit any more.
    LimitLifted {
        /// The back end.
        back_end: BackEndName,
    },
    /// It names something that is no limit: what was known counts on.
    LimitUnreadable {
        /// The back end.
        back_end: BackEndName,
    },
    /// It leaves.
    Leaving {
        /// The back end.
        back_end: BackEndName,
        /// Its service.
        service: ServiceName,
    },
    /// It asked for rest and did not rest before.
    Resting {
        /// The back end.
        back_end: BackEndName,
        /// Its service.
        service: ServiceName,
        /// The rest.
        backoff: Duration,
    },
    /// It asked for a rest that is no time: it gets the pause of one that is full.
    BackoffUnreadable {
        /// The back end.
        back_end: BackEndName,
    },
}
