//! Reads experiment files.

use std::path::{Path, PathBuf};
use std::time::Duration;

use serde::Deserialize;
use serde::de::DeserializeOwned;

use super::bounds::Bounds;
use super::fault::Fault;
use super::load::Load;
use crate::load::Surge;

/// Maximum duration of the load of an experiment.
pub const MAX_DURATION: Duration = Duration::from_secs(3_600);

/// An experiment, including the content of its load files.
#[derive(Clone, Debug, PartialEq)]
pub struct Experiment {
    /// Name used in reports.
    pub name: String,
    /// Description of its purpose.
    pub description: String,
    /// Directories of the deployments that run together.
    pub deployments: Vec<PathBuf>,
    /// Load of each partner.
    pub loads: Vec<Load>,
    /// Duration of the load.
    pub duration: Duration,
    /// Faults, ordered by time.
    pub faults: Vec<Fault>,
    /// Intervals in which the load is multiplied by a factor.
    pub surges: Vec<Surge>,
    /// Bounds on the measures.
    pub bounds: Bounds,
}

/// The schema of an experiment file.
#[derive(Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
struct ExperimentFile {
    name: String,
    description: String,
    deployments: Vec<PathBuf>,
    loads: Vec<PathBuf>,
    duration_ms: u64,
    #[serde(default)]
    fault: Vec<Fault>,
    #[serde(default)]
    surge: Vec<Surge>,
    #[serde(default)]
    bounds: Bounds,
}

/// An experiment could not be read.
#[derive(Debug, thiserror::Error)]
pub enum ExperimentError {
    /// A file cannot be read.
    #[error("{path}: {cause}; give the path of an experiment file; 'list' shows those available")]
    File {
        /// The file.
        path: PathBuf,
        /// The I/O error.
        cause: std::io::Error,
    },
    /// A file does not match the schema.
    #[error("{path}: {cause}; docs/lab.md describes the format")]
    Parse {
        /// The file.
        path: PathBuf,
        /// The parse error, with its position.
        cause: Box<toml::de::Error>,
    },
    /// A value is invalid.
    #[error("{path}: {problem}")]
    Value {
        /// The file.
        path: PathBuf,
        /// Description of the problem and how to correct it.
        problem: String,
    },
}

/// Reads an experiment and its load files. Paths in an experiment are relative
/// to its directory.
///
/// # Errors
///
/// Fails if a file cannot be read or is invalid.
pub fn read(path: &Path) -> Result<Experiment, ExperimentError> {
    let file: ExperimentFile = read_toml(path)?;
    let directory = path.parent().unwrap_or(Path::new("."));
    let duration = Duration::from_millis(file.duration_ms);
    if duration.is_zero() || duration > MAX_DURATION {
        return Err(value_error(
            path,
            "duration-ms must lie between 1 and 3600000",
        ));
    }
    let mut faults = file.fault;
    faults.sort_by_key(|fault| fault.at_ms);
    let late = faults.iter().find(|fault| fault.at_ms >= file.duration_ms);
    if let Some(fault) = late {
        let problem = format!(
            "'{}' comes at {} ms, after the load; move it before duration-ms",
            fault.action, fault.at_ms
        );
        return Err(value_error(path, &problem));
    }
    let loads = file.loads.iter();
    Ok(Experiment {
        name: file.name,
        description: file.description,
        deployments: file
            .deployments
            .iter()
            .map(|deployment| directory.join(deployment))
            .collect(),
        loads: loads
            .map(|load| read_toml(&directory.join(load)))
            .collect::<Result<_, _>>()?,
        duration,
        faults,
        surges: file.surge,
        bounds: file.bounds,
    })
}

/// Changes the duration of an experiment. The times of faults and surges are
/// scaled, so that a shorter run still contains all of them.
pub fn set_duration(experiment: &mut Experiment, duration: Duration) {
    let ratio = duration.as_secs_f64() / experiment.duration.as_secs_f64();
    for fault in &mut experiment.faults {
        fault.at_ms = (fault.at_ms as f64 * ratio) as u64;
    }
    for surge in &mut experiment.surges {
        surge.from_ms = (surge.from_ms as f64 * ratio) as u64;
        surge.until_ms = (surge.until_ms as f64 * ratio) as u64;
    }
    experiment.duration = duration;
}

/// Returns all experiments under `directory`, ordered by path: every TOML file
/// that can be read as an experiment.
///
/// # Errors
///
/// Fails if the directory cannot be read.
pub fn list(directory: &Path) -> Result<Vec<(PathBuf, Experiment)>, ExperimentError> {
    let mut found = Vec::new();
    for path in toml_files(directory)? {
        // The directories also contain load files, which are skipped.
        if let Ok(experiment) = read(&path) {
            found.push((path, experiment));
        }
    }
    Ok(found)
}

/// Returns all TOML files under a directory, ordered by path.
fn toml_files(directory: &Path) -> Result<Vec<PathBuf>, ExperimentError> {
    let file_error = |cause| ExperimentError::File {
        path: directory.to_owned(),
        cause,
    };
    let mut files = Vec::new();
    for entry in std::fs::read_dir(directory).map_err(file_error)? {
        let path = entry.map_err(file_error)?.path();
        if path.is_dir() {
            files.extend(toml_files(&path)?);
        } else if path
            .extension()
            .is_some_and(|extension| extension == "toml")
        {
            files.push(path);
        }
    }
    files.sort();
    Ok(files)
}

fn read_toml<T: DeserializeOwned>(path: &Path) -> Result<T, ExperimentError> {
    let text = std::fs::read_to_string(path).map_err(|cause| ExperimentError::File {
        path: path.to_owned(),
        cause,
    })?;
    toml::from_str(&text).map_err(|cause| ExperimentError::Parse {
        path: path.to_owned(),
        cause: Box::new(cause),
    })
}

fn value_error(path: &Path, problem: &str) -> ExperimentError {
    ExperimentError::Value {
        path: path.to_owned(),
        problem: problem.to_owned(),
    }
}
