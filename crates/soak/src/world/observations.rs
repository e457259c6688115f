//! What back ends have recorded, for the checks.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use super::{BackEnd, World};
use crate::caller::Kind;
use crate::check::Violation;
use crate::crashing;
use crate::ownership::{self, KeyChangeEvent, KeyedRun};
use crate::tenants;

impl World {
    /// Number of answers that back ends sent twice.
    pub fn doubled_answers(&self) -> u64 {
        let all = self.back_ends.iter().chain(&self.former_back_ends);
        // A process that serves at the address of a crashed one shares its proxy.
        let counts: BTreeMap<SocketAddr, u64> = all
            .map(|back_end| (back_end.proxy.address(), back_end.proxy.doubled()))
            .collect();
        counts.values().sum()
    }

    /// Checks which back ends held which keys when. Times in the violations
    /// count from `start`.
    pub fn check_ownership(&self, start: Instant, tolerance: Duration) -> Vec<Violation> {
        let all = self.back_ends.iter().chain(&self.former_back_ends);
        let all: Vec<(String, &BackEnd)> = all
            .map(|back_end| (back_end.inner.incarnation(), back_end))
            .collect();
        let mut changes = Vec::new();
        let mut runs = Vec::new();
        for (incarnation, BackEnd { inner, proxy, .. }) in &all {
            let back_end = incarnation.as_str();
            let since = |at: Instant| at.saturating_duration_since(start);
            changes.extend(inner.key_events().iter().map(|event| {
                KeyChangeEvent {
                    back_end,
                    at: since(event.at),
                    change: event.change,
                    late: event.late,
                    delayed: self
                        .link
                        .as_ref()
                        .is_some_and(|link| link.may_have_delayed(event.at)),
                    unread: proxy.may_have_read_late(event.at),
                }
            }));
            let keyed = inner.runs();
            let keyed = keyed.iter().filter_map(|run| Some((run, run.key?)));
            runs.extend(keyed.map(|(run, key)| KeyedRun {
                back_end,
                at: since(run.at),
                until: run.until.map(since),
                key,
            }));
        }
        ownership::check_history(&changes, &runs, tolerance)
    }

    /// Returns when each request started at the back ends of a zone.
    pub fn run_times_in_zone(&self, zone: &str) -> Vec<Instant> {
        let all = self.back_ends.iter().chain(&self.former_back_ends);
        let there = all.filter(|back_end| back_end.zone == zone);
        there
            .flat_map(|back_end| back_end.inner.runs())
            .map(|run| run.at)
            .collect()
    }

    /// Returns when each run of the crashing request of a kind started.
    pub fn crashing_run_times(&self, kind: Kind) -> Vec<Instant> {
        let all = self.back_ends.iter().chain(&self.former_back_ends);
        let runs = all.flat_map(|back_end| back_end.inner.runs());
        runs.filter(|run| crashing::is_crashing_request(kind, &run.target))
            .map(|run| run.at)
            .collect()
    }

    /// Returns how often each request ran, over all back ends.
    pub fn runs(&self) -> BTreeMap<String, usize> {
        let mut runs = BTreeMap::new();
        for back_end in self.back_ends.iter().chain(&self.former_back_ends) {
            for run in back_end.inner.runs() {
                *runs.entry(run.id).or_default() += 1;
            }
        }
        runs
    }

    /// Checks the tenant that back ends were told for each request that they
    /// ran.
    pub fn check_tenants(&self) -> Vec<Violation> {
        let all = self.back_ends.iter().chain(&self.former_back_ends);
        let found = all.map(|back_end| tenants::check_runs(&back_end.inner.runs()));
        found.flatten().collect()
    }

    /// Returns which of the sampled keys each back end holds.
    pub fn held_keys(&self) -> Vec<(String, Vec<u16>)> {
        let all = self.back_ends.iter().chain(&self.former_back_ends);
        let keyed = all.filter(|back_end| back_end.inner.keyed);
        keyed
            .map(|back_end| {
                (
                    back_end.inner.incarnation(),
                    back_end.inner.held(&sampled_keys()),
                )
            })
            .collect()
    }
}

/// Keys whose owners are checked.
pub fn sampled_keys() -> Vec<u16> {
    (0..=u16::MAX).step_by(512).collect()
}
