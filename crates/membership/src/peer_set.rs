//! Routers that can be probed or gossiped with, for random selection.

use std::collections::BTreeMap;

use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use threadledge_types::RouterId;

/// Set of routers that supports iteration in random order, with each element
/// once per round, and random sampling. The cost of each operation grows at
/// most with the logarithm of the size.
#[derive(Debug, Default)]
pub(crate) struct PeerSet {
    order: Vec<RouterId>,
    positions: BTreeMap<RouterId, usize>,
    /// Number of elements at the start of `order` that were returned in this
    /// round.
    visited: usize,
}

impl PeerSet {
    pub(crate) fn len(&self) -> usize {
        self.order.len()
    }

    pub(crate) fn insert(&mut self, id: RouterId) {
        if self.positions.contains_key(&id) {
            return;
        }
        self.positions.insert(id, self.order.len());
        self.order.push(id);
    }

    pub(crate) fn remove(&mut self, id: RouterId) {
        let Some(&position) = self.positions.get(&id) else {
            return;
        };
        let mut position = position;
        if position < self.visited {
            self.visited -= 1;
            self.swap(position, self.visited);
            position = self.visited;
        }
        self.swap(position, self.order.len() - 1);
        self.order.pop();
        self.positions.remove(&id);
    }

    /// Returns the next element of this round, in random order. Starts a new
    /// round after the last element.
    pub(crate) fn next(&mut self, rng: &mut ChaCha8Rng) -> Option<RouterId> {
        if self.order.is_empty() {
            return None;
        }
        if self.visited >= self.order.len() {
            self.visited = 0;
        }
        let chosen = rng.random_range(self.visited..self.order.len());
        self.swap(chosen, self.visited);
        let id = self.order[self.visited];
        self.visited += 1;
        Some(id)
    }

    /// Returns up to `count` distinct random elements other than `except`.
    pub(crate) fn sample(
        &self,
        rng: &mut ChaCha8Rng,
        count: usize,
        except: Option<RouterId>,
    ) -> Vec<RouterId> {
        let wanted = (count + 1).min(self.order.len());
        let mut chosen: Vec<RouterId> = rand::seq::index::sample(rng, self.order.len(), wanted)
            .iter()
            .map(|index| self.order[index])
            .filter(|id| Some(*id) != except)
            .collect();
        chosen.truncate(count);
        chosen
    }

    fn swap(&mut self, left: usize, right: usize) {
        self.order.swap(left, right);
        self.positions.insert(self.order[left], left);
        self.positions.insert(self.order[right], right);
    }
}
