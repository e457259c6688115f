//! Planning state of one service.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use kube_core::{Selector, SelectorExt};
use threadledge_types::objects::PlacementPolicy;
use threadledge_types::records::ServiceRecord;
use threadledge_types::{BackEndId, Point, ServiceId, SessionId, Slice, Timestamp};

use crate::allocation::Allocation;
use crate::balance::BalanceState;
use crate::directory::BackEndEntry;
use crate::slices::{SliceLoad, SliceTable};
use crate::transfers::{PendingProposal, Transfer};
use crate::weight::{LoadScale, Weight};

/// A back end that may receive slices of the service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Receiver {
    pub session: SessionId,
    /// Number of requests that it processes concurrently, at least 1.
    pub slots: u32,
    /// Time at which its session was first seen.
    pub first_seen: Timestamp,
    /// True if it responds to the leader.
    pub reachable: bool,
}

/// Planning state of one service.
#[derive(Clone, Debug)]
pub(crate) struct ServiceState {
    pub id: Arc<ServiceId>,
    pub policy: PlacementPolicy,
    selector: Option<Selector>,
    /// Back ends that may receive slices.
    pub receivers: BTreeMap<Arc<BackEndId>, Receiver>,
    /// Allocations of the back ends that own slices or take part in transfers.
    pub allocations: BTreeMap<Arc<BackEndId>, Allocation>,
    /// Owners that may not keep their slices.
    pub ineligible_owners: BTreeSet<Arc<BackEndId>>,
    pub table: SliceTable,
    /// Slices without an owner and without a proposal.
    pub unowned: BTreeSet<Point>,
    /// Proposals that have no effect in the records yet.
    pub pending: BTreeMap<Point, PendingProposal>,
    /// Handovers that the records show.
    pub moving: BTreeMap<Point, Transfer>,
    /// Handovers to a back end that may no longer receive slices.
    pub invalid_moves: BTreeSet<Point>,
    pub balance: BalanceState,
}

impl ServiceState {
    pub(crate) fn new(record: &ServiceRecord) -> Self {
        ServiceState {
            id: Arc::new(record.id.clone()),
            policy: record.spec.placement.clone(),
            selector: parse_selector(record),
            receivers: BTreeMap::new(),
            allocations: BTreeMap::new(),
            ineligible_owners: BTreeSet::new(),
            table: SliceTable::default(),
            unowned: BTreeSet::new(),
            pending: BTreeMap::new(),
            moving: BTreeMap::new(),
            invalid_moves: BTreeSet::new(),
            balance: BalanceState::default(),
        }
    }

    /// Applies a changed specification. The caller refreshes the receivers
    /// afterwards.
    pub(crate) fn update(&mut self, record: &ServiceRecord) {
        self.policy = record.spec.placement.clone();
        self.selector = parse_selector(record);
    }

    /// Returns whether the selector matches the back end. A service selects
    /// only within its own namespace, so that partners are isolated.
    pub(crate) fn selects(&self, entry: &BackEndEntry) -> bool {
        let Some(record) = &entry.record else {
            return false;
        };
        record.id.namespace == self.id.namespace
            && self
                .selector
                .as_ref()
                .is_some_and(|selector| selector.matches(&record.labels))
    }

    /// Re-evaluates whether one back end may receive slices. Returns whether
    /// the result changed.
    pub(crate) fn refresh_receiver(
        &mut self,
        id: &BackEndId,
        entry: Option<&BackEndEntry>,
    ) -> bool {
        let receiver = entry
            .filter(|entry| self.selects(entry))
            .and_then(build_receiver);
        if receiver.as_ref() == self.receivers.get(id) {
            return false;
        }
        match (receiver, entry) {
            (Some(receiver), Some(entry)) => {
                self.receivers.insert(Arc::clone(&entry.id), receiver);
                self.invalid_moves.retain(|first| {
                    self.moving
                        .get(first)
                        .is_some_and(|transfer| *transfer.to != *id)
                });
            }
            _ => {
                self.receivers.remove(id);
                let invalid_moves = self
                    .moving
                    .iter()
                    .filter(|(_, transfer)| *transfer.to == *id)
                    .map(|(first, _)| *first);
                self.invalid_moves.extend(invalid_moves);
            }
        }
        self.refresh_ineligible_owner(id);
        true
    }

    /// Updates whether the back end is an owner that may not keep its slices.
    pub(crate) fn refresh_ineligible_owner(&mut self, id: &BackEndId) {
        let ineligible = !self.receivers.contains_key(id);
        match self.allocations.get_key_value(id) {
            Some((shared, allocation)) if ineligible && allocation.count() > 0 => {
                self.ineligible_owners.insert(Arc::clone(shared));
            }
            _ => {
                self.ineligible_owners.remove(id);
            }
        }
    }

    /// Replaces the smoothed load of a slice.
    pub(crate) fn set_load(&mut self, first: Point, load: SliceLoad) {
        let Some(state) = self.table.get(first) else {
            return;
        };
        let slice = state.slice(first);
        let owner = state
            .owner
            .as_ref()
            .map(|owner| Arc::clone(&owner.back_end));
        let before = Weight::new(slice, state.load.rate);
        self.table.set_load(first, load);
        if before.rate == load.rate {
            return;
        }
        if let Some(owner) = owner {
            let allocation = self.allocation(&owner);
            allocation.remove(first, before);
            allocation.add(first, Weight::new(slice, load.rate));
        }
    }

    pub(crate) fn slice(&self, first: Point) -> Option<Slice> {
        self.table.get(first).map(|state| state.slice(first))
    }

    pub(crate) fn scale(&self) -> LoadScale {
        LoadScale::new(self.table.total())
    }

    /// Returns the allocation of a back end, creating an empty one if needed.
    pub(crate) fn allocation(&mut self, id: &Arc<BackEndId>) -> &mut Allocation {
        self.allocations.entry(Arc::clone(id)).or_default()
    }

    /// Removes the allocation of a back end that no longer has anything.
    pub(crate) fn remove_allocation_if_empty(&mut self, id: &Arc<BackEndId>) {
        if self.allocations.get(id).is_some_and(Allocation::is_empty) {
            self.allocations.remove(id);
        }
        self.refresh_ineligible_owner(id);
    }
}

fn parse_selector(record: &ServiceRecord) -> Option<Selector> {
    // An invalid selector was never accepted, so nothing is selected.
    Selector::try_from(record.spec.back_end_selector.clone()).ok()
}

fn build_receiver(entry: &BackEndEntry) -> Option<Receiver> {
    let session = entry.open_session()?;
    let record = entry.record.as_ref()?;
    Some(Receiver {
        session: session.id,
        slots: record.spec.slots.max(1),
        first_seen: session.first_seen,
        reachable: entry.reachable,
    })
}
