//! A gateway's part: it spends tokens on requests, asks the ledger for more,
//! and gives back what it did not use.

mod allowance;
mod contact;

use std::collections::BTreeMap;
use std::time::Duration;

use threadledge_coordination::Term;
use threadledge_types::deployment::{RateLimit, TenantName};
use threadledge_types::{Incarnation, MachineName, Timestamp};

use crate::bucket::Flow;
use crate::messages::{QuotaResponse, QuotaRequest, TenantQuotaRequest, TenantGrant};
use crate::settings::{
    QUOTA_REQUEST_INTERVAL, FORGOTTEN_AFTER, LONGEST_PAUSE, MAX_WAIT, SHORTEST_PAUSE, STARTING_WAIT,
    Settings, URGENT_REQUEST_INTERVAL,
};
use allowance::Allowance;
use contact::Contact;

/// What becomes of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// Its tenant has no limit.
    Free,
    /// It may run; a token was spent on it.
    Spent,
    /// It has to wait for the ledger, at most until then.
    Wait(Timestamp),
    /// It does not run.
    Refused {
        /// Why not.
        why: RefusalReason,
        /// Time until there is room again.
        wait: Duration,
    },
}

/// Why a request does not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RefusalReason {
    /// All gateways together have used the tenant's limit up.
    OverLimit,
    /// The ledger cannot be reached, and this gateway's share is used up.
    OverShare,
    /// The ledger cannot be reached, and this gateway has no share.
    NoLedger,
}

impl RefusalReason {
    /// The reason in a word.
    pub const fn as_str(self) -> &'static str {
        match self {
            RefusalReason::OverLimit => "tenant-over-limit",
            RefusalReason::OverShare => "tenant-over-share",
            RefusalReason::NoLedger => "tenant-limit-unknown",
        }
    }
}

/// What operators see of one tenant at this gateway.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TenantUsage {
    /// Its limit over all gateways.
    pub limit: RateLimit,
    /// Requests a second that arrive here lately, refused ones included.
    pub rate: f64,
    /// Tokens at hand.
    pub tokens: u32,
    /// This gateway's share of the rate without the ledger, as a part.
    pub share: f64,
    /// Time for which requests are refused without asking.
    pub retry_after: Duration,
}

/// Spends the tokens of one gateway.
#[derive(Debug)]
pub struct RateLimiter {
    machine: MachineName,
    incarnation: Incarnation,
    settings: Settings,
    limits: BTreeMap<TenantName, RateLimit>,
    allowances: BTreeMap<TenantName, Allowance>,
    contact: Contact,
    /// Requests wait.
    urgent: bool,
    next_ask: Timestamp,
    next_urgent: Timestamp,
}

impl RateLimiter {
    /// A gateway that has just started, and holds nothing.
    pub fn new(machine: MachineName, incarnation: Incarnation, settings: Settings) -> Self {
        RateLimiter {
            machine,
            incarnation,
            settings,
            limits: BTreeMap::new(),
            allowances: BTreeMap::new(),
            contact: Contact::default(),
            urgent: false,
            next_ask: Timestamp::ZERO,
            next_urgent: Timestamp::ZERO,
        }
    }

    /// Takes the limits of the configuration in force.
    pub fn set_limits(&mut self, limits: BTreeMap<TenantName, RateLimit>) {
        self.allowances.retain(|name, _| limits.contains_key(name));
        self.limits = limits;
    }

    /// Whether any tenant has a limit.
    pub fn has_limits(&self) -> bool {
        !self.limits.is_empty()
    }

    /// The ledger of this term keeps the office, as the store or another
    /// gateway tells.
    pub fn observe_term(&mut self, now: Timestamp, term: Term) {
        self.contact.observe_term(now, term);
    }

    /// A request arrives.
    pub fn admit_new(&mut self, now: Timestamp, tenant: &TenantName) -> Admission {
        if !self.limits.contains_key(tenant) {
            return Admission::Unlimited;
        }
        let allowance = self.allowances.entry(tenant.clone()).or_default();
        allowance.arrived(now);
        self.admit(now, tenant, now)
    }

    /// A request that arrived at `since` and waits asks again.
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
            let flow = Flow {
                rate: allowance.share.of(limit.rate),
                depth: allowance.share.of(self.settings.depth(limit)).max(1.0),
            };
            return match allowance.spend_share(now, begun, flow) {
                Ok(()) => Admission::Admitted,
                Err(wait) => {
                    let until = since.max(begun) + MAX_WAIT;
                    let may_wait = allowance.rate() <= flow.rate && now + wait < until;
                    match may_wait {
                        true => Admission::Wait(now + wait),
                        false => refused(RefusalReason::OverShare, wait),
                    }
                }
            };
        }
        let mut until = since + MAX_WAIT;
        if now < allowance.none_until {
            let soon = !allowance.over_limit && allowance.none_until < until;
            return match soon {
                true => Admission::Wait(allowance.none_until),
                false => refused(RefusalReason::OverLimit, allowance.none_until.since(now)),
            };
        }
        if self.contact.is_lost() {
            let has_share = !allowance.share.is_none();
            match self.contact.fallback_at(now, &self.settings) {
                Some(at) if has_share => until = until.max(at),
                _ if self.contact.is_starting(now) => until = since + STARTING_WAIT,
                _ => return refused(RefusalReason::NoLedger, LONGEST_PAUSE),
            }
        }
        if now >= until {
            let why = match self.contact.is_lost() {
                true => RefusalReason::NoLedger,
                // It answers others of this gateway, or will soon.
                false => RefusalReason::OverLimit,
            };
            return refused(why, LONGEST_PAUSE);
        }
        allowance.need += 1;
        self.urgent = true;
        Admission::Wait(until)
    }

    /// A request on which a token was spent at `spent` surely did not run.
    ///
    /// Invariant: a token that has ended does not go back. What the ledger
    /// gained since may have found no room in a full bucket; put back, the token
    /// would come on top of it.
    pub fn refund(&mut self, now: Timestamp, tenant: &TenantName, spent: Timestamp) {
        if now.since(spent) >= self.settings.token_life() {
            return;
        }
        if let Some(allowance) = self.allowances.get_mut(tenant) {
            allowance.returned += 1;
        }
    }

    /// The ask to send now, if any. One is under way at a time, and each must
    /// be followed by [`RateLimiter::on_response`] or [`RateLimiter::on_timeout`].
    pub fn poll(&mut self, now: Timestamp) -> Option<QuotaRequest> {
        if !self.is_due(now) {
            return None;
        }
        self.forget_idle(now);
        let echo = self.contact.echo(now);
        let tenants = match echo {
            Some(_) => self.tenant_asks(now),
            None => Vec::new(),
        };
        let number = self.contact.sent(now, echo);
        if echo.is_some() {
            self.urgent = false;
            self.next_ask = now + QUOTA_REQUEST_INTERVAL;
            self.next_urgent = now + URGENT_REQUEST_INTERVAL;
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

    /// When [`RateLimiter::poll`] has something to send, unless something arrives
    /// before.
    pub fn next_wake(&self) -> Option<Timestamp> {
        if self.contact.is_under_way() || !self.has_limits() {
            return None;
        }
        let to_introduce = self.contact.has_to_introduce();
        if !to_introduce && !self.urgent && self.allowances.is_empty() {
            return None;
        }
        let greeting = self.contact.next_greeting();
        if let Some(at) = greeting {
            return Some(at);
        }
        if to_introduce {
            return Some(Timestamp::ZERO);
        }
        match self.urgent {
            true => Some(self.next_urgent.min(self.next_ask)),
            false => Some(self.next_ask),
        }
    }

    /// Tenants that send nothing any more hand their share in: an ask that
    /// does not name them says so. One last ask is owed then.
    fn forget_idle(&mut self, now: Timestamp) {
        let before = self.allowances.len();
        let idle = |allowance: &Allowance| now.since(allowance.last_seen()) >= FORGOTTEN_AFTER;
        self.allowances
            .retain(|_, allowance| !idle(allowance) || allowance.returned > 0);
        if self.allowances.len() < before {
            self.contact.introduce();
        }
    }

    fn tenant_asks(&mut self, now: Timestamp) -> Vec<TenantQuotaRequest> {
        let can_hand_in = self.contact.can_hand_in(now, &self.settings);
        let mut asks = Vec::with_capacity(self.allowances.len());
        for (name, allowance) in &mut self.allowances {
            if !can_hand_in {
                allowance.share = Default::default();
            }
            asks.push(allowance.ask(now, name));
        }
        asks
    }

    /// The ask of this number was answered. What waits should ask again.
    pub fn on_response(&mut self, now: Timestamp, number: u64, answer: QuotaResponse) {
        self.forget_needs();
        let Some(sent) = self.contact.answered(now, number, &answer) else {
            return;
        };
        if let QuotaResponse::Ledger { tenants, .. } = answer {
            self.take(now, sent, tenants);
        }
    }

    /// The ask of this number was not answered in time.
    pub fn on_timeout(&mut self, now: Timestamp, number: u64) {
        self.forget_needs();
        self.contact.unanswered(now, number);
    }

    /// Whoever waits asks again, and is counted then.
    fn forget_needs(&mut self) {
        self.urgent = false;
        for allowance in self.allowances.values_mut() {
            allowance.need = 0;
        }
    }

    fn take(&mut self, now: Timestamp, sent: Timestamp, grants: Vec<TenantGrant>) {
        let ends = sent + self.settings.token_life();
        for allowance in self.allowances.values_mut() {
            allowance.end_fallback();
        }
        for grant in grants {
            let Some(allowance) = self.allowances.get_mut(&grant.name) else {
                // Its limit has gone meanwhile: the tokens are lost.
                continue;
            };
            allowance.put(grant.tokens, ends);
            allowance.share = grant.share;
            if grant.retry_after_ms > 0 {
                let pause = Duration::from_millis(grant.retry_after_ms.into());
                let shortest = match grant.over_limit {
                    true => SHORTEST_PAUSE,
                    false => URGENT_REQUEST_INTERVAL,
                };
                allowance.none_until = now + pause.clamp(shortest, LONGEST_PAUSE);
                allowance.over_limit = grant.over_limit;
            }
        }
    }

    /// For how long no ledger has answered; `None` while one does or nothing
    /// is asked.
    pub fn unreachable_for(&self, now: Timestamp) -> Option<Duration> {
        self.contact.unreachable_for(now)
    }

    /// Whether the ledger says that its office may end.
    pub fn is_ledger_lease_at_risk(&self) -> bool {
        self.contact.is_ailing()
    }

    /// The term of the last ledger that answered or was told of.
    pub fn term(&self) -> Option<Term> {
        self.contact.term()
    }

    /// Whether shares are used, since the ledger cannot be reached.
    pub fn in_fallback(&self, now: Timestamp) -> bool {
        self.contact.fallback_since(now, &self.settings).is_some()
    }

    /// Tenants that were seen here lately.
    pub fn tenants(&self, now: Timestamp) -> Vec<(TenantName, TenantUsage)> {
        let mut views = Vec::with_capacity(self.allowances.len());
        for (name, allowance) in &self.allowances {
            let Some(limit) = self.limits.get(name).copied() else {
                continue;
            };
            let view = TenantUsage {
                limit,
                rate: allowance.rate(),
                tokens: allowance.tokens(now),
                share: allowance.share.of(1.0),
                retry_after: allowance.none_until.since(now),
            };
            views.push((name.clone(), view));
        }
        views
    }
}

fn refused(why: RefusalReason, wait: Duration) -> Admission {
    let wait = wait.clamp(SHORTEST_PAUSE, LONGEST_PAUSE);
    Admission::Refused { why, wait }
}
