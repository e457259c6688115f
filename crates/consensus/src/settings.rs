//! Settings of one node.

use threadledge_types::{GroupId, Timing};

/// Default bound on the entries of one append message.
const DEFAULT_MAX_BATCH_ENTRIES: usize = 256;
/// Default bound on unanswered append messages to one follower.
const DEFAULT_MAX_IN_FLIGHT_BATCHES: usize = 16;
/// Default bound on entries that are proposed and not yet committed.
const DEFAULT_MAX_UNCOMMITTED_ENTRIES: usize = 4_096;
/// Default number of applied entries after which a snapshot is asked for.
const DEFAULT_COMPACTION_THRESHOLD: usize = 8_192;
/// Default number of entries kept before the snapshot for slow followers.
const DEFAULT_RETAINED_ENTRIES: usize = 1_024;
/// Default time after which an unanswered snapshot is sent again.
const DEFAULT_SNAPSHOT_RETRY_MS: u64 = 2_000;

/// How many compaction thresholds the log may grow to before proposals are
/// refused, for an application that does not compact.
const LOG_LIMIT_IN_THRESHOLDS: usize = 4;

/// Settings of one node.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Group whose log this is. Messages of other groups are ignored.
    pub group: GroupId,
    /// Election, heartbeat and lease durations; the same on every member.
    pub timing: Timing,
    /// Seed of the election timeouts; should differ between members.
    pub seed: u64,
    /// Most entries in one append message.
    pub max_batch_entries: usize,
    /// Most append messages to one follower that wait for an answer.
    pub max_in_flight_batches: usize,
    /// Most entries that wait for commit; further proposals are refused.
    pub max_uncommitted_entries: usize,
    /// Applied entries after which [`Ready::snapshot_wanted`] is set.
    ///
    /// [`Ready::snapshot_wanted`]: crate::Ready::snapshot_wanted
    pub compaction_threshold: usize,
    /// Entries kept before the snapshot, so that a follower which lags a
    /// little is not sent a whole snapshot.
    pub retained_entries: usize,
    /// Time after which an unanswered snapshot is sent again, in milliseconds.
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
    /// Most entries the log holds, whatever the application does.
    pub fn max_log_entries(&self) -> usize {
        let thresholds = self.compaction_threshold.max(1) * LOG_LIMIT_IN_THRESHOLDS;
        thresholds + self.retained_entries + self.max_uncommitted_entries
    }
}
