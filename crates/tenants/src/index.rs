//! Which tenant holds which key.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;

use threadledge_types::deployment::{KeyDigest, RateLimit, Tenant, TenantName};
use threadledge_types::{EntryDiff, RegionName, diff_maps};

/// A tenant as requests meet it: without its keys.
#[derive(Clone, Debug, PartialEq)]
pub struct TenantPolicy {
    /// Its name.
    pub name: TenantName,
    /// Rank of its requests, before that of the route; 0 goes first.
    pub priority: Option<u32>,
    /// What it may send to all gateways together; `None`: as much as it likes.
    pub limit: Option<RateLimit>,
    /// The only regions in which its requests may be served; `None`: all.
    pub allowed_regions: Option<BTreeSet<RegionName>>,
}

impl TenantPolicy {
    fn new(name: &TenantName, tenant: &Tenant) -> Self {
        TenantPolicy {
            name: name.clone(),
            priority: tenant.priority,
            limit: tenant.limit,
            allowed_regions: tenant.allowed_regions.clone(),
        }
    }
}

/// The tenants of one configuration by the digests of their keys.
///
/// How long a look-up takes depends on the digest, which callers cannot
/// choose: a key that resembles a known one has a digest like any other's, so
/// that the time tells nothing of the keys.
#[derive(Clone, Debug, Default)]
pub struct KeyIndex {
    callers: HashMap<KeyDigest, Arc<TenantPolicy>>,
}

/// How many keys a version took away and added; one that went from a tenant
/// to another counts as both.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct KeyChanges {
    /// Keys that count no more.
    pub removed: usize,
    /// Keys that count from now on.
    pub added: usize,
}

impl KeyIndex {
    /// The tenant that holds a key.
    pub fn find(&self, key: &KeyDigest) -> Option<&Arc<TenantPolicy>> {
        self.callers.get(key)
    }

    /// Number of keys.
    pub fn len(&self) -> usize {
        self.callers.len()
    }

    /// Whether no key is known.
    pub fn is_empty(&self) -> bool {
        self.callers.is_empty()
    }

    /// Goes on from the tenants `old`, which it holds, to `new`. Only tenants
    /// that differ are touched.
    pub fn update(
        &mut self,
        old: &BTreeMap<TenantName, Tenant>,
        new: &BTreeMap<TenantName, Tenant>,
    ) -> KeyChanges {
        let mut changes = KeyChanges::default();
        let found = diff_maps(old, new);
        // Keys are taken away before any is added: one may go from a tenant
        // to another.
        for EntryDiff { old, new, .. } in &found {
            for key in old.iter().flat_map(|tenant| &tenant.keys) {
                self.callers.remove(key);
                changes.removed += usize::from(!holds(*new, key));
            }
        }
        for EntryDiff { name, old, new } in &found {
            let Some(tenant) = new else {
                continue;
            };
            let caller = Arc::new(TenantPolicy::new(name, tenant));
            for key in &tenant.keys {
                self.callers.insert(*key, caller.clone());
                changes.added += usize::from(!holds(*old, key));
            }
        }
        changes
    }
}

fn holds(tenant: Option<&Tenant>, key: &KeyDigest) -> bool {
    tenant.is_some_and(|tenant| tenant.keys.contains(key))
}

/// Two tenants of a configuration that hold the same key, if there are any:
/// nobody could say whose callers show it.
pub fn find_shared_key(tenants: &BTreeMap<TenantName, Tenant>) -> Option<(&TenantName, &TenantName)> {
    let mut holders = HashMap::new();
    for (name, tenant) in tenants {
        for key in &tenant.keys {
            if let Some(other) = holders.insert(key, name) {
                return Some((other, name));
            }
        }
    }
    None
}
