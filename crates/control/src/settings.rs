//! Settings of the control plane.

use std::time::Duration;

use threadledge_types::{GroupId, Timing};

/// Settings of one router's control plane.
#[derive(Clone, Debug)]
pub struct ControlSettings {
    /// Consensus group that decides ownership in this router's region.
    pub group: GroupId,
    /// Target number of voters in the group: 1, 3 or 5.
    pub group_size: usize,
    /// Timing shared by the whole deployment.
    pub timing: Timing,
    /// Time for which a starting router looks for an existing group before it
    /// asks the platform whether to bootstrap one.
    pub group_discovery_time: Duration,
    /// Number of children of each node in the tree that spreads records.
    pub fanout: usize,
    /// Seed for all random choices in the control plane.
    pub seed: u64,
}

impl Default for ControlSettings {
    fn default() -> Self {
        ControlSettings {
            group: GroupId(0),
            group_size: 3,
            timing: Timing::default(),
            group_discovery_time: Duration::from_millis(600),
            fanout: 12,
            seed: 0,
        }
    }
}
