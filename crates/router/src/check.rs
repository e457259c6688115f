//! Offline check of settings and object files.
//!
//! Settings files end in `.toml`, object files in `.json`, `.yaml` or `.yml`.
//! All object files of one run are judged together, because a host or an
//! address may be claimed once only.

mod objects;

use std::fmt;
use std::path::{Path, PathBuf};

use thiserror::Error;
use threadledge_types::validation;

use crate::gateway::GatewaySettings;
use crate::settings::{self, SettingsProblem};

/// One problem and where it stands.
#[derive(Clone, Debug, PartialEq)]
pub struct CheckProblem {
    /// The file, with line and column where they are known.
    pub location: String,
    /// What is wrong, and the remedy.
    pub kind: CheckProblemKind,
}

/// What is wrong.
#[derive(Clone, Debug, Error, PartialEq)]
pub enum CheckProblemKind {
    /// In a settings file.
    #[error(transparent)]
    Settings(SettingsProblem),
    /// In the settings of a gateway.
    #[error("{0}")]
    Gateway(String),
    /// In an object.
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
    /// The name does not tell what the file holds.
    #[error("has an unknown ending; name settings .toml, and objects .json, .yaml or .yml")]
    UnknownExtension,
}

impl fmt::Display for CheckProblem {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}: {}", self.location, self.kind)
    }
}

/// Checks every file and returns every problem, in the order of the files;
/// problems that only all object files together show come last.
pub fn check(files: &[PathBuf]) -> Vec<CheckProblem> {
    let mut objects = objects::ObjectFiles::default();
    let mut problems = Vec::new();
    for file in files {
        match ending(file) {
            "toml" if is_for_gateway(file) => problems.extend(check_gateway(file)),
            "toml" => problems.extend(check_settings(file)),
            "json" | "yaml" | "yml" => problems.extend(objects.add(file)),
            _ => problems.push(CheckProblem {
                location: file.display().to_string(),
                kind: CheckProblemKind::UnknownExtension,
            }),
        }
    }
    problems.extend(objects.finish());
    problems
}

fn ending(file: &Path) -> &str {
    file.extension()
        .and_then(|ending| ending.to_str())
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

/// Settings of a gateway say where to listen in a table of their own.
fn is_for_gateway(file: &Path) -> bool {
    let text = std::fs::read_to_string(file).unwrap_or_default();
    let table: Option<toml::Table> = text.parse().ok();
    table.is_some_and(|table| table.contains_key("listen"))
}

fn check_gateway(file: &Path) -> Option<CheckProblem> {
    let fault = GatewaySettings::read(file).err()?;
    Some(CheckProblem {
        location: file.display().to_string(),
        kind: CheckProblemKind::Gateway(fault.to_string()),
    })
}
