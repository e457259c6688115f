//! Counters of a server and tracking of its open connections.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};

use crate::Instant;
use crate::stop::{StopSignal, Stopped};

/// Origin and arrival of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionInfo {
    /// Address of the caller.
    pub peer: SocketAddr,
    /// Local address that the caller connected to.
    pub local: SocketAddr,
    /// Time at which the end of the request head arrived.
    pub read_at: Instant,
    /// Number of earlier requests of the connection that were unanswered when
    /// this one was started.
    pub unanswered_before: usize,
}

/// Statistics of a server from start to stop.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ServeReport {
    /// Connections accepted.
    pub connections: u64,
    /// Connections rejected because too many were open.
    pub refused_connections: u64,
    /// Requests passed to the handler.
    pub requests: u64,
    /// Requests refused by the server itself.
    pub refused_requests: u64,
    /// Requests whose caller disconnected before its whole response was sent.
    pub hung_up: u64,
    /// Responses whose body failed. Each was truncated or, if none of it had
    /// been sent, replaced by an error response.
    pub truncated: u64,
    /// Requests that got no response because an earlier response on their
    /// connection was truncated.
    pub abandoned: u64,
    /// Requests aborted when the drain timeout passed.
    pub aborted: u64,
}

/// Selects the counter to increment.
#[derive(Clone, Copy, Debug)]
pub(super) enum CounterKind {
    Request,
    RefusedRequest,
    HungUp,
    Truncated,
    Abandoned,
    Aborted,
}

#[derive(Debug, Default)]
struct Counters {
    connections: AtomicU64,
    refused_connections: AtomicU64,
    requests: AtomicU64,
    refused_requests: AtomicU64,
    hung_up: AtomicU64,
    truncated: AtomicU64,
    abandoned: AtomicU64,
    aborted: AtomicU64,
}

#[derive(Debug, Default)]
struct Shared {
    counters: Counters,
    /// Number of open connections, plus one for the server itself until it
    /// drains.
    open: AtomicUsize,
    all_closed: StopSignal,
    abort: StopSignal,
}

/// Counts connections and requests, and reports when all connections are
/// closed.
#[derive(Debug)]
pub(super) struct ConnectionTracker {
    shared: Arc<Shared>,
    server_guard: Option<ConnectionGuard>,
}

impl ConnectionTracker {
    pub(super) fn new() -> Self {
        let shared = Arc::new(Shared::default());
        shared.open.store(1, Ordering::Relaxed);
        let server_guard = ConnectionGuard {
            shared: shared.clone(),
        };
        ConnectionTracker {
            shared,
            server_guard: Some(server_guard),
        }
    }

    /// Registers a connection, or returns `None` if `limit` connections are
    /// open.
    pub(super) fn open(&self, limit: usize) -> Option<ConnectionGuard> {
        let counters = &self.shared.counters;
        if self.shared.open.load(Ordering::Relaxed) > limit {
            counters.refused_connections.fetch_add(1, Ordering::Relaxed);
            return None;
        }
        self.shared.open.fetch_add(1, Ordering::Relaxed);
        counters.connections.fetch_add(1, Ordering::Relaxed);
        Some(ConnectionGuard {
            shared: self.shared.clone(),
        })
    }

    /// Returns a future that resolves when all connections are closed. None may
    /// be opened after that.
    pub(super) fn all_closed(&self) -> Stopped {
        self.shared.all_closed.stopped()
    }

    /// Signals all connections to close now.
    pub(super) fn abort_all(&self) {
        self.shared.abort.stop();
    }

    /// Drops the guard of the server itself, so that closing the last
    /// connection is noticed.
    pub(super) fn release_server_guard(&mut self) {
        self.server_guard = None;
    }

    pub(super) fn report(&self) -> ServeReport {
        let counters = &self.shared.counters;
        let read = |counter: &AtomicU64| counter.load(Ordering::Relaxed);
        ServeReport {
            connections: read(&counters.connections),
            refused_connections: read(&counters.refused_connections),
            requests: read(&counters.requests),
            refused_requests: read(&counters.refused_requests),
            hung_up: read(&counters.hung_up),
            truncated: read(&counters.truncated),
            abandoned: read(&counters.abandoned),
            aborted: read(&counters.aborted),
        }
    }
}

/// Guard held by each open connection.
#[derive(Debug)]
pub(super) struct ConnectionGuard {
    shared: Arc<Shared>,
}

impl ConnectionGuard {
    pub(super) fn count(&self, count: CounterKind, requests: usize) {
        let counters = &self.shared.counters;
        let counter = match count {
            CounterKind::Request => &counters.requests,
            CounterKind::RefusedRequest => &counters.refused_requests,
            CounterKind::HungUp => &counters.hung_up,
            CounterKind::Truncated => &counters.truncated,
            CounterKind::Abandoned => &counters.abandoned,
            CounterKind::Aborted => &counters.aborted,
        };
        counter.fetch_add(requests as u64, Ordering::Relaxed);
    }

    /// Returns a future that resolves when the drain timeout has passed.
    pub(super) fn abort_signal(&self) -> Stopped {
        self.shared.abort.stopped()
    }
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        if self.shared.open.fetch_sub(1, Ordering::AcqRel) == 1 {
            self.shared.all_closed.stop();
        }
    }
}
