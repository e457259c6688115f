//! The JSON form of a report.

use std::collections::BTreeMap;
use std::path::{Path, PathBuf};

use serde::{Deserialize, Serialize};

use crate::baseline::BaselineReport;
use crate::checks::Violation;
use crate::measures::{
    Churn, Goodput, Imbalance, Latencies, Outcomes, OwnershipStretch, TimelinePoint, Unavailable,
};

/// Version of the form. It grows when a field changes its meaning or goes;
/// fields may be added without.
pub const REPORT_VERSION: u32 = 1;

/// Everything measured in one run.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// [`REPORT_VERSION`] of the writer.
    pub version: u32,
    /// Name of the experiment.
    pub experiment: String,
    /// Deployments that ran.
    pub deployments: Vec<String>,
    /// Seed of the run.
    pub seed: u64,
    /// Time under load, in milliseconds.
    pub duration_ms: u64,
    /// Number of breaches of the guarantees.
    pub violations: usize,
    /// The first of these breaches.
    pub violation_details: Vec<Violation>,
    /// Bounds of the experiment that did not hold.
    pub breached_bounds: Vec<BoundBreach>,
    /// Requests by outcome.
    pub outcomes: Outcomes,
    /// Latency of answered requests from their intended time.
    pub latency_ms: Latencies,
    /// Worst imbalance by load of any service: busiest over mean.
    pub imbalance: f64,
    /// Imbalance of each service.
    pub imbalance_by_service: BTreeMap<String, Imbalance>,
    /// Share of keys that changed owner, summed over changes and services.
    pub churn: f64,
    /// Churn in detail.
    pub churn_details: Churn,
    /// Longest time that a key or its requests had no server.
    pub unavailable_ms: f64,
    /// Unavailable time in detail.
    pub unavailable_details: Unavailable,
    /// Longest time from acceptance to force on every router; null when
    /// nothing was accepted under load.
    pub configuration_in_force_ms: Option<f64>,
    /// Faults caused.
    pub faults: Vec<FaultMark>,
    /// Answered, failed and latency over time.
    #[serde(default)]
    pub timeline: Vec<TimelinePoint>,
    /// Requests that each back end carried out, by `namespace/name`.
    #[serde(default)]
    pub back_end_requests: BTreeMap<String, u64>,
    /// Share of all points that each back end owned over time, for the
    /// services together.
    #[serde(default)]
    pub ownership: Vec<OwnershipStretch>,
    /// Slowest time until all routers served after their start.
    pub ready_ms: u64,
    /// Requests offered and answered in each stretch of constant load.
    #[serde(default)]
    pub goodput: Vec<Goodput>,
    /// The same measures for the baselines that ran beside the product.
    #[serde(default)]
    pub baselines: Option<BaselineReport>,
}

/// One fault of a run.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct FaultMark {
    /// Time since the load began, in milliseconds.
    pub at_ms: u64,
    /// What was done.
    pub what: String,
}

/// A bound that did not hold.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct BoundBreach {
    /// Name of the bound.
    pub bound: String,
    /// What was allowed.
    pub allowed: f64,
    /// What was measured; null when the run gave no figure.
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
        /// What failed.
        cause: std::io::Error,
    },
    /// The file is no report.
    #[error("{path} is not a report ({cause}); write one with --report")]
    Form {
        /// The file.
        path: PathBuf,
        /// What failed.
        cause: serde_json::Error,
    },
    /// A picture cannot be drawn.
    #[error("a picture cannot be drawn ({0}); leave --page out for the table alone")]
    Picture(String),
    /// The file was written by another version.
    #[error("{path} has report version {found}, not {REPORT_VERSION}; run the experiment again")]
    Version {
        /// The file.
        path: PathBuf,
        /// Its version.
        found: u32,
    },
}

impl Report {
    /// Whether every guarantee and every bound held.
    pub fn passed(&self) -> bool {
        self.violations == 0 && self.breached_bounds.is_empty()
    }

    /// Writes the report as JSON.
    ///
    /// # Errors
    ///
    /// The file cannot be written.
    pub fn write(&self, path: &Path) -> Result<(), ReportError> {
        let text = serde_json::to_vec_pretty(self).map_err(|cause| ReportError::Form {
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
    /// The file cannot be read, is no report, or has another version.
    pub fn read(path: &Path) -> Result<Report, ReportError> {
        let text = std::fs::read(path).map_err(|cause| ReportError::File {
            path: path.to_owned(),
            cause,
        })?;
        let report: Report = serde_json::from_slice(&text).map_err(|cause| ReportError::Form {
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
