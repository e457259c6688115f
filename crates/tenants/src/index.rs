//! Index from API keys to tenants.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;

use threadledge_types::deployment::{KeyDigest, RateLimit, Tenant, TenantName};
use threadledge_types::{EntryDiff, RegionName, diff_maps};

/// Properties of a tenant that apply to its requests, without its keys.
#[derive(Clone, Debug, PartialEq)]
pub struct TenantPolicy {
    /// Name of the tenant.
    pub name: TenantName,
    /// Priority of its requests, which overrides that of the route; 0 is the
    /// highest.
    pub priority: Option<u32>,
    /// Limit across all gateways, or `None` if the tenant is unlimited.
    pub limit: Option<RateLimit>,
    /// Regions that may serve its requests, or `None` if all may.
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

/// Index of one configuration's tenants by the digests of their keys.
///
/// The duration of a lookup depends on the digest, which callers cannot choose.
/// A key that resembles a known one has an unrelated digest, so that timing
/// reveals nothing about the keys.
#[derive(Clone, Debug, Default)]
pub struct KeyIndex {
    tenants_by_key: HashMap<KeyDigest, Arc<TenantPolicy>>,
}

/// Numbers of keys that a configuration version removed and added. A key that
/// moved between tenants counts as both.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct KeyChanges {
    /// Keys that are no longer valid.
    pub removed: usize,
    /// Keys that are newly valid.
    pub added: usize,
}

impl KeyIndex {
    /// Returns the tenant that holds a key.
    pub fn find(&self, key: &KeyDigest) -> Option<&Arc<TenantPolicy>> {
        self.tenants_by_key.get(key)
    }

    /// Returns the number of keys.
    pub fn len(&self) -> usize {
        self.tenants_by_key.len()
    }

    /// Whether the index is empty.
    pub fn is_empty(&self) -> bool {
        self.tenants_by_key.is_empty()
    }

    /// Updates the index from the tenants `old`, which it holds, to `new`. Only
    /// tenants that differ are touched.
    pub fn update(
        &mut self,
        old: &BTreeMap<TenantName, Tenant>,
        new: &BTreeMap<TenantName, Tenant>,
    ) -> KeyChanges {
        let mut changes = KeyChanges::default();
        let found = diff_maps(old, new);
        // Keys are removed before any are added, because a key may move between
        // tenants.
        for EntryDiff { old, new, .. } in &found {
            for key in old.iter().flat_map(|tenant| &tenant.keys) {
                self.tenants_by_key.remove(key);
                changes.removed += usize::from(!holds(*new, key));
            }
        }
        for EntryDiff { name, old, new } in &found {
            let Some(tenant) = new else {
                continue;
            };
            let policy = Arc::new(TenantPolicy::new(name, tenant));
            for key in &tenant.keys {
                self.tenants_by_key.insert(*key, policy.clone());
                changes.added += usize::from(!holds(*old, key));
            }
        }
        changes
    }
}

fn holds(tenant: Option<&Tenant>, key: &KeyDigest) -> bool {
    tenant.is_some_and(|tenant| tenant.keys.contains(key))
}

/// Returns two tenants that hold the same key, if there are any. Such a key
/// does not identify its callers' tenant.
pub fn find_shared_key(
    tenants: &BTreeMap<TenantName, Tenant>,
) -> Option<(&TenantName, &TenantName)> {
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
