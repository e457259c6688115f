//! Compact table of the slices of a copy.

use std::collections::BTreeMap;
use std::sync::Arc;

use threadledge_types::records::SliceRecord;
use threadledge_types::{BackEndId, Epoch, Point, ServiceId, SessionId, Slice};

use crate::change_log::Position;

/// One slice without the identifiers that adjacent slices repeat.
#[derive(Clone, Debug)]
pub(crate) struct SliceEntry {
    pub(crate) last: Point,
    pub(crate) owner: Option<Arc<SessionId>>,
    pub(crate) epoch: Epoch,
    pub(crate) next: Option<Arc<BackEndId>>,
    pub(crate) position: Position,
}

impl SliceEntry {
    fn to_record(&self, service: &ServiceId, first: Point) -> SliceRecord {
        SliceRecord {
            service: service.clone(),
            slice: Slice {
                first,
                last: self.last,
            },
            owner: self.owner.as_deref().cloned(),
            epoch: self.epoch,
            next: self.next.as_deref().cloned(),
        }
    }
}

/// Slices by service and first point.
#[derive(Clone, Debug, Default)]
pub(crate) struct SliceTable {
    services: BTreeMap<Arc<ServiceId>, BTreeMap<Point, SliceEntry>>,
}

impl SliceTable {
    /// Stores a slice and returns the position of the one it replaces.
    pub(crate) fn insert(
        &mut self,
        service: Arc<ServiceId>,
        first: Point,
        entry: SliceEntry,
    ) -> Option<Position> {
        let slices = self.services.entry(service).or_default();
        slices.insert(first, entry).map(|old| old.position)
    }

    /// Removes one slice and returns its position.
    pub(crate) fn remove(&mut self, service: &ServiceId, first: Point) -> Option<Position> {
        let slices = self.services.get_mut(service)?;
        let removed = slices.remove(&first).map(|old| old.position);
        if slices.is_empty() {
            self.services.remove(service);
        }
        removed
    }

    /// Removes the slices of a service and returns their positions.
    pub(crate) fn remove_service(&mut self, service: &ServiceId) -> Vec<Position> {
        let slices = self.services.remove(service).unwrap_or_default();
        slices.into_values().map(|entry| entry.position).collect()
    }

    /// Rebuilds the table compactly, because ordered insertion leaves its nodes
    /// half empty.
    pub(crate) fn compact(&mut self) {
        for slices in self.services.values_mut() {
            *slices = std::mem::take(slices).into_iter().collect();
        }
    }

    pub(crate) fn get(&self, service: &ServiceId, first: Point) -> Option<SliceRecord> {
        let entry = self.services.get(service)?.get(&first)?;
        Some(entry.to_record(service, first))
    }

    pub(crate) fn of_service(&self, service: &ServiceId) -> impl Iterator<Item = SliceRecord> {
        let found = self.services.get_key_value(service);
        found.into_iter().flat_map(records_of)
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = SliceRecord> {
        self.services.iter().flat_map(records_of)
    }

    pub(crate) fn len(&self) -> usize {
        self.services.values().map(BTreeMap::len).sum()
    }
}

fn records_of<'a>(
    (service, slices): (&'a Arc<ServiceId>, &'a BTreeMap<Point, SliceEntry>),
) -> impl Iterator<Item = SliceRecord> {
    slices
        .iter()
        .map(move |(first, entry)| entry.to_record(service, *first))
}
