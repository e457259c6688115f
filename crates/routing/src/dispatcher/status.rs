//! Builds the load snapshot for status pages.

use std::sync::Arc;

use threadledge_types::Timestamp;

use super::core::Core;
use crate::back_end::BackEnd;
use crate::snapshot::{BackEndLoad, LoadSnapshot, NamespaceLoad};

impl Core {
    pub(super) fn load(&self, now: Timestamp) -> LoadSnapshot {
        let back_ends = self.back_ends.values();
        LoadSnapshot {
            exchanges: self.shares.total(),
            namespaces: self.namespace_loads(),
            back_ends: back_ends
                .map(|back_end| back_end_load(now, back_end))
                .collect(),
        }
    }

    fn namespace_loads(&self) -> Vec<NamespaceLoad> {
        let namespaces = self.shares.namespaces();
        namespaces
            .map(|namespace| {
                let (exchanges, waiting) = self.shares.held(namespace);
                NamespaceLoad {
                    namespace: Arc::clone(namespace),
                    exchanges,
                    waiting,
                }
            })
            .collect()
    }
}

fn back_end_load(now: Timestamp, back_end: &BackEnd) -> BackEndLoad {
    BackEndLoad {
        back_end: Arc::clone(&back_end.id),
        in_flight: back_end.in_flight(),
        allowed: back_end.allowed(now),
        connection_limit: back_end.connection_limit,
        queued: back_end.queue.len(),
        ejected: back_end.ejection.is_ejected(),
        takes_new_work: back_end.takes_new_work(now),
        response_time: back_end.latency.recent(),
    }
}
