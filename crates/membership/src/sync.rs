//! Comparing member tables, one bucket at a time.

use std::time::Duration;

use threadledge_types::Timestamp;

use crate::membership::{Membership, Output};
use crate::message::{Digest, MemberUpdate, Message, MessageBody};
use crate::table::BUCKETS;
use threadledge_types::RouterId;

/// Most members listed in one comparison; the rest of a larger bucket is left
/// to gossip.
const MAX_DIGEST_ENTRIES: usize = 256;
/// Most identities in one answer; a later comparison brings more.
const MAX_SYNC_UPDATES: usize = 24;
/// Interval between comparisons after joining.
const JOIN_INTERVAL: Duration = Duration::from_millis(25);
/// How many comparisons are made at that pace: a few for each bucket.
const JOIN_COMPARISONS: u32 = 4 * BUCKETS as u32;
/// Interval between comparisons while some bucket is known to differ.
const REPAIR_INTERVAL: Duration = Duration::from_millis(250);

/// Which bucket is compared next.
#[derive(Debug)]
pub(crate) struct SyncRound {
    next_bucket: u8,
    /// Buckets not found equal since they were last found to differ.
    unsynced: u64,
    /// Comparisons left at the pace of joining.
    quick_left: u32,
    /// Number of members when all buckets were last marked.
    marked_at_count: usize,
    next_at: Timestamp,
}

impl SyncRound {
    pub(crate) fn new(now: Timestamp) -> Self {
        SyncRound {
            next_bucket: 0,
            unsynced: u64::MAX,
            quick_left: JOIN_COMPARISONS,
            marked_at_count: 1,
            next_at: now,
        }
    }

    pub(crate) fn next_at(&self) -> Timestamp {
        self.next_at
    }

    /// The bucket to compare now, if it is time.
    fn take_due(&mut self, now: Timestamp, interval: Duration) -> Option<u8> {
        if now < self.next_at {
            return None;
        }
        let repairing = self.unsynced != 0;
        self.next_at = now + self.pace(interval);
        while repairing && self.unsynced & (1 << self.next_bucket) == 0 {
            self.next_bucket = (self.next_bucket + 1) % BUCKETS;
        }
        let bucket = self.next_bucket;
        self.next_bucket = (bucket + 1) % BUCKETS;
        Some(bucket)
    }

    fn pace(&mut self, interval: Duration) -> Duration {
        if self.unsynced == 0 {
            return interval;
        }
        if self.quick_left == 0 {
            return REPAIR_INTERVAL.min(interval);
        }
        self.quick_left -= 1;
        JOIN_INTERVAL
    }

    /// Compares everything anew when the number of members has doubled: when
    /// many join at once, early comparisons are made between tables that both
    /// know little.
    fn note_count(&mut self, count: usize) {
        if count >= 2 * self.marked_at_count {
            self.marked_at_count = count;
            self.unsynced = u64::MAX;
            self.quick_left = JOIN_COMPARISONS;
        }
    }

    fn found_different(&mut self, bucket: u8) {
        self.unsynced |= 1 << (bucket % BUCKETS);
    }

    fn found_equal(&mut self, bucket: u8) {
        self.unsynced &= !(1 << (bucket % BUCKETS));
    }
}

impl Membership {
    /// Offers one bucket to a random member, if it is time.
    pub(crate) fn run_sync(&mut self, now: Timestamp, outputs: &mut Vec<Output>) {
        if self.table.roster().len() == 0 {
            return;
        }
        self.sync.note_count(self.table.living_count());
        let Some(bucket) = self.sync.take_due(now, self.settings.sync_interval) else {
            return;
        };
        let hash = self.table.bucket_hash(bucket);
        let partners = self.table.roster().sample(&mut self.random, 1, None);
        for partner in partners {
            self.send_to_member(partner, MessageBody::SyncOffer { bucket, hash }, outputs);
        }
    }

    pub(crate) fn answer_offer(
        &mut self,
        from: &Message,
        bucket: u8,
        hash: u64,
        outputs: &mut Vec<Output>,
    ) {
        let same = self.table.bucket_hash(bucket) == hash;
        let mut entries = Vec::new();
        if !same {
            let members = self.table.bucket_members(bucket);
            let digests = members.map(|record| Digest {
                id: record.member.identity.id,
                refutation: record.member.refutation,
            });
            entries.extend(digests.take(MAX_DIGEST_ENTRIES));
        }
        let body = MessageBody::SyncDigest {
            bucket,
            same,
            entries,
        };
        self.reply(from, body, outputs);
    }

    pub(crate) fn take_digest(
        &mut self,
        from: &Message,
        bucket: u8,
        same: bool,
        entries: &[Digest],
        outputs: &mut Vec<Output>,
    ) {
        if same {
            self.sync.found_equal(bucket);
            return;
        }
        let mut ids = Vec::new();
        let mut updates = Vec::new();
        for entry in entries {
            match self.table.get(entry.id) {
                None => ids.push(entry.id),
                Some(record) if record.member.refutation < entry.refutation => ids.push(entry.id),
                Some(_) => updates.extend(self.update_if_newer(*entry)),
            }
        }
        updates.extend(self.members_missing_in(bucket, entries));
        ids.truncate(MAX_SYNC_UPDATES);
        updates.truncate(MAX_SYNC_UPDATES);
        if ids.is_empty() {
            // Nothing to learn here; the other side learns the rest.
            self.sync.found_equal(bucket);
        } else {
            self.sync.found_different(bucket);
        }
        if ids.is_empty() && updates.is_empty() {
            return;
        }
        let body = MessageBody::SyncWanted { ids };
        let (to, to_id) = (from.from.peer_address, Some(from.from.id));
        self.send_with(to, to_id, body, updates, outputs);
    }

    pub(crate) fn answer_wanted(
        &mut self,
        from: &Message,
        ids: &[RouterId],
        outputs: &mut Vec<Output>,
    ) {
        let updates: Vec<MemberUpdate> = ids
            .iter()
            .take(MAX_SYNC_UPDATES)
            .filter_map(|id| self.current_update(*id))
            .collect();
        if updates.is_empty() {
            return;
        }
        let (to, to_id) = (from.from.peer_address, Some(from.from.id));
        self.send_with(to, to_id, MessageBody::SyncUpdates, updates, outputs);
    }

    /// What a router that listed `entry` lacks about that member.
    fn update_if_newer(&self, entry: Digest) -> Option<MemberUpdate> {
        let record = self.table.get(entry.id)?;
        let newer = record.is_dead() || record.member.refutation > entry.refutation;
        newer.then(|| self.current_update(entry.id)).flatten()
    }

    fn members_missing_in(&self, bucket: u8, entries: &[Digest]) -> Vec<MemberUpdate> {
        if entries.len() >= MAX_DIGEST_ENTRIES {
            // The list may be cut short.
            return Vec::new();
        }
        let members = self.table.bucket_members(bucket);
        members
            .map(|record| record.member.identity.id)
            .filter(|id| !entries.iter().any(|entry| entry.id == *id))
            .filter_map(|id| self.current_update(id))
            .collect()
    }
}
