//! Churn budget: the share of keys that balancing may move within a minute.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use threadledge_types::{BackEndId, Point, Timestamp};

use crate::evacuate::begin_move;
use crate::planner::PlanContext;
use crate::service::ServiceState;
use crate::weight::{KEY_SPACE_SIZE, length};

/// Length of the sliding window.
const WINDOW: Duration = Duration::from_secs(60);

/// Sliding window over the moves begun for balancing.
#[derive(Clone, Debug, Default)]
pub(crate) struct ChurnWindow {
    moves: VecDeque<(Timestamp, u128)>,
    /// Points moved within the window.
    length: u128,
}

impl ChurnWindow {
    /// Records a move of `length` points.
    pub(crate) fn record(&mut self, now: Timestamp, length: u128) {
        self.moves.push_back((now, length));
        self.length += length;
    }

    /// Returns the number of points moved within the window that ends now.
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
    /// Returns the number of points that balancing may move within a minute.
    pub(crate) fn churn_budget(&self) -> f64 {
        self.policy.churn_budget_per_minute.clamp(0.0, 1.0) * KEY_SPACE_SIZE
    }

    /// Returns the number of points that balancing may still move now.
    pub(crate) fn remaining_churn(&mut self, now: Timestamp) -> f64 {
        self.churn_budget() - self.balance.window.spent(now) as f64
    }

    /// Begins a move for balancing and charges it to the budget.
    pub(crate) fn begin_budgeted_move(
        &mut self,
        first: Point,
        from: &Arc<BackEndId>,
        to: &Arc<BackEndId>,
        context: &mut PlanContext<'_>,
    ) {
        if let Some(slice) = self.slice(first) {
            self.balance.window.record(context.now, length(slice));
            begin_move(self, first, from, to, context);
        }
    }
}
