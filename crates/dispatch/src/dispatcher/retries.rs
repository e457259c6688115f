//! The retry budgets of the services, and this router's share of their slack.

use threadledge_types::Timestamp;
use threadledge_types::deployment::ServiceName;

use super::Dispatcher;
use crate::budget::{Permit, RATIO_FRACTION, RetryBudget};
use crate::counters::{AllowedRetries, RetryCounts, RetryDenials};

impl Dispatcher {
    /// Sets the number of routers that share the retry budgets, the connections
    /// to back ends and their rate limits. As a divisor of slack and rate
    /// limits it expires at `valid_until`; `None` means never.
    pub fn set_router_count(
        &mut self,
        now: Timestamp,
        routers: u32,
        valid_until: Option<Timestamp>,
    ) {
        let before = self.router_count.replace(routers.max(1));
        self.router_count_since.get_or_insert(now);
        self.router_count_valid_until = valid_until;
        self.limited_back_ends.set_router_count_expiry(valid_until);
        if before != self.router_count {
            self.divide_limits(now);
        }
        let slack = self.retry_slack_share();
        for budget in self.retry_budgets.values_mut() {
            budget.set_slack(now, slack, valid_until);
        }
    }

    /// For each service, the retries since the process started and the slack in
    /// force on this router.
    pub fn retry_stats(
        &self,
        now: Timestamp,
    ) -> impl Iterator<Item = (&ServiceName, RetryCounts, f64)> {
        let retry_budgets = self.retry_budgets.iter();
        retry_budgets.map(move |(service, budget)| (service, budget.counts(), budget.slack(now)))
    }

    /// Denied retries since the last call; at most one report per service and
    /// second.
    pub fn take_retry_denials(&mut self) -> Vec<RetryDenials> {
        std::mem::take(&mut self.denials)
    }

    /// Allowed retries since the last call; at most one report per service and
    /// second.
    pub fn take_allowed_retries(&mut self) -> Vec<AllowedRetries> {
        std::mem::take(&mut self.allowed_retries)
    }

    /// Reports the allowed retries of a service, at most once per second.
    pub(super) fn record_allowed_retries(&mut self, now: Timestamp, service: &ServiceName) {
        let report = self.retry_budget(now, service).take_allowed(now, service);
        self.allowed_retries.extend(report);
    }

    /// Reports the denied retries of a service, at most once per second.
    fn record_denial(&mut self, now: Timestamp, service: &ServiceName) {
        let routers = self.router_count;
        let budget = self.retry_budget(now, service);
        let Some(denied) = budget.take_unreported_denials(now) else {
            return;
        };
        let usage = budget.usage(now);
        self.denials.push(RetryDenials {
            service: service.clone(),
            denied,
            requests: usage.requests,
            retries: usage.retries,
            slack: usage.slack,
            routers,
        });
    }

    /// Takes a permit for one retry, if the service's budget allows it.
    pub(super) fn take_retry_permit(
        &mut self,
        now: Timestamp,
        service: &ServiceName,
    ) -> Option<Permit> {
        let permit = self.retry_budget(now, service).take(now);
        if permit.is_none() {
            self.counters.repeats_denied += 1;
            self.record_denial(now, service);
        }
        permit
    }

    /// The retry budget of a service, which is created if it does not exist
    /// yet.
    pub(super) fn retry_budget(
        &mut self,
        now: Timestamp,
        service: &ServiceName,
    ) -> &mut RetryBudget {
        let slack = self.retry_slack_share();
        let since = self.router_count_since.unwrap_or(now);
        let valid_until = self.router_count_valid_until;
        let settings = &self.settings;
        self.retry_budgets
            .entry(service.clone())
            .or_insert_with(|| {
                let ratio = settings.retry_ratio * RATIO_FRACTION;
                let mut budget = RetryBudget::new(since, ratio, settings.retry_window);
                budget.set_slack(since, slack, valid_until);
                budget
            })
    }

    /// This router's share of the retry budget's slack: zero while the number
    /// of routers that share it is unknown.
    fn retry_slack_share(&self) -> f64 {
        let slack = f64::from(self.settings.retry_slack);
        self.router_count
            .map_or(0.0, |routers| slack / f64::from(routers))
    }
}
