//! Connections to back ends, and what they show about this gateway's paths to
//! them.

use std::net::SocketAddr;
use std::sync::Arc;

use parking_lot::Mutex;
use threadledge_net::{ExchangeError, ExchangeFault, Instant, Pool, PooledConnection};
use threadledge_paths::{DirectPaths, Evidence, PathChange};
use threadledge_types::Timestamp;

use crate::events::{EventId, emit};
use crate::proxy::Clock;

/// Opens connections to back ends. Clones share everything.
#[derive(Clone, Debug)]
pub(super) struct BackEndLinks {
    pool: Pool,
    clock: Clock,
    direct: Arc<Mutex<DirectPaths>>,
}

impl BackEndLinks {
    pub(super) fn new(pool: Pool, clock: Clock) -> Self {
        BackEndLinks {
            pool,
            clock,
            direct: Arc::default(),
        }
    }

    /// Checks out a connection to a back end and records what that shows.
    pub(super) async fn open(
        &self,
        address: SocketAddr,
        limit: usize,
        deadline: Instant,
    ) -> Result<PooledConnection, ExchangeError> {
        let opened = self
            .pool
            .checkout_with_limit(address, limit, deadline)
            .await;
        match &opened {
            Ok(connection) if connection.is_reused() => {}
            Ok(_) => self.with_paths(|paths, now| paths.on_connected(now, address)),
            Err(error) => {
                if let Some(evidence) = evidence_of(error) {
                    self.with_paths(|paths, now| paths.on_connect_failed(now, address, evidence));
                }
            }
        }
        opened
    }

    /// Records that a back end answered.
    pub(super) fn on_answer(&self, address: SocketAddr) {
        self.with_paths(|paths, now| paths.on_answer(now, address));
    }

    /// Runs `act` on the direct paths and logs their changes.
    fn with_paths<R>(&self, act: impl FnOnce(&mut DirectPaths, Timestamp) -> R) -> R {
        let mut direct = self.direct.lock();
        let now = self.clock.now();
        let result = act(&mut direct, now);
        let changes = direct.take_changes();
        drop(direct);
        changes.iter().for_each(log_change);
        result
    }
}

/// What a failure to open a connection shows about the path, if anything.
fn evidence_of(error: &ExchangeError) -> Option<Evidence> {
    match &error.fault {
        ExchangeFault::NoConnectionFree => None,
        ExchangeFault::DeadlinePassed => Some(Evidence::Timeout),
        _ => Some(Evidence::Refused),
    }
}

fn log_change(change: &PathChange) {
    match change {
        PathChange::Lost { address, evidence } => emit!(
            EventId::BackEndPathLost,
            address = %address,
            evidence = evidence.as_str(),
        ),
        PathChange::Restored { address, after } => emit!(
            EventId::BackEndPathRestored,
            address = %address,
            after_ms = after.as_millis() as u64,
        ),
    }
}
