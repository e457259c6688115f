//! Bounds that a run must satisfy in addition to the guarantees.

use serde::{Deserialize, Serialize};

use crate::measures::goodput_share;
use crate::report::{BoundBreach, Report};

/// Bounds on the measures of a run; a bound that is `None` is not checked.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields, default)]
pub struct Bounds {
    /// Maximum share of requests that are not answered, between 0 and 1.
    pub unanswered_share: Option<f64>,
    /// Maximum unavailable time, in milliseconds.
    pub unavailable_ms: Option<f64>,
    /// Maximum time that a key had no owner, in milliseconds.
    pub keys_unavailable_ms: Option<f64>,
    /// Maximum 99th percentile of the latency of answered requests, in
    /// milliseconds.
    pub latency_p99_ms: Option<f64>,
    /// Maximum load imbalance of any service.
    pub imbalance: Option<f64>,
    /// Maximum churn: share of keys that changed owner, summed over changes
    /// and services.
    pub churn: Option<f64>,
    /// Maximum time until accepted configuration takes effect, in
    /// milliseconds.
    pub configuration_in_force_ms: Option<f64>,
    /// Minimum goodput of the last interval of load, relative to the lesser of
    /// the load offered in it and the best goodput of any interval, between 0
    /// and 1.
    pub goodput_share: Option<f64>,
    /// Minimum number of answered requests, because a run without load proves
    /// nothing.
    pub answered: Option<f64>,
}

impl Bounds {
    /// Returns the bounds that `report` exceeds. A bound whose measure is
    /// missing from the report counts as exceeded.
    pub fn breached(&self, report: &Report) -> Vec<BoundBreach> {
        let p99 = report.latency_ms.all.p99;
        let answered = report.outcomes.answered as f64;
        let share = report.outcomes.unanswered_share();
        let maximums = [
            ("unanswered-share", self.unanswered_share, Some(share)),
            (
                "unavailable-ms",
                self.unavailable_ms,
                Some(report.unavailable_ms),
            ),
            (
                "keys-unavailable-ms",
                self.keys_unavailable_ms,
                Some(report.unavailable_details.keys_ms),
            ),
            ("latency-p99-ms", self.latency_p99_ms, Some(p99)),
            ("imbalance", self.imbalance, Some(report.imbalance)),
            ("churn", self.churn, Some(report.churn)),
            (
                "configuration-in-force-ms",
                self.configuration_in_force_ms,
                report.configuration_in_force_ms,
            ),
        ];
        let mut breaches: Vec<BoundBreach> = maximums
            .into_iter()
            .filter_map(|(bound, allowed, measured)| {
                let allowed = allowed?;
                let satisfied = measured.is_some_and(|measured| measured <= allowed);
                (!satisfied).then(|| breach(bound, allowed, measured))
            })
            .collect();
        let share = goodput_share(&report.goodput);
        if let Some(minimum) = self.goodput_share
            && share.is_none_or(|share| share < minimum)
        {
            breaches.push(breach("goodput-share", minimum, share));
        }
        if let Some(minimum) = self.answered.filter(|minimum| answered < *minimum) {
            breaches.push(breach("answered", minimum, Some(answered)));
        }
        breaches
    }
}

fn breach(bound: &str, allowed: f64, measured: Option<f64>) -> BoundBreach {
    BoundBreach {
        bound: bound.to_owned(),
        allowed,
        measured,
    }
}
