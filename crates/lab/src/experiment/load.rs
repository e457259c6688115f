//! Load files: the requests that the callers of one partner send, and the
//! behavior of the back ends that execute them.

use serde::{Deserialize, Serialize};
use threadledge_types::ServiceId;

use crate::load::TrafficSettings;
use crate::stand_in::back_end::{ColdStart, ServiceTimeSettings};

/// The load of one partner.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Load {
    /// Behavior of the back ends of each service.
    pub service: Vec<ServiceLoad>,
    /// Kinds of requests.
    pub traffic: Vec<TrafficSettings>,
    /// Direct calls without a router, as the latency baseline.
    pub direct: Option<DirectLoad>,
}

/// Behavior of the back ends of one service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct ServiceLoad {
    /// The service.
    pub service: ServiceId,
    /// Distribution of service times.
    pub service_time: ServiceTimeSettings,
    /// Slowdown after the start of a process.
    pub cold_start: ColdStart,
    /// Maximum number of requests waiting for a slot at one back end.
    pub queue: u32,
    /// Delay of a new connection, in milliseconds.
    pub connect_ms: u64,
    /// Delay of the response to a health or load probe, in milliseconds.
    pub probe_ms: u64,
    /// Maximum age of the reported load, in milliseconds.
    pub report_lag_ms: u64,
    /// Time to prepare for a slice, in milliseconds.
    pub prepare_ms: u64,
}

/// Direct calls to a back end without a router.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct DirectLoad {
    /// Service whose back ends the direct one imitates.
    pub imitates: ServiceId,
    /// Requests per second.
    pub per_second: f64,
}
