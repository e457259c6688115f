//! Opening, draining and closing of sessions.

use threadledge_types::records::SliceKey;
use threadledge_types::{BackEndId, Revision, SessionId, Timestamp};

use super::back_end_state::{BackEndState, GrantedSession};
use super::session_grants::SessionGrants;
use super::{Grantor, GrantorOutput, Observation, is_managed};
use crate::command::Command;
use crate::machine::StateMachine;

impl Grantor {
    /// Returns whether a proposal made at that time may still be applied and is
    /// not to be repeated yet.
    fn is_proposal_pending(&self, proposed_at: Option<Timestamp>, now: Timestamp) -> bool {
        proposed_at.is_some_and(|at| now < at + self.settings.proposal_timeout)
    }

    pub(super) fn awaits_term_begin(&self) -> bool {
        !self.term_begun
    }

    /// Proposes the first command of the term, and after a new founding the end
    /// of recovery once all earlier leases have expired.
    pub(super) fn propose_term_commands(&mut self, now: Timestamp, machine: &StateMachine) {
        if self.is_proposal_pending(self.term_proposed_at, now) {
            return;
        }
        if !self.term_begun {
            self.term_proposed_at = Some(now);
            self.propose(Command::BeginTerm(self.term));
        } else if machine.is_recovering() && now >= self.earlier_leases_bound() {
            self.term_proposed_at = Some(now);
            self.propose(Command::EndRecovery(self.term));
        }
    }

    /// Starts granting once the term's first command is applied.
    ///
    /// Exclusive ownership: entries that earlier leaders left in the log, such
    /// as the end of a session or of a move, are applied by then, and no others
    /// can follow.
    pub(super) fn begin_granting_if_term_applied(
        &mut self,
        now: Timestamp,
        machine: &StateMachine,
    ) {
        if self.term_begun || machine.term() != self.term {
            return;
        }
        self.term_begun = true;
        self.term_proposed_at = None;
        self.observe(Observation::TermBegun);
        let known: Vec<BackEndId> = self.back_ends.keys().cloned().collect();
        for id in &known {
            self.refresh_session(now, id, machine);
            self.propose_session_change(now, id, machine);
        }
    }

    /// Updates the state of a back end from its accepted record, in particular
    /// its address.
    pub(super) fn refresh_back_end(
        &mut self,
        now: Timestamp,
        id: &BackEndId,
        machine: &StateMachine,
    ) {
        let Some(record) = machine.back_end(id) else {
            self.drop_session(id);
            if let Some(state) = self.back_ends.remove(id)
                && let Some(at) = state.scheduled_at
            {
                self.schedule.remove(&(at, id.clone()));
            }
            return;
        };
        if !self.back_ends.contains_key(id) && !is_managed(id, machine) {
            return;
        }
        let address = record.spec.control_address;
        let bound = self.earlier_leases_bound();
        let entry = self.back_ends.entry(id.clone());
        let state = entry.or_insert_with(|| BackEndState::new(address, now, bound));
        if state.address != address {
            state.move_to(address, now);
        }
        self.reschedule(id);
    }

    /// Updates the granted session from the state machine. Starts granting to a
    /// session once its process has responded.
    pub(super) fn refresh_session(
        &mut self,
        now: Timestamp,
        id: &BackEndId,
        machine: &StateMachine,
    ) {
        let open = machine.session_opened(id);
        let Some(state) = self.back_ends.get_mut(id) else {
            return;
        };
        if state.closing != open {
            state.closing = None;
        }
        let granted = state.session.as_ref().map(|session| session.opened);
        if granted != open {
            state.proposed_at = None;
            self.drop_session(id);
            self.start_granting(now, id, open, machine);
        }
        self.reschedule(id);
    }

    /// Stops granting to the session of a back end.
    fn drop_session(&mut self, id: &BackEndId) {
        let Some(state) = self.back_ends.get_mut(id) else {
            return;
        };
        let Some(session) = state.session.take() else {
            return;
        };
        state.mark_changed();
        let withheld = std::mem::take(&mut state.withheld);
        for key in withheld {
            self.withheld.remove(&key);
        }
        for key in session.grants.keys() {
            self.granted_to.remove(key);
        }
    }

    /// Starts granting to an open session if its process has responded.
    fn start_granting(
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
        let Some(state) = self.back_ends.get_mut(id) else {
            return;
        };
        let has_responded = state.incarnation() == Some(record.id.incarnation);
        if !self.term_begun || !has_responded || state.closing.is_some() {
            return;
        }
        self.latest_number = number;
        state.session = Some(GrantedSession {
            id: record.id.clone(),
            opened,
            grants: SessionGrants::new(self.term, number),
        });
        state.mark_changed();
        self.observe(Observation::SessionFound(record.id.clone()));
        let owned: Vec<SliceKey> = machine.slices_of_session(id).cloned().collect();
        for key in &owned {
            self.reevaluate_slice(now, key, machine);
        }
        self.propose_claimed_slices(id, machine);
    }

    /// Proposes the session change that follows from the process that responded
    /// last.
    pub(super) fn propose_session_change(
        &mut self,
        now: Timestamp,
        id: &BackEndId,
        machine: &StateMachine,
    ) {
        let Some(state) = self.back_ends.get(id) else {
            return;
        };
        let Some(reading) = state.reading else {
            return;
        };
        let (incarnation, draining) = (reading.incarnation, reading.draining);
        if !self.term_begun
            || machine.is_recovering()
            || self.is_proposal_pending(state.proposed_at, now)
        {
            return;
        }
        let present = SessionId {
            back_end: id.clone(),
            incarnation,
        };
        match machine.session(id) {
            // A draining process gets no new work.
            None if !machine.is_retiring(id) && !draining => {
                self.propose_for_session(now, id, Command::OpenSession(present));
            }
            None => {}
            // A later process responded at the same address, so the earlier one
            // is gone, whatever its lease.
            Some(open) if open.id.incarnation < incarnation => {
                let former = open.id.clone();
                let Some(close) = self.begin_close(id, &former, machine) else {
                    return;
                };
                let mut commands = vec![close];
                if !draining {
                    commands.push(Command::OpenSession(present.clone()));
                }
                self.observe(Observation::SessionReplaced { former, present });
                self.propose_for_session(now, id, Command::Batch(commands));
            }
            Some(open) if open.id == present && draining && !open.draining => {
                self.observe(Observation::DrainAnnounced(present.clone()));
                self.propose_for_session(now, id, Command::MarkDraining(present));
            }
            Some(_) => {}
        }
    }

    fn propose_for_session(&mut self, now: Timestamp, id: &BackEndId, command: Command) {
        if let Some(state) = self.back_ends.get_mut(id) {
            state.proposed_at = Some(now);
        }
        self.propose(command);
    }

    /// Proposes to close a session whose last possible lease has expired.
    pub(super) fn check_session_expiry(
        &mut self,
        now: Timestamp,
        id: &BackEndId,
        machine: &StateMachine,
    ) {
        let renewal = self.settings.timing.renewal();
        let (Some(state), Some(open)) = (self.back_ends.get(id), machine.session(id)) else {
            return;
        };
        // A leader that was paused sends another request before it concludes
        // anything.
        let unanswered = state.unanswered_since.zip(self.active_since);
        let unresponsive =
            unanswered.is_some_and(|(sent, active)| now >= sent.max(active) + renewal);
        let lease_expiry_bound = state.lease_expiry_bound;
        let closing = state.closing.is_some();
        let proposed_at = state.proposed_at;
        if unresponsive {
            self.report_reachability(id, false);
        }
        // Exclusive ownership: no lease that any leader gave can still be
        // valid.
        let leases_expired = now >= lease_expiry_bound;
        // A close that was proposed is proposed again until it is applied, even
        // if the process responds again, because the session is not renewed any
        // more.
        let must_close = closing || (unresponsive && leases_expired);
        if !self.term_begun || !must_close || self.is_proposal_pending(proposed_at, now) {
            return;
        }
        let session = open.id.clone();
        let Some(close) = self.begin_close(id, &session, machine) else {
            return;
        };
        self.observe(Observation::SessionExpired(session));
        self.propose_for_session(now, id, close);
    }

    /// Reports once that a back end stopped responding or responds again.
    pub(super) fn report_reachability(&mut self, id: &BackEndId, reachable: bool) {
        let Some(state) = self.back_ends.get_mut(id) else {
            return;
        };
        if state.reported_unreachable != reachable {
            return;
        }
        state.reported_unreachable = !reachable;
        self.outputs.push(GrantorOutput::Reachability {
            back_end: id.clone(),
            reachable,
        });
    }

    /// Returns the command that closes the session. From here on the session is
    /// never renewed, because the command may take effect at any time.
    fn begin_close(
        &mut self,
        id: &BackEndId,
        session: &SessionId,
        machine: &StateMachine,
    ) -> Option<Command> {
        let opened = machine.session_opened(id)?;
        self.back_ends.get_mut(id)?.closing = Some(opened);
        Some(Command::CloseSession {
            session: session.clone(),
            opened,
            term: self.term,
        })
    }
}
