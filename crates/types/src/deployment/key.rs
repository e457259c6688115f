//! Keys of keyed services, in which each key is owned by one back end.

use std::fmt;

use serde::{Deserialize, Serialize};

/// A key, as given in a request. The key space of a service is small and
/// ordered, so that back ends can own ranges of keys.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct ShardKey(pub u16);

/// An inclusive range of keys.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct KeyRange {
    /// First key.
    pub first: ShardKey,
    /// Last key, at least `first`.
    pub last: ShardKey,
}

impl KeyRange {
    /// The range of all keys.
    pub const ALL: KeyRange = KeyRange {
        first: ShardKey(0),
        last: ShardKey(u16::MAX),
    };

    /// Returns the range from `first` to `last`, or `None` if `first` is above
    /// `last`.
    pub fn new(first: u16, last: u16) -> Option<Self> {
        (first <= last).then_some(KeyRange {
            first: ShardKey(first),
            last: ShardKey(last),
        })
    }

    /// Returns the number of keys, at least 1.
    pub fn len(&self) -> u32 {
        u32::from(self.last.0) - u32::from(self.first.0) + 1
    }

    /// Returns false: a range holds at least one key.
    pub const fn is_empty(&self) -> bool {
        false
    }

    /// Returns true if `key` lies in the range.
    pub fn contains(&self, key: ShardKey) -> bool {
        self.first <= key && key <= self.last
    }

    /// Splits the range after its first `keys` keys. Returns `None` if one side
    /// would be empty.
    pub fn split_after(&self, keys: u32) -> Option<(KeyRange, KeyRange)> {
        if keys == 0 || keys >= self.len() {
            return None;
        }
        let cut = u32::from(self.first.0) + keys;
        let last = u16::try_from(cut - 1).ok()?;
        let first = u16::try_from(cut).ok()?;
        let left = KeyRange::new(self.first.0, last)?;
        let right = KeyRange::new(first, self.last.0)?;
        Some((left, right))
    }
}

impl fmt::Display for KeyRange {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}-{}", self.first.0, self.last.0)
    }
}
