//! The slices of one service, as recorded, with their smoothed rates.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use threadledge_types::{BackEndId, Epoch, Incarnation, Point, Slice, Timestamp};

use crate::weight::{Weight, length};

/// One slice.
#[derive(Clone, Debug)]
pub(crate) struct SliceState {
    pub last: Point,
    pub epoch: Epoch,
    pub owner: Option<Owner>,
    /// Last owner, while the slice has none.
    pub previous: Option<Arc<BackEndId>>,
    pub next: Option<Arc<BackEndId>>,
    pub load: SliceLoad,
    /// Time at which its owner or bounds last changed.
    pub changed_at: Timestamp,
    /// Time at which the slice was last taken from an owner.
    /// [`Timestamp::ZERO`] if never.
    pub moved_at: Timestamp,
}

/// Owner of a slice.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Owner {
    pub back_end: Arc<BackEndId>,
    pub incarnation: Incarnation,
}

/// Smoothed load of a slice.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct SliceLoad {
    /// Micro-requests per second.
    pub rate: u64,
    /// The hottest key and its part of `rate`.
    pub hottest: Option<(Point, u64)>,
    /// Number of reports since the rate was last an estimate.
    pub samples: u32,
}

/// Number of reports after which the rate estimated at a split counts as
/// measured.
const MIN_SAMPLES: u32 = 3;
/// Minimum fraction of a slice's rate at which a single key counts as making
/// the slice hot.
const SINGLE_KEY_RATIO: f64 = 0.75;

impl SliceState {
    /// Returns whether the slice was taken from an owner within `period`.
    pub(crate) fn moved_within(&self, period: Duration, now: Timestamp) -> bool {
        self.moved_at > Timestamp::ZERO && now.since(self.moved_at) < period
    }

    pub(crate) fn slice(&self, first: Point) -> Slice {
        Slice {
            first,
            last: self.last,
        }
    }

    pub(crate) fn weight(&self, first: Point) -> Weight {
        Weight::new(self.slice(first), self.load.rate)
    }
}

impl SliceLoad {
    /// Returns whether the rate has been measured since the slice was split.
    pub(crate) fn is_measured(self) -> bool {
        self.rate == 0 || self.samples >= MIN_SAMPLES
    }

    /// Returns whether a single key makes up most of the rate, so that
    /// splitting the slice would divide little of its load.
    pub(crate) fn is_single_key(self) -> bool {
        self.hottest
            .is_some_and(|(_, rate)| rate as f64 >= self.rate as f64 * SINGLE_KEY_RATIO)
    }

    /// Divides the load of `whole` between its parts below `at` and from `at`
    /// on. The hot key's rate goes to its part, and the rest is divided by
    /// length.
    pub(crate) fn divide(self, whole: Slice, at: Point) -> (SliceLoad, SliceLoad) {
        let hot_rate = self.hottest.map_or(0, |(_, rate)| rate.min(self.rate));
        let spread = self.rate - hot_rate;
        let low_length = u128::from(at.0 - whole.first.0);
        let low_spread = (u128::from(spread) * low_length / length(whole)) as u64;
        let mut low = SliceLoad {
            rate: low_spread,
            ..SliceLoad::default()
        };
        let mut high = SliceLoad {
            rate: spread - low_spread,
            ..SliceLoad::default()
        };
        if let Some((point, _)) = self.hottest {
            let side = if point < at { &mut low } else { &mut high };
            side.rate += hot_rate;
            side.hottest = Some((point, hot_rate));
        }
        (low, high)
    }

    /// Combines the loads of two adjacent slices.
    pub(crate) fn join(self, other: SliceLoad) -> SliceLoad {
        let hottest = [self.hottest, other.hottest]
            .into_iter()
            .flatten()
            .max_by_key(|(_, rate)| *rate);
        SliceLoad {
            rate: self.rate.saturating_add(other.rate),
            hottest,
            samples: self.samples.max(other.samples),
        }
    }
}

/// All slices of one service.
#[derive(Clone, Debug, Default)]
pub(crate) struct SliceTable {
    slices: BTreeMap<Point, SliceState>,
    by_length: BTreeSet<(u128, Point)>,
    /// Loads by point, of split parts whose record has not arrived yet and of
    /// merged slices whose removal arrived before the record of the adjacent
    /// slice that absorbs them.
    unclaimed_loads: BTreeMap<Point, SliceLoad>,
    /// Total weight of all slices.
    total: Weight,
}

impl SliceTable {
    pub(crate) fn get(&self, first: Point) -> Option<&SliceState> {
        self.slices.get(&first)
    }

    pub(crate) fn len(&self) -> usize {
        self.slices.len()
    }

    pub(crate) fn total(&self) -> Weight {
        self.total
    }

    pub(crate) fn insert(&mut self, first: Point, state: SliceState) {
        let weight = state.weight(first);
        self.total += weight;
        self.by_length.insert((weight.length, first));
        self.slices.insert(first, state);
    }

    pub(crate) fn remove(&mut self, first: Point) -> Option<SliceState> {
        let state = self.slices.remove(&first)?;
        let weight = state.weight(first);
        self.total -= weight;
        self.by_length.remove(&(weight.length, first));
        Some(state)
    }

    /// Replaces the load of a slice.
    pub(crate) fn set_load(&mut self, first: Point, load: SliceLoad) {
        if let Some(state) = self.slices.get_mut(&first) {
            self.total.rate = self.total.rate.saturating_sub(state.load.rate);
            self.total.rate = self.total.rate.saturating_add(load.rate);
            state.load = load;
        }
    }

    /// Returns the slice after the one that ends at `last`.
    pub(crate) fn after(&self, last: Point) -> Option<(Point, &SliceState)> {
        let first = Point(last.0.checked_add(1)?);
        self.slices.get(&first).map(|state| (first, state))
    }

    /// Returns the slice before the one that starts at `first`.
    pub(crate) fn before(&self, first: Point) -> Option<(Point, &SliceState)> {
        self.slices
            .range(..first)
            .next_back()
            .map(|(point, state)| (*point, state))
    }

    /// Returns the slices in ascending order of length.
    pub(crate) fn shortest_first(&self) -> impl Iterator<Item = (u128, Point)> + '_ {
        self.by_length.iter().copied()
    }

    /// Returns the load of a slice that now has the bounds `slice`. `old` is
    /// its former last point and load. The load of a part that was split off is
    /// stored until the record of that part arrives.
    pub(crate) fn load_after_change(
        &mut self,
        slice: Slice,
        old: Option<(Point, SliceLoad)>,
    ) -> SliceLoad {
        match old {
            Some((old_last, load)) if slice.last < old_last => {
                let whole = Slice {
                    first: slice.first,
                    last: old_last,
                };
                let at = Point(slice.last.0 + 1);
                let (low, high) = load.divide(whole, at);
                self.store_unclaimed_load(at, high);
                low
            }
            Some((_, load)) => load.join(self.take_unclaimed_loads(slice)),
            None => self.take_unclaimed_loads(slice),
        }
    }

    /// Stores the load of a part until the record that covers it arrives.
    pub(crate) fn store_unclaimed_load(&mut self, first: Point, load: SliceLoad) {
        if load.rate > 0 {
            self.unclaimed_loads.insert(first, load);
        }
    }

    fn take_unclaimed_loads(&mut self, slice: Slice) -> SliceLoad {
        let covered: Vec<Point> = self
            .unclaimed_loads
            .range(slice.first..=slice.last)
            .map(|(point, _)| *point)
            .collect();
        covered
            .into_iter()
            .filter_map(|point| self.unclaimed_loads.remove(&point))
            .fold(SliceLoad::default(), SliceLoad::join)
    }
}
