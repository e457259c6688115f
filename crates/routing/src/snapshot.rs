//! Snapshot of the dispatcher's load, for status pages and metrics.

use std::sync::Arc;
use std::time::Duration;

use threadledge_types::{BackEndId, Timestamp};

/// Current load of the dispatcher.
#[derive(Clone, Debug, PartialEq)]
pub struct LoadSnapshot {
    /// Number of exchanges, running and waiting.
    pub exchanges: u32,
    /// Load of each namespace that holds exchanges, by name.
    pub namespaces: Vec<NamespaceLoad>,
    /// Load of each back end, in the order in which they became known.
    pub back_ends: Vec<BackEndLoad>,
}

/// Load of one namespace.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NamespaceLoad {
    /// The namespace.
    pub namespace: Arc<str>,
    /// Number of its exchanges.
    pub exchanges: u32,
    /// Number of its exchanges that wait with nothing sent.
    pub waiting: usize,
}

/// Load and limits of one back end.
#[derive(Clone, Debug, PartialEq)]
pub struct BackEndLoad {
    /// The back end.
    pub back_end: Arc<BackEndId>,
    /// Number of requests that hold a slot.
    pub in_flight: u32,
    /// Number of concurrent requests allowed now.
    pub allowed: u32,
    /// Number of connections allowed.
    pub connection_limit: u32,
    /// Number of requests that wait for a slot.
    pub queued: usize,
    /// Whether it is ejected on passive evidence.
    pub ejected: bool,
    /// Whether it gets new requests.
    pub takes_new_work: bool,
    /// Moving average of the latest response times.
    pub response_time: Option<Duration>,
}

/// Event for the operator's log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Notice {
    /// A back end was ejected on passive evidence.
    Ejected {
        /// The back end.
        back_end: Arc<BackEndId>,
        /// Time from which the next probe is let through.
        until: Timestamp,
    },
    /// An ejected back end was readmitted.
    Readmitted {
        /// The back end.
        back_end: Arc<BackEndId>,
    },
}
