//! Settings of one routing machine: a TOML file, each value also a flag.
//!
//! [`Settings`] is what the program runs with. [`load`] reads a file, lays the
//! flags over it, refuses what is unknown or contradictory and names the
//! remedy for each problem. The list of keys in [`keys`] is the one source of
//! flags, help texts and the settings reference.

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

/// Everything a routing machine is told from outside.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Settings {
    /// Name of the machine in the platform's machine list.
    pub machine: MachineName,
    /// Region of the machine.
    pub region: RegionName,
    /// Zone of the machine.
    pub zone: ZoneName,
    /// Where callers connect.
    pub caller_address: SocketAddr,
    /// Where other routers connect.
    pub peer_address: SocketAddr,
    /// Where operators connect.
    pub operator_address: SocketAddr,
    /// The platform's object API.
    pub platform_address: SocketAddr,
    /// The platform's list of machines.
    pub machine_list_address: SocketAddr,
    /// File with the token that the platform's services ask for, if any.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub platform_token_file: Option<PathBuf>,
    /// Members of a consensus group: 1, 3 or 5.
    #[serde(default = "default_group_size")]
    pub group_size: u32,
    /// Durations that every router of a deployment shares.
    #[serde(default)]
    pub timing: Timing,
    /// Bounds on what callers may use of this machine.
    #[serde(default)]
    pub limits: Limits,
    /// Logging.
    #[serde(default)]
    pub log: LogSettings,
}

/// Default of [`Settings::group_size`].
pub const DEFAULT_GROUP_SIZE: u32 = 3;

fn default_group_size() -> u32 {
    DEFAULT_GROUP_SIZE
}

/// Bounds on what callers may use of one routing machine.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields, rename_all = "kebab-case")]
pub struct Limits {
    /// Largest request head, in bytes; at most 8,191, which is what the HTTP
    /// library reads.
    pub max_head_bytes: usize,
    /// Largest request body, in bytes.
    pub max_body_bytes: u64,
    /// Longest time a caller may take to send a head, in milliseconds.
    pub head_timeout_ms: u64,
    /// Longest time a caller's connection may stay idle, in milliseconds.
    pub idle_timeout_ms: u64,
    /// Connections accepted from callers at once.
    pub max_caller_connections: usize,
    /// Largest part of this router's capacity that one namespace may hold,
    /// above 0 and at most 1.
    pub namespace_share: f64,
    /// Longest time a planned stop waits for requests in flight, in
    /// milliseconds.
    pub drain_timeout_ms: u64,
}

impl Default for Limits {
    fn default() -> Self {
        Limits {
            max_head_bytes: validate::LARGEST_HEAD_BYTES,
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
    /// Longest time a caller may take to send a head.
    pub fn head_timeout(&self) -> Duration {
        Duration::from_millis(self.head_timeout_ms)
    }

    /// Longest time a caller's connection may stay idle.
    pub fn idle_timeout(&self) -> Duration {
        Duration::from_millis(self.idle_timeout_ms)
    }

    /// Longest time a planned stop waits for requests in flight.
    pub fn drain_timeout(&self) -> Duration {
        Duration::from_millis(self.drain_timeout_ms)
    }
}

/// Form and amount of the log.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields, rename_all = "kebab-case")]
pub struct LogSettings {
    /// Form of each line.
    pub format: LogFormat,
    /// Least severe level that is written.
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

/// Form of log lines.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum LogFormat {
    /// For people at a terminal.
    Human,
    /// One JSON object a line.
    Json,
}

/// Severity of log lines.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum LogLevel {
    /// Something needs an operator.
    Error,
    /// Something is degraded and is being worked round.
    Warn,
    /// Changes of state.
    Info,
    /// Detail for development.
    Debug,
    /// Every step.
    Trace,
}

impl Settings {
    /// Checks the values against each other.
    ///
    /// # Errors
    ///
    /// Every contradiction found, each with its remedy.
    pub fn validate(&self) -> Result<(), SettingsError> {
        let problems = validate::contradictions(self);
        SettingsError::from_problems(
            problems
                .into_iter()
                .map(Problem::without_location)
                .collect(),
        )
    }

    /// The settings as the text of a settings file.
    ///
    /// # Errors
    ///
    /// A value that TOML cannot hold, such as a limit above 2^63.
    pub fn to_toml(&self) -> Result<String, toml::ser::Error> {
        toml::to_string(self)
    }
}
