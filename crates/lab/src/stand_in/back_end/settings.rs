//! Settings of stand-in back ends.

use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use threadledge_types::BackEndId;

/// One back end.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct BackEndSettings {
    /// Which back end.
    pub id: BackEndId,
    /// Where requests come.
    pub address: SocketAddr,
    /// Where leases, health and load are exchanged.
    pub control_address: SocketAddr,
    /// Requests it carries out at once.
    pub slots: u32,
    /// Connections it accepts.
    pub connections: u32,
    /// Requests that may wait for a slot; more are refused.
    pub queue: u32,
    /// How long requests take.
    pub service_time: ServiceTimeSettings,
    /// Slowness after the start.
    pub cold_start: ColdStart,
    /// Time it takes for a new connection, in milliseconds.
    pub connect_ms: u64,
    /// Time it takes to answer a health or load probe, in milliseconds.
    pub probe_ms: u64,
    /// Age that reported health and load may have, in milliseconds.
    pub report_lag_ms: u64,
    /// Time it takes to make ready for a slice, in milliseconds.
    pub prepare_ms: u64,
    /// Seed of the service times.
    pub seed: u64,
}

/// A log-normal service time.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct ServiceTimeSettings {
    /// Median, in milliseconds.
    pub median_ms: f64,
    /// Standard deviation of the logarithm; 0 makes every time the median.
    pub spread: f64,
}

/// Slowness after the start of a process.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct ColdStart {
    /// How long it lasts, in milliseconds.
    pub for_ms: u64,
    /// Service times are this many times longer at first, falling to 1.
    pub factor: f64,
}

impl BackEndSettings {
    /// Time for a new connection.
    pub fn connect(&self) -> Duration {
        Duration::from_millis(self.connect_ms)
    }

    /// Time for a probe.
    pub fn probe(&self) -> Duration {
        Duration::from_millis(self.probe_ms)
    }

    /// Age of reports.
    pub fn report_lag(&self) -> Duration {
        Duration::from_millis(self.report_lag_ms)
    }

    /// Time to make ready for a slice.
    pub fn prepare(&self) -> Duration {
        Duration::from_millis(self.prepare_ms)
    }
}
