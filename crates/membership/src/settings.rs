//! Settings of failure detection.

use std::time::Duration;

/// Settings of failure detection. The defaults make a crashed router dead in
/// the eyes of all others about 2 s later, at 2,200 routers.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Interval at which this router probes one other.
    pub probe_interval: Duration,
    /// How long a probe waits for its answer before others are asked to probe
    /// as well; shorter than `probe_interval`.
    pub probe_timeout: Duration,
    /// How many others are asked to probe a router that did not answer.
    pub indirect_probes: usize,
    /// Least length of a suspicion in probe intervals, for each power of ten
    /// of the number of members and at least for two.
    pub suspicion_multiplier: f64,
    /// How many routers each round of gossip goes to.
    pub gossip_fanout: usize,
    /// Interval between rounds of gossip; a round without news sends nothing.
    pub gossip_interval: Duration,
    /// Most updates carried by one message.
    pub max_piggyback: usize,
    /// How many times an update is sent on, for each power of ten of the
    /// number of members.
    pub retransmit_multiplier: usize,
    /// Interval at which one part of the member table is compared with that
    /// of another router.
    pub sync_interval: Duration,
    /// A step that comes this much later than asked for is a pause of this
    /// router: what it missed says nothing about others.
    pub pause_threshold: Duration,
    /// How long a dead member is remembered.
    pub dead_retention: Duration,
    /// Most dead members remembered.
    pub max_dead_members: usize,
    /// Longest lag of the platform's machine list. A list counts as listing a
    /// router only when read this long after the router became known, so that
    /// an entry of an earlier machine of the same name is not taken for it.
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
