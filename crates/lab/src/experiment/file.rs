//! Reading experiment files.

use std::path::{Path, PathBuf};
use std::time::Duration;

use serde::Deserialize;
use serde::de::DeserializeOwned;

use super::bounds::Bounds;
use super::fault::Fault;
use super::load::Load;
use crate::load::Surge;

/// Longest time under load that an experiment may ask for.
pub const LONGEST_DURATION: Duration = Duration::from_secs(3_600);

/// One experiment with its load files read.
#[derive(Clone, Debug, PartialEq)]
pub struct Experiment {
    /// Name, for reports.
    pub name: String,
    /// What it shows.
    pub description: String,
    /// Directories of the deployments that run together.
    pub deployments: Vec<PathBuf>,
    /// Load of each partner.
    pub loads: Vec<Load>,
    /// Time under load.
    pub duration: Duration,
    /// Faults in the order of their times.
    pub faults: Vec<Fault>,
    /// Stretches with another load.
    pub surges: Vec<Surge>,
    /// Bounds to hold.
    pub bounds: Bounds,
}

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

/// An experiment cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum ExperimentError {
    /// A file cannot be read.
    #[error("{path}: {cause}; give the path of an experiment, 'list' shows them")]
    File {
        /// The file.
        path: PathBuf,
        /// What failed.
        cause: std::io::Error,
    },
    /// A file is not of the form.
    #[error("{path}: {cause}; docs/lab.md describes the form")]
    Form {
        /// The file.
        path: PathBuf,
        /// What is wrong, with its place.
        cause: Box<toml::de::Error>,
    },
    /// A value cannot be used.
    #[error("{path}: {problem}")]
    Value {
        /// The file.
        path: PathBuf,
        /// What is wrong and what to write.
        problem: String,
    },
}

/// Reads an experiment and its load files; paths in it are relative to it.
///
/// # Errors
///
/// A file that cannot be read or used.
pub fn read(path: &Path) -> Result<Experiment, ExperimentError> {
    let file: ExperimentFile = read_toml(path)?;
    let directory = path.parent().unwrap_or(Path::new("."));
    let duration = Duration::from_millis(file.duration_ms);
    if duration.is_zero() || duration > LONGEST_DURATION {
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

/// Runs `experiment` for another time under load. Faults keep their share of
/// the time, so that a shorter run still has them all.
pub fn shorten(experiment: &mut Experiment, duration: Duration) {
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

/// Experiments under `directory`, by path: every TOML file that is one.
///
/// # Errors
///
/// The directory cannot be read.
pub fn list(directory: &Path) -> Result<Vec<(PathBuf, Experiment)>, ExperimentError> {
    let mut found = Vec::new();
    for path in toml_files(directory)? {
        // Load files lie beside experiments and are no experiments.
        if let Ok(experiment) = read(&path) {
            found.push((path, experiment));
        }
    }
    Ok(found)
}

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
    toml::from_str(&text).map_err(|cause| ExperimentError::Form {
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
