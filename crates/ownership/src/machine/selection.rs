//! Which back ends a service selects, and into how many slices that divides
//! it at first.

use std::collections::BTreeMap;

use threadledge_types::records::{RecordChange, SliceKey};
use threadledge_types::{BackEndId, Point, ServiceId, Slice};

use super::entries::SliceEntry;
use super::{Applied, StateMachine, slice_record};

/// Most slices that a new service starts with.
pub const MAXIMUM_INITIAL_SLICES: u32 = 16_384;
/// A service that was never used is divided anew when the number of slices is
/// off by this factor: back ends that arrive one by one then cost little each.
const FAR_OFF_FACTOR: usize = 2;

/// When to divide a service that was never used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Division {
    /// Whenever the number of slices is not the wanted one.
    Exact,
    /// When it is off by [`FAR_OFF_FACTOR`].
    WhenFarOff,
}

impl Division {
    fn is_due(self, present: usize, wanted: usize) -> bool {
        match self {
            Division::Exact => present != wanted,
            Division::WhenFarOff => {
                present >= wanted * FAR_OFF_FACTOR || wanted >= present * FAR_OFF_FACTOR
            }
        }
    }
}

/// The keys of one service among ordered keys.
fn start_of(service: &ServiceId) -> SliceKey {
    SliceKey {
        service: service.clone(),
        first: Point(0),
    }
}

impl StateMachine {
    pub(super) fn services_in(&self, namespace: &str) -> Vec<ServiceId> {
        let start = ServiceId::new(namespace, "");
        let following = self.services.range(start..);
        let same = following.take_while(|(id, _)| id.namespace == namespace);
        same.map(|(id, _)| id.clone()).collect()
    }

    /// Slices of the service that the owner shall give up.
    pub fn misplaced_slices_of<'a>(
        &'a self,
        service: &'a ServiceId,
    ) -> impl Iterator<Item = &'a SliceKey> {
        let following = self.misplaced.range(start_of(service)..);
        following.take_while(move |key| key.service == *service)
    }

    /// Slices of the service that the open session of the back end owns.
    fn owned_of(&self, service: &ServiceId, back_end: &BackEndId) -> Vec<SliceKey> {
        let session = self.sessions.get(back_end);
        let slices = session.map(|session| session.slices.range(start_of(service)..));
        let following = slices.into_iter().flatten();
        let own = following.take_while(|key| key.service == *service);
        own.cloned().collect()
    }

    /// Slices of the service that are being moved to the back end.
    pub(super) fn incoming_of(&self, service: &ServiceId, back_end: &BackEndId) -> Vec<SliceKey> {
        let incoming = self.incoming.get(back_end);
        let following = incoming.map(|keys| keys.range(start_of(service)..));
        let following = following.into_iter().flatten();
        let own = following.take_while(|key| key.service == *service);
        own.cloned().collect()
    }

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
        for key in self.owned_of(service, back_end) {
            self.classify(&key);
        }
    }

    /// Looks again at every back end of the service's namespace.
    pub(super) fn select_again(&mut self, id: &ServiceId, applied: &mut Applied) {
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

    /// Divides a service anew as long as none of its slices was ever owned.
    pub(super) fn divide_unused(
        &mut self,
        id: &ServiceId,
        division: Division,
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
