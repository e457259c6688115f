//! Anti-entropy: comparison of member tables by the hashes of their buckets.
//!
//! Gossip reaches nearly every router. The comparison transfers what gossip
//! missed, and the whole table to a router that joins. An offer contains the
//! hashes of all buckets, so one exchange finds any difference.

use std::time::Duration;

use threadledge_types::{RouterId, Timestamp};

use crate::membership::{Membership, Output};
use crate::message::{MemberDigest, MemberUpdate, Message, MessageBody};
use crate::table::BUCKETS;

/// Maximum number of members listed in one digest, unless a single bucket has
/// more.
const MAX_DIGEST_ENTRIES: usize = 256;
/// Maximum number of identities requested, and of updates sent with the
/// request. The answer holds up to twice as many updates; later comparisons
/// transfer the rest.
const MAX_SYNC_UPDATES: usize = 24;
/// Interval between comparisons while this router joins.
const JOIN_INTERVAL: Duration = Duration::from_millis(25);
/// Number of comparisons made at the join interval.
const JOIN_COMPARISONS: u32 = 256;
/// Interval between comparisons while the table is known to lack members.
const REPAIR_INTERVAL: Duration = Duration::from_millis(250);

/// Schedule of table comparisons.
#[derive(Debug)]
pub(crate) struct SyncSchedule {
    /// Bucket at which the last comparison started.
    start: u8,
    next_at: Timestamp,
    /// The latest answered comparison found no missing members.
    complete: bool,
    /// Number of comparisons left at the join interval.
    fast_rounds: u32,
    /// Member count when `fast_rounds` was last reset.
    baseline_count: usize,
}

impl SyncSchedule {
    pub(crate) fn new(now: Timestamp) -> Self {
        SyncSchedule {
            start: 0,
            next_at: now,
            complete: false,
            fast_rounds: JOIN_COMPARISONS,
            baseline_count: 1,
        }
    }

    pub(crate) fn next_at(&self) -> Timestamp {
        self.next_at
    }

    /// Returns the bucket to start from if a comparison is due, and schedules
    /// the next one.
    fn take_due(&mut self, now: Timestamp, interval: Duration) -> Option<u8> {
        if now < self.next_at {
            return None;
        }
        self.next_at = now + self.next_interval(interval);
        self.start = (self.start + 1) % BUCKETS;
        Some(self.start)
    }

    /// Returns the time until the next comparison and counts it.
    fn next_interval(&mut self, interval: Duration) -> Duration {
        if self.complete {
            return interval;
        }
        if self.fast_rounds == 0 {
            return REPAIR_INTERVAL.min(interval);
        }
        self.fast_rounds -= 1;
        JOIN_INTERVAL
    }

    /// Returns to the join interval when the member count has doubled. When
    /// many routers join at once, early comparisons are between tables that
    /// both know few members.
    fn on_member_count(&mut self, count: usize) {
        if count >= 2 * self.baseline_count {
            self.baseline_count = count;
            self.complete = false;
            self.fast_rounds = JOIN_COMPARISONS;
        }
    }

    /// Records whether an answer named members that are missing here.
    fn on_compared(&mut self, now: Timestamp, has_missing: bool) {
        self.complete = !has_missing;
        if has_missing {
            self.next_at = self.next_at.min(now + REPAIR_INTERVAL);
        }
    }
}

impl Membership {
    /// Offers a comparison to a random member if one is due.
    pub(crate) fn run_sync(&mut self, now: Timestamp, outputs: &mut Vec<Output>) {
        if self.table.live_peers().len() == 0 {
            return;
        }
        self.sync.on_member_count(self.table.living_count());
        let Some(start) = self.sync.take_due(now, self.settings.sync_interval) else {
            return;
        };
        let hashes = self.table.bucket_hashes();
        let partners = self.table.live_peers().sample(&mut self.rng, 1, None);
        for partner in partners {
            let hashes = hashes.clone();
            self.send_to_member(partner, MessageBody::SyncOffer { start, hashes }, outputs);
        }
    }

    /// Answers an offer with a digest of the buckets whose hashes differ.
    pub(crate) fn handle_sync_offer(
        &mut self,
        message: &Message,
        start: u8,
        hashes: &[u16],
        outputs: &mut Vec<Output>,
    ) {
        let own_hashes = self.table.bucket_hashes();
        let in_order = (0..BUCKETS).map(|offset| (start % BUCKETS + offset) % BUCKETS);
        let differing = in_order.filter(|bucket| {
            let index = usize::from(*bucket);
            hashes.get(index) != own_hashes.get(index)
        });
        let mut buckets = Vec::new();
        let mut entries: Vec<MemberDigest> = Vec::new();
        for bucket in differing {
            let listed = self
                .table
                .bucket_members(bucket)
                .map(|record| MemberDigest {
                    id: record.member.identity.id,
                    refutation: record.member.refutation,
                });
            let listed: Vec<MemberDigest> = listed.collect();
            if !buckets.is_empty() && entries.len() + listed.len() > MAX_DIGEST_ENTRIES {
                break;
            }
            buckets.push(bucket);
            entries.extend(listed);
        }
        self.reply(
            message,
            MessageBody::SyncDigest { buckets, entries },
            outputs,
        );
    }

    /// Requests members that are missing here and sends updates that the sender
    /// lacks.
    pub(crate) fn handle_sync_digest(
        &mut self,
        now: Timestamp,
        message: &Message,
        buckets: &[u8],
        entries: &[MemberDigest],
        outputs: &mut Vec<Output>,
    ) {
        let mut ids = Vec::new();
        let mut updates = Vec::new();
        for entry in entries {
            match self.table.get(entry.id) {
                None => ids.push(entry.id),
                Some(record) if record.member.refutation < entry.refutation => ids.push(entry.id),
                Some(_) => updates.extend(self.update_if_newer(*entry)),
            }
        }
        for bucket in buckets {
            updates.extend(self.members_missing_in(*bucket, entries));
        }
        self.sync.on_compared(now, !ids.is_empty());
        ids.truncate(MAX_SYNC_UPDATES);
        updates.truncate(MAX_SYNC_UPDATES);
        if ids.is_empty() && updates.is_empty() {
            return;
        }
        let body = MessageBody::SyncWanted { ids };
        let (to, to_id) = (message.from.peer_address, Some(message.from.id));
        self.send_with(to, to_id, body, updates, outputs);
    }

    /// Sends the requested members, and the dead ones among `subjects`, the
    /// members that the message listed as living.
    pub(crate) fn handle_sync_wanted(
        &mut self,
        message: &Message,
        ids: &[RouterId],
        subjects: &[RouterId],
        outputs: &mut Vec<Output>,
    ) {
        let dead = subjects.iter().filter(|id| {
            let record = self.table.get(**id);
            record.is_some_and(|record| record.is_dead())
        });
        let updates: Vec<MemberUpdate> = ids
            .iter()
            .chain(dead)
            .take(2 * MAX_SYNC_UPDATES)
            .filter_map(|id| self.current_update(*id))
            .collect();
        if updates.is_empty() {
            return;
        }
        let (to, to_id) = (message.from.peer_address, Some(message.from.id));
        self.send_with(to, to_id, MessageBody::SyncUpdates, updates, outputs);
    }

    /// Returns an update if this router knows more about a member than `entry`
    /// says.
    fn update_if_newer(&self, entry: MemberDigest) -> Option<MemberUpdate> {
        let record = self.table.get(entry.id)?;
        let newer = record.is_dead() || record.member.refutation > entry.refutation;
        newer.then(|| self.current_update(entry.id)).flatten()
    }

    /// Returns updates for the living members of a bucket that are not in
    /// `entries`.
    fn members_missing_in(&self, bucket: u8, entries: &[MemberDigest]) -> Vec<MemberUpdate> {
        let members = self.table.bucket_members(bucket);
        members
            .map(|record| record.member.identity.id)
            .filter(|id| !entries.iter().any(|entry| entry.id == *id))
            .filter_map(|id| self.current_update(id))
            .collect()
    }
}
