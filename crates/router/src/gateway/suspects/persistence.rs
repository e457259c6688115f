//! Persists in the platform's store the requests that are held and those that
//! the next crash would hold, because all gateways could end at once.
//!
//! This happens a few times a day at the most. The gateway that saw the last
//! crash of a request writes the record; relays check it two seconds later, in
//! case that gateway was lost. The record is not watched: gateways inform each
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

const RECORD: &str = "all";
/// Delay before a failed store call is retried.
const RETRY: Duration = Duration::from_secs(1);
/// Time for which a relay leaves the write to the gateway that saw the crash.
const LEFT_TO_OTHERS: Duration = Duration::from_secs(2);
/// Maximum attempts of a write that conflicts with other gateways.
const MOST_CONFLICTS: usize = 5;

/// Task that persists held requests.
pub(super) struct Keeper {
    service: SuspectService,
    store: Arc<dyn RecordStore<HeldRecord>>,
    /// Persisted requests when the record last agreed with the local state.
    kept: BTreeMap<RequestHash, PersistReason>,
}

impl Keeper {
    pub(super) fn new(service: SuspectService, store: Arc<dyn RecordStore<HeldRecord>>) -> Self {
        Keeper {
            service,
            store,
            kept: BTreeMap::new(),
        }
    }

    /// Keeps the record up to date; never returns.
    pub(super) async fn run(mut self) {
        let mut relayed = false;
        loop {
            let relays = self.service.neighbours.position().is_relay;
            let newly = relays && !relayed;
            let read = newly && self.synchronize().await;
            // A failed read is retried.
            relayed = relays && (relayed || read);
            let mut failed = newly && !read;
            let changed = self.service.dispatch.suspect_signals().changed.next();
            let moved = self.service.neighbours.changed.next();
            if self.to_keep() != self.kept {
                failed = !self.write_down(relays).await;
            }
            let news = select(changed, moved);
            if failed || self.to_keep() != self.kept && relays {
                // The loop checks everything again whether it was notified or
                // timed out.
                let _ = timer::timeout(RETRY, news).await;
            } else {
                news.await;
            }
        }
    }

    fn to_keep(&self) -> BTreeMap<RequestHash, PersistReason> {
        let dispatch = &self.service.dispatch;
        dispatch.with(|dispatcher, _now| dispatcher.suspects().to_persist())
    }

    /// Returns whether a difference from the record was caused here, by a crash
    /// that this gateway saw or by an operator's release.
    fn is_own(&self) -> bool {
        let to_keep = self.to_keep();
        let new = to_keep.iter();
        let new = new.filter(|(request, kept)| self.kept.get(request) != Some(kept));
        let gone = self.kept.keys();
        let gone = gone.filter(|request| !to_keep.contains_key(request));
        let mut differing = new.map(|(request, _)| request).chain(gone);
        let own = self.service.own.lock();
        differing.any(|request| own.contains(request))
    }

    /// Updates the record if that is this gateway's task. Returns whether
    /// nothing failed.
    async fn write_down(&mut self, relays: bool) -> bool {
        if self.is_own() {
            return self.synchronize().await;
        }
        if !relays {
            return true;
        }
        let changed = self.service.dispatch.suspect_signals().changed.next();
        let wait = pin!(timer::sleep(LEFT_TO_OTHERS));
        match select(wait, changed).await {
            Either::Left(_) => self.synchronize().await,
            // More changes arrived, so the wait starts anew.
            Either::Right(_) => true,
        }
    }

    /// Reads the record and writes what it lacks. Returns whether the record
    /// and the local state now agree.
    async fn synchronize(&mut self) -> bool {
        let mut read = match self.store.read(RECORD, Freshness::Linearizable).await {
            ReadResult::Found(found) => found,
            ReadResult::Failed => return false,
        };
        for _ in 0..MOST_CONFLICTS {
            let known = read.as_ref().map(|found| found.value.clone());
            let known = known.unwrap_or_default();
            self.take(&known);
            let (updated, kept) = self.service.dispatch.with(|dispatcher, now| {
                let suspects = dispatcher.suspects();
                (known.updated(suspects, now), suspects.to_persist())
            });
            let Some(updated) = updated else {
                self.kept = kept;
                return true;
            };
            let condition = read.as_ref().map_or(Condition::Absent, |found| {
                Condition::Revision(found.revision)
            });
            match self.store.write(RECORD, &updated, condition).await {
                WriteResult::Accepted(_) => {
                    self.kept = kept;
                    return true;
                }
                WriteResult::Conflict(found) => read = found,
                // If the write did take effect, the next read shows it.
                WriteResult::NotDone | WriteResult::Unknown => return false,
            }
        }
        false
    }

    fn take(&self, record: &HeldRecord) {
        self.service
            .merge_update(None, "store", &record.to_update());
    }
}
