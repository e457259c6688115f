//! Errors in settings, each with its remedy.

use std::path::PathBuf;

use thiserror::Error;
use threadledge_coordination::settings::Contradiction;

/// Error in the settings of a gateway.
#[derive(Debug, Error)]
pub enum SettingsFault {
    /// The file cannot be read.
    #[error("{path} cannot be read ({cause}); name a file that exists with --settings")]
    Unreadable {
        /// The file.
        path: PathBuf,
        /// What failed.
        cause: std::io::Error,
    },
    /// The file is not TOML, lacks a field or has an unknown one.
    #[error("{path}: {cause}; see docs/operators/gateway-settings.md for the fields")]
    Malformed {
        /// The file.
        path: PathBuf,
        /// The problem, with its place.
        cause: Box<toml::de::Error>,
    },
    /// A field has a value that cannot be used.
    #[error("{field} is {value}; {remedy}")]
    Value {
        /// The field.
        field: &'static str,
        /// Its value.
        value: f64,
        /// The remedy: which value to write instead.
        remedy: &'static str,
    },
    /// Two fields contradict each other.
    #[error("ownership.{longer}-s must stay below ownership.{shorter}-s; change one of them")]
    Contradiction {
        /// The setting that is too long.
        longer: &'static str,
        /// The setting that it must stay below.
        shorter: &'static str,
    },
}

impl From<Contradiction> for SettingsFault {
    fn from(contradiction: Contradiction) -> Self {
        SettingsFault::Contradiction {
            longer: contradiction.longer,
            shorter: contradiction.shorter,
        }
    }
}
