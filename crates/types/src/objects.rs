//! Configuration objects, following the conventions of the Kubernetes API.
//!
//! Each namespace belongs to one partner organisation. A [`BackEndObject`]
//! describes one server and carries its labels; a
//! [`KeyedServiceObject`] selects back ends by label and lists the routes that
//! they serve.

use std::net::SocketAddr;

use k8s_openapi::apimachinery::pkg::apis::meta::v1::{Condition, LabelSelector};
pub use kube_core::ObjectMeta;
/// Object types of `kube_core`, re-exported for crates that handle objects.
pub use kube_core::object;
use kube_core::object::Object;
use serde::{Deserialize, Serialize};

use crate::ids::{RegionName, ZoneName};

/// `apiVersion` of every threadledge object.
pub const API_VERSION: &str = "threadledge.dev/v1";
/// API group of [`API_VERSION`].
pub const API_GROUP: &str = "threadledge.dev";
/// Version within [`API_GROUP`].
pub const API_GROUP_VERSION: &str = "v1";
/// `kind` of a [`BackEndObject`].
pub const BACK_END_KIND: &str = "BackEnd";
/// Plural resource name of [`BACK_END_KIND`] in paths.
pub const BACK_END_PLURAL: &str = "backends";
/// `kind` of a [`KeyedServiceObject`].
pub const KEYED_SERVICE_KIND: &str = "KeyedService";
/// Plural resource name of [`KEYED_SERVICE_KIND`] in paths.
pub const KEYED_SERVICE_PLURAL: &str = "keyedservices";
/// `kind` of a [`RouterGroupObject`].
pub const ROUTER_GROUP_KIND: &str = "RouterGroup";
/// Plural resource name of [`ROUTER_GROUP_KIND`] in paths.
pub const ROUTER_GROUP_PLURAL: &str = "routergroups";
/// Namespace of the objects that the routers themselves write.
pub const SYSTEM_NAMESPACE: &str = "threadledge-system";
/// Type of the condition that reports whether an object was accepted.
pub const ACCEPTED_CONDITION: &str = "Accepted";

/// A server, described by its operators.
pub type BackEndObject = Object<BackEndSpec, AcceptanceStatus>;
/// A service: a selector for back ends and the routes they serve.
pub type KeyedServiceObject = Object<KeyedServiceSpec, AcceptanceStatus>;
/// Record of who bootstrapped a consensus group, written by routers.
pub type RouterGroupObject = Object<RouterGroupSpec, AcceptanceStatus>;

/// Addresses and capacity of one server.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase", deny_unknown_fields)]
pub struct BackEndSpec {
    /// Address that takes requests.
    pub address: SocketAddr,
    /// Address that takes lease, health and load requests.
    pub control_address: SocketAddr,
    /// Zone of the server.
    pub zone: ZoneName,
    /// Number of requests the server runs concurrently.
    pub slots: u32,
    /// Number of connections the server accepts from all routers together.
    pub connections: u32,
}

/// Hosts, routes and back ends of one service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase", deny_unknown_fields)]
pub struct KeyedServiceSpec {
    /// Home region, whose routers assign the ownership of keys.
    pub region: RegionName,
    /// Host names of the service, without port. If several services name a
    /// host, it belongs to the one that was accepted first.
    pub hosts: Vec<String>,
    /// Selector for the back ends of the same namespace that serve requests.
    pub back_end_selector: LabelSelector,
    /// Routes, in matching order; the first match is used.
    pub routes: Vec<RouteRule>,
    /// Trade-off between load imbalance and moved keys.
    #[serde(default)]
    pub placement: PlacementPolicy,
}

/// Matching rule and settings for one kind of request of a service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase", deny_unknown_fields)]
pub struct RouteRule {
    /// Name of the route in logs, metrics and `explain` output.
    pub name: String,
    /// Path prefix, compared by whole segments; `/` matches every path.
    pub path_prefix: String,
    /// Methods that match; an empty list matches every method.
    #[serde(default)]
    pub methods: Vec<String>,
    /// Part of the request that holds the key.
    pub key: KeySource,
    /// True if a request may be executed more than once (is idempotent). By
    /// default this holds for GET, HEAD and OPTIONS only.
    #[serde(default)]
    pub repeatable: Option<bool>,
    /// Priority under contention.
    #[serde(default)]
    pub priority: Priority,
    /// Longest time until the caller gets an outcome, in milliseconds.
    #[serde(default = "default_deadline_ms")]
    pub deadline_ms: u64,
    /// True if a request may wait for a slot until its deadline. Other requests
    /// are rejected early under overload.
    #[serde(default)]
    pub may_queue: bool,
}

/// Default of [`RouteRule::deadline_ms`].
pub const DEFAULT_DEADLINE_MS: u64 = 2_000;

fn default_deadline_ms() -> u64 {
    DEFAULT_DEADLINE_MS
}

/// Part of a request that holds the key.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase", deny_unknown_fields)]
pub enum KeySource {
    /// Value of a header.
    Header(String),
    /// Path segment by index; the first segment after the leading `/` is 0.
    PathSegment(u32),
    /// Value of a query parameter, percent-decoded.
    QueryParameter(String),
}

/// Priority of requests under contention.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "camelCase")]
pub enum Priority {
    /// Served only with spare capacity.
    Background,
    /// Default priority.
    #[default]
    Normal,
    /// Served before all other requests.
    Critical,
}

/// Limits on load imbalance and on moved keys (churn) of one service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase", default, deny_unknown_fields)]
pub struct PlacementPolicy {
    /// Ratio of the busiest back end's load to the mean load above which slices
    /// are moved, for example 1.10.
    pub tolerated_imbalance: f64,
    /// Largest fraction of all keys that load balancing may move per minute.
    /// Moves caused by lost or drained back ends do not count.
    pub churn_budget_per_minute: f64,
    /// Initial number of slices per back end, before any split.
    pub slices_per_back_end: u32,
}

impl Default for PlacementPolicy {
    fn default() -> Self {
        PlacementPolicy {
            tolerated_imbalance: 1.10,
            churn_budget_per_minute: 0.02,
            slices_per_back_end: 64,
        }
    }
}

/// Record of the latest bootstrap of one consensus group.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase", deny_unknown_fields)]
pub struct RouterGroupSpec {
    /// Number of times the group was bootstrapped.
    pub generation: u32,
    /// Id of the router that bootstrapped it, in hexadecimal.
    pub founder: String,
    /// Peer address of that router.
    pub founder_address: SocketAddr,
}

/// Status of a configuration object.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct AcceptanceStatus {
    /// Kubernetes conditions; threadledge writes `Accepted`.
    #[serde(default)]
    pub conditions: Vec<Condition>,
    /// Revision at which the object took effect, as `generation.index`.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub revision: Option<String>,
}
