//! Bounds and preferences of the request path.

use std::collections::BTreeMap;
use std::time::Duration;

use threadledge_types::deployment::{Configuration, ServiceName, Topology};

use crate::cold::mean_rate;

/// Bounds and preferences of one router's request path.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Where this router is.
    pub topology: Topology,
    /// Part of a route's target latency that a back end of another zone must
    /// be better by to be taken. One of another region is taken only where
    /// none of the own region answers within the target.
    pub zone_penalty_ratio: f64,
    /// Part of a route's target latency after which a request that found no
    /// slot is refused.
    pub queue_timeout_ratio: f64,
    /// The same for a key that is on its way from one owner to another.
    pub handover_timeout_ratio: f64,
    /// Requests beyond its slots that a back end may have, as far as this
    /// router can tell.
    pub queue_per_back_end: u32,
    /// Repeats allowed for each request of a service, within the window.
    pub retry_ratio: f64,
    /// Repeats allowed besides, by all routers together, within the window.
    pub retry_slack: u32,
    /// Window of the retry budget.
    pub retry_window: Duration,
    /// Part of a route's target latency after which a repeatable request
    /// without an answer is sent to a second back end as well.
    pub hedge_delay_ratio: f64,
    /// Wait before a back end that does not hold a key yet is asked again.
    pub owner_retry_delay: Duration,
    /// Connections to one back end that this router opens at the most.
    pub max_connections_per_back_end: u32,
    /// Requests that a cold back end may get in any second, as a multiple of
    /// those that it bears.
    pub cold_overage: f64,
    /// Requests that a cold back end may get in any second besides.
    pub cold_slack: f64,
    /// How long callers' keys are sure that nobody has confirmed since; after
    /// that an unknown one may have been added. `None`: they are always sure.
    pub api_key_validity: Option<Duration>,
    /// Known keys that are not sure are refused as well: they may have been
    /// taken away.
    pub fail_closed: bool,
    /// How long a back end that cannot be reached is left alone at first.
    pub min_ejection: Duration,
    /// How long it is left alone at the most.
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
            retry_ratio: 0.14,
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
    /// Requests a second that a cold back end of each service should get from
    /// all routers together, where back ends bear few while they are cold.
    pub(crate) fn cold_rates(&self, configuration: &Configuration) -> BTreeMap<ServiceName, f64> {
        let services = configuration.services.iter();
        services
            .filter_map(|(name, service)| {
                let borne = service.cold_rate?;
                let bound = borne * self.cold_overage + self.cold_slack;
                Some((name.clone(), mean_rate(borne, bound)))
            })
            .collect()
    }
}
