//! Load files: what the callers of one partner send, and how long the back
//! ends take for it.

use serde::{Deserialize, Serialize};
use threadledge_types::ServiceId;

use crate::load::TrafficSettings;
use crate::stand_in::back_end::{ColdStart, ServiceTimeSettings};

/// The load of one partner.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Load {
    /// How the back ends of each service behave.
    pub service: Vec<ServiceLoad>,
    /// The kinds of requests.
    pub traffic: Vec<TrafficSettings>,
    /// Calls without a router, as the baseline.
    pub direct: Option<DirectLoad>,
}

/// How the back ends of one service behave.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct ServiceLoad {
    /// Which service.
    pub service: ServiceId,
    /// How long requests take.
    pub service_time: ServiceTimeSettings,
    /// Slowness after the start.
    pub cold_start: ColdStart,
    /// Requests that may wait for a slot at one back end.
    pub queue: u32,
    /// Time for a new connection, in milliseconds.
    pub connect_ms: u64,
    /// Time for a health or load probe, in milliseconds.
    pub probe_ms: u64,
    /// Age that reported health and load may have, in milliseconds.
    pub report_lag_ms: u64,
    /// Time to make ready for a slice, in milliseconds.
    pub prepare_ms: u64,
}

/// Calls without a router.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct DirectLoad {
    /// Service whose back ends the direct one is like.
    pub imitates: ServiceId,
    /// Requests a second.
    pub per_second: f64,
}
