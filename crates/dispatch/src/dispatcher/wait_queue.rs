//! Exchanges that wait for a slot or an owner.

use std::collections::BTreeMap;

use threadledge_types::Timestamp;
use threadledge_types::deployment::{BackEndName, ServiceName};

use super::Dispatcher;
use crate::choice::{Bound, Choice};
use crate::request::ExchangeId;

impl Dispatcher {
    /// Adds an exchange to the queue of its service.
    pub(super) fn enqueue(&mut self, id: ExchangeId) {
        if let Some(exchange) = self.exchanges.get(&id) {
            let rank = (exchange.rank, id);
            let service = exchange.service.clone();
            self.waiting.entry(service).or_default().insert(rank);
        }
    }

    /// Removes an exchange from the queue of its service.
    pub(super) fn dequeue(&mut self, id: ExchangeId) {
        let Some(exchange) = self.exchanges.get(&id) else {
            return;
        };
        let rank = (exchange.rank, id);
        if let Some(waiting) = self.waiting.get_mut(&exchange.service) {
            waiting.remove(&rank);
        }
    }

    /// Wakes waiting exchanges of all services.
    pub(super) fn wake_all(&mut self, now: Timestamp) {
        let services: Vec<ServiceName> = self.waiting.keys().cloned().collect();
        for service in services {
            self.wake_waiting(now, &service);
        }
    }

    /// Wakes the most urgent exchanges for which a back end is available now.
    /// Each one takes its slot only when it asks for its next step, and until
    /// then the slot looks free. So no more exchanges are woken for a back end
    /// than it has slots and queue places.
    pub(super) fn wake_waiting(&mut self, now: Timestamp, service: &ServiceName) {
        let Some(waiting) = self.waiting.get(service) else {
            return;
        };
        if waiting.is_empty() {
            return;
        }
        let ids: Vec<ExchangeId> = waiting.iter().map(|(_, id)| *id).collect();
        let mut woken_for: BTreeMap<BackEndName, u32> = BTreeMap::new();
        for id in ids {
            let Some(Choice::BackEnd(back_end)) = self.choose(now, id, Bound::Target) else {
                continue;
            };
            let slots = self
                .back_ends
                .get(&back_end)
                .map_or(1, |state| state.back_end.slots);
            let capacity = self.settings.requests_at(slots);
            let woken = woken_for.entry(back_end).or_default();
            if *woken < capacity {
                *woken += 1;
                self.woken.push(id);
            }
        }
    }
}
