//! Ordered map of the slices of one service, by their first point.
//!
//! The slices are stored in sorted chunks, which are indexed by a tree. A tree
//! of single slices costs more memory, because its nodes are half empty after
//! an ordered load, and more cache misses per lookup.

use std::collections::BTreeMap;

use threadledge_types::{Epoch, Generation, Point, Revision, Slice};

use super::sessions::SessionIndex;

/// Maximum number of slices in a chunk. An insertion moves a few kilobytes.
const CHUNK_CAPACITY: usize = 256;
/// Lower bound of the first chunk.
const LOWEST: Point = Point(0);

/// Data of one slice besides its first point of eight bytes. It takes 24 bytes;
/// the epoch is split into its parts so that there is no padding.
#[derive(Clone, Copy, Debug)]
struct Entry {
    last: Point,
    epoch_index: u64,
    epoch_generation: u32,
    owner: Option<SessionIndex>,
}

/// The owner of a slice and the epoch of its assignment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct SliceOwner {
    pub(crate) session: SessionIndex,
    pub(crate) epoch: Epoch,
}

/// Adjacent slices. The first points are stored separately, so that a search
/// reads few cache lines.
#[derive(Debug, Default)]
struct Chunk {
    firsts: Vec<Point>,
    entries: Vec<Entry>,
}

/// The slices of one service.
#[derive(Debug, Default)]
pub(crate) struct SliceMap {
    /// Chunks by a lower bound of their first points; the bound of the first
    /// chunk is [`LOWEST`]. No other chunk is empty.
    chunks: BTreeMap<Point, Chunk>,
    length: usize,
}

impl SliceMap {
    /// Returns the owner of the slice that contains `point`; O(log n).
    pub(crate) fn owner(&self, point: Point) -> Option<SliceOwner> {
        let chunks = self.chunks.range(..=point).rev();
        // The slice that contains the point may be the last one of the previous
        // chunk.
        let mut found = chunks.filter_map(|(_, chunk)| chunk.last_up_to(point));
        let entry = found.next()?;
        if point > entry.last {
            return None;
        }
        Some(SliceOwner {
            session: entry.owner?,
            epoch: entry.epoch(),
        })
    }

    /// Inserts a slice, replacing one with the same first point. Returns the
    /// session that owned the replaced slice.
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
        if self.chunks.is_empty() {
            self.chunks.insert(LOWEST, Chunk::default());
        }
        let mut upwards = self.chunks.range_mut(..=slice.first);
        let (_, chunk) = upwards.next_back()?;
        if let Some(previous) = chunk.insert(slice.first, entry) {
            return previous.owner;
        }
        self.length += 1;
        if let Some(upper) = chunk.split_if_full(slice.first) {
            self.chunks.insert(upper.firsts[0], upper);
        }
        None
    }

    /// Removes a slice. Returns its range and owner, if it was present.
    pub(crate) fn remove(&mut self, first: Point) -> Option<(Slice, Option<SessionIndex>)> {
        let (bound, chunk) = self.chunks.range_mut(..=first).next_back()?;
        let bound = *bound;
        let entry = chunk.remove(first)?;
        self.length -= 1;
        if chunk.firsts.is_empty() && bound != LOWEST {
            self.chunks.remove(&bound);
        }
        let slice = Slice {
            first,
            last: entry.last,
        };
        Some((slice, entry.owner))
    }

    /// Returns the owners of all slices, one item per owned slice.
    pub(crate) fn owners(&self) -> impl Iterator<Item = SessionIndex> + '_ {
        let entries = self.chunks.values().flat_map(|chunk| &chunk.entries);
        entries.filter_map(|entry| entry.owner)
    }

    /// Number of slices.
    pub(crate) fn len(&self) -> usize {
        self.length
    }
}

impl Chunk {
    /// Returns the last slice that begins at or before `point`.
    fn last_up_to(&self, point: Point) -> Option<Entry> {
        let after = self.firsts.partition_point(|first| *first <= point);
        self.entries.get(after.checked_sub(1)?).copied()
    }

    /// Inserts an entry and returns the one it replaces.
    fn insert(&mut self, first: Point, entry: Entry) -> Option<Entry> {
        match self.firsts.binary_search(&first) {
            Ok(position) => Some(std::mem::replace(&mut self.entries[position], entry)),
            Err(position) => {
                self.firsts.insert(position, first);
                self.entries.insert(position, entry);
                None
            }
        }
    }

    fn remove(&mut self, first: Point) -> Option<Entry> {
        let position = self.firsts.binary_search(&first).ok()?;
        self.firsts.remove(position);
        Some(self.entries.remove(position))
    }

    /// Splits off and returns the upper part when the chunk is over its
    /// capacity: half of it, or only the slice just added if that is the last
    /// one, so that ordered loads fill the chunks.
    fn split_if_full(&mut self, added: Point) -> Option<Chunk> {
        if self.firsts.len() <= CHUNK_CAPACITY {
            return None;
        }
        let at_end = self.firsts.last() == Some(&added);
        let position = if at_end {
            CHUNK_CAPACITY
        } else {
            CHUNK_CAPACITY / 2
        };
        let upper = Chunk {
            firsts: self.firsts.split_off(position),
            entries: self.entries.split_off(position),
        };
        self.firsts.shrink_to_fit();
        self.entries.shrink_to_fit();
        Some(upper)
    }
}

impl Entry {
    fn epoch(&self) -> Epoch {
        let generation = Generation(self.epoch_generation);
        Epoch(Revision::new(generation, self.epoch_index))
    }
}
