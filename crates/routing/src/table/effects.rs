//! Parts of the table touched by a delta, so that only the affected exchanges
//! are woken.

use threadledge_types::Slice;

use super::services::ServiceIndex;
use super::sessions::BackEndIndex;

/// Parts of the table touched by a delta, in the order of its changes.
#[derive(Debug, Default)]
pub(crate) struct Effects {
    /// The whole table was replaced.
    pub(crate) full: bool,
    /// Slices whose owner, epoch or range may have changed.
    pub(crate) slices: Vec<(ServiceIndex, Slice)>,
    /// Services that were removed.
    pub(crate) services: Vec<ServiceIndex>,
    /// Back ends whose record or session may have changed.
    pub(crate) back_ends: Vec<BackEndIndex>,
}

impl Effects {
    pub(crate) fn new(full: bool) -> Self {
        Effects {
            full,
            ..Effects::default()
        }
    }

    pub(crate) fn add_slice(&mut self, service: ServiceIndex, slice: Slice) {
        // After a full replacement every exchange is woken anyway.
        if !self.full {
            self.slices.push((service, slice));
        }
    }

    pub(crate) fn add_service(&mut self, service: ServiceIndex) {
        if !self.full {
            self.services.push(service);
        }
    }

    pub(crate) fn add_back_end(&mut self, back_end: BackEndIndex) {
        self.back_ends.push(back_end);
    }
}
