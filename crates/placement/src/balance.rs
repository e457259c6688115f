//! Balancing: detects when a service is out of balance and chooses the slices
//! to move.
//!
//! Moves are made sparingly. The imbalance must exceed the policy and the
//! measurement noise, and must last. Then the busiest back end gives away the
//! slice with the most load per key, within the churn budget.

use std::time::Duration;

use threadledge_types::{BackEndId, Point, Timestamp};

use crate::budget::ChurnWindow;
use crate::loads::{Loads, ReceiverLoad};
use crate::merge::merge_cold_fragments;
use crate::planner::PlanContext;
use crate::service::ServiceState;
use crate::split::{split_hot, split_large};
use crate::weight::length;

/// Number of standard deviations of measurement noise that are tolerated.
const NOISE_MARGIN: f64 = 3.0;
/// Fraction of the tolerated excess at which balancing stops again.
const STOP_RATIO: f64 = 0.5;
/// Fraction of the mean by which a back end must be below it to receive slices
/// even when none is above the tolerated load. This is the case of a back end
/// that has just joined.
const JOINING_SHORTFALL: f64 = 0.5;
/// Fraction of its excess by which the busiest back end must be relieved when a
/// hot key moves to a back end that becomes busier than the one it leaves.
const MIN_RELIEF_RATIO: f64 = 0.25;
/// Minimum time over which rates count as averaged.
const MIN_WINDOW: Duration = Duration::from_secs(1);
/// Maximum number of candidate slices examined for each move.
const MAX_CANDIDATES: usize = 32;
/// Maximum number of donors tried when the busiest has nothing that may move.
const MAX_DONORS: usize = 3;
/// Minimum load of a slice that is worth a move, relative to that of a typical
/// slice.
const MIN_MOVE_LOAD_RATIO: f64 = 0.25;

/// Balancing state of one service.
#[derive(Clone, Debug, Default)]
pub(crate) struct BalanceState {
    /// Time at which the next check is due.
    pub next_check: Option<Timestamp>,
    /// Time since which the service has been out of balance, until balancing
    /// starts.
    out_of_balance_since: Option<Timestamp>,
    /// True if slices are being moved for balance.
    active: bool,
    /// Time of the first load report.
    measured_since: Option<Timestamp>,
    pub window: ChurnWindow,
}

impl ServiceState {
    /// Returns the ratio of the highest load of a receiver to the mean.
    pub(crate) fn imbalance(&self) -> Option<f64> {
        Loads::new(self, Duration::from_secs(1)).map(|loads| loads.ratio())
    }
}

/// Checks one service and proposes moves, splits or merges. Returns when to
/// check again if nothing else happens before.
pub(crate) fn check_balance(
    state: &mut ServiceState,
    context: &mut PlanContext<'_>,
) -> Option<Timestamp> {
    let soon = context.now + context.settings.check_interval;
    if !state.unowned.is_empty() || !state.ineligible_owners.is_empty() {
        return Some(soon);
    }
    if state.awaits_reports() {
        return Some(soon);
    }
    let loads = Loads::new(state, state.averaging_window(context))?;
    context.work.back_ends += loads.len() as u64;
    if should_balance(state, &loads, context) {
        rebalance(state, loads, context);
        return Some(soon);
    }
    if state.balance.out_of_balance_since.is_some() {
        return Some(soon);
    }
    merge_cold_fragments(state, &loads, context)
}

/// Returns whether to move slices now: the imbalance has lasted, or balancing
/// that began is not complete. An imbalance that noise alone can explain does
/// not count.
fn should_balance(state: &mut ServiceState, loads: &Loads, context: &PlanContext<'_>) -> bool {
    let noise = loads.noise * NOISE_MARGIN;
    let tolerated = state.tolerated_excess().max(noise);
    let excess = loads.ratio() - 1.0;
    let shortfall = loads.shortfall();
    let balance = &mut state.balance;
    if balance.active {
        balance.active = excess > tolerated * STOP_RATIO || shortfall > tolerated;
        return balance.active;
    }
    if excess <= tolerated && shortfall <= JOINING_SHORTFALL.max(noise) {
        balance.out_of_balance_since = None;
        return false;
    }
    let since = *balance.out_of_balance_since.get_or_insert(context.now);
    if context.now.since(since) >= context.settings.min_imbalance_time {
        balance.active = true;
        balance.out_of_balance_since = None;
    }
    balance.active
}

/// Moves slices until the service is in balance, the budget or the limit of
/// concurrent moves is used up, or no move helps.
fn rebalance(state: &mut ServiceState, mut loads: Loads, context: &mut PlanContext<'_>) {
    let tolerated = state.tolerated_excess();
    while context.remaining_actions > 0
        && state.moves_in_progress() < context.settings.max_balancing_moves
    {
        let filled = loads.shortfall() <= tolerated;
        let level = 1.0 + tolerated * STOP_RATIO;
        if loads.ratio() <= level && filled {
            return;
        }
        let floor = if filled {
            loads.mean * level
        } else {
            loads.mean
        };
        if !move_one(state, &mut loads, floor, context) {
            return;
        }
    }
}

/// Moves one slice from the busiest back end that has a suitable one. Returns
/// whether a move was proposed.
fn move_one(
    state: &mut ServiceState,
    loads: &mut Loads,
    floor: f64,
    context: &mut PlanContext<'_>,
) -> bool {
    let Some(to) = loads.least_loaded().cloned() else {
        return false;
    };
    let donors = loads.busiest_above(floor, MAX_DONORS);
    for from in donors.into_iter().filter(|donor| donor.id != to.id) {
        match choose_slice(state, loads, &from, &to, context) {
            Choice::Move(first) => {
                let Some(slice) = state.table.get(first) else {
                    return false;
                };
                let weight = slice.weight(first);
                state.begin_budgeted_move(first, &from.id, &to.id, context);
                loads.apply_move(&from.id, &to.id, weight);
                return true;
            }
            Choice::TooHot(first) => {
                if split_hot(state, first, context) {
                    return false;
                }
            }
            Choice::TooLarge(first) => {
                if split_large(state, first, context) {
                    return false;
                }
            }
            Choice::Nothing => {}
        }
    }
    false
}

/// Result of choosing a slice of a donor.
enum Choice {
    /// Moving this slice helps.
    Move(Point),
    /// This slice is too hot to be moved whole, but can be split.
    TooHot(Point),
    /// This slice is longer than the whole churn budget.
    TooLarge(Point),
    /// No slice may be moved now.
    Nothing,
}

/// Chooses the slice with the most load per key among those that fit.
///
/// A hot slice is split before anything else is moved, because a split moves no
/// key. Where a single key makes it hot, that key goes to a back end with much
/// less load, and otherwise the slices next to it are moved.
fn choose_slice(
    state: &mut ServiceState,
    loads: &Loads,
    from: &ReceiverLoad,
    to: &ReceiverLoad,
    context: &mut PlanContext<'_>,
) -> Choice {
    let budget = state.churn_budget();
    let remaining_churn = state.remaining_churn(context.now);
    let gap = from.load - to.load;
    let excess = (from.load - loads.mean).max(0.0);
    let typical_load = loads.mean / f64::from(state.policy.slices_per_back_end.max(1));
    let Some(allocation) = state.allocations.get(&from.id) else {
        return Choice::Nothing;
    };
    let mut fallback = Choice::Nothing;
    for first in allocation.densest_first().take(MAX_CANDIDATES) {
        context.work.slices += 1;
        let Some(slice) = state.table.get(first) else {
            continue;
        };
        if state.is_being_split_or_merged(first) || !slice.load.is_measured() {
            return Choice::Nothing;
        }
        if state.has_pending_change(first) {
            continue;
        }
        let load = loads.scale.load(slice.weight(first));
        if load / from.slots + load / to.slots > gap {
            if !slice.load.is_single_key() {
                return Choice::TooHot(first);
            }
            if load / to.slots > gap - excess * MIN_RELIEF_RATIO {
                continue;
            }
        }
        if slice.moved_within(context.settings.move_cooldown, context.now) {
            continue;
        }
        if load / from.slots < typical_load * MIN_MOVE_LOAD_RATIO {
            continue;
        }
        let size = length(slice.slice(first)) as f64;
        if size <= remaining_churn {
            return Choice::Move(first);
        }
        if size > budget && budget >= 1.0 && matches!(fallback, Choice::Nothing) {
            fallback = Choice::TooLarge(first);
        }
    }
    fallback
}

impl ServiceState {
    /// Records that a back end with slices reported its load.
    pub(crate) fn record_report(&mut self, back_end: &BackEndId, now: Timestamp) {
        self.balance.measured_since.get_or_insert(now);
        if let Some(allocation) = self.allocations.get_mut(back_end) {
            allocation.has_reported = true;
        }
    }

    /// Returns whether some owners have reported load and others have not yet,
    /// as after an election. The load of the latter is unknown, not zero.
    fn awaits_reports(&self) -> bool {
        let mut owners = self
            .receivers
            .keys()
            .filter_map(|id| self.allocations.get(id));
        self.table.total().rate > 0
            && owners.any(|allocation| allocation.count() > 0 && !allocation.has_reported)
    }

    /// Returns the time over which rates were averaged: twice the time constant
    /// of the exponential mean, but no more than the time since the first
    /// report.
    fn averaging_window(&self, context: &PlanContext<'_>) -> Duration {
        let since = self.balance.measured_since.unwrap_or(context.now);
        context
            .now
            .since(since)
            .clamp(MIN_WINDOW, context.settings.smoothing_time * 2)
    }

    /// Returns the tolerated excess of the highest load over the mean, relative
    /// to the mean.
    fn tolerated_excess(&self) -> f64 {
        (self.policy.tolerated_imbalance - 1.0).max(0.0)
    }

    /// Returns the number of handovers and pending proposals.
    fn moves_in_progress(&self) -> usize {
        self.moving.len() + self.pending.len()
    }
}
