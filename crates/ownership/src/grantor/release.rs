//! How a slice leaves its owner: taken out of its holdings, confirmed, and
//! given on in the log.

use threadledge_types::records::{SliceKey, SliceRecord};
use threadledge_types::session::Grant;
use threadledge_types::{BackEndId, Revision, Timestamp};

use super::handover::grant_of;
use super::{Grantor, Observation};
use crate::command::{Command, SliceEvidence};
use crate::machine::StateMachine;

/// A slice taken out of its owner's holdings.
#[derive(Clone, Debug)]
pub(super) struct Withheld {
    pub owner: BackEndId,
    /// Revision of the slice at that time; once it differs, this is void.
    pub revision: Revision,
    /// Number of the owner's first state without the slice.
    pub number: u64,
    pub confirmed: bool,
    pub proposed_at: Option<Timestamp>,
}

impl Grantor {
    /// Takes the slice out of its owner's holdings.
    pub(super) fn withhold(&mut self, key: &SliceKey, record: &SliceRecord, revision: Revision) {
        let Some(session) = &record.owner else {
            return;
        };
        let owner = session.back_end.clone();
        let number = self.take_out(key, &owner);
        if let Some(contact) = self.contacts.get_mut(&owner) {
            contact.withheld.insert(key.clone());
        }
        self.observe(Observation::GrantWithheld {
            session: session.clone(),
            grant: grant_of(record),
        });
        let withheld = Withheld {
            owner,
            revision,
            number,
            confirmed: false,
            proposed_at: None,
        };
        self.withheld.insert(key.clone(), withheld);
    }

    /// Notes which withheld slices the owner serves no more.
    ///
    /// One owner: the owner has taken a state without the slice, so it
    /// admits nothing new, and refuses every earlier request that would give
    /// it back; and no admitted work of an overlapping slice is running.
    pub(super) fn note_releases(
        &mut self,
        now: Timestamp,
        from: &BackEndId,
        number: u64,
        releasing: &[Grant],
        machine: &StateMachine,
    ) {
        let Some(contact) = self.contacts.get(from) else {
            return;
        };
        let keys: Vec<SliceKey> = contact.withheld.iter().cloned().collect();
        for key in &keys {
            let Some(record) = machine.slice(key) else {
                continue;
            };
            let running = releasing.iter().any(|grant| {
                grant.service == record.service && grant.slice.overlaps(&record.slice)
            });
            let Some(withheld) = self.withheld.get_mut(key) else {
                continue;
            };
            if withheld.number <= number && !running && !withheld.confirmed {
                withheld.confirmed = true;
                self.confirm(from, key);
            }
            self.review(now, key, machine);
        }
    }

    fn confirm(&mut self, from: &BackEndId, key: &SliceKey) {
        let Some(contact) = self.contacts.get_mut(from) else {
            return;
        };
        contact.withheld.remove(key);
        if let Some(session) = &contact.session {
            let session = session.id.clone();
            let slice = key.clone();
            self.observe(Observation::ReleaseConfirmed { session, slice });
        }
    }

    /// Proposes the new owner of a slice whose release is confirmed.
    pub(super) fn propose_end(
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
        let awaited = withheld.proposed_at.is_some_and(|at| now < at + retry);
        if !withheld.confirmed || awaited {
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
