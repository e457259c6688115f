//! Validation of settings.

use std::net::SocketAddr;

use super::{Limits, Settings, SettingsProblem};
use threadledge_types::Timing;

/// Minimum length of a lease in renewal intervals. With 3, a lease survives two
/// lost renewals.
const RENEWALS_PER_LEASE: u64 = 3;
/// Minimum election timeout in heartbeat intervals. With 3, two lost heartbeats
/// do not start an election.
const HEARTBEATS_PER_ELECTION: u64 = 3;
/// Minimum bound on confirmation in confirmation intervals. With 2, one lost
/// confirmation is tolerated.
const CONFIRMS_PER_BOUND: u64 = 2;
/// Valid group sizes. Even sizes are excluded, because the additional member
/// does not increase the number of tolerated losses.
const GROUP_SIZES: [u32; 3] = [1, 3, 5];
/// Maximum configurable clock drift, in percent. Clocks that differ by more are
/// faulty.
const MAX_DRIFT_PERCENT: u64 = 50;
/// Maximum size of a head that the HTTP library can read, in bytes.
pub(super) const MAX_HEAD_BYTES: usize = threadledge_net::MAX_HEAD_BYTES;
/// Minimum head limit, in bytes, into which an ordinary request fits.
const MIN_HEAD_BYTES: usize = 512;

/// Returns every problem of the values and their relations.
pub(super) fn find_problems(settings: &Settings) -> Vec<SettingsProblem> {
    let mut problems = Vec::new();
    check_names(settings, &mut problems);
    check_addresses(settings, &mut problems);
    check_group_size(settings.group_size, &mut problems);
    check_timing(&settings.timing, &mut problems);
    check_limits(&settings.limits, &mut problems);
    problems
}

fn check_names(settings: &Settings, problems: &mut Vec<SettingsProblem>) {
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

fn check_addresses(settings: &Settings, problems: &mut Vec<SettingsProblem>) {
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
            && !may_share_address(first, key)
        {
            problems.push(SettingsProblem::EqualAddresses {
                first,
                second: key,
                value: address.to_string(),
            });
        }
    }
}

/// Returns whether two keys may have the same address: the platform may serve
/// its object API and its machine list on one.
fn may_share_address(first: &str, second: &str) -> bool {
    first == "platform-address" && second == "machine-list-address"
}

fn check_group_size(value: u32, problems: &mut Vec<SettingsProblem>) {
    if !GROUP_SIZES.contains(&value) {
        problems.push(SettingsProblem::OutOfRange {
            key: "group-size",
            value: value.to_string(),
            range: "of 1, 3 or 5",
        });
    }
}

fn check_timing(timing: &Timing, problems: &mut Vec<SettingsProblem>) {
    check_positive("timing.renewal-ms", timing.renewal_ms, problems);
    check_positive("timing.heartbeat-ms", timing.heartbeat_ms, problems);
    check_positive("timing.confirm-ms", timing.confirm_ms, problems);
    if timing.drift_percent > MAX_DRIFT_PERCENT {
        problems.push(SettingsProblem::OutOfRange {
            key: "timing.drift-percent",
            value: timing.drift_percent.to_string(),
            range: "between 0 and 50",
        });
    }
    problems.extend(
        timing_rules(timing)
            .into_iter()
            .filter_map(MinimumRule::violation),
    );
}

/// Returns the minimum values of durations that depend on other durations.
fn timing_rules(timing: &Timing) -> [MinimumRule; 4] {
    [
        MinimumRule {
            key: "timing.lease-ms",
            value: timing.lease_ms,
            least: timing.renewal_ms.saturating_mul(RENEWALS_PER_LEASE),
            other: "timing.renewal-ms",
            reason: "a lease outlasts two lost renewals",
        },
        MinimumRule {
            key: "timing.election-min-ms",
            value: timing.election_min_ms,
            least: timing.heartbeat_ms.saturating_mul(HEARTBEATS_PER_ELECTION),
            other: "timing.heartbeat-ms",
            reason: "an election outlasts two lost heartbeats",
        },
        MinimumRule {
            key: "timing.election-max-ms",
            value: timing.election_max_ms,
            least: timing.election_min_ms.saturating_add(1),
            other: "timing.election-min-ms",
            reason: "candidates need different timeouts",
        },
        MinimumRule {
            key: "timing.confirm-bound-ms",
            value: timing.confirm_bound_ms,
            least: timing.confirm_ms.saturating_mul(CONFIRMS_PER_BOUND),
            other: "timing.confirm-ms",
            reason: "one lost confirmation is tolerated",
        },
    ]
}

fn check_limits(limits: &Limits, problems: &mut Vec<SettingsProblem>) {
    if !(MIN_HEAD_BYTES..=MAX_HEAD_BYTES).contains(&limits.max_head_bytes) {
        problems.push(SettingsProblem::OutOfRange {
            key: "limits.max-head-bytes",
            value: limits.max_head_bytes.to_string(),
            range: "between 512 and 8191",
        });
    }
    check_positive("limits.head-timeout-ms", limits.head_timeout_ms, problems);
    check_positive("limits.idle-timeout-ms", limits.idle_timeout_ms, problems);
    check_positive("limits.drain-timeout-ms", limits.drain_timeout_ms, problems);
    let connections = u64::try_from(limits.max_caller_connections).unwrap_or(u64::MAX);
    check_positive("limits.max-caller-connections", connections, problems);
    let share = limits.namespace_share;
    if !(share > 0.0 && share <= 1.0) {
        problems.push(SettingsProblem::OutOfRange {
            key: "limits.namespace-share",
            value: share.to_string(),
            range: "above 0 and at most 1",
        });
    }
}

fn check_positive(key: &'static str, value: u64, problems: &mut Vec<SettingsProblem>) {
    if value == 0 {
        problems.push(SettingsProblem::OutOfRange {
            key,
            value: "0".to_owned(),
            range: "of at least 1",
        });
    }
}

/// The minimum of a value that depends on another value.
struct MinimumRule {
    key: &'static str,
    value: u64,
    least: u64,
    other: &'static str,
    reason: &'static str,
}

impl MinimumRule {
    fn violation(self) -> Option<SettingsProblem> {
        (self.value < self.least).then_some(SettingsProblem::TooSmall {
            key: self.key,
            value: self.value,
            least: self.least,
            reason: self.reason,
            other: self.other,
        })
    }
}
