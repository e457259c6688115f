//! Back ends, as described by their own registrations.

use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::name::ServiceName;
use crate::ids::ZoneName;

/// Unique name of a back end process.
///
/// It consists of the id under which the process registers and, if processes
/// may restart under the same id, the start time. Two processes never have the
/// same name.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(from = "String", into = "String")]
pub struct BackEndName(Arc<str>);

/// Separates the id from the start time.
const START_TIME_SEPARATOR: char = '/';

impl BackEndName {
    /// Builds the name of the process of back end `id` that started at
    /// `started`, in milliseconds by the back end's wall clock. Pass `None` if
    /// each process has its own id. Requires [`BackEndName::is_id`].
    pub fn new(id: &str, started: Option<u64>) -> Self {
        match started {
            Some(started) => format!("{id}{START_TIME_SEPARATOR}{started}").into(),
            None => id.into(),
        }
    }

    /// Returns whether `id` can be told from the start time that may follow it.
    pub fn is_id(id: &str) -> bool {
        !id.contains(START_TIME_SEPARATOR)
    }

    /// Returns the name as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }

    /// Returns the id under which the process registers, which its restarts
    /// share.
    pub fn id(&self) -> &str {
        self.parts().0
    }

    /// Returns the start time of the process in milliseconds by the back end's
    /// wall clock, if the name contains it.
    pub fn started_ms(&self) -> Option<u64> {
        self.parts().1?.parse().ok()
    }

    /// Whether other processes may run under the same id after this one.
    pub fn may_restart(&self) -> bool {
        self.started_ms().is_some()
    }

    /// Returns true if this process has the same id as `other` and started
    /// later.
    pub fn is_restart_of(&self, other: &BackEndName) -> bool {
        self.id() == other.id() && self.started_ms() > other.started_ms()
    }

    fn parts(&self) -> (&str, Option<&str>) {
        match self.0.split_once(START_TIME_SEPARATOR) {
            Some((id, started)) => (id, Some(started)),
            None => (&self.0, None),
        }
    }
}

impl fmt::Display for BackEndName {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(&self.0)
    }
}

impl From<&str> for BackEndName {
    fn from(text: &str) -> Self {
        BackEndName(text.into())
    }
}

impl From<String> for BackEndName {
    fn from(text: String) -> Self {
        BackEndName(text.into())
    }
}

impl From<BackEndName> for String {
    fn from(name: BackEndName) -> String {
        name.0.as_ref().to_owned()
    }
}

/// One registered back end.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BackEnd {
    /// Unique name of the process.
    pub name: BackEndName,
    /// Service that it serves.
    pub service: ServiceName,
    /// Address that takes requests.
    pub address: SocketAddr,
    /// Zone of the machine.
    pub zone: ZoneName,
    /// Number of requests that it runs concurrently, at least 1.
    pub slots: u32,
    /// True if it is shutting down and takes no new requests.
    pub draining: bool,
    /// Remaining time of its cold start, counted from the moment of this
    /// report.
    pub cold_for: Duration,
    /// Number of its registration; later registrations have larger numbers.
    pub registration: u64,
}
