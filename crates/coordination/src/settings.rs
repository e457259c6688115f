//! Durations of coordination, and the rules between them.

use std::time::Duration;

use threadledge_types::Timestamp;

/// Durations of one coordinator. [`Settings::check`] holds them to each
/// other.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// How long after a confirmed renewal a coordinator goes on renewing
    /// grants and giving orders.
    pub lease: Duration,
    /// Time between renewals of the coordinator's lease.
    pub lease_renewal: Duration,
    /// Time between two looks of a standby at the lease.
    pub standby_poll: Duration,
    /// How long a lease must stay unrenewed, seen by a store that answers,
    /// before a standby takes over.
    pub takeover_after: Duration,
    /// How long a grant lasts at a back end, from its arrival there.
    pub hold: Duration,
    /// Time between renewals of a grant.
    pub grant_renewal: Duration,
    /// Longest wait for a back end's answer to an order.
    pub order_timeout: Duration,
    /// Longest wait for a back end to finish its work on keys that it
    /// releases.
    pub release_timeout: Duration,
    /// Pause before an order or a store call that failed is made again.
    pub retry_pause: Duration,
    /// Time for back ends to register before the first assignment.
    pub gather: Duration,
    /// How much slower than ours a back end's clock may run, in percent.
    pub clock_rate_percent: u32,
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
            release_timeout: Duration::from_secs(2),
            retry_pause: Duration::from_millis(200),
            gather: Duration::from_millis(1_500),
            clock_rate_percent: 2,
        }
    }
}

/// Two durations that contradict each other.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Contradiction {
    /// The one that is too long.
    pub longer: &'static str,
    /// The one that it must stay below.
    pub shorter: &'static str,
}

impl Settings {
    /// Holds the durations to each other.
    ///
    /// # Errors
    ///
    /// The first two that contradict each other.
    pub fn check(&self) -> Result<(), Contradiction> {
        let ordered = [
            ("lease-renewal", self.lease_renewal, "lease", self.lease),
            ("grant-renewal", self.grant_renewal, "hold", self.hold),
            ("order-timeout", self.order_timeout, "hold", self.hold),
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

    /// When a grant that arrived at `arrival` at the latest has surely run
    /// out, by the slowest clock.
    pub fn hold_over(&self, arrival: Timestamp, hold: Duration) -> Timestamp {
        let drift = hold * self.clock_rate_percent / 100;
        arrival + hold + drift + HOLD_MARGIN
    }
}

/// Added to every hold that is waited out, for rounding on the way.
const HOLD_MARGIN: Duration = Duration::from_millis(20);
