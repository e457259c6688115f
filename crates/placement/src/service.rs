//! Planning state of one service.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use kube_core::{Selector, SelectorExt};
use threadledge_types::objects::PlacementPolicy;
use threadledge_types::records::ServiceRecord;
use threadledge_types::{BackEndId, Point, ServiceId, SessionId, Slice, Timestamp};

use crate::balance::BalanceState;
use crate::directory::Entry;
use crate::holding::Holding;
use crate::slices::{SliceLoad, SliceTable};
use crate::transfers::{Pending, Transfer};
use crate::weight::{Scale, Weight};

/// A back end that may take slices of the service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Receiver {
    pub session: SessionId,
    /// Requests it carries out at once, at least 1.
    pub slots: u32,
    /// When its session was first seen.
    pub seen: Timestamp,
    /// It answers the leader.
    pub answers: bool,
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
    pub(crate) fn selects(&self, entry: &Entry) -> bool {
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

    pub(crate) fn refresh_leaving(&mut self, id: &BackEndId) {
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

    pub(crate) fn holding(&mut self, id: &Arc<BackEndId>) -> &mut Holding {
        self.holdings.entry(Arc::clone(id)).or_default()
    }

    /// Forgets the holding of a back end that holds nothing any more.
    pub(crate) fn tidy(&mut self, id: &Arc<BackEndId>) {
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
        answers: entry.answers,
    })
}
