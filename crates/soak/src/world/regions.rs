//! What faults of two regions do to the store, the link and the back ends.

use std::time::Duration;

use threadledge_platform_stand_in::Fault as StoreFault;

use super::{BackEnd, SERVICES, World};
use crate::proxy::Directions;

/// Kind of the objects that hold the leases of coordinators.
const LEASES: &str = "threadledge-leases";

impl World {
    /// Returns the gateway that holds the lease of the coordinator of the keys;
    /// the first gateway if none holds it.
    pub fn coordinator(&self) -> usize {
        let lease = self.store.get(LEASES, SERVICES[0]).unwrap_or_default();
        let holder = lease["holder"].to_string();
        let mut numbers = 0..self.gateways.len();
        let is_holder = |number: &usize| holder.contains(&format!("\"gateway-{number}\""));
        numbers.find(is_holder).unwrap_or_default()
    }

    /// Sets the fault of the store for every gateway.
    pub fn set_store_fault(&self, fault: StoreFault) {
        self.store.set_fault(fault);
        for endpoint in &self.store_endpoints {
            endpoint.set_fault(fault);
        }
    }

    /// Makes the store turn away `count` gateways from the number `first` on.
    pub fn turn_away(&self, first: usize, count: usize, silently: bool) {
        let fault = match silently {
            true => StoreFault::Silent,
            false => StoreFault::Busy,
        };
        let endpoints = self.store_endpoints.iter().cycle().skip(first);
        for endpoint in endpoints.take(count) {
            endpoint.set_fault(fault);
        }
    }

    /// Sets how long the queue in the link is because of other traffic.
    pub fn crowd_link(&self, ways: Directions, queue: Duration) {
        if let Some(link) = &self.link {
            link.crowd(ways, queue);
        }
    }

    /// Removes the registration of a running back end, which serves on.
    pub fn unregister(&self, index: usize) {
        let id = &self.back_ends[index].inner.id;
        if self.store.get("servers", id).is_some() {
            self.store.remove("servers", id);
        }
    }

    /// Starts another back end in place of this one, which leaves: it registers
    /// as draining, or its registration vanishes. Returns which one left.
    ///
    /// # Errors
    ///
    /// Fails if a port cannot be listened on.
    pub async fn leave(&mut self, index: usize, says_draining: bool) -> eyre::Result<String> {
        if !says_draining {
            self.unregister(index);
        }
        let service = self.back_ends[index].service;
        let next = self.start_back_end_in(service, index).await?;
        let leaving = std::mem::replace(&mut self.back_ends[index], next);
        if says_draining && !leaving.inner.has_crashed() {
            self.register(&leaving, "draining");
        }
        let left = leaving.inner.incarnation();
        self.former_back_ends.push(leaving);
        Ok(left)
    }

    /// Ends the process of a back end that has left.
    pub fn end_left(&self, incarnation: &str) {
        if let Some(left) = self.former(incarnation) {
            left.inner.crash();
            self.expire_registration(incarnation);
        }
    }

    /// Starts a back end of the other service at the address of one that has
    /// ended.
    ///
    /// # Errors
    ///
    /// Fails if a port cannot be listened on.
    pub async fn reuse_address(&mut self, incarnation: &str) -> eyre::Result<()> {
        let Some(ended) = self.former(incarnation) else {
            return Ok(());
        };
        let others = SERVICES.iter().find(|service| **service != ended.service);
        let service = others.copied().unwrap_or(SERVICES[0]);
        let inner = self.start_stand_in(service, None).await?;
        let Some(ended) = self.former(incarnation) else {
            return Ok(());
        };
        let next = ended.next_process(inner, service);
        self.register(&next, "ready");
        self.back_ends.push(next);
        Ok(())
    }

    fn former(&self, incarnation: &str) -> Option<&BackEnd> {
        let mut former = self.former_back_ends.iter();
        former.find(|each| each.inner.incarnation() == incarnation)
    }
}
