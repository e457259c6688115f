//! Selection of back ends by services, and the initial division of a service
//! into slices.

use std::collections::BTreeMap;

use threadledge_types::records::{RecordChange, SliceKey};
use threadledge_types::{BackEndId, Point, ServiceId, Slice};

use super::entries::SliceEntry;
use super::{Applied, StateMachine, slice_record};

/// Maximum number of slices that a new service starts with.
pub const MAXIMUM_INITIAL_SLICES: u32 = 16_384;
/// Factor by which the number of slices must be off before a service that was
/// never used is divided again. It keeps the cost low when back ends arrive one
/// by one.
const REDIVISION_FACTOR: usize = 2;

/// Rule for dividing a service that was never used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Redivision {
    /// Divide whenever the number of slices is not the wanted one.
    Exact,
    /// Divide when it is off by [`REDIVISION_FACTOR`] or more.
    BeyondFactor,
}

impl Redivision {
    fn is_due(self, present: usize, wanted: usize) -> bool {
        match self {
            Redivision::Exact => present != wanted,
            Redivision::BeyondFactor => {
                present >= wanted * REDIVISION_FACTOR || wanted >= present * REDIVISION_FACTOR
            }
        }
    }
}

/// Returns the smallest possible slice key of a service, the start of its
/// range.
fn first_key_of(service: &ServiceId) -> SliceKey {
    SliceKey {
        service: service.clone(),
        first: Point(0),
    }
}

impl StateMachine {
    /// Returns the services of a namespace in order.
    pub(super) fn services_in(&self, namespace: &str) -> Vec<ServiceId> {
        let start = ServiceId::new(namespace, "");
        let following = self.services.range(start..);
        let same = following.take_while(|(id, _)| id.namespace == namespace);
        same.map(|(id, _)| id.clone()).collect()
    }

    /// Returns the slices of the service that their owner must give up.
    pub fn misplaced_slices_of<'a>(
        &'a self,
        service: &'a ServiceId,
    ) -> impl Iterator<Item = &'a SliceKey> {
        let following = self.misplaced.range(first_key_of(service)..);
        following.take_while(move |key| key.service == *service)
    }

    /// Returns the slices of the service that the open session of the back end
    /// owns.
    fn slices_owned_by(&self, service: &ServiceId, back_end: &BackEndId) -> Vec<SliceKey> {
        let session = self.sessions.get(back_end);
        let slices = session.map(|session| session.slices.range(first_key_of(service)..));
        let following = slices.into_iter().flatten();
        let own = following.take_while(|key| key.service == *service);
        own.cloned().collect()
    }

    /// Returns the slices of the service that are being moved to the back end.
    pub(super) fn incoming_moves_of(
        &self,
        service: &ServiceId,
        back_end: &BackEndId,
    ) -> Vec<SliceKey> {
        let incoming = self.incoming.get(back_end);
        let following = incoming.map(|keys| keys.range(first_key_of(service)..));
        let following = following.into_iter().flatten();
        let own = following.take_while(|key| key.service == *service);
        own.cloned().collect()
    }

    /// Sets whether the service selects the back end, and cancels moves and
    /// marks owned slices accordingly.
    pub(super) fn set_eligible(
        &mut self,
        service: &ServiceId,
        back_end: &BackEndId,
        eligible: bool,
        applied: &mut Applied,
    ) {
        let Some(entry) = self.services.get_mut(service) else {
            return;
        };
        let changed = if eligible {
            entry.eligible.insert(back_end.clone())
        } else {
            entry.eligible.remove(back_end)
        };
        if !changed {
            return;
        }
        self.cancel_deselected_moves(service, back_end, applied);
        for key in self.slices_owned_by(service, back_end) {
            self.update_misplaced(&key);
        }
    }

    /// Re-evaluates the service's selector for every back end of its namespace.
    pub(super) fn reevaluate_selector(&mut self, id: &ServiceId, applied: &mut Applied) {
        let start = BackEndId::new(id.namespace.clone(), "");
        let following = self.back_ends.range(start..);
        let same = following.take_while(|(back_end, _)| back_end.namespace == id.namespace);
        let service = &self.services[id];
        let selected: Vec<(BackEndId, bool)> = same
            .map(|(back_end, entry)| (back_end.clone(), service.selects(&entry.record)))
            .collect();
        for (back_end, eligible) in selected {
            self.set_eligible(id, &back_end, eligible, applied);
        }
    }

    /// Divides a service again as long as none of its slices was ever owned.
    pub(super) fn divide_if_unused(
        &mut self,
        id: &ServiceId,
        division: Redivision,
        applied: &mut Applied,
    ) {
        let revision = self.revision;
        let Some(entry) = self.services.get_mut(id) else {
            return;
        };
        if entry.used || entry.deleted {
            return;
        }
        let back_ends = u32::try_from(entry.eligible.len().max(1)).unwrap_or(u32::MAX);
        let wanted = entry
            .record
            .spec
            .placement
            .slices_per_back_end
            .saturating_mul(back_ends)
            .clamp(1, MAXIMUM_INITIAL_SLICES);
        if !division.is_due(entry.slices.len(), wanted as usize) {
            return;
        }
        let divided = Slice::divide(wanted);
        let slices: BTreeMap<_, _> = divided
            .into_iter()
            .map(|slice| (slice.first, SliceEntry::unowned(slice.last, revision)))
            .collect();
        let former = std::mem::replace(&mut entry.slices, slices);
        let gone = former
            .keys()
            .filter(|first| !entry.slices.contains_key(first));
        let removed = gone.map(|first| {
            RecordChange::SliceRemoved(SliceKey {
                service: id.clone(),
                first: *first,
            })
        });
        applied.changes.extend(removed);
        let present = entry.slices.iter();
        let changed = present.map(|(first, slice)| slice_record(id, *first, slice));
        applied.changes.extend(changed.map(RecordChange::Slice));
    }
}
