//! The retry budget of one service, as kept by one router.
//!
//! In any window, all routers together may send retries up to a ratio of the
//! requests, plus a fixed slack. Each request earns its router a credit, and
//! each retry spends credit or a share of the slack, so that routers need not
//! coordinate for each retry.

use std::time::Duration;

use threadledge_types::Timestamp;
use threadledge_types::deployment::ServiceName;

use crate::counters::{AllowedRetries, RetryCounts};
use crate::credit_window::{CreditWindow, Payment};
use crate::slack_bucket::SlackBucket;

/// Fraction of the ratio that each request earns as credit: the requests of two
/// windows pay for the retries of one.
pub const RATIO_FRACTION: f64 = 0.5;
/// Age from which a returned permit counts as returned late.
const LATE_RETURN: Duration = Duration::from_secs(1);
/// Minimum time between two reports of denied retries, and of allowed ones.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// Permission for one retry, and where it was charged.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Permit {
    taken_at: Timestamp,
    /// The part charged to the credit of requests.
    payment: Payment,
    /// The part charged to the slack.
    from_slack: f64,
}

/// Requests and retries of one service in a sliding window, and the limit on
/// retries.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    window: CreditWindow,
    slack: SlackBucket,
    counts: RetryCounts,
    /// Denials up to the last report, and when that was made.
    last_report: Option<(u64, Timestamp)>,
    unreported: UnreportedRetries,
}

/// What happened to the budget since the last report of allowed retries.
#[derive(Clone, Copy, Debug, Default)]
struct UnreportedRetries {
    /// When the last report was made, and the retries sent until then.
    reported: Option<(Timestamp, u64)>,
    allowed: u64,
    from_slack: f64,
    oldest_request: Duration,
}

/// The usage of a budget, and the slack that it has.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BudgetUsage {
    /// Requests in the window.
    pub requests: u32,
    /// Retries in the window.
    pub retries: u32,
    /// Retries allowed in a window in addition to the ratio of the requests.
    pub slack: f64,
}

impl RetryBudget {
    /// Creates a budget in which each request earns a credit of `ratio`
    /// retries, without any slack yet.
    pub fn new(now: Timestamp, ratio: f64, window: Duration) -> Self {
        RetryBudget {
            window: CreditWindow::new(ratio, window),
            slack: SlackBucket::new(now, window),
            counts: RetryCounts::default(),
            last_report: None,
            unreported: UnreportedRetries::default(),
        }
    }

    /// Sets how many retries are allowed in a window in addition to the ratio
    /// of the requests. The value expires at `valid_until`; `None` means never.
    pub fn set_slack(&mut self, now: Timestamp, slack: f64, valid_until: Option<Timestamp>) {
        self.slack.set_rate(now, slack, valid_until);
    }

    /// Retries allowed in a window in addition to the ratio of the requests.
    pub fn slack(&self, now: Timestamp) -> f64 {
        self.slack.per_window(now)
    }

    /// Counts a request.
    pub fn count_request(&mut self, now: Timestamp) {
        self.window.count_request(now);
    }

    /// Takes a permit for one retry, if the budget allows one.
    pub fn take(&mut self, now: Timestamp) -> Option<Permit> {
        let permit = self.price_retry(now);
        if !self.slack.try_take(now, permit.from_slack) {
            self.counts.denied += 1;
            return None;
        }
        self.record_allowed(now, &permit);
        self.window.count_retry(now, &permit.payment);
        Some(permit)
    }

    /// Adds a retry to the next report of allowed retries.
    fn record_allowed(&mut self, now: Timestamp, permit: &Permit) {
        let age = match permit.payment.credit > 0 {
            true => self.window.age(now, &permit.payment),
            false => Duration::ZERO,
        };
        let unreported = &mut self.unreported;
        unreported.allowed += 1;
        unreported.from_slack += permit.from_slack;
        unreported.oldest_request = unreported.oldest_request.max(age);
    }

    /// The allowed retries since the last report, for `service`. Returns `None`
    /// if there are none or the last report was less than `REPORT_INTERVAL`
    /// ago.
    pub fn take_allowed(
        &mut self,
        now: Timestamp,
        service: &ServiceName,
    ) -> Option<AllowedRetries> {
        let (reported_at, sent_before) = self.unreported.reported.unwrap_or_default();
        let is_due = now.since(reported_at) >= REPORT_INTERVAL;
        if self.unreported.allowed == 0 || !is_due {
            return None;
        }
        let next = UnreportedRetries {
            reported: Some((now, self.counts.sent)),
            ..UnreportedRetries::default()
        };
        let last = std::mem::replace(&mut self.unreported, next);
        Some(AllowedRetries {
            service: service.clone(),
            allowed: last.allowed,
            sent: self.counts.sent - sent_before,
            from_slack: last.from_slack,
            oldest_request: last.oldest_request,
        })
    }

    /// Computes how a retry would be charged now: to the credit of requests as
    /// far as it suffices, and to the slack for the rest.
    fn price_retry(&mut self, now: Timestamp) -> Permit {
        let payment = self.window.price(now);
        Permit {
            taken_at: now,
            payment,
            from_slack: 1.0 - payment.fraction(),
        }
    }

    /// The current usage of the budget.
    pub fn usage(&mut self, now: Timestamp) -> BudgetUsage {
        BudgetUsage {
            requests: self.window.requests(now),
            retries: self.window.retries(now),
            slack: self.slack(now),
        }
    }

    /// Counts a retry that was sent to a back end.
    pub fn count_sent(&mut self) {
        self.counts.sent += 1;
    }

    /// Counts since the process started.
    pub fn counts(&self) -> RetryCounts {
        self.counts
    }

    /// Denials since the last report. Returns `None` if the last report was
    /// less than `REPORT_INTERVAL` ago.
    pub fn take_unreported_denials(&mut self, now: Timestamp) -> Option<u64> {
        let before = match self.last_report {
            Some((_, at)) if now.since(at) < REPORT_INTERVAL => return None,
            Some((before, _)) => before,
            None => 0,
        };
        self.last_report = Some((self.counts.denied, now));
        Some(self.counts.denied - before)
    }

    /// Returns the permit of a retry that was never sent.
    pub fn return_permit(&mut self, now: Timestamp, permit: Permit) {
        self.counts.given_back += 1;
        if now.since(permit.taken_at) > LATE_RETURN {
            self.counts.given_back_late += 1;
        }
        self.slack
            .return_unused(now, permit.from_slack, permit.taken_at);
        self.window
            .undo_retry(now, permit.taken_at, &permit.payment);
    }
}
