//! News waiting to be passed on.

use std::cmp::Reverse;
use std::collections::BTreeMap;

use threadledge_types::RouterId;

use crate::message::MemberUpdate;

/// What an update that carries an identity counts, relative to one that names
/// an id only.
const IDENTITY_WEIGHT: usize = 4;

/// Updates that were sent less often come first; of those, the newest.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Rank {
    transmissions: usize,
    number: Reverse<u64>,
}

/// News waiting to be passed on, one update for each member, so that the
/// queue is bounded by the number of members.
#[derive(Debug, Default)]
pub(crate) struct GossipQueue {
    by_rank: BTreeMap<Rank, MemberUpdate>,
    ranks: BTreeMap<RouterId, Rank>,
    next_number: u64,
}

impl GossipQueue {
    pub(crate) fn is_empty(&self) -> bool {
        self.by_rank.is_empty()
    }

    /// Adds news, in place of what was to be told about the same member.
    pub(crate) fn push(&mut self, update: MemberUpdate) {
        let subject = update.subject();
        if let Some(rank) = self.ranks.remove(&subject) {
            self.by_rank.remove(&rank);
        }
        let rank = Rank {
            transmissions: 0,
            number: Reverse(self.next_number),
        };
        self.next_number += 1;
        self.ranks.insert(subject, rank);
        self.by_rank.insert(rank, update);
    }

    /// Takes updates for one message. Each is dropped from the queue once it
    /// was taken `limit` times.
    pub(crate) fn take(&mut self, max_updates: usize, limit: usize) -> Vec<MemberUpdate> {
        let ranks = self.choose(max_updates * IDENTITY_WEIGHT);
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

    fn choose(&self, mut budget: usize) -> Vec<Rank> {
        let mut chosen = Vec::new();
        for (rank, update) in &self.by_rank {
            let weight = weight(update);
            if weight > budget {
                break;
            }
            budget -= weight;
            chosen.push(*rank);
        }
        chosen
    }

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
