//! The operators' configuration of gateways.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::name::{RouteName, ServiceName, TenantName};
use super::tenant::Tenant;
use crate::ids::RegionName;

/// Version number of a configuration; later versions have larger numbers.
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

/// A complete version of the configuration.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Configuration {
    /// Version number.
    pub version: ConfigurationVersion,
    /// All routes, in no particular order.
    #[serde(with = "shared_routes")]
    pub routes: Vec<Arc<Route>>,
    /// All services by name.
    pub services: BTreeMap<ServiceName, Service>,
    /// Limits on requests and connections of callers.
    pub limits: CallerLimits,
    /// All tenants by name. If there are none, callers need no API key.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub tenants: BTreeMap<TenantName, Tenant>,
}

/// Destinations and settings for the requests of one host and path prefix.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Route {
    /// Name of the route.
    pub name: RouteName,
    /// Host name, in lower case and without port.
    pub host: String,
    /// Path prefix, which begins and ends with a slash.
    pub path_prefix: String,
    /// True if a request may run more than once (is idempotent).
    pub repeatable: bool,
    /// Longest time that the gateway holds a request.
    pub timeout: Duration,
    /// Latency that answers should stay within.
    pub target_latency: Duration,
    /// Priority; 0 is served first.
    pub priority: u32,
    /// Number of back ends that one request may be sent to, at least 1.
    pub max_attempts: u32,
    /// Services that share the requests by weight; at least one weight is above
    /// 0.
    pub destinations: Vec<Destination>,
    /// True if callers need no API key even though there are tenants.
    #[serde(default, skip_serializing_if = "is_false")]
    pub public: bool,
    /// Regions in which its requests may be served; `None` allows all.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub allowed_regions: Option<BTreeSet<RegionName>>,
}

fn is_false(value: &bool) -> bool {
    !value
}

/// A service that serves requests of a route.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Destination {
    /// Name of the service.
    pub service: ServiceName,
    /// Weight relative to the other destinations.
    pub weight: u32,
}

/// Settings of a service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Service {
    /// Path of the health check on back ends.
    pub health_path: String,
    /// Number of connections that one back end accepts from all callers
    /// together.
    pub max_connections: u32,
    /// True if each key is owned by one back end.
    pub keyed: bool,
    /// Duration of the cold start, in which a new back end is slow and easily
    /// overloaded.
    #[serde(default)]
    pub cold_start: Duration,
    /// Requests per second that a back end can handle during its cold start;
    /// `None` if as many as afterwards.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub cold_rate: Option<f64>,
}

/// Size and time limits for requests of callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallerLimits {
    /// Largest request head, in bytes.
    pub max_header_bytes: u64,
    /// Largest request body, in bytes.
    pub max_body_bytes: u64,
    /// Longest time to receive a request head.
    pub header_timeout: Duration,
    /// Longest time that a connection may stay idle.
    pub idle_timeout: Duration,
}

/// Serializes shared routes as a plain list of routes.
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
