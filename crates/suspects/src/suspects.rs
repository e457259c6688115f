//! Every request under suspicion, as one gateway knows them.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use threadledge_types::Timestamp;
use threadledge_types::deployment::BackEndName;

use crate::identity::{RequestHash, RequestIdentity};
use crate::moment::Moment;
use crate::recent::Recent;
use crate::suspect::Suspect;

/// Requests under suspicion that are remembered, about 500 bytes each. The
/// ones not held go first, the longest unsuspected of them before the others.
pub const MAX_SUSPECTS: usize = 512;
/// How long a request that is not held stays under suspicion.
const SUSPECTED: Duration = Duration::from_secs(600);
/// Processes whose crash was withdrawn that are remembered.
const MOST_WITHDRAWN: usize = 256;

/// Requests with more than one crash of which those not held are kept as
/// well: more of them at once are a herd of back ends that ends under whatever
/// it ran, and each would cost a write.
const MOST_REPEATED_KEPT: usize = 8;

/// Why a request is to outlive all gateways.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum PersistReason {
    /// The next crash holds it.
    NextCrashHolds,
    /// It is held.
    Held,
}

/// A process that was taken for ended, and answered later.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Withdrawn {
    /// When it was sent what it answered.
    pub(crate) at: Moment,
    pub(crate) changed: u64,
    /// It took back one of several crashes of a request.
    pub(crate) mattered: bool,
}

/// Every request under suspicion.
#[derive(Debug, Default)]
pub struct Suspects {
    pub(crate) suspects: BTreeMap<RequestHash, Suspect>,
    pub(crate) withdrawn: BTreeMap<BackEndName, Withdrawn>,
    /// Changes so far.
    pub(crate) changes: u64,
    /// Those of the suspects that are held.
    held: BTreeSet<RequestHash>,
    /// Requests under which each process ended, so that an answer of any other
    /// process costs one look.
    by_process: BTreeMap<BackEndName, BTreeSet<RequestHash>>,
    recent: Recent,
}

impl Suspects {
    /// Number of the last change.
    pub fn changes(&self) -> u64 {
        self.changes
    }

    /// Requests under suspicion.
    pub fn len(&self) -> usize {
        self.suspects.len()
    }

    /// Whether no request is under suspicion.
    pub fn is_empty(&self) -> bool {
        self.suspects.is_empty()
    }

    /// Processes that ended under a request of this caller.
    pub fn crashes_of(&self, identity: &RequestIdentity) -> usize {
        let suspect = self.suspects.get(&identity.request);
        suspect.map_or(0, |suspect| suspect.crashes_of(identity.caller))
    }

    /// Whether a request of this caller may be sent to no back end.
    pub fn is_held(&self, identity: &RequestIdentity) -> bool {
        let suspect = self.suspects.get(&identity.request);
        suspect.is_some_and(|suspect| suspect.is_held(identity.caller))
    }

    /// Every request under suspicion.
    pub fn requests(&self) -> BTreeSet<RequestHash> {
        self.suspects.keys().copied().collect()
    }

    /// What is known of a request.
    pub fn get(&self, request: RequestHash) -> Option<&Suspect> {
        self.suspects.get(&request)
    }

    /// Every request that is held.
    pub fn held(&self) -> impl Iterator<Item = (RequestHash, &Suspect)> {
        let held = self.held.iter();
        held.filter_map(|request| Some((*request, self.suspects.get(request)?)))
    }

    /// Requests that are to outlive all gateways: those that are held, and
    /// those that the next crash holds, while they are few.
    pub fn to_persist(&self) -> BTreeMap<RequestHash, PersistReason> {
        let repeated = self.suspects.iter();
        let repeated = repeated.filter(|(_, suspect)| suspect.is_repeated());
        let mut kept: BTreeMap<RequestHash, PersistReason> = repeated
            .map(|(request, _)| (*request, PersistReason::NextCrashHolds))
            .collect();
        if kept.len() > MOST_REPEATED_KEPT {
            kept.clear();
        }
        kept.extend(self.held.iter().map(|request| (*request, PersistReason::Held)));
        kept
    }

    /// Whether a request of this caller was answered after `at`, as far as
    /// this gateway remembers.
    pub fn succeeded_since(&self, at: Timestamp, identity: &RequestIdentity) -> bool {
        let last = self.recent.find(at, identity.request);
        last.is_some_and(|(caller, answered)| caller == identity.caller && answered > at)
    }

    /// A process ended at `at` while it ran a request. Says whether that was
    /// not known.
    pub fn record_crash(
        &mut self,
        at: Timestamp,
        identity: &RequestIdentity,
        process: &BackEndName,
        label: &str,
    ) -> bool {
        self.forget_old(at);
        let new = self.add_crash(at.into(), identity, process, label);
        self.recall(at, identity.request);
        new
    }

    /// Adds a crash that this gateway saw or was told of.
    pub(crate) fn add_crash(
        &mut self,
        at: Moment,
        identity: &RequestIdentity,
        process: &BackEndName,
        label: &str,
    ) -> bool {
        let answered = self.withdrawn.get(process);
        if answered.is_some_and(|seen| at <= seen.at) {
            return false;
        }
        let suspect = self.suspect(identity.request, label);
        let new = suspect.crashed(at, (process.clone(), identity.caller));
        if new {
            let requests = self.by_process.entry(process.clone()).or_default();
            requests.insert(identity.request);
            self.change(identity.request);
        }
        new
    }

    /// A back end answered a request of this caller.
    pub fn record_success(&mut self, at: Timestamp, identity: &RequestIdentity) {
        self.recent.answered(at, *identity);
        if self.suspects.is_empty() {
            return;
        }
        let Some(suspect) = self.suspects.get_mut(&identity.request) else {
            return;
        };
        if suspect.succeeded(at.into(), identity.caller) {
            self.change(identity.request);
        }
    }

    /// A process answered something that was sent to it at `at`: it had not
    /// ended by then.
    pub fn record_response(&mut self, at: Timestamp, process: &BackEndName) {
        let at = Moment::from(at);
        if let Some(mattered) = self.take_back(process, at) {
            self.changes += 1;
            self.withdraw(process, at, mattered);
        }
    }

    /// Takes back crashes of a process up to `at`, if there are any. Says
    /// whether one was among several of a request.
    pub(crate) fn take_back(&mut self, process: &BackEndName, at: Moment) -> Option<bool> {
        let requests = self.by_process.get(process).cloned()?;
        let mut mattered = None;
        for request in requests {
            let Some(suspect) = self.suspects.get_mut(&request) else {
                continue;
            };
            let several = suspect.is_repeated();
            if !suspect.withdraw(process, at) {
                continue;
            }
            mattered = Some(several || mattered == Some(true));
            if suspect.is_idle() {
                self.suspects.remove(&request);
            }
            self.judge(request);
        }
        self.forget_processes();
        mattered
    }

    /// An operator lets a request go. Says whether it was known.
    pub fn release(&mut self, at: Timestamp, request: RequestHash) -> bool {
        let Some(suspect) = self.suspects.get_mut(&request) else {
            return false;
        };
        suspect.release(at.into());
        self.change(request);
        true
    }

    pub(crate) fn withdraw(&mut self, process: &BackEndName, at: Moment, mattered: bool) {
        let changed = self.changes;
        if self.withdrawn.len() >= MOST_WITHDRAWN && !self.withdrawn.contains_key(process) {
            let oldest = self.withdrawn.iter().min_by_key(|(_, seen)| seen.changed);
            if let Some(oldest) = oldest.map(|(process, _)| process.clone()) {
                self.withdrawn.remove(&oldest);
            }
        }
        let seen = Withdrawn {
            at,
            changed,
            mattered,
        };
        self.withdrawn.insert(process.clone(), seen);
    }

    /// What this gateway remembers of earlier answers counts as well.
    pub(crate) fn recall(&mut self, now: Timestamp, request: RequestHash) {
        let Some((caller, at)) = self.recent.find(now, request) else {
            return;
        };
        let suspect = self.suspects.get_mut(&request);
        if suspect.is_some_and(|suspect| suspect.succeeded(at.into(), caller)) {
            self.change(request);
        }
    }

    pub(crate) fn change(&mut self, request: RequestHash) {
        self.changes += 1;
        if let Some(suspect) = self.suspects.get_mut(&request) {
            suspect.changed = self.changes;
        }
        self.judge(request);
    }

    /// Keeps the list of those that are held up to date.
    fn judge(&mut self, request: RequestHash) {
        let suspect = self.suspects.get(&request);
        if suspect.is_some_and(Suspect::is_held_for_any) {
            self.held.insert(request);
        } else {
            self.held.remove(&request);
        }
    }

    /// Keeps the list of processes to those of requests that are remembered.
    fn forget_processes(&mut self) {
        let suspects = &self.suspects;
        self.by_process.retain(|_, requests| {
            requests.retain(|request| suspects.contains_key(request));
            !requests.is_empty()
        });
    }

    /// The entry of a request, a new one if there is none.
    pub(crate) fn suspect(&mut self, request: RequestHash, label: &str) -> &mut Suspect {
        if !self.suspects.contains_key(&request) && self.suspects.len() >= MAX_SUSPECTS {
            self.make_room();
        }
        self.suspects.entry(request).or_insert_with(|| Suspect {
            label: label.to_owned(),
            ..Suspect::default()
        })
    }

    fn make_room(&mut self) {
        let all = self.suspects.iter();
        let first = all.min_by_key(|(request, suspect)| {
            let held = self.held.contains(request);
            (held, suspect.latest)
        });
        if let Some(first) = first.map(|(request, _)| *request) {
            self.suspects.remove(&first);
            self.held.remove(&first);
            self.forget_processes();
        }
    }

    fn forget_old(&mut self, now: Timestamp) {
        let held = &self.held;
        let before = self.suspects.len();
        self.suspects.retain(|request, suspect| {
            suspect.latest.after(SUSPECTED) > now.into() || held.contains(request)
        });
        if self.suspects.len() != before {
            self.forget_processes();
        }
    }
}

impl Suspect {
    /// Nothing is known against it, and nobody let it go.
    pub(crate) fn is_idle(&self) -> bool {
        self.crashes.is_empty() && self.released.is_none()
    }
}
