//! Deterministic fan-out tree over the routers that are alive.
//!
//! The roots stand first, then all others in the order of a hash of their id.
//! With `r` roots, the router at place `i` hangs below place
//! `(i - r) / fanout`, so that every root and every router has at most
//! `fanout` children and the depth grows with the logarithm of the number of
//! routers. Each router computes its own place from its own view. Views that
//! differ give some routers more children than others, which the bound on
//! children in the spreading core catches; they never harm consistency.

use std::collections::BTreeSet;

use threadledge_types::RouterId;
use xxhash_rust::xxh3::xxh3_64;

/// Candidates for the parent of `own`, best first: its parent in the tree,
/// its further ancestors, the siblings of its parent, and last the roots.
///
/// `roots` are the voters of the group, the leader first; `alive` are the
/// routers alive, `own` included or not. A root has the other roots as its
/// candidates, in the order given. The last candidates and the siblings come
/// in an order of `own`'s, so that orphans spread over them.
pub fn parent_candidates(
    own: RouterId,
    roots: &[RouterId],
    alive: &[RouterId],
    fanout: usize,
) -> Vec<RouterId> {
    if roots.contains(&own) || roots.is_empty() {
        return roots.iter().copied().filter(|id| *id != own).collect();
    }
    let layout = Layout::new(own, roots, alive, fanout);
    let mut candidates = layout.ancestors();
    candidates.extend(layout.siblings_of_parent());
    candidates.extend(in_order_of(own, roots.to_vec()));
    let mut seen = BTreeSet::from([own]);
    candidates.retain(|id| seen.insert(*id));
    candidates
}

/// The routers in the order of the tree.
struct Layout {
    own: RouterId,
    order: Vec<RouterId>,
    own_place: usize,
    root_count: usize,
    fanout: usize,
}

impl Layout {
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
        let own_place = order.iter().position(|id| *id == own).unwrap_or(0);
        Layout {
            own,
            order,
            own_place,
            root_count,
            fanout: fanout.max(2),
        }
    }

    /// Parent, grandparent and so on up to a root.
    fn ancestors(&self) -> Vec<RouterId> {
        let mut ancestors = Vec::new();
        let mut place = self.own_place;
        while let Some(parent) = self.parent_place(place) {
            ancestors.push(self.order[parent]);
            place = parent;
        }
        ancestors
    }

    /// The other children of the grandparent.
    fn siblings_of_parent(&self) -> Vec<RouterId> {
        let parent = self.parent_place(self.own_place);
        let grandparent = parent.and_then(|parent| self.parent_place(parent));
        let Some(grandparent) = grandparent else {
            return Vec::new();
        };
        let first = self.root_count + grandparent * self.fanout;
        let last = (first + self.fanout).min(self.order.len());
        in_order_of(self.own, self.order[first..last].to_vec())
    }

    fn parent_place(&self, place: usize) -> Option<usize> {
        let beyond_roots = place.checked_sub(self.root_count)?;
        Some(beyond_roots / self.fanout)
    }
}

fn hash(id: RouterId) -> u64 {
    xxh3_64(&id.0.to_be_bytes())
}

/// Sorts by an order that each router has for itself.
fn in_order_of(own: RouterId, mut ids: Vec<RouterId>) -> Vec<RouterId> {
    ids.sort_by_key(|id| (hash(RouterId(id.0 ^ hash(own))), *id));
    ids
}
