//! Keys, points and slices.
//!
//! A key hashes to a [`Point`] with XXH3-64 and seed 0 over the key's bytes.
//! The hash is part of the contract with back ends and never changes. A
//! [`Slice`] is an inclusive range of points and the unit of ownership.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Position of a key on the hash line.
///
/// On the wire a point is a string of 16 hexadecimal digits, because JSON
/// numbers lose precision above 2^53 in many readers.
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

/// The text is not 16 hexadecimal digits.
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

/// Hashes a key's bytes to its point.
pub fn hash_key(key: &[u8]) -> Point {
    Point(xxhash_rust::xxh3::xxh3_64(key))
}

/// An inclusive range of points: the unit of ownership.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Slice {
    /// First point.
    pub first: Point,
    /// Last point, at least `first`.
    pub last: Point,
}

impl Slice {
    /// Every point.
    pub const ALL: Slice = Slice {
        first: Point(0),
        last: Point(u64::MAX),
    };

    /// Whether `point` lies in the slice.
    pub fn contains(&self, point: Point) -> bool {
        self.first <= point && point <= self.last
    }

    /// Whether the two slices share a point.
    pub fn overlaps(&self, other: &Slice) -> bool {
        self.first <= other.last && other.first <= self.last
    }

    /// Share of the whole line, between 0 and 1.
    pub fn share(&self) -> f64 {
        ((self.last.0 - self.first.0) as f64 + 1.0) / (u64::MAX as f64 + 1.0)
    }

    /// Splits into the points below `at` and those from `at` on, or `None`
    /// when one side would be empty.
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

    /// Divides the whole line into `count` slices of nearly equal length.
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
