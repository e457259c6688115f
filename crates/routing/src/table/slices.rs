//! Slices of one service by their first point.

use std::collections::BTreeMap;

use threadledge_types::{Epoch, Generation, Point, Revision, Slice};

use super::sessions::SessionIndex;

/// What one slice costs in memory besides its key of eight bytes: 24 bytes.
/// The epoch is taken apart so that no padding is left.
#[derive(Clone, Copy, Debug)]
struct Entry {
    last: Point,
    epoch_index: u64,
    epoch_generation: u32,
    owner: Option<SessionIndex>,
}

/// Who owns a slice and under which epoch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct SliceOwner {
    pub(crate) session: SessionIndex,
    pub(crate) epoch: Epoch,
}

/// The slices of one service.
#[derive(Debug, Default)]
pub(crate) struct SliceMap {
    by_first: BTreeMap<Point, Entry>,
}

impl SliceMap {
    /// Owner of the slice that holds `point`; O(log n).
    pub(crate) fn owner(&self, point: Point) -> Option<SliceOwner> {
        let (_, entry) = self.by_first.range(..=point).next_back()?;
        if point > entry.last {
            return None;
        }
        Some(SliceOwner {
            session: entry.owner?,
            epoch: entry.epoch(),
        })
    }

    /// Puts a slice in place of the one with the same first point. Answers
    /// the session that owned it until now.
    pub(crate) fn insert(
        &mut self,
        slice: Slice,
        owner: Option<SessionIndex>,
        epoch: Epoch,
    ) -> Option<SessionIndex> {
        let entry = Entry {
            last: slice.last,
            epoch_index: epoch.0.index,
            epoch_generation: epoch.0.generation.0,
            owner,
        };
        let earlier = self.by_first.insert(slice.first, entry);
        earlier.and_then(|entry| entry.owner)
    }

    /// Takes a slice out. Answers its range and owner, if it was there.
    pub(crate) fn remove(&mut self, first: Point) -> Option<(Slice, Option<SessionIndex>)> {
        let entry = self.by_first.remove(&first)?;
        let slice = Slice {
            first,
            last: entry.last,
        };
        Some((slice, entry.owner))
    }

    /// Owners of all slices, one for each owned slice.
    pub(crate) fn owners(&self) -> impl Iterator<Item = SessionIndex> + '_ {
        self.by_first.values().filter_map(|entry| entry.owner)
    }

    /// Number of slices.
    pub(crate) fn len(&self) -> usize {
        self.by_first.len()
    }
}

impl Entry {
    fn epoch(&self) -> Epoch {
        let generation = Generation(self.epoch_generation);
        Epoch(Revision::new(generation, self.epoch_index))
    }
}
