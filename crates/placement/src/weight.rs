//! Weight of slices: observed rate and length.

use std::ops::{AddAssign, SubAssign};

use threadledge_types::Slice;

/// Micro-requests in a request. Rates are integers in micro-requests per
/// second, so that sums are exact and do not drift however often slices are
/// added and removed.
const MICROS_PER_REQUEST: f64 = 1_000_000.0;
/// Number of points in the key space, 2^64.
pub(crate) const KEY_SPACE_SIZE: f64 = 18_446_744_073_709_551_616.0;
/// Fraction of a service's rate that is added as load spread evenly over its
/// keys, so that the number of keys is balanced too and slices without reports
/// have a load.
const KEY_RATE_RATIO: f64 = 0.05;
/// Minimum of that added load, in requests per second, which applies when
/// nothing is reported.
const MIN_KEY_RATE: f64 = 1.0;

/// Rate and length of one slice, or the sums over several.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Weight {
    /// Micro-requests per second.
    pub rate: u64,
    /// Number of points.
    pub length: u128,
}

impl Weight {
    pub(crate) fn new(slice: Slice, rate: u64) -> Self {
        Weight {
            rate,
            length: length(slice),
        }
    }

    /// Returns the rate in requests per second.
    pub(crate) fn per_second(&self) -> f64 {
        self.rate as f64 / MICROS_PER_REQUEST
    }

    /// Returns the share of the key space.
    pub(crate) fn share(&self) -> f64 {
        self.length as f64 / KEY_SPACE_SIZE
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

/// Returns the number of points in a slice.
pub(crate) fn length(slice: Slice) -> u128 {
    u128::from(slice.last.0 - slice.first.0) + 1
}

/// Converts requests per second to micro-requests per second. Values that are
/// not positive and finite give 0.
pub(crate) fn rate_from(per_second: f64) -> u64 {
    if per_second.is_finite() && per_second > 0.0 {
        (per_second * MICROS_PER_REQUEST) as u64
    } else {
        0
    }
}

/// Converts weights of one service to comparable loads.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LoadScale {
    /// Requests per second over the whole key space that are added to the
    /// observed ones.
    key_rate: f64,
}

impl LoadScale {
    pub(crate) fn new(total: Weight) -> Self {
        LoadScale {
            key_rate: (total.per_second() * KEY_RATE_RATIO).max(MIN_KEY_RATE),
        }
    }

    /// Returns the load of `weight` in requests per second.
    pub(crate) fn load(&self, weight: Weight) -> f64 {
        weight.per_second() + self.key_rate * weight.share()
    }
}

/// Returns a sort key that orders slices by rate per key. The bits of
/// non-negative floats compare as the floats do. The order is the same under
/// every [`LoadScale`].
pub(crate) fn density_order(weight: Weight) -> u64 {
    (weight.rate as f64 / weight.length as f64).to_bits()
}
