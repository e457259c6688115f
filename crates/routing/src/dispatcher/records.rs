//! Applies changed records and a changed number of routers.

use std::collections::BTreeSet;

use threadledge_types::records::RecordDelta;
use threadledge_types::{Point, Revision, Slice, Timestamp};

use super::core::Core;
use crate::attempt::ExchangeId;
use crate::back_end::{BackEnd, BackEndProcess};
use crate::table::{ApplyError, BackEndIndex, Effects, ServiceIndex};

impl Core {
    pub(super) fn apply(&mut self, now: Timestamp, delta: &RecordDelta) -> Result<(), ApplyError> {
        // Back ends found when the router starts were running before and are
        // not cold.
        let warm = self.table.revision() == Revision::NONE;
        let effects = self.table.apply_with_effects(delta)?;
        self.update_back_ends(now, &effects, warm);
        self.wake_affected(&effects);
        Ok(())
    }

    pub(super) fn set_router_count(&mut self, now: Timestamp, count: u32) {
        let count = count.max(1);
        if count == self.router_count {
            return;
        }
        self.router_count = count;
        let indices: Vec<BackEndIndex> = self.back_ends.keys().copied().collect();
        for index in indices {
            self.update_back_end(now, index, false);
        }
    }

    fn update_back_ends(&mut self, now: Timestamp, effects: &Effects, warm: bool) {
        let touched: BTreeSet<BackEndIndex> = effects.back_ends.iter().copied().collect();
        for index in touched {
            self.update_back_end(now, index, warm);
            if let Some(back_end) = self.back_ends.get(&index) {
                self.wakeups.extend(back_end.exchange_ids());
            }
        }
    }

    /// Updates, adds or removes the state of a back end according to its record
    /// and session.
    fn update_back_end(&mut self, now: Timestamp, index: BackEndIndex, warm: bool) {
        let sessions = self.table.sessions();
        let entry = sessions.back_end(index);
        let Some((id, spec)) = entry.and_then(|entry| Some((&entry.id, entry.spec.as_ref()?)))
        else {
            self.remove_back_end(index);
            return;
        };
        let process = sessions
            .current_session(index)
            .map(|session| BackEndProcess {
                incarnation: session.incarnation,
                draining: session.draining,
            });
        let back_end = self
            .back_ends
            .entry(index)
            .or_insert_with(|| BackEnd::new(id.clone(), spec, &self.settings, self.router_count));
        back_end.set_spec(spec, &self.settings, self.router_count);
        back_end.set_process(now, process, warm, &self.settings);
        self.grant_slots(now, index);
    }

    /// Removes a back end whose record was removed and wakes the exchanges that
    /// wait for it.
    fn remove_back_end(&mut self, index: BackEndIndex) {
        if let Some(back_end) = self.back_ends.remove(&index) {
            self.wakeups.extend(back_end.exchange_ids());
        }
    }

    /// Wakes the exchanges whose keys belong to changed slices or services.
    fn wake_affected(&mut self, effects: &Effects) {
        if effects.full {
            self.wakeups
                .extend(self.by_point.iter().map(|(_, _, id)| *id));
            return;
        }
        for (service, slice) in &effects.slices {
            self.wake_slice(*service, *slice);
        }
        for service in &effects.services {
            self.wake_slice(*service, Slice::ALL);
        }
    }

    fn wake_slice(&mut self, service: ServiceIndex, slice: Slice) {
        let first: (ServiceIndex, Point, ExchangeId) = (service, slice.first, ExchangeId(0));
        let last = (service, slice.last, ExchangeId(u64::MAX));
        let affected = self.by_point.range(first..=last).map(|(_, _, id)| *id);
        self.wakeups.extend(affected);
    }
}
