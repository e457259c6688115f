//! Opening and closing sessions.

use threadledge_types::records::{RecordChange, SessionRecord, SliceKey};
use threadledge_types::{BackEndId, Revision, SessionId};

use super::entries::{SessionEntry, Successor};
use super::{Applied, Rejection, StateMachine};
use crate::command::LeaderTerm;

impl StateMachine {
    pub(super) fn open_session(
        &mut self,
        session: &SessionId,
        applied: &mut Applied,
    ) -> Result<(), Rejection> {
        // After a new founding it is unknown which back end holds which slice
        // until every earlier lease has expired.
        if self.recovering {
            return Err(Rejection::Recovering);
        }
        let known = self.back_ends.get(&session.back_end);
        if known.is_none_or(|entry| entry.successor.is_some()) {
            return Err(Rejection::UnknownBackEnd(session.back_end.clone()));
        }
        if let Some(open) = self.session(&session.back_end) {
            return Err(Rejection::SessionOpen(open.id.clone()));
        }
        let record = SessionRecord {
            id: session.clone(),
            draining: false,
        };
        let entry = SessionEntry::new(record.clone(), self.revision);
        self.sessions.insert(session.back_end.clone(), entry);
        applied.changes.push(RecordChange::Session(record));
        Ok(())
    }

    pub(super) fn close_session(
        &mut self,
        session: &SessionId,
        opened: Revision,
        term: LeaderTerm,
        applied: &mut Applied,
    ) -> Result<(), Rejection> {
        // Exclusive ownership: a conclusion of an earlier leader, or one about
        // an earlier session of the same process, must not end a session that
        // has been renewed since.
        self.check_term(term)?;
        let open = self.sessions.get(&session.back_end);
        if !open.is_some_and(|entry| entry.record.id == *session && entry.opened == opened) {
            return Err(Rejection::SessionNotOpen(session.clone()));
        }
        self.end_session(&session.back_end, applied);
        Ok(())
    }

    pub(super) fn mark_draining(
        &mut self,
        session: &SessionId,
        applied: &mut Applied,
    ) -> Result<(), Rejection> {
        if !self.is_open(session) {
            return Err(Rejection::SessionNotOpen(session.clone()));
        }
        self.start_draining(&session.back_end, applied);
        Ok(())
    }

    /// Marks the open session of a back end as draining, if there is one.
    pub(super) fn start_draining(&mut self, back_end: &BackEndId, applied: &mut Applied) {
        let Some(entry) = self.sessions.get_mut(back_end) else {
            return;
        };
        if entry.record.draining {
            return;
        }
        entry.record.draining = true;
        let record = entry.record.clone();
        let owned: Vec<SliceKey> = entry.slices.iter().cloned().collect();
        applied.changes.push(RecordChange::Session(record));
        self.cancel_moves_to(back_end, applied);
        for key in &owned {
            self.update_misplaced(key);
        }
    }

    /// Ends the session. Its slices lose their owner, moves to it are
    /// cancelled, and a pending change of the back end takes effect.
    pub(super) fn end_session(&mut self, back_end: &BackEndId, applied: &mut Applied) {
        let Some(entry) = self.sessions.remove(back_end) else {
            return;
        };
        self.cancel_moves_to(back_end, applied);
        for key in &entry.slices {
            self.remove_owner(key, applied);
        }
        let removed = RecordChange::SessionRemoved(entry.record.id);
        applied.changes.push(removed);
        self.apply_successor(back_end, applied);
    }

    pub(super) fn close_every_session(&mut self, applied: &mut Applied) {
        let open: Vec<BackEndId> = self.sessions.keys().cloned().collect();
        for back_end in &open {
            self.end_session(back_end, applied);
        }
    }

    /// Ends the session of a deleted or replaced back end once it owns nothing.
    /// Every slice it owned was released with confirmation, so the process
    /// serves nothing any more.
    pub(super) fn end_session_if_released(&mut self, back_end: &BackEndId, applied: &mut Applied) {
        let owns_nothing = |entry: &SessionEntry| entry.slices.is_empty();
        let idle = self.sessions.get(back_end).is_some_and(owns_nothing);
        if idle && self.is_retiring(back_end) {
            self.end_session(back_end, applied);
        }
    }

    fn apply_successor(&mut self, back_end: &BackEndId, applied: &mut Applied) {
        let Some(entry) = self.back_ends.get_mut(back_end) else {
            return;
        };
        match entry.successor.take() {
            None => {}
            Some(Successor::Replaced(record)) => {
                entry.record = *record;
                self.apply_back_end_change(back_end, applied);
            }
            Some(Successor::Deleted { resource_version }) => {
                self.remove_back_end(back_end, resource_version, applied);
            }
        }
    }
}
