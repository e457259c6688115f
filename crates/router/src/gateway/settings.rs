//! Settings of a gateway, read from one TOML file. Every field is checked.

mod core_settings;
mod fault;
mod tables;

use std::collections::BTreeMap;
use std::path::Path;
use std::time::Duration;

use serde::Deserialize;

use crate::settings::LogSettings;

pub use fault::SettingsFault;
pub use tables::{
    BoundSettings, LimitSettings, ListenSettings, OwnershipSettings, PlatformSettings,
    RetrySettings, TenantLimitSettings,
};

/// All settings of one gateway.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct GatewaySettings {
    /// Name of the machine, which stays the same after a restart.
    pub machine: String,
    /// Zone of the machine. Back ends of the same zone are preferred.
    pub zone: String,
    /// Region of the machine, if zones belong to regions.
    #[serde(default)]
    pub region: Option<String>,
    /// The region of each zone.
    #[serde(default)]
    pub zones: BTreeMap<String, String>,
    /// Addresses to listen on.
    pub listen: ListenSettings,
    /// Access to the platform.
    pub platform: PlatformSettings,
    /// Time bounds that the deployment promises.
    #[serde(default)]
    pub bounds: BoundSettings,
    /// Retries that all gateways together may make.
    #[serde(default)]
    pub retry_budget: RetrySettings,
    /// Coordination of ownership.
    #[serde(default)]
    pub ownership: OwnershipSettings,
    /// Accuracy of tenant limits over all gateways.
    #[serde(default)]
    pub tenant_limits: TenantLimitSettings,
    /// Resources that one gateway may use.
    #[serde(default)]
    pub limits: LimitSettings,
    /// Logging.
    #[serde(default)]
    pub log: LogSettings,
}

impl GatewaySettings {
    /// Reads and checks a settings file.
    ///
    /// # Errors
    ///
    /// The first problem, with its place in the file and its remedy.
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

    /// Checks that the values are usable and consistent with each other.
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
            if !(value.is_finite() && value > 0.0 && value < MAX_DURATION_S) {
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

    /// Time from the request to stop until requests are cut.
    pub fn stop_timeout(&self) -> Duration {
        seconds(self.bounds.grace_s).saturating_sub(STOP_MARGIN)
    }

    /// Time from the moment at which no new connection arrives until requests
    /// are cut.
    pub fn drain_timeout(&self) -> Duration {
        self.stop_timeout()
            .saturating_sub(seconds(self.bounds.leave_s))
    }
}

/// Part of the grace period in which the process ends after its requests.
const STOP_MARGIN: Duration = Duration::from_millis(100);

/// Upper bound for settings that are durations, in seconds.
const MAX_DURATION_S: f64 = 86_400.0;

/// Converts a checked number of seconds.
pub fn seconds(value: f64) -> Duration {
    Duration::try_from_secs_f64(value).unwrap_or_default()
}
