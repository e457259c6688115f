//! Balance: when a service is out of balance, and which slices to move.
//!
//! Moves are bought sparingly. Imbalance must exceed the policy and the noise
//! of the measurement, and last; then the busiest back end gives the slice
//! that carries the most load for each key, within the churn budget.

use std::sync::Arc;
use std::time::Duration;

use threadledge_types::{BackEndId, Point, Timestamp};

use crate::budget::ChurnWindow;
use crate::evacuate::begin_move;
use crate::merge::merge_cold;
use crate::planner::Round;
use crate::service::ServiceState;
use crate::split::{split_hot, split_large};
use crate::weight::{Scale, Weight, length};

/// Standard deviations of measurement noise that are not acted on.
const NOISE_MARGIN: f64 = 3.0;
/// Part of the tolerated excess at which balancing stops again.
const STOP_PART: f64 = 0.5;
/// A back end below this part of the mean gets slices even when none is above
/// what is tolerated: it has just joined.
const NEARLY_EMPTY: f64 = 0.5;
/// Candidate slices read for each move.
const CANDIDATES_READ: usize = 32;
/// Donors tried when the busiest has nothing that may move.
const DONORS_TRIED: usize = 3;
/// Least part of the donor's excess that one move must take away.
const LEAST_GAIN: f64 = 1.0 / 64.0;
/// Number of points on the line.
const LINE_LENGTH: f64 = 18_446_744_073_709_551_616.0;

/// Balancing of one service.
#[derive(Clone, Debug, Default)]
pub(crate) struct BalanceState {
    /// When the next check is due.
    pub next_check: Option<Timestamp>,
    /// Since when it has been out of balance.
    exceeded_since: Option<Timestamp>,
    /// Whether slices are being moved for balance.
    active: bool,
    window: ChurnWindow,
}

/// Loads of the receivers, a slot, busiest first.
#[derive(Clone, Debug)]
pub(crate) struct Loads {
    pub scale: Scale,
    pub mean: f64,
    /// Standard deviation of one back end's measured load, relative to the
    /// mean.
    noise: f64,
    members: Vec<Load>,
}

/// Load of one receiver.
#[derive(Clone, Debug)]
pub(crate) struct Load {
    pub id: Arc<BackEndId>,
    pub slots: f64,
    /// Load a slot, once everything on its way has arrived.
    pub load: f64,
}

impl Loads {
    fn of(state: &ServiceState, smoothing: Duration) -> Option<Self> {
        let scale = state.scale();
        let mut sum = Weight::default();
        let mut slots = 0.0;
        let mut members = Vec::with_capacity(state.receivers.len());
        for (id, receiver) in &state.receivers {
            let holding = state.holdings.get(id);
            let weight = holding
                .map(|holding| holding.projected())
                .unwrap_or_default();
            sum += weight;
            slots += f64::from(receiver.slots);
            members.push(Load {
                id: Arc::clone(id),
                slots: f64::from(receiver.slots),
                load: scale.load(weight) / f64::from(receiver.slots),
            });
        }
        if members.is_empty() || sum.length == 0 {
            return None;
        }
        let mean = scale.load(sum) / slots;
        let back_end_mean = scale.load(sum) / members.len() as f64;
        let rate = sum.per_second() / members.len() as f64;
        let noise = (rate / (2.0 * smoothing.as_secs_f64())).sqrt() / back_end_mean;
        let mut loads = Loads {
            scale,
            mean,
            noise,
            members,
        };
        loads.sort();
        Some(loads)
    }

    fn sort(&mut self) {
        self.members.sort_by(|left, right| {
            right
                .load
                .total_cmp(&left.load)
                .then_with(|| left.id.cmp(&right.id))
        });
    }

    /// Ratio of the busiest to the mean.
    fn ratio(&self) -> f64 {
        self.members
            .first()
            .map_or(1.0, |busiest| busiest.load / self.mean)
    }

    fn idlest(&self) -> Option<&Load> {
        self.members.last()
    }

    /// Counts a move and sorts again.
    fn shift(&mut self, from: &BackEndId, to: &BackEndId, weight: Weight) {
        let load = self.scale.load(weight);
        for member in &mut self.members {
            if *member.id == *from {
                member.load -= load / member.slots;
            }
            if *member.id == *to {
                member.load += load / member.slots;
            }
        }
        self.sort();
    }
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
    let loads = Loads::of(state, round.settings.smoothing)?;
    round.work.back_ends += loads.members.len() as u64;
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
/// has not reached its end.
fn judge(state: &mut ServiceState, loads: &Loads, round: &Round<'_>) -> bool {
    let tolerated = (state.policy.tolerated_imbalance - 1.0).max(0.0);
    let noise = loads.noise * NOISE_MARGIN;
    let ratio = loads.ratio();
    let idlest = loads
        .idlest()
        .map_or(1.0, |idlest| idlest.load / loads.mean);
    let balance = &mut state.balance;
    if balance.active {
        let level = tolerated * STOP_PART + noise * STOP_PART;
        balance.active = ratio > 1.0 + level || idlest < 1.0 - tolerated - noise;
    } else {
        let exceeded = ratio > 1.0 + tolerated + noise || idlest < NEARLY_EMPTY - noise;
        if !exceeded {
            balance.exceeded_since = None;
            return false;
        }
        let since = *balance.exceeded_since.get_or_insert(round.now);
        balance.active = round.now.since(since) >= round.settings.sustain;
    }
    if balance.active {
        balance.exceeded_since = None;
    }
    balance.active
}

/// Moves slices until the service is in balance, the budget or the number of
/// moves at once is used up, or nothing helps.
fn improve(state: &mut ServiceState, mut loads: Loads, round: &mut Round<'_>) {
    let tolerated = (state.policy.tolerated_imbalance - 1.0).max(0.0);
    let stop = loads.mean * (1.0 + tolerated * STOP_PART);
    while round.room > 0 && state.moves_in_progress() < round.settings.balancing_moves {
        let idle_enough = loads
            .idlest()
            .is_none_or(|idlest| idlest.load >= loads.mean * (1.0 - tolerated));
        let balanced = loads.ratio() <= 1.0 + tolerated * STOP_PART;
        if balanced && idle_enough {
            return;
        }
        let floor = if idle_enough { stop } else { loads.mean };
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
    let donors: Vec<Load> = loads
        .members
        .iter()
        .take(DONORS_TRIED)
        .filter(|donor| donor.load > floor && donor.id != to.id)
        .cloned()
        .collect();
    for from in donors {
        match choose(state, loads, &from, &to, round) {
            Choice::Move(first) => {
                let Some(slice) = state.table.get(first) else {
                    return false;
                };
                let weight = slice.weight(first);
                state.balance.window.spend(round.now, weight.length);
                begin_move(state, first, &from.id, &to.id, round);
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
    /// This slice is too hot to be moved whole.
    TooHeavy(Point),
    /// This slice has more keys than the whole budget.
    TooLarge(Point),
    /// Nothing that may move now.
    Nothing,
}

/// The slice with the most load for each key among those that fit.
fn choose(
    state: &mut ServiceState,
    loads: &Loads,
    from: &Load,
    to: &Load,
    round: &mut Round<'_>,
) -> Choice {
    let budget = state.policy.churn_budget_per_minute.clamp(0.0, 1.0) * LINE_LENGTH;
    let left = budget - state.balance.window.spent(round.now) as f64;
    let gap = from.load - to.load;
    let excess = (from.load - loads.mean).max(0.0);
    let Some(holding) = state.holdings.get(&from.id) else {
        return Choice::Nothing;
    };
    let mut otherwise = Choice::Nothing;
    for first in holding.densest_first().take(CANDIDATES_READ) {
        round.work.slices += 1;
        let Some(slice) = state.table.get(first) else {
            continue;
        };
        if state.is_busy(first) {
            continue;
        }
        let weight = slice.weight(first);
        let load = loads.scale.load(weight);
        if load / from.slots + load / to.slots > gap {
            if matches!(otherwise, Choice::Nothing) {
                otherwise = Choice::TooHeavy(first);
            }
            continue;
        }
        let moved = slice.moved_at > Timestamp::ZERO;
        if moved && round.now.since(slice.moved_at) < round.settings.settle {
            continue;
        }
        if load / from.slots < excess * LEAST_GAIN {
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
    /// Handovers proposed or going on.
    fn moves_in_progress(&self) -> usize {
        self.moving.len() + self.pending.len()
    }
}
