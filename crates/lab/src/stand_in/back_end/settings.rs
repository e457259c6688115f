//! Settings of stand-in back ends.

use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use threadledge_types::BackEndId;

/// Settings of one back end.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct BackEndSettings {
    /// Id of the back end.
    pub id: BackEndId,
    /// Address for requests.
    pub address: SocketAddr,
    /// Address for leases, health and load.
    pub control_address: SocketAddr,
    /// Maximum number of requests executed concurrently.
    pub slots: u32,
    /// Maximum number of open connections.
    pub connections: u32,
    /// Maximum number of requests waiting for a slot; more are refused.
    pub queue: u32,
    /// Distribution of service times.
    pub service_time: ServiceTimeSettings,
    /// Slowdown after the start of the process.
    pub cold_start: ColdStart,
    /// Delay of a new connection, in milliseconds.
    pub connect_ms: u64,
    /// Delay of the response to a health or load probe, in milliseconds.
    pub probe_ms: u64,
    /// Maximum age of the reported load, in milliseconds.
    pub report_lag_ms: u64,
    /// Time to prepare for a slice, in milliseconds.
    pub prepare_ms: u64,
    /// Seed of the service times.
    pub seed: u64,
}

/// A log-normal distribution of service times.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct ServiceTimeSettings {
    /// Median, in milliseconds.
    pub median_ms: f64,
    /// Standard deviation of the logarithm; with 0, every service time equals
    /// the median.
    pub spread: f64,
}

/// Slowdown after the start of a process.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct ColdStart {
    /// Duration, in milliseconds.
    pub for_ms: u64,
    /// Initial multiple of the service times, which falls to 1.
    pub factor: f64,
}

impl BackEndSettings {
    /// Returns the delay of a new connection.
    pub fn connect(&self) -> Duration {
        Duration::from_millis(self.connect_ms)
    }

    /// Returns the delay of a probe.
    pub fn probe(&self) -> Duration {
        Duration::from_millis(self.probe_ms)
    }

    /// Returns the maximum age of load reports.
    pub fn report_lag(&self) -> Duration {
        Duration::from_millis(self.report_lag_ms)
    }

    /// Returns the time to prepare for a slice.
    pub fn prepare(&self) -> Duration {
        Duration::from_millis(self.prepare_ms)
    }
}
