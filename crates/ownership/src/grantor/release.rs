//! Release of a slice by its owner: it is removed from the owner's grants, the
//! release is confirmed, and the next owner is proposed to the log.

use threadledge_types::records::{SliceKey, SliceRecord};
use threadledge_types::session::Grant;
use threadledge_types::{BackEndId, Revision, Timestamp};

use super::handover::grant_of;
use super::{Grantor, Observation};
use crate::command::{Command, SliceEvidence};
use crate::machine::StateMachine;

/// A slice that was removed from its owner's grants.
#[derive(Clone, Debug)]
pub(super) struct WithheldSlice {
    pub owner: BackEndId,
    /// Revision of the slice at that time. Once the slice has another revision,
    /// this entry is void.
    pub revision: Revision,
    /// Number of the first state of the owner's grants without the slice.
    pub number: u64,
    /// The owner confirmed that it no longer serves the slice.
    pub confirmed: bool,
    /// Time at which the end of the handover was last proposed.
    pub proposed_at: Option<Timestamp>,
}

impl Grantor {
    /// Removes the slice from its owner's grants.
    pub(super) fn withhold(&mut self, key: &SliceKey, record: &SliceRecord, revision: Revision) {
        let Some(session) = &record.owner else {
            return;
        };
        let owner = session.back_end.clone();
        let number = self.remove_grant(key, &owner);
        if let Some(state) = self.back_ends.get_mut(&owner) {
            state.withheld.insert(key.clone());
        }
        self.observe(Observation::GrantWithheld {
            session: session.clone(),
            grant: grant_of(record),
        });
        let withheld = WithheldSlice {
            owner,
            revision,
            number,
            confirmed: false,
            proposed_at: None,
        };
        self.withheld.insert(key.clone(), withheld);
    }

    /// Confirms the release of withheld slices that the owner no longer serves.
    ///
    /// Exclusive ownership: the owner has accepted a state without the slice,
    /// so it admits no new requests for it and refuses every earlier lease
    /// request that would grant it again, and no admitted request of an
    /// overlapping slice is in flight.
    pub(super) fn record_releases(
        &mut self,
        now: Timestamp,
        from: &BackEndId,
        number: u64,
        releasing: &[Grant],
        machine: &StateMachine,
    ) {
        let Some(state) = self.back_ends.get(from) else {
            return;
        };
        let keys: Vec<SliceKey> = state.withheld.iter().cloned().collect();
        for key in &keys {
            let Some(record) = machine.slice(key) else {
                continue;
            };
            let in_flight = releasing.iter().any(|grant| {
                grant.service == record.service && grant.slice.overlaps(&record.slice)
            });
            let Some(withheld) = self.withheld.get_mut(key) else {
                continue;
            };
            if withheld.number <= number && !in_flight && !withheld.confirmed {
                withheld.confirmed = true;
                self.confirm_release(from, key);
            }
            self.reevaluate_slice(now, key, machine);
        }
    }

    fn confirm_release(&mut self, from: &BackEndId, key: &SliceKey) {
        let Some(state) = self.back_ends.get_mut(from) else {
            return;
        };
        state.withheld.remove(key);
        if let Some(session) = &state.session {
            let session = session.id.clone();
            let slice = key.clone();
            self.observe(Observation::ReleaseConfirmed { session, slice });
        }
    }

    /// Once the release is confirmed, proposes that the next owner takes over
    /// the slice, or that the slice becomes unowned if there is none.
    pub(super) fn propose_handover_end(
        &mut self,
        now: Timestamp,
        key: &SliceKey,
        record: &SliceRecord,
        machine: &StateMachine,
    ) {
        let retry = self.settings.proposal_timeout;
        let Some(withheld) = self.withheld.get_mut(key) else {
            return;
        };
        let is_pending = withheld.proposed_at.is_some_and(|at| now < at + retry);
        if !withheld.confirmed || is_pending {
            return;
        }
        withheld.proposed_at = Some(now);
        let evidence = SliceEvidence {
            term: self.term,
            epoch: record.epoch,
            revision: withheld.revision,
        };
        self.timers.insert((now + retry, key.clone()));
        let (service, slice) = (record.service.clone(), record.slice);
        let next = record.next.as_ref().and_then(|id| machine.session(id));
        self.propose(match next {
            Some(session) => Command::CompleteMove {
                service,
                slice,
                to: session.id.clone(),
                evidence,
            },
            None => Command::Release {
                service,
                slice,
                evidence,
            },
        });
    }
}
