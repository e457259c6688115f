//! The tables of a settings file, with what holds where one names nothing.

use std::net::SocketAddr;

use serde::Deserialize;

/// Addresses of one gateway.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct ListenSettings {
    /// Callers.
    pub callers: SocketAddr,
    /// Questions of the platform whether this gateway is ready.
    pub readiness: SocketAddr,
    /// Other gateways.
    #[serde(default)]
    pub peers: Option<SocketAddr>,
    /// Operators: metrics.
    #[serde(default)]
    pub operators: Option<SocketAddr>,
}

/// The platform's service.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct PlatformSettings {
    /// Its store.
    pub store: SocketAddr,
    /// Longest wait for an answer to a call that waits for nothing, in
    /// seconds.
    #[serde(default = "default_call_timeout")]
    pub call_timeout_s: f64,
    /// Longest wait of a watch, in seconds.
    #[serde(default = "default_watch")]
    pub watch_s: f64,
    /// Time between two renewals of a back end's registration, in seconds.
    #[serde(default = "default_heartbeat")]
    pub heartbeat_s: f64,
}

/// Times that the deployment promises, in seconds.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(default, deny_unknown_fields, rename_all = "kebab-case")]
pub struct BoundSettings {
    /// From the request to stop to the kill.
    pub grace_s: f64,
    /// From the request to stop until no new connection arrives.
    pub leave_s: f64,
    /// From the draining of a zone until its back ends get nothing new; where
    /// it is not stated, zones are not drained.
    pub zone_drain_s: Option<f64>,
    /// Requests that one cold back end gets in any second, as a multiple of
    /// what it bears.
    pub cold_overage: f64,
    /// Requests that one cold back end gets in any second besides.
    pub cold_slack: f64,
    /// From the store's acknowledgement of a configuration until it is in
    /// force on every gateway that reaches the store.
    pub configuration_s: f64,
    /// How long a gateway must have been without trouble before bounds bind
    /// it.
    pub contact_s: f64,
    /// From the taking away of a key until it is accepted nowhere, also by
    /// gateways that the store does not answer.
    pub revoke_s: f64,
    /// A gateway that knows that it may be behind refuses what it would
    /// otherwise serve by what it last knew.
    pub fail_closed: bool,
}

/// The retry budget of the deployment.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(default, deny_unknown_fields, rename_all = "kebab-case")]
pub struct RetrySettings {
    /// Repeats for each request.
    pub ratio: f64,
    /// Repeats besides, of all gateways together, in a window.
    pub slack: f64,
    /// Window, in seconds.
    pub window_s: f64,
    /// Gateways among which the slack is divided where they have no address
    /// for each other. Those that have one count each other.
    pub gateways: u32,
}

/// Coordination of ownership, in seconds.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(default, deny_unknown_fields, rename_all = "kebab-case")]
pub struct OwnershipSettings {
    /// Longest hold that back ends accept.
    pub max_hold_s: f64,
    /// Hold of every grant.
    pub hold_s: f64,
    /// Time between renewals of a grant.
    pub grant_renewal_s: f64,
    /// How long a coordinator acts without confirmation by the store.
    pub lease_s: f64,
    /// Time between confirmations.
    pub lease_renewal_s: f64,
    /// Silence of a coordinator after which another takes over.
    pub takeover_after_s: f64,
    /// How long an order to another region may be on its way. Its connection
    /// is kept for that long; keys of a back end there that became silent go
    /// to another that much later.
    pub far_order_s: f64,
}

/// How closely limits of tenants are held over all gateways.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(default, deny_unknown_fields, rename_all = "kebab-case")]
pub struct TenantLimitSettings {
    /// Window in which the requests of a tenant are counted, in seconds.
    pub window_s: f64,
    /// Requests beyond the limit of a window that are borne, as a part of it.
    pub overage: f64,
    /// Requests beyond the limit of a window that are borne besides.
    pub slack: f64,
}

/// What one gateway may use.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(default, deny_unknown_fields, rename_all = "kebab-case")]
pub struct LimitSettings {
    /// Connections of callers.
    pub caller_connections: usize,
    /// Bytes of bodies held at once, and as many of bodies that are passed on
    /// without being held; where it is not stated, an eighth of the memory each.
    pub held_bytes: Option<usize>,
    /// Bandwidth of the machine's link, in Mbit/s: machines with fast links
    /// watch the store for the others.
    pub link_mbps: f64,
    /// Part of a processor core.
    pub cores: f64,
    /// Memory, in MB.
    pub memory_mb: f64,
}

impl Default for BoundSettings {
    fn default() -> Self {
        BoundSettings {
            grace_s: 6.0,
            leave_s: 2.6,
            zone_drain_s: None,
            // What the users' deployments state that have cold back ends.
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

/// Part of the memory that bodies held may take. As much again is for bodies
/// passed on, and up to twice that lies unread in the system's buffers, which
/// count as well; the rest is for the gateway itself.
const HELD_PART: f64 = 0.125;
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
    /// Bytes of bodies held at once.
    pub(crate) fn held_bytes(&self) -> usize {
        let part = self.memory_mb * BYTES_PER_MB * HELD_PART;
        // A part of the memory of a machine fits into a usize.
        self.held_bytes.unwrap_or(part as usize)
    }
}

impl Default for TenantLimitSettings {
    fn default() -> Self {
        // What the users' deployments state that have limits.
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

/// What the users' deployments state; used where the file names none.
fn default_heartbeat() -> f64 {
    1.3
}
