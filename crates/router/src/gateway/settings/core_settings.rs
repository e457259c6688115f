//! Settings of the coordination, limits and dispatch crates, derived from the
//! gateway's settings.

use std::collections::BTreeSet;
use std::time::Duration;

use threadledge_types::deployment::Topology;
use threadledge_types::{RegionName, ZoneName};

use super::{GatewaySettings, seconds};

/// How long the ledger of limits continues without confirmation by the store,
/// so that a store outage of some seconds does not end it.
const LEDGER_LEASE: Duration = Duration::from_secs(6);
/// Fraction of the retry budget's slack that is shared between gateways,
/// because a relay's record may count up to a fifth fewer gateways than there
/// are.
const SLACK_FRACTION: f64 = 0.8;

impl GatewaySettings {
    /// Settings of the coordination crate.
    pub fn coordination(&self) -> threadledge_coordination::Settings {
        let ownership = &self.ownership;
        threadledge_coordination::Settings {
            lease: seconds(ownership.lease_s),
            lease_renewal: seconds(ownership.lease_renewal_s),
            takeover_after: seconds(ownership.takeover_after_s),
            hold: seconds(ownership.hold_s),
            grant_renewal: seconds(ownership.grant_renewal_s),
            far_order_timeout: seconds(ownership.far_order_s),
            near_zones: self.near_zones(),
            ..threadledge_coordination::Settings::default()
        }
    }

    /// Zones of this region, or `None` if all zones belong to one region.
    fn near_zones(&self) -> Option<BTreeSet<ZoneName>> {
        let region = self.region.as_ref()?;
        if self.zones.values().all(|other| other == region) {
            return None;
        }
        let near = self.zones.iter().filter(|(_, other)| *other == region);
        Some(near.map(|(zone, _)| zone.as_str().into()).collect())
    }

    /// Location of this gateway, and the region of each zone.
    pub fn topology(&self) -> Topology {
        let region = self.region.as_deref().map(RegionName::from);
        let zones = self.zones.iter();
        let regions = zones
            .map(|(zone, region)| (zone.as_str().into(), region.as_str().into()))
            .collect();
        Topology::new(self.zone.as_str().into(), region, regions)
    }

    /// Settings of the tenant limits.
    pub fn tenant_limits(&self) -> threadledge_limits::Settings {
        let limits = &self.tenant_limits;
        threadledge_limits::Settings {
            window: seconds(limits.window_s),
            overage: limits.overage,
            slack: limits.slack,
            lease: LEDGER_LEASE,
        }
    }

    /// Settings of the request path.
    pub fn dispatch(&self) -> threadledge_dispatch::Settings {
        let defaults = threadledge_dispatch::Settings::default();
        let retry = &self.retry_budget;
        threadledge_dispatch::Settings {
            topology: self.topology(),
            retry_ratio: retry.ratio,
            retry_slack: (retry.slack * SLACK_FRACTION)
                .floor()
                .clamp(0.0, f64::from(u32::MAX)) as u32,
            retry_window: seconds(retry.window_s),
            cold_overage: self.bounds.cold_overage,
            cold_slack: self.bounds.cold_slack,
            api_key_validity: Some(seconds(self.bounds.revoke_s)),
            fail_closed: self.bounds.fail_closed,
            ..defaults
        }
    }
}
