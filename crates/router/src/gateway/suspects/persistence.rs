//! Keeps the requests that are held in the platform's store, and those that the
//! next crash holds: what all gateways lose when they end at once.
//!
//! A request comes so far a few times a day at the most. Whoever saw its last crash
//! writes it down; relays look two seconds later whether it stands there, in
//! case that one was lost. Nothing is watched: gateways tell each other, and a
//! relay that is new reads the record once.

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

/// Name of the one record.
const RECORD: &str = "all";
/// Wait before a call to the store that failed is made again.
const RETRY: Duration = Duration::from_secs(1);
/// How long a relay leaves it to others to write down what is held.
const LEFT_TO_OTHERS: Duration = Duration::from_secs(2);
/// Writes in a row that may meet another gateway's.
const MOST_CONFLICTS: usize = 5;

/// Keeps what is held.
pub(super) struct Keeper {
    service: SuspectService,
    store: Arc<dyn RecordStore<HeldRecord>>,
    /// What was to be kept when the record last agreed with it.
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

    /// Runs for ever.
    pub(super) async fn run(mut self) {
        let mut relayed = false;
        loop {
            let relays = self.service.neighbours.position().is_relay;
            let newly = relays && !relayed;
            let read = newly && self.synchronize().await;
            // A read that failed is made again.
            relayed = relays && (relayed || read);
            let mut failed = newly && !read;
            let changed = self.service.dispatch.suspect_signals().changed.next();
            let moved = self.service.neighbours.changed.next();
            if self.to_keep() != self.kept {
                failed = !self.write_down(relays).await;
            }
            let news = select(changed, moved);
            if failed || self.to_keep() != self.kept && relays {
                // Either way all is looked at again.
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

    /// Whether the last crash, or an operator's word, came here.
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

    /// Brings the record up to date, where that is this gateway's task. Says
    /// whether nothing failed.
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
            // More came: the wait begins anew.
            Either::Right(_) => true,
        }
    }

    /// Reads the record, and writes what it lacks. Says whether the record and
    /// what is known here agree now.
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
                // A write that may have taken effect shows when it is read.
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
