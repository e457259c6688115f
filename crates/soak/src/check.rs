//! Checks the guarantees on the observations of callers and back ends.

use std::collections::BTreeMap;
use std::fmt;
use std::ops::Range;
use std::time::Duration;

/// Result of one request, as its caller observed it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer {
    /// A complete response.
    Whole {
        /// Status code.
        status: u16,
        /// Request id that the response carries.
        id: Option<String>,
        /// Body.
        body: String,
    },
    /// No response: the connection broke or the time limit passed.
    None,
}

/// One request and its result.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestRecord {
    /// Request id.
    pub id: String,
    /// True if the request may run more than once.
    pub repeatable: bool,
    /// Result of the request.
    pub answer: Answer,
}

/// A period during which a back end held a key under one fencing token.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Tenure {
    /// The back end.
    pub back_end: String,
    /// Fencing token.
    pub fence: u64,
    /// Start of the period.
    pub from: Duration,
    /// End of the period.
    pub until: Duration,
    /// Time at which the lease would have expired, had the back end not been
    /// told to release the key.
    pub lease: Duration,
    /// True if the last of its grants was left unanswered and applied later.
    pub late: bool,
    /// True if that grant may have waited in a full link.
    pub delayed: bool,
    /// True if that grant may have waited unread at the back end.
    pub unread: bool,
}

impl Tenure {
    /// Describes what the users may hold against counting its last grant.
    fn remark(&self) -> &'static str {
        if self.late {
            ", late grant"
        } else if self.unread {
            ", read slowly"
        } else if self.delayed {
            ", link full"
        } else {
            ""
        }
    }
}

impl fmt::Display for Tenure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Tenure {
            back_end, fence, ..
        } = self;
        let from = self.from.as_secs_f64();
        let until = self.until.as_secs_f64();
        let remark = self.remark();
        write!(
            f,
            "{back_end} (fence {fence}, from {from:.3} s to {until:.3} s{remark})"
        )
    }
}

/// A guarantee that was violated.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Violation {
    /// A request that must not be repeated ran more than once.
    RepeatedUnsafe {
        /// Request id.
        id: String,
        /// Number of runs.
        runs: usize,
    },
    /// A request that was rejected ran.
    RanAfterRefusal {
        /// Request id.
        id: String,
        /// Status code of the rejection.
        status: u16,
    },
    /// A caller received a response to another request.
    WrongAnswer {
        /// Request id.
        id: String,
        /// Body that was received.
        body: String,
    },
    /// A request succeeded without a run.
    NeverRan {
        /// Request id.
        id: String,
    },
    /// Two back ends held a key at the same time.
    TwoOwners {
        /// The key.
        key: u16,
        /// Ids of the two back ends.
        owners: [String; 2],
    },
    /// Two back ends held keys at the same time, according to their own
    /// histories.
    OverlappingTenures {
        /// First and last key.
        keys: (u16, u16),
        /// The overlapping periods.
        tenures: Box<[Tenure; 2]>,
        /// True if both started requests for the keys during the overlap.
        both_started: bool,
    },
    /// A key was granted to another back end while its holder was processing a
    /// request for it.
    GrantedDuringWork {
        /// The key.
        key: u16,
        /// Start and end of the processing.
        work: (Duration, Duration),
        /// Period of the holder, and period of the new owner.
        tenures: Box<[Tenure; 2]>,
    },
    /// A back end was granted keys under a fencing token that is not above one
    /// under which another had held them.
    StaleFence {
        /// First and last key.
        keys: (u16, u16),
        /// Period of the earlier holder, and period of the new one.
        tenures: Box<[Tenure; 2]>,
    },
    /// A gateway process showed an older configuration than before.
    VersionRegressed {
        /// Number of the gateway.
        gateway: usize,
        /// The version shown first, and the one shown after it.
        versions: [u64; 2],
    },
    /// A planned stop did not end in time or with success, or the gateway ended
    /// unasked.
    StopFailed {
        /// Number of the gateway.
        gateway: usize,
        /// Description of the failure.
        problem: String,
    },
    /// Back ends of a drained zone kept receiving requests.
    SentToDrainedZone {
        /// The zone.
        zone: String,
        /// Number of such requests.
        requests: usize,
    },
    /// A back end was told a tenant other than the caller's, or was sent an API
    /// key.
    WrongTenant {
        /// Request id.
        id: String,
        /// The tenant that the back end was told.
        tenant: Option<String>,
        /// True if the API key was passed on.
        api_key_forwarded: bool,
    },
    /// A request that had crashed back ends was still forwarded to others.
    CrashingRequestForwarded {
        /// Kind of the request.
        kind: String,
        /// Number of back ends that it reached.
        runs: usize,
        /// Number of those that it reached after the gateways had to know.
        late: usize,
    },
    /// A back end received requests although its backpressure forbade them.
    BackpressureIgnored {
        /// The back end.
        back_end: String,
        /// The backpressure that it had announced.
        announced: String,
        /// Number of requests that it received.
        requests: usize,
        /// Number of requests that were allowed.
        allowed: usize,
        /// Arrival time of the last of them.
        at: Duration,
    },
    /// Something still does not work after the faults have ended.
    NotRecovered {
        /// Description of what does not work.
        problem: String,
    },
}

impl Violation {
    /// First and last key of a violation that was found in the histories of
    /// back ends.
    pub fn keys(&self) -> Option<(u16, u16)> {
        match self {
            Violation::OverlappingTenures { keys, .. } | Violation::StaleFence { keys, .. } => {
                Some(*keys)
            }
            _ => None,
        }
    }

    /// Replaces the first and last key.
    pub fn with_keys(mut self, other: (u16, u16)) -> Self {
        if let Violation::OverlappingTenures { keys, .. } | Violation::StaleFence { keys, .. } =
            &mut self
        {
            *keys = other;
        }
        self
    }
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Violation::RepeatedUnsafe { id, runs } => {
                write!(f, "unsafe request {id} ran {runs} times")
            }
            Violation::RanAfterRefusal { id, status } => {
                write!(f, "unsafe request {id} was answered {status} and ran")
            }
            Violation::WrongAnswer { id, body } => {
                write!(f, "request {id} was answered with {body:?}")
            }
            Violation::NeverRan { id } => write!(f, "request {id} succeeded and ran nowhere"),
            Violation::TwoOwners { key, owners } => {
                write!(f, "key {key} was held by {} and {}", owners[0], owners[1])
            }
            Violation::OverlappingTenures {
                keys,
                tenures,
                both_started,
            } => {
                let (first, last) = keys;
                let [one, two] = &**tenures;
                let began = if *both_started {
                    ", and both began"
                } else {
                    ""
                };
                let line = overlap_line(tenures, *both_started);
                write!(
                    f,
                    "keys {first} to {last} were held by {one} and {two}{began} [{line}]"
                )
            }
            Violation::GrantedDuringWork { key, work, tenures } => {
                let [one, two] = &**tenures;
                let (from, until) = (work.0.as_secs_f64(), work.1.as_secs_f64());
                let line = work_line(tenures);
                write!(
                    f,
                    "key {key} went to {two} while {one} was at work from {from:.3} s to {until:.3} s [{line}]"
                )
            }
            Violation::StaleFence { keys, tenures } => {
                let (first, last) = keys;
                let [had, took] = &**tenures;
                write!(
                    f,
                    "keys {first} to {last} went to {took} after {had} [second line of OWNER]"
                )
            }
            Violation::VersionRegressed { gateway, versions } => write!(
                f,
                "gateway {gateway} went back from version {} to {}",
                versions[0], versions[1]
            ),
            Violation::StopFailed { gateway, problem } => {
                write!(f, "planned stop of gateway {gateway}: {problem}")
            }
            Violation::SentToDrainedZone { zone, requests } => {
                write!(f, "{requests} requests ran in {zone} after it was drained")
            }
            Violation::WrongTenant {
                id,
                tenant,
                api_key_forwarded,
            } => write!(
                f,
                "request {id} ran as that of tenant {tenant:?}, its key passed on: {api_key_forwarded}"
            ),
            Violation::CrashingRequestForwarded { kind, runs, late } => write!(
                f,
                "a request ({kind}) that crashes back ends reached {runs}, {late} of them too late"
            ),
            Violation::BackpressureIgnored {
                back_end,
                announced,
                requests,
                allowed,
                at,
            } => write!(
                f,
                "{back_end} had said {announced} and got {requests} requests until {:.3} s, \
                 {allowed} allowed",
                at.as_secs_f64()
            ),
            Violation::NotRecovered { problem } => write!(f, "after the faults: {problem}"),
        }
    }
}

/// Overlap above which the users count two holders that begin no requests.
const COUNTED_OVERLAP: Duration = Duration::from_millis(500);

/// Says whether the users count keys that two back ends held at once.
fn overlap_line(tenures: &[Tenure; 2], both_started: bool) -> &'static str {
    let [one, two] = tenures;
    let overlap = one.until.min(two.until) - one.from.max(two.from);
    if both_started {
        "first line of OWNER"
    } else if overlap <= COUNTED_OVERLAP {
        "stricter than OWNER: up to half a second"
    } else if one.late || two.late {
        "stricter than OWNER: a late grant"
    } else if one.unread || two.unread {
        "third line of OWNER, unless a grant waited unread"
    } else if one.delayed || two.delayed {
        "third line of OWNER, unless the link delayed a grant"
    } else {
        "third line of OWNER"
    }
}

/// Says whether the users count keys that were given on during work.
fn work_line(tenures: &[Tenure; 2]) -> &'static str {
    let any = |has: fn(&Tenure) -> bool| tenures.iter().any(has);
    if any(|tenure| tenure.late) {
        "stricter than OWNER: a late grant"
    } else if any(|tenure| tenure.unread) {
        "third line of OWNER, unless a grant waited unread"
    } else if any(|tenure| tenure.delayed) {
        "third line of OWNER, unless the link delayed a grant"
    } else {
        "third line of OWNER"
    }
}

/// Status codes that guarantee that a request has not run and never will.
const REFUSALS: [u16; 4] = [408, 421, 429, 503];

/// Compares every request with the runs at back ends, by request id.
pub fn check_requests(records: &[RequestRecord], runs: &BTreeMap<String, usize>) -> Vec<Violation> {
    let mut found = Vec::new();
    for each in records {
        let ran = runs.get(&each.id).copied().unwrap_or(0);
        if !each.repeatable && ran > 1 {
            let id = each.id.clone();
            found.push(Violation::RepeatedUnsafe { id, runs: ran });
        }
        let Answer::Whole { status, id, body } = &each.answer else {
            continue;
        };
        if !each.repeatable && ran > 0 && REFUSALS.contains(status) {
            found.push(Violation::RanAfterRefusal {
                id: each.id.clone(),
                status: *status,
            });
        }
        let own = format!("answer to {} from ", each.id);
        let success = (200..300).contains(status);
        if success && ran == 0 {
            let id = each.id.clone();
            found.push(Violation::NeverRan { id });
        }
        let wrong = match success {
            true => id.as_deref() != Some(&each.id) || !body.starts_with(&own),
            // Failures may lack an id, but show no other request's.
            false => {
                id.as_ref().is_some_and(|id| *id != each.id)
                    || body.starts_with("answer to ") && !body.starts_with(&own)
            }
        };
        if wrong {
            found.push(Violation::WrongAnswer {
                id: each.id.clone(),
                body: body.clone(),
            });
        }
    }
    found
}

/// Finds keys that two back ends hold. `held` lists, for each back end, which
/// of the sampled keys it holds.
pub fn find_shared_keys(held: &[(String, Vec<u16>)]) -> Vec<Violation> {
    let mut owner: BTreeMap<u16, &str> = BTreeMap::new();
    let mut found = Vec::new();
    for (name, keys) in held {
        for key in keys {
            let Some(other) = owner.insert(*key, name) else {
                continue;
            };
            found.push(Violation::TwoOwners {
                key: *key,
                owners: [other.to_owned(), name.clone()],
            });
        }
    }
    found
}

/// Time from the draining of a zone until its back ends must receive nothing
/// new, as configured in the gateways' settings.
pub const ZONE_DRAIN: Duration = Duration::from_secs(5);
/// Time without disturbance after which gateways must respect the drain: they
/// have to reach the store first.
const STORE_REACHABLE_TIME: Duration = Duration::from_secs(3);

/// Counts the runs that began in a zone while it had been drained for longer
/// than the bound. Runs during or shortly after a disturbance that may have
/// kept gateways from learning of the drain do not count. All times are since
/// the start of the soak; time limits are multiplied by `time_factor`.
pub fn runs_after_drain(
    runs: &[Duration],
    drained: &Range<Duration>,
    disturbances: &[Range<Duration>],
    time_factor: u32,
) -> usize {
    let undisturbed = |at: Duration| {
        let undisturbed_since = at.saturating_sub(STORE_REACHABLE_TIME * time_factor);
        let applies = |disturbance: &Range<Duration>| {
            disturbance.start <= at && undisturbed_since <= disturbance.end
        };
        !disturbances.iter().any(applies)
    };
    let bound = drained.start + ZONE_DRAIN * time_factor;
    let late = runs
        .iter()
        .filter(|at| bound < **at && **at < drained.end && undisturbed(**at));
    late.count()
}
