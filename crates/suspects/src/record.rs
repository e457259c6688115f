//! The requests that are held or close to it, as the platform's store keeps
//! them: what all gateways lose when they end at once.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};
use threadledge_types::Timestamp;

use crate::update::{UpdateScope, SuspectUpdate, SuspectReport};
use crate::suspect::CRASHES_UNTIL_HELD;
use crate::suspects::Suspects;

/// Requests in the record, below what the store takes in one object. The
/// latest ones stay.
const MOST_HELD: usize = 128;

/// The object of a deployment that names the requests that are held, and those
/// that the next crash holds.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct HeldRecord {
    /// The requests. Ages count from when the record is read: nobody knows how
    /// long it lay there.
    pub held: Vec<SuspectReport>,
}

impl HeldRecord {
    /// The record as this gateway would have it: what is held here, and what
    /// stands there already and was not let go here. `None`: it stands there
    /// as it should.
    pub fn updated(&self, suspects: &Suspects, now: Timestamp) -> Option<HeldRecord> {
        let own = suspects.updates_since(0, UpdateScope::Repeated, now).suspects;
        let kept = suspects.to_persist();
        let stays = |there: &&SuspectReport| {
            suspects.get(there.request).is_none() || kept.contains_key(&there.request)
        };
        let mut held: Vec<SuspectReport> = self.held.iter().filter(stays).cloned().collect();
        let mut changed = held.len() != self.held.len();
        for report in own
            .into_iter()
            .filter(|own| kept.contains_key(&own.request))
        {
            let there = held
                .iter()
                .position(|there| there.request == report.request);
            match there {
                Some(place) if !adds(&report, &held[place]) => continue,
                Some(place) => held[place] = report,
                None => held.push(report),
            }
            changed = true;
        }
        let excess = held.len().saturating_sub(MOST_HELD);
        held.drain(..excess);
        changed.then_some(HeldRecord { held })
    }

    /// What the record tells.
    pub fn to_update(&self) -> SuspectUpdate {
        SuspectUpdate {
            suspects: self.held.clone(),
            answered: Vec::new(),
        }
    }
}

/// Whether the report holds a request that what stands there does not yet.
fn adds(report: &SuspectReport, there: &SuspectReport) -> bool {
    let processes = |report: &SuspectReport| {
        let crashes = report.crashes.iter();
        crashes
            .map(|crash| crash.back_end.clone())
            .collect::<BTreeSet<_>>()
            .len()
    };
    processes(there) < CRASHES_UNTIL_HELD && processes(report) > processes(there)
}
