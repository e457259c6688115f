//! The table of members with its indices.

use std::collections::{BTreeMap, BTreeSet};

use threadledge_types::{MachineName, RouterId, RouterIdentity, Timestamp};
use xxhash_rust::xxh3::xxh3_64;

use crate::member::{Member, MemberState};
use crate::message::{MemberDigest, RefutationNumber};
use crate::proof::DeathProof;
use crate::roster::Roster;

/// Number of parts in which two tables are compared.
pub(crate) const BUCKETS: u8 = 64;

/// A member and the evidence about it.
#[derive(Debug)]
pub(crate) struct Record {
    pub(crate) member: Member,
    /// The router itself said that it stops.
    pub(crate) announced_leaving: bool,
    /// The platform says that its machine goes.
    pub(crate) listed_leaving: bool,
    pub(crate) known_since: Timestamp,
    /// Version of the machine list that had its machine, read long enough
    /// after the router became known.
    pub(crate) listed: Option<u64>,
    pub(crate) proof: Option<DeathProof>,
    died_at: Option<Timestamp>,
}

impl Record {
    pub(crate) fn is_dead(&self) -> bool {
        self.member.state == MemberState::Dead
    }

    pub(crate) fn is_leaving(&self) -> bool {
        self.announced_leaving || self.listed_leaving
    }

    pub(crate) fn is_superseded(&self) -> bool {
        matches!(self.proof, Some(DeathProof::LaterIncarnation { .. }))
    }
}

/// The members of one of the parts.
#[derive(Debug, Default)]
struct Bucket {
    ids: BTreeSet<RouterId>,
    hash: u64,
}

/// Every member known, this router included. Dead ones are bounded in time
/// and number.
#[derive(Debug)]
pub(crate) struct MemberTable {
    own: RouterId,
    records: BTreeMap<RouterId, Record>,
    /// The latest life known on each machine.
    by_machine: BTreeMap<MachineName, RouterId>,
    roster: Roster,
    dead: BTreeSet<(Timestamp, RouterId)>,
    buckets: Vec<Bucket>,
}

impl MemberTable {
    pub(crate) fn new(own: RouterIdentity, now: Timestamp) -> Self {
        let mut table = MemberTable {
            own: own.id,
            records: BTreeMap::new(),
            by_machine: BTreeMap::new(),
            roster: Roster::default(),
            dead: BTreeSet::new(),
            buckets: (0..BUCKETS).map(|_| Bucket::default()).collect(),
        };
        table.insert(now, own, RefutationNumber::default());
        table
    }

    pub(crate) fn get(&self, id: RouterId) -> Option<&Record> {
        self.records.get(&id)
    }

    /// For changes that touch neither refutation nor death.
    pub(crate) fn get_mut(&mut self, id: RouterId) -> Option<&mut Record> {
        self.records.get_mut(&id)
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = &Record> {
        self.records.values()
    }

    /// The latest life known on a machine.
    pub(crate) fn on_machine(&self, machine: &MachineName) -> Option<&Record> {
        self.records.get(self.by_machine.get(machine)?)
    }

    /// The routers other than this one that are not dead.
    pub(crate) fn roster(&self) -> &Roster {
        &self.roster
    }

    pub(crate) fn roster_mut(&mut self) -> &mut Roster {
        &mut self.roster
    }

    /// Number of members that are not dead, this router included.
    pub(crate) fn living_count(&self) -> usize {
        self.roster.len() + 1
    }

    /// Adds a member that is alive.
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
        let record = Record {
            member,
            announced_leaving: false,
            listed_leaving: false,
            known_since: now,
            listed: None,
            proof: None,
            died_at: None,
        };
        self.records.insert(id, record);
        self.enter_living(id, refutation);
    }

    /// Raises a member's number; a dead member lives again.
    pub(crate) fn refute(&mut self, id: RouterId, refutation: RefutationNumber) {
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
            self.leave_living(id, before);
        }
        self.enter_living(id, refutation);
    }

    /// Marks a member as dead.
    pub(crate) fn bury(&mut self, now: Timestamp, id: RouterId, refutation: RefutationNumber) {
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
        self.leave_living(id, before);
        self.dead.insert((now, id));
    }

    /// Forgets members dead since before `since`, and the oldest ones beyond
    /// `max_dead_members`.
    pub(crate) fn forget_dead(&mut self, since: Timestamp, max_dead_members: usize) {
        while let Some(&(died_at, id)) = self.dead.first() {
            if died_at >= since && self.dead.len() <= max_dead_members {
                return;
            }
            self.dead.pop_first();
            self.forget(id);
        }
    }

    /// A dead member that may in truth live, the `number`th, counted around.
    pub(crate) fn dead_at(&self, number: usize) -> Option<&Record> {
        let index = number.checked_rem(self.dead.len())?;
        let (_, id) = self.dead.iter().nth(index)?;
        self.records
            .get(id)
            .filter(|record| !record.is_superseded())
    }

    /// Short hash of each bucket over its living members and their numbers.
    /// Two that differ agree by chance once in 65,536 times, and not for long,
    /// because any change of the bucket changes both.
    pub(crate) fn bucket_hashes(&self) -> Vec<u16> {
        self.buckets
            .iter()
            .map(|bucket| bucket.hash as u16)
            .collect()
    }

    /// The living members of a bucket.
    pub(crate) fn bucket_members(&self, bucket: u8) -> impl Iterator<Item = &Record> {
        let ids = self.buckets[usize::from(bucket % BUCKETS)].ids.iter();
        ids.filter_map(|id| self.records.get(id))
    }

    fn forget(&mut self, id: RouterId) {
        let Some(record) = self.records.remove(&id) else {
            return;
        };
        let machine = &record.member.identity.machine;
        if self.by_machine.get(machine) == Some(&id) {
            self.by_machine.remove(machine);
        }
    }

    fn enter_living(&mut self, id: RouterId, refutation: RefutationNumber) {
        if id != self.own {
            self.roster.insert(id);
        }
        let bucket = &mut self.buckets[bucket_of(id)];
        bucket.ids.insert(id);
        bucket.hash ^= digest_hash(MemberDigest { id, refutation });
    }

    fn leave_living(&mut self, id: RouterId, refutation: RefutationNumber) {
        self.roster.remove(id);
        let bucket = &mut self.buckets[bucket_of(id)];
        bucket.ids.remove(&id);
        bucket.hash ^= digest_hash(MemberDigest { id, refutation });
    }
}

fn bucket_of(id: RouterId) -> usize {
    let hash = xxh3_64(&id.0.to_be_bytes());
    (hash % u64::from(BUCKETS)) as usize
}

fn digest_hash(digest: MemberDigest) -> u64 {
    let mut bytes = [0; 12];
    bytes[..8].copy_from_slice(&digest.id.0.to_be_bytes());
    bytes[8..].copy_from_slice(&digest.refutation.0.to_be_bytes());
    xxh3_64(&bytes)
}
