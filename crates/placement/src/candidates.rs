//! Back ends that may take a slice, the least loaded first.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use threadledge_types::{BackEndId, Timestamp};

use crate::planner::Round;
use crate::service::{Receiver, ServiceState};
use crate::weight::{Scale, Weight};

/// Order of choice: load with a cold back end counted as busier than it is,
/// then load as it is, then slices on their way, then the identifier.
type Rank = (u64, u64, usize, Arc<BackEndId>);

/// Order of choice for slices whose load is not known: share of keys a slot,
/// then slices on their way, then the identifier.
type KeyRank = (u64, usize, Arc<BackEndId>);

/// Receivers of one service while slices are handed out.
pub(crate) struct Candidates {
    scale: Scale,
    order: BTreeSet<Rank>,
    key_order: BTreeSet<KeyRank>,
    members: BTreeMap<Arc<BackEndId>, Member>,
}

struct Member {
    weight: Weight,
    slots: f64,
    inbound: usize,
    /// Load a slot below which it does not count as less loaded.
    floor: f64,
}

impl Candidates {
    /// Reads the load of every receiver.
    pub(crate) fn of(state: &ServiceState, round: &mut Round<'_>) -> Self {
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
            round.work.back_ends += 1;
            if !receiver.answers {
                continue;
            }
            let holding = state.holdings.get(id);
            let member = Member {
                weight: holding
                    .map(|holding| holding.projected())
                    .unwrap_or_default(),
                slots: slots_of(receiver),
                inbound: holding.map_or(0, |holding| holding.inbound_count),
                floor: mean * coldness(receiver.seen, round),
            };
            candidates.order.insert(candidates.rank(id, &member));
            candidates.key_order.insert(key_rank(id, &member));
            candidates.members.insert(Arc::clone(id), member);
        }
        candidates
    }

    /// The best receiver.
    pub(crate) fn best(&self) -> Option<Arc<BackEndId>> {
        self.order.first().map(|(_, _, _, id)| Arc::clone(id))
    }

    /// The best receiver for a slice of this weight.
    ///
    /// Load is reported only once a slice has an owner. By load, a slice
    /// without reports would weigh next to nothing beside those with, and one
    /// back end would be given very many of them; so they go by keys.
    pub(crate) fn best_for(&self, weight: Weight) -> Option<Arc<BackEndId>> {
        if weight.rate > 0 {
            return self.best();
        }
        self.key_order.first().map(|(_, _, id)| Arc::clone(id))
    }

    /// Counts a slice that was given to `id`.
    pub(crate) fn place(&mut self, id: &Arc<BackEndId>, weight: Weight) {
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

/// 1 for a session just seen, falling to 0 when it is warm.
fn coldness(seen: Timestamp, round: &Round<'_>) -> f64 {
    let warm_up = round.settings.warm_up.as_secs_f64();
    let age = round.now.since(seen).as_secs_f64();
    if age >= warm_up {
        0.0
    } else {
        1.0 - age / warm_up
    }
}
