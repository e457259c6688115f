//! Which sessions there are and which are over.

use threadledge_types::records::SliceKey;
use threadledge_types::{BackEndId, Revision, SessionId, Timestamp};

use super::contact::{Contact, GrantedSession};
use super::holdings::Holdings;
use super::{Grantor, GrantorOutput, Observation, is_wanted};
use crate::command::Command;
use crate::machine::StateMachine;

impl Grantor {
    fn awaited(&self, proposed_at: Option<Timestamp>, now: Timestamp) -> bool {
        proposed_at.is_some_and(|at| now < at + self.settings.proposal_timeout)
    }

    pub(super) fn awaits_term(&self) -> bool {
        !self.begun
    }

    /// Proposes the first command of the term, and after a new founding the
    /// end of the wait for earlier leases.
    pub(super) fn advance_term(&mut self, now: Timestamp, machine: &StateMachine) {
        if self.awaited(self.term_proposed_at, now) {
            return;
        }
        if !self.begun {
            self.term_proposed_at = Some(now);
            self.propose(Command::BeginTerm(self.term));
        } else if machine.is_recovering() && now >= self.first_bound() {
            self.term_proposed_at = Some(now);
            self.propose(Command::EndRecovery(self.term));
        }
    }

    /// Starts granting once the term's first command is applied.
    ///
    /// One owner: entries that earlier leaders left in the log (the end of a
    /// session, the end of a move) are applied by then, and none can follow.
    pub(super) fn note_term(&mut self, now: Timestamp, machine: &StateMachine) {
        if self.begun || machine.term() != self.term {
            return;
        }
        self.begun = true;
        self.term_proposed_at = None;
        self.observe(Observation::TermBegun);
        let known: Vec<BackEndId> = self.contacts.keys().cloned().collect();
        for id in &known {
            self.refresh_session(now, id, machine);
            self.conclude(now, id, machine);
        }
    }

    /// Follows the accepted address of a back end.
    pub(super) fn refresh_contact(
        &mut self,
        now: Timestamp,
        id: &BackEndId,
        machine: &StateMachine,
    ) {
        let Some(record) = machine.back_end(id) else {
            self.drop_session(id);
            if let Some(contact) = self.contacts.remove(id)
                && let Some(at) = contact.scheduled
            {
                self.schedule.remove(&(at, id.clone()));
            }
            return;
        };
        if !self.contacts.contains_key(id) && !is_wanted(id, machine) {
            return;
        }
        let address = record.spec.control_address;
        let bound = self.first_bound();
        let contact = self.contacts.entry(id.clone());
        let contact = contact.or_insert_with(|| Contact::new(address, now, bound));
        if contact.address != address {
            contact.move_to(address, now);
        }
        self.reschedule(id);
    }

    /// Follows the machine's session of a back end; starts granting to it
    /// once its process has answered.
    pub(super) fn refresh_session(
        &mut self,
        now: Timestamp,
        id: &BackEndId,
        machine: &StateMachine,
    ) {
        let open = machine.session_opened(id);
        let Some(contact) = self.contacts.get_mut(id) else {
            return;
        };
        if contact.closing != open {
            contact.closing = None;
        }
        let granted = contact.session.as_ref().map(|session| session.opened);
        if granted != open {
            contact.proposed_at = None;
            self.drop_session(id);
            self.adopt(now, id, open, machine);
        }
        self.reschedule(id);
    }

    fn drop_session(&mut self, id: &BackEndId) {
        let Some(contact) = self.contacts.get_mut(id) else {
            return;
        };
        let Some(session) = contact.session.take() else {
            return;
        };
        contact.mark_changed();
        let withheld = std::mem::take(&mut contact.withheld);
        for key in withheld {
            self.withheld.remove(&key);
        }
        for key in session.holdings.keys() {
            self.placed.remove(key);
        }
    }

    fn adopt(
        &mut self,
        now: Timestamp,
        id: &BackEndId,
        opened: Option<Revision>,
        machine: &StateMachine,
    ) {
        let (Some(opened), Some(record)) = (opened, machine.session(id)) else {
            return;
        };
        let number = self.latest_number + 1;
        let Some(contact) = self.contacts.get_mut(id) else {
            return;
        };
        let answers = contact.incarnation() == Some(record.id.incarnation);
        if !self.begun || !answers || contact.closing.is_some() {
            return;
        }
        self.latest_number = number;
        contact.session = Some(GrantedSession {
            id: record.id.clone(),
            opened,
            holdings: Holdings::new(self.term, number),
        });
        contact.mark_changed();
        self.observe(Observation::SessionFound(record.id.clone()));
        let owned: Vec<SliceKey> = machine.slices_of_session(id).cloned().collect();
        for key in &owned {
            self.review(now, key, machine);
        }
        self.propose_claims(id, machine);
    }

    /// Proposes what follows from the process that answered last.
    pub(super) fn conclude(&mut self, now: Timestamp, id: &BackEndId, machine: &StateMachine) {
        let Some(contact) = self.contacts.get(id) else {
            return;
        };
        let Some(reading) = contact.reading else {
            return;
        };
        let (incarnation, draining) = (reading.incarnation, reading.draining);
        if !self.begun || machine.is_recovering() || self.awaited(contact.proposed_at, now) {
            return;
        }
        let present = SessionId {
            back_end: id.clone(),
            incarnation,
        };
        match machine.session(id) {
            // A process that is leaving gets no new work.
            None if !machine.is_retiring(id) && !draining => {
                self.propose_for(now, id, Command::OpenSession(present));
            }
            None => {}
            // A later process answered at the same address, so the earlier
            // one is gone, whatever its lease.
            Some(open) if open.id.incarnation < incarnation => {
                let former = open.id.clone();
                let Some(close) = self.closing_command(id, &former, machine) else {
                    return;
                };
                let mut commands = vec![close];
                if !draining {
                    commands.push(Command::OpenSession(present.clone()));
                }
                self.observe(Observation::SessionReplaced { former, present });
                self.propose_for(now, id, Command::Batch(commands));
            }
            Some(open) if open.id == present && draining && !open.draining => {
                self.observe(Observation::DrainAnnounced(present.clone()));
                self.propose_for(now, id, Command::MarkDraining(present));
            }
            Some(_) => {}
        }
    }

    fn propose_for(&mut self, now: Timestamp, id: &BackEndId, command: Command) {
        if let Some(contact) = self.contacts.get_mut(id) {
            contact.proposed_at = Some(now);
        }
        self.propose(command);
    }

    /// Proposes the end of a session whose last possible lease has run out.
    pub(super) fn check_expiry(&mut self, now: Timestamp, id: &BackEndId, machine: &StateMachine) {
        let renewal = self.settings.timing.renewal();
        let (Some(contact), Some(open)) = (self.contacts.get(id), machine.session(id)) else {
            return;
        };
        // A leader that was away asks again before it concludes anything.
        let silent_since = contact.unanswered_since.zip(self.active_since);
        let silent = silent_since.is_some_and(|(asked, active)| now >= asked.max(active) + renewal);
        let lease_bound = contact.lease_bound;
        let closing = contact.closing.is_some();
        let proposed_at = contact.proposed_at;
        if silent {
            self.report_answering(id, false);
        }
        // One owner: no lease that any leader gave can still be valid.
        let lapsed = now >= lease_bound;
        // What was proposed once is proposed until it is applied, also if the
        // process answers again: it is not renewed any more.
        let over = closing || (silent && lapsed);
        if !self.begun || !over || self.awaited(proposed_at, now) {
            return;
        }
        let session = open.id.clone();
        let Some(close) = self.closing_command(id, &session, machine) else {
            return;
        };
        self.observe(Observation::SessionExpired(session));
        self.propose_for(now, id, close);
    }

    /// Reports once that a back end stopped answering or answers again.
    pub(super) fn report_answering(&mut self, id: &BackEndId, answers: bool) {
        let Some(contact) = self.contacts.get_mut(id) else {
            return;
        };
        if contact.reported_silent != answers {
            return;
        }
        contact.reported_silent = !answers;
        self.outputs.push(GrantorOutput::Reachability {
            back_end: id.clone(),
            reachable: answers,
        });
    }

    /// The command that ends the session. From here on it is never renewed,
    /// because the command may take effect at any time.
    fn closing_command(
        &mut self,
        id: &BackEndId,
        session: &SessionId,
        machine: &StateMachine,
    ) -> Option<Command> {
        let opened = machine.session_opened(id)?;
        self.contacts.get_mut(id)?.closing = Some(opened);
        Some(Command::CloseSession {
            session: session.clone(),
            opened,
            term: self.term,
        })
    }
}
