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
use crate::messages::{Answer, Ask, TenantAsk, TenantGrant};
use crate::settings::{
    ASK_INTERVAL, FORGOTTEN_AFTER, LONGEST_PAUSE, LONGEST_WAIT, SHORTEST_PAUSE, STARTING_WAIT,
    Settings, URGENT_INTERVAL,
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
        why: RefusedWhy,
        /// Time until there is room again.
        wait: Duration,
    },
}

/// Why a request does not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RefusedWhy {
    /// All gateways together have used the tenant's limit up.
    OverLimit,
    /// The ledger cannot be reached, and this gateway's share is used up.
    OverShare,
    /// The ledger cannot be reached, and this gateway has no share.
    NoLedger,
}

impl RefusedWhy {
    /// The reason in a word.
    pub const fn as_str(self) -> &'static str {
        match self {
            RefusedWhy::OverLimit => "tenant-over-limit",
            RefusedWhy::OverShare => "tenant-over-share",
            RefusedWhy::NoLedger => "tenant-limit-unknown",
        }
    }
}

/// What operators see of one tenant at this gateway.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TenantView {
    /// Its limit over all gateways.
    pub limit: RateLimit,
    /// Requests a second that arrive here lately, refused ones included.
    pub rate: f64,
    /// Tokens at hand.
    pub tokens: u32,
    /// This gateway's share of the rate without the ledger, as a part.
    pub share: f64,
    /// Time for which requests are refused without asking.
    pub none_for: Duration,
}

/// Spends the tokens of one gateway.
#[derive(Debug)]
pub struct Spender {
    machine: MachineName,
    life: Incarnation,
    settings: Settings,
    limits: BTreeMap<TenantName, RateLimit>,
    allowances: BTreeMap<TenantName, Allowance>,
    contact: Contact,
    /// Requests wait.
    urgent: bool,
    next_ask: Timestamp,
    next_urgent: Timestamp,
}

impl Spender {
    /// A gateway that has just started, and holds nothing.
    pub fn new(machine: MachineName, life: Incarnation, settings: Settings) -> Self {
        Spender {
            machine,
            life,
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
    pub fn is_in_use(&self) -> bool {
        !self.limits.is_empty()
    }

    /// The ledger of this term keeps the office, as the store or another
    /// gateway tells.
    pub fn hear_of(&mut self, now: Timestamp, term: Term) {
        self.contact.hear_of(now, term);
    }

    /// A request arrives.
    pub fn arrive(&mut self, now: Timestamp, tenant: &TenantName) -> Admission {
        if !self.limits.contains_key(tenant) {
            return Admission::Free;
        }
        let allowance = self.allowances.entry(tenant.clone()).or_default();
        allowance.arrived(now);
        self.admit(now, tenant, now)
    }

    /// A request that arrived at `since` and waits asks again.
    pub fn admit(&mut self, now: Timestamp, tenant: &TenantName, since: Timestamp) -> Admission {
        let Some(limit) = self.limits.get(tenant).copied() else {
            return Admission::Free;
        };
        let fallback = self.contact.fallback_since(now, &self.settings);
        let allowance = self.allowances.entry(tenant.clone()).or_default();
        if allowance.spend(now) {
            return Admission::Spent;
        }
        if let Some(begun) = fallback.filter(|_| !allowance.share.is_none()) {
            let flow = Flow {
                rate: allowance.share.of(limit.rate),
                depth: allowance.share.of(self.settings.depth(limit)).max(1.0),
            };
            return match allowance.spend_share(now, begun, flow) {
                Ok(()) => Admission::Spent,
                Err(wait) => {
                    let until = since.max(begun) + LONGEST_WAIT;
                    let may_wait = allowance.rate() <= flow.rate && now + wait < until;
                    match may_wait {
                        true => Admission::Wait(now + wait),
                        false => refused(RefusedWhy::OverShare, wait),
                    }
                }
            };
        }
        let mut until = since + LONGEST_WAIT;
        if now < allowance.none_until {
            let soon = !allowance.over && allowance.none_until < until;
            return match soon {
                true => Admission::Wait(allowance.none_until),
                false => refused(RefusedWhy::OverLimit, allowance.none_until.since(now)),
            };
        }
        if self.contact.is_lost() {
            let has_share = !allowance.share.is_none();
            match self.contact.fallback_at(now, &self.settings) {
                Some(at) if has_share => until = until.max(at),
                _ if self.contact.is_starting(now) => until = since + STARTING_WAIT,
                _ => return refused(RefusedWhy::NoLedger, LONGEST_PAUSE),
            }
        }
        if now >= until {
            let why = match self.contact.is_lost() {
                true => RefusedWhy::NoLedger,
                // It answers others of this gateway, or will soon.
                false => RefusedWhy::OverLimit,
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
            allowance.back += 1;
        }
    }

    /// The ask to send now, if any. One is under way at a time, and each must
    /// be followed by [`Spender::on_answer`] or [`Spender::on_silence`].
    pub fn poll(&mut self, now: Timestamp) -> Option<Ask> {
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
            self.next_ask = now + ASK_INTERVAL;
            self.next_urgent = now + URGENT_INTERVAL;
        }
        Some(Ask {
            from: self.machine.clone(),
            life: self.life,
            number,
            echo,
            tenants,
        })
    }

    fn is_due(&self, now: Timestamp) -> bool {
        self.next_wake().is_some_and(|wake| wake <= now)
    }

    /// When [`Spender::poll`] has something to send, unless something arrives
    /// before.
    pub fn next_wake(&self) -> Option<Timestamp> {
        if self.contact.is_under_way() || !self.is_in_use() {
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
            .retain(|_, allowance| !idle(allowance) || allowance.back > 0);
        if self.allowances.len() < before {
            self.contact.introduce();
        }
    }

    fn tenant_asks(&mut self, now: Timestamp) -> Vec<TenantAsk> {
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
    pub fn on_answer(&mut self, now: Timestamp, number: u64, answer: Answer) {
        self.forget_needs();
        let Some(sent) = self.contact.answered(now, number, &answer) else {
            return;
        };
        if let Answer::Ledger { tenants, .. } = answer {
            self.take(now, sent, tenants);
        }
    }

    /// The ask of this number was not answered in time.
    pub fn on_silence(&mut self, now: Timestamp, number: u64) {
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
            if grant.none_ms > 0 {
                let pause = Duration::from_millis(grant.none_ms.into());
                let shortest = match grant.over {
                    true => SHORTEST_PAUSE,
                    false => URGENT_INTERVAL,
                };
                allowance.none_until = now + pause.clamp(shortest, LONGEST_PAUSE);
                allowance.over = grant.over;
            }
        }
    }

    /// For how long no ledger has answered; `None` while one does or nothing
    /// is asked.
    pub fn lost_for(&self, now: Timestamp) -> Option<Duration> {
        self.contact.lost_for(now)
    }

    /// Whether the ledger says that its office may end.
    pub fn is_ledger_ailing(&self) -> bool {
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
    pub fn tenants(&self, now: Timestamp) -> Vec<(TenantName, TenantView)> {
        let mut views = Vec::with_capacity(self.allowances.len());
        for (name, allowance) in &self.allowances {
            let Some(limit) = self.limits.get(name).copied() else {
                continue;
            };
            let view = TenantView {
                limit,
                rate: allowance.rate(),
                tokens: allowance.tokens(now),
                share: allowance.share.of(1.0),
                none_for: allowance.none_until.since(now),
            };
            views.push((name.clone(), view));
        }
        views
    }
}

fn refused(why: RefusedWhy, wait: Duration) -> Admission {
    let wait = wait.clamp(SHORTEST_PAUSE, LONGEST_PAUSE);
    Admission::Refused { why, wait }
}
