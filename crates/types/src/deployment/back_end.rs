//! Back ends as their own registrations describe them.

use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::name::ServiceName;
use crate::ids::ZoneName;

/// One life of one back end process: the id under which it registers and, where
/// a process may start again under the id that it had, the time of its start.
/// Two lives never have one name.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(from = "String", into = "String")]
pub struct BackEndName(Arc<str>);

/// Stands between the id and the time of the start. No id holds one: ids are
/// parts of paths.
const LIFE_MARK: char = '/';

impl BackEndName {
    /// The life of the back end `id` that began at `started`, in milliseconds of
    /// the back end's time of day. `None`: each of its lives has an id of its
    /// own.
    pub fn new(id: &str, started: Option<u64>) -> Self {
        match started {
            Some(started) => format!("{id}{LIFE_MARK}{started}").into(),
            None => id.into(),
        }
    }

    /// The name as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }

    /// The id under which this life registers, and those before and after it.
    pub fn id(&self) -> &str {
        self.parts().0
    }

    /// When this life began, in milliseconds of the back end's time of day, if
    /// it says so.
    pub fn started_ms(&self) -> Option<u64> {
        self.parts().1?.parse().ok()
    }

    /// Whether this is a life of the same back end that began after `other`.
    pub fn is_restart_of(&self, other: &BackEndName) -> bool {
        self.id() == other.id() && self.started_ms() > other.started_ms()
    }

    fn parts(&self) -> (&str, Option<&str>) {
        match self.0.split_once(LIFE_MARK) {
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
    /// This life of it.
    pub name: BackEndName,
    /// The service that it serves.
    pub service: ServiceName,
    /// Where it takes requests.
    pub address: SocketAddr,
    /// Zone of its machine.
    pub zone: ZoneName,
    /// Requests that it works on at once, at least 1.
    pub slots: u32,
    /// It is leaving and takes no new requests.
    pub draining: bool,
    /// How much longer it stays cold, from when this is told.
    pub cold_for: Duration,
    /// Number of its registration; a later one is larger.
    pub registration: u64,
}
