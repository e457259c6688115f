//! Settings of one partner's callers.

use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use threadledge_types::{ServiceId, Timestamp};

use super::popularity::PopularitySettings;

/// Settings of the callers of one partner.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct CallerSettings {
    /// Caller addresses of the routers, ordered by router number.
    pub routers: Vec<SocketAddr>,
    /// Kinds of requests to send.
    pub traffic: Vec<TrafficSettings>,
    /// A back end called without a router, to measure what routers add.
    pub direct: Option<DirectSettings>,
    /// Start of the load, by the clock of the run.
    pub begin: Timestamp,
    /// End of the load, by the clock of the run.
    pub end: Timestamp,
    /// Seed of arrivals and keys.
    pub seed: u64,
    /// First request id; the ranges of different callers do not overlap.
    pub first_request: u64,
    /// Intervals in which the load is multiplied by a factor.
    #[serde(default)]
    pub surges: Vec<Surge>,
}

/// An interval in which the load is multiplied by a factor.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Surge {
    /// Start, in milliseconds since the load began.
    pub from_ms: u64,
    /// End, exclusive, in milliseconds since the load began.
    pub until_ms: u64,
    /// Multiple of the normal load.
    pub factor: f64,
}

/// Returns the factor of the load at a time since it began: that of the first
/// surge in progress, or 1.
pub fn load_factor(surges: &[Surge], since_begin: Duration) -> f64 {
    let now = since_begin.as_millis();
    let in_progress =
        |surge: &&Surge| (u128::from(surge.from_ms)..u128::from(surge.until_ms)).contains(&now);
    surges
        .iter()
        .find(in_progress)
        .map_or(1.0, |surge| surge.factor)
}

/// One kind of request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct TrafficSettings {
    /// Service that the requests belong to.
    pub service: ServiceId,
    /// Value of the `Host` header.
    pub host: String,
    /// HTTP method.
    pub method: String,
    /// Path with query; `{key}` is replaced with the key.
    pub path: String,
    /// Header that carries the key, if the path does not contain it.
    #[serde(default)]
    pub key_header: Option<String>,
    /// Requests a second, on average.
    pub per_second: f64,
    /// Whether the requests may be executed more than once.
    pub repeatable: bool,
    /// Timeout of the caller for a request with all its attempts, in
    /// milliseconds.
    pub patience_ms: u64,
    /// Number of immediate retries of a failed request, made only if a request
    /// that must not be repeated cannot run twice.
    #[serde(default)]
    pub retries_at_once: usize,
    /// Popularity of the requested keys.
    pub popularity: PopularitySettings,
}

/// Settings of direct calls to a back end without a router.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct DirectSettings {
    /// Service under which the calls are recorded.
    pub service: ServiceId,
    /// Request address of the back end.
    pub address: SocketAddr,
    /// Control address of the back end.
    pub control_address: SocketAddr,
    /// Id of the back end.
    pub back_end: threadledge_types::BackEndId,
    /// Requests a second, on average.
    pub per_second: f64,
}
