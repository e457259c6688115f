//! The ledger: one token bucket for each tenant, for all gateways.
//!
//! Beside tokens it hands out shares of each tenant's rate. A gateway uses its
//! shares only while it cannot reach the ledger; from then on the ledger gives
//! out that much less. The shares of all gateways and what the ledger itself
//! gives out are at no time more than the whole.
//!
//! A ledger begins with empty buckets and without any part of the rates. It
//! gains what gateways hand in that held shares of the ledger before, and the
//! whole once every machine that may hold one has asked, or everything that
//! was handed out before has run out.

mod account;
mod claim;
mod member;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use threadledge_coordination::Term;
use threadledge_types::deployment::{RateLimit, TenantName};
use threadledge_types::{MachineName, Timestamp};

use crate::messages::{QuotaResponse, QuotaRequest, Echo, HolderRecord, Share, TenantQuotaRequest, TenantGrant};
use crate::settings::{LONGEST_PAUSE, Settings};
use account::Account;
use claim::Claim;
pub use claim::Predecessor;
use member::{Holding, Member};

/// How a ledger came into office.
#[derive(Clone, Debug)]
pub struct LedgerElection {
    /// Its term.
    pub term: Term,
    /// Who may have kept the ledger until now.
    pub predecessor: Option<Predecessor>,
    /// The record of holders that it found.
    pub found: Option<HolderRecord>,
    /// The one that it wrote in its place, with its own machine: machines that
    /// an earlier ledger would add are refused by the store from then on.
    pub written: HolderRecord,
    /// The machine that keeps it.
    pub machine: MachineName,
}

/// Limits of tenants over all gateways.
#[derive(Debug)]
pub struct Ledger {
    settings: Settings,
    term: Term,
    claim: Claim,
    accounts: BTreeMap<TenantName, Account>,
    members: BTreeMap<MachineName, Member>,
    /// When the next thing becomes of each member.
    deadlines: BTreeSet<(Timestamp, MachineName)>,
    listed: HolderRecord,
    machine: MachineName,
    /// What is its own of each rate in any case.
    free: Share,
}

impl Ledger {
    /// A ledger that takes its office `now`.
    pub fn new(now: Timestamp, settings: Settings, office: LedgerElection) -> Self {
        let claim = Claim::begin(now, &settings, office.predecessor, office.found);
        let free = claim.free(now);
        Ledger {
            settings,
            term: office.term,
            claim,
            accounts: BTreeMap::new(),
            members: BTreeMap::new(),
            deadlines: BTreeSet::new(),
            listed: office.written,
            machine: office.machine,
            free,
        }
    }

    /// Its term.
    pub fn term(&self) -> Term {
        self.term
    }

    /// Whether the whole of each rate is this ledger's to give.
    pub fn has_full_rate(&self) -> bool {
        self.claim.has_full_rate()
    }

    /// Takes the limits of the configuration in force.
    pub fn set_limits(&mut self, now: Timestamp, limits: BTreeMap<TenantName, RateLimit>) {
        self.advance(now);
        let mut before = std::mem::take(&mut self.accounts);
        for (name, limit) in &limits {
            let mut account = match before.remove(name) {
                Some(account) if account.limit == *limit => {
                    self.accounts.insert(name.clone(), account);
                    continue;
                }
                Some(account) => account.under(now, *limit, &self.settings),
                None => {
                    let mut account = Account::new(now, *limit, &self.settings);
                    account.set_free(self.free);
                    account
                }
            };
            for member in self.members.values() {
                if let Some(holding) = member.holdings.get(name) {
                    account.count(*holding, member.silent);
                }
            }
            account.refill(now);
            self.accounts.insert(name.clone(), account);
        }
    }

    /// Whether the store should keep another record of holders.
    pub fn needs_record_update(&self, now: Timestamp) -> bool {
        self.record(now) != self.listed
    }

    /// The record of holders to write now; `None` if the store has it.
    pub fn record_to_write(&mut self, now: Timestamp) -> Option<HolderRecord> {
        let record = self.record(now);
        if record == self.listed {
            return None;
        }
        // Invariant: a machine that is not in the record gets no share, also
        // while the record without it is on its way.
        let machines = &mut self.listed.machines;
        machines.retain(|machine| record.machines.contains(machine));
        Some(record)
    }

    /// Machines in it that have not asked stay until all is accounted for, and
    /// earlier ledgers until their offices have ended.
    fn record(&self, now: Timestamp) -> HolderRecord {
        let mut machines: BTreeSet<MachineName> = self.members.keys().cloned().collect();
        machines.insert(self.machine.clone());
        if !self.has_full_rate() {
            machines.extend(self.listed.machines.iter().cloned());
        }
        let ledgers = match self.claim.is_alone(now) {
            true => BTreeSet::from([self.machine.clone()]),
            false => self.listed.ledgers.clone(),
        };
        HolderRecord {
            term: self.term,
            machines,
            ledgers,
        }
    }

    /// The store keeps this record now.
    pub fn on_record_written(&mut self, record: HolderRecord) {
        self.listed = record;
    }

    /// Answers an ask that arrived `now`.
    pub fn answer(&mut self, now: Timestamp, ask: &QuotaRequest) -> QuotaResponse {
        self.advance(now);
        let echo = ask.echo.filter(|echo| echo.term == self.term);
        let tenants = match echo {
            None => Vec::new(),
            Some(echo) => match self.take(now, ask, echo) {
                Some(tenants) => tenants,
                None => return QuotaResponse::NotLeader,
            },
        };
        QuotaResponse::Ledger {
            term: self.term,
            at: now,
            tenants,
            lease_at_risk: false,
        }
    }

    /// `None`: the ask is older than what is known of its sender.
    fn take(&mut self, now: Timestamp, ask: &QuotaRequest, echo: Echo) -> Option<Vec<TenantGrant>> {
        let sent = echo.at + Duration::from_micros(echo.elapsed_us);
        self.meet(now, ask, sent.min(now))?;
        let mut grants = Vec::with_capacity(ask.tenants.len());
        for tenant in &ask.tenants {
            grants.push(self.grant(now, &ask.from, tenant));
        }
        Some(grants)
    }

    /// Takes in who asks and what it holds.
    fn meet(&mut self, now: Timestamp, ask: &QuotaRequest, sent: Timestamp) -> Option<()> {
        if let Some(member) = self.members.get_mut(&ask.from) {
            if !member.accepts(ask) {
                return None;
            }
            let deadline = (member.deadline, ask.from.clone());
            self.deadlines.remove(&deadline);
        }
        let known = self.members.remove(&ask.from);
        let is_new = known.as_ref().is_none_or(|known| known.incarnation != ask.incarnation);
        let mut member = known.unwrap_or_else(|| Member::new(ask.incarnation));
        self.forget_holdings(now, &member);
        member.hear(ask, sent);
        for tenant in &ask.tenants {
            let holding = Holding {
                share: tenant.share,
                rate: tenant.rate,
            };
            member.holdings.insert(tenant.name.clone(), holding);
            let Some(account) = self.accounts.get_mut(&tenant.name) else {
                continue;
            };
            account.refill(now);
            if is_new && !self.claim.has_full_rate() {
                account.hand_in(tenant.share, self.free);
            }
            account.count(holding, false);
            account.put(tenant.returned);
        }
        let deadline = (member.deadline, ask.from.clone());
        self.deadlines.insert(deadline);
        self.members.insert(ask.from.clone(), member);
        if self.claim.accounted_for(&ask.from) {
            self.claim = Claim::Whole;
        }
        // The ask may have been on its way for so long that its sender counts
        // as silent already.
        self.advance(now);
        Some(())
    }

    fn forget_holdings(&mut self, now: Timestamp, member: &Member) {
        for (name, holding) in &member.holdings {
            if let Some(account) = self.accounts.get_mut(name) {
                account.refill(now);
                account.uncount(*holding, member.silent);
            }
        }
    }

    fn grant(&mut self, now: Timestamp, from: &MachineName, ask: &TenantQuotaRequest) -> TenantGrant {
        let name = ask.name.clone();
        let Some(account) = self.accounts.get_mut(&name) else {
            // By this configuration the tenant has no limit.
            return TenantGrant {
                name,
                tokens: ask.need + ask.prefetch,
                share: Share::default(),
                retry_after_ms: 0,
                over_limit: false,
            };
        };
        account.refill(now);
        let needed = account.take_needed(ask.need);
        let tokens = needed + account.take_wanted(ask.prefetch);
        let retry_after_ms = match needed < ask.need {
            true => millis(account.pause()),
            false => 0,
        };
        let over_limit = retry_after_ms > 0 && account.is_over();
        let listed = self.listed.machines.contains(from);
        let share = match self.members.get_mut(from) {
            Some(member) if listed => account.offer(member, &name),
            _ => ask.share,
        };
        TenantGrant {
            name,
            tokens,
            share,
            retry_after_ms,
            over_limit,
        }
    }

    /// Lets happen what was due until `now`.
    fn advance(&mut self, now: Timestamp) {
        if self.claim.is_over(now) {
            self.claim = Claim::Whole;
        }
        self.free_up(now);
        while let Some((at, machine)) = self.deadlines.first().cloned() {
            if at > now {
                return;
            }
            self.deadlines.pop_first();
            let Some(mut member) = self.members.remove(&machine) else {
                continue;
            };
            self.forget_holdings(at, &member);
            if member.silent {
                // Its shares have run out.
                continue;
            }
            member.fall_silent(&self.settings);
            for (name, holding) in &member.holdings {
                if let Some(account) = self.accounts.get_mut(name) {
                    account.count(*holding, true);
                }
            }
            self.deadlines.insert((member.deadline, machine.clone()));
            self.members.insert(machine, member);
        }
    }

    fn free_up(&mut self, now: Timestamp) {
        let free = self.claim.free(now);
        if free == self.free {
            return;
        }
        self.free = free;
        for account in self.accounts.values_mut() {
            account.refill(now);
            account.set_free(free);
        }
    }

    /// What operators see of one tenant: its limit, tokens at hand, requests a
    /// second that gateways report.
    pub fn tenant_load(&self, tenant: &TenantName) -> Option<(RateLimit, f64, f64)> {
        let account = self.accounts.get(tenant)?;
        Some((account.limit, account.level(), account.reported_rate()))
    }
}

/// Time until a gateway asks again whose tenant gets no token as things are:
/// what a ledger may give rises as gateways hand in what they have.
const UNCLEAR_PAUSE: Duration = Duration::from_millis(100);

fn millis(pause: Option<Duration>) -> u32 {
    let pause = pause.unwrap_or(UNCLEAR_PAUSE);
    let pause = pause.min(LONGEST_PAUSE);
    u32::try_from(pause.as_millis() + 1).unwrap_or(u32::MAX)
}
