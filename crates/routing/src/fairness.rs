//! Fair sharing of the router between namespaces, that is, between partners.
//!
//! Each back end belongs to one namespace, so partners compete only for what
//! the router itself holds: its exchanges. The sharing is work-conserving: a
//! namespace may use all but a small reserve while no other needs it. A
//! namespace below its share is always admitted, if necessary by evicting a
//! waiting request of the namespace that holds the most.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use threadledge_types::Timestamp;
use threadledge_types::objects::Priority;

use crate::attempt::ExchangeId;

/// Order in which waiting requests of one namespace are evicted: lowest
/// priority first, then the latest deadline, then the latest arrival.
pub type EvictionOrder = (Priority, Reverse<Timestamp>, Reverse<ExchangeId>);

/// Settings for sharing the router between namespaces.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SharePolicy {
    /// Maximum number of concurrent exchanges, over all namespaces.
    pub capacity: u32,
    /// Maximum share of one namespace when others compete for it, in percent.
    pub share_percent: u32,
    /// Share reserved for namespaces below their own share, in percent.
    pub reserve_percent: u32,
}

/// Admission decision for a new request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// Admit the request.
    Admit,
    /// Admit the request and evict a waiting one.
    Replace {
        /// The request to evict.
        victim: ExchangeId,
        /// Whether it belongs to another namespace that was above its share.
        above_share: bool,
    },
    /// The namespace has used up its share and the rest is reserved for others.
    ShareExhausted,
    /// The router is at capacity.
    Full,
}

/// Exchanges held by one namespace.
#[derive(Debug, Default)]
struct NamespaceUsage {
    /// Number of exchanges, running and waiting.
    held: u32,
    /// Those that may be evicted, in the order of eviction.
    waiting: BTreeSet<EvictionOrder>,
}

/// Exchanges held by each namespace. Namespaces that hold none have no entry,
/// so the maps are bounded by the capacity.
#[derive(Debug)]
pub struct NamespaceShares {
    policy: SharePolicy,
    total: u32,
    usage_by_namespace: BTreeMap<Arc<str>, NamespaceUsage>,
    /// Namespaces by the number of exchanges they hold.
    by_held: BTreeSet<(u32, Arc<str>)>,
}

impl NamespaceShares {
    /// Creates the state with no exchanges held.
    pub fn new(policy: SharePolicy) -> Self {
        NamespaceShares {
            policy,
            total: 0,
            usage_by_namespace: BTreeMap::new(),
            by_held: BTreeSet::new(),
        }
    }

    /// Number of exchanges held, over all namespaces.
    pub fn total(&self) -> u32 {
        self.total
    }

    /// Returns how many exchanges a namespace holds and how many of them wait.
    pub fn held(&self, namespace: &str) -> (u32, usize) {
        let usage = self.usage_by_namespace.get(namespace);
        usage.map_or((0, 0), |usage| (usage.held, usage.waiting.len()))
    }

    /// Namespaces that hold an exchange.
    pub fn namespaces(&self) -> impl Iterator<Item = &Arc<str>> {
        self.usage_by_namespace.keys()
    }

    /// Decides on a new request without changing anything; O(log n).
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

    /// Counts an admitted exchange.
    pub fn add_exchange(&mut self, namespace: &Arc<str>) {
        self.update_held(namespace, |held| held + 1);
        self.total += 1;
    }

    /// Removes an exchange that ended.
    pub fn remove_exchange(&mut self, namespace: &Arc<str>) {
        self.update_held(namespace, |held| held.saturating_sub(1));
        self.total = self.total.saturating_sub(1);
    }

    /// Registers a waiting exchange of which nothing was sent, so that it may
    /// be evicted.
    pub fn start_waiting(&mut self, namespace: &str, eviction_order: EvictionOrder) {
        if let Some(usage) = self.usage_by_namespace.get_mut(namespace) {
            usage.waiting.insert(eviction_order);
        }
    }

    /// Removes an exchange from the waiting ones.
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

    /// Number of exchanges guaranteed to a namespace, given how many namespaces
    /// hold any. A namespace that holds none yet is counted as one of them.
    fn guaranteed_share(&self, held: u32) -> u32 {
        let active = self.usage_by_namespace.len() + usize::from(held == 0);
        let equal_part = self.policy.capacity / u32::try_from(active.max(1)).unwrap_or(u32::MAX);
        self.percent(self.policy.share_percent).min(equal_part)
    }

    /// Number of exchanges up to which a namespace above its share may fill the
    /// router.
    fn unreserved_capacity(&self) -> u32 {
        let reserve = self.percent(self.policy.reserve_percent);
        self.policy.capacity.saturating_sub(reserve)
    }

    fn percent(&self, percent: u32) -> u32 {
        let part = u64::from(self.policy.capacity) * u64::from(percent) / 100;
        u32::try_from(part).unwrap_or(u32::MAX)
    }

    /// First request to evict of the namespace that holds the most, if that is
    /// more than its share.
    fn victim_above_share(&self) -> Option<ExchangeId> {
        let (held, namespace) = self.by_held.last()?;
        if *held <= self.guaranteed_share(*held) {
            return None;
        }
        let (_, _, id) = self.usage_by_namespace.get(namespace)?.waiting.first()?;
        Some(id.0)
    }

    /// First request to evict of the same namespace, if its priority is lower.
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
