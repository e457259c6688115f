//! The retry budget of one service, as kept by one router.
//!
//! In any window, all routers together may send retries up to a ratio of the
//! requests, plus a fixed slack. Each router retries up to the ratio of its own
//! requests and uses a share of the slack, so that routers need not coordinate
//! for each retry.

use std::time::Duration;

use threadledge_types::Timestamp;
use threadledge_types::deployment::ServiceName;

use crate::counters::{AllowedRetries, RetryCounts};
use crate::slack_bucket::SlackBucket;

/// Fraction of the ratio that a router uses, because its window and that of an
/// outside observer do not begin at the same time.
pub const RATIO_FRACTION: f64 = 0.75;
/// Age from which a returned permit counts as returned late.
const LATE_RETURN: Duration = Duration::from_secs(1);
/// Minimum time between two reports of denied retries.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);
/// Number of buckets into which the sliding window is divided.
const BUCKETS_PER_WINDOW: u32 = 20;
/// Number of buckets that are kept: one more than the window has, so that they
/// always cover a whole window, wherever it starts within a bucket.
const BUCKET_COUNT: usize = BUCKETS_PER_WINDOW as usize + 1;

#[derive(Clone, Copy, Debug, Default)]
struct Bucket {
    requests: u32,
    retries: u32,
    /// The part of the retries that the requests of the window paid for.
    from_ratio: f64,
}

/// Permission for one retry, and where it was charged.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Permit {
    taken_at: Timestamp,
    /// The part charged to the ratio of the requests in the window.
    from_ratio: f64,
    /// The part charged to the slack.
    from_slack: f64,
}

/// Requests and retries of one service in a sliding window, and the limit on
/// retries.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    ratio: f64,
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
    /// Creates a budget of `ratio` retries for each request within each
    /// `window`, without any slack yet.
    pub fn new(now: Timestamp, ratio: f64, window: Duration) -> Self {
        RetryBudget {
            ratio,
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
        self.current_bucket(now).requests += 1;
    }

    /// Takes a permit for one retry, if the budget allows one.
    pub fn take(&mut self, now: Timestamp) -> Option<Permit> {
        let permit = self.price_retry(now);
        if !self.slack.try_take(now, permit.from_slack) {
            self.counts.denied += 1;
            return None;
        }
        self.record_allowed(now, &permit);
        let bucket = self.current_bucket(now);
        bucket.retries += 1;
        bucket.from_ratio += permit.from_ratio;
        Some(permit)
    }

    /// Adds a retry to the next report of allowed retries.
    fn record_allowed(&mut self, now: Timestamp, permit: &Permit) {
        let age = match permit.from_ratio > 0.0 {
            true => self.age_of_paying_request(now),
            false => Duration::ZERO,
        };
        let unreported = &mut self.unreported;
        unreported.allowed += 1;
        unreported.from_slack += permit.from_slack;
        unreported.oldest_request = unreported.oldest_request.max(age);
    }

    /// Age of the oldest request in the window that has not paid for a retry.
    fn age_of_paying_request(&self, now: Timestamp) -> Duration {
        let mut paid: f64 = self.buckets.iter().map(|bucket| bucket.from_ratio).sum();
        let oldest = (self.newest_bucket + 1).saturating_sub(BUCKET_COUNT as u64);
        for number in oldest..=self.newest_bucket {
            let bucket = &self.buckets[(number % BUCKET_COUNT as u64) as usize];
            paid -= f64::from(bucket.requests) * self.ratio;
            if paid < 0.0 {
                return now.since(self.bucket_start(number));
            }
        }
        Duration::ZERO
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

    /// Computes how a retry would be charged now: to the requests of the window
    /// as far as they suffice, and to the slack for the rest.
    fn price_retry(&mut self, now: Timestamp) -> Permit {
        let requests = self.usage(now).requests;
        let paid: f64 = self.buckets.iter().map(|bucket| bucket.from_ratio).sum();
        let from_ratio = (f64::from(requests) * self.ratio - paid).clamp(0.0, 1.0);
        Permit {
            taken_at: now,
            from_ratio,
            from_slack: 1.0 - from_ratio,
        }
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
        let Some(bucket) = self.bucket_at(permit.taken_at) else {
            return;
        };
        bucket.retries = bucket.retries.saturating_sub(1);
        bucket.from_ratio = (bucket.from_ratio - permit.from_ratio).max(0.0);
    }

    /// The bucket of a point in time, unless it has left the window.
    fn bucket_at(&mut self, at: Timestamp) -> Option<&mut Bucket> {
        let number = self.bucket_number(at);
        let kept =
            number <= self.newest_bucket && number + BUCKET_COUNT as u64 > self.newest_bucket;
        kept.then(|| &mut self.buckets[(number % BUCKET_COUNT as u64) as usize])
    }

    /// The bucket of `now`. Clears the buckets between the newest one and this
    /// one.
    fn current_bucket(&mut self, now: Timestamp) -> &mut Bucket {
        let number = self.bucket_number(now);
        let passed = number
            .saturating_sub(self.newest_bucket)
            .min(BUCKET_COUNT as u64);
        for step in 1..=passed {
            let index = (self.newest_bucket + step) % BUCKET_COUNT as u64;
            self.buckets[index as usize] = Bucket::default();
        }
        if passed == BUCKET_COUNT as u64 {
            self.buckets = [Bucket::default(); BUCKET_COUNT];
        }
        self.newest_bucket = self.newest_bucket.max(number);
        &mut self.buckets[(self.newest_bucket % BUCKET_COUNT as u64) as usize]
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
