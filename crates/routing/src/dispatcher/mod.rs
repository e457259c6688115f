//! All exchanges, back-end states and limits of one router.

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

/// Decides each exchange's path. Every method takes the time of the shell's
/// monotonic clock and costs O(log n) plus what it changes.
#[derive(Debug)]
pub struct Dispatcher {
    core: Core,
    /// Boxed: an exchange takes hundreds of bytes, and a tree moves its
    /// neighbours whenever one comes or goes.
    exchanges: BTreeMap<ExchangeId, Box<Exchange>>,
    last_exchange_id: u64,
}

impl Dispatcher {
    /// A dispatcher without records. `seed` is drawn at random at process
    /// start: it spreads backoffs and makes request ids unlike those of other
    /// routers. No request is taken before [`Dispatcher::set_accepting`].
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

    /// Applies a delta of records; exchanges that it concerns are woken.
    ///
    /// # Errors
    ///
    /// [`ApplyError`] when the delta does not fit the copy.
    pub fn apply(&mut self, now: Timestamp, delta: &RecordDelta) -> Result<(), ApplyError> {
        self.core.apply(now, delta)
    }

    /// Says whether new requests are taken. A router that is stopping, or
    /// that could not confirm its revision within the bound, takes none;
    /// exchanges already admitted go on to their outcomes.
    pub fn set_accepting(&mut self, accepting: bool) {
        self.core.accepting = accepting;
    }

    /// Number of live routers among which slots and connections are divided.
    pub fn set_router_count(&mut self, now: Timestamp, count: u32) {
        self.core.set_router_count(now, count);
    }

    /// Admits a request.
    ///
    /// # Errors
    ///
    /// [`Refused`] when it is turned away at once.
    pub fn begin(&mut self, now: Timestamp, head: &RequestHead<'_>) -> Result<ExchangeId, Refused> {
        self.begin_with_route(now, head).map(|(id, _)| id)
    }

    /// As [`Dispatcher::begin`]; says also which route the request matched.
    ///
    /// # Errors
    ///
    /// [`Refused`] when it is turned away at once.
    pub fn begin_with_route(
        &mut self,
        now: Timestamp,
        head: &RequestHead<'_>,
    ) -> Result<(ExchangeId, MatchedRoute), Refused> {
        self.admit(now, head).inspect_err(|refused| {
            self.core.counters.count_refused(refused.reason);
        })
    }

    /// What to do next for an exchange. Call again, carrying out each step,
    /// until it answers `Wait`, `Finish` or `Gone`.
    pub fn next(&mut self, now: Timestamp, id: ExchangeId) -> Step {
        let Some(exchange) = self.exchanges.get_mut(&id) else {
            return Step::Gone;
        };
        let step = self.core.advance(now, exchange);
        if matches!(step, Step::Finish(_)) {
            // Invariant: one outcome. It is told once and then forgotten.
            self.exchanges.remove(&id);
        }
        step
    }

    /// Must be probes right before the first byte of an attempt is passed to
    /// its connection. "Not run" is true because nothing is written without
    /// this permission.
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

    /// The caller hung up: the exchange is forgotten and its slots are freed.
    /// The shell closes the connections of its attempts.
    pub fn on_caller_disconnected(&mut self, now: Timestamp, id: ExchangeId) {
        if let Some(mut exchange) = self.exchanges.remove(&id) {
            self.core.abandon(now, &mut exchange);
        }
    }

    /// Exchanges whose step may have changed since the last call, each once,
    /// in order. Call after every other method and wake their tasks.
    pub fn take_wakeups(&mut self) -> Vec<ExchangeId> {
        let wakeups = std::mem::take(&mut self.core.wakeups);
        wakeups.into_iter().collect()
    }

    /// What happened to back ends since the last call, for the log. At most
    /// 1,024 are kept; the counters miss none.
    pub fn take_notices(&mut self) -> Vec<Notice> {
        std::mem::take(&mut self.core.notices)
    }

    /// Counts for metrics.
    pub fn counters(&self) -> &Counters {
        &self.core.counters
    }

    /// A picture of the load; O(back ends).
    pub fn load(&self, now: Timestamp) -> LoadSnapshot {
        self.core.load(now)
    }
}
