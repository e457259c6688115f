//! What a run measures: outages of probed keys, moved keys, messages.

use std::collections::BTreeMap;
use std::time::Duration;

use threadledge_types::records::{RecordChange, RecordDelta, SliceKey};
use threadledge_types::{BackEndId, GroupId, Point, Revision, ServiceId, Timestamp};

/// A stretch of time in which a probed key could not be served.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Outage {
    /// Service of the key.
    pub service: ServiceId,
    /// Point of the key.
    pub point: Point,
    /// When the first probe failed.
    pub from: Timestamp,
    /// When a probe succeeded again, if one did.
    pub until: Option<Timestamp>,
}

impl Outage {
    /// How long it lasted, up to `now` if it goes on.
    pub fn length(&self, now: Timestamp) -> Duration {
        self.until.unwrap_or(now).since(self.from)
    }
}

/// Messages and bytes of one kind.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Traffic {
    /// Messages.
    pub messages: u64,
    /// Bytes as JSON over HTTP/1.1.
    pub bytes: u64,
}

impl Traffic {
    /// Adds one message.
    pub fn add(&mut self, bytes: u64) {
        self.messages += 1;
        self.bytes += bytes;
    }
}

/// Kinds of messages that are counted apart.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum MessageKind {
    /// Replication of the log.
    Consensus,
    /// Failure detection.
    Membership,
    /// Copies of records.
    Spread,
    /// Leases of back ends.
    Lease,
    /// Readings of the machine list.
    Machines,
}

impl MessageKind {
    /// All kinds.
    pub const ALL: [MessageKind; 5] = [
        MessageKind::Consensus,
        MessageKind::Membership,
        MessageKind::Spread,
        MessageKind::Lease,
        MessageKind::Machines,
    ];
}

impl std::fmt::Display for MessageKind {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str(match self {
            MessageKind::Consensus => "consensus",
            MessageKind::Membership => "membership",
            MessageKind::Spread => "spread",
            MessageKind::Lease => "lease",
            MessageKind::Machines => "machines",
        })
    }
}

/// Figures of one run.
#[derive(Debug, Default)]
pub struct Measures {
    outages: Vec<Outage>,
    failing: BTreeMap<usize, usize>,
    probes: u64,
    failed_probes: u64,
    last_owner: BTreeMap<SliceKey, LastOwner>,
    seen: BTreeMap<GroupId, Revision>,
    moved_share: BTreeMap<ServiceId, f64>,
    sent: BTreeMap<MessageKind, Traffic>,
    in_force: Vec<Duration>,
}

/// The server that owned a slice last.
#[derive(Debug)]
struct LastOwner {
    back_end: BackEndId,
    /// Share of the service's keys.
    share: f64,
}

impl Measures {
    /// All outages of probed keys.
    pub fn outages(&self) -> &[Outage] {
        &self.outages
    }

    /// Longest outage so far.
    pub fn longest_outage(&self, now: Timestamp) -> Duration {
        let lengths = self.outages.iter().map(|outage| outage.length(now));
        lengths.max().unwrap_or_default()
    }

    /// Probed keys that cannot be served at the moment.
    pub fn failing(&self) -> usize {
        self.failing.len()
    }

    /// Sum over all services of the share of keys that changed owner.
    pub fn moved_shares(&self) -> f64 {
        self.moved_share.values().sum()
    }

    /// Sum over all services of the share of keys that a back end had last.
    pub fn share_of(&self, back_end: &BackEndId) -> f64 {
        let owned = self.last_owner.values();
        let owned = owned.filter(|owner| owner.back_end == *back_end);
        owned.map(|owner| owner.share).sum()
    }

    /// Probes made and probes failed.
    pub fn probes(&self) -> (u64, u64) {
        (self.probes, self.failed_probes)
    }

    /// Share of a service's keys that changed owner; above 1 when keys moved
    /// more than once.
    pub fn moved_share(&self, service: &ServiceId) -> f64 {
        self.moved_share.get(service).copied().unwrap_or(0.0)
    }

    /// For each edit that came in force, how long it took from the operator's
    /// write until every router that takes requests had it.
    pub fn times_in_force(&self) -> &[Duration] {
        &self.in_force
    }

    /// An edit came in force everywhere after this time.
    pub(crate) fn in_force(&mut self, after: Duration) {
        self.in_force.push(after);
    }

    /// Messages sent, by kind.
    pub fn sent(&self) -> &BTreeMap<MessageKind, Traffic> {
        &self.sent
    }

    /// Forgets outages, moves and messages so far, but not who owns what.
    pub fn reset(&mut self) {
        let last_owner = std::mem::take(&mut self.last_owner);
        *self = Measures {
            last_owner,
            seen: std::mem::take(&mut self.seen),
            ..Default::default()
        };
    }

    /// Counts one message.
    pub fn count(&mut self, kind: MessageKind, bytes: u64) {
        self.sent.entry(kind).or_default().add(bytes);
    }

    /// One probe's finding.
    pub fn probe(
        &mut self,
        now: Timestamp,
        (probe, service, point): (usize, &ServiceId, Point),
        served: bool,
    ) {
        self.probes += 1;
        if served {
            if !self.failing.is_empty()
                && let Some(number) = self.failing.remove(&probe)
            {
                self.outages[number].until = Some(now);
            }
            return;
        }
        self.failed_probes += 1;
        if !self.failing.contains_key(&probe) {
            self.failing.insert(probe, self.outages.len());
            self.outages.push(Outage {
                service: service.clone(),
                point,
                from: now,
                until: None,
            });
        }
    }

    /// Follows owners by the records that routers receive. Every revision is
    /// looked at once, whichever router receives it first.
    pub fn follow(&mut self, delta: &RecordDelta) {
        let seen = self.seen.entry(delta.group).or_default();
        if delta.to <= *seen {
            return;
        }
        *seen = delta.to;
        for change in &delta.changes {
            match change {
                RecordChange::Slice(record) => {
                    let owner = record.owner.as_ref().map(|session| &session.back_end);
                    self.follow_owner(record.key(), owner, record.slice.share());
                }
                RecordChange::SliceRemoved(key) => {
                    self.last_owner.remove(key);
                }
                _ => {}
            }
        }
    }

    fn follow_owner(&mut self, key: SliceKey, owner: Option<&BackEndId>, share: f64) {
        let Some(owner) = owner else { return };
        let now = LastOwner {
            back_end: owner.clone(),
            share,
        };
        let last = match self.last_owner.insert(key.clone(), now) {
            Some(last) => Some(last.back_end),
            // A slice that was split off had the owner of the one it was in.
            None => self.owner_before(&key),
        };
        if last.is_some_and(|last| last != *owner) {
            *self.moved_share.entry(key.service).or_default() += share;
        }
    }

    fn owner_before(&self, key: &SliceKey) -> Option<BackEndId> {
        let (neighbour, owner) = self.last_owner.range(..key).next_back()?;
        (neighbour.service == key.service).then(|| owner.back_end.clone())
    }
}
