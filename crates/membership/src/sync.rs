//! Comparing member tables by the hashes of their buckets.
//!
//! Gossip reaches nearly every router; this brings the rest, and everything to
//! a router that joins. An offer names the hashes of all buckets, so that one
//! exchange finds a difference wherever it is.

use std::time::Duration;

use threadledge_types::{RouterId, Timestamp};

use crate::membership::{Membership, Output};
use crate::message::{MemberDigest, MemberUpdate, Message, MessageBody};
use crate::table::BUCKETS;

/// Most members listed in one answer, unless a single bucket has more.
const MAX_DIGEST_ENTRIES: usize = 256;
/// Most identities in one answer; a later comparison brings more.
const MAX_SYNC_UPDATES: usize = 24;
/// Interval between comparisons while joining.
const JOIN_INTERVAL: Duration = Duration::from_millis(25);
/// How many comparisons are made at that pace.
const JOIN_COMPARISONS: u32 = 256;
/// Interval between comparisons while the table is known to lack members.
const REPAIR_INTERVAL: Duration = Duration::from_millis(250);

/// When tables are compared next.
#[derive(Debug)]
pub(crate) struct SyncRound {
    start: u8,
    next_at: Timestamp,
    /// The latest comparison, if answered, showed that nothing is lacking.
    complete: bool,
    /// Comparisons left at the pace of joining.
    quick_left: u32,
    /// Number of members when these were last allotted.
    allotted_at_count: usize,
}

impl SyncRound {
    pub(crate) fn new(now: Timestamp) -> Self {
        SyncRound {
            start: 0,
            next_at: now,
            complete: false,
            quick_left: JOIN_COMPARISONS,
            allotted_at_count: 1,
        }
    }

    pub(crate) fn next_at(&self) -> Timestamp {
        self.next_at
    }

    /// The bucket to start from, if it is time for a comparison.
    fn take_due(&mut self, now: Timestamp, interval: Duration) -> Option<u8> {
        if now < self.next_at {
            return None;
        }
        self.next_at = now + self.pace(interval);
        self.start = (self.start + 1) % BUCKETS;
        Some(self.start)
    }

    fn pace(&mut self, interval: Duration) -> Duration {
        if self.complete {
            return interval;
        }
        if self.quick_left == 0 {
            return REPAIR_INTERVAL.min(interval);
        }
        self.quick_left -= 1;
        JOIN_INTERVAL
    }

    /// Goes on at the pace of joining when the number of members has doubled:
    /// when many join at once, early comparisons are made between tables that
    /// both know little.
    fn note_count(&mut self, count: usize) {
        if count >= 2 * self.allotted_at_count {
            self.allotted_at_count = count;
            self.complete = false;
            self.quick_left = JOIN_COMPARISONS;
        }
    }

    /// Notes whether an answer named members that are lacking here.
    fn compared(&mut self, now: Timestamp, lacking: bool) {
        self.complete = !lacking;
        if lacking {
            self.next_at = self.next_at.min(now + REPAIR_INTERVAL);
        }
    }
}

impl Membership {
    /// Offers a comparison to a random member, if it is time.
    pub(crate) fn run_sync(&mut self, now: Timestamp, outputs: &mut Vec<Output>) {
        if self.table.roster().len() == 0 {
            return;
        }
        self.sync.note_count(self.table.living_count());
        let Some(start) = self.sync.take_due(now, self.settings.sync_interval) else {
            return;
        };
        let hashes = self.table.bucket_hashes();
        let partners = self.table.roster().sample(&mut self.random, 1, None);
        for partner in partners {
            let hashes = hashes.clone();
            self.send_to_member(partner, MessageBody::SyncOffer { start, hashes }, outputs);
        }
    }

    pub(crate) fn answer_offer(
        &mut self,
        from: &Message,
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
        self.reply(from, MessageBody::SyncDigest { buckets, entries }, outputs);
    }

    pub(crate) fn take_digest(
        &mut self,
        now: Timestamp,
        from: &Message,
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
        self.sync.compared(now, !ids.is_empty());
        ids.truncate(MAX_SYNC_UPDATES);
        updates.truncate(MAX_SYNC_UPDATES);
        if ids.is_empty() && updates.is_empty() {
            return;
        }
        let body = MessageBody::SyncWanted { ids };
        let (to, to_id) = (from.from.peer_address, Some(from.from.id));
        self.send_with(to, to_id, body, updates, outputs);
    }

    /// Sends what was asked for, and what is known better about the members
    /// that the message told of: those it takes for living and that are dead.
    pub(crate) fn answer_wanted(
        &mut self,
        from: &Message,
        ids: &[RouterId],
        told: &[RouterId],
        outputs: &mut Vec<Output>,
    ) {
        let dead = told.iter().filter(|id| {
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
        let (to, to_id) = (from.from.peer_address, Some(from.from.id));
        self.send_with(to, to_id, MessageBody::SyncUpdates, updates, outputs);
    }

    /// What a router that listed `entry` lacks about that member.
    fn update_if_newer(&self, entry: MemberDigest) -> Option<MemberUpdate> {
        let record = self.table.get(entry.id)?;
        let newer = record.is_dead() || record.member.refutation > entry.refutation;
        newer.then(|| self.current_update(entry.id)).flatten()
    }

    fn members_missing_in(&self, bucket: u8, entries: &[MemberDigest]) -> Vec<MemberUpdate> {
        let members = self.table.bucket_members(bucket);
        members
            .map(|record| record.member.identity.id)
            .filter(|id| !entries.iter().any(|entry| entry.id == *id))
            .filter_map(|id| self.current_update(id))
            .collect()
    }
}
