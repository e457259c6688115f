//! A picture of the dispatcher's load, for status pages and metrics.

use std::sync::Arc;
use std::time::Duration;

use threadledge_types::{BackEndId, Timestamp};

/// What the dispatcher holds now.
#[derive(Clone, Debug, PartialEq)]
pub struct LoadSnapshot {
    /// Exchanges, running and waiting.
    pub exchanges: u32,
    /// For each namespace that holds some, by name.
    pub namespaces: Vec<NamespaceLoad>,
    /// For each back end, in the order in which they became known.
    pub back_ends: Vec<BackEndLoad>,
}

/// What one namespace holds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NamespaceLoad {
    /// Which namespace.
    pub namespace: Arc<str>,
    /// Its exchanges.
    pub exchanges: u32,
    /// Those of them that wait with nothing sent.
    pub waiting: usize,
}

/// Load and limits of one back end.
#[derive(Clone, Debug, PartialEq)]
pub struct BackEndLoad {
    /// Which back end.
    pub back_end: Arc<BackEndId>,
    /// Requests that hold a slot.
    pub in_flight: u32,
    /// Requests allowed at once now.
    pub allowed: u32,
    /// Connections allowed.
    pub connection_limit: u32,
    /// Requests that wait for a slot.
    pub queued: usize,
    /// Ejected on passive evidence.
    pub ejected: bool,
    /// Gets new requests.
    pub takes_new_work: bool,
    /// Mean of the latest answer times.
    pub response_time: Option<Duration>,
}

/// Something an operator may want to see in the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Notice {
    /// A back end was ejected on passive evidence.
    Ejected {
        /// Which back end.
        back_end: Arc<BackEndId>,
        /// When the next request is let through.
        until: Timestamp,
    },
    /// An ejected back end is back.
    Readmitted {
        /// Which back end.
        back_end: Arc<BackEndId>,
    },
}
