//! The requests that are held, as the platform's store keeps them: what all
//! gateways lose when they end at once.

use serde::{Deserialize, Serialize};
use threadledge_types::Timestamp;

use crate::identity::RequestHash;
use crate::news::{Scope, SuspectNews, SuspectReport};
use crate::suspects::Suspects;

/// Requests in the record, below what the store takes in one object. The
/// latest ones stay.
const MOST_HELD: usize = 128;

/// The object of a deployment that names the requests that are held.
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
        let own = suspects.news_since(0, Scope::Repeated, now).suspects;
        let is_held = |request: RequestHash| {
            let suspect = suspects.get(request);
            suspect.is_some_and(|suspect| suspect.is_held_for_any())
        };
        let stays =
            |kept: &&SuspectReport| suspects.get(kept.request).is_none() || is_held(kept.request);
        let mut held: Vec<SuspectReport> = self.held.iter().filter(stays).cloned().collect();
        let mut changed = held.len() != self.held.len();
        for report in own.into_iter().filter(|report| is_held(report.request)) {
            if held.iter().any(|kept| kept.request == report.request) {
                continue;
            }
            held.push(report);
            changed = true;
        }
        let excess = held.len().saturating_sub(MOST_HELD);
        held.drain(..excess);
        changed.then_some(HeldRecord { held })
    }

    /// What the record tells.
    pub fn news(&self) -> SuspectNews {
        SuspectNews {
            suspects: self.held.clone(),
            answered: Vec::new(),
        }
    }
}
