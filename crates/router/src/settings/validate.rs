//! Contradictions between settings.

use std::net::SocketAddr;

use super::{Limits, Settings, SettingsProblem};
use threadledge_types::Timing;

/// A lease must survive this many lost renewals, less one.
const RENEWALS_PER_LEASE: u64 = 3;
/// An election must not start before this many heartbeats are lost, less one.
const HEARTBEATS_PER_ELECTION: u64 = 3;
/// A bound on confirmation must allow this many attempts.
const CONFIRMS_PER_BOUND: u64 = 2;
/// Sizes of a group that tolerate a loss without wasting a member.
const GROUP_SIZES: [u32; 3] = [1, 3, 5];
/// Clocks that differ more than this are broken.
const LARGEST_DRIFT_PERCENT: u64 = 50;
/// Largest head that the HTTP library reads, in bytes.
pub(super) const LARGEST_HEAD_BYTES: usize = threadledge_net::MAX_HEAD_BYTES;
/// Smallest head that an ordinary request fits in, in bytes.
const SMALLEST_HEAD_BYTES: usize = 512;

/// Every contradiction.
pub(super) fn contradictions(settings: &Settings) -> Vec<SettingsProblem> {
    let mut problems = Vec::new();
    names(settings, &mut problems);
    addresses(settings, &mut problems);
    group_size(settings.group_size, &mut problems);
    timing(&settings.timing, &mut problems);
    limits(&settings.limits, &mut problems);
    problems
}

fn names(settings: &Settings, problems: &mut Vec<SettingsProblem>) {
    let token_file = settings.platform_token_file.as_deref();
    let names = [
        ("machine", Some(settings.machine.0.as_str())),
        ("region", Some(settings.region.0.as_str())),
        ("zone", Some(settings.zone.0.as_str())),
        (
            "platform-token-file",
            token_file.map(|path| path.to_str().unwrap_or_default()),
        ),
    ];
    for (key, value) in names {
        if value.is_some_and(|value| value.trim().is_empty()) {
            problems.push(SettingsProblem::OutOfRange {
                key,
                value: "empty".to_owned(),
                range: "of at least one letter",
            });
        }
    }
}

fn addresses(settings: &Settings, problems: &mut Vec<SettingsProblem>) {
    let all: [(&'static str, SocketAddr); 5] = [
        ("caller-address", settings.caller_address),
        ("peer-address", settings.peer_address),
        ("operator-address", settings.operator_address),
        ("platform-address", settings.platform_address),
        ("machine-list-address", settings.machine_list_address),
    ];
    for (number, (key, address)) in all.iter().enumerate() {
        if address.ip().is_unspecified() {
            problems.push(SettingsProblem::UnspecifiedAddress {
                key,
                value: address.ip().to_string(),
            });
        }
        if address.port() == 0 {
            problems.push(SettingsProblem::PortZero { key });
        }
        let earlier = all[..number].iter().find(|(_, other)| other == address);
        if let Some((first, _)) = earlier
            && !may_share(first, key)
        {
            problems.push(SettingsProblem::EqualAddresses {
                first,
                second: key,
                value: address.to_string(),
            });
        }
    }
}

/// The platform may serve its machine list and its object API from one place.
fn may_share(first: &str, second: &str) -> bool {
    first == "platform-address" && second == "machine-list-address"
}

fn group_size(value: u32, problems: &mut Vec<SettingsProblem>) {
    if !GROUP_SIZES.contains(&value) {
        problems.push(SettingsProblem::OutOfRange {
            key: "group-size",
            value: value.to_string(),
            range: "of 1, 3 or 5",
        });
    }
}

fn timing(timing: &Timing, problems: &mut Vec<SettingsProblem>) {
    positive("timing.renewal-ms", timing.renewal_ms, problems);
    positive("timing.heartbeat-ms", timing.heartbeat_ms, problems);
    positive("timing.confirm-ms", timing.confirm_ms, problems);
    if timing.drift_percent > LARGEST_DRIFT_PERCENT {
        problems.push(SettingsProblem::OutOfRange {
            key: "timing.drift-percent",
            value: timing.drift_percent.to_string(),
            range: "between 0 and 50",
        });
    }
    problems.extend(timing_rules(timing).into_iter().filter_map(Rule::broken));
}

/// The durations that rest on each other.
fn timing_rules(timing: &Timing) -> [Rule; 4] {
    [
        Rule {
            key: "timing.lease-ms",
            value: timing.lease_ms,
            least: timing.renewal_ms.saturating_mul(RENEWALS_PER_LEASE),
            other: "timing.renewal-ms",
            reason: "a lease outlasts two lost renewals",
        },
        Rule {
            key: "timing.election-min-ms",
            value: timing.election_min_ms,
            least: timing.heartbeat_ms.saturating_mul(HEARTBEATS_PER_ELECTION),
            other: "timing.heartbeat-ms",
            reason: "an election outlasts two lost heartbeats",
        },
        Rule {
            key: "timing.election-max-ms",
            value: timing.election_max_ms,
            least: timing.election_min_ms.saturating_add(1),
            other: "timing.election-min-ms",
            reason: "candidates need different timeouts",
        },
        Rule {
            key: "timing.confirm-bound-ms",
            value: timing.confirm_bound_ms,
            least: timing.confirm_ms.saturating_mul(CONFIRMS_PER_BOUND),
            other: "timing.confirm-ms",
            reason: "one lost confirmation is tolerated",
        },
    ]
}

fn limits(limits: &Limits, problems: &mut Vec<SettingsProblem>) {
    if !(SMALLEST_HEAD_BYTES..=LARGEST_HEAD_BYTES).contains(&limits.max_head_bytes) {
        problems.push(SettingsProblem::OutOfRange {
            key: "limits.max-head-bytes",
            value: limits.max_head_bytes.to_string(),
            range: "between 512 and 8191",
        });
    }
    positive("limits.head-timeout-ms", limits.head_timeout_ms, problems);
    positive("limits.idle-timeout-ms", limits.idle_timeout_ms, problems);
    positive("limits.drain-timeout-ms", limits.drain_timeout_ms, problems);
    let connections = u64::try_from(limits.max_caller_connections).unwrap_or(u64::MAX);
    positive("limits.max-caller-connections", connections, problems);
    let share = limits.namespace_share;
    if !(share > 0.0 && share <= 1.0) {
        problems.push(SettingsProblem::OutOfRange {
            key: "limits.namespace-share",
            value: share.to_string(),
            range: "above 0 and at most 1",
        });
    }
}

fn positive(key: &'static str, value: u64, problems: &mut Vec<SettingsProblem>) {
    if value == 0 {
        problems.push(SettingsProblem::OutOfRange {
            key,
            value: "0".to_owned(),
            range: "of at least 1",
        });
    }
}

/// A value that must not be smaller than another one allows.
struct Rule {
    key: &'static str,
    value: u64,
    least: u64,
    other: &'static str,
    reason: &'static str,
}

impl Rule {
    fn broken(self) -> Option<SettingsProblem> {
        (self.value < self.least).then_some(SettingsProblem::TooSmall {
            key: self.key,
            value: self.value,
            least: self.least,
            reason: self.reason,
            other: self.other,
        })
    }
}
