//! Settings of a router, from a TOML file and command-line flags.
//!
//! [`Settings`] holds the validated values. [`load`] reads a file, applies the
//! flags, which override it, and rejects unknown keys and contradictory values
//! with a remedy for each problem. The list of keys in [`keys`] is the single
//! source of flags, help texts and the settings reference.

mod error;
pub mod keys;
mod load;
mod validate;
mod values;

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use threadledge_types::{MachineName, RegionName, Timing, ZoneName};

pub use error::{Location, Problem, SettingsError, SettingsProblem};
pub use load::{Override, find_problems, load};

/// Settings of a router.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Settings {
    /// Name of the machine in the platform's machine list.
    pub machine: MachineName,
    /// Region of the machine.
    pub region: RegionName,
    /// Zone of the machine.
    pub zone: ZoneName,
    /// Address on which callers connect.
    pub caller_address: SocketAddr,
    /// Address on which other routers connect.
    pub peer_address: SocketAddr,
    /// Address on which operators connect.
    pub operator_address: SocketAddr,
    /// Address of the platform's object API.
    pub platform_address: SocketAddr,
    /// Address of the platform's machine list.
    pub machine_list_address: SocketAddr,
    /// File with the token for the platform's services, if they need one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub platform_token_file: Option<PathBuf>,
    /// Number of members of a consensus group: 1, 3 or 5.
    #[serde(default = "default_group_size")]
    pub group_size: u32,
    /// Durations, which must be the same on every router of a deployment.
    #[serde(default)]
    pub timing: Timing,
    /// Limits on the resources that callers may use.
    #[serde(default)]
    pub limits: Limits,
    /// Settings of the log.
    #[serde(default)]
    pub log: LogSettings,
}

/// Default of [`Settings::group_size`].
pub const DEFAULT_GROUP_SIZE: u32 = 3;

fn default_group_size() -> u32 {
    DEFAULT_GROUP_SIZE
}

/// Limits on the resources of a router that callers may use.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields, rename_all = "kebab-case")]
pub struct Limits {
    /// Maximum size of a request head, in bytes. At most 8,191, the limit of the
    /// HTTP library.
    pub max_head_bytes: usize,
    /// Maximum size of a request body, in bytes.
    pub max_body_bytes: u64,
    /// Maximum time a caller may take to send a head, in milliseconds.
    pub head_timeout_ms: u64,
    /// Maximum time a caller's connection may be idle, in milliseconds.
    pub idle_timeout_ms: u64,
    /// Maximum number of concurrent connections from callers.
    pub max_caller_connections: usize,
    /// Maximum share of the router's capacity that one namespace may use, above 0
    /// and at most 1.
    pub namespace_share: f64,
    /// Maximum time a planned stop waits for requests in flight, in milliseconds.
    pub drain_timeout_ms: u64,
}

impl Default for Limits {
    fn default() -> Self {
        Limits {
            max_head_bytes: validate::MAX_HEAD_BYTES,
            max_body_bytes: 8 * 1024 * 1024,
            head_timeout_ms: 5_000,
            idle_timeout_ms: 60_000,
            max_caller_connections: 4_096,
            namespace_share: 0.6,
            drain_timeout_ms: 15_000,
        }
    }
}

impl Limits {
    /// Returns the maximum time a caller may take to send a head.
    pub fn head_timeout(&self) -> Duration {
        Duration::from_millis(self.head_timeout_ms)
    }

    /// Returns the maximum time a caller's connection may be idle.
    pub fn idle_timeout(&self) -> Duration {
        Duration::from_millis(self.idle_timeout_ms)
    }

    /// Returns the maximum time a planned stop waits for requests in flight.
    pub fn drain_timeout(&self) -> Duration {
        Duration::from_millis(self.drain_timeout_ms)
    }
}

/// Settings of the log.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields, rename_all = "kebab-case")]
pub struct LogSettings {
    /// Format of the lines.
    pub format: LogFormat,
    /// Least severe level that is logged.
    pub level: LogLevel,
}

impl Default for LogSettings {
    fn default() -> Self {
        LogSettings {
            format: LogFormat::Human,
            level: LogLevel::Info,
        }
    }
}

/// Format of log lines.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum LogFormat {
    /// Human-readable text.
    Human,
    /// One JSON object per line.
    Json,
}

/// Severity of log lines.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum LogLevel {
    /// Something needs an operator.
    Error,
    /// Something is degraded, but the system continues to work.
    Warn,
    /// Changes of state.
    Info,
    /// Detail for development.
    Debug,
    /// Every step.
    Trace,
}

impl Settings {
    /// Validates the values and their relations.
    ///
    /// # Errors
    ///
    /// Returns every problem found, each with its remedy.
    pub fn validate(&self) -> Result<(), SettingsError> {
        let problems = validate::find_problems(self);
        SettingsError::from_problems(
            problems
                .into_iter()
                .map(Problem::without_location)
                .collect(),
        )
    }

    /// Returns the settings as the text of a settings file.
    ///
    /// # Errors
    ///
    /// Fails if TOML cannot represent a value, such as a limit above 2^63.
    pub fn to_toml(&self) -> Result<String, toml::ser::Error> {
        toml::to_string(self)
    }
}
