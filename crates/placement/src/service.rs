//! Planning state of one service.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use kube_core::{Selector, SelectorExt};
use threadledge_types::objects::PlacementPolicy;
use threadledge_types::records::{ServiceRecord, SliceRecord};
use threadledge_types::{BackEndId, Point, ServiceId, SessionId, Slice, Timestamp};

use crate::balance::BalanceState;
use crate::directory::Entry;
use crate::holding::Holding;
use crate::slices::{Owner, SliceLoad, SliceState, SliceTable};
use crate::weight::{Scale, Weight};

/// A back end that may take slices of the service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Receiver {
    pub session: SessionId,
    /// Requests it carries out at once, at least 1.
    pub slots: u32,
    /// When its session was first seen.
    pub seen: Timestamp,
}

/// A slice on its way, counted at its source and its destination.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Transfer {
    pub from: Option<Arc<BackEndId>>,
    pub to: Arc<BackEndId>,
    pub weight: Weight,
}

/// A proposal that has no effect in the records yet.
#[derive(Clone, Debug)]
pub(crate) struct Pending {
    pub until: Timestamp,
    pub transfer: Option<Transfer>,
}

/// Planning state of one service.
#[derive(Clone, Debug)]
pub(crate) struct ServiceState {
    pub id: Arc<ServiceId>,
    pub policy: PlacementPolicy,
    selector: Option<Selector>,
    /// Back ends that may take slices.
    pub receivers: BTreeMap<Arc<BackEndId>, Receiver>,
    /// Back ends that own slices or have some on their way.
    pub holdings: BTreeMap<Arc<BackEndId>, Holding>,
    /// Owners that may not keep their slices.
    pub leaving: BTreeSet<Arc<BackEndId>>,
    pub table: SliceTable,
    /// Slices without owner and without a proposal.
    pub unowned: BTreeSet<Point>,
    /// Proposals without effect yet.
    pub pending: BTreeMap<Point, Pending>,
    /// Handovers that the records show.
    pub moving: BTreeMap<Point, Transfer>,
    /// Handovers to a back end that may no longer take them.
    pub stranded: BTreeSet<Point>,
    pub balance: BalanceState,
}

impl ServiceState {
    pub(crate) fn new(record: &ServiceRecord) -> Self {
        ServiceState {
            id: Arc::new(record.id.clone()),
            policy: record.spec.placement.clone(),
            selector: selector_of(record),
            receivers: BTreeMap::new(),
            holdings: BTreeMap::new(),
            leaving: BTreeSet::new(),
            table: SliceTable::default(),
            unowned: BTreeSet::new(),
            pending: BTreeMap::new(),
            moving: BTreeMap::new(),
            stranded: BTreeSet::new(),
            balance: BalanceState::default(),
        }
    }

    /// Takes over a changed specification; receivers are refreshed after.
    pub(crate) fn change(&mut self, record: &ServiceRecord) {
        self.policy = record.spec.placement.clone();
        self.selector = selector_of(record);
    }

    /// Whether the selector matches the back end. A service selects only
    /// within its own namespace, so that partners never mix.
    fn selects(&self, entry: &Entry) -> bool {
        let Some(record) = &entry.record else {
            return false;
        };
        record.id.namespace == self.id.namespace
            && self
                .selector
                .as_ref()
                .is_some_and(|selector| selector.matches(&record.labels))
    }

    /// Evaluates again whether one back end may take slices. Returns whether
    /// the answer changed.
    pub(crate) fn refresh_receiver(&mut self, id: &BackEndId, entry: Option<&Entry>) -> bool {
        let receiver = entry
            .filter(|entry| self.selects(entry))
            .and_then(receiver_of);
        if receiver.as_ref() == self.receivers.get(id) {
            return false;
        }
        match (receiver, entry) {
            (Some(receiver), Some(entry)) => {
                self.receivers.insert(Arc::clone(&entry.id), receiver);
                self.stranded.retain(|first| {
                    self.moving
                        .get(first)
                        .is_some_and(|transfer| *transfer.to != *id)
                });
            }
            _ => {
                self.receivers.remove(id);
                let stranded = self
                    .moving
                    .iter()
                    .filter(|(_, transfer)| *transfer.to == *id)
                    .map(|(first, _)| *first);
                self.stranded.extend(stranded);
            }
        }
        self.refresh_leaving(id);
        true
    }

    fn refresh_leaving(&mut self, id: &BackEndId) {
        let leaves = !self.receivers.contains_key(id);
        match self.holdings.get_key_value(id) {
            Some((shared, holding)) if leaves && holding.count() > 0 => {
                self.leaving.insert(Arc::clone(shared));
            }
            _ => {
                self.leaving.remove(id);
            }
        }
    }

    /// Takes over a slice record.
    pub(crate) fn put_slice(
        &mut self,
        record: &SliceRecord,
        share: impl Fn(&BackEndId) -> Arc<BackEndId>,
        now: Timestamp,
    ) {
        let slice = record.slice;
        let old = self.detach(slice.first);
        let old_load = old.as_ref().map(|old| (old.last, old.load));
        let owner = record.owner.as_ref().map(|session| Owner {
            back_end: share(&session.back_end),
            incarnation: session.incarnation,
        });
        let changed = old
            .as_ref()
            .is_none_or(|old| old.owner != owner || old.last != slice.last);
        let changed_at = match &old {
            Some(old) if !changed => old.changed_at,
            _ => now,
        };
        let moved_at = match &old {
            // Part of a split, or seen for the first time: nothing moved.
            None => Timestamp::ZERO,
            Some(old) if old.owner == owner => old.moved_at,
            Some(_) => now,
        };
        let previous = match (&owner, old) {
            (None, Some(old)) => old.owner.map(|owner| owner.back_end).or(old.previous),
            _ => None,
        };
        let state = SliceState {
            last: slice.last,
            epoch: record.epoch,
            owner,
            previous,
            next: record.next.as_ref().map(share),
            load: self.table.carry_load(slice, old_load),
            changed_at,
            moved_at,
        };
        self.attach(slice.first, state);
    }

    /// Takes over the removal of a slice that was merged into the one before.
    pub(crate) fn remove_slice(&mut self, first: Point, now: Timestamp) {
        let Some(old) = self.detach(first) else {
            return;
        };
        let grown = self
            .table
            .before(first)
            .filter(|(_, state)| state.last >= first)
            .map(|(point, _)| point);
        match grown {
            None => self.table.loosen(first, old.load),
            Some(point) => {
                if let Some(mut state) = self.detach(point) {
                    state.load = state.load.join(old.load);
                    state.changed_at = now;
                    self.attach(point, state);
                }
            }
        }
    }

    fn attach(&mut self, first: Point, state: SliceState) {
        let weight = state.weight(first);
        match &state.owner {
            Some(owner) => {
                let holding = self.holding(&owner.back_end);
                holding.add(first, weight);
                let back_end = Arc::clone(&owner.back_end);
                self.refresh_leaving(&back_end);
            }
            None => {
                self.unowned.insert(first);
            }
        }
        if let Some(next) = &state.next {
            let transfer = Transfer {
                from: state
                    .owner
                    .as_ref()
                    .map(|owner| Arc::clone(&owner.back_end)),
                to: Arc::clone(next),
                weight,
            };
            self.count_transfer(&transfer);
            if !self.receivers.contains_key(next) {
                self.stranded.insert(first);
            }
            self.moving.insert(first, transfer);
        }
        self.table.insert(first, state);
    }

    /// Takes a slice out of everything that counts it.
    fn detach(&mut self, first: Point) -> Option<SliceState> {
        self.drop_pending(first);
        if let Some(transfer) = self.moving.remove(&first) {
            self.uncount_transfer(&transfer);
        }
        self.stranded.remove(&first);
        self.unowned.remove(&first);
        let state = self.table.remove(first)?;
        if let Some(owner) = &state.owner {
            let weight = state.weight(first);
            self.holding(&owner.back_end).remove(first, weight);
            self.tidy(&owner.back_end);
        }
        Some(state)
    }

    /// Notes a proposal; it counts as done until its record comes or `until`
    /// passes.
    pub(crate) fn propose(&mut self, first: Point, until: Timestamp, transfer: Option<Transfer>) {
        self.drop_pending(first);
        if let Some(transfer) = &transfer {
            self.count_transfer(transfer);
        }
        self.unowned.remove(&first);
        self.pending.insert(first, Pending { until, transfer });
    }

    /// Forgets the proposal for a slice.
    pub(crate) fn drop_pending(&mut self, first: Point) {
        let Some(pending) = self.pending.remove(&first) else {
            return;
        };
        if let Some(transfer) = &pending.transfer {
            self.uncount_transfer(transfer);
        }
        let unowned = self
            .table
            .get(first)
            .is_some_and(|state| state.owner.is_none());
        if unowned {
            self.unowned.insert(first);
        }
    }

    /// Whether the slice has a proposal or a handover.
    pub(crate) fn is_busy(&self, first: Point) -> bool {
        self.pending.contains_key(&first) || self.moving.contains_key(&first)
    }

    /// Whether a split or merge of the slice is proposed.
    pub(crate) fn is_being_divided(&self, first: Point) -> bool {
        self.pending
            .get(&first)
            .is_some_and(|pending| pending.transfer.is_none())
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
        let before = Weight::of(slice, state.load.rate);
        self.table.set_load(first, load);
        if before.rate == load.rate {
            return;
        }
        if let Some(owner) = owner {
            let holding = self.holding(&owner);
            holding.remove(first, before);
            holding.add(first, Weight::of(slice, load.rate));
        }
    }

    pub(crate) fn slice(&self, first: Point) -> Option<Slice> {
        self.table.get(first).map(|state| state.slice(first))
    }

    pub(crate) fn scale(&self) -> Scale {
        Scale::new(self.table.total())
    }

    fn count_transfer(&mut self, transfer: &Transfer) {
        self.holding(&transfer.to).add_inbound(transfer.weight);
        if let Some(from) = &transfer.from {
            self.holding(from).add_outbound(transfer.weight);
        }
    }

    fn uncount_transfer(&mut self, transfer: &Transfer) {
        self.holding(&transfer.to).remove_inbound(transfer.weight);
        self.tidy(&transfer.to);
        if let Some(from) = &transfer.from {
            self.holding(from).remove_outbound(transfer.weight);
            self.tidy(from);
        }
    }

    fn holding(&mut self, id: &Arc<BackEndId>) -> &mut Holding {
        self.holdings.entry(Arc::clone(id)).or_default()
    }

    /// Forgets the holding of a back end that holds nothing any more.
    fn tidy(&mut self, id: &Arc<BackEndId>) {
        if self.holdings.get(id).is_some_and(Holding::is_empty) {
            self.holdings.remove(id);
        }
        self.refresh_leaving(id);
    }
}

fn selector_of(record: &ServiceRecord) -> Option<Selector> {
    // A selector that cannot be read was never accepted; nothing is selected.
    Selector::try_from(record.spec.back_end_selector.clone()).ok()
}

fn receiver_of(entry: &Entry) -> Option<Receiver> {
    let session = entry.open_session()?;
    let record = entry.record.as_ref()?;
    Some(Receiver {
        session: session.id,
        slots: record.spec.slots.max(1),
        seen: session.seen,
    })
}
