//! Evidence about one request under suspicion.

use std::collections::{BTreeMap, BTreeSet};

use threadledge_types::deployment::BackEndName;

use crate::identity::CallerId;
use crate::signed_timestamp::SignedTimestamp;

/// Number of processes that crash under a request before it is held. One or two
/// may crash by coincidence under unrelated requests; a third without a success
/// in between has not been observed (see the crate's tests on random crashes).
pub const CRASHES_UNTIL_HELD: usize = 3;
/// Maximum number of crashes remembered per request.
const MAX_CRASHES: usize = 32;
/// Maximum number of callers remembered as successful per request. Each one is
/// kept only if it adds information, so few are needed.
const MAX_SUCCESSES: usize = 64;

/// Process that crashed while it ran the request of a caller.
pub(crate) type CrashKey = (BackEndName, CallerId);

/// Request under suspicion, with the processes that crashed under it and the
/// callers for whom it succeeded nevertheless.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Suspect {
    /// Method, host and path, for operators.
    pub(crate) label: String,
    pub(crate) crashes: BTreeMap<CrashKey, SignedTimestamp>,
    pub(crate) successes: BTreeMap<CallerId, SignedTimestamp>,
    /// When an operator released the request; earlier crashes do not count.
    pub(crate) released: Option<SignedTimestamp>,
    /// Sequence number of the last change in [`super::Suspects`] that affected
    /// this request.
    pub(crate) last_change: u64,
    /// Time of the last crash or release.
    pub(crate) last_suspected: SignedTimestamp,
}

impl Suspect {
    /// Returns method, host and path of the request.
    pub fn label(&self) -> &str {
        &self.label
    }

    /// Returns the processes that crashed under the request, for any caller.
    pub fn processes(&self) -> BTreeSet<&BackEndName> {
        self.crashes.keys().map(|(process, _)| process).collect()
    }

    /// Counts the processes that crashed under the request when it came from
    /// `caller`, by the widest definition of the caller that no success
    /// contradicts.
    ///
    /// The attempts of one caller may come from several addresses and with
    /// different headers, so at first the crashes of all callers count
    /// together. Once the request succeeds for anyone, callers evidently
    /// differ. From then on crashes count by address and by headers, each until
    /// a success shows that it does not tell callers apart either. A success
    /// for exactly this caller clears its earlier crashes.
    pub fn crashes_of(&self, caller: CallerId) -> usize {
        let same_address = |other: &CallerId| other.address == caller.address;
        let same_headers = |other: &CallerId| other.headers == caller.headers;
        let of_all = self.crashes_without_success(|_| true);
        let of_address = self.crashes_without_success(same_address);
        let of_headers = self.crashes_without_success(same_headers);
        let of_caller = self.crashes_since_success(caller);
        of_all.max(of_address).max(of_headers).max(of_caller)
    }

    /// Whether more than one process crashed under the request.
    pub(crate) fn is_repeated(&self) -> bool {
        let mut processes = self.crashes.keys().map(|(process, _)| process);
        let first = processes.next();
        processes.any(|process| Some(process) != first)
    }

    /// Whether all gateways have to know of it, because it may be held soon or
    /// was released.
    pub(crate) fn is_relevant_to_all(&self) -> bool {
        self.is_repeated() || self.released.is_some()
    }

    /// Whether the request is held when it comes from `caller`.
    pub fn is_held(&self, caller: CallerId) -> bool {
        self.crashes_of(caller) >= CRASHES_UNTIL_HELD
    }

    /// Whether the request is held for any caller with a crash.
    pub fn is_held_for_any(&self) -> bool {
        let mut callers = self.crashes.keys().map(|(_, caller)| *caller);
        callers.any(|caller| self.is_held(caller))
    }

    /// Counts the processes that crashed for the callers selected by `counts`,
    /// or returns zero if the request succeeded for any of these callers.
    fn crashes_without_success(&self, counts: impl Fn(&CallerId) -> bool) -> usize {
        if self.successes.keys().any(&counts) {
            return 0;
        }
        let crashes = self.crashes.keys();
        let counted = crashes.filter(|(_, caller)| counts(caller));
        counted
            .map(|(process, _)| process)
            .collect::<BTreeSet<_>>()
            .len()
    }

    /// Counts the crashes for this caller after its last success.
    fn crashes_since_success(&self, caller: CallerId) -> usize {
        let success = self.successes.get(&caller);
        let crashes = self.crashes.iter();
        crashes
            .filter(|((_, other), at)| *other == caller && success.is_none_or(|done| *at > done))
            .count()
    }

    /// Adds a crash and returns whether it was new.
    pub(crate) fn add_crash(&mut self, at: SignedTimestamp, crash: CrashKey) -> bool {
        let forgiven = self.released.is_some_and(|released| at <= released);
        if forgiven || self.crashes.contains_key(&crash) || self.crashes.len() >= MAX_CRASHES {
            return false;
        }
        self.crashes.insert(crash, at);
        self.last_suspected = self.last_suspected.max(at);
        true
    }

    /// Adds a success for a caller and returns whether it adds information.
    /// Later successes for the same caller matter only after another crash.
    pub(crate) fn add_success(&mut self, at: SignedTimestamp, caller: CallerId) -> bool {
        let Some(known) = self.successes.get(&caller).copied() else {
            if !self.affects_counts(caller) || self.successes.len() >= MAX_SUCCESSES {
                return false;
            }
            self.successes.insert(caller, at);
            return true;
        };
        let mut crashes = self.crashes.iter();
        let since = crashes.any(|((_, other), crash)| *other == caller && *crash > known);
        if !since || at <= known {
            return false;
        }
        self.successes.insert(caller, at);
        true
    }

    /// Whether a first success for a caller changes any count.
    fn affects_counts(&self, caller: CallerId) -> bool {
        let mut crashed = self.crashes.keys().map(|(_, crashed)| crashed);
        self.successes.is_empty()
            || crashed.any(|crashed| {
                crashed.address == caller.address || crashed.headers == caller.headers
            })
    }

    /// Releases the request on behalf of an operator.
    pub(crate) fn release(&mut self, at: SignedTimestamp) {
        self.released = Some(at);
        self.last_suspected = self.last_suspected.max(at);
        self.crashes.retain(|_, crash| *crash > at);
    }

    /// Withdraws the crashes of a process that was still running at that time,
    /// and returns whether there were any.
    pub(crate) fn withdraw(&mut self, process: &BackEndName, at: SignedTimestamp) -> bool {
        let before = self.crashes.len();
        self.crashes
            .retain(|(other, _), crash| other != process || *crash > at);
        self.crashes.len() != before
    }
}
