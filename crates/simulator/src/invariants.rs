//! Invariants that are checked while a world runs.

use std::fmt;

use threadledge_types::session::Grant;
use threadledge_types::{BackEndId, Epoch, Point, Revision, RouterId, ServiceId, Timestamp};

/// Number of violations that are recorded; further ones are only counted.
const MAX_RECORDED_VIOLATIONS: usize = 32;

/// A violated invariant.
#[derive(Clone, Debug, PartialEq)]
pub enum Violation {
    /// Two back ends could both act on a key.
    TwoOwners {
        /// Time of the violation.
        at: Timestamp,
        /// One back end and its grant.
        one: (BackEndId, Grant),
        /// The other back end and its grant.
        other: (BackEndId, Grant),
    },
    /// A router's copy of the records returned to a lower revision.
    RevisionWentBack {
        /// Time of the violation.
        at: Timestamp,
        /// The router.
        router: RouterId,
        /// Earlier revision.
        from: Revision,
        /// Later revision.
        to: Revision,
    },
    /// A key was served under a lower epoch than before.
    EpochWentBack {
        /// Time of the violation.
        at: Timestamp,
        /// Service of the key.
        service: ServiceId,
        /// Point of the key.
        point: Point,
        /// Earlier epoch.
        from: Epoch,
        /// Later epoch.
        to: Epoch,
    },
    /// A router that accepts requests lacked a configuration that had been
    /// accepted longer ago than the bound.
    ConfigurationMissing {
        /// Time of the violation.
        at: Timestamp,
        /// The router.
        router: RouterId,
        /// Description of the missing object.
        object: String,
    },
}

impl fmt::Display for Violation {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{self:?}")
    }
}

/// Checks the invariants and records violations.
#[derive(Debug, Default)]
pub struct Invariants {
    recorded: Vec<Violation>,
    count: u64,
    /// Highest epoch at each probe, by number of the probe.
    epochs: Vec<Epoch>,
}

impl Invariants {
    /// Returns the first recorded violations.
    pub fn violations(&self) -> &[Violation] {
        &self.recorded
    }

    /// Returns the number of violations found.
    pub fn count(&self) -> u64 {
        self.count
    }

    /// Records a violation.
    pub fn report(&mut self, violation: Violation) {
        self.count += 1;
        if self.recorded.len() < MAX_RECORDED_VIOLATIONS {
            self.recorded.push(violation);
        }
    }

    /// Checks that a router's copy of the records does not return to a lower
    /// revision.
    pub fn check_revision(
        &mut self,
        at: Timestamp,
        router: RouterId,
        from: Revision,
        to: Revision,
    ) {
        if to < from {
            self.report(Violation::RevisionWentBack {
                at,
                router,
                from,
                to,
            });
        }
    }

    /// Checks that the key of a numbered probe is not served under a lower
    /// epoch than before.
    pub fn check_epoch(
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

    /// Checks that newly taken grants of one back end do not overlap grants
    /// that others may act on at the same time.
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
