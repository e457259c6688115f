//! Share of keys moved for balance within the last minute.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use threadledge_types::{BackEndId, Point, Timestamp};

use crate::evacuate::begin_move;
use crate::planner::Round;
use crate::service::ServiceState;
use crate::weight::{LINE_LENGTH, length};

/// Length of the window.
const WINDOW: Duration = Duration::from_secs(60);

/// Sliding window over the moves begun for balance.
#[derive(Clone, Debug, Default)]
pub(crate) struct ChurnWindow {
    moves: VecDeque<(Timestamp, u128)>,
    /// Points moved within the window.
    length: u128,
}

impl ChurnWindow {
    /// Notes a move of `length` points.
    pub(crate) fn spend(&mut self, now: Timestamp, length: u128) {
        self.moves.push_back((now, length));
        self.length += length;
    }

    /// Points moved within the window that ends now.
    pub(crate) fn spent(&mut self, now: Timestamp) -> u128 {
        while let Some((at, length)) = self.moves.front() {
            if now.since(*at) < WINDOW {
                break;
            }
            self.length -= length;
            self.moves.pop_front();
        }
        self.length
    }
}

impl ServiceState {
    /// Points that balance may move within a minute.
    pub(crate) fn churn_budget(&self) -> f64 {
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
}
