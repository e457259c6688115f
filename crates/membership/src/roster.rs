//! The routers that may be probed or gossiped with, for random choice.

use std::collections::BTreeMap;

use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use threadledge_types::RouterId;

/// A set that yields its elements in a random order, each once a round, and
/// random samples; every operation costs the same at any size, up to a
/// logarithm.
#[derive(Debug, Default)]
pub(crate) struct Roster {
    order: Vec<RouterId>,
    positions: BTreeMap<RouterId, usize>,
    /// Elements before this place had their turn in this round.
    visited: usize,
}

impl Roster {
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

    /// The next element of this round, in random order.
    pub(crate) fn next(&mut self, random: &mut ChaCha8Rng) -> Option<RouterId> {
        if self.order.is_empty() {
            return None;
        }
        if self.visited >= self.order.len() {
            self.visited = 0;
        }
        let chosen = random.random_range(self.visited..self.order.len());
        self.swap(chosen, self.visited);
        let id = self.order[self.visited];
        self.visited += 1;
        Some(id)
    }

    /// Up to `count` different random elements, none of them `except`.
    pub(crate) fn sample(
        &self,
        random: &mut ChaCha8Rng,
        count: usize,
        except: Option<RouterId>,
    ) -> Vec<RouterId> {
        let wanted = (count + 1).min(self.order.len());
        let mut chosen: Vec<RouterId> = rand::seq::index::sample(random, self.order.len(), wanted)
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
