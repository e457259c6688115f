//! Metrics of a run: outages of probed keys, moved keys and messages.

use std::collections::BTreeMap;
use std::time::Duration;

use threadledge_types::records::{RecordChange, RecordDelta, SliceKey};
use threadledge_types::{BackEndId, GroupId, Point, Revision, ServiceId, Timestamp};

/// A period in which a probed key could not be served.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Outage {
    /// Service of the key.
    pub service: ServiceId,
    /// Point of the key.
    pub point: Point,
    /// Time of the first failed probe.
    pub from: Timestamp,
    /// Time of the next successful probe, if there was one.
    pub until: Option<Timestamp>,
}

impl Outage {
    /// Returns the duration of the outage, up to `now` if it has not ended.
    pub fn duration(&self, now: Timestamp) -> Duration {
        self.until.unwrap_or(now).since(self.from)
    }
}

/// Number of messages and bytes of one kind.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Traffic {
    /// Number of messages.
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

/// Kinds of messages that are counted separately.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum MessageKind {
    /// Replication of the log.
    Consensus,
    /// Failure detection.
    Membership,
    /// Distribution of records.
    Spread,
    /// Leases of back ends.
    Lease,
    /// Reads of the machine list.
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

/// Metrics of one run.
#[derive(Debug, Default)]
pub struct Metrics {
    outages: Vec<Outage>,
    /// Outages that have not ended: index in `outages`, by number of the probe.
    open_outages: BTreeMap<usize, usize>,
    probes: u64,
    failed_probes: u64,
    last_owner: BTreeMap<SliceKey, LastOwner>,
    /// Latest revision of each group that was evaluated.
    seen_revisions: BTreeMap<GroupId, Revision>,
    moved_share: BTreeMap<ServiceId, f64>,
    sent: BTreeMap<MessageKind, Traffic>,
    times_in_force: Vec<Duration>,
}

/// The back end that last owned a slice.
#[derive(Debug)]
struct LastOwner {
    back_end: BackEndId,
    /// Share of the service's keys that the slice holds.
    share: f64,
}

impl Metrics {
    /// All outages of probed keys.
    pub fn outages(&self) -> &[Outage] {
        &self.outages
    }

    /// Duration of the longest outage so far.
    pub fn longest_outage(&self, now: Timestamp) -> Duration {
        let durations = self.outages.iter().map(|outage| outage.duration(now));
        durations.max().unwrap_or_default()
    }

    /// Number of probed keys that cannot be served at the moment.
    pub fn failing_probes(&self) -> usize {
        self.open_outages.len()
    }

    /// Share of keys that changed owner, summed over all services.
    pub fn total_moved_share(&self) -> f64 {
        self.moved_share.values().sum()
    }

    /// Share of keys that a back end owned last, summed over all services.
    pub fn share_owned_by(&self, back_end: &BackEndId) -> f64 {
        let owned = self.last_owner.values();
        let owned = owned.filter(|owner| owner.back_end == *back_end);
        owned.map(|owner| owner.share).sum()
    }

    /// Number of probes made and number of probes that failed.
    pub fn probes(&self) -> (u64, u64) {
        (self.probes, self.failed_probes)
    }

    /// Share of a service's keys that changed owner; above 1 if keys moved more
    /// than once.
    pub fn moved_share(&self, service: &ServiceId) -> f64 {
        self.moved_share.get(service).copied().unwrap_or(0.0)
    }

    /// Returns, for each edit that came into force, the time from the
    /// operator's write until it was in force on every router that accepts
    /// requests.
    pub fn times_in_force(&self) -> &[Duration] {
        &self.times_in_force
    }

    /// Records the time until an edit was in force everywhere.
    pub(crate) fn record_time_in_force(&mut self, after: Duration) {
        self.times_in_force.push(after);
    }

    /// Messages sent, by kind.
    pub fn sent(&self) -> &BTreeMap<MessageKind, Traffic> {
        &self.sent
    }

    /// Resets outages, moves and message counts, but keeps the last owners.
    pub fn reset(&mut self) {
        let last_owner = std::mem::take(&mut self.last_owner);
        *self = Metrics {
            last_owner,
            seen_revisions: std::mem::take(&mut self.seen_revisions),
            ..Default::default()
        };
    }

    /// Counts one message.
    pub fn count_message(&mut self, kind: MessageKind, bytes: u64) {
        self.sent.entry(kind).or_default().add(bytes);
    }

    /// Records the result of one probe.
    pub fn record_probe(
        &mut self,
        now: Timestamp,
        (probe, service, point): (usize, &ServiceId, Point),
        served: bool,
    ) {
        self.probes += 1;
        if served {
            if !self.open_outages.is_empty()
                && let Some(number) = self.open_outages.remove(&probe)
            {
                self.outages[number].until = Some(now);
            }
            return;
        }
        self.failed_probes += 1;
        if !self.open_outages.contains_key(&probe) {
            self.open_outages.insert(probe, self.outages.len());
            self.outages.push(Outage {
                service: service.clone(),
                point,
                from: now,
                until: None,
            });
        }
    }

    /// Tracks owners from the records that routers receive. Each revision is
    /// evaluated once, at the first router that receives it.
    pub fn record_owners(&mut self, delta: &RecordDelta) {
        let seen = self.seen_revisions.entry(delta.group).or_default();
        if delta.to <= *seen {
            return;
        }
        *seen = delta.to;
        for change in &delta.changes {
            match change {
                RecordChange::Slice(record) => {
                    let owner = record.owner.as_ref().map(|session| &session.back_end);
                    self.record_owner(record.key(), owner, record.slice.share());
                }
                RecordChange::SliceRemoved(key) => {
                    self.last_owner.remove(key);
                }
                _ => {}
            }
        }
    }

    fn record_owner(&mut self, key: SliceKey, owner: Option<&BackEndId>, share: f64) {
        let Some(owner) = owner else { return };
        let now = LastOwner {
            back_end: owner.clone(),
            share,
        };
        let last = match self.last_owner.insert(key.clone(), now) {
            Some(last) => Some(last.back_end),
            // A slice that was split off had the owner of the slice that
            // contained it.
            None => self.preceding_owner(&key),
        };
        if last.is_some_and(|last| last != *owner) {
            *self.moved_share.entry(key.service).or_default() += share;
        }
    }

    fn preceding_owner(&self, key: &SliceKey) -> Option<BackEndId> {
        let (neighbour, owner) = self.last_owner.range(..key).next_back()?;
        (neighbour.service == key.service).then(|| owner.back_end.clone())
    }
}
