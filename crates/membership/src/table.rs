//! Member table with its indices.

use std::collections::{BTreeMap, BTreeSet};

use threadledge_types::{MachineName, RouterId, RouterIdentity, Timestamp};
use xxhash_rust::xxh3::xxh3_64;

use crate::member::{Member, MemberState};
use crate::message::{MemberDigest, RefutationNumber};
use crate::peer_set::PeerSet;
use crate::proof::DeathProof;

/// Number of buckets in which two tables are compared.
pub(crate) const BUCKETS: u8 = 64;

/// Member with the evidence about it.
#[derive(Debug)]
pub(crate) struct MemberRecord {
    pub(crate) member: Member,
    /// The router itself announced that it stops.
    pub(crate) announced_leaving: bool,
    /// The platform lists its machine as leaving.
    pub(crate) listed_leaving: bool,
    pub(crate) known_since: Timestamp,
    /// Latest version of the machine list that included its machine and was
    /// read at least `max_list_lag` after the router became known.
    pub(crate) listed_version: Option<u64>,
    pub(crate) proof: Option<DeathProof>,
    died_at: Option<Timestamp>,
}

impl MemberRecord {
    pub(crate) fn is_dead(&self) -> bool {
        self.member.state == MemberState::Dead
    }

    pub(crate) fn is_leaving(&self) -> bool {
        self.announced_leaving || self.listed_leaving
    }

    /// Returns whether a later process is proven to run on the same machine.
    pub(crate) fn is_superseded(&self) -> bool {
        matches!(self.proof, Some(DeathProof::LaterIncarnation { .. }))
    }
}

/// Living members of one bucket.
#[derive(Debug, Default)]
struct Bucket {
    ids: BTreeSet<RouterId>,
    /// XOR of the hashes of the members and their refutation numbers.
    hash: u64,
}

/// All known members, including this router. Dead members are limited in age
/// and number.
#[derive(Debug)]
pub(crate) struct MemberTable {
    own: RouterId,
    records: BTreeMap<RouterId, MemberRecord>,
    /// Latest router process known on each machine.
    by_machine: BTreeMap<MachineName, RouterId>,
    live_peers: PeerSet,
    dead: BTreeSet<(Timestamp, RouterId)>,
    buckets: Vec<Bucket>,
}

impl MemberTable {
    pub(crate) fn new(own: RouterIdentity, now: Timestamp) -> Self {
        let mut table = MemberTable {
            own: own.id,
            records: BTreeMap::new(),
            by_machine: BTreeMap::new(),
            live_peers: PeerSet::default(),
            dead: BTreeSet::new(),
            buckets: (0..BUCKETS).map(|_| Bucket::default()).collect(),
        };
        table.insert(now, own, RefutationNumber::default());
        table
    }

    pub(crate) fn get(&self, id: RouterId) -> Option<&MemberRecord> {
        self.records.get(&id)
    }

    /// Returns a record for changes that affect neither its refutation number
    /// nor whether it is dead; the indices depend on both.
    pub(crate) fn get_mut(&mut self, id: RouterId) -> Option<&mut MemberRecord> {
        self.records.get_mut(&id)
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = &MemberRecord> {
        self.records.values()
    }

    /// Returns the latest router process known on a machine.
    pub(crate) fn latest_on_machine(&self, machine: &MachineName) -> Option<&MemberRecord> {
        self.records.get(self.by_machine.get(machine)?)
    }

    /// Returns the routers other than this one that are not dead.
    pub(crate) fn live_peers(&self) -> &PeerSet {
        &self.live_peers
    }

    pub(crate) fn live_peers_mut(&mut self) -> &mut PeerSet {
        &mut self.live_peers
    }

    /// Returns the number of members that are not dead, including this router.
    pub(crate) fn living_count(&self) -> usize {
        self.live_peers.len() + 1
    }

    /// Adds a member as alive.
    pub(crate) fn insert(
        &mut self,
        now: Timestamp,
        identity: RouterIdentity,
        refutation: RefutationNumber,
    ) {
        let id = identity.id;
        self.by_machine.insert(identity.machine.clone(), id);
        let member = Member {
            identity,
            state: MemberState::Alive,
            refutation,
        };
        let record = MemberRecord {
            member,
            announced_leaving: false,
            listed_leaving: false,
            known_since: now,
            listed_version: None,
            proof: None,
            died_at: None,
        };
        self.records.insert(id, record);
        self.add_living(id, refutation);
    }

    /// Sets a higher refutation number of a member. A dead member becomes alive
    /// again.
    pub(crate) fn set_refutation(&mut self, id: RouterId, refutation: RefutationNumber) {
        let Some(record) = self.records.get_mut(&id) else {
            return;
        };
        let before = record.member.refutation;
        record.member.refutation = refutation;
        if let Some(died_at) = record.died_at.take() {
            record.member.state = MemberState::Alive;
            record.proof = None;
            self.dead.remove(&(died_at, id));
        } else {
            self.remove_living(id, before);
        }
        self.add_living(id, refutation);
    }

    /// Marks a member as dead.
    pub(crate) fn mark_dead(&mut self, now: Timestamp, id: RouterId, refutation: RefutationNumber) {
        let Some(record) = self.records.get_mut(&id) else {
            return;
        };
        if record.is_dead() {
            return;
        }
        let before = record.member.refutation;
        record.member.refutation = refutation;
        record.member.state = MemberState::Dead;
        record.died_at = Some(now);
        self.remove_living(id, before);
        self.dead.insert((now, id));
    }

    /// Removes members that died before `since`, and those that died first
    /// while there are more than `max_dead_members`.
    pub(crate) fn prune_dead(&mut self, since: Timestamp, max_dead_members: usize) {
        while let Some(&(died_at, id)) = self.dead.first() {
            if died_at >= since && self.dead.len() <= max_dead_members {
                return;
            }
            self.dead.pop_first();
            self.remove(id);
        }
    }

    /// Returns the dead member at position `number`, modulo their count, unless
    /// it was superseded. The member may in fact be alive.
    pub(crate) fn nth_dead(&self, number: usize) -> Option<&MemberRecord> {
        let index = number.checked_rem(self.dead.len())?;
        let (_, id) = self.dead.iter().nth(index)?;
        self.records
            .get(id)
            .filter(|record| !record.is_superseded())
    }

    /// Returns a 16-bit hash of each bucket over its living members and their
    /// refutation numbers. Two different buckets have equal hashes once in
    /// 65,536 cases, and not for long, because any change of the bucket changes
    /// both.
    pub(crate) fn bucket_hashes(&self) -> Vec<u16> {
        self.buckets
            .iter()
            .map(|bucket| bucket.hash as u16)
            .collect()
    }

    /// Iterates over the living members of a bucket.
    pub(crate) fn bucket_members(&self, bucket: u8) -> impl Iterator<Item = &MemberRecord> {
        let ids = self.buckets[usize::from(bucket % BUCKETS)].ids.iter();
        ids.filter_map(|id| self.records.get(id))
    }

    fn remove(&mut self, id: RouterId) {
        let Some(record) = self.records.remove(&id) else {
            return;
        };
        let machine = &record.member.identity.machine;
        if self.by_machine.get(machine) == Some(&id) {
            self.by_machine.remove(machine);
        }
    }

    /// Adds a member that is not dead to the indices of living members.
    fn add_living(&mut self, id: RouterId, refutation: RefutationNumber) {
        if id != self.own {
            self.live_peers.insert(id);
        }
        let bucket = &mut self.buckets[bucket_index(id)];
        bucket.ids.insert(id);
        bucket.hash ^= digest_hash(MemberDigest { id, refutation });
    }

    /// Removes a member from the indices of living members. `refutation` is the
    /// number with which it was added.
    fn remove_living(&mut self, id: RouterId, refutation: RefutationNumber) {
        self.live_peers.remove(id);
        let bucket = &mut self.buckets[bucket_index(id)];
        bucket.ids.remove(&id);
        bucket.hash ^= digest_hash(MemberDigest { id, refutation });
    }
}

fn bucket_index(id: RouterId) -> usize {
    let hash = xxh3_64(&id.0.to_be_bytes());
    (hash % u64::from(BUCKETS)) as usize
}

fn digest_hash(digest: MemberDigest) -> u64 {
    let mut bytes = [0; 12];
    bytes[..8].copy_from_slice(&digest.id.0.to_be_bytes());
    bytes[8..].copy_from_slice(&digest.refutation.0.to_be_bytes());
    xxh3_64(&bytes)
}
