//! Back ends as their own registrations describe them.

use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::name::ServiceName;
use crate::ids::ZoneName;

/// One life of one back end process. A process that restarts registers under
/// another name.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(from = "String", into = "String")]
pub struct BackEndName(Arc<str>);

impl BackEndName {
    /// The name as text.
    pub fn as_str(&self) -> &str {
        &self.0
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
