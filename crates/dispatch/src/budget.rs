//! The retry budget of one service, as kept by one router.
//!
//! In any window, all routers together may send retries up to a ratio of the
//! requests, plus a fixed slack. Each request earns its router a credit, and
//! each retry spends credit or a share of the slack, so that routers need not
//! coordinate for each retry. Credit expires, so that the retries of a window
//! are paid for by the requests of that window and the one before, whichever
//! routers they came to.

use std::time::Duration;

use threadledge_types::Timestamp;
use threadledge_types::deployment::ServiceName;

use crate::counters::{AllowedRetries, RetryCounts};
use crate::slack_bucket::SlackBucket;

/// Fraction of the ratio that each request earns as credit: the requests of two
/// windows pay for the retries of one.
pub const RATIO_FRACTION: f64 = 0.5;
/// Age from which a returned permit counts as returned late.
const LATE_RETURN: Duration = Duration::from_secs(1);
/// Minimum time between two reports of denied retries.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);
/// Number of buckets into which the sliding window is divided.
const BUCKETS_PER_WINDOW: u32 = 20;
/// Number of buckets that are kept: one more than the window has, so that they
/// always cover a whole window, wherever it starts within a bucket.
const BUCKET_COUNT: usize = BUCKETS_PER_WINDOW as usize + 1;
/// Credit that one retry costs.
const RETRY_COST: u64 = 1_000_000;
/// Number of buckets whose credit can be spent. The rest of the window is for
/// the time until a retry arrives at its back end.
const CREDIT_BUCKETS: u64 = 16;

#[derive(Clone, Copy, Debug, Default)]
struct Bucket {
    requests: u32,
    retries: u32,
    /// Credit that the requests of this bucket earned and that is not spent, in
    /// the unit of `RETRY_COST`.
    credit: u64,
}

/// Permission for one retry, and where it was charged.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Permit {
    taken_at: Timestamp,
    /// The oldest bucket whose credit was spent.
    paid_by: u64,
    /// The part charged to the credit of requests, in the unit of `RETRY_COST`.
    from_credit: u64,
    /// The part charged to the slack.
    from_slack: f64,
}

/// Requests and retries of one service in a sliding window, and the limit on
/// retries.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    /// Credit that each request earns, in the unit of `RETRY_COST`.
    credit_per_request: u64,
    slack: SlackBucket,
    bucket_length: Duration,
    buckets: [Bucket; BUCKET_COUNT],
    /// Number of the newest bucket, counted from the time origin.
    newest_bucket: u64,
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
            credit_per_request: (ratio * RETRY_COST as f64).round() as u64,
            slack: SlackBucket::new(now, window),
            bucket_length: window / BUCKETS_PER_WINDOW,
            buckets: [Bucket::default(); BUCKET_COUNT],
            newest_bucket: 0,
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
        let credit = self.credit_per_request;
        let bucket = self.current_bucket(now);
        bucket.requests += 1;
        bucket.credit += credit;
    }

    /// Takes a permit for one retry, if the budget allows one.
    pub fn take(&mut self, now: Timestamp) -> Option<Permit> {
        let permit = self.price_retry(now);
        if !self.slack.try_take(now, permit.from_slack) {
            self.counts.denied += 1;
            return None;
        }
        self.record_allowed(now, &permit);
        self.current_bucket(now).retries += 1;
        self.spend_credit(permit.from_credit);
        Some(permit)
    }

    /// Adds a retry to the next report of allowed retries.
    fn record_allowed(&mut self, now: Timestamp, permit: &Permit) {
        let age = match permit.from_credit > 0 {
            true => now.since(self.bucket_start(permit.paid_by)),
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
        self.current_bucket(now);
        let mut credit = 0;
        let mut paid_by = self.newest_bucket;
        for number in self.numbers_with_credit().rev() {
            if self.bucket(number).credit > 0 {
                credit += self.bucket(number).credit;
                paid_by = number;
            }
        }
        let from_credit = credit.min(RETRY_COST);
        Permit {
            taken_at: now,
            paid_by,
            from_credit,
            from_slack: (RETRY_COST - from_credit) as f64 / RETRY_COST as f64,
        }
    }

    /// Spends this much credit, the oldest first.
    fn spend_credit(&mut self, amount: u64) {
        let mut left = amount;
        for number in self.numbers_with_credit() {
            let bucket = self.bucket_mut(number);
            let spent = left.min(bucket.credit);
            bucket.credit -= spent;
            left -= spent;
        }
    }

    /// Numbers of the buckets whose credit has not expired, the oldest first.
    fn numbers_with_credit(&self) -> std::ops::RangeInclusive<u64> {
        let oldest = (self.newest_bucket + 1).saturating_sub(CREDIT_BUCKETS);
        oldest..=self.newest_bucket
    }

    /// The current usage of the budget.
    pub fn usage(&mut self, now: Timestamp) -> BudgetUsage {
        self.current_bucket(now);
        BudgetUsage {
            requests: self.buckets.iter().map(|bucket| bucket.requests).sum(),
            retries: self.buckets.iter().map(|bucket| bucket.retries).sum(),
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
        self.current_bucket(now);
        let taken_in = self.bucket_number(permit.taken_at);
        if self.is_kept(taken_in) {
            let bucket = self.bucket_mut(taken_in);
            bucket.retries = bucket.retries.saturating_sub(1);
        }
        // Credit expires as if it had not been spent, or earlier if several
        // buckets paid.
        if self.is_kept(permit.paid_by) {
            self.bucket_mut(permit.paid_by).credit += permit.from_credit;
        }
    }

    /// Whether a bucket has not left the window.
    fn is_kept(&self, number: u64) -> bool {
        number <= self.newest_bucket && number + BUCKET_COUNT as u64 > self.newest_bucket
    }

    fn bucket(&self, number: u64) -> &Bucket {
        &self.buckets[(number % BUCKET_COUNT as u64) as usize]
    }

    fn bucket_mut(&mut self, number: u64) -> &mut Bucket {
        &mut self.buckets[(number % BUCKET_COUNT as u64) as usize]
    }

    /// The bucket of `now`. Clears the buckets between the newest one and this
    /// one.
    fn current_bucket(&mut self, now: Timestamp) -> &mut Bucket {
        let number = self.bucket_number(now);
        let passed = number
            .saturating_sub(self.newest_bucket)
            .min(BUCKET_COUNT as u64);
        for step in 1..=passed {
            *self.bucket_mut(self.newest_bucket + step) = Bucket::default();
        }
        if passed == BUCKET_COUNT as u64 {
            self.buckets = [Bucket::default(); BUCKET_COUNT];
        }
        self.newest_bucket = self.newest_bucket.max(number);
        self.bucket_mut(self.newest_bucket)
    }

    /// When a bucket begins.
    fn bucket_start(&self, number: u64) -> Timestamp {
        let length = u64::try_from(self.bucket_length.as_micros()).unwrap_or(1);
        Timestamp::from_micros(number * length.max(1))
    }

    /// Number of the bucket of a point in time, counted from the time origin.
    fn bucket_number(&self, at: Timestamp) -> u64 {
        let length = u64::try_from(self.bucket_length.as_micros())
            .unwrap_or(1)
            .max(1);
        at.as_micros() / length
    }
}
