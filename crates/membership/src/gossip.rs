//! Queue of member updates to be gossiped.

use std::cmp::Reverse;
use std::collections::BTreeMap;

use threadledge_types::RouterId;

use crate::message::MemberUpdate;

/// Weight of an update that carries an identity, relative to one that only
/// names an id.
const IDENTITY_WEIGHT: usize = 4;

/// Sort key of a queued update: those sent least often come first, and the
/// newest first among those.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Rank {
    transmissions: usize,
    order: Reverse<u64>,
}

/// Queue of updates to be gossiped. It holds one update per member, so its size
/// is bounded by the number of members.
#[derive(Debug, Default)]
pub(crate) struct GossipQueue {
    by_rank: BTreeMap<Rank, MemberUpdate>,
    ranks: BTreeMap<RouterId, Rank>,
    next_order: u64,
}

impl GossipQueue {
    pub(crate) fn is_empty(&self) -> bool {
        self.by_rank.is_empty()
    }

    /// Queues an update and replaces any queued update about the same member.
    pub(crate) fn push(&mut self, update: MemberUpdate) {
        let subject = update.subject();
        if let Some(rank) = self.ranks.remove(&subject) {
            self.by_rank.remove(&rank);
        }
        let rank = Rank {
            transmissions: 0,
            order: Reverse(self.next_order),
        };
        self.next_order += 1;
        self.ranks.insert(subject, rank);
        self.by_rank.insert(rank, update);
    }

    /// Returns updates for one message. An update leaves the queue after it was
    /// taken `limit` times.
    pub(crate) fn take(&mut self, max_updates: usize, limit: usize) -> Vec<MemberUpdate> {
        let ranks = self.select(max_updates * IDENTITY_WEIGHT);
        let mut taken = Vec::with_capacity(ranks.len());
        for rank in ranks {
            let Some(update) = self.by_rank.remove(&rank) else {
                continue;
            };
            self.reinsert(rank, &update, limit);
            taken.push(update);
        }
        taken
    }

    /// Returns the first updates in rank order whose weights fit into `budget`.
    fn select(&self, mut budget: usize) -> Vec<Rank> {
        let mut selected = Vec::new();
        for (rank, update) in &self.by_rank {
            let weight = weight(update);
            if weight > budget {
                break;
            }
            budget -= weight;
            selected.push(*rank);
        }
        selected
    }

    /// Returns a sent update to the queue unless it was sent `limit` times.
    fn reinsert(&mut self, mut rank: Rank, update: &MemberUpdate, limit: usize) {
        rank.transmissions += 1;
        if rank.transmissions >= limit {
            self.ranks.remove(&update.subject());
            return;
        }
        self.ranks.insert(update.subject(), rank);
        self.by_rank.insert(rank, update.clone());
    }
}

fn weight(update: &MemberUpdate) -> usize {
    match update {
        MemberUpdate::Alive { .. } | MemberUpdate::Leaving { .. } => IDENTITY_WEIGHT,
        MemberUpdate::Suspect { .. } | MemberUpdate::Dead { .. } => 1,
    }
}
