//! The tables of a settings file, with their defaults.

use std::net::SocketAddr;

use serde::Deserialize;

/// Addresses that a gateway listens on.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct ListenSettings {
    /// Address for callers.
    pub callers: SocketAddr,
    /// Address for the platform's readiness checks.
    pub readiness: SocketAddr,
    /// Address for other gateways.
    #[serde(default)]
    pub peers: Option<SocketAddr>,
    /// Address for operators, with the metrics.
    #[serde(default)]
    pub operators: Option<SocketAddr>,
}

/// Access to the platform.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct PlatformSettings {
    /// Address of the platform's store.
    pub store: SocketAddr,
    /// Timeout of a store call other than a watch, in seconds.
    #[serde(default = "default_call_timeout")]
    pub call_timeout_s: f64,
    /// Longest time that a watch stays open without changes, in seconds.
    #[serde(default = "default_watch")]
    pub watch_s: f64,
    /// Interval between renewals of a back end's registration, in seconds.
    #[serde(default = "default_heartbeat")]
    pub heartbeat_s: f64,
}

/// Time bounds that the deployment promises, in seconds.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(default, deny_unknown_fields, rename_all = "kebab-case")]
pub struct BoundSettings {
    /// Time from the request to stop until the process is killed.
    pub grace_s: f64,
    /// Time from the request to stop until no new connection arrives.
    pub leave_s: f64,
    /// Time from the start of draining a zone until its back ends get no new
    /// requests. If it is not set, zones are not drained.
    pub zone_drain_s: Option<f64>,
    /// Maximum requests per second to a cold back end, as a multiple of the
    /// rate that it can take.
    pub cold_overage: f64,
    /// Additional requests allowed to a cold back end in any second.
    pub cold_slack: f64,
    /// Time from the store's acknowledgement of a configuration until it is in
    /// force on every gateway that reaches the store.
    pub configuration_s: f64,
    /// How long a gateway must have been without trouble before the bounds
    /// apply to it.
    pub contact_s: f64,
    /// Time from the revocation of a key until no gateway accepts it, including
    /// those that the store does not answer.
    pub revoke_s: f64,
    /// Whether a gateway that knows that its data may be out of date refuses
    /// requests instead of serving them by the last known data.
    pub fail_closed: bool,
}

/// The retry budget of the deployment.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(default, deny_unknown_fields, rename_all = "kebab-case")]
pub struct RetrySettings {
    /// Retries per request.
    pub ratio: f64,
    /// Additional retries of all gateways together per window.
    pub slack: f64,
    /// Length of the window, in seconds.
    pub window_s: f64,
    /// Number of gateways that share the slack, used only by gateways without a
    /// peer address. Gateways with one count each other.
    pub gateways: u32,
}

/// Coordination of ownership, in seconds.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(default, deny_unknown_fields, rename_all = "kebab-case")]
pub struct OwnershipSettings {
    /// Longest hold of a key that back ends accept.
    pub max_hold_s: f64,
    /// Duration of the hold in every grant.
    pub hold_s: f64,
    /// Interval between renewals of a grant.
    pub grant_renewal_s: f64,
    /// How long a coordinator acts without confirmation of its lease by the
    /// store.
    pub lease_s: f64,
    /// Interval between renewals of the lease.
    pub lease_renewal_s: f64,
    /// Time without a lease renewal after which another gateway takes over.
    pub takeover_after_s: f64,
    /// Timeout of an order to another region. Its connection is kept for that
    /// long; keys of a back end there that stopped answering are reassigned
    /// that much later.
    pub far_order_s: f64,
}

/// Accuracy of tenant limits over all gateways.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(default, deny_unknown_fields, rename_all = "kebab-case")]
pub struct TenantLimitSettings {
    /// Window in which the requests of a tenant are counted, in seconds.
    pub window_s: f64,
    /// Accepted excess over the limit of a window, as a fraction of it.
    pub overage: f64,
    /// Additional requests accepted over the limit of a window.
    pub slack: f64,
}

/// Resources that one gateway may use.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(default, deny_unknown_fields, rename_all = "kebab-case")]
pub struct LimitSettings {
    /// Maximum connections of callers.
    pub caller_connections: usize,
    /// Bytes of bodies held at once, and the same again for bodies that are
    /// streamed without being held. If it is not set, an eighth of the memory
    /// each.
    pub held_bytes: Option<usize>,
    /// Bandwidth of the machine's link, in Mbit/s. Machines with fast links
    /// watch the store for the others.
    pub link_mbps: f64,
    /// Processor cores, which may be a fraction.
    pub cores: f64,
    /// Memory of the machine, in MB.
    pub memory_mb: f64,
}

impl Default for BoundSettings {
    fn default() -> Self {
        BoundSettings {
            grace_s: 6.0,
            leave_s: 2.6,
            zone_drain_s: None,
            // The values that users' deployments with cold back ends state.
            cold_overage: 1.5,
            cold_slack: 8.0,
            configuration_s: 2.0,
            contact_s: 3.0,
            revoke_s: 5.0,
            fail_closed: false,
        }
    }
}

impl Default for RetrySettings {
    fn default() -> Self {
        RetrySettings {
            ratio: 0.2,
            slack: 62.0,
            window_s: 10.0,
            gateways: 30,
        }
    }
}

impl Default for OwnershipSettings {
    fn default() -> Self {
        let core = threadledge_coordination::Settings::default();
        OwnershipSettings {
            max_hold_s: 10.0,
            hold_s: core.hold.as_secs_f64(),
            grant_renewal_s: core.grant_renewal.as_secs_f64(),
            lease_s: core.lease.as_secs_f64(),
            lease_renewal_s: core.lease_renewal.as_secs_f64(),
            takeover_after_s: core.takeover_after.as_secs_f64(),
            far_order_s: core.far_order_timeout.as_secs_f64(),
        }
    }
}

/// Fraction of the memory for held bodies. The same amount again is for
/// streamed bodies, and up to twice that lies unread in the kernel's buffers,
/// which count as well; the rest is for the gateway itself.
const HELD_FRACTION: f64 = 0.125;
const BYTES_PER_MB: f64 = 1_048_576.0;

impl Default for LimitSettings {
    fn default() -> Self {
        LimitSettings {
            caller_connections: 2_500,
            held_bytes: None,
            link_mbps: 1_000.0,
            cores: 1.0,
            memory_mb: 1_024.0,
        }
    }
}

impl LimitSettings {
    /// Returns the maximum bytes of bodies held at once.
    pub(crate) fn held_bytes(&self) -> usize {
        let default_bytes = self.memory_mb * BYTES_PER_MB * HELD_FRACTION;
        // A fraction of a machine's memory fits into a usize.
        self.held_bytes.unwrap_or(default_bytes as usize)
    }
}

impl Default for TenantLimitSettings {
    fn default() -> Self {
        // The values that users' deployments with limits state.
        TenantLimitSettings {
            window_s: 5.0,
            overage: 0.1,
            slack: 20.0,
        }
    }
}

fn default_call_timeout() -> f64 {
    1.0
}

fn default_watch() -> f64 {
    20.0
}

/// The value that users' deployments state; used if the file sets none.
fn default_heartbeat() -> f64 {
    1.3
}
