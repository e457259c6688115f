//! The JSON schema of a report.

use std::collections::BTreeMap;
use std::path::{Path, PathBuf};

use serde::{Deserialize, Serialize};

use crate::baseline::BaselineReport;
use crate::checks::Violation;
use crate::measures::{
    Churn, Goodput, Imbalance, Latencies, Outcomes, OwnershipInterval, TimelinePoint, Unavailable,
};

/// Version of the schema. It is incremented when a field changes its meaning or
/// is removed, but not when fields are added.
pub const REPORT_VERSION: u32 = 1;

/// The results of one run.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// [`REPORT_VERSION`] of the program that wrote the report.
    pub version: u32,
    /// Name of the experiment.
    pub experiment: String,
    /// Deployments that ran.
    pub deployments: Vec<String>,
    /// Seed of the run.
    pub seed: u64,
    /// Duration of the load, in milliseconds.
    pub duration_ms: u64,
    /// Number of violations of the guarantees.
    pub violations: usize,
    /// The first of these violations.
    pub violation_details: Vec<Violation>,
    /// Bounds of the experiment that were exceeded.
    pub breached_bounds: Vec<BoundBreach>,
    /// Requests by outcome.
    pub outcomes: Outcomes,
    /// Latency of answered requests from their intended send time.
    pub latency_ms: Latencies,
    /// Worst load imbalance of any service: maximum over back ends divided by
    /// the mean.
    pub imbalance: f64,
    /// Imbalance of each service.
    pub imbalance_by_service: BTreeMap<String, Imbalance>,
    /// Share of keys that changed owner, summed over changes and services.
    pub churn: f64,
    /// Details of the churn.
    pub churn_details: Churn,
    /// Longest time that a key had no owner or a request no server, in
    /// milliseconds.
    pub unavailable_ms: f64,
    /// Details of the unavailable time.
    pub unavailable_details: Unavailable,
    /// Longest time from the acceptance of configuration until a router had it,
    /// in milliseconds; null if nothing was accepted under load.
    pub configuration_in_force_ms: Option<f64>,
    /// Injected faults.
    pub faults: Vec<FaultMark>,
    /// Requests and latency over time.
    #[serde(default)]
    pub timeline: Vec<TimelinePoint>,
    /// Number of executions at each back end, by `namespace/name`.
    #[serde(default)]
    pub back_end_requests: BTreeMap<String, u64>,
    /// Share of each service's points that each back end owned over time.
    #[serde(default)]
    pub ownership: Vec<OwnershipInterval>,
    /// Time from the start of the routers until all of them were ready, in
    /// milliseconds.
    pub ready_ms: u64,
    /// Goodput in each interval of constant load.
    #[serde(default)]
    pub goodput: Vec<Goodput>,
    /// Comparison with the baselines that ran in parallel with the product.
    #[serde(default)]
    pub baselines: Option<BaselineReport>,
}

/// One fault of a run.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct FaultMark {
    /// Time since the load began, in milliseconds.
    pub at_ms: u64,
    /// Description of the fault.
    pub what: String,
}

/// A bound that was exceeded.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct BoundBreach {
    /// Name of the bound.
    pub bound: String,
    /// The allowed value.
    pub allowed: f64,
    /// The measured value; null if the run has none.
    pub measured: Option<f64>,
}

/// A report could not be read or written.
#[derive(Debug, thiserror::Error)]
pub enum ReportError {
    /// The file cannot be read or written.
    #[error("{path}: {cause}; give the path of a report that can be read or written")]
    File {
        /// The file.
        path: PathBuf,
        /// The I/O error.
        cause: std::io::Error,
    },
    /// The content is not a report.
    #[error("{path} is not a report ({cause}); write one with --report")]
    Parse {
        /// The file.
        path: PathBuf,
        /// The JSON error.
        cause: serde_json::Error,
    },
    /// A chart cannot be drawn.
    #[error("a chart cannot be drawn ({0}); omit --page to print only the table")]
    Chart(String),
    /// The file has another schema version.
    #[error("{path} has report version {found}, not {REPORT_VERSION}; run the experiment again")]
    Version {
        /// The file.
        path: PathBuf,
        /// Its version.
        found: u32,
    },
}

impl Report {
    /// Returns whether no guarantee was violated and no bound exceeded.
    pub fn passed(&self) -> bool {
        self.violations == 0 && self.breached_bounds.is_empty()
    }

    /// Writes the report as JSON.
    ///
    /// # Errors
    ///
    /// Fails if the file cannot be written.
    pub fn write(&self, path: &Path) -> Result<(), ReportError> {
        let text = serde_json::to_vec_pretty(self).map_err(|cause| ReportError::Parse {
            path: path.to_owned(),
            cause,
        })?;
        std::fs::write(path, text).map_err(|cause| ReportError::File {
            path: path.to_owned(),
            cause,
        })
    }

    /// Reads a report.
    ///
    /// # Errors
    ///
    /// Fails if the file cannot be read, is not a report, or has another
    /// version.
    pub fn read(path: &Path) -> Result<Report, ReportError> {
        let text = std::fs::read(path).map_err(|cause| ReportError::File {
            path: path.to_owned(),
            cause,
        })?;
        let report: Report = serde_json::from_slice(&text).map_err(|cause| ReportError::Parse {
            path: path.to_owned(),
            cause,
        })?;
        if report.version != REPORT_VERSION {
            return Err(ReportError::Version {
                path: path.to_owned(),
                found: report.version,
            });
        }
        Ok(report)
    }
}
