//! Settings of a gateway: one TOML file, every field of which is checked.

mod fault;

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use serde::Deserialize;
use threadledge_types::deployment::Places;
use threadledge_types::{RegionName, ZoneName};

use crate::settings::LogSettings;

pub use fault::SettingsFault;

/// Everything that one gateway is told.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct GatewaySettings {
    /// Name of the machine; the same after a restart.
    pub machine: String,
    /// Zone of the machine; back ends of the same zone are preferred.
    pub zone: String,
    /// Region of the machine, where zones lie in regions.
    #[serde(default)]
    pub region: Option<String>,
    /// The region of each zone.
    #[serde(default)]
    pub zones: BTreeMap<String, String>,
    /// Where to listen.
    pub listen: ListenSettings,
    /// The platform.
    pub platform: PlatformSettings,
    /// Times that the deployment promises.
    #[serde(default)]
    pub bounds: BoundSettings,
    /// Repeats that all gateways together may make.
    #[serde(default)]
    pub retry_budget: RetrySettings,
    /// Coordination of ownership.
    #[serde(default)]
    pub ownership: OwnershipSettings,
    /// How limits of tenants are held over all gateways.
    #[serde(default)]
    pub tenant_limits: TenantLimitSettings,
    /// What one gateway may use.
    #[serde(default)]
    pub limits: LimitSettings,
    /// Logging.
    #[serde(default)]
    pub log: LogSettings,
}

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
    /// Gateways among which the slack is divided while their number is not
    /// known.
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
            far_order_s: core.far_order.as_secs_f64(),
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
    pub(super) fn held_bytes(&self) -> usize {
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

impl GatewaySettings {
    /// Reads and checks a settings file.
    ///
    /// # Errors
    ///
    /// The first problem, with its place and remedy.
    pub fn read(path: &Path) -> Result<Self, SettingsFault> {
        let text = std::fs::read_to_string(path).map_err(|cause| SettingsFault::Unreadable {
            path: path.to_owned(),
            cause,
        })?;
        let settings: GatewaySettings =
            toml::from_str(&text).map_err(|cause| SettingsFault::Malformed {
                path: path.to_owned(),
                cause: Box::new(cause),
            })?;
        settings.check()?;
        Ok(settings)
    }

    /// Holds the values to what can be used and to each other.
    ///
    /// # Errors
    ///
    /// The first problem.
    pub fn check(&self) -> Result<(), SettingsFault> {
        let ownership = &self.ownership;
        let positive = [
            ("platform.call-timeout-s", self.platform.call_timeout_s),
            ("platform.watch-s", self.platform.watch_s),
            ("platform.heartbeat-s", self.platform.heartbeat_s),
            ("bounds.grace-s", self.bounds.grace_s),
            ("bounds.leave-s", self.bounds.leave_s),
            ("bounds.configuration-s", self.bounds.configuration_s),
            ("bounds.contact-s", self.bounds.contact_s),
            ("bounds.revoke-s", self.bounds.revoke_s),
            ("tenant-limits.window-s", self.tenant_limits.window_s),
            ("retry-budget.window-s", self.retry_budget.window_s),
            ("ownership.max-hold-s", ownership.max_hold_s),
            ("ownership.hold-s", ownership.hold_s),
            ("ownership.grant-renewal-s", ownership.grant_renewal_s),
            ("ownership.lease-s", ownership.lease_s),
            ("ownership.lease-renewal-s", ownership.lease_renewal_s),
            ("ownership.takeover-after-s", ownership.takeover_after_s),
            ("ownership.far-order-s", ownership.far_order_s),
        ];
        for (field, value) in positive {
            if !(value.is_finite() && value > 0.0 && value < LONGEST_S) {
                let remedy = "write a number of seconds above 0 and below 86,400";
                return Err(SettingsFault::Value {
                    field,
                    value,
                    remedy,
                });
            }
        }
        let at_least_zero = [
            ("retry-budget.ratio", self.retry_budget.ratio),
            ("retry-budget.slack", self.retry_budget.slack),
            ("limits.link-mbps", self.limits.link_mbps),
            ("limits.cores", self.limits.cores),
            ("limits.memory-mb", self.limits.memory_mb),
            ("tenant-limits.overage", self.tenant_limits.overage),
            ("tenant-limits.slack", self.tenant_limits.slack),
            (
                "bounds.zone-drain-s",
                self.bounds.zone_drain_s.unwrap_or(0.0),
            ),
            ("bounds.cold-overage", self.bounds.cold_overage),
            ("bounds.cold-slack", self.bounds.cold_slack),
        ];
        for (field, value) in at_least_zero {
            if !(value.is_finite() && value >= 0.0) {
                let remedy = "write a number of at least 0";
                return Err(SettingsFault::Value {
                    field,
                    value,
                    remedy,
                });
            }
        }
        if self.bounds.leave_s >= self.bounds.grace_s {
            return Err(SettingsFault::Value {
                field: "bounds.leave-s",
                value: self.bounds.leave_s,
                remedy: "write less than bounds.grace-s, so that requests can end",
            });
        }
        if ownership.hold_s > ownership.max_hold_s {
            return Err(SettingsFault::Value {
                field: "ownership.hold-s",
                value: ownership.hold_s,
                remedy: "write at most ownership.max-hold-s: back ends refuse longer holds",
            });
        }
        self.coordination().check()?;
        Ok(())
    }

    /// Settings of the coordination core.
    pub fn coordination(&self) -> threadledge_coordination::Settings {
        let ownership = &self.ownership;
        threadledge_coordination::Settings {
            lease: seconds(ownership.lease_s),
            lease_renewal: seconds(ownership.lease_renewal_s),
            takeover_after: seconds(ownership.takeover_after_s),
            hold: seconds(ownership.hold_s),
            grant_renewal: seconds(ownership.grant_renewal_s),
            far_order: seconds(ownership.far_order_s),
            near_zones: self.near_zones(),
            ..threadledge_coordination::Settings::default()
        }
    }

    /// Zones of this region; `None` where all zones lie in one.
    fn near_zones(&self) -> Option<BTreeSet<ZoneName>> {
        let region = self.region.as_ref()?;
        if self.zones.values().all(|other| other == region) {
            return None;
        }
        let near = self.zones.iter().filter(|(_, other)| *other == region);
        Some(near.map(|(zone, _)| zone.as_str().into()).collect())
    }

    /// Where this gateway is, and which zone lies in which region.
    pub fn places(&self) -> Places {
        let region = self.region.as_deref().map(RegionName::from);
        let zones = self.zones.iter();
        let regions = zones
            .map(|(zone, region)| (zone.as_str().into(), region.as_str().into()))
            .collect();
        Places::new(self.zone.as_str().into(), region, regions)
    }

    /// Settings of the limits of tenants.
    pub fn tenant_limits(&self) -> threadledge_limits::Settings {
        let limits = &self.tenant_limits;
        threadledge_limits::Settings {
            window: seconds(limits.window_s),
            overage: limits.overage,
            slack: limits.slack,
            office: LEDGER_OFFICE,
        }
    }

    /// Settings of the request path.
    pub fn dispatch(&self) -> threadledge_dispatch::Settings {
        let defaults = threadledge_dispatch::Settings::default();
        let retry = &self.retry_budget;
        threadledge_dispatch::Settings {
            places: self.places(),
            retry_ratio: retry.ratio * RATIO_PART,
            retry_slack: (retry.slack * SLACK_PART)
                .floor()
                .clamp(0.0, f64::from(u32::MAX)) as u32,
            gateways: retry.gateways.max(1),
            retry_window: seconds(retry.window_s),
            cold_overage: self.bounds.cold_overage,
            cold_slack: self.bounds.cold_slack,
            keys_last: Some(seconds(self.bounds.revoke_s)),
            fail_closed: self.bounds.fail_closed,
            ..defaults
        }
    }
}

/// How long a ledger of limits goes on without confirmation by the store: a
/// store that is away for some seconds ends no ledger.
const LEDGER_OFFICE: Duration = Duration::from_secs(6);
/// Longest time that a setting may state, in seconds.
const LONGEST_S: f64 = 86_400.0;
/// Part of the budget's slack that is shared: gateways that nobody has heard
/// of yet have a share as well.
const SLACK_PART: f64 = 0.8;
/// Part of the budget's ratio that a gateway uses: its window and that of
/// whoever counts do not begin together.
const RATIO_PART: f64 = 0.75;

/// A checked number of seconds.
pub fn seconds(value: f64) -> Duration {
    Duration::try_from_secs_f64(value).unwrap_or_default()
}
