//! Ledger of the tenants' limits: one token bucket per tenant, shared by all
//! gateways.
//!
//! Besides tokens, the ledger assigns each gateway a share of each tenant's
//! rate. A gateway uses its shares only while it cannot reach the ledger, and
//! for that time the ledger grants correspondingly less. At no time do the
//! shares in use and the ledger's own grants together exceed the full rate.
//!
//! A new ledger starts with empty buckets and none of the rates. It recovers
//! the shares that gateways report from the previous ledger. It has the full
//! rates once every machine that may hold a share has sent a request, or once
//! everything granted before has expired.

mod gateway;
mod recovery;
mod tenant_bucket;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use threadledge_coordination::Term;
use threadledge_types::deployment::{RateLimit, TenantName};
use threadledge_types::{MachineName, Timestamp};

use crate::messages::{
    Echo, HolderRecord, QuotaRequest, QuotaResponse, Share, TenantGrant, TenantQuotaRequest,
};
use crate::settings::{MAX_PAUSE, Settings};
use gateway::{Gateway, Holding};
pub use recovery::Predecessor;
use recovery::Recovery;
use tenant_bucket::TenantBucket;

/// Result of the election that makes a gateway the ledger.
#[derive(Clone, Debug)]
pub struct LedgerElection {
    /// Term that the gateway was elected for.
    pub term: Term,
    /// Previous ledger, if there may have been one.
    pub predecessor: Option<Predecessor>,
    /// Holder record found in the store.
    pub found: Option<HolderRecord>,
    /// Holder record written in its place, which includes the new ledger's
    /// machine. After this write the store rejects machines that an earlier
    /// ledger tries to add.
    pub written: HolderRecord,
    /// Machine of the gateway that runs the ledger.
    pub machine: MachineName,
}

/// Token buckets and shares of all tenants, run by one elected gateway.
#[derive(Debug)]
pub struct Ledger {
    settings: Settings,
    term: Term,
    recovery: Recovery,
    buckets: BTreeMap<TenantName, TenantBucket>,
    gateways: BTreeMap<MachineName, Gateway>,
    /// When each gateway next falls silent or its shares expire.
    deadlines: BTreeSet<(Timestamp, MachineName)>,
    stored_record: HolderRecord,
    machine: MachineName,
    /// Share of each rate that the ledger owns even if no gateway reports any.
    unreserved: Share,
}

impl Ledger {
    /// Creates the ledger of a gateway that was elected at `now`.
    pub fn new(now: Timestamp, settings: Settings, election: LedgerElection) -> Self {
        let recovery = Recovery::start(now, &settings, election.predecessor, election.found);
        let unreserved = recovery.unreserved_share(now);
        Ledger {
            settings,
            term: election.term,
            recovery,
            buckets: BTreeMap::new(),
            gateways: BTreeMap::new(),
            deadlines: BTreeSet::new(),
            stored_record: election.written,
            machine: election.machine,
            unreserved,
        }
    }

    /// Returns the term of the ledger.
    pub fn term(&self) -> Term {
        self.term
    }

    /// Whether the ledger owns the full rate of every tenant.
    pub fn has_full_rate(&self) -> bool {
        self.recovery.is_complete()
    }

    /// Sets the limits of the active configuration.
    pub fn set_limits(&mut self, now: Timestamp, limits: BTreeMap<TenantName, RateLimit>) {
        self.advance(now);
        let mut before = std::mem::take(&mut self.buckets);
        for (name, limit) in &limits {
            let mut bucket = match before.remove(name) {
                Some(bucket) if bucket.limit == *limit => {
                    self.buckets.insert(name.clone(), bucket);
                    continue;
                }
                Some(bucket) => bucket.with_limit(now, *limit, &self.settings),
                None => {
                    let mut bucket = TenantBucket::new(now, *limit, &self.settings);
                    bucket.set_unreserved(self.unreserved);
                    bucket
                }
            };
            for gateway in self.gateways.values() {
                if let Some(holding) = gateway.holdings.get(name) {
                    bucket.add_holding(*holding, gateway.silent);
                }
            }
            bucket.refill(now);
            self.buckets.insert(name.clone(), bucket);
        }
    }

    /// Whether the holder record in the store is out of date.
    pub fn needs_record_update(&self, now: Timestamp) -> bool {
        self.record(now) != self.stored_record
    }

    /// Returns the holder record to write, or `None` if the store has it
    /// already.
    pub fn record_to_write(&mut self, now: Timestamp) -> Option<HolderRecord> {
        let record = self.record(now);
        if record == self.stored_record {
            return None;
        }
        // Invariant: a machine that is not in the record gets no share, not
        // even while the write that removes it is in flight.
        let machines = &mut self.stored_record.machines;
        machines.retain(|machine| record.machines.contains(machine));
        Some(record)
    }

    /// Builds the holder record. Until recovery is complete it keeps machines
    /// that have not sent a request, and it keeps earlier ledgers until their
    /// leases have ended.
    fn record(&self, now: Timestamp) -> HolderRecord {
        let mut machines: BTreeSet<MachineName> = self.gateways.keys().cloned().collect();
        machines.insert(self.machine.clone());
        if !self.has_full_rate() {
            machines.extend(self.stored_record.machines.iter().cloned());
        }
        let ledgers = match self.recovery.predecessors_done(now) {
            true => BTreeSet::from([self.machine.clone()]),
            false => self.stored_record.ledgers.clone(),
        };
        HolderRecord {
            term: self.term,
            machines,
            ledgers,
        }
    }

    /// Notes that the store now holds `record`.
    pub fn on_record_written(&mut self, record: HolderRecord) {
        self.stored_record = record;
    }

    /// Handles a request that arrived at `now`.
    pub fn handle_request(&mut self, now: Timestamp, request: &QuotaRequest) -> QuotaResponse {
        self.advance(now);
        let echo = request.echo.filter(|echo| echo.term == self.term);
        let tenants = match echo {
            None => Vec::new(),
            Some(echo) => match self.process(now, request, echo) {
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

    /// Updates the sender and grants tokens and shares. Returns `None` if the
    /// request is older than the last one known from its sender.
    fn process(
        &mut self,
        now: Timestamp,
        request: &QuotaRequest,
        echo: Echo,
    ) -> Option<Vec<TenantGrant>> {
        let sent = echo.at + Duration::from_micros(echo.elapsed_us);
        self.update_gateway(now, request, sent.min(now))?;
        let mut grants = Vec::with_capacity(request.tenants.len());
        for tenant in &request.tenants {
            grants.push(self.grant(now, &request.from, tenant));
        }
        Some(grants)
    }

    /// Replaces what is known of the sender by what its request reports.
    /// Returns `None` if the request is stale.
    fn update_gateway(
        &mut self,
        now: Timestamp,
        request: &QuotaRequest,
        sent: Timestamp,
    ) -> Option<()> {
        if let Some(gateway) = self.gateways.get_mut(&request.from) {
            if !gateway.accepts(request) {
                return None;
            }
            let deadline = (gateway.deadline, request.from.clone());
            self.deadlines.remove(&deadline);
        }
        let known = self.gateways.remove(&request.from);
        let is_new = known
            .as_ref()
            .is_none_or(|known| known.incarnation != request.incarnation);
        let mut gateway = known.unwrap_or_else(|| Gateway::new(request.incarnation));
        self.remove_holdings(now, &gateway);
        gateway.on_request(request, sent);
        for tenant in &request.tenants {
            let holding = Holding {
                share: tenant.share,
                rate: tenant.rate,
            };
            gateway.holdings.insert(tenant.name.clone(), holding);
            let Some(bucket) = self.buckets.get_mut(&tenant.name) else {
                continue;
            };
            bucket.refill(now);
            if is_new && !self.recovery.is_complete() {
                bucket.reclaim(tenant.share, self.unreserved);
            }
            bucket.add_holding(holding, false);
            bucket.put_back(tenant.returned);
        }
        let deadline = (gateway.deadline, request.from.clone());
        self.deadlines.insert(deadline);
        self.gateways.insert(request.from.clone(), gateway);
        if self.recovery.mark_accounted(&request.from) {
            self.recovery = Recovery::Complete;
        }
        // The request may have been in flight for so long that its sender
        // already counts as silent.
        self.advance(now);
        Some(())
    }

    /// Removes a gateway's holdings from the tenants' buckets.
    fn remove_holdings(&mut self, now: Timestamp, gateway: &Gateway) {
        for (name, holding) in &gateway.holdings {
            if let Some(bucket) = self.buckets.get_mut(name) {
                bucket.refill(now);
                bucket.remove_holding(*holding, gateway.silent);
            }
        }
    }

    /// Grants tokens and a share of one tenant to a gateway.
    fn grant(
        &mut self,
        now: Timestamp,
        from: &MachineName,
        request: &TenantQuotaRequest,
    ) -> TenantGrant {
        let name = request.name.clone();
        let Some(bucket) = self.buckets.get_mut(&name) else {
            // The tenant has no limit in this configuration.
            return TenantGrant {
                name,
                tokens: request.need + request.prefetch,
                share: Share::default(),
                retry_after_ms: 0,
                over_limit: false,
            };
        };
        bucket.refill(now);
        let needed = bucket.take_needed(request.need);
        let tokens = needed + bucket.take_prefetch(request.prefetch);
        let retry_after_ms = match needed < request.need {
            true => retry_delay_ms(bucket.time_to_token()),
            false => 0,
        };
        let over_limit = retry_after_ms > 0 && bucket.is_over_limit();
        let listed = self.stored_record.machines.contains(from);
        let share = match self.gateways.get_mut(from) {
            Some(gateway) if listed => bucket.assign_share(gateway, &name),
            _ => request.share,
        };
        TenantGrant {
            name,
            tokens,
            share,
            retry_after_ms,
            over_limit,
        }
    }

    /// Applies everything that became due up to `now`: expired recovery, silent
    /// gateways and expired shares.
    fn advance(&mut self, now: Timestamp) {
        if self.recovery.has_expired(now) {
            self.recovery = Recovery::Complete;
        }
        self.update_unreserved(now);
        while let Some((at, machine)) = self.deadlines.first().cloned() {
            if at > now {
                return;
            }
            self.deadlines.pop_first();
            let Some(mut gateway) = self.gateways.remove(&machine) else {
                continue;
            };
            self.remove_holdings(at, &gateway);
            if gateway.silent {
                // The gateway's shares have expired.
                continue;
            }
            gateway.mark_silent(&self.settings);
            for (name, holding) in &gateway.holdings {
                if let Some(bucket) = self.buckets.get_mut(name) {
                    bucket.add_holding(*holding, true);
                }
            }
            self.deadlines.insert((gateway.deadline, machine.clone()));
            self.gateways.insert(machine, gateway);
        }
    }

    /// Updates the share that the ledger owns without any reports.
    fn update_unreserved(&mut self, now: Timestamp) {
        let unreserved = self.recovery.unreserved_share(now);
        if unreserved == self.unreserved {
            return;
        }
        self.unreserved = unreserved;
        for bucket in self.buckets.values_mut() {
            bucket.refill(now);
            bucket.set_unreserved(unreserved);
        }
    }

    /// Returns a tenant's limit, the tokens in its bucket and the requests per
    /// second that all gateways report.
    pub fn tenant_load(&self, tenant: &TenantName) -> Option<(RateLimit, f64, f64)> {
        let bucket = self.buckets.get(tenant)?;
        Some((bucket.limit, bucket.level(), bucket.reported_rate()))
    }
}

/// Time after which a gateway asks again for a tenant whose bucket gains no
/// tokens at present. The ledger's part of the rate grows as gateways report
/// their shares.
const UNKNOWN_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Converts the time until the next token to a retry delay.
fn retry_delay_ms(pause: Option<Duration>) -> u32 {
    let pause = pause.unwrap_or(UNKNOWN_RETRY_DELAY);
    let pause = pause.min(MAX_PAUSE);
    u32::try_from(pause.as_millis() + 1).unwrap_or(u32::MAX)
}
