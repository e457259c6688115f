//! Index of the services that select each back end, so that a change of one
//! back end costs nothing for the other services of its namespace.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use threadledge_types::{BackEndId, ServiceId};

/// Services by the back ends that their selectors match.
#[derive(Clone, Debug, Default)]
pub(crate) struct SelectionIndex {
    by_back_end: BTreeMap<BackEndId, BTreeSet<Arc<ServiceId>>>,
}

impl SelectionIndex {
    /// Returns the services that select the back end, in order.
    pub(crate) fn services_of(&self, back_end: &BackEndId) -> Vec<Arc<ServiceId>> {
        let services = self.by_back_end.get(back_end);
        services.into_iter().flatten().cloned().collect()
    }

    /// Sets whether the service selects the back end.
    pub(crate) fn set(&mut self, back_end: &BackEndId, service: &Arc<ServiceId>, selected: bool) {
        if selected {
            let services = self.by_back_end.entry(back_end.clone()).or_default();
            services.insert(Arc::clone(service));
        } else {
            self.unset(back_end, service);
        }
    }

    /// Removes a service.
    pub(crate) fn remove_service(&mut self, service: &ServiceId) {
        let start = BackEndId::new(&service.namespace, "");
        let selecting: Vec<BackEndId> = self
            .by_back_end
            .range(start..)
            .take_while(|(id, _)| id.namespace == service.namespace)
            .filter(|(_, services)| services.contains(service))
            .map(|(id, _)| id.clone())
            .collect();
        for back_end in selecting {
            self.unset(&back_end, service);
        }
    }

    fn unset(&mut self, back_end: &BackEndId, service: &ServiceId) {
        if let Some(services) = self.by_back_end.get_mut(back_end) {
            services.remove(service);
            if services.is_empty() {
                self.by_back_end.remove(back_end);
            }
        }
    }
}
