//! Which back end should own which keys.

use std::cmp::Ordering;
use std::collections::BTreeSet;

use threadledge_types::deployment::{BackEndName, KeyRange};

use crate::holders::Candidate;
use crate::load::Measure;
use crate::record::Owner;

/// Parts of a fair share that an owner may have too much before keys are
/// taken from it.
const TOLERATED_SURPLUS: f64 = 0.3;
/// The same while some candidate has hardly anything, as one that is new.
const TOLERATED_BESIDE_EMPTY: f64 = 0.05;
/// Standard deviations of the measure by which a surplus must differ from
/// chance.
const DEVIATIONS: f64 = 2.5;
/// The same while some candidate has hardly anything: the keys of many owners
/// go to it, so that chance evens out.
const DEVIATIONS_BESIDE_EMPTY: f64 = 1.0;
/// Parts of a fair share below which a candidate has hardly anything.
const HARDLY_ANYTHING: f64 = 0.4;
/// Parts of a fair share that a candidate must lack to be worth a move.
const WORTHWHILE_LACK: f64 = 0.1;
/// Parts of a fair share below which no piece is cut off.
const SMALLEST_PIECE: f64 = 0.08;
/// How much more than another a candidate must be able to do for one busy key
/// to be moved to it.
const MUCH_STRONGER: f64 = 1.25;
/// Parts of a fair share above which one key counts as heavy.
const HEAVY: f64 = 1.1;
/// Pieces taken back at once at the most.
const MOST_PIECES: usize = 12;

/// A range and its new owner.
#[derive(Clone, Debug, PartialEq)]
pub struct Assignment {
    /// The keys.
    pub range: KeyRange,
    /// Their owner.
    pub owner: Owner,
}

/// A range that an owner holds.
#[derive(Clone, Debug, PartialEq)]
pub struct Held {
    /// The keys.
    pub range: KeyRange,
    /// Who holds them.
    pub owner: BackEndName,
}

/// How needy a candidate is: what it lacks as a part of what is fair for it.
/// Greater is needier, and of equals the first by name.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Need {
    lacks: f64,
    index: usize,
}

impl Eq for Need {}

impl Ord for Need {
    fn cmp(&self, other: &Self) -> Ordering {
        let by_lack = self.lacks.total_cmp(&other.lacks);
        by_lack.then(other.index.cmp(&self.index))
    }
}

impl PartialOrd for Need {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

/// What every candidate holds, against the share that is fair by weight.
/// Candidates are named by their place in the list, which is sorted by name.
struct Shares<'a> {
    candidates: &'a [Candidate],
    total_weight: f64,
    held: Vec<f64>,
    /// The candidates by need: nobody walks over thousands of them for each
    /// range that is given out.
    needs: BTreeSet<Need>,
}

impl<'a> Shares<'a> {
    fn new(candidates: &'a [Candidate], held: &[Held], measure: &Measure) -> Self {
        debug_assert!(candidates.is_sorted_by_key(|candidate| &candidate.owner.name));
        let mut shares = Shares {
            candidates,
            total_weight: candidates.iter().map(|candidate| candidate.weight).sum(),
            held: vec![0.0; candidates.len()],
            needs: BTreeSet::new(),
        };
        for held in held {
            if let Some(index) = shares.index(&held.owner) {
                shares.held[index] += measure.of(held.range);
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

    /// What a candidate should hold; all shares together are 1.
    fn fair(&self, index: usize) -> f64 {
        self.candidates[index].weight / self.total_weight
    }

    /// What a candidate lacks; negative when it holds too much.
    fn lacks(&self, index: usize) -> f64 {
        self.fair(index) - self.held[index]
    }

    fn need(&self, index: usize) -> Need {
        Need {
            lacks: self.lacks(index) / self.fair(index),
            index,
        }
    }

    /// The candidate that lacks most of its share; of equals the first by
    /// name.
    fn neediest(&self) -> Option<usize> {
        self.needs.last().map(|need| need.index)
    }

    /// Parts of a fair share that each owner may have too much, before what
    /// chance adds; and standard deviations of that.
    fn tolerances(&self) -> (f64, f64) {
        if self.any_hardly_has() {
            (TOLERATED_BESIDE_EMPTY, DEVIATIONS_BESIDE_EMPTY)
        } else {
            (TOLERATED_SURPLUS, DEVIATIONS)
        }
    }

    /// Whether some candidate has hardly anything.
    fn any_hardly_has(&self) -> bool {
        let neediest = self.needs.last();
        neediest.is_some_and(|need| need.lacks > 1.0 - HARDLY_ANYTHING)
    }

    /// The candidate that would be least overloaded with `weight` more.
    fn strongest(&self, weight: f64) -> Option<usize> {
        let load = |index: &usize| (self.held[*index] + weight) / self.fair(*index);
        (0..self.candidates.len()).min_by(|left, right| load(left).total_cmp(&load(right)))
    }

    /// Whether the owner of one key that weighs more than its share has a
    /// much stronger one beside it.
    fn has_much_stronger(&self, owner: usize) -> bool {
        let much = self.candidates[owner].weight * MUCH_STRONGER;
        let mut candidates = self.candidates.iter();
        candidates.any(|candidate| candidate.weight > much)
    }

    /// What those candidates lack together for whom a move is worth it.
    fn worthwhile(&self) -> f64 {
        let needs = self.needs.iter().rev();
        needs
            .take_while(|need| need.lacks > WORTHWHILE_LACK)
            .map(|need| self.lacks(need.index))
            .sum()
    }

    fn add(&mut self, index: usize, weight: f64) {
        self.needs.remove(&self.need(index));
        self.held[index] += weight;
        self.needs.insert(self.need(index));
    }
}

/// Gives every unowned range to the candidates that lack most, cutting ranges
/// where one candidate would get too much.
pub fn assign(
    unowned: &[KeyRange],
    held: &[Held],
    candidates: &[Candidate],
    measure: &Measure,
) -> Vec<Assignment> {
    let mut shares = Shares::new(candidates, held, measure);
    let mut assignments = Vec::new();
    for range in unowned {
        let mut rest = Some(*range);
        while let Some(range) = rest {
            let Some(mut candidate) = shares.neediest() else {
                return assignments;
            };
            let smallest = shares.fair(candidate) * SMALLEST_PIECE;
            let wanted = shares.lacks(candidate).max(smallest);
            let (piece, left) = cut_front(range, wanted, smallest, measure);
            let weight = measure.of(piece);
            if weight > shares.fair(candidate) * HEAVY
                && let Some(strongest) = shares.strongest(weight)
            {
                candidate = strongest;
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

/// The first keys of `range` that weigh `wanted`, and the rest; all of it when
/// the rest would be smaller than a piece worth having. A key that alone
/// weighs too much is cut off by itself.
fn cut_front(
    range: KeyRange,
    wanted: f64,
    smallest: f64,
    measure: &Measure,
) -> (KeyRange, Option<KeyRange>) {
    if wanted + smallest >= measure.of(range) {
        return (range, None);
    }
    let keys = measure.keys_for(range, wanted);
    let without_last = keys - 1;
    let last_weighs_too_much = range.split_after(without_last).is_some_and(|(piece, _)| {
        wanted - measure.of(piece) < last_weight(range, keys, measure) / 2.0
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

/// Weight of the last of the first `keys` keys of `range`.
fn last_weight(range: KeyRange, keys: u32, measure: &Measure) -> f64 {
    let all = range.split_after(keys).map_or(range, |(piece, _)| piece);
    let others = range.split_after(keys - 1);
    measure.of(all) - others.map_or(0.0, |(piece, _)| measure.of(piece))
}

/// The end of `range` that weighs `wanted` with the fewest keys.
fn cut_end(range: KeyRange, wanted: f64, measure: &Measure) -> KeyRange {
    let weight = measure.of(range);
    if wanted >= weight {
        return range;
    }
    let from_front = measure.keys_for(range, wanted);
    let kept_for_back = measure.keys_for(range, weight - wanted);
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

/// Ranges to take back from those that hold too much, so that candidates that
/// hold too little can be given their share.
pub fn rebalance(held: &[Held], candidates: &[Candidate], measure: &Measure) -> Vec<KeyRange> {
    let mut shares = Shares::new(candidates, held, measure);
    let mut missing = shares.worthwhile();
    let (least, deviations) = shares.tolerances();
    let tolerated = |owner: usize| {
        let fair = shares.fair(owner);
        // What is beyond a limit is refused, however it came to be there.
        if candidates[owner].most.is_some() {
            return fair * TOLERATED_SURPLUS;
        }
        fair * least.max(deviations * measure.noise(fair))
    };
    let mut donors: Vec<(usize, f64)> = (0..candidates.len())
        .map(|index| (index, -shares.lacks(index)))
        .filter(|(index, surplus)| *surplus > tolerated(*index))
        .collect();
    let beyond_limits = donors
        .iter()
        .filter(|(index, _)| candidates[*index].most.is_some());
    let beyond_limits: f64 = beyond_limits.map(|(_, surplus)| surplus).sum();
    // Others take that in small parts, though none lacks enough for a move.
    missing = missing.max(beyond_limits);
    let limited = |donor: &(usize, f64)| candidates[donor.0].most.is_some();
    donors.sort_by(|left, right| {
        let first = limited(right).cmp(&limited(left));
        first.then(right.1.total_cmp(&left.1))
    });
    let mut taken = Vec::new();
    for (donor, _) in donors {
        if taken.len() >= MOST_PIECES {
            break;
        }
        for range in densest_first(held, &candidates[donor].owner.name, measure) {
            let surplus = -shares.lacks(donor);
            let smallest = shares.fair(donor) * SMALLEST_PIECE;
            let wanted = surplus.min(missing);
            if wanted < smallest || taken.len() >= MOST_PIECES {
                break;
            }
            let piece = cut_end(range, wanted, measure);
            let weight = measure.of(piece);
            // One key may weigh more than a whole share: moving it to a back
            // end that is no faster would only make that one the busiest.
            let heavy = piece.len() == 1 && weight > shares.fair(donor) * HEAVY;
            if heavy && !shares.has_much_stronger(donor) {
                continue;
            }
            shares.add(donor, -weight);
            missing -= weight;
            taken.push(piece);
        }
    }
    taken
}

/// The ranges of one owner, those with the most weight a key first.
fn densest_first(held: &[Held], owner: &BackEndName, measure: &Measure) -> Vec<KeyRange> {
    let density = |range: &KeyRange| measure.of(*range) / f64::from(range.len());
    let mut ranges: Vec<KeyRange> = held
        .iter()
        .filter(|held| held.owner == *owner)
        .map(|held| held.range)
        .collect();
    ranges.sort_by(|left, right| density(right).total_cmp(&density(left)));
    ranges
}
