//! Configuration objects, in the conventions of the Kubernetes object API.
//!
//! A namespace belongs to one partner. A [`BackEndObject`] carries the labels
//! an operator put on one server; a [`KeyedServiceObject`] carries the
//! selector that says which labelled back ends may serve which traffic.

use std::net::SocketAddr;

use k8s_openapi::apimachinery::pkg::apis::meta::v1::{Condition, LabelSelector};
pub use kube_core::ObjectMeta;
/// The library's object types, re-exported for crates that handle objects.
pub use kube_core::object;
use kube_core::object::Object;
use serde::{Deserialize, Serialize};

use crate::ids::{RegionName, ZoneName};

/// `apiVersion` of every threadledge object.
pub const API_VERSION: &str = "threadledge.dev/v1";
/// API group part of [`API_VERSION`].
pub const API_GROUP: &str = "threadledge.dev";
/// Version part of [`API_VERSION`].
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
/// Condition type that tells whether an object is accepted.
pub const ACCEPTED_CONDITION: &str = "Accepted";

/// One server as its operators describe it.
pub type BackEndObject = Object<BackEndSpec, AcceptanceStatus>;
/// One selector with the traffic it covers.
pub type KeyedServiceObject = Object<KeyedServiceSpec, AcceptanceStatus>;
/// The founding record of one consensus group, written by routers.
pub type RouterGroupObject = Object<RouterGroupSpec, AcceptanceStatus>;

/// Addresses and capacity of one server.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase", deny_unknown_fields)]
pub struct BackEndSpec {
    /// Where requests go.
    pub address: SocketAddr,
    /// Where leases, health and load are exchanged.
    pub control_address: SocketAddr,
    /// Zone of the server.
    pub zone: ZoneName,
    /// Requests it carries out at once.
    pub slots: u32,
    /// Connections it accepts, over all routers.
    pub connections: u32,
}

/// Which back ends serve which traffic.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase", deny_unknown_fields)]
pub struct KeyedServiceSpec {
    /// Home region: its routers decide ownership.
    pub region: RegionName,
    /// Host names this service answers to, without port. A host belongs to
    /// the namespace whose claim was accepted first.
    pub hosts: Vec<String>,
    /// Which labelled back ends of the same namespace may serve.
    pub back_end_selector: LabelSelector,
    /// Routes, tried in order; the first match wins.
    pub routes: Vec<RouteRule>,
    /// Exchange between imbalance and churn.
    #[serde(default)]
    pub placement: PlacementPolicy,
}

/// One kind of request within a service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase", deny_unknown_fields)]
pub struct RouteRule {
    /// Name in logs, metrics and `explain`.
    pub name: String,
    /// Path prefix, matched on whole segments; `/` matches everything.
    pub path_prefix: String,
    /// Methods; empty matches every method.
    #[serde(default)]
    pub methods: Vec<String>,
    /// Where the key stands in a request.
    pub key: KeySource,
    /// Whether a request may be carried out more than once. By default GET,
    /// HEAD and OPTIONS may and others may not.
    #[serde(default)]
    pub repeatable: Option<bool>,
    /// Order under contention.
    #[serde(default)]
    pub priority: Priority,
    /// Longest time until the caller has its outcome, in milliseconds.
    #[serde(default = "default_deadline_ms")]
    pub deadline_ms: u64,
    /// Whether a request may wait for a slot until its deadline. Requests
    /// that may not wait are refused early under overload.
    #[serde(default)]
    pub may_queue: bool,
}

/// Default of [`RouteRule::deadline_ms`].
pub const DEFAULT_DEADLINE_MS: u64 = 2_000;

fn default_deadline_ms() -> u64 {
    DEFAULT_DEADLINE_MS
}

/// Where the key of a request stands.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase", deny_unknown_fields)]
pub enum KeySource {
    /// Value of a header.
    Header(String),
    /// Path segment by number, the first after the leading `/` being 0.
    PathSegment(u32),
    /// Value of a query parameter, percent-decoded.
    QueryParameter(String),
}

/// Order of requests under contention.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "camelCase")]
pub enum Priority {
    /// Waits for spare capacity.
    Background,
    /// The default.
    #[default]
    Normal,
    /// Served before the others.
    Critical,
}

/// Exchange between imbalance and churn for one service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase", default, deny_unknown_fields)]
pub struct PlacementPolicy {
    /// Ratio of the busiest back end's load to the mean that is tolerated
    /// before slices move, for example 1.10.
    pub tolerated_imbalance: f64,
    /// Largest share of all keys that balancing may move in one minute.
    /// Losses and drains are not counted.
    pub churn_budget_per_minute: f64,
    /// Slices for each back end at first, before splits.
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

/// Founding of one consensus group.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase", deny_unknown_fields)]
pub struct RouterGroupSpec {
    /// How many times the group was founded.
    pub generation: u32,
    /// The router that founded it, in hexadecimal.
    pub founder: String,
    /// Peer address of the founder.
    pub founder_address: SocketAddr,
}

/// Status of a configuration object.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct AcceptanceStatus {
    /// Standard conditions; `Accepted` is the one threadledge writes.
    #[serde(default)]
    pub conditions: Vec<Condition>,
    /// Revision at which the object is in force, `generation.index`.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub revision: Option<String>,
}
