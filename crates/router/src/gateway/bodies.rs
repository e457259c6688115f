//! Limits the memory for request bodies that are too long to be read ahead.

use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use crate::events::{EventId, emit};
use crate::proxy::inbound::{Inbound, RequestBody, STREAMING_BUFFER_BYTES};
use crate::proxy::memory_budget::{MemoryBudget, Reservation};

/// Bodies of up to this size, in bytes, are kept while they are streamed to a
/// back end, so that they can be sent again. The value is above the largest
/// body that callers are known to send (360 KB).
const MAX_KEPT_BYTES: usize = 512 * 1024;

/// Retry delay sent to callers when there is no memory for their bodies: about
/// the time that a 10 Mbit/s link takes to transfer one of the largest bodies.
pub(super) const RETRY_AFTER: Duration = Duration::from_millis(500);

/// Memory budgets for bodies. The operating system kills a gateway that uses
/// more memory than the machine has, and all its requests with it.
pub(super) struct Bodies {
    /// Budget for bodies that are held or kept, and for responses.
    held: MemoryBudget,
    /// Budget for bodies that are streamed and not kept.
    passing: MemoryBudget,
    /// Whether the most recent long body was refused for lack of memory.
    refusing: AtomicBool,
}

/// Memory reserved for one body until it is dropped.
#[derive(Debug)]
pub(super) struct BodyReservation {
    _passing: Option<Reservation>,
}

impl Bodies {
    /// Creates the budgets: `held` is shared with responses, and
    /// `passing_bytes` is reserved in addition for streamed bodies.
    pub(super) fn new(held: MemoryBudget, passing_bytes: usize) -> Self {
        Bodies {
            held,
            passing: MemoryBudget::new(passing_bytes),
            refusing: AtomicBool::new(false),
        }
    }

    /// Keeps a long body if there is memory for it, or else lets it be
    /// streamed. Returns `None` when there is memory for neither.
    pub(super) fn admit(&self, inbound: &mut Inbound) -> Option<BodyReservation> {
        if matches!(inbound.body, RequestBody::Buffered(_)) {
            return Some(BodyReservation { _passing: None });
        }
        inbound.make_replayable(MAX_KEPT_BYTES, &self.held);
        let passing = match inbound.body {
            RequestBody::Buffered(_) | RequestBody::Replayable(_) => None,
            RequestBody::Streamed(_) => {
                let Some(passing) = self.passing.reserve(STREAMING_BUFFER_BYTES) else {
                    self.record_refusing(true);
                    return None;
                };
                Some(passing)
            }
        };
        self.record_refusing(false);
        Some(BodyReservation { _passing: passing })
    }

    fn record_refusing(&self, refusing: bool) {
        if self.refusing.swap(refusing, Ordering::Relaxed) == refusing {
            return;
        }
        if refusing {
            emit!(EventId::BodiesRefused, kept_up_to = MAX_KEPT_BYTES);
        } else {
            emit!(EventId::BodiesTakenAgain,);
        }
    }
}
