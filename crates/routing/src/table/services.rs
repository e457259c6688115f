//! Services, their hosts and routes.

use std::collections::BTreeMap;
use std::sync::Arc;

use threadledge_types::ServiceId;
use threadledge_types::objects::KeyedServiceSpec;

use super::route::Route;
use super::slices::SliceMap;
use crate::host::normalize_host;

/// Index of a service; a table never reuses one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct ServiceIndex(u32);

/// One service. It may have no record yet if slices named it first.
#[derive(Debug)]
pub(crate) struct ServiceEntry {
    pub(crate) id: Arc<ServiceId>,
    pub(crate) namespace: Arc<str>,
    hosts: Vec<String>,
    routes: Vec<Arc<Route>>,
    pub(crate) slices: SliceMap,
}

/// All services of a table.
#[derive(Debug, Default)]
pub(crate) struct Services {
    by_index: BTreeMap<ServiceIndex, ServiceEntry>,
    by_id: BTreeMap<Arc<ServiceId>, ServiceIndex>,
    /// Services of each host, sorted by name.
    by_host: BTreeMap<String, Vec<ServiceIndex>>,
    last_index: u32,
}

impl Services {
    pub(crate) fn get(&self, index: ServiceIndex) -> Option<&ServiceEntry> {
        self.by_index.get(&index)
    }

    pub(crate) fn find(&self, id: &ServiceId) -> Option<ServiceIndex> {
        self.by_id.get(id).copied()
    }

    pub(crate) fn ids(&self) -> Vec<Arc<ServiceId>> {
        self.by_id.keys().cloned().collect()
    }

    pub(crate) fn values(&self) -> impl Iterator<Item = &ServiceEntry> {
        self.by_index.values()
    }

    /// Returns the route for a request. Each service of the host contributes
    /// its first matching route, and the longest prefix among these wins; ties
    /// go to the first service by name.
    pub(crate) fn route(
        &self,
        host: &str,
        method: &str,
        path: &str,
    ) -> Option<(ServiceIndex, &ServiceEntry, &Arc<Route>)> {
        let candidates = self.by_host.get(&*normalize_host(host))?;
        let mut best: Option<(ServiceIndex, &ServiceEntry, &Arc<Route>)> = None;
        for index in candidates {
            let Some(entry) = self.by_index.get(index) else {
                continue;
            };
            let Some(route) = entry
                .routes
                .iter()
                .find(|route| route.matches(method, path))
            else {
                continue;
            };
            let has_longer_prefix =
                |(_, _, other): &(_, _, &Arc<Route>)| route.prefix_length() > other.prefix_length();
            if best.as_ref().is_none_or(has_longer_prefix) {
                best = Some((*index, entry, route));
            }
        }
        best
    }

    pub(crate) fn set(&mut self, id: &ServiceId, spec: &KeyedServiceSpec) -> ServiceIndex {
        let index = self.index_of(id);
        self.remove_hosts(index);
        let entry = self.entry(index);
        entry.hosts = distinct_hosts(&spec.hosts);
        entry.routes = spec
            .routes
            .iter()
            .map(|rule| Arc::new(Route::new(rule)))
            .collect();
        self.add_hosts(index);
        index
    }

    pub(crate) fn remove(&mut self, id: &ServiceId) -> Option<(ServiceIndex, ServiceEntry)> {
        let index = self.by_id.get(id).copied()?;
        self.remove_hosts(index);
        self.by_id.remove(id);
        let entry = self.by_index.remove(&index)?;
        Some((index, entry))
    }

    /// Returns the slices of a service, adding an entry for the service if its
    /// record has not arrived yet.
    pub(crate) fn slices_of(&mut self, id: &ServiceId) -> (ServiceIndex, &mut SliceMap) {
        let index = self.index_of(id);
        (index, &mut self.entry(index).slices)
    }

    /// Removes and returns the slices of all services.
    pub(crate) fn take_slices(&mut self) -> Vec<SliceMap> {
        let entries = self.by_index.values_mut();
        entries
            .map(|entry| std::mem::take(&mut entry.slices))
            .collect()
    }

    fn index_of(&mut self, id: &ServiceId) -> ServiceIndex {
        if let Some(index) = self.by_id.get(id) {
            return *index;
        }
        self.last_index += 1;
        let index = ServiceIndex(self.last_index);
        let id = Arc::new(id.clone());
        let entry = ServiceEntry {
            namespace: id.namespace.as_str().into(),
            id: Arc::clone(&id),
            hosts: Vec::new(),
            routes: Vec::new(),
            slices: SliceMap::default(),
        };
        self.by_index.insert(index, entry);
        self.by_id.insert(id, index);
        index
    }

    fn entry(&mut self, index: ServiceIndex) -> &mut ServiceEntry {
        self.by_index
            .get_mut(&index)
            .expect("every service index has an entry")
    }

    fn add_hosts(&mut self, index: ServiceIndex) {
        let entry = &self.by_index[&index];
        for host in &entry.hosts {
            let services = self.by_host.entry(host.clone()).or_default();
            let by_name = |other: &ServiceIndex| self.by_index[other].id < entry.id;
            let position = services.partition_point(by_name);
            services.insert(position, index);
        }
    }

    fn remove_hosts(&mut self, index: ServiceIndex) {
        for host in std::mem::take(&mut self.entry(index).hosts) {
            let Some(services) = self.by_host.get_mut(&host) else {
                continue;
            };
            services.retain(|other| *other != index);
            if services.is_empty() {
                self.by_host.remove(&host);
            }
        }
    }
}

fn distinct_hosts(hosts: &[String]) -> Vec<String> {
    let mut hosts: Vec<String> = hosts
        .iter()
        .map(|host| normalize_host(host).into_owned())
        .collect();
    hosts.sort();
    hosts.dedup();
    hosts
}
