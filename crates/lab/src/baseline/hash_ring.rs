//! Consistent hashing: each back end has several virtual nodes on the ring and
//! owns the points from each of them to the next virtual node.

use std::collections::{BTreeMap, BTreeSet};

use threadledge_types::{BackEndId, Point, Slice};

/// Virtual nodes per back end. More of them distribute the keys of a lost back
/// end over more of the others.
const VIRTUAL_NODES_PER_BACK_END: u32 = 32;

/// Virtual nodes of all back ends of one service.
#[derive(Clone, Debug)]
pub struct HashRing {
    virtual_nodes: BTreeMap<Point, BackEndId>,
}

impl HashRing {
    /// Creates a ring of `members`, independent of their order.
    pub fn new(members: &[BackEndId]) -> Self {
        let mut virtual_nodes = BTreeMap::new();
        for member in members {
            for number in 0..VIRTUAL_NODES_PER_BACK_END {
                virtual_nodes.insert(virtual_node(member, number), member.clone());
            }
        }
        HashRing { virtual_nodes }
    }

    /// Returns the slices with their owners among `alive`. They cover all
    /// points, unless no back end is alive.
    pub fn slices(&self, alive: &BTreeSet<BackEndId>) -> Vec<(Slice, BackEndId)> {
        let virtual_nodes: Vec<(Point, &BackEndId)> = self
            .virtual_nodes
            .iter()
            .filter(|(_, member)| alive.contains(*member))
            .map(|(point, member)| (*point, member))
            .collect();
        let (Some((first, _)), Some((_, last_member))) =
            (virtual_nodes.first(), virtual_nodes.last())
        else {
            return Vec::new();
        };
        let mut slices = Vec::with_capacity(virtual_nodes.len() + 1);
        // The points below the first virtual node belong to the last one, where
        // the ring wraps around.
        if let Some(end) = first.0.checked_sub(1) {
            slices.push((slice(0, end), (*last_member).clone()));
        }
        for (number, (point, member)) in virtual_nodes.iter().enumerate() {
            let next = virtual_nodes.get(number + 1);
            let last = next.map_or(u64::MAX, |(next, _)| next.0 - 1);
            slices.push((slice(point.0, last), (*member).clone()));
        }
        slices
    }
}

/// Returns the point of one virtual node of a back end.
fn virtual_node(member: &BackEndId, number: u32) -> Point {
    let name = format!("{member}#{number}");
    Point(xxhash_rust::xxh3::xxh3_64(name.as_bytes()))
}

fn slice(first: u64, last: u64) -> Slice {
    Slice {
        first: Point(first),
        last: Point(last),
    }
}
