//! Updates about requests under suspicion that gateways exchange.
//!
//! Times are sent as ages, because the clocks of two gateways are not
//! comparable.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use threadledge_types::Timestamp;
use threadledge_types::deployment::BackEndName;

use crate::identity::{CallerId, RequestHash, RequestIdentity};
use crate::signed_timestamp::SignedTimestamp;
use crate::suspect::Suspect;
use crate::suspects::Suspects;

/// Maximum difference between two gateways' timestamps of the same event,
/// caused by the transit time of updates. Repeated updates must not change
/// anything.
const MAX_SKEW: Duration = Duration::from_millis(500);

/// Part of the evidence known to one gateway.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, rename_all = "kebab-case")]
pub struct SuspectUpdate {
    /// Requests under suspicion, each with all evidence about it.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub suspects: Vec<SuspectReport>,
    /// Processes that were taken for crashed and responded later.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub answered: Vec<AnsweredReport>,
}

/// Selects which requests an update contains.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UpdateScope {
    /// Every crash. Used up the tree of relays and between relays, where the
    /// crashes seen by several gateways come together.
    All,
    /// Requests with more than one crash. Used down the tree, to all gateways.
    /// When many back ends crash together there are many first crashes, and
    /// hardly any is followed by a second one. Sending 1,074 of them to all 74
    /// gateways cost a fifth more processor time and a tenth of the served
    /// requests in a run of 30 s.
    Repeated,
}

/// Report of one request under suspicion.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct SuspectReport {
    /// Request that the report is about.
    pub request: RequestHash,
    /// Method, host and path; empty for a request with one crash. Nearly all
    /// reported requests stay at one crash, and the label is most of a report's
    /// size.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub label: String,
    /// Processes that crashed under the request.
    pub crashes: Vec<CrashReport>,
    /// Callers for whom the request succeeded.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub successes: Vec<SuccessReport>,
    /// Time since an operator released the request, in milliseconds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub released_ms: Option<u64>,
}

/// Crash of a process while it ran the request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct CrashReport {
    /// Process that crashed.
    pub back_end: BackEndName,
    /// Caller of the request.
    pub caller: CallerId,
    /// Time since the crash, in milliseconds.
    pub age_ms: u64,
}

/// Success of the request for a caller.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct SuccessReport {
    /// Caller of the request.
    pub caller: CallerId,
    /// Time since the success, in milliseconds.
    pub age_ms: u64,
}

/// Process that responded although it was taken for crashed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct AnsweredReport {
    /// Process that responded.
    pub back_end: BackEndName,
    /// Time since the request that it responded to was sent, in milliseconds.
    pub age_ms: u64,
}

impl SuspectUpdate {
    /// Whether the update is empty.
    pub fn is_empty(&self) -> bool {
        self.suspects.is_empty() && self.answered.is_empty()
    }
}

impl Suspects {
    /// Returns the evidence that changed after the change with number
    /// `changes`, or all evidence for zero.
    pub fn updates_since(&self, changes: u64, scope: UpdateScope, now: Timestamp) -> SuspectUpdate {
        let all = scope == UpdateScope::All;
        let changed = self.suspects.iter();
        let changed = changed.filter(|(_, suspect)| suspect.last_change > changes);
        let changed = changed.filter(|(_, suspect)| all || suspect.is_relevant_to_all());
        let answered = self.withdrawn.iter();
        let answered = answered.filter(|(_, answered)| answered.last_change > changes);
        let answered = answered.filter(|(_, answered)| all || answered.was_repeated);
        SuspectUpdate {
            suspects: changed
                .map(|(request, suspect)| report(*request, suspect, now))
                .collect(),
            answered: answered
                .map(|(process, answered)| AnsweredReport {
                    back_end: process.clone(),
                    age_ms: answered.at.age_ms(now),
                })
                .collect(),
        }
    }

    /// Merges the evidence of another gateway and returns whether any of it was
    /// new.
    pub fn merge(&mut self, update: &SuspectUpdate, now: Timestamp) -> bool {
        let before = self.changes();
        for answered in &update.answered {
            self.merge_answered(answered, now);
        }
        for report in &update.suspects {
            self.merge_report(report, now);
        }
        self.changes() != before
    }

    /// Withdraws the crashes of a process that responded later.
    fn merge_answered(&mut self, answered: &AnsweredReport, now: Timestamp) {
        let at = SignedTimestamp::before_now(now, answered.age_ms);
        let known = self.withdrawn.get(&answered.back_end);
        if known.is_some_and(|known| at <= known.at.plus(MAX_SKEW)) {
            return;
        }
        let was_repeated = self.withdraw_crashes(&answered.back_end, at);
        self.changes += 1;
        self.remember_withdrawn(&answered.back_end, at, was_repeated.unwrap_or(true));
    }

    /// Sets the label of a request whose label is not known yet.
    fn merge_label(&mut self, report: &SuspectReport) {
        let suspect = self.suspects.get_mut(&report.request);
        if let Some(suspect) = suspect.filter(|suspect| suspect.label.is_empty()) {
            suspect.label.clone_from(&report.label);
        }
    }

    /// Merges the crashes, successes and release of one request.
    fn merge_report(&mut self, report: &SuspectReport, now: Timestamp) {
        if let Some(released) = report
            .released_ms
            .map(|age| SignedTimestamp::before_now(now, age))
        {
            let suspect = self.entry(report.request, &report.label);
            let known = suspect.released;
            if known.is_none_or(|known| released > known.plus(MAX_SKEW)) {
                suspect.release(released);
                self.mark_changed(report.request);
            }
        }
        for crash in &report.crashes {
            let identity = RequestIdentity {
                request: report.request,
                caller: crash.caller,
            };
            let at = SignedTimestamp::before_now(now, crash.age_ms);
            self.add_crash(at, &identity, &crash.back_end, &report.label);
        }
        self.apply_recent_success(now, report.request);
        self.merge_label(report);
        let Some(suspect) = self.suspects.get_mut(&report.request) else {
            return;
        };
        let mut new = false;
        for success in &report.successes {
            let at = SignedTimestamp::before_now(now, success.age_ms);
            let known = suspect.successes.get(&success.caller);
            if known.is_none_or(|known| at > known.plus(MAX_SKEW)) {
                new |= suspect.add_success(at, success.caller);
            }
        }
        if new {
            self.mark_changed(report.request);
        }
    }
}

/// Builds the report of one request.
fn report(request: RequestHash, suspect: &Suspect, now: Timestamp) -> SuspectReport {
    let crashes = suspect.crashes.iter();
    let successes = suspect.successes.iter();
    SuspectReport {
        request,
        label: if suspect.is_repeated() {
            suspect.label.clone()
        } else {
            String::new()
        },
        crashes: crashes
            .map(|((process, caller), at)| CrashReport {
                back_end: process.clone(),
                caller: *caller,
                age_ms: at.age_ms(now),
            })
            .collect(),
        successes: successes
            .map(|(caller, at)| SuccessReport {
                caller: *caller,
                age_ms: at.age_ms(now),
            })
            .collect(),
        released_ms: suspect.released.map(|at| at.age_ms(now)),
    }
}
