//! Decides which back end should own which keys.

use std::cmp::Ordering;
use std::collections::BTreeSet;

use threadledge_types::deployment::{BackEndName, KeyRange};

use crate::holders::Candidate;
use crate::load::KeyWeights;
use crate::record::Owner;

/// Surplus above which keys are taken from an owner, as a fraction of its fair
/// share.
const TOLERATED_SURPLUS: f64 = 0.3;
/// The same while some candidate is nearly empty, as a new one is.
const TOLERATED_SURPLUS_BESIDE_EMPTY: f64 = 0.05;
/// Standard deviations of the measured load by which a surplus must exceed
/// random variation.
const DEVIATIONS: f64 = 2.5;
/// The same while some candidate is nearly empty. The keys of many owners move
/// to it, so that random variations average out.
const DEVIATIONS_BESIDE_EMPTY: f64 = 1.0;
/// Fraction of its fair share below which a candidate is nearly empty.
const NEARLY_EMPTY: f64 = 0.4;
/// Deficit from which moving keys to a candidate is worthwhile, as a fraction
/// of its fair share.
const MIN_DEFICIT: f64 = 0.1;
/// Smallest piece that is cut from a range, as a fraction of a fair share.
const MIN_PIECE: f64 = 0.08;
/// Factor by which a candidate's weight must exceed the owner's for a single
/// busy key to be moved to it.
const STRONGER_FACTOR: f64 = 1.25;
/// Fraction of a fair share above which a single key counts as heavy.
const HEAVY_KEY: f64 = 1.1;
/// Maximum number of pieces taken back at once.
const MAX_PIECES: usize = 12;

/// A range and its new owner.
#[derive(Clone, Debug, PartialEq)]
pub struct Assignment {
    /// The keys.
    pub range: KeyRange,
    /// The new owner.
    pub owner: Owner,
}

/// A range that an owner holds.
#[derive(Clone, Debug, PartialEq)]
pub struct HeldRange {
    /// The keys.
    pub range: KeyRange,
    /// The owner.
    pub owner: BackEndName,
}

/// Relative need of a candidate: its deficit as a fraction of its fair share.
/// Orders by need; of equal candidates, the first by name is the greater.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Need {
    relative_deficit: f64,
    index: usize,
}

impl Eq for Need {}

impl Ord for Need {
    fn cmp(&self, other: &Self) -> Ordering {
        let by_deficit = self.relative_deficit.total_cmp(&other.relative_deficit);
        by_deficit.then(other.index.cmp(&self.index))
    }
}

impl PartialOrd for Need {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

/// The load that every candidate holds, compared with its fair share by weight.
/// Candidates are identified by their index in the list, which is sorted by
/// name.
struct Shares<'a> {
    candidates: &'a [Candidate],
    total_weight: f64,
    held: Vec<f64>,
    /// Candidates ordered by need. Avoids iterating over thousands of
    /// candidates for each range that is assigned.
    needs: BTreeSet<Need>,
}

impl<'a> Shares<'a> {
    fn new(candidates: &'a [Candidate], held: &[HeldRange], weights: &KeyWeights) -> Self {
        debug_assert!(candidates.is_sorted_by_key(|candidate| &candidate.owner.name));
        let mut shares = Shares {
            candidates,
            total_weight: candidates.iter().map(|candidate| candidate.weight).sum(),
            held: vec![0.0; candidates.len()],
            needs: BTreeSet::new(),
        };
        for held in held {
            if let Some(index) = shares.index(&held.owner) {
                shares.held[index] += weights.weight_of(held.range);
            }
        }
        shares.needs = (0..candidates.len())
            .map(|index| shares.need(index))
            .collect();
        shares
    }

    fn index(&self, name: &BackEndName) -> Option<usize> {
        let by_name = |candidate: &Candidate| candidate.owner.name.cmp(name);
        self.candidates.binary_search_by(by_name).ok()
    }

    /// Returns the fraction of all load that a candidate should hold. All fair
    /// shares add up to 1.
    fn fair_share(&self, index: usize) -> f64 {
        self.candidates[index].weight / self.total_weight
    }

    /// Returns how much a candidate holds less than its fair share; negative if
    /// it holds more.
    fn deficit(&self, index: usize) -> f64 {
        self.fair_share(index) - self.held[index]
    }

    fn need(&self, index: usize) -> Need {
        Need {
            relative_deficit: self.deficit(index) / self.fair_share(index),
            index,
        }
    }

    /// Returns the candidate with the greatest need. Of equal candidates,
    /// returns the first by name.
    fn neediest(&self) -> Option<usize> {
        self.needs.last().map(|need| need.index)
    }

    /// Returns the tolerated surplus as a fraction of a fair share, and the
    /// number of standard deviations that random variation may add.
    fn tolerances(&self) -> (f64, f64) {
        if self.any_nearly_empty() {
            (TOLERATED_SURPLUS_BESIDE_EMPTY, DEVIATIONS_BESIDE_EMPTY)
        } else {
            (TOLERATED_SURPLUS, DEVIATIONS)
        }
    }

    /// Returns whether some candidate is nearly empty.
    fn any_nearly_empty(&self) -> bool {
        let neediest = self.needs.last();
        neediest.is_some_and(|need| need.relative_deficit > 1.0 - NEARLY_EMPTY)
    }

    /// Returns the candidate with the lowest load relative to its fair share
    /// after `weight` is added.
    fn least_loaded_with(&self, weight: f64) -> Option<usize> {
        let load = |index: &usize| (self.held[*index] + weight) / self.fair_share(*index);
        (0..self.candidates.len()).min_by(|left, right| load(left).total_cmp(&load(right)))
    }

    /// Returns whether some candidate is strong enough to take over a single
    /// key that weighs more than the owner's share.
    fn has_stronger_candidate(&self, owner: usize) -> bool {
        let min_weight = self.candidates[owner].weight * STRONGER_FACTOR;
        let mut candidates = self.candidates.iter();
        candidates.any(|candidate| candidate.weight > min_weight)
    }

    /// Returns the total deficit of the candidates to which a move is
    /// worthwhile.
    fn worthwhile_deficit(&self) -> f64 {
        let needs = self.needs.iter().rev();
        needs
            .take_while(|need| need.relative_deficit > MIN_DEFICIT)
            .map(|need| self.deficit(need.index))
            .sum()
    }

    fn add(&mut self, index: usize, weight: f64) {
        self.needs.remove(&self.need(index));
        self.held[index] += weight;
        self.needs.insert(self.need(index));
    }
}

/// Assigns every unowned range to the candidates with the greatest need. Splits
/// ranges where one candidate would get too much.
pub fn assign(
    unowned: &[KeyRange],
    held: &[HeldRange],
    candidates: &[Candidate],
    weights: &KeyWeights,
) -> Vec<Assignment> {
    let mut shares = Shares::new(candidates, held, weights);
    let mut assignments = Vec::new();
    for range in unowned {
        let mut rest = Some(*range);
        while let Some(range) = rest {
            let Some(mut candidate) = shares.neediest() else {
                return assignments;
            };
            let smallest = shares.fair_share(candidate) * MIN_PIECE;
            let wanted = shares.deficit(candidate).max(smallest);
            let (piece, left) = cut_front(range, wanted, smallest, weights);
            let weight = weights.weight_of(piece);
            if weight > shares.fair_share(candidate) * HEAVY_KEY
                && let Some(least_loaded) = shares.least_loaded_with(weight)
            {
                candidate = least_loaded;
            }
            shares.add(candidate, weight);
            assignments.push(Assignment {
                range: piece,
                owner: candidates[candidate].owner.clone(),
            });
            rest = left;
        }
    }
    assignments
}

/// Splits off the first keys of `range` that weigh `wanted`, and returns them
/// and the rest. Returns the whole range if the rest would be smaller than the
/// smallest piece. A single key that weighs too much is split off separately.
fn cut_front(
    range: KeyRange,
    wanted: f64,
    smallest: f64,
    weights: &KeyWeights,
) -> (KeyRange, Option<KeyRange>) {
    if wanted + smallest >= weights.weight_of(range) {
        return (range, None);
    }
    let keys = weights.key_count_for(range, wanted);
    let without_last = keys - 1;
    let last_weighs_too_much = range.split_after(without_last).is_some_and(|(piece, _)| {
        wanted - weights.weight_of(piece) < last_weight(range, keys, weights) / 2.0
    });
    let keys = if last_weighs_too_much {
        without_last
    } else {
        keys
    };
    match range.split_after(keys) {
        Some((piece, rest)) => (piece, Some(rest)),
        None => (range, None),
    }
}

/// Returns the weight of the last of the first `keys` keys of `range`.
fn last_weight(range: KeyRange, keys: u32, weights: &KeyWeights) -> f64 {
    let all = range.split_after(keys).map_or(range, |(piece, _)| piece);
    let others = range.split_after(keys - 1);
    weights.weight_of(all) - others.map_or(0.0, |(piece, _)| weights.weight_of(piece))
}

/// Returns the piece that weighs `wanted` from the front or the back of
/// `range`, whichever needs fewer keys.
fn cut_end(range: KeyRange, wanted: f64, weights: &KeyWeights) -> KeyRange {
    let weight = weights.weight_of(range);
    if wanted >= weight {
        return range;
    }
    let from_front = weights.key_count_for(range, wanted);
    let kept_for_back = weights.key_count_for(range, weight - wanted);
    let from_back = range.len() - kept_for_back;
    if from_back > 0 && from_back < from_front {
        return range
            .split_after(kept_for_back)
            .map_or(range, |(_, back)| back);
    }
    range
        .split_after(from_front)
        .map_or(range, |(front, _)| front)
}

/// Returns the ranges to take back from owners that hold too much, so that
/// candidates that hold too little can be assigned their share.
pub fn rebalance(
    held: &[HeldRange],
    candidates: &[Candidate],
    weights: &KeyWeights,
) -> Vec<KeyRange> {
    let mut shares = Shares::new(candidates, held, weights);
    let mut needed = shares.worthwhile_deficit();
    let (min_tolerance, deviations) = shares.tolerances();
    let tolerated = |owner: usize| {
        let fair = shares.fair_share(owner);
        // Requests beyond a limit are refused, so a surplus counts even if it
        // may be random variation.
        if candidates[owner].max_share.is_some() {
            return fair * TOLERATED_SURPLUS;
        }
        fair * min_tolerance.max(deviations * weights.relative_noise(fair))
    };
    let mut donors: Vec<(usize, f64)> = (0..candidates.len())
        .map(|index| (index, -shares.deficit(index)))
        .filter(|(index, surplus)| *surplus > tolerated(*index))
        .collect();
    let over_limit = donors
        .iter()
        .filter(|(index, _)| candidates[*index].max_share.is_some());
    let over_limit: f64 = over_limit.map(|(_, surplus)| surplus).sum();
    // Others take this in small parts, even if none has a deficit worth a move.
    needed = needed.max(over_limit);
    let limited = |donor: &(usize, f64)| candidates[donor.0].max_share.is_some();
    donors.sort_by(|left, right| {
        let first = limited(right).cmp(&limited(left));
        first.then(right.1.total_cmp(&left.1))
    });
    let mut taken = Vec::new();
    for (donor, _) in donors {
        if taken.len() >= MAX_PIECES {
            break;
        }
        for range in densest_first(held, &candidates[donor].owner.name, weights) {
            let surplus = -shares.deficit(donor);
            let smallest = shares.fair_share(donor) * MIN_PIECE;
            let wanted = surplus.min(needed);
            if wanted < smallest || taken.len() >= MAX_PIECES {
                break;
            }
            let piece = cut_end(range, wanted, weights);
            let weight = weights.weight_of(piece);
            // A single key may weigh more than a whole share. Moving it to a
            // back end that is no faster would only make that one the busiest.
            let heavy = piece.len() == 1 && weight > shares.fair_share(donor) * HEAVY_KEY;
            if heavy && !shares.has_stronger_candidate(donor) {
                continue;
            }
            shares.add(donor, -weight);
            needed -= weight;
            taken.push(piece);
        }
    }
    taken
}

/// Returns the ranges of one owner, those with the greatest weight per key
/// first.
fn densest_first(held: &[HeldRange], owner: &BackEndName, weights: &KeyWeights) -> Vec<KeyRange> {
    let density = |range: &KeyRange| weights.weight_of(*range) / f64::from(range.len());
    let mut ranges: Vec<KeyRange> = held
        .iter()
        .filter(|held| held.owner == *owner)
        .map(|held| held.range)
        .collect();
    ranges.sort_by(|left, right| density(right).total_cmp(&density(left)));
    ranges
}
