//! Settings of one partner's callers.

use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use threadledge_types::{ServiceId, Timestamp};

use super::popularity::PopularitySettings;

/// The callers of one partner.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct CallerSettings {
    /// Caller addresses of the routers, in the order of their numbers.
    pub routers: Vec<SocketAddr>,
    /// The kinds of requests sent.
    pub traffic: Vec<TrafficSettings>,
    /// A back end called without a router, to measure what routers add.
    pub direct: Option<DirectSettings>,
    /// First moment of load, by the clock of the run.
    pub begin: Timestamp,
    /// Last moment of load, by the clock of the run.
    pub end: Timestamp,
    /// Seed of arrivals and keys.
    pub seed: u64,
    /// First request number; ranges of different callers do not meet.
    pub first_request: u64,
    /// Stretches with another load.
    #[serde(default)]
    pub surges: Vec<Surge>,
}

/// A stretch of time in which the load is another.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Surge {
    /// Begin, in milliseconds since the load began.
    pub from_ms: u64,
    /// End, exclusive, in milliseconds since the load began.
    pub until_ms: u64,
    /// The load is this many times as high.
    pub factor: f64,
}

/// Factor of the load at a time since it began: that of the first surge that
/// lasts, or 1.
pub fn load_factor(surges: &[Surge], since_begin: Duration) -> f64 {
    let now = since_begin.as_millis();
    let lasts =
        |surge: &&Surge| (u128::from(surge.from_ms)..u128::from(surge.until_ms)).contains(&now);
    surges.iter().find(lasts).map_or(1.0, |surge| surge.factor)
}

/// One kind of request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct TrafficSettings {
    /// Service that the requests belong to.
    pub service: ServiceId,
    /// Host header.
    pub host: String,
    /// Method.
    pub method: String,
    /// Path with query; `{key}` is replaced by the key.
    pub path: String,
    /// Header that carries the key, if the path does not.
    #[serde(default)]
    pub key_header: Option<String>,
    /// Requests a second, on average.
    pub per_second: f64,
    /// Whether the requests may be carried out more than once.
    pub repeatable: bool,
    /// Longest time the caller waits, in milliseconds.
    pub patience_ms: u64,
    /// Times that the caller sends a failed request again at once, as far as
    /// that cannot run one twice that must not be repeated.
    #[serde(default)]
    pub retries_at_once: usize,
    /// Which keys are asked for, and how often.
    pub popularity: PopularitySettings,
}

/// Calls without a router.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct DirectSettings {
    /// Service under which the calls are recorded.
    pub service: ServiceId,
    /// Request address of the back end.
    pub address: SocketAddr,
    /// Control address of the back end.
    pub control_address: SocketAddr,
    /// Name of the back end.
    pub back_end: threadledge_types::BackEndId,
    /// Requests a second, on average.
    pub per_second: f64,
}
