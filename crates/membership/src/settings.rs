//! Settings of failure detection.

use std::time::Duration;

/// Settings of failure detection. With the defaults and 2,200 routers, all
/// others consider a crashed router dead about 2 s after the crash.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Interval at which this router probes one other router.
    pub probe_interval: Duration,
    /// Time that a probe waits for an answer before other routers are asked for
    /// indirect probes. Shorter than `probe_interval`.
    pub probe_timeout: Duration,
    /// Number of routers asked to probe a router that did not answer.
    pub indirect_probes: usize,
    /// Minimum suspicion timeout in probe intervals per power of ten of the
    /// member count. At least two powers of ten are counted.
    pub suspicion_multiplier: f64,
    /// Number of routers to which each round of gossip is sent.
    pub gossip_fanout: usize,
    /// Interval between rounds of gossip. A round without updates sends
    /// nothing.
    pub gossip_interval: Duration,
    /// Maximum number of updates with an identity carried by one message.
    /// Updates that only name an id count a quarter.
    pub max_piggyback: usize,
    /// Number of times that an update is sent, per power of ten of the member
    /// count.
    pub retransmit_multiplier: usize,
    /// Interval at which the member table is compared with that of another
    /// router.
    pub sync_interval: Duration,
    /// If a step comes later than requested by more than this, this router was
    /// paused, and messages missed in between are no evidence against others.
    pub pause_threshold: Duration,
    /// Time for which a dead member is remembered.
    pub dead_retention: Duration,
    /// Maximum number of dead members remembered.
    pub max_dead_members: usize,
    /// Maximum lag of the platform's machine list. A list counts as evidence
    /// that a router is listed only if it was read at least this long after the
    /// router became known. Otherwise the entry could belong to an earlier
    /// machine with the same name.
    pub max_list_lag: Duration,
    /// Seed of all random choices.
    pub seed: u64,
}

impl Default for Settings {
    fn default() -> Self {
        Settings {
            probe_interval: Duration::from_millis(350),
            probe_timeout: Duration::from_millis(120),
            indirect_probes: 3,
            suspicion_multiplier: 0.7,
            gossip_fanout: 3,
            gossip_interval: Duration::from_millis(100),
            max_piggyback: 6,
            retransmit_multiplier: 3,
            sync_interval: Duration::from_secs(2),
            pause_threshold: Duration::from_millis(300),
            dead_retention: Duration::from_secs(3_600),
            max_dead_members: 4_096,
            max_list_lag: Duration::from_secs(60),
            seed: 0,
        }
    }
}
