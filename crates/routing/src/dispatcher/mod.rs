//! The dispatcher: all exchanges, back-end states and limits of one router.

mod admission;
mod advance;
mod attempts;
mod core;
mod ending;
mod owner_refusals;
mod records;
mod status;
mod waiting;

use std::collections::BTreeMap;

use threadledge_types::Timestamp;
use threadledge_types::records::RecordDelta;

use self::core::Core;
use crate::attempt::{AttemptEvent, AttemptNumber, ExchangeId, Refused, SendDecision, Step};
use crate::counters::Counters;
use crate::exchange::Exchange;
use crate::head::RequestHead;
use crate::settings::Settings;
use crate::snapshot::{LoadSnapshot, Notice};
use crate::table::{ApplyError, MatchedRoute, RoutingTable};

/// Decides the next step of each exchange. Every method takes the time of the
/// shell's monotonic clock and costs O(log n) plus the size of its changes.
#[derive(Debug)]
pub struct Dispatcher {
    core: Core,
    /// Boxed because an exchange takes hundreds of bytes, and inserting into or
    /// removing from the tree moves neighbouring entries.
    exchanges: BTreeMap<ExchangeId, Box<Exchange>>,
    last_exchange_id: u64,
}

impl Dispatcher {
    /// Creates a dispatcher without records. `seed` must be drawn at random at
    /// process start: it spreads backoffs and makes request ids differ from
    /// those of other routers. No request is admitted before
    /// [`Dispatcher::set_accepting`].
    pub fn new(settings: Settings, seed: u64, _now: Timestamp) -> Self {
        Dispatcher {
            core: Core::new(settings, seed),
            exchanges: BTreeMap::new(),
            last_exchange_id: 0,
        }
    }

    /// The copy of records.
    pub fn table(&self) -> &RoutingTable {
        &self.core.table
    }

    /// Applies a delta of records and wakes the exchanges it affects.
    ///
    /// # Errors
    ///
    /// [`ApplyError`] when the delta does not fit the copy.
    pub fn apply(&mut self, now: Timestamp, delta: &RecordDelta) -> Result<(), ApplyError> {
        self.core.apply(now, delta)
    }

    /// Sets whether new requests are admitted. A router that is stopping, or
    /// that could not confirm its revision within the bound, admits none;
    /// exchanges already admitted continue to their outcomes.
    pub fn set_accepting(&mut self, accepting: bool) {
        self.core.accepting = accepting;
    }

    /// Sets the number of live routers among which slots and connections are
    /// divided.
    pub fn set_router_count(&mut self, now: Timestamp, count: u32) {
        self.core.set_router_count(now, count);
    }

    /// Admits a request.
    ///
    /// # Errors
    ///
    /// [`Refused`] when it is rejected immediately.
    pub fn begin(&mut self, now: Timestamp, head: &RequestHead<'_>) -> Result<ExchangeId, Refused> {
        self.begin_with_route(now, head).map(|(id, _)| id)
    }

    /// Like [`Dispatcher::begin`], but also returns the route that the request
    /// matched.
    ///
    /// # Errors
    ///
    /// [`Refused`] when it is rejected immediately.
    pub fn begin_with_route(
        &mut self,
        now: Timestamp,
        head: &RequestHead<'_>,
    ) -> Result<(ExchangeId, MatchedRoute), Refused> {
        self.admit(now, head).inspect_err(|refused| {
            self.core.counters.count_refused(refused.reason);
        })
    }

    /// Returns the next step for an exchange. Call it again after carrying out
    /// each step, until it returns `Wait`, `Finish` or `Gone`.
    pub fn next(&mut self, now: Timestamp, id: ExchangeId) -> Step {
        let Some(exchange) = self.exchanges.get_mut(&id) else {
            return Step::Gone;
        };
        let step = self.core.advance(now, exchange);
        if matches!(step, Step::Finish(_)) {
            // Invariant: each exchange has one outcome. It is returned once,
            // and then the exchange is removed.
            self.exchanges.remove(&id);
        }
        step
    }

    /// Asks for permission to write. Call this right before the first byte of
    /// an attempt is passed to its connection. "Not run" is true because
    /// nothing is written without this permission.
    pub fn start_sending(
        &mut self,
        now: Timestamp,
        id: ExchangeId,
        attempt: AttemptNumber,
    ) -> SendDecision {
        match self.exchanges.get_mut(&id) {
            Some(exchange) => self.core.start_sending(now, exchange, attempt),
            None => SendDecision::Abandon,
        }
    }

    /// Reports what happened to an attempt. Events of unknown or abandoned
    /// attempts are ignored. Call `next` afterwards.
    pub fn on_event(
        &mut self,
        now: Timestamp,
        id: ExchangeId,
        attempt: AttemptNumber,
        event: AttemptEvent,
    ) {
        if let Some(exchange) = self.exchanges.get_mut(&id) {
            self.core.on_event(now, exchange, attempt, event);
        }
    }

    /// Removes an exchange whose caller disconnected and frees its slots. The
    /// shell closes the connections of its attempts.
    pub fn on_caller_disconnected(&mut self, now: Timestamp, id: ExchangeId) {
        if let Some(mut exchange) = self.exchanges.remove(&id) {
            self.core.abandon(now, &mut exchange);
        }
    }

    /// Returns the exchanges whose next step may have changed since the last
    /// call, each once, in order. Call this after every other method and wake
    /// their tasks.
    pub fn take_wakeups(&mut self) -> Vec<ExchangeId> {
        let wakeups = std::mem::take(&mut self.core.wakeups);
        wakeups.into_iter().collect()
    }

    /// Returns the events of back ends since the last call, for the log. At
    /// most 1,024 are kept; the counters include all of them.
    pub fn take_notices(&mut self) -> Vec<Notice> {
        std::mem::take(&mut self.core.notices)
    }

    /// Counts for metrics.
    pub fn counters(&self) -> &Counters {
        &self.core.counters
    }

    /// Snapshot of the load; O(back ends).
    pub fn load(&self, now: Timestamp) -> LoadSnapshot {
        self.core.load(now)
    }
}
