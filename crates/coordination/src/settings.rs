//! Durations of the coordination protocol and the constraints between them.

use std::collections::BTreeSet;
use std::time::Duration;

use threadledge_types::{Timestamp, ZoneName};

use crate::order::{Distance, OrderKind};

/// Durations used by one coordinator. [`Settings::check`] checks the
/// constraints between them.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Time after a confirmed renewal for which a coordinator continues to
    /// renew grants and send orders.
    pub lease: Duration,
    /// Time between renewals of the coordinator's lease.
    pub lease_renewal: Duration,
    /// Time between two reads of the lease by a standby.
    pub standby_poll: Duration,
    /// Time without renewal, while the store answers, after which a standby
    /// takes the lease.
    pub takeover_after: Duration,
    /// Duration of a grant at a back end, counted from its arrival there.
    pub hold: Duration,
    /// Time between renewals of a grant.
    pub grant_renewal: Duration,
    /// Maximum time to wait for a back end's answer to an order before the
    /// order is sent again and counts as unanswered.
    pub order_timeout: Duration,
    /// Maximum duration of an order to another region. Its connection stays
    /// open for this time and is then closed.
    pub far_order_timeout: Duration,
    /// Zones of this region; `None` if all zones are in it.
    pub near_zones: Option<BTreeSet<ZoneName>>,
    /// Maximum time to wait for a back end to finish its work on keys that it
    /// releases.
    pub release_timeout: Duration,
    /// Delay before a failed order or store call is repeated.
    pub retry_delay: Duration,
    /// Time for back ends to register before the first assignment.
    pub registration_wait: Duration,
    /// Maximum difference by which a back end's clock may run slower than the
    /// coordinator's, in percent.
    pub clock_drift_percent: u32,
}

impl Default for Settings {
    fn default() -> Self {
        Settings {
            lease: Duration::from_secs(6),
            lease_renewal: Duration::from_millis(800),
            standby_poll: Duration::from_millis(600),
            takeover_after: Duration::from_millis(1_600),
            hold: Duration::from_secs(3),
            grant_renewal: Duration::from_millis(700),
            order_timeout: Duration::from_millis(500),
            far_order_timeout: DEFAULT_FAR_ORDER_TIMEOUT,
            near_zones: None,
            release_timeout: Duration::from_secs(2),
            retry_delay: Duration::from_millis(200),
            registration_wait: Duration::from_millis(1_500),
            clock_drift_percent: 2,
        }
    }
}

/// Two durations that contradict each other.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Contradiction {
    /// Name of the duration that is too long.
    pub longer: &'static str,
    /// Name of the duration that it must stay below.
    pub shorter: &'static str,
}

impl Settings {
    /// Checks the constraints between the durations.
    ///
    /// # Errors
    ///
    /// Returns the first two durations that contradict each other.
    pub fn check(&self) -> Result<(), Contradiction> {
        let ordered = [
            ("lease-renewal", self.lease_renewal, "lease", self.lease),
            ("grant-renewal", self.grant_renewal, "hold", self.hold),
            ("order-timeout", self.order_timeout, "hold", self.hold),
            (
                "order-timeout",
                self.order_timeout,
                "far-order",
                self.far_order_timeout,
            ),
            (
                "lease-renewal",
                self.lease_renewal,
                "takeover-after",
                self.takeover_after,
            ),
        ];
        for (longer, first, shorter, second) in ordered {
            if first >= second {
                return Err(Contradiction { longer, shorter });
            }
        }
        Ok(())
    }

    /// Returns how far away a back end in `zone` is. A back end in an unknown
    /// zone may be anywhere.
    pub fn distance(&self, zone: Option<&ZoneName>) -> Distance {
        let Some(near) = &self.near_zones else {
            return Distance::Near;
        };
        match zone {
            Some(zone) if near.contains(zone) => Distance::Near,
            _ => Distance::Far,
        }
    }

    /// Returns how long to wait for the answer to an order before its
    /// connection is closed. Nothing more of the order is sent after that, but
    /// what has left this node may still be read and carried out.
    pub fn answer_timeout(&self, kind: &OrderKind, distance: Distance) -> Duration {
        let answer = match kind {
            OrderKind::Grant(_) => self.order_timeout,
            OrderKind::Release => self.release_timeout,
        };
        match distance {
            Distance::Near => answer,
            Distance::Far => answer.max(self.far_order_timeout),
        }
    }

    /// Returns how long a grant of another coordinator, which may run in any
    /// region, can be in transit.
    pub fn max_grant_transit(&self) -> Duration {
        match self.near_zones {
            None => self.order_timeout,
            Some(_) => self.order_timeout.max(self.far_order_timeout),
        }
    }

    /// Returns when a grant that arrived at `arrival` at the latest has
    /// certainly expired, even by the slowest clock.
    pub fn hold_expiry(&self, arrival: Timestamp, hold: Duration) -> Timestamp {
        let drift = hold * self.clock_drift_percent / 100;
        arrival + hold + drift + HOLD_MARGIN
    }
}

/// Default of [`Settings::far_order_timeout`].
const DEFAULT_FAR_ORDER_TIMEOUT: Duration = Duration::from_secs(3);
/// Added to every grant duration that is waited out, to allow for rounding.
const HOLD_MARGIN: Duration = Duration::from_millis(20);
