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
use crate::weight::{LINE_LENGTH, Scale, Weight, length};

/// Standard deviations of measurement noise that are not acted on.
const NOISE_MARGIN: f64 = 3.0;
/// Part of the tolerated excess at which balancing stops again.
const STOP_PART: f64 = 0.5;
/// A back end that falls short of the mean by this part gets slices even when
/// none is above what is tolerated: it has just joined.
const NEARLY_EMPTY: f64 = 0.5;
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

    /// By how much the idlest stays below the mean, relative to it.
    fn shortfall(&self) -> f64 {
        self.idlest()
            .map_or(0.0, |idlest| 1.0 - idlest.load / self.mean)
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
    if round.now.since(since) >= round.settings.sustain {
        balance.active = true;
        balance.exceeded_since = None;
    }
    balance.active
}

/// Moves slices until the service is in balance, the budget or the number of
/// moves at once is used up, or nothing helps.
fn improve(state: &mut ServiceState, mut loads: Loads, round: &mut Round<'_>) {
    let tolerated = state.tolerated_excess();
    while round.room > 0 && state.moves_in_progress() < round.settings.balancing_moves {
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
/// moves no key; only where one key makes it hot do its neighbours move.
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
            continue;
        }
        if slice.moved_within(round.settings.settle, round.now) {
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
    /// Tolerated excess of the busiest over the mean, relative to it.
    fn tolerated_excess(&self) -> f64 {
        (self.policy.tolerated_imbalance - 1.0).max(0.0)
    }

    /// Points that balance may move within a minute.
    fn churn_budget(&self) -> f64 {
        self.policy.churn_budget_per_minute.clamp(0.0, 1.0) * LINE_LENGTH
    }

    /// Points that balance may still move now.
    pub(crate) fn churn_left(&mut self, now: Timestamp) -> f64 {
        self.churn_budget() - self.balance.window.spent(now) as f64
    }

    /// Begins a move for balance and takes it out of the budget.
    pub(crate) fn spend_move(
        &mut self,
        first: Point,
        from: &Arc<BackEndId>,
        to: &Arc<BackEndId>,
        round: &mut Round<'_>,
    ) {
        if let Some(slice) = self.slice(first) {
            self.balance.window.spend(round.now, length(slice));
            begin_move(self, first, from, to, round);
        }
    }

    /// Handovers proposed or going on.
    fn moves_in_progress(&self) -> usize {
        self.moving.len() + self.pending.len()
    }
}
