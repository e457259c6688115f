//! Errors of settings. Every message includes the remedy.

use std::fmt;
use std::path::PathBuf;

use thiserror::Error;

/// Location of a problem.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Location {
    /// A settings file.
    File {
        /// The file.
        path: PathBuf,
        /// Line and column, both from 1, where known.
        position: Option<(usize, usize)>,
    },
    /// A flag on the command line.
    Flag(&'static str),
    /// The settings as a whole.
    Whole,
}

impl Location {
    /// Returns the key by which problems are sorted: by position in the file, then
    /// those without a position, then flags.
    pub(super) fn sort_key(&self) -> (u8, usize, usize) {
        match self {
            Location::File {
                position: Some((line, column)),
                ..
            } => (0, *line, *column),
            Location::File { .. } => (1, 0, 0),
            Location::Whole => (2, 0, 0),
            Location::Flag(_) => (3, 0, 0),
        }
    }
}

impl fmt::Display for Location {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Location::File {
                path,
                position: Some((line, column)),
            } => write!(formatter, "{}:{line}:{column}", path.display()),
            Location::File { path, .. } => write!(formatter, "{}", path.display()),
            Location::Flag(flag) => write!(formatter, "--{flag}"),
            Location::Whole => formatter.write_str("settings"),
        }
    }
}

/// Kind of a problem in the settings.
#[derive(Clone, Debug, Error, PartialEq)]
pub enum SettingsProblem {
    /// The file cannot be read.
    #[error("cannot be read ({0}); give the path of a readable settings file")]
    Unreadable(String),
    /// The text is not TOML.
    #[error("is not TOML: {0}; correct the syntax")]
    Syntax(String),
    /// The key does not exist.
    #[error("unknown key '{key}'; {remedy}")]
    UnknownKey {
        /// The key.
        key: String,
        /// The suggested correction.
        remedy: String,
    },
    /// A required key is missing.
    #[error("'{key}' is missing; add it to the file or give --{flag}")]
    Missing {
        /// The key.
        key: String,
        /// Its flag.
        flag: &'static str,
    },
    /// The value has the wrong type.
    #[error("'{key}' is not {expected_type}; write {example}")]
    WrongType {
        /// The key.
        key: String,
        /// The expected type.
        expected_type: &'static str,
        /// An example of a valid value.
        example: String,
    },
    /// The value is not an IP address with a port; it may be a host name.
    #[error(
        "'{key}' is '{value}', which is not an IP number with a port; write for example 10.0.0.7:8080, host names are not looked up"
    )]
    NotAnAddress {
        /// The key.
        key: String,
        /// The value.
        value: String,
    },
    /// The address is 0.0.0.0 or [::].
    #[error(
        "'{key}' is the unspecified address {value}; write the IP number on which others reach this machine"
    )]
    UnspecifiedAddress {
        /// The key.
        key: &'static str,
        /// The value.
        value: String,
    },
    /// The port is 0, to which others cannot connect.
    #[error("'{key}' has port 0; write the port that others connect to")]
    PortZero {
        /// The key.
        key: &'static str,
    },
    /// Two keys have the same address.
    #[error("'{first}' and '{second}' are both {value}; give each its own port")]
    EqualAddresses {
        /// The first key.
        first: &'static str,
        /// The second key.
        second: &'static str,
        /// The address.
        value: String,
    },
    /// The value is outside its range.
    #[error("'{key}' is {value}; write a value {range}")]
    OutOfRange {
        /// The key.
        key: &'static str,
        /// The value.
        value: String,
        /// The valid range.
        range: &'static str,
    },
    /// Two values contradict each other.
    #[error(
        "'{key}' is {value}, but must be at least {least} ({reason}); raise it or lower '{other}'"
    )]
    TooSmall {
        /// The key that is too small.
        key: &'static str,
        /// Its value.
        value: u64,
        /// The smallest valid value.
        least: u64,
        /// Reason for the minimum.
        reason: &'static str,
        /// The key on which the minimum depends.
        other: &'static str,
    },
}

impl SettingsProblem {
    /// Returns the path of the affected key, `table.name`.
    pub fn key(&self) -> Option<&str> {
        match self {
            SettingsProblem::Unreadable(_) | SettingsProblem::Syntax(_) => None,
            SettingsProblem::UnknownKey { key, .. }
            | SettingsProblem::Missing { key, .. }
            | SettingsProblem::WrongType { key, .. }
            | SettingsProblem::NotAnAddress { key, .. } => Some(key),
            SettingsProblem::UnspecifiedAddress { key, .. }
            | SettingsProblem::PortZero { key }
            | SettingsProblem::OutOfRange { key, .. }
            | SettingsProblem::TooSmall { key, .. } => Some(key),
            SettingsProblem::EqualAddresses { second, .. } => Some(second),
        }
    }
}

/// A problem and its location.
#[derive(Clone, Debug, PartialEq)]
pub struct Problem {
    /// Location of the problem.
    pub location: Location,
    /// Kind of the problem. Its text includes the remedy.
    pub kind: SettingsProblem,
}

impl Problem {
    /// Creates a problem of the settings as a whole.
    pub fn without_location(kind: SettingsProblem) -> Self {
        Problem {
            location: Location::Whole,
            kind,
        }
    }
}

impl fmt::Display for Problem {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}: {}", self.location, self.kind)
    }
}

/// The settings are invalid.
#[derive(Clone, Debug, PartialEq)]
pub struct SettingsError {
    /// Every problem found, at least one.
    pub problems: Vec<Problem>,
}

impl SettingsError {
    /// Returns `Ok` if there is no problem.
    pub fn from_problems(problems: Vec<Problem>) -> Result<(), SettingsError> {
        if problems.is_empty() {
            Ok(())
        } else {
            Err(SettingsError { problems })
        }
    }
}

impl fmt::Display for SettingsError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (number, problem) in self.problems.iter().enumerate() {
            if number > 0 {
                formatter.write_str("\n")?;
            }
            write!(formatter, "{problem}")?;
        }
        Ok(())
    }
}

impl std::error::Error for SettingsError {}
