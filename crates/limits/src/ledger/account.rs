//! One tenant's bucket, and who holds which share of its rate.

use std::time::Duration;

use threadledge_types::Timestamp;
use threadledge_types::deployment::{RateLimit, TenantName};

use super::claim::MOST_SHARE;
use super::member::{Holding, Member};
use crate::bucket::{Bucket, Flow};
use crate::messages::Share;
use crate::settings::Settings;

/// Part of a rate that is divided among gateways; the rest stays with the
/// ledger, for gateways that are new.
const SHARED_PART: f64 = 0.95;
/// Part of a bucket that must be left for tokens to be given out for requests
/// that have not come yet.
const PREFETCH_PART: f64 = 0.75;

/// Reported requests from which on a tenant counts as beyond its limit, as a
/// multiple of it: averages of callers within it swing as well.
const OVER_FROM: f64 = 1.25;

#[derive(Debug)]
pub(super) struct Account {
    pub(super) limit: RateLimit,
    depth: f64,
    rounding: f64,
    bucket: Bucket,
    /// What gateways handed in, in millionths.
    handed: u64,
    /// What is this ledger's or is held by gateways.
    total: u64,
    /// What gateways hold of it.
    held: u64,
    /// What gateways hold that may be using it.
    reserved: u64,
    /// Requests that gateways report, in thousandths a second.
    rates: u64,
    /// Tokens by which shares exceed the depth, since each gateway has room
    /// for a whole one.
    exceeding: f64,
}

impl Account {
    pub(super) fn new(now: Timestamp, limit: RateLimit, settings: &Settings) -> Self {
        Account {
            limit,
            depth: settings.depth(limit),
            rounding: settings.rounding(),
            bucket: Bucket::empty(now),
            handed: 0,
            total: 0,
            held: 0,
            reserved: 0,
            rates: 0,
            exceeding: 0.0,
        }
    }

    /// The same bucket under another limit. Holdings have to be counted anew;
    /// shares are parts of the limit, whatever it is.
    pub(super) fn under(mut self, now: Timestamp, limit: RateLimit, settings: &Settings) -> Self {
        self.refill(now);
        Account {
            bucket: self.bucket,
            handed: self.handed,
            total: self.total,
            ..Account::new(now, limit, settings)
        }
    }

    fn flow(&self) -> Flow {
        let own = self.total.saturating_sub(self.reserved);
        let own = Share(u32::try_from(own).unwrap_or(u32::MAX)).min(Share::WHOLE);
        Flow {
            rate: own.of(self.limit.rate),
            depth: own.of(self.depth),
        }
    }

    pub(super) fn refill(&mut self, now: Timestamp) {
        self.bucket.refill(now, self.flow());
    }

    /// A gateway hands a share in that an earlier ledger gave it.
    pub(super) fn hand_in(&mut self, share: Share, free: Share) {
        self.handed += u64::from(share.0);
        self.set_free(free);
    }

    /// So much is this ledger's in any case.
    pub(super) fn set_free(&mut self, free: Share) {
        self.total = self.handed.max(free.0.into()).min(Share::WHOLE.0.into());
    }

    /// Takes back what was not used.
    pub(super) fn put(&mut self, tokens: u32) {
        self.bucket.put(tokens);
    }

    pub(super) fn take_needed(&mut self, tokens: u32) -> u32 {
        self.bucket.take(tokens)
    }

    /// Takes for requests that have not come yet: as many as are wanted while
    /// there is plenty, and else none, since they may be needed elsewhere. Of
    /// a tenant beyond its limit every gateway needs all that it can get.
    pub(super) fn take_wanted(&mut self, tokens: u32) -> u32 {
        if self.is_over() {
            return self.bucket.take(tokens.min(self.bucket.whole() / 2));
        }
        let left = self.bucket.level() - f64::from(tokens);
        match left >= self.flow().depth * PREFETCH_PART {
            true => self.bucket.take(tokens),
            false => 0,
        }
    }

    /// Time until there is a token; `None` if none comes as things are.
    pub(super) fn pause(&self) -> Option<Duration> {
        self.bucket.until(1.0, self.flow())
    }

    pub(super) fn count(&mut self, holding: Holding, silent: bool) {
        let share = u64::from(holding.share.0);
        self.held += share;
        self.rates += u64::from(holding.rate);
        self.exceeding += self.exceeding_of(holding.share);
        if silent {
            self.reserved += share;
        }
    }

    pub(super) fn uncount(&mut self, holding: Holding, silent: bool) {
        let share = u64::from(holding.share.0);
        self.held = self.held.saturating_sub(share);
        self.rates = self.rates.saturating_sub(u64::from(holding.rate));
        self.exceeding = (self.exceeding - self.exceeding_of(holding.share)).max(0.0);
        if silent {
            self.reserved = self.reserved.saturating_sub(share);
        }
    }

    fn exceeding_of(&self, share: Share) -> f64 {
        match share.is_none() {
            true => 0.0,
            false => (1.0 - share.of(self.depth)).max(0.0),
        }
    }

    /// The share that a member gets: by the requests that it reports, as far
    /// as the others leave it. Until its next ask the larger one counts of
    /// that which it has and that which it is told.
    pub(super) fn offer(&mut self, member: &mut Member, name: &TenantName) -> Share {
        let Some(held) = member.holdings.get(name).copied() else {
            return Share::default();
        };
        let part = f64::from(held.rate) / (self.rates.max(1) as f64);
        let shared = (self.total as f64 * SHARED_PART) as u64;
        let left = shared.saturating_sub(self.held.saturating_sub(held.share.0.into()));
        let wanted = (shared as f64 * part) as u64;
        let offered = u32::try_from(wanted.min(left)).unwrap_or(u32::MAX);
        let mut offered = Share(offered).min(MOST_SHARE);
        let others = self.exceeding - self.exceeding_of(held.share);
        if others + self.exceeding_of(offered) > self.rounding {
            offered = Share::default();
        }
        let counted = Holding {
            share: held.share.max(offered),
            rate: held.rate,
        };
        self.uncount(held, member.silent);
        self.count(counted, member.silent);
        member.holdings.insert(name.clone(), counted);
        offered
    }

    pub(super) fn level(&self) -> f64 {
        self.bucket.level()
    }

    /// Whether gateways report clearly more than the limit.
    pub(super) fn is_over(&self) -> bool {
        self.reported_rate() > self.limit.rate * OVER_FROM
    }

    pub(super) fn reported_rate(&self) -> f64 {
        self.rates as f64 / 1_000.0
    }
}
