//! Memory for the bodies of requests that are too long to be read ahead.

use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use crate::events::{EventId, emit};
use crate::proxy::budget::{Budget, Reservation};
use crate::proxy::inbound::{Inbound, PASSING, RequestBody};

/// Bodies up to this size are kept while they are passed on, in bytes, so that
/// they can be sent again as well: above the largest that callers are known to
/// send (360 KB).
const KEPT: usize = 512 * 1024;

/// What callers are told to wait when there is no memory for their bodies:
/// about the time that a link of 10 Mbit/s takes for one of the largest.
pub(super) const RETRY_AFTER: Duration = Duration::from_millis(500);

/// Memory for bodies. The machine ends a gateway that takes more than it has,
/// and all its requests with it.
pub(super) struct Bodies {
    /// For bodies that are held or kept, and for answers.
    held: Budget,
    /// For bodies that are passed on and not kept.
    passing: Budget,
    /// The last long body found no room.
    refusing: AtomicBool,
}

/// Room for one body, until it is dropped.
#[derive(Debug)]
pub(super) struct Room {
    _passing: Option<Reservation>,
}

impl Bodies {
    /// Shares `held` with answers, and lets as many bytes pass on beside it.
    pub(super) fn new(held: Budget, passing_bytes: usize) -> Self {
        Bodies {
            held,
            passing: Budget::new(passing_bytes),
            refusing: AtomicBool::new(false),
        }
    }

    /// Keeps a long body if there is room, or else lets it pass on; `None`
    /// when there is room for neither.
    pub(super) fn take_in(&self, inbound: &mut Inbound) -> Option<Room> {
        if matches!(inbound.body, RequestBody::Whole(_)) {
            return Some(Room { _passing: None });
        }
        inbound.keep(KEPT, &self.held);
        let passing = match inbound.body {
            RequestBody::Whole(_) | RequestBody::Kept(_) => None,
            RequestBody::Streamed(_) => {
                let Some(passing) = self.passing.reserve(PASSING) else {
                    self.tell(true);
                    return None;
                };
                Some(passing)
            }
        };
        self.tell(false);
        Some(Room { _passing: passing })
    }

    fn tell(&self, refusing: bool) {
        if self.refusing.swap(refusing, Ordering::Relaxed) == refusing {
            return;
        }
        if refusing {
            emit!(EventId::BodiesRefused, kept_up_to = KEPT);
        } else {
            emit!(EventId::BodiesTakenAgain,);
        }
    }
}
