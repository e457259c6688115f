//! Counters of the planner's own work.

/// Amount of work that the planner did. Tests use it to check that the cost
/// depends on the size of the change.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct WorkCounters {
    /// Services visited.
    pub services: u64,
    /// Back ends whose load was read or whose selection was evaluated.
    pub back_ends: u64,
    /// Slices read as candidates of an action.
    pub slices: u64,
}
