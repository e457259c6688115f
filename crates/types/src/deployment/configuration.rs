//! One version of what operators want.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::name::{RouteName, ServiceName, TenantName};
use super::tenant::Tenant;
use crate::ids::RegionName;

/// Number of a configuration; a later one is larger.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct ConfigurationVersion(pub u64);

impl fmt::Display for ConfigurationVersion {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(formatter)
    }
}

/// One whole version of the configuration.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Configuration {
    /// Its number.
    pub version: ConfigurationVersion,
    /// Every route, in no order.
    #[serde(with = "shared_routes")]
    pub routes: Vec<Arc<Route>>,
    /// Every service.
    pub services: BTreeMap<ServiceName, Service>,
    /// Bounds on callers.
    pub limits: CallerLimits,
    /// Every tenant; where there is none, callers need no key.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub tenants: BTreeMap<TenantName, Tenant>,
}

/// Where requests of one host and path go, and how.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Route {
    /// Its name.
    pub name: RouteName,
    /// Host, in lower case and without a port.
    pub host: String,
    /// Start of the paths, beginning and ending with a slash.
    pub path_prefix: String,
    /// A request may run more than once.
    pub repeatable: bool,
    /// Longest time that a request is held.
    pub timeout: Duration,
    /// Time within which an answer is worth most.
    pub target_latency: Duration,
    /// Rank; 0 goes first.
    pub priority: u32,
    /// Back ends to which one request may be sent, at least 1.
    pub max_attempts: u32,
    /// Services that share the requests, at least one with a weight.
    pub destinations: Vec<Destination>,
    /// Callers need no key, also where there are tenants.
    #[serde(default, skip_serializing_if = "is_false")]
    pub public: bool,
    /// The only regions in which its requests may be served; `None`: all.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub allowed_regions: Option<BTreeSet<RegionName>>,
}

fn is_false(value: &bool) -> bool {
    !value
}

/// One service's part of a route.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Destination {
    /// The service.
    pub service: ServiceName,
    /// Its share relative to the others'.
    pub weight: u32,
}

/// One service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Service {
    /// Path on which back ends tell their health.
    pub health_path: String,
    /// Connections that one back end takes from all callers together.
    pub max_connections: u32,
    /// Each key has one owner among the back ends.
    pub keyed: bool,
    /// How long a back end is cold after its start: slow, and easily
    /// overloaded.
    #[serde(default)]
    pub cold_start: Duration,
    /// Requests that a cold back end bears, per second; `None`: as many as a
    /// warm one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub cold_rate: Option<f64>,
}

/// Bounds on what callers may send and how long they may take.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallerLimits {
    /// Largest head, in bytes.
    pub max_header_bytes: u64,
    /// Largest body, in bytes.
    pub max_body_bytes: u64,
    /// Longest time for a head.
    pub header_timeout: Duration,
    /// Longest rest of a connection.
    pub idle_timeout: Duration,
}

/// Routes are shared in memory and written one by one.
mod shared_routes {
    use std::sync::Arc;

    use serde::{Deserialize, Deserializer, Serialize, Serializer};

    use super::Route;

    pub(super) fn serialize<S: Serializer>(
        routes: &[Arc<Route>],
        serializer: S,
    ) -> Result<S::Ok, S::Error> {
        let routes: Vec<&Route> = routes.iter().map(AsRef::as_ref).collect();
        routes.serialize(serializer)
    }

    pub(super) fn deserialize<'de, D: Deserializer<'de>>(
        deserializer: D,
    ) -> Result<Vec<Arc<Route>>, D::Error> {
        let routes = Vec::<Route>::deserialize(deserializer)?;
        Ok(routes.into_iter().map(Arc::new).collect())
    }
}
