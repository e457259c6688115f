//! Counts of one server, and the end of its connections.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};

use crate::Instant;
use crate::stop::{StopSignal, Stopped};

/// Where a request came from, and when.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionInfo {
    /// The caller's address.
    pub peer: SocketAddr,
    /// The address it reached.
    pub local: SocketAddr,
    /// When the end of its head came.
    pub read_at: Instant,
    /// Requests of its connection that were not answered when it was begun.
    pub unanswered_before: usize,
}

/// What a server did until it stopped.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ServeReport {
    /// Connections accepted.
    pub connections: u64,
    /// Connections closed at once because too many were open.
    pub refused_connections: u64,
    /// Requests handed to the handler.
    pub requests: u64,
    /// Requests refused by the server itself.
    pub refused_requests: u64,
    /// Requests whose caller hung up before it had its whole answer.
    pub hung_up: u64,
    /// Answers cut short because their body failed after the head was sent.
    pub truncated: u64,
    /// Requests that got no answer because one before them on their
    /// connection was cut short.
    pub abandoned: u64,
    /// Requests cut off when the drain timeout passed.
    pub aborted: u64,
}

/// Which event to count.
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
    /// Open connections, and one for the server itself until it drains.
    open: AtomicUsize,
    all_closed: StopSignal,
    abort: StopSignal,
}

/// Counts connections and requests, and tells when all are gone.
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

    /// Counts a connection in, or refuses it when `limit` are open.
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

    /// Resolves when no connection is open. No further one may be opened.
    pub(super) fn all_closed(&self) -> Stopped {
        self.shared.all_closed.stopped()
    }

    /// Tells every connection to end now.
    pub(super) fn abort_all(&self) {
        self.shared.abort.stop();
    }

    /// Lets the server's own share go, so that the last connection to close
    /// is noticed.
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

/// Held by each connection while it is open.
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

    /// Resolves when the drain timeout has passed.
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
