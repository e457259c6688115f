//! The replicated state machine of a group.
//!
//! It is deterministic: members that applied the same entries hold the same
//! state. The cost of applying a command depends on the size of its change, not
//! on the size of the state.

mod boundaries;
mod edit;
mod entries;
mod objects;
mod read;
mod recovery;
mod rejection;
mod selection;
mod sessions;
mod slices;
mod snapshot;
mod tombstones;

use std::collections::{BTreeMap, BTreeSet};

use threadledge_types::records::{RecordChange, SessionRecord, SliceKey, SliceRecord};
use threadledge_types::{BackEndId, GroupId, Point, Revision, ServiceId};

use crate::command::{Command, LeaderTerm};
use entries::{BackEndEntry, ServiceEntry, SessionEntry};
pub use rejection::Rejection;
pub use selection::MAXIMUM_INITIAL_SLICES;
pub use snapshot::Snapshot;
pub use tombstones::MAXIMUM_TOMBSTONES;
use tombstones::Tombstones;

/// Result of applying one log entry.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Applied {
    /// Changed records, in order, to be sent to the routers' copies.
    pub changes: Vec<RecordChange>,
    /// Commands that were rejected, with the reason.
    pub rejected: Vec<Rejection>,
}

/// The replicated state of one group.
#[derive(Clone, Debug)]
pub struct StateMachine {
    group: GroupId,
    revision: Revision,
    term: LeaderTerm,
    /// Set after a new founding of the group, while leases of the earlier
    /// generation may still be valid.
    recovering: bool,
    services: BTreeMap<ServiceId, ServiceEntry>,
    back_ends: BTreeMap<BackEndId, BackEndEntry>,
    /// Open sessions, at most one per back end.
    sessions: BTreeMap<BackEndId, SessionEntry>,
    service_tombstones: Tombstones,
    back_end_tombstones: Tombstones,
    /// Index of slices that are being moved.
    pending_moves: BTreeSet<SliceKey>,
    /// Index of slices that are being moved, by next owner.
    incoming: BTreeMap<BackEndId, BTreeSet<SliceKey>>,
    /// Index of owned slices that their owner must give up.
    misplaced: BTreeSet<SliceKey>,
}

impl StateMachine {
    /// Creates an empty state.
    pub fn new(group: GroupId) -> Self {
        StateMachine {
            group,
            revision: Revision::NONE,
            term: LeaderTerm::default(),
            recovering: false,
            services: BTreeMap::new(),
            back_ends: BTreeMap::new(),
            sessions: BTreeMap::new(),
            service_tombstones: Tombstones::default(),
            back_end_tombstones: Tombstones::default(),
            pending_moves: BTreeSet::new(),
            incoming: BTreeMap::new(),
            misplaced: BTreeSet::new(),
        }
    }

    /// Applies the entry at `revision`. An entry at or below the last applied
    /// revision is rejected.
    pub fn apply(&mut self, revision: Revision, command: &Command) -> Applied {
        let mut applied = Applied::default();
        // Revisions only increase, so state never reverts and epochs are never
        // reused.
        if revision <= self.revision {
            applied.rejected.push(Rejection::AlreadyApplied(revision));
            return applied;
        }
        self.revision = revision;
        self.apply_command(command, &mut applied);
        applied
    }

    fn apply_command(&mut self, command: &Command, applied: &mut Applied) {
        let result = match command {
            Command::BeginTerm(term) => self.begin_term(*term, applied),
            Command::EndRecovery(term) => self.end_recovery(*term),
            Command::ApplyObjects { changes } => {
                self.apply_objects(changes, applied);
                Ok(())
            }
            Command::OpenSession(session) => self.open_session(session, applied),
            Command::CloseSession {
                session,
                opened,
                term,
            } => self.close_session(session, *opened, *term, applied),
            Command::MarkDraining(session) => self.mark_draining(session, applied),
            Command::Assign {
                service,
                slice,
                to,
                expected_epoch,
            } => self.assign(service, *slice, to, *expected_epoch, applied),
            Command::BeginMove {
                service,
                slice,
                to,
                expected_epoch,
            } => self.begin_move(service, *slice, to, *expected_epoch, applied),
            Command::CancelMove {
                service,
                slice,
                expected_epoch,
            } => self.cancel_move(service, *slice, *expected_epoch, applied),
            Command::CompleteMove {
                service,
                slice,
                to,
                evidence,
            } => self.complete_move(service, *slice, to, evidence, applied),
            Command::Release {
                service,
                slice,
                evidence,
            } => self.release(service, *slice, evidence, applied),
            Command::Split {
                service,
                slice,
                at,
                expected_epoch,
            } => self.split(service, *slice, *at, *expected_epoch, applied),
            Command::Merge { .. } => self.merge(command, applied),
            Command::Batch(commands) => {
                for command in commands {
                    self.apply_command(command, applied);
                }
                Ok(())
            }
        };
        if let Err(rejection) = result {
            applied.rejected.push(rejection);
        }
    }

    /// Rejects a command of a leader whose term is over.
    fn check_term(&self, term: LeaderTerm) -> Result<(), Rejection> {
        if term == self.term {
            Ok(())
        } else {
            Err(Rejection::TermOver(term, self.term))
        }
    }

    fn begin_term(&mut self, term: LeaderTerm, applied: &mut Applied) -> Result<(), Rejection> {
        if term <= self.term {
            return Err(Rejection::TermOver(term, self.term));
        }
        let is_new_founding =
            term.generation > self.term.generation && term.generation.0 > FIRST_GENERATION;
        self.term = term;
        if is_new_founding {
            // Assignments made after the checkpoint are unknown here, so none
            // of those in the checkpoint can be trusted.
            self.recovering = true;
            self.close_every_session(applied);
        }
        Ok(())
    }

    fn end_recovery(&mut self, term: LeaderTerm) -> Result<(), Rejection> {
        self.check_term(term)?;
        self.recovering = false;
        Ok(())
    }
}

/// Generation of a group that was founded only once.
const FIRST_GENERATION: u32 = 1;

/// Builds the slice record that is sent to routers.
fn slice_record(service: &ServiceId, first: Point, entry: &entries::SliceEntry) -> SliceRecord {
    SliceRecord {
        service: service.clone(),
        slice: entry.slice(first),
        owner: entry.owner.clone(),
        epoch: entry.epoch,
        next: entry.next.clone(),
    }
}

impl SessionEntry {
    fn new(record: SessionRecord, opened: Revision) -> Self {
        SessionEntry {
            record,
            opened,
            slices: BTreeSet::new(),
        }
    }
}
