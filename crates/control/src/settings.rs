//! Settings of the control core.

use std::time::Duration;

use threadledge_types::{GroupId, Timing};

/// Settings of one router's control core.
#[derive(Clone, Debug)]
pub struct ControlSettings {
    /// Group that decides ownership in this router's region.
    pub group: GroupId,
    /// Voters the group should have: 1, 3 or 5.
    pub group_size: usize,
    /// Durations shared by the deployment.
    pub timing: Timing,
    /// Time a router looks for a group before it asks the platform whether to
    /// found one.
    pub group_discovery_time: Duration,
    /// Children of each node in the spreading tree.
    pub fanout: usize,
    /// Seed of everything drawn at random in the core.
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
