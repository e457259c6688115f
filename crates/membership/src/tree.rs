//! Deterministic fan-out tree over the routers that are alive.
//!
//! The roots come first, followed by all other routers in the order of a hash
//! of their id. With `r` roots, the parent of the router at position `i` is at
//! position `(i - r) / fanout`. Every router therefore has at most `fanout`
//! children, and the depth grows with the logarithm of the number of routers.
//! Each router computes its own position from its own view. If views differ,
//! some routers get more children than others. The limit on children in the
//! record distribution code bounds this, and it never affects consistency.

use std::collections::BTreeSet;

use threadledge_types::RouterId;
use xxhash_rust::xxh3::xxh3_64;

/// Returns the candidates for the parent of `own`, best first: its parent in
/// the tree, its other ancestors, the siblings of its parent, and finally the
/// roots.
///
/// `roots` are the voters of the group, with the leader first. `alive` are the
/// routers that are alive, with or without `own`. The candidates of a root are
/// the other roots in the given order. Siblings and final roots are in an order
/// specific to `own`, so that routers that lose their parent spread over them.
pub fn parent_candidates(
    own: RouterId,
    roots: &[RouterId],
    alive: &[RouterId],
    fanout: usize,
) -> Vec<RouterId> {
    if roots.contains(&own) || roots.is_empty() {
        return roots.iter().copied().filter(|id| *id != own).collect();
    }
    let layout = TreeLayout::new(own, roots, alive, fanout);
    let mut candidates = layout.ancestors();
    candidates.extend(layout.siblings_of_parent());
    candidates.extend(shuffled_for(own, roots.to_vec()));
    let mut seen = BTreeSet::from([own]);
    candidates.retain(|id| seen.insert(*id));
    candidates
}

/// Routers in the order of the tree.
struct TreeLayout {
    own: RouterId,
    order: Vec<RouterId>,
    own_position: usize,
    root_count: usize,
    fanout: usize,
}

impl TreeLayout {
    fn new(own: RouterId, roots: &[RouterId], alive: &[RouterId], fanout: usize) -> Self {
        let unique_roots: BTreeSet<RouterId> = roots.iter().copied().collect();
        let mut others: Vec<(u64, RouterId)> = alive
            .iter()
            .filter(|id| !unique_roots.contains(id) && **id != own)
            .map(|id| (hash(*id), *id))
            .collect();
        others.push((hash(own), own));
        others.sort_unstable();
        let root_count = unique_roots.len();
        let mut order: Vec<RouterId> = unique_roots.into_iter().collect();
        order.sort_unstable_by_key(|id| (hash(*id), *id));
        order.extend(others.into_iter().map(|(_, id)| id));
        let own_position = order.iter().position(|id| *id == own).unwrap_or(0);
        TreeLayout {
            own,
            order,
            own_position,
            root_count,
            fanout: fanout.max(2),
        }
    }

    /// Returns the parent, the grandparent and so on, up to a root.
    fn ancestors(&self) -> Vec<RouterId> {
        let mut ancestors = Vec::new();
        let mut position = self.own_position;
        while let Some(parent) = self.parent_position(position) {
            ancestors.push(self.order[parent]);
            position = parent;
        }
        ancestors
    }

    /// Returns all children of the grandparent, including the parent.
    fn siblings_of_parent(&self) -> Vec<RouterId> {
        let parent = self.parent_position(self.own_position);
        let grandparent = parent.and_then(|parent| self.parent_position(parent));
        let Some(grandparent) = grandparent else {
            return Vec::new();
        };
        let first = self.root_count + grandparent * self.fanout;
        let last = (first + self.fanout).min(self.order.len());
        shuffled_for(self.own, self.order[first..last].to_vec())
    }

    /// Returns the position of the parent, or `None` for a root.
    fn parent_position(&self, position: usize) -> Option<usize> {
        let beyond_roots = position.checked_sub(self.root_count)?;
        Some(beyond_roots / self.fanout)
    }
}

fn hash(id: RouterId) -> u64 {
    xxh3_64(&id.0.to_be_bytes())
}

/// Sorts `ids` in a pseudorandom order specific to `own`.
fn shuffled_for(own: RouterId, mut ids: Vec<RouterId>) -> Vec<RouterId> {
    ids.sort_by_key(|id| (hash(RouterId(id.0 ^ hash(own))), *id));
    ids
}
