//! Table of all requests under suspicion at one gateway.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use threadledge_types::Timestamp;
use threadledge_types::deployment::BackEndName;

use crate::identity::{RequestHash, RequestIdentity};
use crate::recent::RecentSuccesses;
use crate::signed_timestamp::SignedTimestamp;
use crate::suspect::Suspect;

/// Maximum number of remembered requests, at about 500 bytes each. Requests
/// that are not held are evicted first, starting with the one last suspected
/// longest ago.
pub const MAX_SUSPECTS: usize = 512;
/// How long a request that is not held stays under suspicion.
const SUSPICION_PERIOD: Duration = Duration::from_secs(600);
/// Maximum number of remembered processes whose crash was withdrawn.
const MAX_WITHDRAWN: usize = 256;

/// Number of requests with more than one crash up to which those that are not
/// held are persisted too. More at once mean that many back ends crash together
/// under whatever they run, and each request would cost a write.
const MAX_REPEATED_PERSISTED: usize = 8;
/// Most held requests while changes of each are sent without delay.
const MAX_URGENT_HELD: usize = 8;

/// Reason why a request is persisted, so that it survives the loss of all
/// gateways.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum PersistReason {
    /// The next crash holds the request.
    NextCrashHolds,
    /// The request is held.
    Held,
}

/// Process that was taken for crashed and responded later.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Withdrawn {
    /// When the request that it responded to was sent.
    pub(crate) at: SignedTimestamp,
    pub(crate) last_change: u64,
    /// Whether it withdrew one of several crashes of a request.
    pub(crate) was_repeated: bool,
}

/// All requests under suspicion at one gateway.
#[derive(Debug, Default)]
pub struct Suspects {
    pub(crate) suspects: BTreeMap<RequestHash, Suspect>,
    pub(crate) withdrawn: BTreeMap<BackEndName, Withdrawn>,
    /// Number of changes so far.
    pub(crate) changes: u64,
    /// Suspects that are held.
    held: BTreeSet<RequestHash>,
    /// Requests that each process crashed under, so that a response of any
    /// other process costs only one lookup.
    by_process: BTreeMap<BackEndName, BTreeSet<RequestHash>>,
    recent: RecentSuccesses,
}

impl Suspects {
    /// Returns the sequence number of the last change.
    pub fn changes(&self) -> u64 {
        self.changes
    }

    /// Returns the number of requests under suspicion.
    pub fn len(&self) -> usize {
        self.suspects.len()
    }

    /// Whether no request is under suspicion.
    pub fn is_empty(&self) -> bool {
        self.suspects.is_empty()
    }

    /// Counts the processes that crashed under a request of this caller.
    pub fn crashes_of(&self, identity: &RequestIdentity) -> usize {
        let suspect = self.suspects.get(&identity.request);
        suspect.map_or(0, |suspect| suspect.crashes_of(identity.caller))
    }

    /// Whether a request of this caller must not be sent to any back end.
    pub fn is_held(&self, identity: &RequestIdentity) -> bool {
        let suspect = self.suspects.get(&identity.request);
        suspect.is_some_and(|suspect| suspect.is_held(identity.caller))
    }

    /// Returns all requests under suspicion.
    pub fn requests(&self) -> BTreeSet<RequestHash> {
        self.suspects.keys().copied().collect()
    }

    /// Returns the evidence about a request.
    pub fn get(&self, request: RequestHash) -> Option<&Suspect> {
        self.suspects.get(&request)
    }

    /// Returns all requests that are held.
    pub fn held(&self) -> impl Iterator<Item = (RequestHash, &Suspect)> {
        let held = self.held.iter();
        held.filter_map(|request| Some((*request, self.suspects.get(request)?)))
    }

    /// Returns the requests to persist: those that are held, and those that the
    /// next crash holds while these are few.
    pub fn to_persist(&self) -> BTreeMap<RequestHash, PersistReason> {
        let repeated = self.suspects.iter();
        let repeated = repeated.filter(|(_, suspect)| suspect.is_repeated());
        let mut kept: BTreeMap<RequestHash, PersistReason> = repeated
            .map(|(request, _)| (*request, PersistReason::NextCrashHolds))
            .collect();
        if kept.len() > MAX_REPEATED_PERSISTED {
            kept.clear();
        }
        kept.extend(
            self.held
                .iter()
                .map(|request| (*request, PersistReason::Held)),
        );
        kept
    }

    /// Whether the evidence about any request to persist changed after the
    /// change with number `changes`, while these are few. Invariant: what is
    /// worth a write to the store is sent to other gateways without delay,
    /// because their next attempt may crash another back end. Crashes of many
    /// requests at once are those of back ends, and are sent together.
    pub fn has_urgent_changes_since(&self, changes: u64) -> bool {
        let many_held = self.held.len() > MAX_URGENT_HELD;
        let persisted = self.to_persist();
        let mut urgent = persisted
            .iter()
            .filter(|(_, reason)| !many_held || **reason != PersistReason::Held)
            .filter_map(|(request, _)| self.suspects.get(request));
        urgent.any(|suspect| suspect.last_change > changes)
    }

    /// Whether a request of this caller succeeded after `at`, as far as this
    /// gateway remembers.
    pub fn succeeded_since(&self, at: Timestamp, identity: &RequestIdentity) -> bool {
        let last = self.recent.find(at, identity.request);
        last.is_some_and(|(caller, answered)| caller == identity.caller && answered > at)
    }

    /// Records that a process crashed at `at` while it ran a request. Returns
    /// whether that was new.
    pub fn record_crash(
        &mut self,
        at: Timestamp,
        identity: &RequestIdentity,
        process: &BackEndName,
        label: &str,
    ) -> bool {
        self.remove_expired(at);
        let new = self.add_crash(at.into(), identity, process, label);
        self.apply_recent_success(at, identity.request);
        new
    }

    /// Adds a crash that this gateway observed or learned of.
    pub(crate) fn add_crash(
        &mut self,
        at: SignedTimestamp,
        identity: &RequestIdentity,
        process: &BackEndName,
        label: &str,
    ) -> bool {
        let answered = self.withdrawn.get(process);
        if answered.is_some_and(|seen| at <= seen.at) {
            return false;
        }
        let suspect = self.entry(identity.request, label);
        let new = suspect.add_crash(at, (process.clone(), identity.caller));
        if new {
            let requests = self.by_process.entry(process.clone()).or_default();
            requests.insert(identity.request);
            self.mark_changed(identity.request);
        }
        new
    }

    /// Records that a back end answered a request of this caller.
    pub fn record_success(&mut self, at: Timestamp, identity: &RequestIdentity) {
        self.recent.record(at, *identity);
        if self.suspects.is_empty() {
            return;
        }
        let Some(suspect) = self.suspects.get_mut(&identity.request) else {
            return;
        };
        if suspect.add_success(at.into(), identity.caller) {
            self.mark_changed(identity.request);
        }
    }

    /// Records that a process responded to something sent at `at`, so that it
    /// had not crashed by then.
    pub fn record_response(&mut self, at: Timestamp, process: &BackEndName) {
        let at = SignedTimestamp::from(at);
        if let Some(was_repeated) = self.withdraw_crashes(process, at) {
            self.changes += 1;
            self.remember_withdrawn(process, at, was_repeated);
        }
    }

    /// Withdraws the crashes of a process up to `at`. Returns `None` if there
    /// were none, and otherwise whether any request had several crashes.
    pub(crate) fn withdraw_crashes(
        &mut self,
        process: &BackEndName,
        at: SignedTimestamp,
    ) -> Option<bool> {
        let requests = self.by_process.get(process).cloned()?;
        let mut was_repeated = None;
        for request in requests {
            let Some(suspect) = self.suspects.get_mut(&request) else {
                continue;
            };
            let several = suspect.is_repeated();
            if !suspect.withdraw(process, at) {
                continue;
            }
            was_repeated = Some(several || was_repeated == Some(true));
            if suspect.is_empty() {
                self.suspects.remove(&request);
            }
            self.update_held(request);
        }
        self.prune_processes();
        was_repeated
    }

    /// Releases a request on behalf of an operator. Returns whether it was
    /// known.
    pub fn release(&mut self, at: Timestamp, request: RequestHash) -> bool {
        let Some(suspect) = self.suspects.get_mut(&request) else {
            return false;
        };
        suspect.release(at.into());
        self.mark_changed(request);
        true
    }

    /// Remembers a process whose crash was withdrawn, evicting the oldest one
    /// if necessary.
    pub(crate) fn remember_withdrawn(
        &mut self,
        process: &BackEndName,
        at: SignedTimestamp,
        was_repeated: bool,
    ) {
        let changed = self.changes;
        if self.withdrawn.len() >= MAX_WITHDRAWN && !self.withdrawn.contains_key(process) {
            let oldest = self
                .withdrawn
                .iter()
                .min_by_key(|(_, seen)| seen.last_change);
            if let Some(oldest) = oldest.map(|(process, _)| process.clone()) {
                self.withdrawn.remove(&oldest);
            }
        }
        let seen = Withdrawn {
            at,
            last_change: changed,
            was_repeated,
        };
        self.withdrawn.insert(process.clone(), seen);
    }

    /// Applies a success of the request that this gateway remembers from
    /// before.
    pub(crate) fn apply_recent_success(&mut self, now: Timestamp, request: RequestHash) {
        let Some((caller, at)) = self.recent.find(now, request) else {
            return;
        };
        let suspect = self.suspects.get_mut(&request);
        if suspect.is_some_and(|suspect| suspect.add_success(at.into(), caller)) {
            self.mark_changed(request);
        }
    }

    /// Assigns the next change number to a request.
    pub(crate) fn mark_changed(&mut self, request: RequestHash) {
        self.changes += 1;
        if let Some(suspect) = self.suspects.get_mut(&request) {
            suspect.last_change = self.changes;
        }
        self.update_held(request);
    }

    /// Updates whether the request is in the set of held ones.
    fn update_held(&mut self, request: RequestHash) {
        let suspect = self.suspects.get(&request);
        if suspect.is_some_and(Suspect::is_held_for_any) {
            self.held.insert(request);
        } else {
            self.held.remove(&request);
        }
    }

    /// Removes processes from the index that have no remembered request left.
    fn prune_processes(&mut self) {
        let suspects = &self.suspects;
        self.by_process.retain(|_, requests| {
            requests.retain(|request| suspects.contains_key(request));
            !requests.is_empty()
        });
    }

    /// Returns the entry of a request, adding one if there is none.
    pub(crate) fn entry(&mut self, request: RequestHash, label: &str) -> &mut Suspect {
        if !self.suspects.contains_key(&request) && self.suspects.len() >= MAX_SUSPECTS {
            self.evict_one();
        }
        let suspect = self.suspects.entry(request).or_default();
        if suspect.label.is_empty() {
            suspect.label = label.to_owned();
        }
        suspect
    }

    /// Removes the request that was last suspected longest ago, preferring
    /// those that are not held.
    fn evict_one(&mut self) {
        let all = self.suspects.iter();
        let first = all.min_by_key(|(request, suspect)| {
            let held = self.held.contains(request);
            (held, suspect.last_suspected)
        });
        if let Some(first) = first.map(|(request, _)| *request) {
            self.suspects.remove(&first);
            self.held.remove(&first);
            self.prune_processes();
        }
    }

    /// Removes requests that are no longer under suspicion and not held.
    fn remove_expired(&mut self, now: Timestamp) {
        let held = &self.held;
        let before = self.suspects.len();
        self.suspects.retain(|request, suspect| {
            suspect.last_suspected.plus(SUSPICION_PERIOD) > now.into() || held.contains(request)
        });
        if self.suspects.len() != before {
            self.prune_processes();
        }
    }
}

impl Suspect {
    /// Whether there is no evidence against the request and it was not
    /// released.
    pub(crate) fn is_empty(&self) -> bool {
        self.crashes.is_empty() && self.released.is_none()
    }
}
