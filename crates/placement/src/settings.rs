//! Settings of the planner that are the same for every service.

use std::time::Duration;

/// Time constants and bounds. What partners may set for each service is in
/// [`threadledge_types::objects::PlacementPolicy`].
#[derive(Clone, Debug, PartialEq)]
pub struct PlannerSettings {
    /// A slice with a proposal is left alone for this long, unless its record
    /// changes first.
    pub proposal_timeout: Duration,
    /// Time constant of the smoothing of reported rates.
    pub smoothing_time: Duration,
    /// A reported absence of load counts only this long after a slice changed
    /// hands, because reports lag.
    pub report_lag: Duration,
    /// Imbalance must last this long before slices move for it.
    pub min_imbalance_time: Duration,
    /// Shortest interval between two balance checks of one service.
    pub check_interval: Duration,
    /// A slice that was taken from an owner is not moved for balance for this
    /// long.
    pub move_cooldown: Duration,
    /// A session younger than this counts as cold.
    pub warm_up: Duration,
    /// Moves that may run at once away from one back end that is leaving; for
    /// back ends with many slices a quarter of these, if that is more.
    pub max_evacuations_per_back_end: usize,
    /// Moves that may run at once in one service for balance.
    pub max_balancing_moves: usize,
    /// Neighbouring slices are merged only when both have been unchanged for
    /// this long.
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
