//! Limits and preferences of the request path.

use std::collections::BTreeMap;
use std::time::Duration;

use threadledge_types::deployment::{Configuration, ServiceName, Topology};

use crate::cold_start::max_mean_rate;

/// Limits and preferences of one router's request path.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// The zone and region of this router, and those of the deployment.
    pub topology: Topology,
    /// Fraction of a route's target latency by which a back end in another zone
    /// must be better to be chosen. A back end in another region is only chosen
    /// if none in the local region can respond within the target latency.
    pub zone_penalty_ratio: f64,
    /// Fraction of a route's target latency after which a request that found no
    /// free slot is refused.
    pub queue_timeout_ratio: f64,
    /// The same for a request whose key is being handed over to another owner.
    pub handover_timeout_ratio: f64,
    /// Number of requests beyond its slots that a back end may have, as
    /// estimated by this router.
    pub queue_per_back_end: u32,
    /// Retries that all routers together may send for each request of a service
    /// within the window. A router uses [`crate::budget::RATIO_FRACTION`] of it.
    pub retry_ratio: f64,
    /// Retries allowed in addition, by all routers together, within the window.
    pub retry_slack: u32,
    /// Length of the retry budget's window.
    pub retry_window: Duration,
    /// Fraction of a route's target latency after which a repeatable request
    /// without a response is also sent to a second back end (hedged).
    pub hedge_delay_ratio: f64,
    /// Delay before a back end that does not hold a key yet is tried again.
    pub owner_retry_delay: Duration,
    /// Most connections that this router opens to one back end.
    pub max_connections_per_back_end: u32,
    /// Requests that a cold back end may get in any second, as a multiple of
    /// its sustainable rate.
    pub cold_overage: f64,
    /// Requests that a cold back end may get in any second in addition.
    pub cold_slack: f64,
    /// How long API keys count as current after the last confirmation. After
    /// that, an unknown key may be one that was added since. `None` means for
    /// ever.
    pub api_key_validity: Option<Duration>,
    /// Whether known API keys are refused as well once they are no longer
    /// confirmed, because they may have been revoked.
    pub fail_closed: bool,
    /// Duration of the first ejection of a back end.
    pub min_ejection: Duration,
    /// Longest duration of an ejection.
    pub max_ejection: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Settings {
            topology: Topology::default(),
            zone_penalty_ratio: 0.6,
            queue_timeout_ratio: 0.22,
            handover_timeout_ratio: 0.7,
            queue_per_back_end: 5,
            retry_ratio: 0.28,
            retry_slack: 2,
            retry_window: Duration::from_secs(10),
            hedge_delay_ratio: 0.8,
            owner_retry_delay: Duration::from_millis(25),
            max_connections_per_back_end: 8,
            cold_overage: 1.5,
            cold_slack: 8.0,
            api_key_validity: None,
            fail_closed: false,
            min_ejection: Duration::from_millis(300),
            max_ejection: Duration::from_secs(3),
        }
    }
}

impl Settings {
    /// Number of requests that a back end with this many slots may have, as
    /// estimated by this router.
    pub(crate) fn requests_at(&self, slots: u32) -> u32 {
        slots.saturating_add(self.queue_per_back_end)
    }

    /// For each service with a rate limit during cold starts, the rate, in
    /// requests per second, at which all routers together should send to one of
    /// its cold back ends.
    pub(crate) fn cold_rates(&self, configuration: &Configuration) -> BTreeMap<ServiceName, f64> {
        let services = configuration.services.iter();
        services
            .filter_map(|(name, service)| {
                let sustainable = service.cold_rate?;
                let bound = sustainable * self.cold_overage + self.cold_slack;
                Some((name.clone(), max_mean_rate(sustainable, bound)))
            })
            .collect()
    }
}
