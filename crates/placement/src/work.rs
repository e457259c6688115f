//! Counters of the planner's own work.

/// How much the planner looked at, so that tests can hold its cost to the
/// size of the change.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct WorkCounters {
    /// Services visited.
    pub services: u64,
    /// Back ends whose load was read or whose selection was evaluated.
    pub back_ends: u64,
    /// Slices read as candidates of an action.
    pub slices: u64,
}
