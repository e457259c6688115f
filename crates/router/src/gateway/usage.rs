//! Counts store calls, and bytes to and from back ends and other gateways.
//! Operators pay for them; bytes between regions are the most expensive.

use std::sync::Arc;
use std::time::Duration;

use prometheus::{IntCounterVec, Opts, Registry};
use threadledge_coordination::action::{
    Condition, Freshness, ReadResult, StoreRevision, WriteResult,
};
use threadledge_dispatch::Attempt;
use threadledge_ports::{Changes, Collection, Page, PortFuture, Ports, RecordStore, StoreError};

/// The usage counters. Clones share them.
#[derive(Clone)]
pub struct Usage {
    calls: IntCounterVec,
    peer_bytes: IntCounterVec,
    back_end_bytes: IntCounterVec,
    back_end_requests: IntCounterVec,
}

impl Usage {
    /// Registers the counters.
    ///
    /// # Errors
    ///
    /// Never occurs with the names compiled in; the library checks them at run
    /// time.
    pub fn new(registry: &Registry) -> Result<Self, prometheus::Error> {
        let calls = IntCounterVec::new(
            Opts::new(
                "threadledge_gateway_store_calls_total",
                "Calls to the platform's store; each page of a list is one",
            ),
            &["collection", "call", "outcome"],
        )?;
        let peer_bytes = IntCounterVec::new(
            Opts::new(
                "threadledge_gateway_peer_bytes_total",
                "Bytes of bodies that other gateways sent here and were answered",
            ),
            &["message", "direction"],
        )?;
        let back_end_bytes = IntCounterVec::new(
            Opts::new(
                "threadledge_gateway_back_end_bytes_total",
                "Bytes of bodies to and from back ends",
            ),
            &["distance", "choice", "direction"],
        )?;
        let back_end_requests = IntCounterVec::new(
            Opts::new(
                "threadledge_gateway_back_end_requests_total",
                "Requests sent to back ends, repeats included",
            ),
            &["distance", "choice"],
        )?;
        registry.register(Box::new(calls.clone()))?;
        registry.register(Box::new(peer_bytes.clone()))?;
        registry.register(Box::new(back_end_bytes.clone()))?;
        registry.register(Box::new(back_end_requests.clone()))?;
        Ok(Usage {
            calls,
            peer_bytes,
            back_end_bytes,
            back_end_requests,
        })
    }

    /// Wraps the ports so that every store call is counted.
    pub fn count_store_calls(&self, ports: Ports) -> Ports {
        Ports {
            configurations: self.wrap("configurations", ports.configurations),
            back_ends: self.wrap("back-ends", ports.back_ends),
            drained_zones: self.wrap("drained-zones", ports.drained_zones),
            leases: self.wrap("leases", ports.leases),
            ownership: self.wrap("ownership", ports.ownership),
            relays: self.wrap("relays", ports.relays),
            limit_holders: self.wrap("limit-holders", ports.limit_holders),
            held_requests: self.wrap("held-requests", ports.held_requests),
            ..ports
        }
    }

    fn wrap<S: ?Sized>(&self, collection: &'static str, inner: Arc<S>) -> Arc<CallCounter<S>> {
        Arc::new(CallCounter {
            inner,
            collection,
            calls: self.calls.clone(),
        })
    }

    /// Counts a message from another gateway, with the bytes received and
    /// answered.
    pub(super) fn record_peer_message(&self, message: &str, received: usize, answered: usize) {
        for (direction, bytes) in [("received", received), ("answered", answered)] {
            self.peer_bytes
                .with_label_values(&[message, direction])
                .inc_by(u64::try_from(bytes).unwrap_or(u64::MAX));
        }
    }

    /// Counts a request sent to a back end, with the bytes of its body if
    /// known.
    pub(super) fn record_back_end_request(&self, attempt: &Attempt, bytes: Option<usize>) {
        let labels = [attempt.distance.as_str(), choice_label(attempt)];
        self.back_end_requests.with_label_values(&labels).inc();
        self.count_back_end(attempt, "sent", bytes);
    }

    /// Counts the body bytes of a back end's response, if known.
    pub(super) fn record_back_end_response(&self, attempt: &Attempt, bytes: Option<usize>) {
        self.count_back_end(attempt, "received", bytes);
    }

    fn count_back_end(&self, attempt: &Attempt, direction: &str, bytes: Option<usize>) {
        let Some(bytes) = bytes else {
            return;
        };
        let labels = [attempt.distance.as_str(), choice_label(attempt), direction];
        self.back_end_bytes
            .with_label_values(&labels)
            .inc_by(u64::try_from(bytes).unwrap_or(u64::MAX));
    }
}

/// Returns the label that tells whether the back end could be chosen freely:
/// keyed requests go to the owner of the key.
fn choice_label(attempt: &Attempt) -> &'static str {
    if attempt.keyed { "owner" } else { "free" }
}

/// Wrapper of a collection that counts its calls.
struct CallCounter<S: ?Sized> {
    inner: Arc<S>,
    collection: &'static str,
    calls: IntCounterVec,
}

impl<S: ?Sized> CallCounter<S> {
    fn begin(&self, call: &'static str) -> CallInProgress<'_> {
        CallInProgress {
            calls: &self.calls,
            labels: [self.collection, call, "abandoned"],
        }
    }
}

/// A call in progress. It is counted when it is dropped, so that a cancelled
/// call counts as well.
struct CallInProgress<'a> {
    calls: &'a IntCounterVec,
    /// Collection, call and outcome.
    labels: [&'static str; 3],
}

impl CallInProgress<'_> {
    fn end(mut self, outcome: &'static str) {
        self.labels[2] = outcome;
    }
}

impl Drop for CallInProgress<'_> {
    fn drop(&mut self) {
        self.calls.with_label_values(&self.labels).inc();
    }
}

impl<T, S> Collection<T> for CallCounter<S>
where
    T: Send + 'static,
    S: Collection<T> + ?Sized,
{
    fn page<'a>(
        &'a self,
        after: &'a str,
        freshness: Freshness,
    ) -> PortFuture<'a, Result<Page<T>, StoreError>> {
        let call = match freshness {
            Freshness::Stale => "list-stale",
            Freshness::Linearizable => "list",
        };
        Box::pin(async move {
            let in_progress = self.begin(call);
            let result = self.inner.page(after, freshness).await;
            in_progress.end(outcome_label(&result));
            result
        })
    }

    fn changes(
        &self,
        after: StoreRevision,
        wait: Duration,
    ) -> PortFuture<'_, Result<Changes<T>, StoreError>> {
        Box::pin(async move {
            let in_progress = self.begin("watch");
            let result = self.inner.changes(after, wait).await;
            in_progress.end(outcome_label(&result));
            result
        })
    }
}

impl<T, S> RecordStore<T> for CallCounter<S>
where
    T: Send + Sync + 'static,
    S: RecordStore<T> + ?Sized,
{
    fn read<'a>(&'a self, name: &'a str, freshness: Freshness) -> PortFuture<'a, ReadResult<T>> {
        let call = match freshness {
            Freshness::Stale => "read-stale",
            Freshness::Linearizable => "read",
        };
        Box::pin(async move {
            let in_progress = self.begin(call);
            let result = self.inner.read(name, freshness).await;
            in_progress.end(match result {
                ReadResult::Found(_) => "answered",
                ReadResult::Failed => "failed",
            });
            result
        })
    }

    fn write<'a>(
        &'a self,
        name: &'a str,
        value: &'a T,
        condition: Condition,
    ) -> PortFuture<'a, WriteResult<T>> {
        Box::pin(async move {
            let in_progress = self.begin("write");
            let result = self.inner.write(name, value, condition).await;
            in_progress.end(match result {
                WriteResult::Accepted(_) => "answered",
                WriteResult::Conflict(_) => "conflict",
                WriteResult::NotDone => "not-done",
                WriteResult::Unknown => "unknown",
            });
            result
        })
    }
}

fn outcome_label<T>(result: &Result<T, StoreError>) -> &'static str {
    match result {
        Ok(_) => "answered",
        Err(StoreError::Unreachable) => "unreachable",
        Err(StoreError::Refused { .. }) => "refused",
        Err(StoreError::NoAnswer) => "silent",
        Err(StoreError::HistoryGone) => "history-gone",
        Err(StoreError::Malformed(_) | StoreError::StuckList { .. }) => "malformed",
    }
}
