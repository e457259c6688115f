//! Exchanges after which the caller decides whether the connection is reused.

use std::sync::Arc;

use parking_lot::Mutex;

use super::address_table::Slot;
use super::{Pool, socket};
use crate::buffered_stream::BufferedStream;

/// Connections that a request may use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionChoice {
    /// An idle connection if there is one, and a new one otherwise.
    Any,
    /// A new connection.
    New,
}

/// Place of a connection from the end of its response on; empty before, and
/// after a response that leaves it unusable.
type Place = Arc<Mutex<Option<(Slot, BufferedStream)>>>;

/// Connection of a response that the caller judges. Dropping it closes the
/// connection.
#[derive(Debug)]
pub struct HeldConnection {
    pool: Pool,
    reused: bool,
    place: Place,
}

impl HeldConnection {
    pub(super) fn new(pool: Pool, reused: bool) -> Self {
        HeldConnection {
            pool,
            reused,
            place: Place::default(),
        }
    }

    /// Returns the function that stores the connection after the response.
    pub(super) fn place(&self) -> impl FnOnce(Slot, BufferedStream) + Send + Sync + 'static {
        let place = self.place.clone();
        move |slot, buffered| *place.lock() = Some((slot, buffered))
    }

    /// Whether the connection may have carried an earlier exchange, of which a
    /// second response may have been read in place of the one that was due.
    pub fn is_reused(&self) -> bool {
        self.reused
    }

    /// Returns the connection to the pool once its response was read whole.
    pub fn keep(self) {
        let held = self.place.lock().take();
        if let Some((slot, buffered)) = held {
            self.pool.check_in(slot, buffered);
        }
    }
}

impl Drop for HeldConnection {
    fn drop(&mut self) {
        let Some((_slot, buffered)) = self.place.lock().take() else {
            return;
        };
        if let Err(error) = socket::close_gracefully(buffered.stream()) {
            tracing::debug!(%error, "closing a connection after its exchange resets it");
        }
    }
}
