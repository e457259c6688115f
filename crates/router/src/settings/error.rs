//! Typed refusals of settings; every message names the remedy.

use std::fmt;
use std::path::PathBuf;

use thiserror::Error;

/// Where a problem stands.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Location {
    /// In a file.
    File {
        /// The file.
        path: PathBuf,
        /// Line and column, both from 1, where known.
        position: Option<(usize, usize)>,
    },
    /// On the command line.
    Flag(&'static str),
    /// In the settings as a whole.
    Whole,
}

impl Location {
    /// Order in which problems are listed: by position in the file, then what
    /// has no position, then flags.
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

/// One thing wrong with the settings.
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
        /// What to write instead.
        remedy: String,
    },
    /// A key without a default is absent.
    #[error("'{key}' is missing; add it to the file or give --{flag}")]
    Missing {
        /// The key.
        key: String,
        /// Its flag.
        flag: &'static str,
    },
    /// The value has another type.
    #[error("'{key}' is not {wanted}; write {example}")]
    WrongType {
        /// The key.
        key: String,
        /// The type.
        wanted: &'static str,
        /// A value that would do.
        example: String,
    },
    /// The value is a host name or no address at all.
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
    /// Port 0 cannot be told to others.
    #[error("'{key}' has port 0; write the port that others connect to")]
    PortZero {
        /// The key.
        key: &'static str,
    },
    /// Two keys hold one address.
    #[error("'{first}' and '{second}' are both {value}; give each its own port")]
    EqualAddresses {
        /// One key.
        first: &'static str,
        /// The other.
        second: &'static str,
        /// The address.
        value: String,
    },
    /// The value lies outside its range.
    #[error("'{key}' is {value}; write a value {range}")]
    OutOfRange {
        /// The key.
        key: &'static str,
        /// The value.
        value: String,
        /// The range.
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
        /// Least value that would do.
        least: u64,
        /// Why.
        reason: &'static str,
        /// The key it depends on.
        other: &'static str,
    },
}

impl SettingsProblem {
    /// The key the problem is about, `table.name`.
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

/// A problem and where it stands.
#[derive(Clone, Debug, PartialEq)]
pub struct Problem {
    /// Where.
    pub location: Location,
    /// What, and the remedy.
    pub kind: SettingsProblem,
}

impl Problem {
    /// A problem of the settings as a whole.
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

/// The settings are refused.
#[derive(Clone, Debug, PartialEq)]
pub struct SettingsError {
    /// Every problem found, at least one.
    pub problems: Vec<Problem>,
}

impl SettingsError {
    /// `Ok` when there is no problem.
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
