//! Differences between versions of a configuration or an ownership record, so
//! that an update costs as much as it changes and not as much as there is.

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

/// Most changes of one kind that are kept.
const MAX_LOGGED_CHANGES: usize = 16;
/// Most parts in a sequence of changes; above that the full data is fetched
/// instead.
const MAX_PARTS: usize = 200;

/// Keys of a tenant that count as one part: a digest takes 67 bytes, a route
/// about 300.
const KEYS_PER_PART: usize = 4;

/// The change from one version of the configuration to a later one.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct ConfigurationChange {
    /// The version before the change.
    pub from: ConfigurationVersion,
    /// The version after the change.
    pub to: ConfigurationVersion,
    /// New or changed routes.
    pub routes: Vec<Route>,
    /// Names of removed routes.
    pub gone_routes: Vec<RouteName>,
    /// New or changed services.
    pub services: BTreeMap<ServiceName, Service>,
    /// Names of removed services.
    pub gone_services: Vec<ServiceName>,
    /// The limits for callers after the change.
    pub limits: CallerLimits,
    /// New or changed tenants.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub tenants: BTreeMap<TenantName, Tenant>,
    /// Names of removed tenants.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub gone_tenants: Vec<TenantName>,
}

impl ConfigurationChange {
    /// Computes the change from `old` to `new`.
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

    /// Applies the change to `old`; `None` if it starts from another version.
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

/// New or changed entries, and the names of removed ones.
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

/// `old` without the entries in `gone`, and with those in `changed`.
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

/// The change from one revision of an ownership record to a later one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct RecordChange {
    /// The revision before the change.
    pub from: StoreRevision,
    /// The revision after the change.
    pub to: StoreRevision,
    /// Term of the coordinator that wrote the later revision.
    pub term: Term,
    /// A fence above every fence ever used.
    pub next_fence: Fence,
    /// Changed slices; they replace the former slices of their keys.
    pub slices: Vec<Slice>,
}

impl RecordChange {
    /// Applies the change to `old`; `None` if it starts from another revision.
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
            // Only a coordinator needs the former owners, and it reads the
            // record from the store.
            former: Vec::new(),
        };
        Some(Versioned {
            value,
            revision: self.to,
        })
    }
}

/// Removes the keys of `range` from every slice.
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

/// A change that a [`ChangeLog`] keeps.
pub trait LoggedChange {
    /// A version or revision.
    type Position: Copy + Ord;

    /// The version or revision before the change.
    fn from(&self) -> Self::Position;
    /// The number of parts in the change, as a measure of its size.
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

/// The number of parts that a tenant counts for; a part is about the size of a
/// route.
fn tenant_parts(tenant: &Tenant) -> usize {
    tenant.keys.len().div_ceil(KEYS_PER_PART).max(1)
}

/// The latest changes; each starts at the version or revision where the
/// previous one ends.
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
    /// Appends the latest change.
    pub fn push(&mut self, change: S) {
        self.changes.push_back(change);
        if self.changes.len() > MAX_LOGGED_CHANGES {
            self.changes.pop_front();
        }
    }

    /// The changes after `position`; `None` if they are no longer kept or have
    /// too many parts.
    pub fn since(&self, position: S::Position) -> Option<Vec<S>> {
        self.since_within(position, MAX_PARTS)
    }

    /// Like [`ChangeLog::since`], with a limit of `max_parts` if that is
    /// higher.
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
