//! Settings of a consensus node.

use threadledge_types::{GroupId, Timing};

/// Default maximum number of entries in one append message.
const DEFAULT_MAX_BATCH_ENTRIES: usize = 256;
/// Default maximum number of unanswered append messages per follower.
const DEFAULT_MAX_IN_FLIGHT_BATCHES: usize = 16;
/// Default maximum number of entries that are proposed but not yet committed.
const DEFAULT_MAX_UNCOMMITTED_ENTRIES: usize = 4_096;
/// Default number of applied entries after which the log should be compacted.
const DEFAULT_COMPACTION_THRESHOLD: usize = 8_192;
/// Default number of entries before the snapshot that are kept for slow
/// followers.
const DEFAULT_RETAINED_ENTRIES: usize = 1_024;
/// Default time after which an unacknowledged snapshot is sent again, in
/// milliseconds.
const DEFAULT_SNAPSHOT_RETRY_MS: u64 = 2_000;

/// Multiple of the compaction threshold to which the log may grow before
/// proposals are refused. Bounds the log of an application that never compacts.
const MAX_LOG_THRESHOLDS: usize = 4;

/// Settings of a consensus node.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Group that the node belongs to. Messages of other groups are ignored.
    pub group: GroupId,
    /// Election, heartbeat and lease durations. Must be the same on every
    /// member.
    pub timing: Timing,
    /// Seed of the random election timeouts. Should differ between members.
    pub seed: u64,
    /// Maximum number of entries in one append message.
    pub max_batch_entries: usize,
    /// Maximum number of unanswered append messages per follower.
    pub max_in_flight_batches: usize,
    /// Maximum number of uncommitted entries; further proposals are refused.
    pub max_uncommitted_entries: usize,
    /// Number of entries applied since the last snapshot after which
    /// [`Ready::snapshot_wanted`] is set.
    ///
    /// [`Ready::snapshot_wanted`]: crate::Ready::snapshot_wanted
    pub compaction_threshold: usize,
    /// Number of entries before the snapshot that are kept, so that a follower
    /// that lags slightly does not need the whole snapshot.
    pub retained_entries: usize,
    /// Time after which an unacknowledged snapshot is sent again, in
    /// milliseconds.
    pub snapshot_retry_ms: u64,
}

impl Default for Settings {
    fn default() -> Self {
        Settings {
            group: GroupId::default(),
            timing: Timing::default(),
            seed: 0,
            max_batch_entries: DEFAULT_MAX_BATCH_ENTRIES,
            max_in_flight_batches: DEFAULT_MAX_IN_FLIGHT_BATCHES,
            max_uncommitted_entries: DEFAULT_MAX_UNCOMMITTED_ENTRIES,
            compaction_threshold: DEFAULT_COMPACTION_THRESHOLD,
            retained_entries: DEFAULT_RETAINED_ENTRIES,
            snapshot_retry_ms: DEFAULT_SNAPSHOT_RETRY_MS,
        }
    }
}

impl Settings {
    /// Maximum number of entries that the log holds, even if the application
    /// never compacts it.
    pub fn max_log_entries(&self) -> usize {
        let thresholds = self.compaction_threshold.max(1) * MAX_LOG_THRESHOLDS;
        thresholds + self.retained_entries + self.max_uncommitted_entries
    }
}
