//! Consistent hashing: each back end stands at several places of the hash
//! line and owns the points from each place to the next.

use std::collections::{BTreeMap, BTreeSet};

use threadledge_types::{BackEndId, Point, Slice};

/// Places of one back end on the line. More places spread the keys of a lost
/// back end over more of the others.
const PLACES_OF_A_BACK_END: u32 = 32;

/// Places of all back ends of one service.
#[derive(Clone, Debug)]
pub struct HashRing {
    places: BTreeMap<Point, BackEndId>,
}

impl HashRing {
    /// A ring of `members`; their order does not matter.
    pub fn new(members: &[BackEndId]) -> Self {
        let mut places = BTreeMap::new();
        for member in members {
            for number in 0..PLACES_OF_A_BACK_END {
                places.insert(place_of(member, number), member.clone());
            }
        }
        HashRing { places }
    }

    /// Slices with their owners when only `alive` count; together they are
    /// the whole line, unless nobody is alive.
    pub fn slices(&self, alive: &BTreeSet<BackEndId>) -> Vec<(Slice, BackEndId)> {
        let places: Vec<(Point, &BackEndId)> = self
            .places
            .iter()
            .filter(|(_, member)| alive.contains(*member))
            .map(|(point, member)| (*point, member))
            .collect();
        let (Some((first, _)), Some((_, last_member))) = (places.first(), places.last()) else {
            return Vec::new();
        };
        let mut slices = Vec::with_capacity(places.len() + 1);
        // The points below the first place belong to the last one: it is a
        // ring.
        if let Some(end) = first.0.checked_sub(1) {
            slices.push((slice(0, end), (*last_member).clone()));
        }
        for (number, (point, member)) in places.iter().enumerate() {
            let next = places.get(number + 1);
            let last = next.map_or(u64::MAX, |(next, _)| next.0 - 1);
            slices.push((slice(point.0, last), (*member).clone()));
        }
        slices
    }
}

fn place_of(member: &BackEndId, number: u32) -> Point {
    let name = format!("{member}#{number}");
    Point(xxhash_rust::xxh3::xxh3_64(name.as_bytes()))
}

fn slice(first: u64, last: u64) -> Slice {
    Slice {
        first: Point(first),
        last: Point(last),
    }
}
