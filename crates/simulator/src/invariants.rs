//! The guarantees that a run checks while it goes.

use std::fmt;

use threadledge_types::session::Grant;
use threadledge_types::{BackEndId, Epoch, Point, Revision, RouterId, ServiceId, Timestamp};

/// Violations kept; more are only counted.
const KEPT_VIOLATIONS: usize = 32;

/// A guarantee that did not hold.
#[derive(Clone, Debug, PartialEq)]
pub enum Violation {
    /// Two servers could both act on a key.
    TwoOwners {
        /// When.
        at: Timestamp,
        /// One server and what it holds.
        one: (BackEndId, Grant),
        /// The other.
        other: (BackEndId, Grant),
    },
    /// A router went back to a lower revision.
    RevisionWentBack {
        /// When.
        at: Timestamp,
        /// Which router.
        router: RouterId,
        /// Revision before.
        from: Revision,
        /// Revision after.
        to: Revision,
    },
    /// A key was served under a lower epoch than before.
    EpochWentBack {
        /// When.
        at: Timestamp,
        /// Service of the key.
        service: ServiceId,
        /// Point of the key.
        point: Point,
        /// Epoch before.
        from: Epoch,
        /// Epoch after.
        to: Epoch,
    },
    /// A router that took requests lacked a configuration that had been
    /// accepted longer ago than the bound.
    ConfigurationMissing {
        /// When.
        at: Timestamp,
        /// Which router.
        router: RouterId,
        /// Which object.
        object: String,
    },
}

impl fmt::Display for Violation {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{self:?}")
    }
}

/// Checks and their verdicts.
#[derive(Debug, Default)]
pub struct Invariants {
    kept: Vec<Violation>,
    count: u64,
    epochs: Vec<Epoch>,
}

impl Invariants {
    /// Violations found, at most the first few.
    pub fn violations(&self) -> &[Violation] {
        &self.kept
    }

    /// Number of violations found.
    pub fn count(&self) -> u64 {
        self.count
    }

    /// Notes a violation.
    pub fn report(&mut self, violation: Violation) {
        self.count += 1;
        if self.kept.len() < KEPT_VIOLATIONS {
            self.kept.push(violation);
        }
    }

    /// A router's copy went from one revision to another.
    pub fn saw_revision(&mut self, at: Timestamp, router: RouterId, from: Revision, to: Revision) {
        if to < from {
            self.report(Violation::RevisionWentBack {
                at,
                router,
                from,
                to,
            });
        }
    }

    /// The numbered probe's key could be served under an epoch.
    pub fn saw_epoch(
        &mut self,
        at: Timestamp,
        (probe, service, point): (usize, &ServiceId, Point),
        to: Epoch,
    ) {
        if self.epochs.len() <= probe {
            self.epochs.resize(probe + 1, Epoch::default());
        }
        let from = self.epochs[probe];
        if to < from {
            self.report(Violation::EpochWentBack {
                at,
                service: service.clone(),
                point,
                from,
                to,
            });
        }
        self.epochs[probe] = from.max(to);
    }

    /// One server took grants: none of them may overlap what another server
    /// may act on at the same instant.
    pub fn check_single_owner<'a>(
        &mut self,
        at: Timestamp,
        owner: &BackEndId,
        taken: &[Grant],
        others: impl Iterator<Item = (&'a BackEndId, Vec<Grant>)>,
    ) {
        for (other, grants) in others {
            for held in &grants {
                let conflict = taken.iter().find(|grant| {
                    grant.service == held.service && grant.slice.overlaps(&held.slice)
                });
                if let Some(grant) = conflict {
                    self.report(Violation::TwoOwners {
                        at,
                        one: (owner.clone(), grant.clone()),
                        other: (other.clone(), held.clone()),
                    });
                }
            }
        }
    }
}
