//! The retry budgets of the services, and this router's share of what all may
//! use together.

use threadledge_types::Timestamp;
use threadledge_types::deployment::ServiceName;

use super::Dispatcher;
use crate::budget::{Permit, RetryBudget};
use crate::counters::{RetryCounts, RetryDenials};

impl Dispatcher {
    /// Says how many routers share the retry budget, the connections that back
    /// ends take and the limits that they name. The slack of the budget and the
    /// limits are shared by this number until `until`; `None`: for good.
    pub fn set_router_count(&mut self, now: Timestamp, routers: u32, until: Option<Timestamp>) {
        let before = self.fleet.replace(routers.max(1));
        self.fleet_known.get_or_insert(now);
        self.slack_until = until;
        self.limited.set_shared_until(until);
        if before != self.fleet {
            self.share_limits(now);
        }
        let slack = self.own_retry_slack();
        for budget in self.budgets.values_mut() {
            budget.set_slack(now, slack, until);
        }
    }

    /// Retries of each service since the start, and the slack in force here.
    pub fn retry_stats(
        &self,
        now: Timestamp,
    ) -> impl Iterator<Item = (&ServiceName, RetryCounts, f64)> {
        let budgets = self.budgets.iter();
        budgets.map(move |(service, budget)| (service, budget.counts(), budget.slack(now)))
    }

    /// Denials of retries since the last call: for each service at most one a
    /// second.
    pub fn take_retry_denials(&mut self) -> Vec<RetryDenials> {
        std::mem::take(&mut self.denials)
    }

    fn note_denial(&mut self, now: Timestamp, service: &ServiceName) {
        let routers = self.fleet;
        let budget = self.budget(now, service);
        let Some(denied) = budget.take_unreported_denials(now) else {
            return;
        };
        let used = budget.usage(now);
        self.denials.push(RetryDenials {
            service: service.clone(),
            denied,
            requests: used.requests,
            retries: used.retries,
            slack: used.slack,
            routers,
        });
    }

    /// The right to one retry, unless the budget of the service does not allow
    /// it.
    pub(super) fn permit_retry(&mut self, now: Timestamp, service: &ServiceName) -> Option<Permit> {
        let permit = self.budget(now, service).take(now);
        if permit.is_none() {
            self.counters.repeats_denied += 1;
            self.note_denial(now, service);
        }
        permit
    }

    pub(super) fn budget(&mut self, now: Timestamp, service: &ServiceName) -> &mut RetryBudget {
        let slack = self.own_retry_slack();
        let since = self.fleet_known.unwrap_or(now);
        let until = self.slack_until;
        let settings = &self.settings;
        self.budgets.entry(service.clone()).or_insert_with(|| {
            let mut budget = RetryBudget::new(since, settings.retry_ratio, settings.retry_window);
            budget.set_slack(since, slack, until);
            budget
        })
    }

    /// This router's part of the retry budget's slack: nothing while the
    /// number of those that share it is not known.
    fn own_retry_slack(&self) -> f64 {
        let slack = f64::from(self.settings.retry_slack);
        self.fleet.map_or(0.0, |routers| slack / f64::from(routers))
    }
}
