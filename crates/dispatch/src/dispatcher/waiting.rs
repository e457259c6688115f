//! Exchanges that wait for a slot or an owner.

use std::collections::BTreeMap;

use threadledge_types::Timestamp;
use threadledge_types::deployment::{BackEndName, ServiceName};

use super::Dispatcher;
use crate::choice::{Bound, Choice};
use crate::request::ExchangeId;

impl Dispatcher {
    pub(super) fn wait(&mut self, id: ExchangeId) {
        if let Some(exchange) = self.exchanges.get(&id) {
            let rank = (exchange.rank, id);
            let service = exchange.service.clone();
            self.waiting.entry(service).or_default().insert(rank);
        }
    }

    pub(super) fn stop_waiting(&mut self, id: ExchangeId) {
        let Some(exchange) = self.exchanges.get(&id) else {
            return;
        };
        let rank = (exchange.rank, id);
        if let Some(waiting) = self.waiting.get_mut(&exchange.service) {
            waiting.remove(&rank);
        }
    }

    pub(super) fn serve_all(&mut self, now: Timestamp) {
        let services: Vec<ServiceName> = self.waiting.keys().cloned().collect();
        for service in services {
            self.serve_waiting(now, &service);
        }
    }

    /// Wakes the most urgent exchanges for which there is a back end now.
    /// Each takes its place when it asks; until then the place may look free,
    /// so that no more are woken for a back end than it has places.
    pub(super) fn serve_waiting(&mut self, now: Timestamp, service: &ServiceName) {
        let Some(waiting) = self.waiting.get(service) else {
            return;
        };
        if waiting.is_empty() {
            return;
        }
        let ids: Vec<ExchangeId> = waiting.iter().map(|(_, id)| *id).collect();
        let mut woken_for: BTreeMap<BackEndName, u32> = BTreeMap::new();
        for id in ids {
            let Some(Choice::Take(back_end)) = self.choose(now, id, Bound::Target) else {
                continue;
            };
            let slots = self
                .back_ends
                .get(&back_end)
                .map_or(1, |known| known.back_end.slots);
            let places = slots + self.settings.queue_per_back_end;
            let woken = woken_for.entry(back_end).or_default();
            if *woken < places {
                *woken += 1;
                self.woken.push(id);
            }
        }
    }
}
