//! Rate limiter of one gateway: spends tokens on requests, requests more from
//! the ledger and returns those that were not used.

mod allowance;
mod contact;

use std::collections::BTreeMap;
use std::time::Duration;

use threadledge_coordination::Term;
use threadledge_types::deployment::{RateLimit, TenantName};
use threadledge_types::{Incarnation, MachineName, Timestamp};

use crate::bucket::BucketLimits;
use crate::messages::{QuotaRequest, QuotaResponse, TenantGrant, TenantQuotaRequest};
use crate::settings::{
    IDLE_AFTER, MAX_PAUSE, MAX_WAIT, MIN_PAUSE, QUOTA_REQUEST_INTERVAL, STARTUP_WAIT, Settings,
    URGENT_REQUEST_INTERVAL,
};
use allowance::Allowance;
use contact::LedgerContact;

/// Decision about a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// The tenant has no limit.
    Unlimited,
    /// The request may run; a token was spent on it.
    Admitted,
    /// The request has to wait for the ledger, at most until this time.
    Wait(Timestamp),
    /// The request does not run.
    Refused {
        /// Reason for the refusal.
        why: RefusalReason,
        /// Time until a token may be available again.
        wait: Duration,
    },
}

/// Reason why a request is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RefusalReason {
    /// The tenant's limit is used up across all gateways.
    OverLimit,
    /// The ledger is unreachable and this gateway's share is used up.
    OverShare,
    /// The ledger is unreachable and this gateway has no share.
    NoLedger,
}

impl RefusalReason {
    /// Returns the reason as it is written in responses, logs and metrics.
    pub const fn as_str(self) -> &'static str {
        match self {
            RefusalReason::OverLimit => "tenant-over-limit",
            RefusalReason::OverShare => "tenant-over-share",
            RefusalReason::NoLedger => "tenant-limit-unknown",
        }
    }
}

/// Usage of one tenant's limit at this gateway, for operators.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TenantUsage {
    /// Limit of the tenant across all gateways.
    pub limit: RateLimit,
    /// Recent requests per second that arrive here, including refused ones.
    pub rate: f64,
    /// Tokens in hand.
    pub tokens: u32,
    /// Fraction of the limit that this gateway may use without the ledger.
    pub share: f64,
    /// Time during which requests are refused without asking the ledger.
    pub retry_after: Duration,
}

/// Rate limiter of one gateway for all tenants.
#[derive(Debug)]
pub struct RateLimiter {
    machine: MachineName,
    incarnation: Incarnation,
    settings: Settings,
    limits: BTreeMap<TenantName, RateLimit>,
    allowances: BTreeMap<TenantName, Allowance>,
    contact: LedgerContact,
    /// Whether requests are waiting for tokens.
    urgent: bool,
    next_request: Timestamp,
    next_urgent_request: Timestamp,
}

impl RateLimiter {
    /// Creates the limiter of a gateway that has just started and holds no
    /// tokens.
    pub fn new(machine: MachineName, incarnation: Incarnation, settings: Settings) -> Self {
        RateLimiter {
            machine,
            incarnation,
            settings,
            limits: BTreeMap::new(),
            allowances: BTreeMap::new(),
            contact: LedgerContact::default(),
            urgent: false,
            next_request: Timestamp::ZERO,
            next_urgent_request: Timestamp::ZERO,
        }
    }

    /// Sets the limits of the active configuration.
    pub fn set_limits(&mut self, limits: BTreeMap<TenantName, RateLimit>) {
        self.allowances.retain(|name, _| limits.contains_key(name));
        self.limits = limits;
    }

    /// Whether any tenant has a limit.
    pub fn has_limits(&self) -> bool {
        !self.limits.is_empty()
    }

    /// Notes the term of the elected ledger, as learned from the store or
    /// another gateway.
    pub fn observe_term(&mut self, now: Timestamp, term: Term) {
        self.contact.observe_term(now, term);
    }

    /// Decides about a request that has just arrived.
    pub fn admit_new(&mut self, now: Timestamp, tenant: &TenantName) -> Admission {
        if !self.limits.contains_key(tenant) {
            return Admission::Unlimited;
        }
        let allowance = self.allowances.entry(tenant.clone()).or_default();
        allowance.record_arrival(now);
        self.admit(now, tenant, now)
    }

    /// Decides again about a waiting request that arrived at `since`.
    pub fn admit(&mut self, now: Timestamp, tenant: &TenantName, since: Timestamp) -> Admission {
        let Some(limit) = self.limits.get(tenant).copied() else {
            return Admission::Unlimited;
        };
        let fallback = self.contact.fallback_since(now, &self.settings);
        let allowance = self.allowances.entry(tenant.clone()).or_default();
        if allowance.spend(now) {
            return Admission::Admitted;
        }
        if let Some(begun) = fallback.filter(|_| !allowance.share.is_none()) {
            let share_limits = BucketLimits {
                rate: allowance.share.of(limit.rate),
                depth: allowance.share.of(self.settings.depth(limit)).max(1.0),
            };
            return match allowance.spend_share(now, begun, share_limits) {
                Ok(()) => Admission::Admitted,
                Err(wait) => {
                    let until = since.max(begun) + MAX_WAIT;
                    let may_wait = allowance.rate() <= share_limits.rate && now + wait < until;
                    match may_wait {
                        true => Admission::Wait(now + wait),
                        false => refused(RefusalReason::OverShare, wait),
                    }
                }
            };
        }
        let mut until = since + MAX_WAIT;
        if now < allowance.denied_until {
            let soon = !allowance.over_limit && allowance.denied_until < until;
            return match soon {
                true => Admission::Wait(allowance.denied_until),
                false => refused(RefusalReason::OverLimit, allowance.denied_until.since(now)),
            };
        }
        if self.contact.is_unreachable() {
            let has_share = !allowance.share.is_none();
            match self.contact.fallback_at(now, &self.settings) {
                Some(at) if has_share => until = until.max(at),
                _ if self.contact.is_starting(now) => until = since + STARTUP_WAIT,
                _ => return refused(RefusalReason::NoLedger, MAX_PAUSE),
            }
        }
        if now >= until {
            let why = match self.contact.is_unreachable() {
                true => RefusalReason::NoLedger,
                // The ledger answers other requests of this gateway, or will do
                // so soon.
                false => RefusalReason::OverLimit,
            };
            return refused(why, MAX_PAUSE);
        }
        allowance.need += 1;
        self.urgent = true;
        Admission::Wait(until)
    }

    /// Returns the token that was spent at `spent` on a request that certainly
    /// did not run.
    ///
    /// Invariant: an expired token is not returned. Tokens that the ledger
    /// gained since may have been dropped because the bucket was full, and the
    /// returned token would exceed the limit.
    pub fn refund(&mut self, now: Timestamp, tenant: &TenantName, spent: Timestamp) {
        if now.since(spent) >= self.settings.token_lifetime() {
            return;
        }
        if let Some(allowance) = self.allowances.get_mut(tenant) {
            allowance.returned += 1;
        }
    }

    /// Returns the request to send now, if any. Only one is in flight at a
    /// time, and each must be followed by [`RateLimiter::on_response`] or
    /// [`RateLimiter::on_timeout`].
    pub fn poll(&mut self, now: Timestamp) -> Option<QuotaRequest> {
        if !self.is_due(now) {
            return None;
        }
        self.remove_idle(now);
        let echo = self.contact.echo(now);
        let tenants = match echo {
            Some(_) => self.tenant_requests(now),
            None => Vec::new(),
        };
        let number = self.contact.on_sent(now, echo);
        if echo.is_some() {
            self.urgent = false;
            self.next_request = now + QUOTA_REQUEST_INTERVAL;
            self.next_urgent_request = now + URGENT_REQUEST_INTERVAL;
        }
        Some(QuotaRequest {
            from: self.machine.clone(),
            incarnation: self.incarnation,
            number,
            echo,
            tenants,
        })
    }

    fn is_due(&self, now: Timestamp) -> bool {
        self.next_wake().is_some_and(|wake| wake <= now)
    }

    /// Returns when [`RateLimiter::poll`] will have a request to send, unless
    /// something arrives before.
    pub fn next_wake(&self) -> Option<Timestamp> {
        if self.contact.is_in_flight() || !self.has_limits() {
            return None;
        }
        let report_due = self.contact.is_report_due();
        if !report_due && !self.urgent && self.allowances.is_empty() {
            return None;
        }
        let hello = self.contact.next_hello();
        if let Some(at) = hello {
            return Some(at);
        }
        if report_due {
            return Some(Timestamp::ZERO);
        }
        match self.urgent {
            true => Some(self.next_urgent_request.min(self.next_request)),
            false => Some(self.next_request),
        }
    }

    /// Removes tenants that no longer send requests. A request that does not
    /// name a tenant gives up its share, so one more request is scheduled.
    fn remove_idle(&mut self, now: Timestamp) {
        let before = self.allowances.len();
        let idle = |allowance: &Allowance| now.since(allowance.last_arrival()) >= IDLE_AFTER;
        self.allowances
            .retain(|_, allowance| !idle(allowance) || allowance.returned > 0);
        if self.allowances.len() < before {
            self.contact.schedule_report();
        }
    }

    /// Builds the parts of a request for all tenants. Shares that must not be
    /// reported are dropped.
    fn tenant_requests(&mut self, now: Timestamp) -> Vec<TenantQuotaRequest> {
        let can_report_shares = self.contact.can_report_shares(now, &self.settings);
        let mut requests = Vec::with_capacity(self.allowances.len());
        for (name, allowance) in &mut self.allowances {
            if !can_report_shares {
                allowance.share = Default::default();
            }
            requests.push(allowance.build_request(now, name));
        }
        requests
    }

    /// Handles the response to the request with this number. Waiting requests
    /// should be decided again afterwards.
    pub fn on_response(&mut self, now: Timestamp, number: u64, response: QuotaResponse) {
        self.clear_pending();
        let Some(sent) = self.contact.on_response(now, number, &response) else {
            return;
        };
        if let QuotaResponse::Ledger { tenants, .. } = response {
            self.apply_grants(now, sent, tenants);
        }
    }

    /// Handles the timeout of the request with this number.
    pub fn on_timeout(&mut self, now: Timestamp, number: u64) {
        self.clear_pending();
        self.contact.on_failure(now, number);
    }

    /// Clears the counts of waiting requests, which are counted again when they
    /// are decided again.
    fn clear_pending(&mut self) {
        self.urgent = false;
        for allowance in self.allowances.values_mut() {
            allowance.need = 0;
        }
    }

    /// Adds granted tokens and shares, and ends the use of shares.
    fn apply_grants(&mut self, now: Timestamp, sent: Timestamp, grants: Vec<TenantGrant>) {
        let expires = sent + self.settings.token_lifetime();
        for allowance in self.allowances.values_mut() {
            allowance.end_fallback();
        }
        for grant in grants {
            let Some(allowance) = self.allowances.get_mut(&grant.name) else {
                // The tenant's limit was removed in the meantime; its tokens
                // are lost.
                continue;
            };
            allowance.add_tokens(grant.tokens, expires);
            allowance.share = grant.share;
            if grant.retry_after_ms > 0 {
                let pause = Duration::from_millis(grant.retry_after_ms.into());
                let shortest = match grant.over_limit {
                    true => MIN_PAUSE,
                    false => URGENT_REQUEST_INTERVAL,
                };
                allowance.denied_until = now + pause.clamp(shortest, MAX_PAUSE);
                allowance.over_limit = grant.over_limit;
            }
        }
    }

    /// Returns for how long no ledger has responded, or `None` while one
    /// responds or nothing is requested.
    pub fn unreachable_for(&self, now: Timestamp) -> Option<Duration> {
        self.contact.unreachable_for(now)
    }

    /// Whether the ledger reports that its lease may end.
    pub fn is_ledger_lease_at_risk(&self) -> bool {
        self.contact.is_lease_at_risk()
    }

    /// Returns the highest term that was observed or has responded.
    pub fn term(&self) -> Option<Term> {
        self.contact.term()
    }

    /// Whether shares are in use because the ledger is unreachable.
    pub fn in_fallback(&self, now: Timestamp) -> bool {
        self.contact.fallback_since(now, &self.settings).is_some()
    }

    /// Returns the usage of tenants that recently sent requests here.
    pub fn tenants(&self, now: Timestamp) -> Vec<(TenantName, TenantUsage)> {
        let mut usages = Vec::with_capacity(self.allowances.len());
        for (name, allowance) in &self.allowances {
            let Some(limit) = self.limits.get(name).copied() else {
                continue;
            };
            let usage = TenantUsage {
                limit,
                rate: allowance.rate(),
                tokens: allowance.tokens(now),
                share: allowance.share.of(1.0),
                retry_after: allowance.denied_until.since(now),
            };
            usages.push((name.clone(), usage));
        }
        usages
    }
}

fn refused(why: RefusalReason, wait: Duration) -> Admission {
    let wait = wait.clamp(MIN_PAUSE, MAX_PAUSE);
    Admission::Refused { why, wait }
}
