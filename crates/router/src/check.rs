//! Offline check of settings and object files.

use std::fmt;
use std::path::{Path, PathBuf};

use crate::settings;

/// One problem of one file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CheckProblem {
    /// Where: file, and line or object where known.
    pub place: String,
    /// What is wrong, and the remedy.
    pub message: String,
}

impl fmt::Display for CheckProblem {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}: {}", self.place, self.message)
    }
}

/// Checks every file and returns every problem, in the order of the files.
pub fn check(files: &[PathBuf]) -> Vec<CheckProblem> {
    files.iter().flat_map(|file| check_file(file)).collect()
}

fn check_file(file: &Path) -> Vec<CheckProblem> {
    settings::examine(file)
        .into_iter()
        .map(|problem| CheckProblem {
            place: problem.place.to_string(),
            message: problem.kind.to_string(),
        })
        .collect()
}
