//! What changed from one version of a configuration or an ownership record to
//! the next, so that a change costs what it changes and not what there is.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use threadledge_coordination::action::{StoreRevision, Versioned};
use threadledge_coordination::{Fence, OwnershipRecord, Slice, Term};
use threadledge_types::deployment::{
    CallerLimits, Configuration, ConfigurationVersion, KeyRange, Route, RouteName, Service,
    ServiceName, ShardKey, Tenant, TenantName,
};
use threadledge_types::{EntryDiff, diff_maps};

/// Changes of a kind that are remembered.
const MAX_LOGGED_CHANGES: usize = 16;
/// Parts that a chain of changes may have before the whole is fetched instead.
const MAX_PARTS: usize = 200;

/// Keys of one tenant that count as one part: a digest is told in 67 bytes, a
/// route in some 300.
const KEYS_PER_PART: usize = 4;

/// From one version of the configuration to a later one.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct ConfigurationChange {
    /// The version that it changes.
    pub from: ConfigurationVersion,
    /// The version that comes of it.
    pub to: ConfigurationVersion,
    /// Routes that are new or differ.
    pub routes: Vec<Route>,
    /// Routes that are gone.
    pub gone_routes: Vec<RouteName>,
    /// Services that are new or differ.
    pub services: BTreeMap<ServiceName, Service>,
    /// Services that are gone.
    pub gone_services: Vec<ServiceName>,
    /// Bounds on callers.
    pub limits: CallerLimits,
    /// Tenants that are new or differ.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub tenants: BTreeMap<TenantName, Tenant>,
    /// Tenants that are gone.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub gone_tenants: Vec<TenantName>,
}

impl ConfigurationChange {
    /// What leads from `old` to `new`.
    pub fn between(old: &Configuration, new: &Configuration) -> Self {
        let before: BTreeMap<&RouteName, &Arc<Route>> =
            old.routes.iter().map(|each| (&each.name, each)).collect();
        let after: BTreeSet<&RouteName> = new.routes.iter().map(|each| &each.name).collect();
        let routes = new.routes.iter();
        let (services, gone_services) = changed_entries(&old.services, &new.services);
        let (tenants, gone_tenants) = changed_entries(&old.tenants, &new.tenants);
        ConfigurationChange {
            from: old.version,
            to: new.version,
            routes: routes
                .filter(|each| before.get(&each.name) != Some(each))
                .map(|each| each.as_ref().clone())
                .collect(),
            gone_routes: before
                .keys()
                .filter(|name| !after.contains(*name))
                .map(|name| (*name).clone())
                .collect(),
            services,
            gone_services,
            limits: new.limits,
            tenants,
            gone_tenants,
        }
    }

    /// The later version, if this change leads there from `old`.
    pub fn apply(self, old: &Configuration) -> Option<Configuration> {
        if old.version != self.from {
            return None;
        }
        let mut routes: BTreeMap<RouteName, Arc<Route>> = old
            .routes
            .iter()
            .map(|each| (each.name.clone(), each.clone()))
            .collect();
        for name in &self.gone_routes {
            routes.remove(name);
        }
        for route in self.routes {
            routes.insert(route.name.clone(), Arc::new(route));
        }
        Some(Configuration {
            version: self.to,
            routes: routes.into_values().collect(),
            services: merge_entries(&old.services, &self.gone_services, self.services),
            limits: self.limits,
            tenants: merge_entries(&old.tenants, &self.gone_tenants, self.tenants),
        })
    }
}

/// Entries that are new or differ, and names of those that are gone.
fn changed_entries<N: Ord + Clone, V: PartialEq + Clone>(
    old: &BTreeMap<N, V>,
    new: &BTreeMap<N, V>,
) -> (BTreeMap<N, V>, Vec<N>) {
    let mut changed = BTreeMap::new();
    let mut gone = Vec::new();
    for EntryDiff { name, new, .. } in diff_maps(old, new) {
        match new {
            Some(value) => {
                changed.insert(name.clone(), value.clone());
            }
            None => gone.push(name.clone()),
        }
    }
    (changed, gone)
}

/// `old` without what is gone, and with what changed.
fn merge_entries<N: Ord + Clone, V: Clone>(
    old: &BTreeMap<N, V>,
    gone: &[N],
    changed: BTreeMap<N, V>,
) -> BTreeMap<N, V> {
    let mut entries = old.clone();
    for name in gone {
        entries.remove(name);
    }
    entries.extend(changed);
    entries
}

/// From one revision of an ownership record to a later one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct RecordChange {
    /// The revision that it changes.
    pub from: StoreRevision,
    /// The revision that comes of it.
    pub to: StoreRevision,
    /// Term of who wrote it.
    pub term: Term,
    /// Above every fence ever used.
    pub next_fence: Fence,
    /// Slices that differ; they replace whatever stood for their keys.
    pub slices: Vec<Slice>,
}

impl RecordChange {
    /// The later record, if this change leads there from `old`.
    pub fn apply(self, old: &Versioned<OwnershipRecord>) -> Option<Versioned<OwnershipRecord>> {
        if old.revision != self.from {
            return None;
        }
        let mut slices: BTreeMap<ShardKey, Slice> = old
            .value
            .slices
            .iter()
            .map(|slice| (slice.range.first, slice.clone()))
            .collect();
        for slice in self.slices {
            remove_range(&mut slices, slice.range);
            slices.insert(slice.range.first, slice);
        }
        let value = OwnershipRecord {
            term: self.term,
            next_fence: self.next_fence,
            slices: slices.into_values().collect(),
            // Only a coordinator asks them; it reads the record in the store.
            former: Vec::new(),
        };
        Some(Versioned {
            value,
            revision: self.to,
        })
    }
}

/// Takes the keys of `range` out of every slice.
fn remove_range(slices: &mut BTreeMap<ShardKey, Slice>, range: KeyRange) {
    let overlapping: Vec<ShardKey> = slices
        .iter()
        .filter(|(first, slice)| **first <= range.last && slice.range.last >= range.first)
        .map(|(first, _)| *first)
        .collect();
    for first in overlapping {
        let Some(slice) = slices.remove(&first) else {
            continue;
        };
        if slice.range.first < range.first {
            let mut left = slice.clone();
            left.range.last = ShardKey(range.first.0 - 1);
            slices.insert(left.range.first, left);
        }
        if slice.range.last > range.last {
            let mut right = slice;
            right.range.first = ShardKey(range.last.0 + 1);
            slices.insert(right.range.first, right);
        }
    }
}

/// One step of a chain of changes.
pub trait LoggedChange {
    /// What it leads from and to: versions or revisions.
    type Position: Copy + Ord;

    /// Where it begins.
    fn from(&self) -> Self::Position;
    /// Parts of it.
    fn parts(&self) -> usize;
}

impl LoggedChange for ConfigurationChange {
    type Position = ConfigurationVersion;

    fn from(&self) -> ConfigurationVersion {
        self.from
    }

    fn parts(&self) -> usize {
        let routes = self.routes.len() + self.gone_routes.len();
        let tenants = self.tenants.values().map(tenant_parts).sum::<usize>();
        let gone = self.gone_tenants.len();
        routes + tenants + gone + self.services.len()
    }
}

/// Parts of a change that a tenant counts for: as many bytes as a route has.
fn tenant_parts(tenant: &Tenant) -> usize {
    tenant.keys.len().div_ceil(KEYS_PER_PART).max(1)
}

/// The last changes, each beginning where the one before it ends.
#[derive(Clone, Debug)]
pub struct ChangeLog<S> {
    changes: VecDeque<S>,
}

impl<S> Default for ChangeLog<S> {
    fn default() -> Self {
        ChangeLog {
            changes: VecDeque::new(),
        }
    }
}

impl<S: LoggedChange + Clone> ChangeLog<S> {
    /// Adds the latest change.
    pub fn push(&mut self, change: S) {
        self.changes.push_back(change);
        if self.changes.len() > MAX_LOGGED_CHANGES {
            self.changes.pop_front();
        }
    }

    /// The changes that lead on from `position`, unless they are forgotten or too
    /// many.
    pub fn since(&self, position: S::Position) -> Option<Vec<S>> {
        self.since_within(position, MAX_PARTS)
    }

    /// As [`ChangeLog::since`], with up to `max_parts` if that is more than
    /// usual.
    pub fn since_within(&self, position: S::Position, max_parts: usize) -> Option<Vec<S>> {
        let start = self
            .changes
            .iter()
            .position(|change| change.from() == position)?;
        let changes: Vec<S> = self.changes.iter().skip(start).cloned().collect();
        let parts: usize = changes.iter().map(LoggedChange::parts).sum();
        (parts <= max_parts.max(MAX_PARTS)).then_some(changes)
    }
}
