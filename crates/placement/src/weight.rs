//! Weight of slices: observed rate and share of keys.

use std::ops::{AddAssign, SubAssign};

use threadledge_types::Slice;

/// Rates are whole micro-requests a second, so that sums are exact and do not
/// drift however often slices come and go.
const MICROS_PER_REQUEST: f64 = 1_000_000.0;
/// Number of points on the line.
pub(crate) const LINE_LENGTH: f64 = 18_446_744_073_709_551_616.0;
/// Part of a service's rate that is spread over its keys evenly, so that keys
/// are balanced too and slices without reports count.
const KEY_PART: f64 = 0.05;
/// Requests a second spread over all keys when nothing is reported.
const LEAST_KEY_RATE: f64 = 1.0;

/// Rate and length of one slice or the sum of several.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Weight {
    /// Micro-requests a second.
    pub rate: u64,
    /// Points.
    pub length: u128,
}

impl Weight {
    pub(crate) fn of(slice: Slice, rate: u64) -> Self {
        Weight {
            rate,
            length: length(slice),
        }
    }

    /// Requests a second.
    pub(crate) fn per_second(&self) -> f64 {
        self.rate as f64 / MICROS_PER_REQUEST
    }

    /// Share of all keys.
    pub(crate) fn share(&self) -> f64 {
        self.length as f64 / LINE_LENGTH
    }

    pub(crate) fn minus(mut self, other: Weight) -> Weight {
        self -= other;
        self
    }

    pub(crate) fn plus(mut self, other: Weight) -> Weight {
        self += other;
        self
    }
}

impl AddAssign for Weight {
    fn add_assign(&mut self, other: Weight) {
        self.rate = self.rate.saturating_add(other.rate);
        self.length = self.length.saturating_add(other.length);
    }
}

impl SubAssign for Weight {
    fn sub_assign(&mut self, other: Weight) {
        self.rate = self.rate.saturating_sub(other.rate);
        self.length = self.length.saturating_sub(other.length);
    }
}

/// Number of points in a slice.
pub(crate) fn length(slice: Slice) -> u128 {
    u128::from(slice.last.0 - slice.first.0) + 1
}

/// Rate as stored, from requests a second; nonsense counts as none.
pub(crate) fn rate_from(per_second: f64) -> u64 {
    if per_second.is_finite() && per_second > 0.0 {
        (per_second * MICROS_PER_REQUEST) as u64
    } else {
        0
    }
}

/// Turns weights of one service into comparable loads.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Scale {
    /// Requests a second for the whole line, on top of the observed ones.
    key_rate: f64,
}

impl Scale {
    pub(crate) fn new(total: Weight) -> Self {
        Scale {
            key_rate: (total.per_second() * KEY_PART).max(LEAST_KEY_RATE),
        }
    }

    /// Load of `weight`, in requests a second.
    pub(crate) fn load(&self, weight: Weight) -> f64 {
        weight.per_second() + self.key_rate * weight.share()
    }
}

/// Order of slices by rate for each key: bits of a non-negative float compare
/// as the float does. The order is the same under every [`Scale`].
pub(crate) fn density_order(weight: Weight) -> u64 {
    (weight.rate as f64 / weight.length as f64).to_bits()
}
