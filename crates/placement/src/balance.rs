//! Balance: when a service is out of balance, and which slices to move.
//!
//! Moves are bought sparingly. Imbalance must exceed the policy and the noise
//! of the measurement, and last; then the busiest back end gives the slice
//! that carries the most load for each key, within the churn budget.

use std::time::Duration;

use threadledge_types::{BackEndId, Point, Timestamp};

use crate::budget::ChurnWindow;
use crate::loads::{Load, Loads};
use crate::merge::merge_cold;
use crate::planner::Round;
use crate::service::ServiceState;
use crate::split::{split_hot, split_large};
use crate::weight::length;

/// Standard deviations of measurement noise that are not acted on.
const NOISE_MARGIN: f64 = 3.0;
/// Part of the tolerated excess at which balancing stops again.
const STOP_PART: f64 = 0.5;
/// A back end that falls short of the mean by this part gets slices even when
/// none is above what is tolerated: it has just joined.
const NEARLY_EMPTY: f64 = 0.5;
/// Part of its excess by which the busiest must be relieved when a key goes to
/// a back end that becomes busier than the one it leaves.
const LEAST_RELIEF: f64 = 0.25;
/// Least time over which rates count as averaged.
const LEAST_WINDOW: Duration = Duration::from_secs(1);
/// Candidate slices read for each move.
const CANDIDATES_READ: usize = 32;
/// Donors tried when the busiest has nothing that may move.
const DONORS_TRIED: usize = 3;
/// Least load of a slice that is worth a move, against a usual slice's.
const LEAST_GAIN: f64 = 0.25;

/// Balancing of one service.
#[derive(Clone, Debug, Default)]
pub(crate) struct BalanceState {
    /// When the next check is due.
    pub next_check: Option<Timestamp>,
    /// Since when it has been out of balance.
    exceeded_since: Option<Timestamp>,
    /// Whether slices are being moved for balance.
    active: bool,
    /// First load report.
    measured_since: Option<Timestamp>,
    pub window: ChurnWindow,
}

impl ServiceState {
    /// Ratio of the busiest receiver's load to the mean.
    pub(crate) fn imbalance(&self) -> Option<f64> {
        Loads::of(self, Duration::from_secs(1)).map(|loads| loads.ratio())
    }
}

/// Checks one service, proposes moves, splits or merges, and returns when to
/// look again, if nothing else happens before.
pub(crate) fn check_balance(state: &mut ServiceState, round: &mut Round<'_>) -> Option<Timestamp> {
    let soon = round.now + round.settings.check_interval;
    if !state.unowned.is_empty() || !state.leaving.is_empty() {
        return Some(soon);
    }
    if state.awaits_reports() {
        return Some(soon);
    }
    let loads = Loads::of(state, state.measured_window(round))?;
    round.work.back_ends += loads.len() as u64;
    if judge(state, &loads, round) {
        improve(state, loads, round);
        return Some(soon);
    }
    if state.balance.exceeded_since.is_some() {
        return Some(soon);
    }
    merge_cold(state, &loads, round)
}

/// Whether to move slices now: imbalance has lasted, or balancing that began
/// has not reached its end. What noise alone can bring about never counts.
fn judge(state: &mut ServiceState, loads: &Loads, round: &Round<'_>) -> bool {
    let noise = loads.noise * NOISE_MARGIN;
    let tolerated = state.tolerated_excess().max(noise);
    let excess = loads.ratio() - 1.0;
    let shortfall = loads.shortfall();
    let balance = &mut state.balance;
    if balance.active {
        balance.active = excess > tolerated * STOP_PART || shortfall > tolerated;
        return balance.active;
    }
    if excess <= tolerated && shortfall <= NEARLY_EMPTY.max(noise) {
        balance.exceeded_since = None;
        return false;
    }
    let since = *balance.exceeded_since.get_or_insert(round.now);
    if round.now.since(since) >= round.settings.min_imbalance_time {
        balance.active = true;
        balance.exceeded_since = None;
    }
    balance.active
}

/// Moves slices until the service is in balance, the budget or the number of
/// moves at once is used up, or nothing helps.
fn improve(state: &mut ServiceState, mut loads: Loads, round: &mut Round<'_>) {
    let tolerated = state.tolerated_excess();
    while round.room > 0 && state.moves_in_progress() < round.settings.max_balancing_moves {
        let filled = loads.shortfall() <= tolerated;
        let level = 1.0 + tolerated * STOP_PART;
        if loads.ratio() <= level && filled {
            return;
        }
        let floor = if filled {
            loads.mean * level
        } else {
            loads.mean
        };
        if !move_one(state, &mut loads, floor, round) {
            return;
        }
    }
}

/// Moves one slice from the busiest back end that has one to give.
fn move_one(
    state: &mut ServiceState,
    loads: &mut Loads,
    floor: f64,
    round: &mut Round<'_>,
) -> bool {
    let Some(to) = loads.idlest().cloned() else {
        return false;
    };
    let donors = loads.busiest_above(floor, DONORS_TRIED);
    for from in donors.into_iter().filter(|donor| donor.id != to.id) {
        match choose(state, loads, &from, &to, round) {
            Choice::Move(first) => {
                let Some(slice) = state.table.get(first) else {
                    return false;
                };
                let weight = slice.weight(first);
                state.spend_move(first, &from.id, &to.id, round);
                loads.shift(&from.id, &to.id, weight);
                return true;
            }
            Choice::TooHeavy(first) => {
                if split_hot(state, first, round) {
                    return false;
                }
            }
            Choice::TooLarge(first) => {
                if split_large(state, first, round) {
                    return false;
                }
            }
            Choice::Nothing => {}
        }
    }
    false
}

/// What a donor has to give.
enum Choice {
    /// This slice helps.
    Move(Point),
    /// This slice is too hot to be moved whole, but can be divided.
    TooHeavy(Point),
    /// This slice has more keys than the whole budget.
    TooLarge(Point),
    /// Nothing that may move now.
    Nothing,
}

/// The slice with the most load for each key among those that fit.
///
/// A hot slice is divided before anything else is moved, because a split
/// moves no key. Where one key makes it hot, the key goes to a back end that
/// has much less, or else its neighbours move.
fn choose(
    state: &mut ServiceState,
    loads: &Loads,
    from: &Load,
    to: &Load,
    round: &mut Round<'_>,
) -> Choice {
    let budget = state.churn_budget();
    let left = state.churn_left(round.now);
    let gap = from.load - to.load;
    let excess = (from.load - loads.mean).max(0.0);
    let usual = loads.mean / f64::from(state.policy.slices_per_back_end.max(1));
    let Some(holding) = state.holdings.get(&from.id) else {
        return Choice::Nothing;
    };
    let mut otherwise = Choice::Nothing;
    for first in holding.densest_first().take(CANDIDATES_READ) {
        round.work.slices += 1;
        let Some(slice) = state.table.get(first) else {
            continue;
        };
        if state.is_being_divided(first) || !slice.load.is_measured() {
            return Choice::Nothing;
        }
        if state.is_busy(first) {
            continue;
        }
        let load = loads.scale.load(slice.weight(first));
        if load / from.slots + load / to.slots > gap {
            if !slice.load.is_one_key() {
                return Choice::TooHeavy(first);
            }
            if load / to.slots > gap - excess * LEAST_RELIEF {
                continue;
            }
        }
        if slice.moved_within(round.settings.move_cooldown, round.now) {
            continue;
        }
        if load / from.slots < usual * LEAST_GAIN {
            continue;
        }
        let size = length(slice.slice(first)) as f64;
        if size <= left {
            return Choice::Move(first);
        }
        if size > budget && budget >= 1.0 && matches!(otherwise, Choice::Nothing) {
            otherwise = Choice::TooLarge(first);
        }
    }
    otherwise
}

impl ServiceState {
    /// Notes that a back end that holds slices reported its load.
    pub(crate) fn note_report(&mut self, back_end: &BackEndId, now: Timestamp) {
        self.balance.measured_since.get_or_insert(now);
        if let Some(holding) = self.holdings.get_mut(back_end) {
            holding.heard = true;
        }
    }

    /// Whether some owners reported load and others have not yet, as after an
    /// election: the silent ones are not idle, they are unknown.
    fn awaits_reports(&self) -> bool {
        let mut owners = self.receivers.keys().filter_map(|id| self.holdings.get(id));
        self.table.total().rate > 0 && owners.any(|holding| holding.count() > 0 && !holding.heard)
    }

    /// Time over which rates were averaged: an exponential mean counts twice
    /// its time constant, and no more than has passed.
    fn measured_window(&self, round: &Round<'_>) -> Duration {
        let since = self.balance.measured_since.unwrap_or(round.now);
        round
            .now
            .since(since)
            .clamp(LEAST_WINDOW, round.settings.smoothing_time * 2)
    }

    /// Tolerated excess of the busiest over the mean, relative to it.
    fn tolerated_excess(&self) -> f64 {
        (self.policy.tolerated_imbalance - 1.0).max(0.0)
    }

    /// Handovers proposed or going on.
    fn moves_in_progress(&self) -> usize {
        self.moving.len() + self.pending.len()
    }
}
