//! What is known of one request under suspicion.

use std::collections::{BTreeMap, BTreeSet};

use threadledge_types::deployment::BackEndName;

use crate::identity::CallerId;
use crate::moment::Moment;

/// Processes that end under a request before it is held. One or two end beside
/// requests that have nothing to do with it; a third without a success in
/// between has not been seen (see the crate's tests on random crashes).
pub const CRASHES_UNTIL_HELD: usize = 3;
/// Crashes of one request that are remembered.
const MOST_CRASHES: usize = 32;
/// Callers with a success of one request that are remembered: each tells
/// something that no other does, so that few are needed.
const MOST_SUCCESSES: usize = 64;

/// A process that ended while it ran the request of a caller.
pub(crate) type CrashKey = (BackEndName, CallerId);

/// One request under suspicion: which processes ended under it, and who was
/// answered all the same.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Suspect {
    /// Method, host and path, for operators.
    pub(crate) label: String,
    pub(crate) crashes: BTreeMap<CrashKey, Moment>,
    pub(crate) successes: BTreeMap<CallerId, Moment>,
    /// What came before does not count: an operator let the request go.
    pub(crate) released: Option<Moment>,
    /// Number of the table's change that changed it last.
    pub(crate) changed: u64,
    /// When it was suspected last.
    pub(crate) latest: Moment,
}

impl Suspect {
    /// Method, host and path of the request.
    pub fn label(&self) -> &str {
        &self.label
    }

    /// Processes that ended under it, whoever sent it.
    pub fn processes(&self) -> BTreeSet<&BackEndName> {
        self.crashes.keys().map(|(process, _)| process).collect()
    }

    /// Processes that ended under the request when it came from `caller`, by
    /// the widest reading of who that is that no success contradicts.
    ///
    /// A caller's tries may come from several addresses and with other
    /// headers, so that crashes of all callers count together at first. A
    /// success of anybody shows that callers differ; from then on crashes
    /// count by address and by headers, each until a success shows that it
    /// does not tell callers apart either. A success of the very same caller
    /// clears it of what came before.
    pub fn crashes_of(&self, caller: CallerId) -> usize {
        let same_address = |other: &CallerId| other.address == caller.address;
        let same_headers = |other: &CallerId| other.headers == caller.headers;
        let of_all = self.unless_one_succeeded(|_| true);
        let of_address = self.unless_one_succeeded(same_address);
        let of_headers = self.unless_one_succeeded(same_headers);
        let of_caller = self.since_success(caller);
        of_all.max(of_address).max(of_headers).max(of_caller)
    }

    /// Whether more than one process ended under it.
    pub(crate) fn is_repeated(&self) -> bool {
        let mut processes = self.crashes.keys().map(|(process, _)| process);
        let first = processes.next();
        processes.any(|process| Some(process) != first)
    }

    /// Whether everybody has to know: it may be held soon, or was let go.
    pub(crate) fn concerns_all(&self) -> bool {
        self.is_repeated() || self.released.is_some()
    }

    /// Whether it is held when it comes from `caller`.
    pub fn is_held(&self, caller: CallerId) -> bool {
        self.crashes_of(caller) >= CRASHES_UNTIL_HELD
    }

    /// Whether it is held for somebody under whom a process ended.
    pub fn is_held_for_any(&self) -> bool {
        let mut callers = self.crashes.keys().map(|(_, caller)| *caller);
        callers.any(|caller| self.is_held(caller))
    }

    fn unless_one_succeeded(&self, counts: impl Fn(&CallerId) -> bool) -> usize {
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

    fn since_success(&self, caller: CallerId) -> usize {
        let success = self.successes.get(&caller);
        let crashes = self.crashes.iter();
        crashes
            .filter(|((_, other), at)| *other == caller && success.is_none_or(|done| *at > done))
            .count()
    }

    /// Adds a crash. Says whether it was not known.
    pub(crate) fn crashed(&mut self, at: Moment, crash: CrashKey) -> bool {
        let forgiven = self.released.is_some_and(|released| at <= released);
        if forgiven || self.crashes.contains_key(&crash) || self.crashes.len() >= MOST_CRASHES {
            return false;
        }
        self.crashes.insert(crash, at);
        self.latest = self.latest.max(at);
        true
    }

    /// Adds a success of a caller. Says whether it tells anything new: later
    /// successes of a caller matter only once a process has ended under it
    /// since.
    pub(crate) fn succeeded(&mut self, at: Moment, caller: CallerId) -> bool {
        let Some(known) = self.successes.get(&caller).copied() else {
            if !self.tells(caller) || self.successes.len() >= MOST_SUCCESSES {
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

    /// Whether a first success of a caller changes any count.
    fn tells(&self, caller: CallerId) -> bool {
        let mut crashed = self.crashes.keys().map(|(_, crashed)| crashed);
        self.successes.is_empty()
            || crashed.any(|crashed| {
                crashed.address == caller.address || crashed.headers == caller.headers
            })
    }

    /// An operator let it go.
    pub(crate) fn release(&mut self, at: Moment) {
        self.released = Some(at);
        self.latest = self.latest.max(at);
        self.crashes.retain(|_, crash| *crash > at);
    }

    /// The process still ran at that time: it did not end under the request.
    pub(crate) fn withdraw(&mut self, process: &BackEndName, at: Moment) -> bool {
        let before = self.crashes.len();
        self.crashes
            .retain(|(other, _), crash| other != process || *crash > at);
        self.crashes.len() != before
    }
}
