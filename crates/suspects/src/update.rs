//! What gateways tell each other of requests under suspicion.
//!
//! Times cross the wire as ages: readings of two clocks are not comparable.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use threadledge_types::Timestamp;
use threadledge_types::deployment::BackEndName;

use crate::identity::{CallerId, RequestHash, RequestIdentity};
use crate::moment::Moment;
use crate::suspect::Suspect;
use crate::suspects::Suspects;

/// Two gateways' readings of the same moment may differ by so much, as news
/// takes time on its way. Repeats of known news must change nothing.
const SKEW: Duration = Duration::from_millis(500);

/// Part of what one gateway knows.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, rename_all = "kebab-case")]
pub struct SuspectUpdate {
    /// Requests under suspicion, each with all that is known of it.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub suspects: Vec<SuspectReport>,
    /// Processes that were taken for ended and answered later.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub answered: Vec<AnsweredReport>,
}

/// How much is told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UpdateScope {
    /// Every crash: up the tree of relays and between them, where crashes that
    /// several gateways saw meet.
    All,
    /// Requests with more than one crash: down the tree, to everyone. First
    /// crashes are many when back ends end in herds, and hardly ever followed by
    /// a second: telling all 74 gateways of 1,074 of them cost a fifth more
    /// processor time on a day of 30 s, and a tenth of what was served.
    Repeated,
}

/// One request under suspicion.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct SuspectReport {
    /// The request.
    pub request: RequestHash,
    /// Method, host and path; left out with the first crash. Nearly all that
    /// are told stay at one, and a label is most of what one takes.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub label: String,
    /// Processes that ended under it.
    pub crashes: Vec<CrashReport>,
    /// Callers that were answered.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub successes: Vec<SuccessReport>,
    /// Time since an operator let it go, in milliseconds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub released_ms: Option<u64>,
}

/// A process that ended while it ran the request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct CrashReport {
    /// The process.
    pub back_end: BackEndName,
    /// Who sent the request.
    pub caller: CallerId,
    /// Time since then, in milliseconds.
    pub age_ms: u64,
}

/// A caller of the request that was answered.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct SuccessReport {
    /// The caller.
    pub caller: CallerId,
    /// Time since then, in milliseconds.
    pub age_ms: u64,
}

/// A process that answered though it was taken for ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct AnsweredReport {
    /// The process.
    pub back_end: BackEndName,
    /// Time since it was sent what it answered, in milliseconds.
    pub age_ms: u64,
}

impl SuspectUpdate {
    /// Whether it tells nothing.
    pub fn is_empty(&self) -> bool {
        self.suspects.is_empty() && self.answered.is_empty()
    }
}

impl Suspects {
    /// What changed after the change of that number; everything for zero.
    pub fn updates_since(&self, changes: u64, scope: UpdateScope, now: Timestamp) -> SuspectUpdate {
        let all = scope == UpdateScope::All;
        let changed = self.suspects.iter();
        let changed = changed.filter(|(_, suspect)| suspect.changed > changes);
        let changed = changed.filter(|(_, suspect)| all || suspect.concerns_all());
        let answered = self.withdrawn.iter();
        let answered = answered.filter(|(_, seen)| seen.changed > changes);
        let answered = answered.filter(|(_, seen)| all || seen.mattered);
        SuspectUpdate {
            suspects: changed
                .map(|(request, suspect)| report(*request, suspect, now))
                .collect(),
            answered: answered
                .map(|(process, seen)| AnsweredReport {
                    back_end: process.clone(),
                    age_ms: seen.at.age_ms(now),
                })
                .collect(),
        }
    }

    /// Takes what another gateway knows. Says whether any of it was new.
    pub fn merge(&mut self, news: &SuspectUpdate, now: Timestamp) -> bool {
        let before = self.changes();
        for seen in &news.answered {
            self.take_answered(seen, now);
        }
        for report in &news.suspects {
            self.take_report(report, now);
        }
        self.changes() != before
    }

    fn take_answered(&mut self, seen: &AnsweredReport, now: Timestamp) {
        let at = Moment::ago(now, seen.age_ms);
        let known = self.withdrawn.get(&seen.back_end);
        if known.is_some_and(|known| at <= known.at.after(SKEW)) {
            return;
        }
        let mattered = self.take_back(&seen.back_end, at);
        self.changes += 1;
        self.withdraw(&seen.back_end, at, mattered.unwrap_or(true));
    }

    fn take_label(&mut self, report: &SuspectReport) {
        let suspect = self.suspects.get_mut(&report.request);
        if let Some(suspect) = suspect.filter(|suspect| suspect.label.is_empty()) {
            suspect.label.clone_from(&report.label);
        }
    }

    fn take_report(&mut self, report: &SuspectReport, now: Timestamp) {
        if let Some(released) = report.released_ms.map(|age| Moment::ago(now, age)) {
            let suspect = self.suspect(report.request, &report.label);
            let known = suspect.released;
            if known.is_none_or(|known| released > known.after(SKEW)) {
                suspect.release(released);
                self.change(report.request);
            }
        }
        for crash in &report.crashes {
            let identity = RequestIdentity {
                request: report.request,
                caller: crash.caller,
            };
            let at = Moment::ago(now, crash.age_ms);
            self.add_crash(at, &identity, &crash.back_end, &report.label);
        }
        self.recall(now, report.request);
        self.take_label(report);
        let Some(suspect) = self.suspects.get_mut(&report.request) else {
            return;
        };
        let mut new = false;
        for success in &report.successes {
            let at = Moment::ago(now, success.age_ms);
            let known = suspect.successes.get(&success.caller);
            if known.is_none_or(|known| at > known.after(SKEW)) {
                new |= suspect.succeeded(at, success.caller);
            }
        }
        if new {
            self.change(report.request);
        }
    }
}

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
