//! Settings of the planner that are the same for every service.

use std::time::Duration;

/// Time constants and bounds. The settings that partners may choose for each
/// service are in [`threadledge_types::objects::PlacementPolicy`].
#[derive(Clone, Debug, PartialEq)]
pub struct PlannerSettings {
    /// Time for which a slice with a proposal is not planned again, unless its
    /// record changes first.
    pub proposal_timeout: Duration,
    /// Time constant of the exponential smoothing of reported rates.
    pub smoothing_time: Duration,
    /// Time after a change of a slice before its absence from a report counts
    /// as no load, because reports lag.
    pub report_lag: Duration,
    /// Time for which an imbalance must last before slices are moved.
    pub min_imbalance_time: Duration,
    /// Minimum interval between two balance checks of one service.
    pub check_interval: Duration,
    /// Time for which a slice that was taken from an owner is not moved again
    /// for balancing.
    pub move_cooldown: Duration,
    /// Age below which a session counts as cold.
    pub warm_up: Duration,
    /// Maximum number of concurrent moves away from one back end that may not
    /// keep its slices. For a back end with many slices the limit is a quarter
    /// of them, if that is more.
    pub max_evacuations_per_back_end: usize,
    /// Maximum number of concurrent moves in one service. Balancing begins no
    /// move beyond it.
    pub max_balancing_moves: usize,
    /// Time for which both of two adjacent slices must have been unchanged
    /// before they are merged.
    pub min_merge_age: Duration,
}

impl Default for PlannerSettings {
    fn default() -> Self {
        PlannerSettings {
            proposal_timeout: Duration::from_secs(3),
            smoothing_time: Duration::from_secs(10),
            report_lag: Duration::from_secs(3),
            min_imbalance_time: Duration::from_secs(5),
            check_interval: Duration::from_secs(1),
            move_cooldown: Duration::from_secs(30),
            warm_up: Duration::from_secs(10),
            max_evacuations_per_back_end: 32,
            max_balancing_moves: 8,
            min_merge_age: Duration::from_secs(60),
        }
    }
}
