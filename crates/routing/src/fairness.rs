//! NamespaceShares of the router between namespaces, that is, between partners.
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
pub type EvictionOrder = (Priority, Reverse<Timestamp>, Reverse<ExchangeId>);

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
struct NamespaceUsage {
    held: u32,
    waiting: BTreeSet<EvictionOrder>,
}

/// What each namespace holds. Namespaces that hold nothing have no entry, so
/// the maps are bounded by the capacity.
#[derive(Debug)]
pub struct NamespaceShares {
    policy: SharePolicy,
    total: u32,
    usage_by_namespace: BTreeMap<Arc<str>, NamespaceUsage>,
    by_held: BTreeSet<(u32, Arc<str>)>,
}

impl NamespaceShares {
    /// Nothing held.
    pub fn new(policy: SharePolicy) -> Self {
        NamespaceShares {
            policy,
            total: 0,
            usage_by_namespace: BTreeMap::new(),
            by_held: BTreeSet::new(),
        }
    }

    /// Exchanges held, over all namespaces.
    pub fn total(&self) -> u32 {
        self.total
    }

    /// Exchanges that a namespace holds and how many of them wait.
    pub fn held(&self, namespace: &str) -> (u32, usize) {
        let usage = self.usage_by_namespace.get(namespace);
        usage.map_or((0, 0), |usage| (usage.held, usage.waiting.len()))
    }

    /// Every namespace that holds something.
    pub fn namespaces(&self) -> impl Iterator<Item = &Arc<str>> {
        self.usage_by_namespace.keys()
    }

    /// What to do with a request; changes nothing. O(log n).
    pub fn decide(&self, namespace: &str, priority: Priority) -> Admission {
        let (held, _) = self.held(namespace);
        if held < self.guaranteed_share(held) {
            return self.decide_below_share(namespace, priority);
        }
        if self.total < self.unreserved_capacity() {
            return Admission::Admit;
        }
        if let Some(victim) = self.victim_with_lower_priority(namespace, priority) {
            return Admission::Replace {
                victim,
                above_share: false,
            };
        }
        if self.usage_by_namespace.len() > 1 {
            return Admission::ShareExhausted;
        }
        Admission::Full
    }

    /// A request was taken.
    pub fn add_exchange(&mut self, namespace: &Arc<str>) {
        self.update_held(namespace, |held| held + 1);
        self.total += 1;
    }

    /// An exchange ended.
    pub fn remove_exchange(&mut self, namespace: &Arc<str>) {
        self.update_held(namespace, |held| held.saturating_sub(1));
        self.total = self.total.saturating_sub(1);
    }

    /// An exchange began to wait, with nothing of it sent.
    pub fn start_waiting(&mut self, namespace: &str, eviction_order: EvictionOrder) {
        if let Some(usage) = self.usage_by_namespace.get_mut(namespace) {
            usage.waiting.insert(eviction_order);
        }
    }

    /// An exchange waits no more.
    pub fn stop_waiting(&mut self, namespace: &str, eviction_order: EvictionOrder) {
        if let Some(usage) = self.usage_by_namespace.get_mut(namespace) {
            usage.waiting.remove(&eviction_order);
        }
    }

    fn decide_below_share(&self, namespace: &str, priority: Priority) -> Admission {
        if self.total < self.policy.capacity {
            return Admission::Admit;
        }
        if let Some(victim) = self.victim_above_share() {
            return Admission::Replace {
                victim,
                above_share: true,
            };
        }
        match self.victim_with_lower_priority(namespace, priority) {
            Some(victim) => Admission::Replace {
                victim,
                above_share: false,
            },
            None => Admission::Full,
        }
    }

    /// Part that a namespace is sure of, given how many hold something. A
    /// namespace that holds nothing yet is counted in.
    fn guaranteed_share(&self, held: u32) -> u32 {
        let active = self.usage_by_namespace.len() + usize::from(held == 0);
        let equal_part = self.policy.capacity / u32::try_from(active.max(1)).unwrap_or(u32::MAX);
        self.percent(self.policy.share_percent).min(equal_part)
    }

    /// Number up to which a namespace above its share may fill the router.
    fn unreserved_capacity(&self) -> u32 {
        let reserve = self.percent(self.policy.reserve_percent);
        self.policy.capacity.saturating_sub(reserve)
    }

    fn percent(&self, percent: u32) -> u32 {
        let part = u64::from(self.policy.capacity) * u64::from(percent) / 100;
        u32::try_from(part).unwrap_or(u32::MAX)
    }

    /// Waiting request of the namespace that holds the most, if that is more
    /// than its share.
    fn victim_above_share(&self) -> Option<ExchangeId> {
        let (held, namespace) = self.by_held.last()?;
        if *held <= self.guaranteed_share(*held) {
            return None;
        }
        let (_, _, id) = self.usage_by_namespace.get(namespace)?.waiting.first()?;
        Some(id.0)
    }

    /// Waiting request of the same namespace with a lower priority.
    fn victim_with_lower_priority(
        &self,
        namespace: &str,
        priority: Priority,
    ) -> Option<ExchangeId> {
        let (lowest, _, id) = self.usage_by_namespace.get(namespace)?.waiting.first()?;
        (*lowest < priority).then_some(id.0)
    }

    fn update_held(&mut self, namespace: &Arc<str>, change: impl Fn(u32) -> u32) {
        let usage = self
            .usage_by_namespace
            .entry(Arc::clone(namespace))
            .or_default();
        let before = usage.held;
        let after = change(before);
        usage.held = after;
        self.by_held.remove(&(before, Arc::clone(namespace)));
        if after == 0 {
            self.usage_by_namespace.remove(namespace);
        } else {
            self.by_held.insert((after, Arc::clone(namespace)));
        }
    }
}
