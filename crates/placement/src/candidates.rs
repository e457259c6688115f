//! Receivers of a service ordered by load, for choosing the next owner of a
//! slice.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use threadledge_types::{BackEndId, Timestamp};

use crate::planner::PlanContext;
use crate::service::{Receiver, ServiceState};
use crate::weight::{LoadScale, Weight};

/// Sort key for choosing: load with a minimum for cold back ends, then actual
/// load, then number of inbound slices, then the identifier.
type Rank = (u64, u64, usize, Arc<BackEndId>);

/// Sort key for slices of unknown load: share of keys per slot, then number of
/// inbound slices, then the identifier.
type KeyRank = (u64, usize, Arc<BackEndId>);

/// Reachable receivers of one service while slices are assigned.
pub(crate) struct Candidates {
    scale: LoadScale,
    order: BTreeSet<Rank>,
    key_order: BTreeSet<KeyRank>,
    members: BTreeMap<Arc<BackEndId>, Member>,
}

/// One receiver and what it has been assigned.
struct Member {
    weight: Weight,
    slots: f64,
    inbound: usize,
    /// Minimum load per slot that the back end counts as having, because it is
    /// cold.
    floor: f64,
}

impl Candidates {
    /// Reads the load of every reachable receiver.
    pub(crate) fn new(state: &ServiceState, context: &mut PlanContext<'_>) -> Self {
        let scale = state.scale();
        let slots: f64 = state.receivers.values().map(slots_of).sum();
        let mean = scale.load(state.table.total()) / slots.max(1.0);
        let mut candidates = Candidates {
            scale,
            order: BTreeSet::new(),
            key_order: BTreeSet::new(),
            members: BTreeMap::new(),
        };
        for (id, receiver) in &state.receivers {
            context.work.back_ends += 1;
            if !receiver.reachable {
                continue;
            }
            let allocation = state.allocations.get(id);
            let member = Member {
                weight: allocation
                    .map(|allocation| allocation.projected())
                    .unwrap_or_default(),
                slots: slots_of(receiver),
                inbound: allocation.map_or(0, |allocation| allocation.inbound_count),
                floor: mean * cold_fraction(receiver.first_seen, context),
            };
            candidates.order.insert(candidates.rank(id, &member));
            candidates.key_order.insert(key_rank(id, &member));
            candidates.members.insert(Arc::clone(id), member);
        }
        candidates
    }

    /// Returns the best receiver.
    pub(crate) fn best(&self) -> Option<Arc<BackEndId>> {
        self.order.first().map(|(_, _, _, id)| Arc::clone(id))
    }

    /// Returns the best receiver for a slice of this weight.
    ///
    /// Load is reported only once a slice has an owner. If slices without
    /// reports were assigned by load, they would weigh next to nothing beside
    /// those with reports, and one back end would receive very many of them. So
    /// they are assigned by share of keys.
    pub(crate) fn best_for(&self, weight: Weight) -> Option<Arc<BackEndId>> {
        if weight.rate > 0 {
            return self.best();
        }
        self.key_order.first().map(|(_, _, id)| Arc::clone(id))
    }

    /// Adds a slice that was assigned to `id`.
    pub(crate) fn add_slice(&mut self, id: &Arc<BackEndId>, weight: Weight) {
        let Some(mut member) = self.members.remove(id) else {
            return;
        };
        let before = self.rank(id, &member);
        self.order.remove(&before);
        self.key_order.remove(&key_rank(id, &member));
        member.weight += weight;
        member.inbound += 1;
        self.key_order.insert(key_rank(id, &member));
        self.order.insert(self.rank(id, &member));
        self.members.insert(Arc::clone(id), member);
    }

    /// Returns the sort key of a receiver by load.
    fn rank(&self, id: &Arc<BackEndId>, member: &Member) -> Rank {
        let load = self.scale.load(member.weight) / member.slots;
        (
            load.max(member.floor).to_bits(),
            load.to_bits(),
            member.inbound,
            Arc::clone(id),
        )
    }
}

fn key_rank(id: &Arc<BackEndId>, member: &Member) -> KeyRank {
    let keys = member.weight.share() / member.slots;
    (keys.to_bits(), member.inbound, Arc::clone(id))
}

fn slots_of(receiver: &Receiver) -> f64 {
    f64::from(receiver.slots)
}

/// Returns 1 for a session just seen, falling linearly to 0 when it is warm.
fn cold_fraction(first_seen: Timestamp, context: &PlanContext<'_>) -> f64 {
    let warm_up = context.settings.warm_up.as_secs_f64();
    let age = context.now.since(first_seen).as_secs_f64();
    if age >= warm_up {
        0.0
    } else {
        1.0 - age / warm_up
    }
}
