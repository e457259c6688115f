//! Tokens for back ends that name a limit: the requests a second that they
//! take from all routers together.
//!
//! The coordinator of a service keeps a token bucket for each such back end,
//! and routers ask it for a token for each request. Nobody has to know how
//! many routers there are, and one that asks for nothing holds nothing back
//! from the others.
//!
//! Invariant: the tokens that can be used within any time are at most what the
//! limit allows in that time and [`TOKEN_LIFETIME`], and two buckets full. Tokens
//! end by themselves, a coordinator begins with empty buckets, and two that
//! may both hold the office give out [`UNSURE_PART`] each.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use threadledge_types::Timestamp;
use threadledge_types::deployment::BackEndName;

use crate::holders::Candidate;

/// How long a token may be used, from when it was asked for.
pub const TOKEN_LIFETIME: Duration = Duration::from_millis(500);
/// Limits below this are read as this, in requests a second: who sends nothing
/// would never hear that a limit has ended.
pub const MIN_RATE: f64 = 0.1;
/// Part of a limit that a coordinator gives out while another one may do so.
const UNSURE_PART: f64 = 0.4;
/// Tokens that a bucket holds besides a part of a second's.
const DEPTH: f64 = 1.0;
/// Part of a second's tokens that a bucket holds.
const DEPTH_PART: f64 = 0.25;
/// How long nobody must have asked by a lower limit before a higher one counts:
/// routers that have not heard of it yet ask by the lower one.
const RAISED_AFTER: Duration = Duration::from_secs(1);
/// How long after the last ask a back end counts as limited.
const LIMITED_FOR: Duration = Duration::from_secs(4);
/// Longest time that a router is told to wait for a token.
const LONGEST_WAIT: Duration = Duration::from_secs(10);
/// Part of its limit for which an owner keeps keys: requests come by chance.
const KEPT_PART: f64 = 0.7;
/// Limited owners together keep no more than this part of all requests, if
/// there are others.
const MOST_KEPT: f64 = 0.95;

/// A router asks for tokens for one back end.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct TokenRequest {
    /// The back end.
    pub back_end: BackEndName,
    /// Its limit as this router last heard it, in requests a second.
    pub rate: f64,
    /// Tokens that are needed now.
    pub needed: u32,
}

/// What a router got for one back end.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct TokenGrant {
    /// The back end.
    pub back_end: BackEndName,
    /// Tokens, good for [`TOKEN_LIFETIME`] from the ask.
    pub tokens: u32,
    /// Time until there is another one, in milliseconds, if these are fewer
    /// than were needed.
    pub wait_ms: u32,
}

/// The bucket of one back end.
#[derive(Clone, Copy, Debug)]
struct Account {
    rate: f64,
    /// When this rate, or a lower one, was last named.
    named_at: Timestamp,
    asked_at: Timestamp,
    level: f64,
    filled_at: Timestamp,
}

impl Account {
    fn new(now: Timestamp, rate: f64) -> Self {
        Account {
            rate,
            named_at: now,
            asked_at: now,
            level: 0.0,
            filled_at: now,
        }
    }

    fn name(&mut self, now: Timestamp, rate: f64) {
        let raised = rate > self.rate && now.since(self.named_at) >= RAISED_AFTER;
        if rate <= self.rate || raised {
            self.rate = rate;
            self.named_at = now;
        }
    }

    fn fill(&mut self, now: Timestamp, part: f64) {
        let gained = now.since(self.filled_at).as_secs_f64() * self.rate * part;
        self.filled_at = now;
        self.level = (self.level + gained).min(DEPTH + DEPTH_PART * self.rate);
    }

    fn take(&mut self, needed: u32) -> u32 {
        let taken = needed.min(self.level as u32);
        self.level -= f64::from(taken);
        taken
    }

    /// Time until there is a whole token.
    fn wait(&self, part: f64) -> Duration {
        let lacks = (1.0 - self.level).max(0.0);
        let wait = Duration::try_from_secs_f64(lacks / (self.rate * part));
        wait.map_or(LONGEST_WAIT, |wait| wait.min(LONGEST_WAIT))
    }
}

/// The buckets of one service, while this node coordinates it.
#[derive(Clone, Debug, Default)]
pub struct TokenBuckets {
    accounts: BTreeMap<BackEndName, Account>,
}

impl TokenBuckets {
    /// Another term begins: nothing is left of what was saved up before.
    pub fn clear(&mut self) {
        self.accounts.clear();
    }

    /// Answers an ask. `sure`: nobody else gives out tokens now.
    pub fn grant(&mut self, now: Timestamp, ask: &TokenRequest, sure: bool) -> TokenGrant {
        let part = if sure { 1.0 } else { UNSURE_PART };
        self.forget_old(now);
        let rate = ask.rate.max(MIN_RATE);
        let account = self
            .accounts
            .entry(ask.back_end.clone())
            .or_insert_with(|| Account::new(now, rate));
        account.fill(now, part);
        account.name(now, rate);
        account.asked_at = now;
        let tokens = account.take(ask.needed);
        let wait = match tokens < ask.needed {
            true => account.wait(part),
            false => Duration::ZERO,
        };
        TokenGrant {
            back_end: ask.back_end.clone(),
            tokens,
            wait_ms: u32::try_from(wait.as_millis()).unwrap_or(u32::MAX),
        }
    }

    fn forget_old(&mut self, now: Timestamp) {
        self.accounts
            .retain(|_, account| now.since(account.asked_at) < LIMITED_FOR);
    }

    /// The limit of a back end that was asked for lately.
    fn limit(&self, now: Timestamp, name: &BackEndName) -> Option<f64> {
        let account = self.accounts.get(name)?;
        (now.since(account.asked_at) < LIMITED_FOR).then_some(account.rate)
    }

    /// Bounds what limited candidates should hold by what they take, where
    /// `requests` a second come for all keys together.
    pub fn bound_weights(&self, now: Timestamp, candidates: &mut [Candidate], requests: f64) {
        if self.accounts.is_empty() || requests <= 0.0 {
            return;
        }
        let total: f64 = candidates.iter().map(|candidate| candidate.weight).sum();
        let mut kept = 0.0;
        let mut others = total;
        for candidate in candidates.iter_mut() {
            let Some(limit) = self.limit(now, &candidate.owner.name) else {
                continue;
            };
            let most = KEPT_PART * limit / requests;
            if candidate.weight / total <= most {
                continue;
            }
            candidate.most = Some(most);
            kept += most;
            others -= candidate.weight;
        }
        let by_others = others > total * f64::EPSILON;
        if by_others && kept > MOST_KEPT {
            // They take nearly everything: their usual shares will do.
            candidates
                .iter_mut()
                .for_each(|candidate| candidate.most = None);
            return;
        }
        let scale = if by_others {
            others / (1.0 - kept)
        } else {
            1.0
        };
        for candidate in candidates {
            if let Some(most) = candidate.most {
                candidate.weight = most * scale;
            }
        }
    }
}
