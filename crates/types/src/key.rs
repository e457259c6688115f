//! Key hashing and ranges of the hash space.
//!
//! A key hashes to a [`Point`] with XXH3-64, seed 0, over the key's bytes. Back
//! ends compute the same hash, so the function must never change. A [`Slice`]
//! is an inclusive range of points and the unit of ownership.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Hash of a key: its position in the 64-bit hash space.
///
/// On the wire a point is a string of 16 hexadecimal digits, because many JSON
/// parsers lose precision on numbers above 2^53.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(into = "String", try_from = "String")]
pub struct Point(pub u64);

impl fmt::Display for Point {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:016x}", self.0)
    }
}

impl From<Point> for String {
    fn from(point: Point) -> String {
        point.to_string()
    }
}

/// Error for text that is not 16 hexadecimal digits.
#[derive(Debug, thiserror::Error, PartialEq, Eq)]
#[error("'{0}' is not a point; write 16 hexadecimal digits")]
pub struct ParsePointError(String);

impl TryFrom<String> for Point {
    type Error = ParsePointError;

    fn try_from(text: String) -> Result<Self, Self::Error> {
        match u64::from_str_radix(&text, 16) {
            Ok(value) if text.len() == 16 => Ok(Point(value)),
            _ => Err(ParsePointError(text)),
        }
    }
}

/// Returns the point of a key.
pub fn hash_key(key: &[u8]) -> Point {
    Point(xxhash_rust::xxh3::xxh3_64(key))
}

/// An inclusive range of points, owned by at most one back end at a time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Slice {
    /// First point.
    pub first: Point,
    /// Last point, not below `first`.
    pub last: Point,
}

impl Slice {
    /// The slice of all points.
    pub const ALL: Slice = Slice {
        first: Point(0),
        last: Point(u64::MAX),
    };

    /// Returns true if `point` lies in the slice.
    pub fn contains(&self, point: Point) -> bool {
        self.first <= point && point <= self.last
    }

    /// Returns true if the two slices have a point in common.
    pub fn overlaps(&self, other: &Slice) -> bool {
        self.first <= other.last && other.first <= self.last
    }

    /// Returns the fraction of the hash space that the slice covers, between 0
    /// and 1.
    pub fn share(&self) -> f64 {
        ((self.last.0 - self.first.0) as f64 + 1.0) / (u64::MAX as f64 + 1.0)
    }

    /// Splits the slice into the points below `at` and the points from `at` on.
    /// Returns `None` if one side would be empty.
    pub fn split_at(&self, at: Point) -> Option<(Slice, Slice)> {
        if at <= self.first || at > self.last {
            return None;
        }
        let low = Slice {
            first: self.first,
            last: Point(at.0 - 1),
        };
        let high = Slice {
            first: at,
            last: self.last,
        };
        Some((low, high))
    }

    /// Divides the hash space into `count` slices of nearly equal length; a
    /// `count` of 0 gives one slice.
    pub fn divide(count: u32) -> Vec<Slice> {
        let count = u64::from(count.max(1));
        let step = u64::MAX / count;
        (0..count)
            .map(|number| Slice {
                first: Point(number * step),
                last: if number + 1 == count {
                    Point(u64::MAX)
                } else {
                    Point((number + 1) * step - 1)
                },
            })
            .collect()
    }
}

impl fmt::Display for Slice {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}-{}", self.first, self.last)
    }
}
