//! Lookup of key owners for the request path.

use threadledge_types::deployment::{BackEndName, KeyRange, ShardKey};

use crate::record::{Fence, OwnershipRecord, SliceState, Term};

/// The ownership record in a form for looking up keys.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct OwnershipView {
    term: Term,
    slices: Vec<ViewSlice>,
}

#[derive(Clone, Debug, PartialEq, Eq)]
struct ViewSlice {
    range: KeyRange,
    fence: Fence,
    owner: KeyOwner,
}

/// The owner of a key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum KeyOwner {
    /// This back end owns the key.
    Owned(BackEndName),
    /// No back end takes requests for the key.
    Unowned,
}

impl OwnershipView {
    /// Creates the view of a record.
    pub fn of(record: &OwnershipRecord) -> Self {
        let slices = record.slices.iter().map(|slice| ViewSlice {
            range: slice.range,
            fence: slice.fence,
            owner: match &slice.state {
                SliceState::Unowned | SliceState::Returning { .. } => KeyOwner::Unowned,
                SliceState::Owned { owner, .. } => KeyOwner::Owned(owner.name.clone()),
            },
        });
        OwnershipView {
            term: record.term,
            slices: slices.collect(),
        }
    }

    /// Returns the term of the record.
    pub fn term(&self) -> Term {
        self.term
    }

    /// Returns the number of slices.
    pub fn slices(&self) -> usize {
        self.slices.len()
    }

    /// Returns the owner of `key` and the fencing token of its grant.
    pub fn owner(&self, key: ShardKey) -> (&KeyOwner, Fence) {
        let index = self.slices.partition_point(|slice| slice.range.last < key);
        match self.slices.get(index) {
            Some(slice) => (&slice.owner, slice.fence),
            None => (&KeyOwner::Unowned, Fence::default()),
        }
    }

    /// Returns every owned range with its owner, in key order.
    pub fn owned(&self) -> impl Iterator<Item = (KeyRange, &BackEndName)> {
        self.slices.iter().filter_map(|slice| match &slice.owner {
            KeyOwner::Owned(name) => Some((slice.range, name)),
            KeyOwner::Unowned => None,
        })
    }
}
