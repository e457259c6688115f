//! All exchanges, back-end states and limits of one router.

use threadledge_types::Timestamp;
use threadledge_types::records::RecordDelta;

use crate::attempt::{AttemptEvent, AttemptNumber, ExchangeId, Refused, SendDecision, Step};
use crate::head::RequestHead;
use crate::settings::Settings;
use crate::table::{ApplyError, RoutingTable};

/// Decides each exchange's path. Every method takes the time of the shell's
/// monotonic clock.
pub struct Dispatcher {
    table: RoutingTable,
}

impl Dispatcher {
    /// A dispatcher without records. `seed` is drawn at random at process
    /// start: it spreads backoffs and makes request ids unlike those of other
    /// routers. No exchange is taken before [`Dispatcher::set_accepting`].
    pub fn new(_settings: Settings, _seed: u64, _now: Timestamp) -> Self {
        Dispatcher {
            table: RoutingTable::new(),
        }
    }

    /// The copy of records.
    pub fn table(&self) -> &RoutingTable {
        &self.table
    }

    /// Applies a delta of records; exchanges that it concerns are woken.
    ///
    /// # Errors
    ///
    /// [`ApplyError`] when the delta does not fit the copy.
    pub fn apply(&mut self, _now: Timestamp, delta: &RecordDelta) -> Result<(), ApplyError> {
        self.table.apply(delta)
    }

    /// Says whether new requests are taken. A router that is stopping, or
    /// that could not confirm its revision within the bound, takes none.
    pub fn set_accepting(&mut self, _accepting: bool) {}

    /// Number of live routers among which slots and connections are divided.
    pub fn set_router_count(&mut self, _now: Timestamp, _count: u32) {}

    /// Admits a request.
    ///
    /// # Errors
    ///
    /// [`Refused`] when it is turned away at once.
    pub fn begin(
        &mut self,
        _now: Timestamp,
        head: &RequestHead<'_>,
    ) -> Result<ExchangeId, Refused> {
        Err(Refused {
            reason: self.table.match_request(head).map(|_| ()).unwrap_err(),
            retry_after: None,
        })
    }

    /// What to do next for an exchange. Call again until it answers `Wait`
    /// or `Finish`.
    pub fn next(&mut self, _now: Timestamp, _id: ExchangeId) -> Step {
        Step::Gone
    }

    /// Must be asked right before the first byte of an attempt is passed to
    /// its connection: "not run" is true because nothing is written without
    /// this permission.
    pub fn start_sending(
        &mut self,
        _now: Timestamp,
        _id: ExchangeId,
        _attempt: AttemptNumber,
    ) -> SendDecision {
        SendDecision::Abandon
    }

    /// Reports what happened to an attempt. Events of unknown or abandoned
    /// attempts are ignored. Call `next` afterwards.
    pub fn on_event(
        &mut self,
        _now: Timestamp,
        _id: ExchangeId,
        _attempt: AttemptNumber,
        _event: AttemptEvent,
    ) {
    }

    /// The caller hung up: the exchange is forgotten and its slots are freed.
    /// The shell closes the connections of its attempts.
    pub fn caller_gone(&mut self, _now: Timestamp, _id: ExchangeId) {}

    /// Exchanges whose step may have changed since the last call, each once,
    /// in order. Call after every other method and wake their tasks.
    pub fn take_wakeups(&mut self) -> Vec<ExchangeId> {
        Vec::new()
    }
}
