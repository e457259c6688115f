//! Persists in the platform's store the requests that are held and those that
//! the next crash would hold, because all gateways could end at once.
//!
//! A request gets that far a few times a day at the most. The gateway that saw
//! its last crash writes the record; relays check it two seconds later, in case
//! that gateway was lost. The record is not watched: gateways inform each
//! other, and a new relay reads it once.

use std::collections::BTreeMap;
use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use futures::future::{Either, select};
use threadledge_coordination::action::{Condition, Freshness, ReadResult, WriteResult};
use threadledge_net::timer;
use threadledge_ports::RecordStore;
use threadledge_suspects::{HeldRecord, PersistReason, RequestHash};

use super::SuspectService;

const RECORD_NAME: &str = "all";
/// Delay before a failed store call is retried.
const RETRY_DELAY: Duration = Duration::from_secs(1);
/// Time for which a relay leaves the write to the gateway that saw the crash.
const RELAY_WRITE_DELAY: Duration = Duration::from_secs(2);
/// Maximum attempts of a write that conflicts with other gateways.
const MAX_CONFLICTS: usize = 5;

/// Task that persists held requests.
pub(super) struct PersistenceTask {
    service: SuspectService,
    store: Arc<dyn RecordStore<HeldRecord>>,
    /// Persisted requests when the record last agreed with the local state.
    persisted: BTreeMap<RequestHash, PersistReason>,
}

impl PersistenceTask {
    pub(super) fn new(service: SuspectService, store: Arc<dyn RecordStore<HeldRecord>>) -> Self {
        PersistenceTask {
            service,
            store,
            persisted: BTreeMap::new(),
        }
    }

    /// Keeps the record up to date; never returns.
    pub(super) async fn run(mut self) {
        let mut synchronized_as_relay = false;
        loop {
            let is_relay = self.service.neighbours.position().is_relay;
            let is_new_relay = is_relay && !synchronized_as_relay;
            let read = is_new_relay && self.synchronize().await;
            // A failed read is retried.
            synchronized_as_relay = is_relay && (synchronized_as_relay || read);
            let mut failed = is_new_relay && !read;
            let changed = self.service.dispatch.suspect_signals().changed.next();
            let position_changed = self.service.neighbours.changed.next();
            if self.to_persist() != self.persisted {
                failed = !self.update_record(is_relay).await;
            }
            let any_change = select(changed, position_changed);
            if failed || self.to_persist() != self.persisted && is_relay {
                // The loop checks everything again whether it was notified or
                // timed out.
                let _ = timer::timeout(RETRY_DELAY, any_change).await;
            } else {
                any_change.await;
            }
        }
    }

    fn to_persist(&self) -> BTreeMap<RequestHash, PersistReason> {
        let dispatch = &self.service.dispatch;
        dispatch.with(|dispatcher, _now| dispatcher.suspects().to_persist())
    }

    /// Returns whether a difference from the record was caused here, by a crash
    /// that this gateway saw or by an operator's release.
    fn has_own_changes(&self) -> bool {
        let to_persist = self.to_persist();
        let new = to_persist.iter();
        let new = new.filter(|(request, persisted)| self.persisted.get(request) != Some(persisted));
        let gone = self.persisted.keys();
        let gone = gone.filter(|request| !to_persist.contains_key(request));
        let mut differing = new.map(|(request, _)| request).chain(gone);
        let own = self.service.own_findings.lock();
        differing.any(|request| own.contains(request))
    }

    /// Updates the record if that is this gateway's task. Returns whether
    /// nothing failed.
    async fn update_record(&mut self, is_relay: bool) -> bool {
        if self.has_own_changes() {
            return self.synchronize().await;
        }
        if !is_relay {
            return true;
        }
        let changed = self.service.dispatch.suspect_signals().changed.next();
        let wait = pin!(timer::sleep(RELAY_WRITE_DELAY));
        match select(wait, changed).await {
            Either::Left(_) => self.synchronize().await,
            // More changes arrived, so the wait starts anew.
            Either::Right(_) => true,
        }
    }

    /// Reads the record and writes what it lacks. Returns whether the record
    /// and the local state now agree.
    async fn synchronize(&mut self) -> bool {
        let mut read = match self.store.read(RECORD_NAME, Freshness::Linearizable).await {
            ReadResult::Found(found) => found,
            ReadResult::Failed => return false,
        };
        for _ in 0..MAX_CONFLICTS {
            let known = read.as_ref().map(|found| found.value.clone());
            let known = known.unwrap_or_default();
            self.merge(&known);
            let (updated, persisted) = self.service.dispatch.with(|dispatcher, now| {
                let suspects = dispatcher.suspects();
                (known.updated(suspects, now), suspects.to_persist())
            });
            let Some(updated) = updated else {
                self.persisted = persisted;
                return true;
            };
            let condition = read.as_ref().map_or(Condition::Absent, |found| {
                Condition::Revision(found.revision)
            });
            match self.store.write(RECORD_NAME, &updated, condition).await {
                WriteResult::Accepted(_) => {
                    self.persisted = persisted;
                    return true;
                }
                WriteResult::Conflict(found) => read = found,
                // If the write did take effect, the next read shows it.
                WriteResult::NotDone | WriteResult::Unknown => return false,
            }
        }
        false
    }

    fn merge(&self, record: &HeldRecord) {
        self.service
            .merge_update(None, "store", &record.to_update());
    }
}
