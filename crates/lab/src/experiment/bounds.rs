//! Bounds that a run has to hold besides the guarantees.

use serde::{Deserialize, Serialize};

use crate::measures::goodput_share;
use crate::report::{BoundBreach, Report};

/// Bounds; those left out are not judged.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields, default)]
pub struct Bounds {
    /// Largest share of requests that are not answered, between 0 and 1.
    pub unanswered_share: Option<f64>,
    /// Longest unavailable time, in milliseconds.
    pub unavailable_ms: Option<f64>,
    /// Longest time that a key had no owner, in milliseconds.
    pub keys_unavailable_ms: Option<f64>,
    /// Largest latency of 99 in 100 answered requests, in milliseconds.
    pub latency_p99_ms: Option<f64>,
    /// Largest imbalance by load of any service.
    pub imbalance: Option<f64>,
    /// Largest churn.
    pub churn: Option<f64>,
    /// Longest time until accepted configuration is in force, in
    /// milliseconds.
    pub configuration_in_force_ms: Option<f64>,
    /// Smallest goodput of the last stretch of load over the lesser of what
    /// it offered and the best goodput of any stretch, between 0 and 1.
    pub goodput_share: Option<f64>,
    /// Smallest number of requests answered; a run without load proves
    /// nothing.
    pub answered: Option<f64>,
}

impl Bounds {
    /// Bounds that `report` does not hold. A bound without a figure counts as
    /// not held.
    pub fn breached(&self, report: &Report) -> Vec<BoundBreach> {
        let p99 = report.latency_ms.all.p99;
        let answered = report.outcomes.answered as f64;
        let share = report.outcomes.unanswered_share();
        let most = [
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
        let mut breaches: Vec<BoundBreach> = most
            .into_iter()
            .filter_map(|(bound, allowed, measured)| {
                let allowed = allowed?;
                let held = measured.is_some_and(|measured| measured <= allowed);
                (!held).then(|| breach(bound, allowed, measured))
            })
            .collect();
        let share = goodput_share(&report.goodput);
        if let Some(least) = self.goodput_share
            && share.is_none_or(|share| share < least)
        {
            breaches.push(breach("goodput-share", least, share));
        }
        if let Some(least) = self.answered.filter(|least| answered < *least) {
            breaches.push(breach("answered", least, Some(answered)));
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
