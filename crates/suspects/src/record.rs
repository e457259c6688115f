//! Record in the platform's store of the requests that are held or close to it.
//! It preserves them when all gateways stop at once.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};
use threadledge_types::Timestamp;

use crate::suspect::CRASHES_UNTIL_HELD;
use crate::suspects::Suspects;
use crate::update::{SuspectReport, SuspectUpdate, UpdateScope};

/// Maximum number of requests in the record, below the store's limit for one
/// object. The latest ones stay.
const MAX_HELD: usize = 128;

/// Record of a deployment with the requests that are held and those that the
/// next crash holds.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct HeldRecord {
    /// Reports of these requests. Their ages count from when the record is
    /// read, because it is unknown how long it was stored.
    pub held: Vec<SuspectReport>,
}

impl HeldRecord {
    /// Returns the record as this gateway would write it, or `None` if it is up
    /// to date. It contains the requests of [`Suspects::to_persist`], and those
    /// already in the record that were not released here.
    pub fn updated(&self, suspects: &Suspects, now: Timestamp) -> Option<HeldRecord> {
        let reports = suspects
            .updates_since(0, UpdateScope::Repeated, now)
            .suspects;
        let kept = suspects.to_persist();
        let stays = |stored: &&SuspectReport| {
            suspects.get(stored.request).is_none() || kept.contains_key(&stored.request)
        };
        let mut held: Vec<SuspectReport> = self.held.iter().filter(stays).cloned().collect();
        let mut changed = held.len() != self.held.len();
        for report in reports
            .into_iter()
            .filter(|report| kept.contains_key(&report.request))
        {
            let stored = held
                .iter()
                .position(|stored| stored.request == report.request);
            match stored {
                Some(index) if !adds_crashes(&report, &held[index]) => continue,
                Some(index) => held[index] = report,
                None => held.push(report),
            }
            changed = true;
        }
        let excess = held.len().saturating_sub(MAX_HELD);
        held.drain(..excess);
        changed.then_some(HeldRecord { held })
    }

    /// Converts the record to an update that can be merged.
    pub fn to_update(&self) -> SuspectUpdate {
        SuspectUpdate {
            suspects: self.held.clone(),
            answered: Vec::new(),
        }
    }
}

/// Whether `report` adds crashes to a stored report of a request that is not
/// held yet.
fn adds_crashes(report: &SuspectReport, stored: &SuspectReport) -> bool {
    let processes = |report: &SuspectReport| {
        let crashes = report.crashes.iter();
        crashes
            .map(|crash| crash.back_end.clone())
            .collect::<BTreeSet<_>>()
            .len()
    };
    processes(stored) < CRASHES_UNTIL_HELD && processes(report) > processes(stored)
}
