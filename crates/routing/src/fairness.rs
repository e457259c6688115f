//! Shares of the router between namespaces, that is, between partners.
//!
//! Back ends belong to one namespace each, so partners meet only at what a
//! router itself holds: its exchanges. The sharing is work-conserving: a
//! namespace may hold all but a small reserve while nobody else wants it. A
//! namespace below its share is always let in, if need be in place of a
//! waiting request of the namespace that holds the most.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use threadledge_types::Timestamp;
use threadledge_types::objects::Priority;

use crate::attempt::ExchangeId;

/// Order in which waiting requests of one namespace give way: lowest priority
/// first, then the latest deadline, then the latest arrival.
pub type Yielding = (Priority, Reverse<Timestamp>, Reverse<ExchangeId>);

/// Settings of the sharing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SharePolicy {
    /// Exchanges held at once, over all namespaces.
    pub capacity: u32,
    /// Largest share of one namespace when others want it, in percent.
    pub share_percent: u32,
    /// Share kept for namespaces below their share, in percent.
    pub reserve_percent: u32,
}

/// What to do with a request at the door.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// Take it.
    Admit,
    /// Take it and turn this waiting request away in its place.
    Replace {
        /// The waiting request.
        victim: ExchangeId,
        /// Whether it is one of another namespace, which was above its share.
        above_share: bool,
    },
    /// The namespace has used up its share and others want the rest.
    ShareExhausted,
    /// The router is full.
    Full,
}

/// What one namespace holds.
#[derive(Debug, Default)]
struct Holding {
    held: u32,
    waiting: BTreeSet<Yielding>,
}

/// What each namespace holds. Namespaces that hold nothing have no entry, so
/// the maps are bounded by the capacity.
#[derive(Debug)]
pub struct Shares {
    policy: SharePolicy,
    total: u32,
    holdings: BTreeMap<Arc<str>, Holding>,
    by_held: BTreeSet<(u32, Arc<str>)>,
}

impl Shares {
    /// Nothing held.
    pub fn new(policy: SharePolicy) -> Self {
        Shares {
            policy,
            total: 0,
            holdings: BTreeMap::new(),
            by_held: BTreeSet::new(),
        }
    }

    /// Exchanges held, over all namespaces.
    pub fn total(&self) -> u32 {
        self.total
    }

    /// Exchanges that a namespace holds and how many of them wait.
    pub fn held(&self, namespace: &str) -> (u32, usize) {
        let holding = self.holdings.get(namespace);
        holding.map_or((0, 0), |holding| (holding.held, holding.waiting.len()))
    }

    /// Every namespace that holds something.
    pub fn namespaces(&self) -> impl Iterator<Item = &Arc<str>> {
        self.holdings.keys()
    }

    /// What to do with a request; changes nothing. O(log n).
    pub fn decide(&self, namespace: &str, priority: Priority) -> Admission {
        let (held, _) = self.held(namespace);
        if held < self.guarantee(held) {
            return self.decide_below_share(namespace, priority);
        }
        if self.total < self.open_to_all() {
            return Admission::Admit;
        }
        if let Some(victim) = self.lower_priority(namespace, priority) {
            return Admission::Replace {
                victim,
                above_share: false,
            };
        }
        if self.holdings.len() > 1 {
            return Admission::ShareExhausted;
        }
        Admission::Full
    }

    /// A request was taken.
    pub fn enter(&mut self, namespace: &Arc<str>) {
        self.change_held(namespace, |held| held + 1);
        self.total += 1;
    }

    /// An exchange ended.
    pub fn leave(&mut self, namespace: &Arc<str>) {
        self.change_held(namespace, |held| held.saturating_sub(1));
        self.total = self.total.saturating_sub(1);
    }

    /// An exchange began to wait, with nothing of it sent.
    pub fn wait(&mut self, namespace: &str, yielding: Yielding) {
        if let Some(holding) = self.holdings.get_mut(namespace) {
            holding.waiting.insert(yielding);
        }
    }

    /// An exchange waits no more.
    pub fn stop_waiting(&mut self, namespace: &str, yielding: Yielding) {
        if let Some(holding) = self.holdings.get_mut(namespace) {
            holding.waiting.remove(&yielding);
        }
    }

    fn decide_below_share(&self, namespace: &str, priority: Priority) -> Admission {
        if self.total < self.policy.capacity {
            return Admission::Admit;
        }
        if let Some(victim) = self.above_share() {
            return Admission::Replace {
                victim,
                above_share: true,
            };
        }
        match self.lower_priority(namespace, priority) {
            Some(victim) => Admission::Replace {
                victim,
                above_share: false,
            },
            None => Admission::Full,
        }
    }

    /// Part that a namespace is sure of, given how many hold something. A
    /// namespace that holds nothing yet is counted in.
    fn guarantee(&self, held: u32) -> u32 {
        let active = self.holdings.len() + usize::from(held == 0);
        let equal_part = self.policy.capacity / u32::try_from(active.max(1)).unwrap_or(u32::MAX);
        self.percent(self.policy.share_percent).min(equal_part)
    }

    /// Number up to which a namespace above its share may fill the router.
    fn open_to_all(&self) -> u32 {
        let reserve = self.percent(self.policy.reserve_percent);
        self.policy.capacity.saturating_sub(reserve)
    }

    fn percent(&self, percent: u32) -> u32 {
        let part = u64::from(self.policy.capacity) * u64::from(percent) / 100;
        u32::try_from(part).unwrap_or(u32::MAX)
    }

    /// Waiting request of the namespace that holds the most, if that is more
    /// than its share.
    fn above_share(&self) -> Option<ExchangeId> {
        let (held, namespace) = self.by_held.last()?;
        if *held <= self.guarantee(*held) {
            return None;
        }
        let (_, _, id) = self.holdings.get(namespace)?.waiting.first()?;
        Some(id.0)
    }

    /// Waiting request of the same namespace with a lower priority.
    fn lower_priority(&self, namespace: &str, priority: Priority) -> Option<ExchangeId> {
        let (lowest, _, id) = self.holdings.get(namespace)?.waiting.first()?;
        (*lowest < priority).then_some(id.0)
    }

    fn change_held(&mut self, namespace: &Arc<str>, change: impl Fn(u32) -> u32) {
        let holding = self.holdings.entry(Arc::clone(namespace)).or_default();
        let before = holding.held;
        let after = change(before);
        holding.held = after;
        self.by_held.remove(&(before, Arc::clone(namespace)));
        if after == 0 {
            self.holdings.remove(namespace);
        } else {
            self.by_held.insert((after, Arc::clone(namespace)));
        }
    }
}
