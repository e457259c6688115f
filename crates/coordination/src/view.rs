//! Who owns a key, as the request path asks.

use threadledge_types::deployment::{BackEndName, KeyRange, ShardKey};

use crate::record::{Fence, OwnershipRecord, SliceState, Term};

/// The ownership record in the form in which keys are looked up.
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

/// What is known of a key's owner.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum KeyOwner {
    /// This back end owns it.
    Owned(BackEndName),
    /// Nobody owns it.
    Unowned,
}

impl OwnershipView {
    /// The view of one record.
    pub fn of(record: &OwnershipRecord) -> Self {
        let slices = record.slices.iter().map(|slice| ViewSlice {
            range: slice.range,
            fence: slice.fence,
            owner: match &slice.state {
                SliceState::Unowned => KeyOwner::Unowned,
                SliceState::Owned { owner, .. } => KeyOwner::Owned(owner.name.clone()),
            },
        });
        OwnershipView {
            term: record.term,
            slices: slices.collect(),
        }
    }

    /// Term of the record.
    pub fn term(&self) -> Term {
        self.term
    }

    /// Number of slices.
    pub fn slices(&self) -> usize {
        self.slices.len()
    }

    /// The owner of `key` and the fence under which it owns it.
    pub fn owner(&self, key: ShardKey) -> (&KeyOwner, Fence) {
        let index = self.slices.partition_point(|slice| slice.range.last < key);
        match self.slices.get(index) {
            Some(slice) => (&slice.owner, slice.fence),
            None => (&KeyOwner::Unowned, Fence::default()),
        }
    }

    /// Keys owned by each back end, in the order of the slices.
    pub fn owned(&self) -> impl Iterator<Item = (KeyRange, &BackEndName)> {
        self.slices.iter().filter_map(|slice| match &slice.owner {
            KeyOwner::Owned(name) => Some((slice.range, name)),
            KeyOwner::Unowned => None,
        })
    }
}
