//! Offline check of settings and object files.
//!
//! Settings files end in `.toml`, object files in `.json`, `.yaml` or `.yml`.
//! All object files of a run are validated together, because each host and each
//! address may be claimed only once.

mod objects;

use std::fmt;
use std::path::{Path, PathBuf};

use thiserror::Error;
use threadledge_types::validation;

use crate::gateway::GatewaySettings;
use crate::settings::{self, SettingsProblem};

/// A problem and its location.
#[derive(Clone, Debug, PartialEq)]
pub struct CheckProblem {
    /// The file, with line and column if known.
    pub location: String,
    /// The kind of problem. Its text includes the remedy.
    pub kind: CheckProblemKind,
}

/// Kind of a problem.
#[derive(Clone, Debug, Error, PartialEq)]
pub enum CheckProblemKind {
    /// A problem in a settings file.
    #[error(transparent)]
    Settings(SettingsProblem),
    /// A problem in the settings of a gateway.
    #[error("{0}")]
    Gateway(String),
    /// A problem in an object.
    #[error(transparent)]
    Object(validation::Problem),
    /// The file cannot be read.
    #[error("cannot be read ({0}); give the path of a readable file")]
    Unreadable(String),
    /// The text is neither JSON nor YAML.
    #[error("cannot be parsed: {0}; correct the syntax")]
    Syntax(String),
    /// The file holds no object.
    #[error("holds no object; add one, or leave the file out")]
    Empty,
    /// The extension does not determine the file's type.
    #[error("has an unknown extension; name settings .toml, and objects .json, .yaml or .yml")]
    UnknownExtension,
}

impl fmt::Display for CheckProblem {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}: {}", self.location, self.kind)
    }
}

/// Checks every file and returns all problems in the order of the files.
/// Conflicts between objects come last.
pub fn check(files: &[PathBuf]) -> Vec<CheckProblem> {
    let mut objects = objects::ObjectFiles::default();
    let mut problems = Vec::new();
    for file in files {
        match extension(file) {
            "toml" if is_for_gateway(file) => problems.extend(check_gateway(file)),
            "toml" => problems.extend(check_settings(file)),
            "json" | "yaml" | "yml" => problems.extend(objects.add(file)),
            _ => problems.push(CheckProblem {
                location: file.display().to_string(),
                kind: CheckProblemKind::UnknownExtension,
            }),
        }
    }
    problems.extend(objects.cross_object_problems());
    problems
}

fn extension(file: &Path) -> &str {
    file.extension()
        .and_then(|extension| extension.to_str())
        .unwrap_or_default()
}

fn check_settings(file: &Path) -> impl Iterator<Item = CheckProblem> {
    settings::find_problems(file)
        .into_iter()
        .map(|problem| CheckProblem {
            location: problem.location.to_string(),
            kind: CheckProblemKind::Settings(problem.kind),
        })
}

/// Returns whether a settings file is for a gateway: only those have a table
/// `listen`.
fn is_for_gateway(file: &Path) -> bool {
    let text = std::fs::read_to_string(file).unwrap_or_default();
    let table: Option<toml::Table> = text.parse().ok();
    table.is_some_and(|table| table.contains_key("listen"))
}

fn check_gateway(file: &Path) -> Option<CheckProblem> {
    let error = GatewaySettings::read(file).err()?;
    Some(CheckProblem {
        location: file.display().to_string(),
        kind: CheckProblemKind::Gateway(error.to_string()),
    })
}
